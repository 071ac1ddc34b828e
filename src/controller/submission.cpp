// What users ask for: submissions, questions, cancellations.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kCreateTimeout = 2.5;
constexpr Seconds kGoneWithin = 0.5;      // sound workers end a job's tasks within
constexpr Seconds kRecordedWithin = 1.0;  // a cancellation is recorded, unless changes are scarce
}  // namespace

// ---------------------------------------------------------------- submissions

std::optional<std::string> Controller::impossible(const wire::JobSpec& s) const {
  const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                 [&](const settings::Team& t) { return t.name == s.team; });
  if (team == settings_.teams.end())
    return "unknown team";
  const double n = s.shape == wire::Shape::service ? s.tasks : 1;
  if ((team->cpus_max > 0 && n * s.task_resources.cpus > team->cpus_max + 1e-6) ||
      (team->gpus_max > 0 && n * s.task_resources.gpus > team->gpus_max + 1e-6)) {
    return "more than the team's limit";
  }
  for (const auto& t : catalog_) {
    if (!s.types.empty() && std::find(s.types.begin(), s.types.end(), t.name) == s.types.end())
      continue;
    if (s.zone && std::find(t.zones.begin(), t.zones.end(), *s.zone) == t.zones.end())
      continue;
    if (s.task_resources.cpus <= t.cpus + 1e-6 && s.task_resources.gpus <= t.gpus + 1e-6 &&
        s.task_resources.memory_gb <= t.memory_gb + 1e-6) {
      return std::nullopt;
    }
  }
  return "fits no allowed machine type";
}

void Controller::submit(const From& from, const std::string& bytes) {
  ++stats_.submitted;
  const auto body = wire::decode_cbor(bytes);
  auto spec = body ? wire::parse_job(*body) : wire::Result<wire::JobSpec>::fail("not CBOR");
  if (!spec) {
    ++stats_.refused;
    return respond(from, 400, {{"error", spec.error()}});
  }
  if (answer_final(from, spec->ref, true))
    return;
  if (is_active_leader()) {
    if (jobs::Job* job = registry_.find(spec->ref))
      return answer_live(from, *job, true);
  }
  // A node that does not know the machine types cannot decide; one that does may be next to it.
  if (catalog_.empty()) {
    if (from.by_peer)
      return try_later(from);
    return hand_on(from, served_peer(), "POST", wire::kJobsPath, bytes, 3.0,
                   [this, from](int) { try_later(from); });
  }
  if (auto why = impossible(*spec)) {
    // The verdict rests on the catalog of today; a job that was accepted under another one stays accepted.
    return refuse_unless_accepted(from, spec->ref, *why);
  }
  if (wire::job_record(*spec, out_.time_of_day()).dump().size() > settings_.value_bytes())
    return refuse_unless_accepted(from, spec->ref, "too large to be kept; name fewer jobs or machine types");
  if (!spec->depends_on.empty())
    return check_needs(from, *spec, bytes);
  create(from, *spec);
}

// A job that was accepted stays accepted, whatever its submission would be told today.
void Controller::refuse_unless_accepted(const From& from, const std::string& ref, const std::string& why) {
  lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::phase,
                  [this, from, ref, why](const LookupResult& result) {
                    if (result.outcome == LookupOutcome::absent) {
                      ++stats_.refused;
                      return respond(from, 422, {{"error", why}});
                    }
                    if (result.outcome == LookupOutcome::found)
                      return answer_fresh(from, ref, true, !is_active_leader());
                    try_later(from);
                  });
}

// ---------------------------------------------------------------- needed jobs

// A job, once accepted, exists for ever: live or over. So whether those that a submission names were accepted
// is asked before it is created, and need not be a condition of its creation.
struct Controller::Needs {
  From from;
  wire::JobSpec spec;
  std::string bytes;
  std::vector<std::string> unknown;  // still to be asked about
};

// A version that does not know of chains would start the job at once.
bool Controller::leader_lacks_dependencies() const {
  const auto leader = peers_.find(election_.leader());
  return leader && peers_[*leader].level.value_or(peer::kProtocolLevel) < peer::kLevelDependencies;
}

void Controller::check_needs(const From& from, const wire::JobSpec& spec, const std::string& bytes) {
  if (leader_lacks_dependencies())
    return try_later(from);
  auto n = std::make_shared<Needs>(Needs{from, spec, bytes, {}});
  for (const std::string& ref : spec.depends_on) {
    if (ref == spec.ref)
      return refuse_unless_accepted(from, spec.ref, "waitsOn: the job names itself");
    if (final_states_.contains(ref) || (is_active_leader() && registry_.find(ref)))
      continue;
    n->unknown.push_back(ref);
  }
  check_some_needs(n);
}

// One comparison for as many as it may have conditions: of each job that was accepted, one of the two keys
// exists and is named in the answer.
void Controller::check_some_needs(const std::shared_ptr<Needs>& n) {
  if (n->unknown.empty())
    return create(n->from, n->spec);
  wire::Transaction txn;
  std::vector<std::string> asked;
  while (!n->unknown.empty() && txn.condition_count() + 2 <= 4 * settings_.max_transaction_changes) {
    asked.push_back(std::move(n->unknown.back()));
    n->unknown.pop_back();
    txn.require(jobs::kLiveJobPrefix + asked.back(), 0).require(jobs::kFinalStatePrefix + asked.back(), 0);
  }
  store_.transact(
      std::move(txn), store::RequestPriority::user, ports::kNever,
      [this, n, asked = std::move(asked)](const store::Reply& r) {
        if (r.status != 200 && r.status != 409) {
          // This node alone may be refused; a peer that is served can find out just as well.
          const auto peer = n->from.by_peer ? std::nullopt : served_peer(peer::kLevelDependencies);
          return hand_on(
              n->from, peer, "POST", wire::kJobsPath, n->bytes, kCreateTimeout,
              [this, n, status = r.status](int) { try_later(n->from, status == 429 ? 429 : 503); });
        }
        const auto exist = r.status == 409 ? wire::failed_keys(r.body) : std::vector<std::string>{};
        const auto has = [&exist](const std::string& key) {
          return std::find(exist.begin(), exist.end(), key) != exist.end();
        };
        std::vector<std::string> absent;
        for (const std::string& ref : asked) {
          if (!has(jobs::kLiveJobPrefix + ref) && !has(jobs::kFinalStatePrefix + ref))
            absent.push_back(ref);
        }
        needs_absent(n, std::move(absent));
      });
}

// These have no keys. On sheets they may be all the same.
void Controller::needs_absent(const std::shared_ptr<Needs>& n, std::vector<std::string> refs) {
  if (refs.empty())
    return check_some_needs(n);
  const std::string ref = std::move(refs.back());
  refs.pop_back();
  const auto never = [this, n, ref] {
    refuse_unless_accepted(n->from, n->spec.ref, "waitsOn: " + ref + " was never accepted");
  };
  if (!batches_.may_miss_batches())
    return never();
  lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::phase,
                  [this, n, refs = std::move(refs), never](const LookupResult& result) {
                    if (result.outcome == LookupOutcome::absent)
                      return never();
                    if (result.outcome == LookupOutcome::found)
                      return needs_absent(n, refs);
                    try_later(n->from, retry_status(result.outcome));
                  });
}

// ---------------------------------------------------------------- creation

// A creation under way: at this node, and if that takes long or fails, at a peer beside it. The first that
// comes to an end tells the user; a failure is told only when there is nothing left to wait for.
struct Controller::Creation {
  From from;
  wire::JobSpec spec;
  wire::Value value;
  bool answered = false, own_open = false, peer_open = false, peer_asked = false;
  int refusal = 503;
  Seconds turn_s = 1;             // when to come back
  wire::Value verdict = nullptr;  // why a peer refused it for good
};

void Controller::create(const From& from, const wire::JobSpec& spec) {
  // It was admitted on a sheet, and this is a retry.
  if (batches_.index().find(spec.ref) || batches_.index().recently_removed(spec.ref))
    return answer_accepted(from, spec);
  auto c = std::make_shared<Creation>(Creation{from, spec, wire::job_record(spec, out_.time_of_day())});
  // A node that the state service does not answer asks a peer at once instead of finding out again at its
  // user's cost.
  if (!from.by_peer && !store_.healthy())
    create_at_peer(c);
  if (c->answered)
    return;
  create_here(c);
  if (!c->answered && !from.by_peer)
    lose_patience(c);
}

void Controller::create_here(const std::shared_ptr<Creation>& c) {
  using Outcome = admission::CreationQueue::Outcome;
  c->own_open = true;
  creation_queue_.enqueue(
      c->spec, c->value, [this, c, term = term_](const admission::CreationQueue::Result& r) {
        c->own_open = false;
        // The watch will tell too; this saves the leader's own submissions the way there and back. What an
        // earlier leadership of this node sent may have been created, and ended by another, before this one
        // began.
        if (r.outcome == Outcome::created && is_active_leader() && term == term_)
          job_seen(c->value, r.revision, r.batch_key);
        if (c->answered)
          return;
        if (r.outcome == Outcome::created) {
          c->answered = true;
          ++stats_.admitted;
          return respond(c->from, 201, wire::job_state(c->spec.ref, wire::Phase::queued));
        }
        if (r.outcome == Outcome::exists) {
          c->answered = true;
          return answer_accepted(c->from, c->spec);
        }
        if (r.outcome == Outcome::deferred) {
          c->refusal = 429;
          c->turn_s = r.retry_after_s;
        }
        // This node alone may be refused; a peer that is served can admit the job just as well. But where all
        // keep to shares of one budget, a peer has its own users to serve.
        if (!c->peer_asked &&
            !(r.outcome == Outcome::deferred && settings_.tunables.fair_admission > 0 && !fixed_parts()))
          create_at_peer(c);
        give_up_creation(c);
      });
}

// It takes longer than answers of the state service do, so another way is worth trying beside it.
void Controller::lose_patience(const std::shared_ptr<Creation>& c) {
  out_.after(store_.hedging_delay(), [this, c] {
    if (c->answered || c->peer_asked || !c->own_open)
      return;
    creation_queue_.is_waiting(c->spec.ref) ? lose_patience(c) : create_at_peer(c);
  });
}

void Controller::create_at_peer(const std::shared_ptr<Creation>& c) {
  const auto peer =
      c->from.by_peer ? std::nullopt : served_peer(c->spec.depends_on.empty() ? 0 : peer::kLevelDependencies);
  if (!peer)
    return;
  c->peer_asked = c->peer_open = true;
  ask_peer(*peer, "POST", wire::kJobsPath, wire::encode_cbor(c->value), kCreateTimeout,
           [this, c](int status, const wire::Value& body) {
             c->peer_open = false;
             if (c->answered)
               return;
             if (status == 200 || status == 201) {
               c->answered = true;
               return respond(c->from, status, body);
             }
             if (status == 400 || status == 422)
               c->refusal = status, c->verdict = body;
             give_up_creation(c);
           });
}

void Controller::give_up_creation(const std::shared_ptr<Creation>& c) {
  if (c->answered || c->own_open || c->peer_open)
    return;
  c->answered = true;
  if (!c->verdict.is_null())
    return respond(c->from, c->refusal, c->verdict);
  try_later(c->from, c->refusal, c->turn_s);
}

// ---------------------------------------------------------------- states

void Controller::remember(const std::string& ref, const wire::FinalState& ended) {
  if (!final_states_.insert(ref, ended))
    return;
  if (election_.holds_leadership())
    dependencies_.on_ended(
        ref, {ended.phase == wire::Phase::done, ended.ended_at ? steady(*ended.ended_at) : out_.now()});
}

bool Controller::answer_final(const From& from, const std::string& ref, bool brief) {
  const wire::FinalState* state = final_states_.find(ref);
  if (!state)
    return false;
  const wire::Phase phase = state->phase;
  const std::uint32_t tasks = state->tasks;
  respond(from, 200,
          brief ? wire::job_state(ref, phase)
                : wire::job_progress(ref, phase, phase == wire::Phase::done ? tasks : 0, 0));
  return true;
}

// Whether a job that it needs is cancelled, or nothing rules that out yet. So is it then; but its own end is
// told only once it is recorded, and that it is queued must not be told any more.
bool Controller::may_be_orphan(const jobs::Job& job) const {
  return job.orphaned || dependencies_.has_undecided_dependency(job);
}

void Controller::put_off(const From& from, const std::string& ref, DeferralReason why) {
  ++stats_.questions_put_off[static_cast<std::size_t>(why)];
  spdlog::debug("{}: question put off: {}", ref, name(why));
  try_later(from, why == DeferralReason::budget_exhausted ? 429 : 503);
}

void Controller::answer_live(const From& from, jobs::Job& job, bool brief) {
  if (may_be_orphan(job))
    return put_off(from, job.spec.ref,
                   job.orphaned ? DeferralReason::dependency_cancelled : DeferralReason::dependency_unknown);
  // Its end may be recorded though this node has not heard so yet, and another may have read and told it:
  // what is live here is an older answer then (a slow state service on cub-meterlink-fleet: cancelled, then
  // queued).
  if (job.final_state_sent)
    return answer_fresh(from, job.spec.ref, brief);
  if (job.placed_remotely)
    return respond(from, 200, brief ? wire::job_state(job.spec.ref, job.phase()) : away_progress(job));
  respond(from, 200,
          brief ? wire::job_state(job.spec.ref, job.phase())
                : wire::job_progress(job.spec.ref, job.phase(), job.done_tasks, job.running_tasks));
}

// A submission of a job that was accepted before. Of one that needs others only the leader knows whether it
// lives.
void Controller::answer_accepted(const From& from, const wire::JobSpec& spec) {
  if (is_active_leader() || from.by_peer || spec.depends_on.empty())
    return answer_fresh(from, spec.ref, true);
  hand_on(from, leader_peer(), "GET", std::string(wire::kJobsPath) + "/" + spec.ref, "", 0.7,
          [this, from, ref = spec.ref](int status) { answer_fresh(from, ref, true, status == 503); });
}

void Controller::answer_fresh(const From& from, const std::string& ref, bool brief, bool cautious) {
  // Questions come again in a few seconds anyway; submissions and cancellations go before them. The leader
  // takes a job that it does not know in.
  const auto urgency = brief ? store::RequestPriority::user : store::RequestPriority::question;
  // A job that needs a cancelled one may still have its record here, and only the leader knows. So this node
  // goes by how far the leader said that it has recorded such ends: that it could write lately is no proof,
  // since more ends may wait than it can write (called queued for longer than cancel_s while it had just
  // ended). Nor is the record one if the leader has just put the question off (seed 1001007: its answers from
  // the state service were lost).
  const bool overdue =
      !is_active_leader() && (cautious || out_.now() - ends_settled_at_ > settings_.cancellation_limit_s / 2);
  const LookupDetail detail = is_active_leader() || overdue ? LookupDetail::live_record : LookupDetail::phase;
  lookup_.look_up(
      ref, urgency, detail, [this, from, ref, brief, overdue, cautious](const LookupResult& result) {
        if (result.outcome != LookupOutcome::found) {
          if (result.outcome == LookupOutcome::absent)
            return respond(from, 404);
          // That the leader is not there to answer is no fault of who asks.
          const bool alone = !is_active_leader() && !leader_peer();
          return put_off(from, ref,
                         result.outcome == LookupOutcome::throttled && !alone
                             ? DeferralReason::budget_exhausted
                             : DeferralReason::no_reply);
        }
        if (answer_final(from, ref, brief))
          return;
        if (overdue && result.live && wire::has_dependencies(result.live->spec))
          return put_off(from, ref,
                         cautious ? DeferralReason::leader_deferred : DeferralReason::leader_unreachable);
        if (is_active_leader() && result.live)
          on_live_job_read(*result.live);
        const jobs::Job* known = is_active_leader() ? registry_.find(ref) : nullptr;
        if (known && may_be_orphan(*known))
          return put_off(
              from, ref,
              known->orphaned ? DeferralReason::dependency_cancelled : DeferralReason::dependency_unknown);
        respond(from, 200,
                brief ? wire::job_state(ref, *result.phase) : wire::job_progress(ref, *result.phase, 0, 0));
      });
}

void Controller::status(const From& from, const std::string& ref) {
  if (answer_final(from, ref, false))
    return;
  if (is_active_leader()) {
    if (jobs::Job* job = registry_.find(ref))
      return answer_live(from, *job, false);
    return answer_fresh(from, ref, false);
  }
  if (from.by_peer) {
    // Asked as the leader that it is not: who asks takes the answer for a leader's.
    if (store_.healthy())
      return answer_fresh(from, ref, false, true);
    return put_off(from, ref, DeferralReason::not_leading);
  }
  auto otherwise = [this, from, ref](int status) {
    answer_fresh(from, ref, false, status == 503);
  };
  hand_on(from, leader_peer(), "GET", std::string(wire::kJobsPath) + "/" + ref, "", 0.7, otherwise);
}

// ---------------------------------------------------------------- cancellation

void Controller::abort(const From& from, const std::string& ref) {
  if (answer_final(from, ref, true))
    return;
  const std::string path = std::string(wire::kJobsPath) + "/" + ref + wire::kAbortSuffix;
  if (!is_active_leader()) {
    if (from.by_peer)
      return try_later(from);
    const auto leader = leader_peer();
    return hand_on(from, leader, "POST", path, "", 3.0, [this, from, ref, leader](int status) {
      // A leader that is only late with it needs no mark: each one cost two changes, and the more
      // cancellations were late the more of them users repeated.
      if (status == 503 && peers_[*leader].answers_heartbeats && peers_[*leader].state_service_healthy)
        return try_later(from);
      leave_intent(from, ref);
    });
  }
  auto close = [this, from](jobs::Job& job) {
    cancel(job);
    aborts_.push_back({job.index, from, out_.now() + kGoneWithin});
    out_.after(kGoneWithin, [] {});  // to be looked at then, whatever else happens
  };
  if (jobs::Job* job = registry_.find(ref))
    return close(*job);
  lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                  [this, from, ref, close](const LookupResult& result) {
                    if (result.outcome == LookupOutcome::absent)
                      return respond(from, 404);
                    if (result.outcome != LookupOutcome::found)
                      return try_later(from, retry_status(result.outcome));
                    if (answer_final(from, ref, true))
                      return;
                    if (is_active_leader() && result.live)
                      on_live_job_read(*result.live);
                    jobs::Job* job = is_active_leader() ? registry_.find(ref) : nullptr;
                    if (!job)
                      return try_later(from);
                    close(*job);
                  });
}

// While the leader cannot be reached by its peers, it may well read what they leave in the state service. The
// user is told to come back: only the leader decides whether the job was done first.
void Controller::leave_intent(const From& from, const std::string& ref) {
  lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                  [this, from, ref](const LookupResult& result) {
                    if (result.outcome == LookupOutcome::absent)
                      return respond(from, 404);
                    if (result.outcome != LookupOutcome::found)
                      return try_later(from, retry_status(result.outcome));
                    if (answer_final(from, ref, true))
                      return;
                    wire::Transaction txn;
                    txn.require(result.live.value().key, result.live.value().version);
                    txn.require(jobs::kFinalStatePrefix + ref, 0);  // a sheet outlives some of its jobs
                    txn.put(jobs::kLiveJobPrefix + ref + jobs::kCancellationSuffix, true);
                    store_.transact(std::move(txn), store::RequestPriority::user, ports::kNever,
                                    [](const store::Reply&) {});
                    try_later(from);
                  });
}

void Controller::intent_seen(const std::string& key) {
  const std::size_t prefix = std::string_view(jobs::kLiveJobPrefix).size(),
                    mark = std::string_view(jobs::kCancellationSuffix).size();
  jobs::Job* job = registry_.find(key.substr(prefix, key.size() - prefix - mark));
  // A mark is written on condition that the job's record is there, so its creation was seen before. The job
  // is over, or its end is under way and did not take the mark with it.
  if (!job || !job->is_open())
    return state_writer_.delete_later(key);
  job->has_cancellation_marker = true;
  cancel(*job);
}

// Nothing of it starts any more, and what runs is stopped. One entry stands for the job until its end is
// recorded; users who ask, and ask again, wait beside it for a moment only.
void Controller::cancel(jobs::Job& job) {
  if (job.is_open() && !job.cancelling) {
    job.cancelling = true;
    aborts_.push_back({job.index, {}, ports::kNever});
  }
  workers_.cancel_job(job);
}

// Whether no machine has a task of the job, nor can get one any more: the one proof behind every cancellation
// that is told. A worker out of reach may be kept alive in custody for longer than cancel_s, and a start on
// its way may still arrive, so nothing of it rests on time. Asked alike with and without custody: there a
// silent machine's lease is over before cancel_s, but a start could follow the answer to the user.
bool Controller::gone_for_sure(const jobs::Job& job) const {
  if (job.placed_remotely)
    return false;  // the cell that holds it has to say so
  if (job.placed_tasks > 0)
    return false;  // ordered, in doubt, or running
  if (workers_.has_stray_instance(job.spec.ref))
    return false;
  // Only leaders before this one could have started it elsewhere, and only if it is older.
  return scheduler_.filters().reconciled().admits(job);
}

// Cancellations whose tasks are gone are recorded, and told then. While a task's machine does not answer, the
// user is told to come back; the job starts nothing meanwhile.
void Controller::follow_aborts() {
  if (aborts_.empty() || !loaded_)
    return;
  std::vector<Abort> waiting;
  for (const Abort& a : std::exchange(aborts_, {})) {
    jobs::Job* job = registry_.job_at(a.job);
    if (!job) {
      if (a.from)
        try_later(*a.from);
      continue;
    }
    if (job->placed_remotely)
      remote_placements_.recall(job->spec.ref, true, out_.now());
    if (job->final_state_pending || job->final_state_recorded ||
        (is_active_leader() && gone_for_sure(*job))) {
      std::function<void()> then;
      if (a.from) {
        // Who waits here holds a connection, and with them all taken no peer could ask anything.
        auto told = std::make_shared<bool>(false);
        then = [this, told, from = *a.from, ref = job->spec.ref] {
          if (std::exchange(*told, true))
            return;
          if (!answer_final(from, ref, true))
            try_later(from);
        };
        out_.after(kRecordedWithin, then);
      }
      if (job->final_state_recorded) {
        if (then)
          then();
      } else {
        state_writer_.record_final_state(*job, wire::Phase::cancelled, std::move(then));
      }
      continue;
    }
    if (a.from && out_.now() >= a.until) {
      ++stats_.aborts_put_off;
      try_later(*a.from);
      continue;
    }
    waiting.push_back(a);
  }
  aborts_.insert(aborts_.end(), waiting.begin(), waiting.end());
}

}  // namespace wingtrail::controller
