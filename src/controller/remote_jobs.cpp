/// @file
/// The holding cell's side of offloading: digests of this cell's capacity, which foreign jobs it accepts, and
/// how it gives them back. offloading.cpp is the origin cell's side. docs/cells.md has the table of states
/// and messages, docs/safety.md the reasons why each rule holds across cells.
#include <algorithm>

#include "controller/cell_timing.hpp"
#include "controller/controller.hpp"
#include "controller/job_validation.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kReplyWithin = 0.4;  // a lookup that takes longer is answered when the request is repeated
constexpr Seconds kRelayTimeout = kCellCallTimeout - 0.3;
constexpr Seconds kRetryDelay = 0.3;
constexpr double kUnlimitedCores = 1e9;  // reported for a team without a quota

using peer::JobVerb;

std::uint8_t code_of(JobVerb verb) {
  return static_cast<std::uint8_t>(verb);
}
JobVerb verb_of(wire::Phase phase) {
  return phase == wire::Phase::done ? JobVerb::done : JobVerb::cancelled;
}
}  // namespace

peer::CapacityDigest Controller::make_digest(std::size_t to) {
  peer::CapacityDigest digest;
  // All reachable neighbours may offload at the same time, so each is offered an equal part.
  const auto reachable =
      std::count_if(neighbours_.begin(), neighbours_.end(), [this](const NeighbourState& neighbour) {
        return out_.now() < neighbour.last_digest_at + kReachableWithin;
      });
  digest.accepts_cores = cells::acceptable_foreign_cores(foreign_job_capacity_) /
                         static_cast<double>(std::max<std::ptrdiff_t>(1, reachable));
  NeighbourState& neighbour = neighbours_[to];
  if (digest.accepts_cores >= neighbour.promised || out_.now() >= neighbour.promised_at + kOfferInTransit) {
    neighbour.promised = digest.accepts_cores;
    neighbour.promised_at = out_.now();
  }
  digest.wait_s = foreign_job_wait_s_;
  digest.draining = settings_.cells.drain;
  digest.leadership = election_.fencing_token();
  for (std::size_t t = 0; t < settings_.teams.size(); ++t) {
    const settings::Team& team = settings_.teams[t];
    digest.team_cores[team.name] =
        team.cpus_max > 0 ? team.cpus_max - workers_.team_usage(jobs::TeamIndex(t)).cpus : kUnlimitedCores;
  }
  for (const auto& type : catalog_.types())
    digest.zones_by_type[type.name] = type.zones;
  return digest;
}

// A reply to another cell while the answers for its jobs are collected.
struct Controller::CellReply {
  peer::CellMessage message;
  bool sent = false;

  void set_verb(std::size_t i, JobVerb verb) {
    message.jobs[i].verb_code = code_of(verb);
  }
};

void Controller::answer_cell(std::uint64_t id, int status, const peer::CellMessage& message) {
  ports::Answer answer;
  answer.request = id;
  answer.frame = make_cell_frame(settings_.cells.name, peer::encode(message));
  answer.frame->status = status;
  out_.answer(std::move(answer));
}

// Only the leader knows, accepts and cancels jobs. A request is relayed to it once, never further.
void Controller::relay_to_leader(std::uint64_t id, const peer::Frame& frame) {
  const auto leader = frame.relayed ? std::nullopt : peer_calls_.reachable_leader();
  if (!leader)
    return answer_cell(id, 503, {});
  ports::Call call;
  call.target = ports::Target::peer;
  call.peer = static_cast<std::uint32_t>(*leader);
  call.method = "POST";
  call.path = peer::kPeerPath;
  call.frame = make_cell_frame(frame.cell, frame.cell_message);
  call.frame->relayed = true;
  call.timeout_s = kRelayTimeout;
  out_.call(std::move(call), [this, id, leader, sent = out_.now()](const ports::Reply& reply) {
    if (!reply.frame || reply.frame->status != 200)
      return answer_cell(id, 503, {});
    on_peer_frame(*leader, *reply.frame, sent);
    const auto message = peer::decode_cell_message(reply.frame->cell_message);
    message ? answer_cell(id, 200, *message) : answer_cell(id, 503, {});
  });
}

void Controller::on_cell_message(std::uint64_t id, const peer::Frame& frame) {
  const auto& known = settings_.cells.neighbours;
  const auto sender =
      std::find_if(known.begin(), known.end(),
                   [&frame](const settings::Neighbour& neighbour) { return neighbour.name == frame.cell; });
  const auto request = peer::decode_cell_message(frame.cell_message);
  if (sender == known.end() || !request)
    return answer_cell(id, sender == known.end() ? 404 : 400, {});
  if (!is_active_leader())
    return relay_to_leader(id, frame);
  auto reply = std::make_shared<CellReply>();
  reply->message.jobs = request->jobs;
  if (!request->digest.empty()) {
    const auto cell = static_cast<std::size_t>(sender - known.begin());
    on_digest(neighbours_[cell], request->digest.front());
    reply->message.digest.push_back(make_digest(cell));
  }
  bool complete = true;
  for (std::size_t i = 0; i < reply->message.jobs.size(); ++i) {
    answer_job_message(reply, i, frame.cell);
    reply->message.jobs[i].record.clear();
    complete &= reply->message.jobs[i].verb() != JobVerb::none;
  }
  const auto send = [this, id, reply] {
    if (!std::exchange(reply->sent, true))
      answer_cell(id, 200, reply->message);
  };
  if (complete)
    return send();
  out_.after(kReplyWithin, send);
}

// Answers from memory at once. An answer that needs a read is filled in if it arrives before the reply is
// sent.
void Controller::answer_job_message(const std::shared_ptr<CellReply>& reply, std::size_t i,
                                    const std::string& from) {
  peer::JobMessage& message = reply->message.jobs[i];
  const JobVerb requested = message.verb();
  if (const wire::FinalState* state = final_states_.find(message.ref))
    return reply->set_verb(i, verb_of(state->phase));
  if (!wire::valid_ref(message.ref) || tombstones_in_progress_.contains(message.ref))
    return reply->set_verb(i, JobVerb::none);
  if (requested == JobVerb::offer)
    return on_offer(reply, i, from);
  if (requested == JobVerb::recall || requested == JobVerb::cancel)
    return on_recall(reply, i, from);
  if (requested != JobVerb::state)
    return reply->set_verb(i, JobVerb::none);
  if (const jobs::Job* job = registry_.find(message.ref)) {
    if (job->origin_cell != from)
      return reply->set_verb(i, JobVerb::cancelled);  // a job of this cell's own with the same reference
    // If the job's final state is being recorded, `held` would soon be outdated.
    if (!job->is_open() || job->final_state_sent)
      return reply->set_verb(i, JobVerb::none);
    message.done_tasks = job->done_tasks;
    message.running_tasks = job->running_tasks;
    return reply->set_verb(i, job->cancelling ? JobVerb::ending : JobVerb::held);
  }
  reply->set_verb(i, JobVerb::none);
  lookup_.look_up(message.ref, store::RequestPriority::user, LookupDetail::live_record,
                  [this, reply, i](const LookupResult& result) {
                    if (result.live && is_active_leader())
                      on_live_job_read(*result.live);
                    if (reply->sent)
                      return;
                    if (result.outcome == LookupOutcome::absent)
                      reply->set_verb(i, JobVerb::unknown);
                    if (result.outcome == LookupOutcome::found && !result.live)
                      reply->set_verb(i, verb_of(*result.phase));
                  });
}

void Controller::on_offer(const std::shared_ptr<CellReply>& reply, std::size_t i, const std::string& from) {
  const peer::JobMessage& message = reply->message.jobs[i];
  if (const jobs::Job* job = registry_.find(message.ref)) {
    if (job->origin_cell != from)
      return reply->set_verb(i, JobVerb::cancelled);
    if (!job->is_open() || job->final_state_sent || job->cancelling)
      return reply->set_verb(i, JobVerb::none);
    return reply->set_verb(i, JobVerb::held);
  }
  const auto record = wire::decode_cbor(message.record);
  const auto spec = record.and_then(wire::parse_job);
  if (!spec)
    refused_offers_.count(spec.error());
  if (!spec || spec->ref != message.ref)
    return reply->set_verb(i, JobVerb::never);
  if (catalog_.types().empty() || !foreign_job_capacity_known_)
    return reply->set_verb(i, JobVerb::none);
  if (unrunnable_reason(*spec, settings_, catalog_.types()))
    return reply->set_verb(i, JobVerb::never);
  if (!accepts_offer(*spec, from)) {
    // If an earlier leader accepted the job, a later request finds its live record.
    ++stats_.offers_refused;
    return reply->set_verb(i, JobVerb::refused);
  }
  wire::Value stored = wire::job_record(*spec, wire::submitted_at(*record).value_or(out_.time_of_day()));
  stored[jobs::kOriginCellField] = from;
  if (stored.dump().size() > settings_.value_bytes())
    return reply->set_verb(i, JobVerb::never);
  create_offered_job(reply, i, *spec, stored, from);
}

bool Controller::accepts_offer(const wire::JobSpec& spec, const std::string& from) {
  const double cores = spec.tasks * spec.task_resources.cpus;
  const auto& known = settings_.cells.neighbours;
  const auto origin = std::find_if(known.begin(), known.end(),
                                   [&from](const auto& neighbour) { return neighbour.name == from; });
  NeighbourState& neighbour = neighbours_[static_cast<std::size_t>(origin - known.begin())];
  // Jobs of a draining cell are accepted even if they have to wait here.
  const bool origin_draining = neighbour.digest && neighbour.digest->draining &&
                               !foreign_job_capacity_.draining && !foreign_job_capacity_.overloaded;
  // An offer within the capacity of the last digest is accepted, because a refusal costs a tombstone, after
  // which the job can never be offloaded to this cell again.
  const bool promised = neighbour.promised > 0 && out_.now() < neighbour.promised_at + kOfferInTransit;
  neighbour.promised -= cores;
  return origin_draining || promised || cells::acceptable_foreign_cores(foreign_job_capacity_) > 0;
}

void Controller::create_offered_job(const std::shared_ptr<CellReply>& reply, std::size_t i,
                                    const wire::JobSpec& spec, const wire::Value& record,
                                    const std::string& from) {
  foreign_job_capacity_.foreign_waiting +=
      spec.tasks * spec.task_resources.cpus;  // until the next plan counts them
  reply->set_verb(i, JobVerb::none);
  wire::JobSpec queued_as = spec;
  queued_as.job_class = "from " + from;  // jobs of other cells wait in a queue of their own
  creation_queue_.enqueue(
      queued_as, record,
      [this, reply, i, record, ref = spec.ref](const admission::CreationQueue::Result& result) {
        using Outcome = admission::CreationQueue::Outcome;
        if (result.outcome == Outcome::created) {
          ++stats_.offers_accepted;
          if (is_active_leader())
            on_job_read(record, result.revision, result.batch_key);
          if (!reply->sent)
            reply->set_verb(i, JobVerb::held);
        } else if (result.outcome == Outcome::exists) {
          // A duplicate of the offer has created the job, or it has a final state. The next request about it
          // is answered with that.
          lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                          [this](const LookupResult& found) {
                            if (found.live && is_active_leader())
                              on_live_job_read(*found.live);
                          });
        }
      });
}

// Gives the job back to its origin cell, or cancels it. A recalled job that has started here remains here; a
// cancellation ends it in any case.
void Controller::on_recall(const std::shared_ptr<CellReply>& reply, std::size_t i, const std::string& from) {
  peer::JobMessage& message = reply->message.jobs[i];
  const bool cancels = message.verb() == JobVerb::cancel;
  if (jobs::Job* job = registry_.find(message.ref)) {
    if (job->origin_cell != from)
      return reply->set_verb(i, JobVerb::cancelled);
    if (!job->is_open())
      return reply->set_verb(i, JobVerb::none);
    const bool started =
        job->placed_tasks > 0 || job->done_tasks > 0 || !scheduler_.filters().reconciled().admits(*job);
    if (!cancels && started && !job->cancelling) {
      message.done_tasks = job->done_tasks;
      message.running_tasks = job->running_tasks;
      return reply->set_verb(i, JobVerb::held);
    }
    cancellation_.cancel(*job);
    return reply->set_verb(i, JobVerb::ending);
  }
  reply->set_verb(i, JobVerb::none);
  lookup_.look_up(message.ref, store::RequestPriority::user, LookupDetail::live_record,
                  [this, ref = message.ref](const LookupResult& result) {
                    if (!is_active_leader())
                      return;
                    if (result.live)
                      on_live_job_read(*result.live);
                    if (result.outcome == LookupOutcome::absent)
                      put_tombstone(ref);
                  });
}

// Writes a tombstone for a job that has neither a live record nor a final state here. A delayed or duplicate
// offer might still be accepted while the origin cell is about to start the job. The tombstone, a final
// state, keeps the job from being created here. Until it is certainly recorded, requests about the job are
// answered with `none`, since a creation in a job batch does not exclude the final state.
void Controller::put_tombstone(const std::string& ref) {
  if (registry_.find(ref) || final_states_.contains(ref) || !tombstones_in_progress_.insert(ref).second)
    return;
  ++stats_.tombstones;
  write_tombstone(ref);
}

void Controller::write_tombstone(const std::string& ref) {
  wire::Transaction txn;
  txn.require(leadership::kLeaderKey, election_.fencing_token());
  txn.require(jobs::kLiveJobPrefix + ref, 0).require(jobs::kFinalStatePrefix + ref, 0);
  const wire::FinalState tombstone{wire::Phase::cancelled, 0, out_.time_of_day()};
  txn.put(jobs::kFinalStatePrefix + ref, wire::final_state_record(tombstone));
  store_.transact(std::move(txn), store::RequestPriority::user, election_.lease_expires_at(),
                  [this, ref, tombstone, term = term_](const store::Reply& reply) {
                    if (term != term_)
                      return;
                    // Without a reply the write may have been applied, or may be applied late, next to a
                    // later creation of the job. So it is repeated until its result is known.
                    if (reply.status == 0 && reply.delivered) {
                      return out_.after(kRetryDelay, [this, ref, term] {
                        if (term == term_)
                          write_tombstone(ref);
                      });
                    }
                    tombstones_in_progress_.erase(ref);
                    if (reply.status == 200)
                      on_final_state(ref, tombstone);
                  });
}

}  // namespace wingtrail::controller
