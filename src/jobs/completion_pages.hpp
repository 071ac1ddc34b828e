/// @file
/// Persists which tasks of live jobs are completed, in completion pages that hold many jobs each.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "jobs/completion_codec.hpp"
#include "jobs/job_registry.hpp"
#include "jobs/page_values.hpp"
#include "jobs/record_pages.hpp"
#include "jobs/write_limits.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {

inline constexpr const char* kCompletionPrefix = "p/";  ///< followed by the page's number

/// A completed task that its worker still lists in its heartbeats.
struct CompletedTask {
  MachineIndex machine;
  std::uint32_t task;
  std::uint64_t attempt;
};

/// The completion pages: encodes and loads them and determines which are due.
///
/// A page's value is a list of `{"ref", "from", "bits"}`, one entry for each chunk of a job's tasks. A worker
/// keeps listing a completed task until a page that covers it, or the job's final state, is written.
class CompletionPages {
 public:
  /// A range of one job's tasks that is always written as a whole.
  struct Chunk {
    JobIndex job;
    std::uint32_t number = 0;
    friend bool operator==(const Chunk&, const Chunk&) = default;
    friend bool operator<(const Chunk& left, const Chunk& right) {
      return left.job != right.job ? left.job < right.job : left.number < right.number;
    }
  };
  /// A completed task that a write makes persistent.
  struct Covered {
    Chunk chunk;
    CompletedTask task;
  };
  /// One page that a transaction writes.
  struct Write {
    std::size_t page = 0;
    std::vector<Covered> covered;
  };

  CompletionPages(JobRegistry& registry, const settings::Settings& settings, const WriteLimits& limits)
      : registry_(registry), settings_(settings), limits_(limits), codec_(settings.state_value_kb) {}

  void clear();
  /// Reads a stored page and marks its tasks as completed in the registry. `version` is the revision of the
  /// page's last change. Returns false if any part is malformed; the well-formed parts are loaded all the
  /// same.
  bool load(const std::string& key, const wire::Value& value, std::uint64_t version, Seconds now);

  /// Adds a task that the registry has as completed; its page becomes due.
  void add(const Job& job, const CompletedTask& completed, Seconds now);
  /// Removes a job that is over and returns its completed tasks that were not yet covered by a write.
  std::vector<CompletedTask> remove_job(const Job& job);

  /// Number of pages that are due and may be written now.
  int due_count(Seconds now) const;
  /// When the next page is due; kNever if none is.
  Seconds next_due_at() const;
  /// Adds due pages to the transaction as far as its capacity allows.
  std::vector<Write> add_due(wire::Transaction& transaction, TransactionSpace& space, Seconds now);
  /// Makes the page due again after a write that was not applied, or whose outcome is unknown.
  void restore(const Write& write, Seconds now);
  /// Must be called once the write was applied at `revision`; returns the tasks that are persistent now.
  std::vector<CompletedTask> on_written(const Write& write, std::uint64_t revision);
  /// Handles a page that the state service refused and returns its encoded size in bytes. A page that cannot
  /// be split is deferred until about `retry_at`.
  std::size_t on_refused(const Write& write, Seconds retry_at);

  static std::string key(std::size_t page) {
    return page_key(kCompletionPrefix, page);
  }
  /// Blocks writes of the page until end_version_lookup() sets its version.
  void begin_version_lookup(std::size_t page);
  void end_version_lookup(std::size_t page, std::uint64_t version);

  wire::Value encode(std::size_t page) const;
  const CompletionCodec& codec() const {
    return codec_;
  }
  std::size_t page_count() const {
    return pages_.size();
  }
  /// Number of times that a page was split because it was too large.
  std::uint64_t splits() const {
    return splits_;
  }

 private:
  Seconds due_at(std::size_t page) const;
  std::vector<Covered> take_awaiting(const std::vector<Chunk>& chunks);

  JobRegistry& registry_;
  const settings::Settings& settings_;
  const WriteLimits& limits_;
  CompletionCodec codec_;
  RecordPages<Chunk> pages_;
  std::map<Chunk, std::vector<CompletedTask>> awaiting_;  // completed and not in any write
  std::uint64_t splits_ = 0;
};

}  // namespace wingtrail::jobs
