/// The persisted progress of jobs: which tasks of live jobs are completed, many jobs to a record.
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

inline constexpr const char* kCompletionPrefix = "p/";  ///< and the page's number

/// A completed task that its worker still reports.
struct CompletedTask {
  MachineIndex machine;
  std::uint32_t task;
  std::uint64_t attempt;
};

/// The pages of completed tasks: encodes, loads, and says which pages are due.
///
/// A page's value is a list of `{"ref", "from", "bits"}`, one entry for each chunk of a job's tasks. A worker
/// keeps reporting a completed task until a page that covers it, or the job's final state, is written.
class CompletionPages {
 public:
  /// A range of one job's tasks, which is always written as a whole.
  struct Chunk {
    JobIndex job;
    std::uint32_t number = 0;
    friend bool operator==(const Chunk&, const Chunk&) = default;
    friend bool operator<(const Chunk& left, const Chunk& right) {
      return left.job != right.job ? left.job < right.job : left.number < right.number;
    }
  };
  /// A completed task that becomes persistent with a write.
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
  /// Reads a stored page at the revision of its last change and completes the tasks in it; false if it is
  /// malformed in any part. The parts that can be read are loaded in any case.
  bool load(const std::string& key, const wire::Value& value, std::uint64_t version, Seconds now);

  void add(const Job& job, const CompletedTask& completed, Seconds now);
  /// The job is over: drops its chunks and returns those of its completed tasks that awaited a write.
  std::vector<CompletedTask> remove_job(const Job& job);

  /// How many pages may be written now.
  int due_count(Seconds now) const;
  /// When the next page may be written; kNever: none waits.
  Seconds next_due_at() const;
  /// Adds due pages to the transaction as far as there is space.
  std::vector<Write> add_due(wire::Transaction& transaction, TransactionSpace& space, Seconds now);
  /// The write was not applied, or may not have been: what it covered awaits another one.
  void restore(const Write& write, Seconds now);
  /// The write was applied at that revision; returns the tasks that are persistent now.
  std::vector<CompletedTask> on_written(const Write& write, std::uint64_t revision);
  /// The state service refuses the page: returns its encoded size. A page that cannot be split is put off.
  std::size_t on_refused(const Write& write, Seconds retry_at);

  static std::string key(std::size_t page) {
    return page_key(kCompletionPrefix, page);
  }
  /// The page is not written until its version has been read anew.
  void begin_version_lookup(std::size_t page);
  void end_version_lookup(std::size_t page, std::uint64_t version);

  wire::Value encode(std::size_t page) const;
  const CompletionCodec& codec() const {
    return codec_;
  }
  std::size_t page_count() const {
    return pages_.size();
  }
  /// Pages that were found too large.
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
  std::map<Chunk, std::vector<CompletedTask>> awaiting_;  // completed and not persisted
  std::uint64_t splits_ = 0;
};

}  // namespace wingtrail::jobs
