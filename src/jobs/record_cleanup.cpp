#include "jobs/record_cleanup.hpp"

#include "jobs/record_keys.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {
namespace {
/// Between transactions for nothing else.
constexpr Seconds kInterval = 1;
/// Of each kind in one transaction.
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

// The record is the one in the batch, but for fields that no version reads.
void RecordCleanup::add_moves_to_own_key(wire::Transaction& transaction, TransactionSpace& space,
                                         Write& write, const ports::Outbox& clock) {
  for (int seen = 0; seen < kMaxPerTransaction && !space.exhausted() && !moves_to_own_key_.empty(); ++seen) {
    const JobIndex index = moves_to_own_key_.front();
    moves_to_own_key_.pop_front();
    Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || !batches_.contains(index))
      continue;
    // From now on: whether a transaction without an answer is applied, now or late, nobody knows.
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
    moves_to_own_key_.push_back(job);  // others first: this one may be over
}

}  // namespace wingtrail::jobs
