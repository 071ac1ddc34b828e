#include "controller/job_cancellation.hpp"

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>
#include <utility>

#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kLeaderTimeout = 3.0;
// Responsive workers stop a job's tasks within this time: a command and its reply may each take several
// hundred ms. With kMaxRecordWait it is less than kLeaderTimeout.
constexpr Seconds kMaxStopWait = 1.5;
constexpr Seconds kMaxRecordWait = 1.0;  // recording takes longer only while the write budget is scarce
}  // namespace

JobCancellation::JobCancellation(Collaborators collaborators, Callbacks callbacks)
    : collaborators_(collaborators), callbacks_(std::move(callbacks)) {}

void JobCancellation::request(const RequestOrigin& origin, const std::string& ref) {
  if (collaborators_.queries.answer_final(origin, ref, ReplyDetail::state))
    return;
  if (!callbacks_.is_active_leader())
    return forward_to_leader(origin, ref);
  if (jobs::Job* job = collaborators_.registry.find(ref))
    return cancel_for(origin, *job);
  collaborators_.lookup.look_up(
      ref, store::RequestPriority::user, LookupDetail::live_record,
      [this, origin, ref](const LookupResult& result) {
        if (result.outcome == LookupOutcome::absent)
          return collaborators_.responder.respond(origin, 404);
        if (result.outcome != LookupOutcome::found)
          return collaborators_.responder.try_later(origin, retry_status(result.outcome));
        if (collaborators_.queries.answer_final(origin, ref, ReplyDetail::state))
          return;
        if (callbacks_.is_active_leader() && result.live)
          callbacks_.on_live_job_read(*result.live);
        jobs::Job* job = callbacks_.is_active_leader() ? collaborators_.registry.find(ref) : nullptr;
        if (!job)
          return collaborators_.responder.try_later(origin);
        cancel_for(origin, *job);
      });
}

void JobCancellation::forward_to_leader(const RequestOrigin& origin, const std::string& ref) {
  if (origin.by_peer)
    return collaborators_.responder.try_later(origin);
  const auto leader = collaborators_.peer_calls.reachable_leader();
  const std::string path = std::string(wire::kJobsPath) + "/" + ref + wire::kAbortSuffix;
  collaborators_.peer_calls.forward(
      origin, leader, {"POST", path, "", kLeaderTimeout}, [this, origin, ref, leader](PeerOutcome outcome) {
        // No marker for a leader that is reachable but slow: a marker costs two writes, and users repeat
        // cancellations that are not confirmed in time.
        if (outcome == PeerOutcome::unavailable && collaborators_.peers[*leader].answers_heartbeats &&
            collaborators_.peers[*leader].state_service_healthy) {
          return collaborators_.responder.try_later(origin);
        }
        request_marker(origin, ref);
      });
}

void JobCancellation::cancel_for(const RequestOrigin& origin, jobs::Job& job) {
  cancel(job);
  pending_.push_back({job.index, origin, collaborators_.outbox.now() + kMaxStopWait});
  // The timer wakes the controller, which then calls process_pending().
  collaborators_.outbox.after(kMaxStopWait, [] {});
}

// A leader that its peers cannot reach may still read the marker from the state service. The user is asked to
// retry, since only the leader decides whether the job was done first.
void JobCancellation::request_marker(const RequestOrigin& origin, const std::string& ref) {
  collaborators_.lookup.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                                [this, origin, ref](const LookupResult& result) {
                                  if (result.outcome == LookupOutcome::absent)
                                    return collaborators_.responder.respond(origin, 404);
                                  if (result.outcome != LookupOutcome::found)
                                    return collaborators_.responder.try_later(origin,
                                                                              retry_status(result.outcome));
                                  if (collaborators_.queries.answer_final(origin, ref, ReplyDetail::state))
                                    return;
                                  write_marker(ref, result.live.value());
                                  collaborators_.responder.try_later(origin);
                                });
}

void JobCancellation::write_marker(const std::string& ref, const LiveRecord& live) {
  wire::Transaction transaction;
  transaction.require(live.key, live.version);
  transaction.require(jobs::kFinalStatePrefix + ref, 0);  // a batch outlives some of its jobs
  transaction.put(jobs::kLiveJobPrefix + ref + jobs::kCancellationSuffix, true);
  collaborators_.store.transact(std::move(transaction), store::RequestPriority::user, ports::kNever,
                                [](const store::Reply&) {});
}

void JobCancellation::on_marker(const std::string& key) {
  constexpr std::size_t kPrefixLength = std::string_view(jobs::kLiveJobPrefix).size();
  constexpr std::size_t kSuffixLength = std::string_view(jobs::kCancellationSuffix).size();
  jobs::Job* job =
      collaborators_.registry.find(key.substr(kPrefixLength, key.size() - kPrefixLength - kSuffixLength));
  // A marker is written only if the job's record exists, so the job's creation was read before the marker. If
  // the job is not open, it is over, or its final state is being written by a transaction that does not
  // delete the marker.
  if (!job || !job->is_open())
    return collaborators_.state_writer.delete_later(key);
  job->has_cancellation_marker = true;
  cancel(*job);
}

// Adds an entry without a user to `pending_`, which remains until the job's final state is recorded. Each
// request of a user has an entry of its own, which ends after kMaxStopWait at the latest.
void JobCancellation::cancel(jobs::Job& job) {
  if (job.is_open() && !job.cancelling) {
    job.cancelling = true;
    pending_.push_back({job.index, {}, ports::kNever});
  }
  collaborators_.workers.cancel_job(job);
}

// Whether it is proved that no machine runs a task of the job or can still start one. Every confirmed
// cancellation rests on this proof. It uses no timeouts: delegated lease renewal may keep an unreachable
// worker alive for longer than a cancellation may take, and without delegated renewal, when the worker's
// lease expires in time, a start command already sent could still arrive after the reply to the user.
bool JobCancellation::has_no_instances(const jobs::Job& job) const {
  if (job.placed_remotely)
    return false;  // the holding cell has to confirm it
  if (job.placed_tasks > 0)
    return false;  // started, possibly started, or running
  if (collaborators_.workers.has_stray_instance(job.spec.ref))
    return false;
  // Until the reconciliation ends, a machine may run a task that an earlier leader started. That concerns
  // only jobs that are older than this leadership.
  return collaborators_.scheduler.filters().reconciled().admits(job);
}

// While the machine of a task does not answer, users are asked to retry; no task of the job starts meanwhile.
void JobCancellation::process_pending() {
  if (pending_.empty() || !callbacks_.loaded())
    return;
  std::vector<Pending> waiting;
  for (const Pending& pending : std::exchange(pending_, {})) {
    if (still_pending(pending))
      waiting.push_back(pending);
  }
  pending_.insert(pending_.end(), waiting.begin(), waiting.end());
}

bool JobCancellation::still_pending(const Pending& pending) {
  jobs::Job* job = collaborators_.registry.job_at(pending.job);
  if (!job) {
    if (pending.origin)
      collaborators_.responder.try_later(*pending.origin);
    return false;
  }
  if (job->placed_remotely)
    collaborators_.remote_placements.recall(job->spec.ref, true, collaborators_.outbox.now());
  if (job->final_state_pending || job->final_state_recorded ||
      (callbacks_.is_active_leader() && has_no_instances(*job))) {
    record_cancelled(*job, pending.origin);
    return false;
  }
  if (pending.origin && collaborators_.outbox.now() >= pending.defer_at) {
    ++deferred_count_;
    spdlog::debug("cancellation: deferred ref={} placed_tasks={} stray_instance={} active_leader={}",
                  job->spec.ref, job->placed_tasks, collaborators_.workers.has_stray_instance(job->spec.ref),
                  callbacks_.is_active_leader());
    collaborators_.responder.try_later(*pending.origin);
    return false;
  }
  return true;
}

void JobCancellation::record_cancelled(jobs::Job& job, const std::optional<RequestOrigin>& origin) {
  std::function<void()> then;
  if (origin) {
    // A waiting user holds a connection. The wait is limited, since with all connections taken no peer could
    // send a request.
    auto answered = std::make_shared<bool>(false);
    then = [this, answered, origin = *origin, ref = job.spec.ref] {
      if (std::exchange(*answered, true))
        return;
      if (collaborators_.queries.answer_final(origin, ref, ReplyDetail::state))
        return;
      spdlog::debug("cancellation: deferred until its final state is recorded ref={}", ref);
      collaborators_.responder.try_later(origin);
    };
    collaborators_.outbox.after(kMaxRecordWait, then);
  }
  if (!job.final_state_recorded)
    return collaborators_.state_writer.record_final_state(job, wire::Phase::cancelled, std::move(then));
  if (then)
    then();
}

void JobCancellation::end_leadership() {
  for (const Pending& pending : std::exchange(pending_, {})) {
    if (pending.origin)
      collaborators_.responder.try_later(*pending.origin);
  }
}

}  // namespace wingtrail::controller
