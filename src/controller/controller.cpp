#include "controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kStatusInterval = 1.0;       // between status frames to peers
constexpr Seconds kFirstStatusInterval = 0.1;  // after the process start; it doubles up to kStatusInterval
constexpr Seconds kTickInterval = 0.25;
constexpr Seconds kStatsInterval = 10;
// A new leader that reads nothing for this long resigns: more than twice the timeout of a read.
constexpr Seconds kMaxLoadStall = 12;

std::vector<std::string> neighbour_names(const settings::Cells& cells) {
  std::vector<std::string> names;
  for (const auto& n : cells.neighbours)
    names.push_back(n.name);
  return names;
}

// Returns the part of the keys of job batches that is unique to this process.
std::string process_name(std::uint64_t seed) {
  std::ostringstream out;
  out << std::hex << seed;
  return out.str();
}
}  // namespace

Controller::Controller(settings::Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      store_(out_, settings_),
      registry_(settings_),
      election_(out_, store_, settings_,
                {[this] { on_elected(); },
                 [this] {
                   on_leadership_lost();
                 }}),
      peers_(out_, settings_),
      delegation_support_(
          out_, store_, election_, peers_, settings_,
          [this](Seconds duration_s) { delegated_renewal_.assume_earlier_delegations(duration_s); }),
      delegated_renewal_(out_, store_, election_, peers_, delegation_support_, settings_,
                         {[this] { return loaded_; },
                          [this](const wire::Heartbeat& heartbeat) {
                            return workers_.handle_heartbeat(
                                heartbeat, workers::WorkerManager::CommandsInReply::withheld);
                          }}),
      write_shares_(settings_.peers.size() + 1),
      request_shares_(settings_.peers.size() + 1),
      creation_queue_(out_, store_, settings_, process_name(seed)),
      batches_(out_, store_, peers_, settings_.tunables.fair_admission > 0),
      lookup_(out_, store_, batches_,
              {[this] { return term_; },
               [this](const std::string& ref, const wire::FinalState& state) {
                 on_final_state(ref, state);
               }}),
      query_lookups_(out_, store_, settings_, batches_, lookup_),
      final_state_query_(out_, store_, settings_,
                         {[this] { return term_; },
                          [this] {
                            last_load_reply_at_ = out_.now();
                          }}),
      dependencies_(registry_,
                    {[this](const std::string& ref) -> std::optional<jobs::DependencyGraph::FinalState> {
                       const wire::FinalState* state = final_states_.find(ref);
                       if (!state)
                         return std::nullopt;
                       return jobs::DependencyGraph::FinalState{
                           state->phase == wire::Phase::done,
                           state->ended_at ? to_steady_time(*state->ended_at) : 0};
                     },
                     [this](const jobs::Job& job) {
                       return scheduler_.expected_duration(job);
                     }}),
      state_writer_(
          out_, store_, registry_, settings_,
          {[this] { return election_.fencing_token(); }, [this] { return election_.lease_expires_at(); },
           [this] { election_.on_superseded("a write found another leader"); }, leadership::kLeaderKey}),
      workers_(out_, settings_, registry_, state_writer_,
               {[this] { return election_.fencing_token(); }, [this] { return election_.lease_expires_at(); },
                [this](Seconds own) { return delegated_renewal_.worker_lease_expiry(own); },
                [this] {
                  return settings_.tunables.peer_agreement && delegation_support_.enabled() &&
                         delegation_support_.all_cancellations_strict();
                }},
               {[this](workers::Machine& m) { scheduler_.on_capacity_available(m); },
                [this](workers::Machine& m) { scheduler_.on_capacity_available(m); },
                [this](workers::Machine& m) { scheduler_.on_machine_gone(m); },
                [this](workers::Machine& m, const workers::Allocation& s) {
                  scheduler_.on_task_exited(m, s);
                  if (jobs::Job* job = registry_.job_at(s.job)) {
                    complete_if_done(*job);
                    registry_.erase_if_over(*job);
                  }
                },
                [this](const std::string& host, std::uint64_t token) {
                  election_.on_higher_token([this, host, token] { workers_.on_unknown_token(host, token); });
                }}),
      scheduler_(
          out_, settings_, registry_, workers_, [this] { return election_.fencing_token(); }, seed),
      autoscaler_(out_, settings_, registry_, workers_, scheduler_,
                  {[this] { return election_.fencing_token(); }, [this] { return is_active_leader(); },
                   [this] {
                     return election_.lease_expires_at();
                   }}),
      catalog_(out_, store_, election_, settings_,
               {[this] { return is_active_leader(); },
                [this](const MachineCatalog::Types& types) {
                  workers_.set_catalog(types);
                  scheduler_.set_catalog(types);
                  autoscaler_.set_catalog(types);
                }}),
      zone_reporter_(out_, registry_, workers_, scheduler_),
      remote_placements_(neighbour_names(settings_.cells), page_bytes(settings_)),
      neighbours_(settings_.cells.neighbours.size()),
      responder_(out_, [this] { return make_frame(); }),
      peer_calls_(out_, election_, peers_, responder_,
                  {[this] { return make_frame(); },
                   [this](std::size_t peer, const peer::Frame& reply, Seconds request_sent) {
                     on_peer_frame(peer, reply, request_sent);
                   }}),
      queries_(
          {out_, store_, settings_, final_states_, registry_, dependencies_, remote_placements_, lookup_,
           query_lookups_, peer_calls_, responder_},
          {[this] { return is_active_leader(); }, [this](const LiveRecord& live) { on_live_job_read(live); },
           [this] {
             return final_states_recorded_until_;
           }}),
      cancellation_({out_, store_, registry_, state_writer_, workers_, scheduler_, remote_placements_, peers_,
                     lookup_, queries_, peer_calls_, responder_},
                    {[this] { return is_active_leader(); }, [this] { return loaded_; },
                     [this](const LiveRecord& live) {
                       on_live_job_read(live);
                     }}),
      submission_({out_, store_, settings_, catalog_.types(), election_, peers_, final_states_, registry_,
                   batches_, creation_queue_, lookup_, queries_, peer_calls_, responder_},
                  {[this] { return is_active_leader(); }, [this] { return term_; },
                   [this] { return shares_are_fixed(); },
                   [this](const wire::Value& record, std::uint64_t revision, const std::string& batch_key) {
                     on_job_read(record, revision, batch_key);
                   }}),
      heartbeats_({out_, settings_, election_, peers_, delegated_renewal_, workers_, responder_},
                  [this] { return is_active_leader(); }) {
  state_writer_.set_events({[this](jobs::Job& job) { on_job_final(job); },
                            [this](const std::vector<jobs::StateWriter::CompletedTask>& ended) {
                              workers_.on_completions_persisted(ended);
                            },
                            [this](jobs::MachineIndex ix) { workers_.on_inventory_written(ix); },
                            [this](jobs::MachineIndex ix) {
                              return workers_.inventory_record(ix);
                            }});
  registry_.on_pending = [this](jobs::Job& job) {
    scheduler_.enqueue(job);
  };
  creation_queue_.batches_allowed = [this] {
    return may_create_batches();
  };
  creation_queue_.fixed_shares = [this] {
    return shares_are_fixed();
  };
  if (settings_.tunables.fair_admission > 0)
    store_.set_share_source([this] { return budget_share(); });
}

void Controller::start(Seconds now) {
  out_.set_now(now);
  started_at_ = now;
  delegated_renewal_.start();
  election_.start();
  catalog_.read_stored();
  delegation_support_.read_record({});
  catalog_.start_fetching();
  batches_.start();
  probe_state_service();
  send_status_to_peers();
  run_periodic_tasks();
  out_.after(kStatsInterval, [this] { log_stats(); });
}

void Controller::on_reply(Seconds now, std::uint64_t call, const ports::Reply& reply) {
  out_.set_now(now);
  out_.complete(call, reply);
}

void Controller::tick(Seconds now) {
  out_.set_now(now);
  out_.run_timers();
}

std::vector<ports::Action> Controller::drain() {
  if (election_.holds_leadership())
    cancellation_.process_pending();
  if (is_active_leader())
    workers_.flush_commands();
  return out_.drain();
}

void Controller::on_request(Seconds now, const IncomingRequest& request) {
  out_.set_now(now);
  route({request.id, false}, request.method, request.path, request.body);
}

void Controller::route(const RequestOrigin& origin, const std::string& method, const std::string& path,
                       const std::string& body) {
  const auto reject_other_methods = [&](const char* allowed) {
    if (method == allowed)
      return false;
    responder_.respond(origin, 405);
    return true;
  };
  const std::string jobs_path = wire::kJobsPath;
  if (path == jobs_path) {
    if (reject_other_methods("POST"))
      return;
    return submission_.submit(origin, body);
  }
  if (path.starts_with(jobs_path + "/")) {
    std::string ref = path.substr(jobs_path.size() + 1);
    const std::string suffix = wire::kAbortSuffix;
    const bool cancels = ref.ends_with(suffix);
    if (cancels)
      ref.resize(ref.size() - suffix.size());
    if (reject_other_methods(cancels ? "POST" : "GET"))
      return;
    if (!wire::valid_ref(ref))
      return responder_.respond(origin, 404);
    return cancels ? cancellation_.request(origin, ref) : queries_.answer_query(origin, ref);
  }
  if (path == wire::kHeartbeatPath && !origin.by_peer) {
    if (reject_other_methods("POST"))
      return;
    return heartbeats_.handle(origin, body);
  }
  if (path == wire::kReadyPath && !origin.by_peer) {
    if (reject_other_methods("GET"))
      return;
    return is_ready() ? responder_.respond(origin, 200, wire::Value::object()) : responder_.try_later(origin);
  }
  responder_.respond(origin, 404);
}

// Whether the load balancer should send users here. If the state service replies to no controller, they all
// stay ready: users are then answered at once with Retry-After, and the time that the load balancer takes to
// put a controller back into service does not prolong the outage.
bool Controller::is_ready() const {
  return !catalog_.types().empty() && (store_.healthy() || peer_calls_.peer_with_state_service() ||
                                       is_active_leader() || peers_.none_has_state_service());
}

peer::Frame Controller::make_frame() const {
  peer::Frame frame;
  frame.node = settings_.node;
  frame.leader_fencing_token = election_.leader_fencing_token();
  frame.leader = election_.leader();
  frame.state_service_healthy = store_.healthy();
  frame.rejected_heartbeats = static_cast<std::uint32_t>(heartbeats_.recent_rejections());
  frame.level = peer::kProtocolLevel;
  frame.process_age_s = out_.now() - started_at_;
  delegated_renewal_.add_status(frame);
  frame.supports_batches = settings_.tunables.fair_admission > 0;
  // Twice the recent demand, because a surge may double within the seconds that a budget share is lent for.
  const auto demand = store_.recent_demand();
  frame.requested_write_share =
      2 * (demand.writes + creation_queue_.backlog_changes() / std::max(1.0, settings_.state_writes_per_s)) -
      write_shares_.minimum_share();
  frame.requested_request_share = 2 * demand.requests - request_shares_.minimum_share();
  if (frame.supports_batches)
    frame.deferred_attempts = creation_queue_.first_attempts().encode_recent(out_.time_of_day());
  if (election_.holds_leadership() && loaded_)
    frame.final_state_lag_s = out_.now() - final_states_recorded_until_;
  frame.answers_heartbeats = is_active_leader() || (election_.holds_leadership() && loaded_ &&
                                                    out_.now() < delegated_renewal_.delegated_until());
  return frame;
}

void Controller::send_status_to_peers() {
  delegated_renewal_.observe_leadership();
  delegation_support_.update();
  delegation_support_.maintain_record(is_active_leader());
  heartbeats_.forget_old_rejections();
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    ports::Call call;
    call.target = ports::Target::peer;
    call.peer = static_cast<std::uint32_t>(i);
    call.method = "POST";
    call.path = peer::kPeerPath;
    call.frame = make_frame();
    call.timeout_s = 0.9;
    out_.call(std::move(call), [this, i, sent = out_.now()](const ports::Reply& reply) {
      if (!reply.frame)
        return;
      on_peer_frame(i, *reply.frame, sent);
      delegated_renewal_.on_status_reply(i, *reply.frame, sent);
      if (reply.frame->lent_write_share >= 0 &&
          reply.frame->leader_fencing_token >= election_.leader_fencing_token()) {
        write_shares_.on_loan(reply.frame->lent_write_share, sent);
        request_shares_.on_loan(reply.frame->lent_request_share, sent);
      }
    });
  }
  // If all controllers start together, the first frames reach no peer. Repeating them soon keeps peer
  // agreement from being delayed by a whole interval.
  const Seconds first = settings_.tunables.peer_agreement ? kFirstStatusInterval : kStatusInterval;
  out_.after(std::min(kStatusInterval, std::max(first, out_.now() - started_at_)),
             [this] { send_status_to_peers(); });
}

void Controller::on_peer_frame(std::size_t peer, const peer::Frame& received,
                               std::optional<Seconds> request_sent) {
  peers_.on_frame(peer, received);
  if (!received.deferred_attempts.empty())
    creation_queue_.first_attempts().merge(received.deferred_attempts, out_.time_of_day());
  delegation_support_.update();
  if (!received.leader.empty())
    election_.observe_leader(received.leader, received.leader_fencing_token);
  delegated_renewal_.on_frame(received);
  follow_recorded_final_states(received, request_sent);
}

void Controller::on_frame(Seconds now, std::uint64_t id, const peer::Frame& received) {
  out_.set_now(now);
  // Controllers of another cell may have the same names as peers, so their frames are handled first.
  if (!received.cell.empty() && !received.relayed)
    return on_cell_message(id, received);
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    if (settings_.peers[i].name != received.node)
      continue;
    on_peer_frame(i, received, std::nullopt);
    const DelegatedRenewal::Permission permission = delegated_renewal_.permission_for(received);
    const bool lends =
        election_.may_act() && received.supports_batches && settings_.tunables.fair_admission > 0;
    if (received.path.empty() && received.cell.empty() &&
        (permission.grant || permission.agreement || lends)) {
      delegated_renewal_.record_permission(i, permission);
      ports::Answer answer;
      answer.request = id;
      answer.frame = make_frame();
      answer.frame->status = 200;
      delegated_renewal_.add_permission(*answer.frame, permission);
      if (lends) {
        answer.frame->lent_write_share = write_shares_.lend(i, received.requested_write_share, out_.now());
        answer.frame->lent_request_share =
            request_shares_.lend(i, received.requested_request_share, out_.now());
      }
      return out_.answer(std::move(answer));
    }
  }
  if (!received.cell.empty())
    return on_cell_message(id, received);
  const RequestOrigin origin{id, true};
  if (received.path.empty())
    return responder_.respond(origin, 200);
  route(origin, received.method, received.path, received.body);
}

// Followers send few requests to the state service, so this regular read shows whether it replies to them.
// The result is reported to peers in status frames. A leader reads its key if a peer has reported a higher
// token.
void Controller::probe_state_service() {
  const bool knows_higher_token = election_.leader_fencing_token() > election_.fencing_token();
  if (!election_.holds_leadership() || (election_.may_act() && knows_higher_token)) {
    store_.get(
        leadership::kLeaderKey, store::RequestPriority::lease,
        [this, sent = out_.now()](const store::Reply& reply) { election_.on_leader_key_read(reply, sent); });
  }
  out_.after(kStatusInterval, [this] { probe_state_service(); });
}

// A version without delegated renewal does not tell whether it answers heartbeats.
bool Controller::knows_active_leader() const {
  if (is_active_leader())
    return true;
  const auto leader = peers_.reachable_leader(election_.leader());
  return leader &&
         (peers_[*leader].answers_heartbeats || peers_[*leader].level.value_or(0) < peer::kLevelDelegation);
}

void Controller::run_periodic_tasks() {
  leader_absence_.update(out_.now(), knows_active_leader(), election_);
  // If the state service fails while a new leader is loading, that leader knows no machines and cannot renew
  // their leases, yet its leadership keeps other controllers from renewing them. So it resigns.
  if (election_.holds_leadership() && !loaded_ &&
      (out_.now() > election_.lease_expires_at() + settings_.tunables.leader_lease_s ||
       out_.now() > last_load_reply_at_ + kMaxLoadStall))
    election_.resign(0, "nothing could be read");
  if (election_.holds_leadership() && loaded_) {
    workers_.tick();
    if (is_active_leader()) {
      dependencies_.propagate_urgency();
      process_dependencies();
      update_final_states_recorded_until();
      recording_delays_.update(out_.now(), state_writer_.backlogs(), store_.write_rate());
      zone_reporter_.update();
      autoscaler_.tick();
      scheduler_.run_pass();
      update_cells();
      heartbeats_.check_reachability();
    }
  }
  queries_.update();
  overload_.update(out_.now(), creation_queue_, budget_share().writes);
  out_.after(kTickInterval, [this] { run_periodic_tasks(); });
}

}  // namespace wingtrail::controller
