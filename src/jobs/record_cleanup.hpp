/// Keys that are of no use any more, and jobs that are to leave their batches.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "jobs/job_batches.hpp"
#include "jobs/job_registry.hpp"
#include "jobs/write_limits.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {

/// Changes that only save a later leader some time. They are added to transactions that have space left, and
/// only a few of them to each; without any other transaction they have one of their own once in a while.
class RecordCleanup {
 public:
  /// How long to wait for a transaction that they can go with.
  static constexpr Seconds kDelay = 0.5;

  /// What a transaction holds of them.
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
  void delete_later(std::string key);
  /// Gives the job a key of its own, so that its batches can be deleted.
  void move_to_own_key(JobIndex job);

  /// When a transaction may be sent for nothing but these.
  Seconds next_due_at() const;
  void add_deletions(wire::Transaction& transaction, TransactionSpace& space, Write& write, Seconds now);
  /// Must not go into a transaction that holds the job's final state: its record would outlive it.
  void add_moves_to_own_key(wire::Transaction& transaction, TransactionSpace& space, Write& write,
                            const ports::Outbox& clock);
  /// The write was not applied, or may not have been.
  void restore(const Write& write);

 private:
  JobRegistry& registry_;
  const JobBatches& batches_;
  std::deque<std::string> deletions_;
  std::deque<JobIndex> moves_to_own_key_;
  Seconds last_write_at_ = 0;
};

}  // namespace wingtrail::jobs
