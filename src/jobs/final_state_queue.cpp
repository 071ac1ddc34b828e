#include "jobs/final_state_queue.hpp"

#include <algorithm>
#include <utility>

#include "wire/job_messages.hpp"

namespace wingtrail::jobs {
namespace {
/// A kind is near its time limit once its oldest final state has waited for this fraction of the limit within
/// which the tasks of a cancelled job must be stopped.
constexpr double kNearLimitFraction = 0.5;
}  // namespace

int final_state_changes(const Job& job) {
  return 1 + job.has_own_key + job.has_cancellation_marker;
}

void FinalStateQueue::clear() {
  for (auto& queue : queues_)
    queue.clear();
  for (auto& since : unrecorded_since_)
    since.clear();
  waiters_.clear();
  shares_ = {};
}

bool FinalStateQueue::empty() const {
  return std::all_of(queues_.begin(), queues_.end(), [](const auto& queue) { return queue.empty(); });
}

void FinalStateQueue::decide(Job& job, wire::Phase phase, RecordKind kind, Seconds decided_at) {
  job.final_state_pending = true;
  job.final_phase = phase;
  job.final_record_kind = kind;
  job.final_state_decided_at = decided_at;
  job.record_order = decided_at;
  unrecorded_since_[index(kind)].insert(decided_at);
  enqueue(job);
}

void FinalStateQueue::add_waiter(JobIndex job, std::function<void()> then) {
  waiters_[job].push_back(std::move(then));
}

std::vector<std::function<void()>> FinalStateQueue::take_waiters(JobIndex job) {
  auto waiters = waiters_.extract(job);
  if (waiters.empty())
    return {};
  return std::move(waiters.mapped());
}

FinalStateQueue::Selection FinalStateQueue::select(const Demand& demand, Seconds now) {
  Selection selection;
  selection.shares_before = shares_;
  selection.unassigned_changes = demand.changes;
  while (selection.unassigned_changes > 0) {
    WriteShares::Waiting waiting{};
    for (std::size_t kind = 0; kind < kFinalStateKinds; ++kind)
      waiting[kind] = !queues_[kind].empty();
    waiting[index(RecordKind::inventory)] = demand.inventory_pages > selection.inventory_changes;
    waiting[index(RecordKind::completions)] = demand.completion_pages > selection.completion_changes;
    const auto kind = shares_.next(waiting);
    if (!kind)
      break;
    int changes = 1;
    if (*kind == RecordKind::inventory) {
      ++selection.inventory_changes;
    } else if (*kind == RecordKind::completions) {
      ++selection.completion_changes;
    } else {
      auto& queue = queues_[index(*kind)];
      const JobIndex job = queue.begin()->job;
      changes = final_state_changes(*registry_.job_at(job));
      if (changes > selection.unassigned_changes)
        break;  // it stays first in its queue for the next transaction
      queue.erase(queue.begin());
      selection.final_states.push_back(job);
    }
    selection.unassigned_changes -= changes;
    shares_.charge(*kind, changes, near_limit(*kind, now));
  }
  for (std::size_t kind = 0; kind < kFinalStateKinds; ++kind)
    selection.left_out[kind] = !queues_[kind].empty();
  return selection;
}

void FinalStateQueue::restore(const Selection& selection) {
  shares_ = selection.shares_before;
  for (const JobIndex job : selection.final_states)
    enqueue(*registry_.job_at(job));
}

void FinalStateQueue::count_deferred(const Selection& selection) {
  for (std::size_t kind = 0; kind < kFinalStateKinds; ++kind)
    deferred_[kind] += selection.left_out[kind];
}

void FinalStateQueue::move_to_back(Job& job, Seconds now) {
  queues_[index(job.final_record_kind)].erase({job.record_order, job.index});
  job.record_order = now;
  enqueue(job);
}

void FinalStateQueue::on_recorded(const Job& job) {
  const std::size_t kind = index(job.final_record_kind);
  unrecorded_since_[kind].extract(job.final_state_decided_at);
  ++recorded_[kind];
}

FinalStateQueue::Backlogs FinalStateQueue::backlogs(Seconds now) const {
  Backlogs all;
  for (std::size_t kind = 0; kind < kFinalStateKinds; ++kind) {
    const auto oldest = oldest_unrecorded(static_cast<RecordKind>(kind));
    all[kind] = {unrecorded_since_[kind].size(), oldest ? now - *oldest : 0, recorded_[kind],
                 deferred_[kind]};
  }
  return all;
}

std::optional<Seconds> FinalStateQueue::oldest_unrecorded(RecordKind kind) const {
  const auto& since = unrecorded_since_[index(kind)];
  return since.empty() ? std::nullopt : std::optional(*since.begin());
}

void FinalStateQueue::enqueue(const Job& job) {
  queues_[index(job.final_record_kind)].insert({job.record_order, job.index});
}

// Queries of cancelled and orphaned jobs must return the final state within a time limit; final states of
// completed jobs have no limit.
bool FinalStateQueue::near_limit(RecordKind kind, Seconds now) const {
  if (kind != RecordKind::cancelled && kind != RecordKind::orphaned)
    return false;
  const auto oldest = oldest_unrecorded(kind);
  return oldest && now - *oldest > kNearLimitFraction * settings_.cancellation_limit_s;
}

}  // namespace wingtrail::jobs
