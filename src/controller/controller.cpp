#include "controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kGreeting = 1.0;        // how often peers hear of each other
constexpr Seconds kFirstGreetings = 0.1;  // and doubling until then, while a node is new
constexpr Seconds kPeriod = 0.25;
constexpr Seconds kStatsInterval = 10;
constexpr Seconds kReadsWithin =
    12;  // of a new leader, one answer at least: twice what it waits for one, and more

std::vector<std::string> neighbour_names(const settings::Cells& cells) {
  std::vector<std::string> names;
  for (const auto& n : cells.neighbours)
    names.push_back(n.name);
  return names;
}

// What no other process writes its job batches under.
std::string life_name(std::uint64_t seed) {
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
                {[this] { elected(); },
                 [this] {
                   lost();
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
      creation_queue_(out_, store_, settings_, life_name(seed)),
      batches_(out_, store_, peers_, settings_.tunables.fair_admission > 0),
      lookup_(out_, store_, batches_,
              {[this] { return term_; },
               [this](const std::string& ref, const wire::FinalState& state) {
                 on_final_state(ref, state);
               }}),
      final_state_query_(out_, store_, settings_,
                         {[this] { return term_; },
                          [this] {
                            read_at_ = out_.now();
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
                [this] {
                  election_.on_superseded("a worker knows a newer leader");
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
      responder_(out_, [this] { return frame(); }),
      peer_calls_(out_, election_, peers_, responder_,
                  {[this] { return frame(); },
                   [this](std::size_t peer, const peer::Frame& received) {
                     heard(peer, received);
                   }}),
      queries_(
          {out_, store_, settings_, final_states_, registry_, dependencies_, remote_placements_, lookup_,
           peer_calls_, responder_},
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
                              workers_.acknowledge_ends(ended);
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
  probe_store();
  greet_peers();
  periodic();
  out_.after(kStatsInterval, [this] { log_stats(); });
}

void Controller::reply(Seconds now, std::uint64_t call, const ports::Reply& reply) {
  out_.set_now(now);
  out_.complete(call, reply);
}

void Controller::tick(Seconds now) {
  out_.set_now(now);
  out_.run_timers();
}

std::vector<ports::Action> Controller::drain() {
  if (election_.holds_leadership())
    cancellation_.progress();
  if (is_active_leader())
    workers_.flush_commands();
  return out_.drain();
}

// ---------------------------------------------------------------- requests

void Controller::request(Seconds now, const IncomingRequest& in) {
  out_.set_now(now);
  route({in.id, false}, in.method, in.path, in.body);
}

void Controller::route(const RequestOrigin& origin, const std::string& method, const std::string& path,
                       const std::string& body) {
  const auto wrong_method = [&](const char* allowed) {
    if (method == allowed)
      return false;
    responder_.respond(origin, 405);
    return true;
  };
  const std::string jobs_path = wire::kJobsPath;
  if (path == jobs_path) {
    if (wrong_method("POST"))
      return;
    return submission_.submit(origin, body);
  }
  if (path.starts_with(jobs_path + "/")) {
    std::string ref = path.substr(jobs_path.size() + 1);
    const std::string suffix = wire::kAbortSuffix;
    const bool cancels = ref.ends_with(suffix);
    if (cancels)
      ref.resize(ref.size() - suffix.size());
    if (wrong_method(cancels ? "POST" : "GET"))
      return;
    if (!wire::valid_ref(ref))
      return responder_.respond(origin, 404);
    return cancels ? cancellation_.request(origin, ref) : queries_.status(origin, ref);
  }
  if (path == wire::kHeartbeatPath && !origin.by_peer) {
    if (wrong_method("POST"))
      return;
    return heartbeats_.handle(origin, body);
  }
  if (path == wire::kReadyPath && !origin.by_peer) {
    if (wrong_method("GET"))
      return;
    return is_ready() ? responder_.respond(origin, 200, wire::Value::object()) : responder_.try_later(origin);
  }
  responder_.respond(origin, 404);
}

// While no controller is served by the state service, being taken out of service would only add the load
// balancer's pause to the outage; until it is over, users are told at once to come back.
bool Controller::is_ready() const {
  return !catalog_.types().empty() &&
         (store_.healthy() || peer_calls_.served_peer() || is_active_leader() || peers_.none_served());
}

// ---------------------------------------------------------------- peers

peer::Frame Controller::frame() const {
  peer::Frame f;
  f.node = settings_.node;
  f.leader_fencing_token = election_.leader_fencing_token();
  f.leader = election_.leader();
  f.state_service_healthy = store_.healthy();
  f.rejected_heartbeats = static_cast<std::uint32_t>(heartbeats_.recent_rejections());
  f.level = peer::kProtocolLevel;
  f.process_age_s = out_.now() - started_at_;
  delegated_renewal_.describe(f);
  f.supports_batches = settings_.tunables.fair_admission > 0;
  // Twice what was asked for lately: a loan lasts for seconds, in which a surge may double.
  const auto asked = store_.recent_demand();
  f.requested_write_share =
      2 * (asked.writes + creation_queue_.backlog_changes() / std::max(1.0, settings_.state_writes_per_s)) -
      write_shares_.floor();
  f.requested_request_share = 2 * asked.requests - request_shares_.floor();
  if (f.supports_batches)
    f.deferred_attempts = creation_queue_.first_attempts().encode_recent(out_.time_of_day());
  if (election_.holds_leadership() && loaded_)
    f.final_state_lag_s = out_.now() - final_states_recorded_until_;
  f.answers_heartbeats = is_active_leader() || (election_.holds_leadership() && loaded_ &&
                                                out_.now() < delegated_renewal_.delegated_until());
  return f;
}

void Controller::greet_peers() {
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
    call.frame = frame();
    call.timeout_s = 0.9;
    out_.call(std::move(call), [this, i, asked = out_.now()](const ports::Reply& r) {
      if (!r.frame)
        return;
      heard(i, *r.frame);
      delegated_renewal_.on_greeting_reply(i, *r.frame, asked);
      if (r.frame->lent_write_share >= 0 &&
          r.frame->leader_fencing_token >= election_.leader_fencing_token()) {
        write_shares_.on_loan(r.frame->lent_write_share, asked);
        request_shares_.on_loan(r.frame->lent_request_share, asked);
      }
    });
  }
  // Of nodes that begin together the first to ask finds nobody, and agreement must not wait for a second.
  const Seconds first = settings_.tunables.peer_agreement ? kFirstGreetings : kGreeting;
  out_.after(std::min(kGreeting, std::max(first, out_.now() - started_at_)), [this] { greet_peers(); });
}

void Controller::heard(std::size_t i, const peer::Frame& f) {
  peers_.on_frame(i, f);
  if (!f.deferred_attempts.empty())
    creation_queue_.first_attempts().merge(f.deferred_attempts, out_.time_of_day());
  delegation_support_.update();
  if (!f.leader.empty())
    election_.observe_leader(f.leader, f.leader_fencing_token);
  delegated_renewal_.on_frame(f);
  // A version that does not say how far it has come is taken to have recorded all if it can write.
  if (f.answers_heartbeats && f.node == election_.leader() && f.state_service_healthy)
    final_states_recorded_until_ =
        std::max(final_states_recorded_until_, out_.now() - std::max(0.0, f.final_state_lag_s));
}

void Controller::peer(Seconds now, std::uint64_t id, const peer::Frame& f) {
  out_.set_now(now);
  // Names of nodes say nothing between cells.
  if (!f.cell.empty() && !f.relayed)
    return on_cell_message(id, f);
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    if (settings_.peers[i].name != f.node)
      continue;
    heard(i, f);
    const DelegatedRenewal::Permission permission = delegated_renewal_.permission(f);
    const bool lends = election_.may_act() && f.supports_batches && settings_.tunables.fair_admission > 0;
    if (f.path.empty() && f.cell.empty() && (permission.grant || permission.agreement || lends)) {
      delegated_renewal_.on_permitted(i, permission);
      ports::Answer a;
      a.request = id;
      a.frame = frame();
      a.frame->status = 200;
      delegated_renewal_.permit(*a.frame, permission);
      if (lends) {
        a.frame->lent_write_share = write_shares_.lend(i, f.requested_write_share, out_.now());
        a.frame->lent_request_share = request_shares_.lend(i, f.requested_request_share, out_.now());
      }
      return out_.answer(std::move(a));
    }
  }
  if (!f.cell.empty())
    return on_cell_message(id, f);
  const RequestOrigin origin{id, true};
  if (f.path.empty())
    return responder_.respond(origin, 200);
  route(origin, f.method, f.path, f.body);
}

// ---------------------------------------------------------------- duties

// A follower asks the state service little; this tells it, and through it its peers, whether it is served.
void Controller::probe_store() {
  if (!election_.holds_leadership())
    store_.get(leadership::kLeaderKey, store::RequestPriority::lease, [](const store::Reply&) {});
  out_.after(kGreeting, [this] { probe_store(); });
}

void Controller::periodic() {
  // The state service went away while a new leader was reading: it knows no machine, so it may not answer for
  // any, and stands in the way of those that could.
  if (election_.holds_leadership() && !loaded_ &&
      (out_.now() > election_.lease_expires_at() + settings_.tunables.leader_lease_s ||
       out_.now() > read_at_ + kReadsWithin))
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
  overload_.update(out_.now(), creation_queue_, budget_share().writes);
  out_.after(kPeriod, [this] { periodic(); });
}

}  // namespace wingtrail::controller
