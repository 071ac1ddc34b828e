#include "controller/job_submission.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "controller/job_validation.hpp"
#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kCreationTimeout = 2.5;  // for the reply of a peer that creates the job
constexpr Seconds kForwardTimeout = 3.0;   // for the reply of a peer that also validates the submission
}  // namespace

JobSubmission::JobSubmission(Collaborators collaborators, Callbacks callbacks)
    : collaborators_(collaborators), callbacks_(std::move(callbacks)) {}

void JobSubmission::submit(const RequestOrigin& origin, const std::string& bytes) {
  ++counts_.submitted;
  const auto spec = wire::decode_cbor(bytes).and_then(wire::parse_job);
  if (!spec) {
    ++counts_.refused;
    counts_.refused_messages.count(spec.error());
    spdlog::info("submissions: refused error=\"{}\" bytes={}", spec.error().text(), bytes.size());
    return collaborators_.responder.respond(origin, 400, {{"error", spec.error().text()}});
  }
  if (collaborators_.queries.answer_final(origin, spec->ref, ReplyDetail::state))
    return;
  if (callbacks_.is_active_leader()) {
    if (const jobs::Job* job = collaborators_.registry.find(spec->ref))
      return collaborators_.queries.answer_live(origin, *job, ReplyDetail::state);
  }
  // Without the machine types this controller cannot validate the job; a peer may know them.
  if (collaborators_.catalog.empty()) {
    if (origin.by_peer)
      return collaborators_.responder.try_later(origin);
    return collaborators_.peer_calls.forward(
        origin, collaborators_.peer_calls.peer_with_state_service(),
        {"POST", wire::kJobsPath, bytes, kForwardTimeout},
        [this, origin](PeerOutcome) { collaborators_.responder.try_later(origin); });
  }
  // The catalog may have changed since an earlier acceptance of the job, so a refusal first checks for one.
  if (const auto reason = unrunnable_reason(*spec, collaborators_.settings, collaborators_.catalog))
    return refuse_unless_accepted(origin, spec->ref, *reason);
  if (wire::job_record(*spec, collaborators_.outbox.time_of_day()).dump().size() >
      collaborators_.settings.value_bytes()) {
    return refuse_unless_accepted(origin, spec->ref,
                                  "too large to be kept; name fewer jobs or machine types");
  }
  if (!spec->depends_on.empty())
    return check_dependencies(origin, *spec, bytes);
  create(origin, *spec);
}

void JobSubmission::refuse_unless_accepted(const RequestOrigin& origin, const std::string& ref,
                                           const std::string& reason) {
  collaborators_.lookup.look_up(ref, store::RequestPriority::user, LookupDetail::phase,
                                [this, origin, ref, reason](const LookupResult& result) {
                                  if (result.outcome == LookupOutcome::absent) {
                                    ++counts_.refused;
                                    return collaborators_.responder.respond(origin, 422, {{"error", reason}});
                                  }
                                  if (result.outcome == LookupOutcome::found) {
                                    const bool leader_deferred = !callbacks_.is_active_leader();
                                    return collaborators_.queries.answer_fresh(
                                        origin, ref, ReplyDetail::state, leader_deferred);
                                  }
                                  collaborators_.responder.try_later(origin);
                                });
}

// ---------------------------------------------------------------- dependencies

// The check that all dependencies of a submission were accepted. An accepted job exists forever, as a live
// job or as a final state, so a check before the creation suffices and is no condition of the creation.
struct JobSubmission::DependencyCheck {
  RequestOrigin origin;
  wire::JobSpec spec;
  std::string bytes;
  std::vector<std::string> unknown;  // dependencies still to be looked up
};

// Whether the leader runs a version without dependencies, which would start the job at once.
bool JobSubmission::leader_lacks_dependencies() const {
  const auto leader = collaborators_.peers.find(collaborators_.election.leader());
  return leader &&
         collaborators_.peers[*leader].level.value_or(peer::kProtocolLevel) < peer::kLevelDependencies;
}

void JobSubmission::check_dependencies(const RequestOrigin& origin, const wire::JobSpec& spec,
                                       const std::string& bytes) {
  if (leader_lacks_dependencies())
    return collaborators_.responder.try_later(origin);
  auto check = std::make_shared<DependencyCheck>(DependencyCheck{origin, spec, bytes, {}});
  for (const std::string& ref : spec.depends_on) {
    if (ref == spec.ref)
      return refuse_unless_accepted(origin, spec.ref, "waitsOn: the job names itself");
    if (collaborators_.final_states.contains(ref) ||
        (callbacks_.is_active_leader() && collaborators_.registry.find(ref)))
      continue;
    check->unknown.push_back(ref);
  }
  check_next(check);
}

// Compares as many dependencies in one transaction as its conditions allow. Each job that was accepted has
// one of the two keys, and the reply names the keys that exist.
void JobSubmission::check_next(const std::shared_ptr<DependencyCheck>& check) {
  if (check->unknown.empty())
    return create(check->origin, check->spec);
  wire::Transaction transaction;
  std::vector<std::string> compared;
  while (!check->unknown.empty() &&
         transaction.condition_count() + 2 <= 4 * collaborators_.settings.max_transaction_changes) {
    compared.push_back(std::move(check->unknown.back()));
    check->unknown.pop_back();
    transaction.require(jobs::kLiveJobPrefix + compared.back(), 0)
        .require(jobs::kFinalStatePrefix + compared.back(), 0);
  }
  collaborators_.store.transact(std::move(transaction), store::RequestPriority::user, ports::kNever,
                                [this, check, compared = std::move(compared)](const store::Reply& reply) {
                                  on_compared(check, compared, reply);
                                });
}

void JobSubmission::on_compared(const std::shared_ptr<DependencyCheck>& check,
                                const std::vector<std::string>& compared, const store::Reply& reply) {
  if (reply.status != 200 && reply.status != 409) {
    // The state service may be unavailable to this controller only, so a peer that it answers is asked.
    const auto peer = check->origin.by_peer
                          ? std::nullopt
                          : collaborators_.peer_calls.peer_with_state_service(peer::kLevelDependencies);
    return collaborators_.peer_calls.forward(
        check->origin, peer, {"POST", wire::kJobsPath, check->bytes, kCreationTimeout},
        [this, check, throttled = reply.status == 429](PeerOutcome) {
          collaborators_.responder.try_later(check->origin, throttled ? 429 : 503);
        });
  }
  const auto existing = reply.status == 409 ? wire::failed_keys(reply.body) : std::vector<std::string>{};
  const auto exists = [&existing](const std::string& key) {
    return std::find(existing.begin(), existing.end(), key) != existing.end();
  };
  std::vector<std::string> without_key;
  for (const std::string& ref : compared) {
    if (!exists(jobs::kLiveJobPrefix + ref) && !exists(jobs::kFinalStatePrefix + ref))
      without_key.push_back(ref);
  }
  look_up_without_key(check, std::move(without_key));
}

// Jobs without a key of their own may be in job batches, and are looked up one at a time.
void JobSubmission::look_up_without_key(const std::shared_ptr<DependencyCheck>& check,
                                        std::vector<std::string> refs) {
  if (refs.empty())
    return check_next(check);
  const std::string ref = std::move(refs.back());
  refs.pop_back();
  const auto refuse = [this, check, ref] {
    refuse_unless_accepted(check->origin, check->spec.ref, "waitsOn: " + ref + " was never accepted");
  };
  if (!collaborators_.batches.may_miss_batches())
    return refuse();
  collaborators_.lookup.look_up(ref, store::RequestPriority::user, LookupDetail::phase,
                                [this, check, refs = std::move(refs), refuse](const LookupResult& result) {
                                  if (result.outcome == LookupOutcome::absent)
                                    return refuse();
                                  if (result.outcome == LookupOutcome::found)
                                    return look_up_without_key(check, refs);
                                  collaborators_.responder.try_later(check->origin,
                                                                     retry_status(result.outcome));
                                });
}

// ---------------------------------------------------------------- creation

// A creation in progress at this controller and, if that takes long or fails, also at a peer. The first
// success is answered to the user; a failure is answered once neither attempt is pending.
struct JobSubmission::Creation {
  RequestOrigin origin;
  wire::JobSpec spec;
  wire::Value record;
  bool answered = false;
  bool pending_here = false;
  bool pending_at_peer = false;
  bool sent_to_peer = false;
  int failure_status = 503;
  Seconds retry_after_s = 1;
  wire::Value peer_refusal = nullptr;  // body of a peer's 400 or 422
};

void JobSubmission::create(const RequestOrigin& origin, const wire::JobSpec& spec) {
  // A job in a job batch exists already, so this is a repeated submission.
  if (collaborators_.batches.index().find(spec.ref) ||
      collaborators_.batches.index().recently_removed(spec.ref))
    return collaborators_.queries.answer_accepted(origin, spec);
  auto creation = std::make_shared<Creation>(
      Creation{origin, spec, wire::job_record(spec, collaborators_.outbox.time_of_day())});
  // While the state service does not answer this controller, a peer is asked at once, so that the user does
  // not wait for another timeout.
  if (!origin.by_peer && !collaborators_.store.healthy())
    create_at_peer(creation);
  if (creation->answered)
    return;
  create_locally(creation);
  if (!creation->answered && !origin.by_peer)
    hedge(creation);
}

void JobSubmission::create_locally(const std::shared_ptr<Creation>& creation) {
  creation->pending_here = true;
  collaborators_.creation_queue.enqueue(
      creation->spec, creation->record,
      [this, creation, term = callbacks_.term()](const admission::CreationQueue::Result& result) {
        on_local_result(creation, term, result);
      });
}

void JobSubmission::on_local_result(const std::shared_ptr<Creation>& creation, std::uint64_t term,
                                    const admission::CreationQueue::Result& result) {
  using Outcome = admission::CreationQueue::Outcome;
  creation->pending_here = false;
  // The watch reports the creation too; this call saves the leader that round trip. It is skipped for a
  // creation sent in an earlier term: since then the job may have become final under another leader.
  if (result.outcome == Outcome::created && callbacks_.is_active_leader() && term == callbacks_.term())
    callbacks_.on_created(creation->record, result.revision, result.batch_key);
  if (creation->answered)
    return;
  if (result.outcome == Outcome::created) {
    creation->answered = true;
    ++counts_.accepted;
    return collaborators_.responder.respond(creation->origin, 201,
                                            wire::job_state(creation->spec.ref, wire::Phase::queued));
  }
  if (result.outcome == Outcome::exists) {
    creation->answered = true;
    return collaborators_.queries.answer_accepted(creation->origin, creation->spec);
  }
  const bool deferred = result.outcome == Outcome::deferred;
  if (deferred) {
    creation->failure_status = 429;
    creation->retry_after_s = result.retry_after_s;
  }
  // The state service may be unavailable to this controller only, so a peer that it answers can create the
  // job. A creation deferred for lack of budget stays here if all controllers have budget shares: the peer's
  // share is for its own users.
  const bool shares_budget =
      collaborators_.settings.tunables.fair_admission > 0 && !callbacks_.fixed_shares();
  if (!creation->sent_to_peer && !(deferred && shares_budget))
    create_at_peer(creation);
  fail_if_nothing_pending(creation);
}

// Also sends the creation to a peer once the state service takes longer than usual.
void JobSubmission::hedge(const std::shared_ptr<Creation>& creation) {
  collaborators_.outbox.after(collaborators_.store.hedging_delay(), [this, creation] {
    if (creation->answered || creation->sent_to_peer || !creation->pending_here)
      return;
    if (collaborators_.creation_queue.is_waiting(creation->spec.ref))
      hedge(creation);
    else
      create_at_peer(creation);
  });
}

void JobSubmission::create_at_peer(const std::shared_ptr<Creation>& creation) {
  const std::uint32_t level = creation->spec.depends_on.empty() ? 0 : peer::kLevelDependencies;
  const auto peer =
      creation->origin.by_peer ? std::nullopt : collaborators_.peer_calls.peer_with_state_service(level);
  if (!peer)
    return;
  creation->sent_to_peer = true;
  creation->pending_at_peer = true;
  collaborators_.peer_calls.send_request(
      *peer, {"POST", wire::kJobsPath, wire::encode_cbor(creation->record), kCreationTimeout},
      [this, creation](const PeerReply& reply) { on_peer_reply(creation, reply); });
}

void JobSubmission::on_peer_reply(const std::shared_ptr<Creation>& creation, const PeerReply& reply) {
  creation->pending_at_peer = false;
  if (creation->answered)
    return;
  if (reply.status == 200 || reply.status == 201) {
    creation->answered = true;
    return collaborators_.responder.respond(creation->origin, reply.status, reply.body);
  }
  if (reply.status == 400 || reply.status == 422) {
    creation->failure_status = reply.status;
    creation->peer_refusal = reply.body;
  }
  fail_if_nothing_pending(creation);
}

void JobSubmission::fail_if_nothing_pending(const std::shared_ptr<Creation>& creation) {
  if (creation->answered || creation->pending_here || creation->pending_at_peer)
    return;
  creation->answered = true;
  if (!creation->peer_refusal.is_null())
    return collaborators_.responder.respond(creation->origin, creation->failure_status,
                                            creation->peer_refusal);
  collaborators_.responder.try_later(creation->origin, creation->failure_status, creation->retry_after_s);
}

}  // namespace wingtrail::controller
