#include "jobs/record_cleanup.hpp"

#include "jobs/record_keys.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {
namespace {
/// Minimum time between transactions that hold only cleanup changes, in s.
constexpr Seconds kInterval = 1;
/// Maximum number of deletions, and of moves to own keys, in one transaction.
constexpr int kMaxPerTransaction = 4;
}  // namespace

void RecordCleanup::clear() {
  deletions_.clear();
  moves_to_own_key_.clear();
}

void RecordCleanup::delete_later(std::string key) {
  deletions_.push_back(std::move(key));
}

void RecordCleanup::move_to_own_key(JobIndex job) {
  moves_to_own_key_.push_back(job);
}

Seconds RecordCleanup::next_due_at() const {
  return last_write_at_ + kInterval;
}

void RecordCleanup::add_deletions(wire::Transaction& transaction, TransactionSpace& space, Write& write,
                                  Seconds now) {
  for (int added = 0; added < kMaxPerTransaction && space.changes > 0 && !deletions_.empty(); ++added) {
    transaction.erase(deletions_.front());
    write.deletions.push_back(std::move(deletions_.front()));
    deletions_.pop_front();
    --space.changes;
    last_write_at_ = now;
  }
}

// The record equals the one in the batch, except for fields that no version reads.
void RecordCleanup::add_moves_to_own_key(wire::Transaction& transaction, TransactionSpace& space,
                                         Write& write, const ports::Outbox& clock) {
  for (int tried = 0; tried < kMaxPerTransaction && !space.exhausted() && !moves_to_own_key_.empty();
       ++tried) {
    const JobIndex index = moves_to_own_key_.front();
    moves_to_own_key_.pop_front();
    Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || !batches_.contains(index))
      continue;
    // Set before the outcome is known: a transaction without a reply may be applied at any later time.
    job->has_own_key = true;
    transaction.require(kFinalStatePrefix + job->spec.ref, 0);
    const double submitted_at = clock.time_of_day() - (clock.now() - job->submitted_at);
    wire::Value record = wire::job_record(job->spec, submitted_at);
    if (!job->origin_cell.empty())
      record[kOriginCellField] = job->origin_cell;
    space.take(record.dump().size());
    transaction.put(kLiveJobPrefix + job->spec.ref, std::move(record));
    write.moved_to_own_key.push_back(index);
    last_write_at_ = clock.now();
  }
}

void RecordCleanup::restore(const Write& write) {
  deletions_.insert(deletions_.begin(), write.deletions.begin(), write.deletions.end());
  for (const JobIndex job : write.moved_to_own_key)
    moves_to_own_key_.push_back(job);  // behind the others, since this job may be over
}

}  // namespace wingtrail::jobs
