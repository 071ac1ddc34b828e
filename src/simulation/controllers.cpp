// The controllers: real decision code, their calls and answers carried over the simulated network.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

void SimulatedCluster::freeze(std::size_t i, double for_s) {
  fault_lasts(for_s);
  controllers_[i]->paused_until = t_ + for_s;
}

void SimulatedCluster::boot(std::size_t i) {
  if (outside_.boot)
    return outside_.boot(i);
  Controller& c = *controllers_[i];
  if (c.node)
    return;
  settings::Settings s = c.former ? former_ : settings_;
  if (plan_.one_fixed && i + 1 == plan_.nodes)
    s.tunables.fair_admission = 0;
  s.node = node_name(i);
  s.zone = settings_.zones[i % plan_.zones];
  for (std::size_t p = 0; p < plan_.nodes; ++p) {
    if (p != i)
      s.peers.push_back({node_name(p), settings_.zones[p % plan_.zones], {}});
  }
  ++c.life;
  c.open.clear();
  c.wake = -1;
  c.node = std::make_unique<controller::Controller>(s, rng_());
  c.node->set_day_offset(1e9 + t_ + between(-0.2, 0.2) - node_time(c));
  c.node->start(node_time(c));
  act(i);
}

void SimulatedCluster::crash(std::size_t i) {
  Controller& c = *controllers_[i];
  if (outside_.crash)
    outside_.crash(i);
  if (!c.node && !outside_.crash)
    return;
  spdlog::debug("{:.3f} {} ends", t_, node_name(i));
  fault_lasts(plan_.back_to);
  c.node.reset();
  ++c.life;
  c.open.clear();
  later(between(plan_.back_from, plan_.back_to), [this, i] { boot(i); });
}

void SimulatedCluster::act(std::size_t i) {
  Controller& c = *controllers_[i];
  if (!c.node)
    return;
  for (auto actions = c.node->drain(); !actions.empty(); actions = c.node->drain()) {
    for (auto& action : actions) {
      if (auto* call = std::get_if<ports::Call>(&action)) {
        carry_out(i, *call);
      } else {
        auto& answer = std::get<ports::Answer>(action);
        auto node = c.open.extract(answer.request);
        if (!node.empty())
          node.mapped()(answer);
      }
    }
  }
  if (c.node->is_active_leader() != c.led) {
    c.led = c.node->is_active_leader();
    run_report_.elections += c.led;
    if (c.led && !kept_reports_.empty())
      release_reports(i);
  }
  // Two nodes that may both give orders would break everything else.
  std::size_t entitled = 0;
  for (auto& other : controllers_)
    entitled += other->node && node_time(*other) < other->node->leader_lease_expires_at();
  if (entitled > 1)
    broke("two_leaders", node_name(i) + " acts beside another");
  poke(i);
}

void SimulatedCluster::poke(std::size_t i) {
  Controller& c = *controllers_[i];
  const double wake = (c.node->next_wake() - 1000) / c.rate;
  if (!std::isfinite(wake) || (c.wake >= t_ && c.wake <= wake + 1e-9))
    return;
  c.wake = std::max(wake, t_) + 1e-6;
  at(c.wake, [this, i, life = c.life, due = c.wake] {
    Controller& ctl = *controllers_[i];
    if (!ctl.node || ctl.life != life || ctl.wake != due)
      return;
    ctl.wake = -1;
    if (t_ < ctl.paused_until) {  // a stalled process: its timers fire when it goes on
      ctl.wake = ctl.paused_until;
      return at(ctl.paused_until, [this, i, life] {
        Controller& again = *controllers_[i];
        if (!again.node || again.life != life)
          return;
        again.wake = -1;
        again.node->tick(node_time(again));
        act(i);
      });
    }
    ctl.node->tick(node_time(ctl));
    act(i);
  });
}

void SimulatedCluster::carry_out(std::size_t i, const ports::Call& call) {
  Controller& c = *controllers_[i];
  if (plan_.sabotage != "no_authority_check" && node_time(c) >= call.not_after) {
    later(0, [this, i, life = c.life, id = call.id] {
      if (!controllers_[i]->node || controllers_[i]->life != life)
        return;
      ports::Reply none;
      none.delivered = false;
      controllers_[i]->node->reply(node_time(*controllers_[i]), id, none);
      act(i);
    });
    return;
  }
  auto answered = std::make_shared<bool>(false);
  auto finish = [this, i, life = c.life, id = call.id, answered](const ports::Reply& r) {
    if (*answered)
      return;
    *answered = true;
    Controller& ctl = *controllers_[i];
    if (!ctl.node || ctl.life != life)
      return;
    if (t_ < ctl.paused_until) {
      at(ctl.paused_until, [this, i, life, id, r] {
        Controller& again = *controllers_[i];
        if (!again.node || again.life != life)
          return;
        again.node->reply(node_time(again), id, r);
        act(i);
      });
      return;
    }
    ctl.node->reply(node_time(ctl), id, r);
    act(i);
  };
  if (call.target == ports::Target::cell) {
    const std::size_t cell = call.cell < plan_.cell ? call.cell : call.cell + 1;
    reach_->send(plan_.cell, cell, [this, call, cell, finish] {
      reach_->cells[cell]->frame(call.peer, *call.frame, [this, cell, finish](const ports::Answer& a) {
        reach_->send(cell, plan_.cell, [finish, a] {
          ports::Reply r;
          r.status = a.status;
          r.frame = a.frame;
          finish(r);
        });
      });
    });
    return at(t_ + call.timeout_s, [finish] { finish(ports::Reply{}); });
  }
  const std::string me = node_name(i);
  std::string to = call.target == ports::Target::state   ? "state"
                   : call.target == ports::Target::cloud ? "cloud"
                                                         : "";
  std::size_t peer = 0;
  WorkerMachine* host = nullptr;
  if (call.target == ports::Target::peer) {
    peer = call.peer < i ? call.peer : call.peer + 1;
    to = node_name(peer);
  } else if (call.target == ports::Target::worker) {
    for (auto& [name, h] : machines_) {
      if (h->addr == call.address)
        host = h.get();
    }
    to = host ? host->name : "nowhere";
  }
  const bool worker = call.target == ports::Target::worker;
  auto back = [this, me, to, finish, worker](int status, Value body) {
    send(to, me, [finish, worker, status, body = std::move(body)] {
      ports::Reply r;
      r.status = status;
      if (worker) {
        r.heartbeat = wire::encode_cbor(body);
      } else {
        r.body = body;
      }
      finish(r);
    });
  };
  const bool sent = send(me, to, [this, i, peer, host, call, back, me, to, finish, life = c.life] {
    switch (call.target) {
      case ports::Target::cell:
        return;
      case ports::Target::state:
        // Of a process that has ended since, and may have known of other limits.
        carried_out_late_ = life != controllers_[i]->life;
        state(i, call.method, call.path, call.body, back);
        carried_out_late_ = false;
        return;
      case ports::Target::cloud:
        return cloud(call.method, call.path, call.body, back);
      case ports::Target::peer: {
        Controller& other = *controllers_[peer];
        if (!other.node || t_ < other.paused_until)
          return;
        const std::uint64_t id = ++other.requests;
        other.open[id] = [this, me, to, finish](const ports::Answer& a) {
          send(to, me, [finish, a] {
            ports::Reply r;
            r.status = a.status;
            r.frame = a.frame;
            finish(r);
          });
        };
        other.node->peer(node_time(other), id, *peer::decode(peer::encode(*call.frame)));
        return act(peer);
      }
      case ports::Target::worker: {
        if (!host || host->gone || host->dead || !host->up)
          return;
        if (t_ < host->deaf_until)
          return void(++run_report_.unheard);
        const std::string name = host->name;
        auto arrive = [this, name, call, back] {
          WorkerMachine& h = *machines_.at(name);
          if (h.gone || h.dead || !h.up)
            return;
          check_lease(h);
          const int status = execute(h, call.body, true);
          back(status, status == 400 ? Value::object() : report_value(h));
        };
        if (hold_up(*host, call.body))
          return;
        if (t_ < host->hung_until)
          return at(host->hung_until + 1e-6, arrive);
        return arrive();
      }
    }
  });
  at(t_ + call.timeout_s, [finish, sent] {
    ports::Reply r;
    r.delivered = sent;
    finish(r);
  });
}

void SimulatedCluster::frame(std::size_t node, const peer::Frame& frame, OnAnswer then) {
  Controller& c = *controllers_[node];
  if (!c.node || t_ < c.paused_until)
    return;
  const std::uint64_t id = ++c.requests;
  c.open[id] = std::move(then);
  c.node->peer(node_time(c), id, *peer::decode(peer::encode(frame)));
  act(node);
}

void SimulatedCluster::deliver(std::size_t i, controller::IncomingRequest in, OnAnswer then) {
  if (outside_.deliver)
    return outside_.deliver(i, std::move(in), std::move(then));
  Controller& c = *controllers_[i];
  if (!c.node)
    return;
  if (t_ < c.paused_until) {
    at(c.paused_until, [this, i, in, then, life = c.life] {
      if (controllers_[i]->life == life)
        deliver(i, in, then);
    });
    return;
  }
  in.id = ++c.requests;
  c.open[in.id] = std::move(then);
  c.node->request(node_time(c), in);
  act(i);
}

void SimulatedCluster::restart_with(const std::function<void(settings::Settings&)>& change,
                                    std::size_t node) {
  change(settings_);
  crash(node);
}

}  // namespace wingtrail::simulation
