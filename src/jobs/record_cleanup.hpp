/// @file
/// Deletes keys that are no longer needed, and moves jobs from their batches to keys of their own.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "jobs/job_batches.hpp"
#include "jobs/job_registry.hpp"
#include "jobs/write_limits.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {

/// Collects changes that only save a later leader some work. A few of them are added to each transaction that
/// has remaining capacity. When no other transaction is sent, they get one of their own at intervals.
class RecordCleanup {
 public:
  /// How long to wait for another transaction to add the changes to, in s.
  static constexpr Seconds kDelay = 0.5;

  /// The cleanup changes in one transaction.
  struct Write {
    std::vector<std::string> deletions;
    std::vector<JobIndex> moved_to_own_key;
    std::size_t record_count() const {
      return deletions.size() + moved_to_own_key.size();
    }
  };

  RecordCleanup(JobRegistry& registry, const JobBatches& batches) : registry_(registry), batches_(batches) {}

  void clear();
  bool empty() const {
    return deletions_.empty() && moves_to_own_key_.empty();
  }
  bool has_deletions() const {
    return !deletions_.empty();
  }
  /// Queues the key for deletion.
  void delete_later(std::string key);
  /// Queues the job to get a key of its own, so that its batches can be deleted.
  void move_to_own_key(JobIndex job);

  /// When a transaction may be sent that holds only cleanup changes.
  Seconds next_due_at() const;
  void add_deletions(wire::Transaction& transaction, TransactionSpace& space, Write& write, Seconds now);
  /// Must not be called for a transaction that holds the job's final state: the job's own key would remain
  /// after the final state.
  void add_moves_to_own_key(wire::Transaction& transaction, TransactionSpace& space, Write& write,
                            const ports::Outbox& clock);
  /// Queues the changes again after a write that was not applied, or whose outcome is unknown.
  void restore(const Write& write);

 private:
  JobRegistry& registry_;
  const JobBatches& batches_;
  std::deque<std::string> deletions_;
  std::deque<JobIndex> moves_to_own_key_;
  Seconds last_write_at_ = 0;
};

}  // namespace wingtrail::jobs
