/// @file
/// Persists the machine inventory: every machine that may hold tasks, in pages of many machines each.
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

inline constexpr const char* kInventoryPrefix = "r/";  ///< followed by the page's number

/// The inventory pages: encodes and loads them and determines which are due.
///
/// A page's value is `{"images": [names], "hosts": [records]}`; a record's images are indices into the page's
/// names. A machine gets no work before a page that holds it is written, so that the next leader knows it
/// and reconciles it.
class InventoryPages {
 public:
  /// Delay of the write for new machines, in s. Machines join by the hundred, so one write covers several.
  static constexpr Seconds kJoinDelay = 0.05;
  /// Delay of the write for removed machines, in s. A new leader would wait for those that are still listed.
  static constexpr Seconds kRemovalDelay = 0.5;
  /// Delay of the write for changed records, in s. They only save the next leader some image fetches.
  static constexpr Seconds kRefreshDelay = 15;

  /// One page that a transaction writes.
  struct Write {
    std::size_t page = 0;
    PageUrgency urgency = PageUrgency::none;  ///< of the page before the write
    std::vector<MachineIndex> joining;        ///< machines whose first record this is
  };
  /// Registers the machine of a stored record and returns the machine's index.
  using AddMachine = std::function<MachineIndex(const wire::Value& record)>;

  explicit InventoryPages(const WriteLimits& limits) : limits_(limits) {}
  /// Sets the function that returns the record to store for a machine, with its images by name.
  void set_record_source(std::function<wire::Value(MachineIndex)> record_of) {
    record_of_ = std::move(record_of);
  }

  void clear();
  /// Reads a stored page. `version` is the revision of its last change. Returns false if any part is
  /// malformed; the well-formed parts are loaded all the same.
  bool load(const std::string& key, const wire::Value& value, std::uint64_t version, Seconds now,
            const AddMachine& add_machine);

  /// Adds a new machine; its page is due at once.
  void add(MachineIndex machine, Seconds now);
  /// Schedules a write of the machine's changed record; returns false if it is in no page.
  bool refresh(MachineIndex machine, Seconds now);
  /// Removes the machine; returns false if it is in no page.
  bool remove(MachineIndex machine, Seconds now);

  /// Number of due pages that compete for a share of the changes. Opportunistic writes do not compete: they
  /// get changes that remain.
  int due_count(Seconds now) const;
  /// When the next page is due; kNever if none is.
  Seconds next_due_at() const;
  /// Adds due pages of urgency `least` or higher to the transaction as far as its capacity allows.
  std::vector<Write> add_due(wire::Transaction& transaction, TransactionSpace& space, PageUrgency least,
                             Seconds now);
  /// Makes the page due again after a write that was not applied, or whose outcome is unknown.
  void restore(const Write& write, Seconds now);
  /// Must be called once the write was applied at `revision`.
  void on_written(const Write& write, std::uint64_t revision);
  /// Marks the machine's first record as written; returns false if the machine was not waiting for it.
  bool mark_recorded(MachineIndex machine);
  /// Handles a page that the state service refused and returns its encoded size in bytes. A page that cannot
  /// be split is deferred until about `retry_at`.
  std::size_t on_refused(const Write& write, Seconds retry_at);

  static std::string key(std::size_t page) {
    return page_key(kInventoryPrefix, page);
  }
  /// Blocks writes of the page until end_version_lookup() sets its version.
  void begin_version_lookup(std::size_t page);
  void end_version_lookup(std::size_t page, std::uint64_t version);

  wire::Value encode(std::size_t page) const;
  std::size_t page_count() const {
    return pages_.size();
  }
  /// Number of times that a page was split because it was too large.
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
