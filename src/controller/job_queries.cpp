#include "controller/job_queries.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/job_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kLeaderTimeout = 0.7;
// Users wait 2 s for an answer, of which a query may have spent kLeaderTimeout. A peer waits kLeaderTimeout.
constexpr Seconds kLookupPatience = 1.1, kLookupPatienceForPeer = 0.5;

std::string job_path(const std::string& ref) {
  return std::string(wire::kJobsPath) + "/" + ref;
}
}  // namespace

JobQueries::JobQueries(Collaborators collaborators, Callbacks callbacks)
    : collaborators_(collaborators), callbacks_(std::move(callbacks)) {}

void JobQueries::answer_query(const RequestOrigin& origin, const std::string& ref) {
  if (answer_final(origin, ref, ReplyDetail::progress))
    return;
  if (callbacks_.is_active_leader()) {
    if (const jobs::Job* job = collaborators_.registry.find(ref))
      return answer_live(origin, *job, ReplyDetail::progress);
    return answer_fresh(origin, ref, ReplyDetail::progress);
  }
  if (origin.by_peer) {
    // The peer regards this controller as the leader and would pass the reply on as the leader's, so the
    // reply must hold even if the leader deferred the query.
    if (collaborators_.store.healthy())
      return answer_fresh(origin, ref, ReplyDetail::progress, true);
    return defer(origin, ref, DeferralReason::not_leading);
  }
  ask_leader(origin, ref);
}

// Each forwarded query holds a connection of the leader until it is answered. With all of them taken, the
// leader would refuse status frames too, and count as unreachable.
std::size_t JobQueries::max_forwarded() const {
  const settings::Settings& settings = collaborators_.settings;
  return std::max<std::size_t>(
      2, settings.peer_connections() / 2 / std::max<std::size_t>(1, settings.peers.size()));
}

void JobQueries::ask_leader(const RequestOrigin& origin, const std::string& ref) {
  const auto leader = collaborators_.peer_calls.reachable_leader();
  if (!leader)
    return answer_fresh(origin, ref, ReplyDetail::progress);
  if (forwarded_in_flight_ >= max_forwarded()) {
    ++not_forwarded_count_;
    return answer_fresh(origin, ref, ReplyDetail::progress);
  }
  ++forwarded_in_flight_;
  collaborators_.peer_calls.send_request(
      *leader, {"GET", job_path(ref), "", kLeaderTimeout}, [this, origin, ref](const PeerReply& reply) {
        --forwarded_in_flight_;
        if (reply.outcome == PeerOutcome::answered)
          return respond(origin, ref, reply.status, reply.body);
        answer_fresh(origin, ref, ReplyDetail::progress, reply.outcome == PeerOutcome::unavailable);
      });
}

void JobQueries::respond(const RequestOrigin& origin, const std::string& ref, int status, wire::Value body) {
  if (!origin.by_peer)
    unanswered_.on_answered(ref);
  collaborators_.responder.respond(origin, status, std::move(body));
}

void JobQueries::update() {
  unanswered_.update(collaborators_.outbox.now(), collaborators_.store.healthy());
}

bool JobQueries::answer_final(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail) {
  const wire::FinalState* state = collaborators_.final_states.find(ref);
  if (!state)
    return false;
  const std::uint32_t done_tasks = state->phase == wire::Phase::done ? state->tasks : 0;
  respond(origin, ref, 200,
          detail == ReplyDetail::state ? wire::job_state(ref, state->phase)
                                       : wire::job_progress(ref, state->phase, done_tasks, 0));
  return true;
}

// Whether, as far as the leader knows, a dependency of the job is or may be cancelled. The job is then
// cancelled too. Until that final state is recorded, neither that state nor "queued" may be answered.
bool JobQueries::may_be_orphaned(const jobs::Job& job) const {
  return job.orphaned || collaborators_.dependencies.has_undecided_dependency(job);
}

void JobQueries::defer(const RequestOrigin& origin, const std::string& ref, DeferralReason reason) {
  ++deferral_counts_[static_cast<std::size_t>(reason)];
  if (!origin.by_peer)
    unanswered_.on_deferred(ref, collaborators_.outbox.now(), reason);
  spdlog::debug("queries: deferred ref={} reason={}", ref, name(reason));
  collaborators_.responder.try_later(origin, reason == DeferralReason::budget_exhausted ? 429 : 503);
}

void JobQueries::defer_undecided(const RequestOrigin& origin, const jobs::Job& job) {
  defer(origin, job.spec.ref,
        job.orphaned ? DeferralReason::dependency_cancelled : DeferralReason::dependency_unknown);
}

void JobQueries::answer_live(const RequestOrigin& origin, const jobs::Job& job, ReplyDetail detail) {
  if (may_be_orphaned(job))
    return defer_undecided(origin, job);
  // The final state has been sent and may be recorded although no reply has come. Another controller may have
  // read and answered it, and an answer that the job is live would then be out of date.
  if (job.final_state_sent)
    return answer_fresh(origin, job.spec.ref, detail);
  if (detail == ReplyDetail::state)
    return respond(origin, job.spec.ref, 200, wire::job_state(job.spec.ref, job.phase()));
  respond(origin, job.spec.ref, 200,
          job.placed_remotely
              ? remote_progress(job)
              : wire::job_progress(job.spec.ref, job.phase(), job.done_tasks, job.running_tasks));
}

// Returns the progress that the holding cell reported last.
wire::Value JobQueries::remote_progress(const jobs::Job& job) const {
  const cells::RemotePlacements::RemotePlacement* placement =
      collaborators_.remote_placements.find(job.spec.ref);
  const std::uint32_t done = placement ? placement->done : 0;
  const std::uint32_t running = placement ? placement->running : 0;
  return wire::job_progress(job.spec.ref, running > 0 ? wire::Phase::running : wire::Phase::queued, done,
                            running);
}

// Only the leader knows whether a job with dependencies is live, so it is asked first.
void JobQueries::answer_accepted(const RequestOrigin& origin, const wire::JobSpec& spec) {
  if (callbacks_.is_active_leader() || origin.by_peer || spec.depends_on.empty())
    return answer_fresh(origin, spec.ref, ReplyDetail::state);
  collaborators_.peer_calls.forward(
      origin, collaborators_.peer_calls.reachable_leader(), {"GET", job_path(spec.ref), "", kLeaderTimeout},
      [this, origin, ref = spec.ref](PeerOutcome outcome) {
        answer_fresh(origin, ref, ReplyDetail::state, outcome == PeerOutcome::unavailable);
      });
}

void JobQueries::answer_fresh(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail,
                              bool leader_deferred) {
  // A job that depends on a cancelled one may still be recorded as live, and only the leader knows that it is
  // orphaned. So this controller relies on the time up to which the leader reports such final states as
  // recorded. That the leader wrote something lately proves nothing, since its backlog may exceed what it can
  // write. The report proves nothing either if the leader has just deferred the query: replies of the state
  // service to the leader may have been lost.
  const bool leader_overdue =
      !callbacks_.is_active_leader() &&
      (leader_deferred || collaborators_.outbox.now() - callbacks_.final_states_recorded_until() >
                              collaborators_.settings.cancellation_limit_s / 2);
  // The leader needs the record, to add a job that it does not know.
  const auto lookup_detail =
      callbacks_.is_active_leader() || leader_overdue ? LookupDetail::live_record : LookupDetail::phase;
  auto then = [this, origin, ref, detail, leader_overdue, leader_deferred](const LookupResult& result) {
    on_looked_up(origin, ref, detail, leader_overdue, leader_deferred, result);
  };
  // Users repeat queries every few seconds, so submissions and cancellations have priority over them.
  if (detail == ReplyDetail::state)
    return collaborators_.lookup.look_up(ref, store::RequestPriority::user, lookup_detail, std::move(then));
  const Seconds now = collaborators_.outbox.now();
  collaborators_.lookup_queue.look_up(ref, lookup_detail, unanswered_.unanswered_since(ref, now),
                                      now + (origin.by_peer ? kLookupPatienceForPeer : kLookupPatience),
                                      std::move(then));
}

void JobQueries::on_looked_up(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail,
                              bool leader_overdue, bool leader_deferred, const LookupResult& result) {
  if (result.outcome == LookupOutcome::absent)
    return respond(origin, ref, 404);
  if (result.outcome != LookupOutcome::found) {
    // 429 would blame the rate of requests, which is wrong while no leader can be reached to answer.
    const bool no_reachable_leader =
        !callbacks_.is_active_leader() && !collaborators_.peer_calls.reachable_leader();
    const bool throttled = result.outcome == LookupOutcome::throttled;
    return defer(
        origin, ref,
        throttled && !no_reachable_leader ? DeferralReason::budget_exhausted : DeferralReason::no_reply);
  }
  if (answer_final(origin, ref, detail))
    return;
  if (leader_overdue && result.live && wire::has_dependencies(result.live->spec)) {
    return defer(origin, ref,
                 leader_deferred ? DeferralReason::leader_deferred : DeferralReason::leader_unreachable);
  }
  if (callbacks_.is_active_leader() && result.live)
    callbacks_.on_live_job_read(*result.live);
  const jobs::Job* known = callbacks_.is_active_leader() ? collaborators_.registry.find(ref) : nullptr;
  if (known && may_be_orphaned(*known))
    return defer_undecided(origin, *known);
  respond(origin, ref, 200,
          detail == ReplyDetail::state ? wire::job_state(ref, *result.phase)
                                       : wire::job_progress(ref, *result.phase, 0, 0));
}

}  // namespace wingtrail::controller
