/// @file
/// Jobs of other cells: what this cell offers to take, what it takes, and how it gives jobs back.
/// offloading.cpp is the other side. docs/cells.md has the table of states and messages, docs/safety.md why
/// each rule holds over cells.
#include <algorithm>

#include "controller/cell_timing.hpp"
#include "controller/controller.hpp"
#include "controller/job_validation.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kReplyWithin = 0.4;  // what takes longer to find out is said in the next reply
constexpr Seconds kRelayTimeout = kCellCallTimeout - 0.3;
constexpr Seconds kRetryDelay = 0.3;
constexpr double kUnlimitedCores = 1e9;  // of a team without a quota

using peer::JobVerb;

std::uint8_t code_of(JobVerb verb) {
  return static_cast<std::uint8_t>(verb);
}
JobVerb verb_of(wire::Phase phase) {
  return phase == wire::Phase::done ? JobVerb::done : JobVerb::withdrawn;
}
}  // namespace

peer::CapacityDigest Controller::make_digest(std::size_t to) {
  peer::CapacityDigest digest;
  // All neighbours may come at the same time: each is offered a part.
  const auto reachable =
      std::count_if(neighbours_.begin(), neighbours_.end(), [this](const NeighbourState& neighbour) {
        return out_.now() < neighbour.last_digest_at + kReachableWithin;
      });
  digest.accepts_cores = cells::acceptable_guest_cores(foreign_job_capacity_) /
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

// A reply to another cell in the making: what can be said of each job.
struct Controller::CellReply {
  peer::CellMessage message;
  bool sent = false;

  void say(std::size_t i, JobVerb verb) {
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

// Only the leader knows, takes and ends jobs; it is asked on the neighbour's behalf, once.
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
  out_.call(std::move(call), [this, id, leader](const ports::Reply& reply) {
    if (!reply.frame || reply.frame->status != 200)
      return answer_cell(id, 503, {});
    on_peer_frame(*leader, *reply.frame);
    const auto message = peer::decode_cell_message(reply.frame->cell_message);
    message ? answer_cell(id, 200, *message) : answer_cell(id, 503, {});
  });
}

void Controller::on_cell_message(std::uint64_t id, const peer::Frame& frame) {
  const auto& known = settings_.cells.neighbours;
  const auto from = std::find_if(known.begin(), known.end(), [&frame](const settings::Neighbour& neighbour) {
    return neighbour.name == frame.cell;
  });
  const auto asked = peer::decode_cell_message(frame.cell_message);
  if (from == known.end() || !asked)
    return answer_cell(id, from == known.end() ? 404 : 400, {});
  if (!is_active_leader())
    return relay_to_leader(id, frame);
  auto reply = std::make_shared<CellReply>();
  reply->message.jobs = asked->jobs;
  if (!asked->digest.empty()) {
    const auto cell = static_cast<std::size_t>(from - known.begin());
    on_digest(neighbours_[cell], asked->digest.front());
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

// Says at once what is known; what has to be found out first is filled in if that is soon enough.
void Controller::answer_job_message(const std::shared_ptr<CellReply>& reply, std::size_t i,
                                    const std::string& from) {
  peer::JobMessage& message = reply->message.jobs[i];
  const JobVerb asked = message.verb();
  if (const wire::FinalState* state = final_states_.find(message.ref))
    return reply->say(i, verb_of(state->phase));
  if (!wire::valid_ref(message.ref) || tombstones_in_progress_.contains(message.ref))
    return reply->say(i, JobVerb::none);
  if (asked == JobVerb::offer)
    return on_offer(reply, i, from);
  if (asked == JobVerb::recall || asked == JobVerb::cancel)
    return on_recall(reply, i, from);
  if (asked != JobVerb::state)
    return reply->say(i, JobVerb::none);
  if (const jobs::Job* job = registry_.find(message.ref)) {
    if (job->origin_cell != from)
      return reply->say(i, JobVerb::withdrawn);  // a job of this cell's own with the same reference
    // Its final state is being recorded: that it is live would be an older answer soon.
    if (!job->is_open() || job->final_state_sent)
      return reply->say(i, JobVerb::none);
    message.done_tasks = job->done_tasks;
    message.running_tasks = job->running_tasks;
    return reply->say(i, job->cancelling ? JobVerb::ending : JobVerb::held);
  }
  reply->say(i, JobVerb::none);
  lookup_.look_up(message.ref, store::RequestPriority::user, LookupDetail::live_record,
                  [this, reply, i](const LookupResult& result) {
                    if (result.live && is_active_leader())
                      on_live_job_read(*result.live);
                    if (reply->sent)
                      return;
                    if (result.outcome == LookupOutcome::absent)
                      reply->say(i, JobVerb::unknown);
                    if (result.outcome == LookupOutcome::found && !result.live)
                      reply->say(i, verb_of(*result.phase));
                  });
}

void Controller::on_offer(const std::shared_ptr<CellReply>& reply, std::size_t i, const std::string& from) {
  const peer::JobMessage& message = reply->message.jobs[i];
  if (const jobs::Job* job = registry_.find(message.ref)) {
    if (job->origin_cell != from)
      return reply->say(i, JobVerb::withdrawn);
    if (!job->is_open() || job->final_state_sent || job->cancelling)
      return reply->say(i, JobVerb::none);
    return reply->say(i, JobVerb::held);
  }
  const auto record = wire::decode_cbor(message.record);
  auto spec = record ? wire::parse_job(*record) : wire::malformed("not CBOR");
  if (!spec || spec->ref != message.ref)
    return reply->say(i, JobVerb::never);
  if (catalog_.types().empty() || !foreign_job_capacity_known_)
    return reply->say(i, JobVerb::none);
  if (unrunnable_reason(*spec, settings_, catalog_.types()))
    return reply->say(i, JobVerb::never);
  if (!accepts_offer(*spec, from)) {
    // One that an earlier leader took says so when it is asked for.
    ++stats_.offers_refused;
    return reply->say(i, JobVerb::refused);
  }
  wire::Value kept = wire::job_record(*spec, wire::submitted_at(*record).value_or(out_.time_of_day()));
  kept[jobs::kOriginCellField] = from;
  if (kept.dump().size() > settings_.value_bytes())
    return reply->say(i, JobVerb::never);
  create_offered_job(reply, i, *spec, kept, from);
}

bool Controller::accepts_offer(const wire::JobSpec& spec, const std::string& from) {
  const double cores = spec.tasks * spec.task_resources.cpus;
  const auto& known = settings_.cells.neighbours;
  const auto home = std::find_if(known.begin(), known.end(),
                                 [&from](const auto& neighbour) { return neighbour.name == from; });
  NeighbourState& neighbour = neighbours_[static_cast<std::size_t>(home - known.begin())];
  // A cell that is being drained hands over what will have to wait here, too.
  const bool home_draining = neighbour.digest && neighbour.digest->draining &&
                             !foreign_job_capacity_.draining && !foreign_job_capacity_.overloaded;
  // What the last digest promised holds: a refusal costs a tombstone, and the job can't come here again.
  const bool promised = neighbour.promised > 0 && out_.now() < neighbour.promised_at + kOfferInTransit;
  neighbour.promised -= cores;
  return home_draining || promised || cells::acceptable_guest_cores(foreign_job_capacity_) > 0;
}

void Controller::create_offered_job(const std::shared_ptr<CellReply>& reply, std::size_t i,
                                    const wire::JobSpec& spec, const wire::Value& record,
                                    const std::string& from) {
  foreign_job_capacity_.guests_waiting +=
      spec.tasks * spec.task_resources.cpus;  // until they are counted again
  reply->say(i, JobVerb::none);
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
            reply->say(i, JobVerb::held);
        } else if (result.outcome == Outcome::exists) {
          // Live since another try of the same offer, or over; it is said when it is asked about next.
          lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                          [this](const LookupResult& found) {
                            if (found.live && is_active_leader())
                              on_live_job_read(*found.live);
                          });
        }
      });
}

// The job is to come back to its home, or to be cancelled. What has started here stays, unless it is
// cancelled.
void Controller::on_recall(const std::shared_ptr<CellReply>& reply, std::size_t i, const std::string& from) {
  peer::JobMessage& message = reply->message.jobs[i];
  const bool cancels = message.verb() == JobVerb::cancel;
  if (jobs::Job* job = registry_.find(message.ref)) {
    if (job->origin_cell != from)
      return reply->say(i, JobVerb::withdrawn);
    if (!job->is_open())
      return reply->say(i, JobVerb::none);
    const bool started =
        job->placed_tasks > 0 || job->done_tasks > 0 || !scheduler_.filters().reconciled().admits(*job);
    if (!cancels && started && !job->cancelling) {
      message.done_tasks = job->done_tasks;
      message.running_tasks = job->running_tasks;
      return reply->say(i, JobVerb::held);
    }
    cancellation_.cancel(*job);
    return reply->say(i, JobVerb::ending);
  }
  reply->say(i, JobVerb::none);
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

// Neither live nor over here, so far. An offer that is on its way, or was sent twice, may yet be taken, and
// the home wants to start the job: it gets a tombstone, a final state, beside which it can never be created.
// Until that is certain nothing is known of the job here: a creation in a batch does not exclude the final
// state.
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
  const wire::FinalState ended{wire::Phase::cancelled, 0, out_.time_of_day()};
  txn.put(jobs::kFinalStatePrefix + ref, wire::final_state_record(ended));
  store_.transact(std::move(txn), store::RequestPriority::user, election_.lease_expires_at(),
                  [this, ref, ended, term = term_](const store::Reply& r) {
                    if (term != term_)
                      return;
                    // Without an answer it may have been applied, or be applied late, beside a creation that
                    // came after it: so it is written again until that is known.
                    if (r.status == 0 && r.delivered) {
                      return out_.after(kRetryDelay, [this, ref, term] {
                        if (term == term_)
                          write_tombstone(ref);
                      });
                    }
                    tombstones_in_progress_.erase(ref);
                    if (r.status == 200)
                      on_final_state(ref, ended);
                  });
}

}  // namespace wingtrail::controller
