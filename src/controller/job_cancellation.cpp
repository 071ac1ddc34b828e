#include "controller/job_cancellation.hpp"

#include <memory>
#include <string_view>
#include <utility>

#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kLeaderTimeout = 3.0;
constexpr Seconds kTasksGoneWithin = 0.5;  // responsive workers stop a job's tasks within this time
constexpr Seconds kRecordedWithin = 1.0;   // a cancellation is recorded, unless the write budget is scarce
}  // namespace

JobCancellation::JobCancellation(Collaborators collaborators, Callbacks callbacks)
    : with_(collaborators), callbacks_(std::move(callbacks)) {}

void JobCancellation::request(const RequestOrigin& origin, const std::string& ref) {
  if (with_.queries.answer_final(origin, ref, ReplyDetail::state))
    return;
  if (!callbacks_.is_active_leader())
    return forward_to_leader(origin, ref);
  if (jobs::Job* job = with_.registry.find(ref))
    return cancel_for(origin, *job);
  with_.lookup.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                       [this, origin, ref](const LookupResult& result) {
                         if (result.outcome == LookupOutcome::absent)
                           return with_.responder.respond(origin, 404);
                         if (result.outcome != LookupOutcome::found)
                           return with_.responder.try_later(origin, retry_status(result.outcome));
                         if (with_.queries.answer_final(origin, ref, ReplyDetail::state))
                           return;
                         if (callbacks_.is_active_leader() && result.live)
                           callbacks_.on_live_job_read(*result.live);
                         jobs::Job* job = callbacks_.is_active_leader() ? with_.registry.find(ref) : nullptr;
                         if (!job)
                           return with_.responder.try_later(origin);
                         cancel_for(origin, *job);
                       });
}

void JobCancellation::forward_to_leader(const RequestOrigin& origin, const std::string& ref) {
  if (origin.by_peer)
    return with_.responder.try_later(origin);
  const auto leader = with_.peer_calls.reachable_leader();
  const std::string path = std::string(wire::kJobsPath) + "/" + ref + wire::kAbortSuffix;
  with_.peer_calls.forward(
      origin, leader, {"POST", path, "", kLeaderTimeout}, [this, origin, ref, leader](PeerOutcome outcome) {
        // A leader that is only slow with it needs no marker: each costs two writes, and
        // users repeat late cancellations.
        if (outcome == PeerOutcome::unavailable && with_.peers[*leader].answers_heartbeats &&
            with_.peers[*leader].state_service_healthy) {
          return with_.responder.try_later(origin);
        }
        leave_marker(origin, ref);
      });
}

void JobCancellation::cancel_for(const RequestOrigin& origin, jobs::Job& job) {
  cancel(job);
  pending_.push_back({job.index, origin, with_.out.now() + kTasksGoneWithin});
  with_.out.after(kTasksGoneWithin, [] {});  // wakes the controller, so that progress() is called then
}

// While the leader cannot be reached by its peers, it may well read what they leave in the state service. The
// user is asked to come back: only the leader decides whether the job was done first.
void JobCancellation::leave_marker(const RequestOrigin& origin, const std::string& ref) {
  with_.lookup.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                       [this, origin, ref](const LookupResult& result) {
                         if (result.outcome == LookupOutcome::absent)
                           return with_.responder.respond(origin, 404);
                         if (result.outcome != LookupOutcome::found)
                           return with_.responder.try_later(origin, retry_status(result.outcome));
                         if (with_.queries.answer_final(origin, ref, ReplyDetail::state))
                           return;
                         write_marker(ref, result.live.value());
                         with_.responder.try_later(origin);
                       });
}

void JobCancellation::write_marker(const std::string& ref, const LiveRecord& live) {
  wire::Transaction txn;
  txn.require(live.key, live.version);
  txn.require(jobs::kFinalStatePrefix + ref, 0);  // a batch outlives some of its jobs
  txn.put(jobs::kLiveJobPrefix + ref + jobs::kCancellationSuffix, true);
  with_.store.transact(std::move(txn), store::RequestPriority::user, ports::kNever,
                       [](const store::Reply&) {});
}

void JobCancellation::on_marker(const std::string& key) {
  constexpr std::size_t kPrefixLength = std::string_view(jobs::kLiveJobPrefix).size();
  constexpr std::size_t kSuffixLength = std::string_view(jobs::kCancellationSuffix).size();
  jobs::Job* job = with_.registry.find(key.substr(kPrefixLength, key.size() - kPrefixLength - kSuffixLength));
  // A marker is written on condition that the job's record exists, so the job's creation was seen before. The
  // job is over, or its final state is being written and did not delete the marker.
  if (!job || !job->is_open())
    return with_.state_writer.delete_later(key);
  job->has_cancellation_marker = true;
  cancel(*job);
}

// One entry stands for the job until its final state is recorded; users who ask, and ask again, wait beside
// it for a moment only.
void JobCancellation::cancel(jobs::Job& job) {
  if (job.is_open() && !job.cancelling) {
    job.cancelling = true;
    pending_.push_back({job.index, {}, ports::kNever});
  }
  with_.workers.cancel_job(job);
}

// Whether no machine has a task of the job, nor can get one any more: the one proof behind every cancellation
// that is confirmed. The lease of a worker out of reach may be renewed by delegation for longer than a
// cancellation may take, and a start that was sent may still arrive, so nothing of it rests on time. The same
// with and without delegated renewal: without it a silent machine's lease is over in time, but a start could
// follow the reply to the user.
bool JobCancellation::is_gone(const jobs::Job& job) const {
  if (job.placed_remotely)
    return false;  // the cell that holds it has to say so
  if (job.placed_tasks > 0)
    return false;  // commanded, in doubt, or running
  if (with_.workers.has_stray_instance(job.spec.ref))
    return false;
  // Only leaders before this one could have started it elsewhere, and only if it is older.
  return with_.scheduler.filters().reconciled().admits(job);
}

// While a task's machine does not answer, the user is asked to come back; the job starts nothing meanwhile.
void JobCancellation::progress() {
  if (pending_.empty() || !callbacks_.loaded())
    return;
  std::vector<Pending> waiting;
  for (const Pending& pending : std::exchange(pending_, {})) {
    if (keeps_waiting(pending))
      waiting.push_back(pending);
  }
  pending_.insert(pending_.end(), waiting.begin(), waiting.end());
}

bool JobCancellation::keeps_waiting(const Pending& pending) {
  jobs::Job* job = with_.registry.job_at(pending.job);
  if (!job) {
    if (pending.origin)
      with_.responder.try_later(*pending.origin);
    return false;
  }
  if (job->placed_remotely)
    with_.remote_placements.recall(job->spec.ref, true, with_.out.now());
  if (job->final_state_pending || job->final_state_recorded ||
      (callbacks_.is_active_leader() && is_gone(*job))) {
    record(*job, pending.origin);
    return false;
  }
  if (pending.origin && with_.out.now() >= pending.defer_at) {
    ++deferred_count_;
    with_.responder.try_later(*pending.origin);
    return false;
  }
  return true;
}

void JobCancellation::record(jobs::Job& job, const std::optional<RequestOrigin>& origin) {
  std::function<void()> then;
  if (origin) {
    // A user that waits here holds a connection, and with all of them taken no peer could ask anything.
    auto answered = std::make_shared<bool>(false);
    then = [this, answered, origin = *origin, ref = job.spec.ref] {
      if (std::exchange(*answered, true))
        return;
      if (!with_.queries.answer_final(origin, ref, ReplyDetail::state))
        with_.responder.try_later(origin);
    };
    with_.out.after(kRecordedWithin, then);
  }
  if (!job.final_state_recorded)
    return with_.state_writer.record_final_state(job, wire::Phase::cancelled, std::move(then));
  if (then)
    then();
}

void JobCancellation::end_leadership() {
  for (const Pending& pending : std::exchange(pending_, {})) {
    if (pending.origin)
      with_.responder.try_later(*pending.origin);
  }
}

}  // namespace wingtrail::controller
