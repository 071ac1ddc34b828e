// Runs the controllers' decision code and carries its calls and answers over the simulated network.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

void SimulatedCluster::freeze(std::size_t i, double for_s) {
  extend_fault_period(for_s);
  controllers_[i]->paused_until = now_ + for_s;
}

void SimulatedCluster::delay_requests(std::size_t i, double delay_s, double for_s) {
  controllers_[i]->request_delay_s = delay_s;
  controllers_[i]->requests_delayed_until = now_ + for_s;
}

double SimulatedCluster::request_delay(std::size_t i) const {
  return now_ < controllers_[i]->requests_delayed_until ? controllers_[i]->request_delay_s : 0;
}

void SimulatedCluster::after_request_delay(std::size_t i, std::function<void()> handle) {
  const double delay_s = request_delay(i);
  if (delay_s <= 0)
    return handle();
  add_event_after(delay_s, [this, i, handle = std::move(handle), process = controllers_[i]->process_number] {
    if (controllers_[i]->process_number == process)
      handle();
  });
}

void SimulatedCluster::corrupt_messages(double share, double for_s) {
  corruption_share_ = share;
  corruption_until_ = now_ + for_s;
  checks_rules_ = false;
}

bool SimulatedCluster::corrupts_message() {
  if (now_ >= corruption_until_ || !corruption_.chosen(corruption_share_))
    return false;
  ++corrupted_messages_;
  return true;
}

std::string SimulatedCluster::received(const std::string& cbor) {
  return corrupts_message() ? corruption_.corrupt_cbor(cbor) : cbor;
}

std::optional<peer::Frame> SimulatedCluster::received(const peer::Frame& frame) {
  return corrupts_message() ? peer::decode(corruption_.corrupt_frame(frame)) : frame;
}

void SimulatedCluster::boot(std::size_t i) {
  if (external_processes_.boot)
    return external_processes_.boot(i);
  SimulatedController& c = *controllers_[i];
  if (c.controller)
    return;
  settings::Settings s = c.runs_former_version ? settings_before_upgrade_ : settings_;
  if (plan_.one_without_fair_admission && i + 1 == plan_.nodes)
    s.tunables.fair_admission = 0;
  s.node = node_name(i);
  s.zone = settings_.zones[i % plan_.zones];
  for (std::size_t p = 0; p < plan_.nodes; ++p) {
    if (p != i)
      s.peers.push_back({node_name(p), settings_.zones[p % plan_.zones], {}});
  }
  ++c.process_number;
  c.open_requests.clear();
  c.wake_at = -1;
  c.controller = std::make_unique<controller::Controller>(s, rng_());
  c.controller->set_day_offset(1e9 + now_ + random_between(-0.2, 0.2) - node_time(c));
  c.controller->start(node_time(c));
  run_controller(i);
}

void SimulatedCluster::crash(std::size_t i) {
  SimulatedController& c = *controllers_[i];
  if (external_processes_.crash)
    external_processes_.crash(i);
  if (!c.controller && !external_processes_.crash)
    return;
  spdlog::debug("simulation: controller_ended t={:.3f} controller={}", now_, node_name(i));
  extend_fault_period(plan_.back_to);
  c.controller.reset();
  ++c.process_number;
  c.open_requests.clear();
  add_event_after(random_between(plan_.back_from, plan_.back_to), [this, i] { boot(i); });
}

void SimulatedCluster::run_controller(std::size_t i) {
  SimulatedController& c = *controllers_[i];
  if (!c.controller)
    return;
  for (auto actions = c.controller->drain(); !actions.empty(); actions = c.controller->drain()) {
    for (auto& action : actions) {
      if (auto* call = std::get_if<ports::Call>(&action)) {
        execute_call(i, *call);
      } else {
        auto& answer = std::get<ports::Answer>(action);
        auto node = c.open_requests.extract(answer.request);
        if (!node.empty())
          node.mapped()(answer);
      }
    }
  }
  if (c.controller->is_active_leader() != c.was_leader) {
    c.was_leader = c.controller->is_active_leader();
    run_report_.elections += c.was_leader;
    if (c.was_leader && !held_heartbeats_.empty())
      release_held_heartbeats(i);
    if (c.was_leader)
      release_held_copies();
  }
  // At most one controller may hold an unexpired leader lease; every other rule depends on it.
  std::size_t leases_held = 0;
  for (auto& other : controllers_)
    leases_held += other->controller && node_time(*other) < other->controller->leader_lease_expires_at();
  if (leases_held > 1)
    report_violation("two_leaders", node_name(i) + " acts beside another");
  wake_controller(i);
}

void SimulatedCluster::wake_controller(std::size_t i) {
  SimulatedController& c = *controllers_[i];
  const double wake = (c.controller->next_wake() - 1000) / c.clock_rate;
  if (!std::isfinite(wake) || (c.wake_at >= now_ && c.wake_at <= wake + 1e-9))
    return;
  c.wake_at = std::max(wake, now_) + 1e-6;
  add_event(c.wake_at, [this, i, process = c.process_number, due = c.wake_at] {
    SimulatedController& ctl = *controllers_[i];
    if (!ctl.controller || ctl.process_number != process || ctl.wake_at != due)
      return;
    ctl.wake_at = -1;
    if (now_ < ctl.paused_until) {  // the timers of a stalled process fire when it continues
      ctl.wake_at = ctl.paused_until;
      return add_event(ctl.paused_until, [this, i, process] {
        SimulatedController& again = *controllers_[i];
        if (!again.controller || again.process_number != process)
          return;
        again.wake_at = -1;
        again.controller->tick(node_time(again));
        run_controller(i);
      });
    }
    ctl.controller->tick(node_time(ctl));
    run_controller(i);
  });
}

void SimulatedCluster::execute_call(std::size_t i, const ports::Call& call) {
  SimulatedController& c = *controllers_[i];
  if (plan_.planted_fault != "no_authority_check" && node_time(c) >= call.not_after) {
    add_event_after(0, [this, i, process = c.process_number, id = call.id] {
      if (!controllers_[i]->controller || controllers_[i]->process_number != process)
        return;
      ports::Reply none;
      none.delivered = false;
      controllers_[i]->controller->on_reply(node_time(*controllers_[i]), id, none);
      run_controller(i);
    });
    return;
  }
  auto answered = std::make_shared<bool>(false);
  auto finish = [this, i, process = c.process_number, id = call.id, answered](const ports::Reply& r) {
    if (*answered)
      return;
    *answered = true;
    SimulatedController& ctl = *controllers_[i];
    if (!ctl.controller || ctl.process_number != process)
      return;
    if (now_ < ctl.paused_until) {
      add_event(ctl.paused_until, [this, i, process, id, r] {
        SimulatedController& again = *controllers_[i];
        if (!again.controller || again.process_number != process)
          return;
        again.controller->on_reply(node_time(again), id, r);
        run_controller(i);
      });
      return;
    }
    ctl.controller->on_reply(node_time(ctl), id, r);
    run_controller(i);
  };
  if (call.target == ports::Target::cell) {
    const std::size_t cell = call.cell < plan_.cell ? call.cell : call.cell + 1;
    cell_network_->send(plan_.cell, cell, [this, call, cell, finish] {
      cell_network_->cells[cell]->deliver_frame(call.peer, *call.frame,
                                                [this, cell, finish](const ports::Answer& a) {
                                                  cell_network_->send(cell, plan_.cell, [finish, a] {
                                                    ports::Reply r;
                                                    r.status = a.status;
                                                    r.frame = a.frame;
                                                    finish(r);
                                                  });
                                                });
    });
    return add_event(now_ + call.timeout_s, [finish] { finish(ports::Reply{}); });
  }
  const std::string caller = node_name(i);
  std::string to = call.target == ports::Target::state   ? "state"
                   : call.target == ports::Target::cloud ? "cloud"
                                                         : "";
  std::size_t peer = 0;
  WorkerMachine* host = nullptr;
  if (call.target == ports::Target::peer) {
    peer = call.peer < i ? call.peer : call.peer + 1;
    to = node_name(peer);
  } else if (call.target == ports::Target::worker) {
    for (auto& [name, machine] : machines_) {
      if (machine->address == call.address)
        host = machine.get();
    }
    to = host ? host->name : "nowhere";
  }
  const bool worker = call.target == ports::Target::worker;
  const std::uint64_t process = c.process_number;
  auto back = [this, caller, to, finish, worker](int status, Value body) {
    send(to, caller, [this, finish, worker, status, body = std::move(body)] {
      ports::Reply r;
      r.status = status;
      const std::string bytes = received(wire::encode_cbor(body));
      if (worker)
        r.heartbeat = bytes;
      else if (auto value = wire::decode_cbor(bytes, wire::InvalidText::replace))
        r.body = std::move(*value);
      else if (status == 200)
        r.status = 0;
      finish(r);
    });
  };
  const bool sent = send(caller, to, [this, i, peer, host, call, back, caller, to, finish, process] {
    switch (call.target) {
      case ports::Target::cell:
        return;
      case ports::Target::state:
        // The calling process may have ended since then, and may have had other limits.
        executing_late_write_ = process != controllers_[i]->process_number;
        state_service_request(i, call.method, call.path, call.body, back);
        executing_late_write_ = false;
        return;
      case ports::Target::cloud:
        return request_from_cloud(call, back);
      case ports::Target::peer:
        return deliver_frame(peer, *call.frame,
                             [this, caller, to, finish, peer, call](const ports::Answer& a) {
                               may_arrive_again([this, peer, frame = *call.frame] {
                                 ++run_report_.repeated_requests;
                                 deliver_frame(peer, frame, [](const ports::Answer&) {});
                               });
                               send(to, caller, [this, finish, a] {
                                 ports::Reply r;
                                 r.status = a.status;
                                 if (a.frame)
                                   r.frame = received(*a.frame);
                                 finish(r);
                               });
                             });
      case ports::Target::worker: {
        if (!host || host->gone || host->dead || !host->up)
          return;
        if (now_ < host->incoming_lost_until)
          return void(++run_report_.undelivered);
        const std::string name = host->name;
        auto arrive = [this, name, call, back] {
          WorkerMachine& machine = *machines_.at(name);
          if (machine.gone || machine.dead || !machine.up)
            return;
          const int status = answer_commands(machine, call.body);
          back(status, status == 400 ? Value::object() : heartbeat_value(machine));
        };
        if (delay_command(*host, call.body))
          return;
        if (now_ < host->hung_until)
          return add_event(host->hung_until + 1e-6, arrive);
        return arrive();
      }
    }
  });
  add_event(now_ + call.timeout_s, [finish, sent] {
    ports::Reply r;
    r.delivered = sent;
    finish(r);
  });
}

void SimulatedCluster::request_from_cloud(const ports::Call& call, const ReplyCallback& reply) {
  if (call.method == "GET")
    return cloud_request(call.method, call.path, call.body, reply);
  cloud_request(call.method, call.path, call.body, repeat_if_executed(reply, [this, call] {
                  cloud_request(call.method, call.path, call.body, [](int, const Value&) {});
                }));
}

void SimulatedCluster::deliver_frame(std::size_t node, const peer::Frame& frame, AnswerCallback then) {
  after_request_delay(node, [this, node, frame, then = std::move(then)] { handle_frame(node, frame, then); });
}

void SimulatedCluster::handle_frame(std::size_t node, const peer::Frame& frame, AnswerCallback then) {
  SimulatedController& c = *controllers_[node];
  if (!c.controller || now_ < c.paused_until)
    return;
  const auto arrived = received(*peer::decode(peer::encode(frame)));
  if (!arrived) {
    ports::Answer refusal;
    refusal.status = 400;
    return then(refusal);
  }
  const std::uint64_t id = ++c.requests;
  c.open_requests[id] = std::move(then);
  c.controller->on_frame(node_time(c), id, *arrived);
  run_controller(node);
}

void SimulatedCluster::deliver(std::size_t i, controller::IncomingRequest request, AnswerCallback then) {
  if (external_processes_.deliver)
    return external_processes_.deliver(i, std::move(request), std::move(then));
  after_request_delay(i, [this, i, request = std::move(request), then = std::move(then)] {
    handle_request(i, request, then);
  });
}

void SimulatedCluster::handle_request(std::size_t i, controller::IncomingRequest request,
                                      AnswerCallback then) {
  SimulatedController& c = *controllers_[i];
  if (!c.controller)
    return;
  if (now_ < c.paused_until) {
    add_event(c.paused_until, [this, i, request, then, process = c.process_number] {
      if (controllers_[i]->process_number == process)
        handle_request(i, request, then);
    });
    return;
  }
  request.id = ++c.requests;
  if (!request.body.empty())
    request.body = received(request.body);
  c.open_requests[request.id] = std::move(then);
  c.controller->on_request(node_time(c), request);
  run_controller(i);
}

void SimulatedCluster::restart_with(const std::function<void(settings::Settings&)>& change,
                                    std::size_t node) {
  change(settings_);
  crash(node);
}

}  // namespace wingtrail::simulation
