#include "controller/job_submission.hpp"

#include <algorithm>
#include <utility>

#include "controller/job_validation.hpp"
#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kCreationTimeout = 2.5;
constexpr Seconds kForwardTimeout = 3.0;
}  // namespace

JobSubmission::JobSubmission(Collaborators collaborators, Callbacks callbacks)
    : with_(collaborators), callbacks_(std::move(callbacks)) {}

void JobSubmission::submit(const RequestOrigin& origin, const std::string& bytes) {
  ++counts_.submitted;
  const auto body = wire::decode_cbor(bytes);
  const auto spec = body ? wire::parse_job(*body) : wire::malformed("not CBOR");
  if (!spec) {
    ++counts_.refused;
    return with_.responder.respond(origin, 400, {{"error", spec.error().text()}});
  }
  if (with_.queries.answer_final(origin, spec->ref, ReplyDetail::state))
    return;
  if (callbacks_.is_active_leader()) {
    if (const jobs::Job* job = with_.registry.find(spec->ref))
      return with_.queries.answer_live(origin, *job, ReplyDetail::state);
  }
  // A controller that does not know the machine types cannot decide; one that does may be next to it.
  if (with_.catalog.empty()) {
    if (origin.by_peer)
      return with_.responder.try_later(origin);
    return with_.peer_calls.forward(origin, with_.peer_calls.peer_with_state_service(),
                                    {"POST", wire::kJobsPath, bytes, kForwardTimeout},
                                    [this, origin](PeerOutcome) { with_.responder.try_later(origin); });
  }
  // The verdict rests on the catalog of today; a job that was accepted under another one stays accepted.
  if (const auto reason = why_unrunnable(*spec, with_.settings, with_.catalog))
    return refuse_unless_accepted(origin, spec->ref, *reason);
  if (wire::job_record(*spec, with_.out.time_of_day()).dump().size() > with_.settings.value_bytes()) {
    return refuse_unless_accepted(origin, spec->ref,
                                  "too large to be kept; name fewer jobs or machine types");
  }
  if (!spec->depends_on.empty())
    return check_dependencies(origin, *spec, bytes);
  create(origin, *spec);
}

void JobSubmission::refuse_unless_accepted(const RequestOrigin& origin, const std::string& ref,
                                           const std::string& reason) {
  with_.lookup.look_up(ref, store::RequestPriority::user, LookupDetail::phase,
                       [this, origin, ref, reason](const LookupResult& result) {
                         if (result.outcome == LookupOutcome::absent) {
                           ++counts_.refused;
                           return with_.responder.respond(origin, 422, {{"error", reason}});
                         }
                         if (result.outcome == LookupOutcome::found) {
                           const bool leader_deferred = !callbacks_.is_active_leader();
                           return with_.queries.answer_fresh(origin, ref, ReplyDetail::state,
                                                             leader_deferred);
                         }
                         with_.responder.try_later(origin);
                       });
}

// ---------------------------------------------------------------- dependencies

// A job, once accepted, exists for ever: live or over. So whether those that a submission names were accepted
// is asked before the job is created, and need not be a condition of its creation.
struct JobSubmission::DependencyCheck {
  RequestOrigin origin;
  wire::JobSpec spec;
  std::string bytes;
  std::vector<std::string> unknown;  // still to be asked about
};

// A leader with a version without dependencies would start the job at once.
bool JobSubmission::leader_lacks_dependencies() const {
  const auto leader = with_.peers.find(with_.election.leader());
  return leader && with_.peers[*leader].level.value_or(peer::kProtocolLevel) < peer::kLevelDependencies;
}

void JobSubmission::check_dependencies(const RequestOrigin& origin, const wire::JobSpec& spec,
                                       const std::string& bytes) {
  if (leader_lacks_dependencies())
    return with_.responder.try_later(origin);
  auto check = std::make_shared<DependencyCheck>(DependencyCheck{origin, spec, bytes, {}});
  for (const std::string& ref : spec.depends_on) {
    if (ref == spec.ref)
      return refuse_unless_accepted(origin, spec.ref, "waitsOn: the job names itself");
    if (with_.final_states.contains(ref) || (callbacks_.is_active_leader() && with_.registry.find(ref)))
      continue;
    check->unknown.push_back(ref);
  }
  check_next(check);
}

// One comparison for as many as it may have conditions: of each job that was accepted, one of the two keys
// exists and is named in the reply.
void JobSubmission::check_next(const std::shared_ptr<DependencyCheck>& check) {
  if (check->unknown.empty())
    return create(check->origin, check->spec);
  wire::Transaction txn;
  std::vector<std::string> asked;
  while (!check->unknown.empty() && txn.condition_count() + 2 <= 4 * with_.settings.max_transaction_changes) {
    asked.push_back(std::move(check->unknown.back()));
    check->unknown.pop_back();
    txn.require(jobs::kLiveJobPrefix + asked.back(), 0).require(jobs::kFinalStatePrefix + asked.back(), 0);
  }
  with_.store.transact(std::move(txn), store::RequestPriority::user, ports::kNever,
                       [this, check, asked = std::move(asked)](const store::Reply& reply) {
                         on_compared(check, asked, reply);
                       });
}

void JobSubmission::on_compared(const std::shared_ptr<DependencyCheck>& check,
                                const std::vector<std::string>& asked, const store::Reply& reply) {
  if (reply.status != 200 && reply.status != 409) {
    // The state service may refuse this controller alone; a peer that it answers can find out just as well.
    const auto peer = check->origin.by_peer
                          ? std::nullopt
                          : with_.peer_calls.peer_with_state_service(peer::kLevelDependencies);
    return with_.peer_calls.forward(check->origin, peer,
                                    {"POST", wire::kJobsPath, check->bytes, kCreationTimeout},
                                    [this, check, throttled = reply.status == 429](PeerOutcome) {
                                      with_.responder.try_later(check->origin, throttled ? 429 : 503);
                                    });
  }
  const auto existing = reply.status == 409 ? wire::failed_keys(reply.body) : std::vector<std::string>{};
  const auto exists = [&existing](const std::string& key) {
    return std::find(existing.begin(), existing.end(), key) != existing.end();
  };
  std::vector<std::string> without_key;
  for (const std::string& ref : asked) {
    if (!exists(jobs::kLiveJobPrefix + ref) && !exists(jobs::kFinalStatePrefix + ref))
      without_key.push_back(ref);
  }
  look_up_without_key(check, std::move(without_key));
}

// Jobs without a key of their own may be in batches all the same.
void JobSubmission::look_up_without_key(const std::shared_ptr<DependencyCheck>& check,
                                        std::vector<std::string> refs) {
  if (refs.empty())
    return check_next(check);
  const std::string ref = std::move(refs.back());
  refs.pop_back();
  const auto refuse = [this, check, ref] {
    refuse_unless_accepted(check->origin, check->spec.ref, "waitsOn: " + ref + " was never accepted");
  };
  if (!with_.batches.may_miss_batches())
    return refuse();
  with_.lookup.look_up(ref, store::RequestPriority::user, LookupDetail::phase,
                       [this, check, refs = std::move(refs), refuse](const LookupResult& result) {
                         if (result.outcome == LookupOutcome::absent)
                           return refuse();
                         if (result.outcome == LookupOutcome::found)
                           return look_up_without_key(check, refs);
                         with_.responder.try_later(check->origin, retry_status(result.outcome));
                       });
}

// ---------------------------------------------------------------- creation

// A creation under way: at this controller, and if that takes long or fails, at a peer beside it. The first
// that succeeds answers the user; a failure is told only when there is nothing left to wait for.
struct JobSubmission::Creation {
  RequestOrigin origin;
  wire::JobSpec spec;
  wire::Value record;
  bool answered = false;
  bool open_here = false;
  bool open_at_peer = false;
  bool peer_asked = false;
  int failure_status = 503;
  Seconds retry_after_s = 1;
  wire::Value peer_verdict = nullptr;  // why a peer refused it for good
};

void JobSubmission::create(const RequestOrigin& origin, const wire::JobSpec& spec) {
  // It was created in a batch, and this is a repeated submission.
  if (with_.batches.index().find(spec.ref) || with_.batches.index().recently_removed(spec.ref))
    return with_.queries.answer_accepted(origin, spec);
  auto creation =
      std::make_shared<Creation>(Creation{origin, spec, wire::job_record(spec, with_.out.time_of_day())});
  // A controller that the state service does not answer asks a peer at once instead of finding out again at
  // its user's cost.
  if (!origin.by_peer && !with_.store.healthy())
    create_at_peer(creation);
  if (creation->answered)
    return;
  create_here(creation);
  if (!creation->answered && !origin.by_peer)
    hedge(creation);
}

void JobSubmission::create_here(const std::shared_ptr<Creation>& creation) {
  creation->open_here = true;
  with_.creation_queue.enqueue(
      creation->spec, creation->record,
      [this, creation, term = callbacks_.term()](const admission::CreationQueue::Result& result) {
        on_created_here(creation, term, result);
      });
}

void JobSubmission::on_created_here(const std::shared_ptr<Creation>& creation, std::uint64_t term,
                                    const admission::CreationQueue::Result& result) {
  using Outcome = admission::CreationQueue::Outcome;
  creation->open_here = false;
  // The watch will tell too; this saves the leader's own submissions the round trip. What was sent in an
  // earlier term of this controller may have been created, and ended by another leader, before this one
  // began.
  if (result.outcome == Outcome::created && callbacks_.is_active_leader() && term == callbacks_.term())
    callbacks_.on_created(creation->record, result.revision, result.batch_key);
  if (creation->answered)
    return;
  if (result.outcome == Outcome::created) {
    creation->answered = true;
    ++counts_.admitted;
    return with_.responder.respond(creation->origin, 201,
                                   wire::job_state(creation->spec.ref, wire::Phase::queued));
  }
  if (result.outcome == Outcome::exists) {
    creation->answered = true;
    return with_.queries.answer_accepted(creation->origin, creation->spec);
  }
  const bool deferred = result.outcome == Outcome::deferred;
  if (deferred) {
    creation->failure_status = 429;
    creation->retry_after_s = result.retry_after_s;
  }
  // The state service may refuse this controller alone; a peer that it answers can create the job just as
  // well. But where all keep to shares of one budget, a peer has its own users to serve.
  const bool shares_budget = with_.settings.tunables.fair_admission > 0 && !callbacks_.fixed_shares();
  if (!creation->peer_asked && !(deferred && shares_budget))
    create_at_peer(creation);
  fail_if_nothing_open(creation);
}

// Asks a peer, too, once the state service takes longer than usual.
void JobSubmission::hedge(const std::shared_ptr<Creation>& creation) {
  with_.out.after(with_.store.hedging_delay(), [this, creation] {
    if (creation->answered || creation->peer_asked || !creation->open_here)
      return;
    if (with_.creation_queue.is_waiting(creation->spec.ref))
      hedge(creation);
    else
      create_at_peer(creation);
  });
}

void JobSubmission::create_at_peer(const std::shared_ptr<Creation>& creation) {
  const std::uint32_t level = creation->spec.depends_on.empty() ? 0 : peer::kLevelDependencies;
  const auto peer = creation->origin.by_peer ? std::nullopt : with_.peer_calls.peer_with_state_service(level);
  if (!peer)
    return;
  creation->peer_asked = true;
  creation->open_at_peer = true;
  with_.peer_calls.send_request(
      *peer, {"POST", wire::kJobsPath, wire::encode_cbor(creation->record), kCreationTimeout},
      [this, creation](const PeerReply& reply) { on_peer_reply(creation, reply); });
}

void JobSubmission::on_peer_reply(const std::shared_ptr<Creation>& creation, const PeerReply& reply) {
  creation->open_at_peer = false;
  if (creation->answered)
    return;
  if (reply.status == 200 || reply.status == 201) {
    creation->answered = true;
    return with_.responder.respond(creation->origin, reply.status, reply.body);
  }
  if (reply.status == 400 || reply.status == 422) {
    creation->failure_status = reply.status;
    creation->peer_verdict = reply.body;
  }
  fail_if_nothing_open(creation);
}

void JobSubmission::fail_if_nothing_open(const std::shared_ptr<Creation>& creation) {
  if (creation->answered || creation->open_here || creation->open_at_peer)
    return;
  creation->answered = true;
  if (!creation->peer_verdict.is_null())
    return with_.responder.respond(creation->origin, creation->failure_status, creation->peer_verdict);
  with_.responder.try_later(creation->origin, creation->failure_status, creation->retry_after_s);
}

}  // namespace wingtrail::controller
