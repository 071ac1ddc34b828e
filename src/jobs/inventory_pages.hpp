/// The persisted inventory of machines: every machine that may hold tasks, many to a record.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "jobs/dense_index.hpp"
#include "jobs/page_values.hpp"
#include "jobs/record_pages.hpp"
#include "jobs/write_limits.hpp"
#include "wire/state_messages.hpp"
#include "wire/value.hpp"

namespace wingtrail::jobs {

inline constexpr const char* kInventoryPrefix = "r/";  ///< and the page's number

/// The pages of the machine inventory: encodes, loads, and says which pages are due.
///
/// A page's value is `{"images": [names], "hosts": [records]}`; a record's images are indices into the page's
/// names. A machine gets no work before a page that holds it is written, so that the next leader asks it.
class InventoryPages {
 public:
  /// New machines come by the hundred: some of them join in one write.
  static constexpr Seconds kJoinDelay = 0.05;
  /// For machines that are gone: the next leader would wait for them.
  static constexpr Seconds kRemovalDelay = 0.5;
  /// For changes that only save the next leader some fetches.
  static constexpr Seconds kRefreshDelay = 15;

  /// One page that a transaction writes.
  struct Write {
    std::size_t page = 0;
    PageUrgency urgency = PageUrgency::none;  ///< that the page had
    std::vector<MachineIndex> joining;        ///< machines whose first record this is
  };
  /// Registers the machine of a stored record and returns its index.
  using AddMachine = std::function<MachineIndex(const wire::Value& record)>;

  explicit InventoryPages(const WriteLimits& limits) : limits_(limits) {}
  /// `record_of` returns what is to be stored of a machine, with its images by name.
  void set_record_source(std::function<wire::Value(MachineIndex)> record_of) {
    record_of_ = std::move(record_of);
  }

  void clear();
  /// Reads a stored page at the revision of its last change; false if it is malformed in any part. The parts
  /// that can be read are loaded in any case.
  bool load(const std::string& key, const wire::Value& value, std::uint64_t version, Seconds now,
            const AddMachine& add_machine);

  void add(MachineIndex machine, Seconds now);
  /// The machine's record has changed; false if it is in no page.
  bool refresh(MachineIndex machine, Seconds now);
  /// False if the machine is in no page.
  bool remove(MachineIndex machine, Seconds now);

  /// How many pages have a share of the changes now. Opportunistic ones have none: they take what is left.
  int due_count(Seconds now) const;
  /// When the next page may be written; kNever: none waits.
  Seconds next_due_at() const;
  /// Adds due pages of that urgency or a higher one to the transaction as far as there is space.
  std::vector<Write> add_due(wire::Transaction& transaction, TransactionSpace& space, PageUrgency least,
                             Seconds now);
  /// The write was not applied, or may not have been: the page is due again.
  void restore(const Write& write, Seconds now);
  /// The write was applied at that revision.
  void on_written(const Write& write, std::uint64_t revision);
  /// Whether the machine has been waiting for its first record and need not any more.
  bool take_joined(MachineIndex machine);
  /// The state service refuses the page: returns its encoded size. A page that cannot be split is put off.
  std::size_t on_refused(const Write& write, Seconds retry_at);

  static std::string key(std::size_t page) {
    return page_key(kInventoryPrefix, page);
  }
  /// The page is not written until its version has been read anew.
  void begin_version_lookup(std::size_t page);
  void end_version_lookup(std::size_t page, std::uint64_t version);

  wire::Value encode(std::size_t page) const;
  std::size_t page_count() const {
    return pages_.size();
  }
  /// Pages that were found too large.
  std::uint64_t splits() const {
    return splits_;
  }

 private:
  std::size_t names_limit_bytes() const;
  std::size_t images_limit_bytes() const;
  std::size_t records_limit_bytes() const;
  std::size_t record_bytes(const wire::Value& record) const;
  Seconds due_at(std::size_t page) const;

  const WriteLimits& limits_;
  std::function<wire::Value(MachineIndex)> record_of_;
  RecordPages<MachineIndex> pages_;
  std::set<MachineIndex> awaiting_first_record_;
  Seconds last_opportunistic_write_at_ = 0;
  std::uint64_t splits_ = 0;
};

}  // namespace wingtrail::jobs
