// Workers: sessions, leases, reports, orders, the life of tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

void SimulatedCluster::worker_up(WorkerMachine& h) {
  if (h.gone)
    return;
  h.up = true;
  h.lease_from = t_;
  h.node = pick(plan_.nodes);
  report_soon(h, between(0, 0.5));
}

void SimulatedCluster::check_lease(WorkerMachine& h) {
  if ((t_ - h.lease_from) * h.rate <= kLease)
    return;
  spdlog::debug("{:.3f} {}: its lease is over, next session", t_, h.name);
  if (!h.dead && t_ >= h.hung_until)
    run_report_.lost_by_lease += static_cast<std::size_t>(
        std::count_if(h.tasks.begin(), h.tasks.end(), [](const TaskOn& x) { return x.phase != "exited"; }));
  h.tasks.clear();
  ++h.session;
  h.lease_from = t_;
}

Value SimulatedCluster::report_value(WorkerMachine& h) {
  Value tasks = Value::array();
  for (const TaskOn& x : h.tasks) {
    if (plan_.sabotage == "task_hidden" && x.phase == "running" && x.name == "req-10/0")
      continue;
    Value v{{"shard", x.name}, {"try", x.attempt}, {"phase", x.phase}};
    if (x.phase == "exited")
      v["cause"] = x.cause;
    tasks.push_back(std::move(v));
  }
  return {{"host", h.name},
          {"addr", h.addr},
          {"flavour", catalog_[h.type].name},
          {"hall", settings_.zones[h.zone]},
          {"standby", h.spot},
          {"tenure", h.session},
          {"counter", ++h.seq},
          {"mandate", h.token},
          {"shards", tasks}};
}

void SimulatedCluster::report_soon(WorkerMachine& h, double delay) {
  const double when = std::max(t_ + delay, h.last_beat + 0.5);
  if (h.reporting || (h.next_beat > t_ && h.next_beat <= when))
    return;
  h.next_beat = when;
  at(when, [this, n = h.name, when] {
    WorkerMachine& x = *machines_.at(n);
    if (x.gone || x.dead || x.reporting || x.next_beat != when)
      return;
    if (t_ < x.hung_until) {
      x.next_beat = 0;
      return at(x.hung_until + 1e-6, [this, n] { report_soon(*machines_.at(n), 0); });
    }
    check_lease(x);
    beat(x);
  });
}

void SimulatedCluster::beat(WorkerMachine& h) {
  h.reporting = true;
  h.last_beat = t_;
  const std::uint64_t serial = ++h.beat_serial, session = h.session;
  const double sent = t_;
  const std::string me = h.name, to = node_name(h.node);
  controller::IncomingRequest in;
  in.method = "POST";
  in.path = wire::kHeartbeatPath;
  Value report = report_value(h);
  in.body = wire::encode_cbor(report);
  auto next = [this, me, serial](double delay, bool other) {
    WorkerMachine& x = *machines_.at(me);
    if (x.gone || x.dead || x.beat_serial != serial || !x.reporting)
      return;
    x.reporting = false;
    if (other)
      x.node = (x.node + 1) % plan_.nodes;
    report_soon(x, delay);
  };
  auto got = [this, me, next, session, sent, serial](const ports::Answer& a) {
    auto handle = [this, me, next, session, sent, serial, a] {
      WorkerMachine& x = *machines_.at(me);
      if (x.gone || x.dead || x.beat_serial != serial || !x.reporting)
        return;
      check_lease(x);
      if (a.status == 421) {
        const auto steward = wire::text(a.body, "steward");
        if (steward && *steward != node_name(x.node)) {
          x.node = static_cast<std::size_t>(steward->back() - '0');
          return next(between(0, 0.5), false);
        }
      }
      if (a.status != 200)
        return next(1, true);
      const std::uint64_t token = wire::count(a.body, "mandate").value_or(0);
      if (token >= x.token && session == x.session) {
        run_report_.kept_in_custody += leader() != x.node;
        x.token = token;
        x.lease_from = sent;
        for (const Value& o : a.body["orders"])
          order(x, o);
      }
      next(kReport * between(0.75, 1.25), false);
    };
    if (t_ < machines_.at(me)->deaf_until)
      return void(++run_report_.unheard);
    if (t_ < machines_.at(me)->hung_until)
      return at(machines_.at(me)->hung_until + 1e-6, handle);
    handle();
  };
  if (t_ < h.mute_until) {
    ++run_report_.unheard;
    return later(0.5, [next] { next(0.5, true); });  // no connection
  }
  if (t_ < late_reports_until_ && odds(late_report_share_)) {
    if (copies_arrive_ != CopyArrives::later) {
      kept_reports_.push_back(in);
    } else {
      fault_lasts(2.5 * kLease);
      later(odds(0.5) ? between(2, 10) : between(2, 2.5 * kLease), [this, in] {
        ++run_report_.late_reports;
        for (std::size_t i = 0; i < plan_.nodes; ++i)
          deliver(i, in, [](const ports::Answer&) {});
      });
    }
  }
  send(me, to, [this, in, got, me, to, i = h.node, report = std::move(report)] {
    deliver(i, in, [this, got, me, to, i, report](const ports::Answer& a) {
      const bool by_leader =
          a.status == 200 && controllers_[i]->node && controllers_[i]->node->is_active_leader();
      if (by_leader)
        done_heard(*machines_.at(me), report, a);
      send(to, me, [got, a] { got(a); });
    });
  });
  later(4, [next] { next(1, true); });
}

// Whether this direct command is one that is held up: it gets no answer, and is carried out once, late.
bool SimulatedCluster::hold_up(const WorkerMachine& machine, const Value& body) {
  if (t_ >= late_commands_until_ || !odds(late_command_share_))
    return false;
  ++run_report_.late_commands;
  later(between(2, 16), [this, name = machine.name, body] {
    const WorkerMachine& held = *machines_.at(name);
    if (held.gone || held.dead || !held.up)
      return;
    const auto carry_out_now = [this, name, body] {
      WorkerMachine& there = *machines_.at(name);
      if (there.gone || there.dead)
        return;
      check_lease(there);
      execute(there, body, true);
    };
    t_ < held.hung_until ? at(held.hung_until + 1e-6, carry_out_now) : carry_out_now();
  });
  return true;
}

std::optional<std::pair<int, Value>> SimulatedCluster::commands(const std::string& host, const Value& body) {
  auto it = machines_.find(host);
  if (it == machines_.end())
    return std::nullopt;
  WorkerMachine& h = *it->second;
  if (h.gone || h.dead || !h.up || t_ < h.hung_until)
    return std::nullopt;
  if (hold_up(h, body))
    return std::nullopt;
  check_lease(h);
  const int status = execute(h, body, true);
  return std::pair(status, status == 400 ? Value::object() : report_value(h));
}

int SimulatedCluster::execute(WorkerMachine& h, const Value& body, bool) {
  const auto token = wire::count(body, "mandate"), session = wire::count(body, "tenure");
  if (!token || !session)
    return 400;
  if (*token < h.token || *session != h.session)
    return 409;
  const bool higher = *token > h.token;
  h.token = *token;
  for (const Value& o : body["orders"])
    order(h, o);
  if (higher)
    report_soon(h, 0.5);
  return 200;
}

void SimulatedCluster::order(WorkerMachine& h, const Value& o) {
  const auto verb = o["verb"].get<std::string>(), name = o["shard"].get<std::string>();
  const auto attempt = o["try"].get<std::uint64_t>();
  spdlog::debug("{:.3f} {} ({}): {} {} try {}", t_, h.name, h.session, verb, name, attempt);
  auto it = std::find_if(h.tasks.begin(), h.tasks.end(),
                         [&](const TaskOn& x) { return x.name == name && x.attempt == attempt; });
  if (verb == "reap") {
    if (it != h.tasks.end() && it->phase == "exited")
      h.tasks.erase(it);
    return;
  }
  if (verb == "halt") {
    if (it != h.tasks.end() && it->phase != "exited")
      finish(h, attempt, name, "halted");
    return;
  }
  if (it != h.tasks.end())
    return;
  if (plan_.sabotage == "start_ignored" && name.starts_with("req-10/"))
    return;
  TaskOn x;
  x.name = name;
  x.attempt = attempt;
  const auto parsed = wire::parse_task_name(name);
  UserJob* job = parsed ? described(parsed->ref) : nullptr;
  auto refuse = [&](const char* why) {
    x.phase = "exited";
    x.cause = why;
    h.tasks.push_back(x);
    report_soon(h, 0);
  };
  if (!job || !job->submitted)
    return refuse("unknown");
  x.job = job;
  x.index = parsed->task;
  double cpus = x.job->spec.task_resources.cpus, memory = x.job->spec.task_resources.memory_gb;
  for (const TaskOn& other : h.tasks) {
    if (other.phase == "exited")
      continue;
    if (other.name == name)
      return refuse("busy");
    cpus += other.job->spec.task_resources.cpus;
    memory += other.job->spec.task_resources.memory_gb;
  }
  if (cpus > catalog_[h.type].cpus + 1e-9 || memory > catalog_[h.type].memory_gb + 1e-9)
    return refuse("no_room");
  run_report_.started_in_cut += cut_off(h.zone) && t_ > zone_cuts_[h.zone].from + kSeenWithin;
  x.phase = "pulling";
  h.tasks.push_back(x);
  const double fetch =
      h.images.contains(x.job->spec.image) ? 0.001 : x.job->spec.image_gb * between(0.7, 1.3);
  later(fetch, [this, n = h.name, attempt, name] { image_ready(*machines_.at(n), attempt, name); });
  report_soon(h, 0);
}

void SimulatedCluster::image_ready(WorkerMachine& h, std::uint64_t attempt, const std::string& name) {
  if (h.gone || h.dead)
    return;
  if (t_ < h.hung_until) {
    return at(h.hung_until + 1e-6,
              [this, n = h.name, attempt, name] { image_ready(*machines_.at(n), attempt, name); });
  }
  check_lease(h);
  for (TaskOn& x : h.tasks) {
    if (x.name != name || x.attempt != attempt || x.phase != "pulling")
      continue;
    x.phase = "running";
    h.images.insert(x.job->spec.image);
    run_report_.services_late +=
        x.job->spec.shape == wire::Shape::service && t_ - x.job->came > 2 && !x.job->begun.contains(x.index);
    check_start(h, x, *x.job);
    double run = x.job->run_s * between(0.9, 1.1) * h.slow;
    if (h.sick || x.job->bad) {
      later(between(0.1, 1),
            [this, n = h.name, attempt, name] { finish(*machines_.at(n), attempt, name, "error"); });
    } else if (x.job->done.contains(x.index)) {
      finish(h, attempt, name, "done");
    } else if (x.job->spec.shape == wire::Shape::gang) {
      x.phase = "gathering";
      later(kGangWait, [this, n = h.name, attempt, name] {
        const WorkerMachine& there = *machines_.at(n);
        for (const TaskOn& y : there.tasks) {
          if (y.name != name || y.attempt != attempt || y.phase != "gathering")
            continue;
          return finish(*machines_.at(n), attempt, name, "incomplete");
        }
      });
      gather(*x.job, attempt, run);
    } else if (x.job->spec.shape == wire::Shape::array) {
      later(run, [this, n = h.name, attempt, name] { finish(*machines_.at(n), attempt, name, "done"); });
    }
    report_soon(h, 0);
    return;
  }
}

// A gang runs once all its tasks that are left stand ready with the same attempt.
void SimulatedCluster::gather(UserJob& job, std::uint64_t attempt, double run) {
  std::vector<std::pair<WorkerMachine*, TaskOn*>> ready;
  each_mate(job, attempt, [&ready](WorkerMachine& h, TaskOn& x) {
    if (x.phase == "gathering")
      ready.emplace_back(&h, &x);
  });
  if (ready.size() + job.done.size() < job.spec.tasks)
    return;
  for (auto& [h, x] : ready) {
    x->phase = "running";
    later(run,
          [this, n = h->name, attempt, name = x->name] { finish(*machines_.at(n), attempt, name, "done"); });
    report_soon(*h, 0);
  }
  later(kGangPeer, [this, &job, attempt] { miss_mates(job, attempt); });
}

// Tasks of a gang that lack one of the others give up.
void SimulatedCluster::miss_mates(UserJob& job, std::uint64_t attempt) {
  std::vector<std::pair<WorkerMachine*, std::string>> left;
  each_mate(job, attempt, [&left](WorkerMachine& h, TaskOn& x) {
    if (x.phase == "running")
      left.emplace_back(&h, x.name);
  });
  if (left.empty())
    return;
  if (left.size() + job.done.size() < job.spec.tasks) {
    for (auto& [h, name] : left)
      finish(*h, attempt, name, "mates_gone");
  }
  later(kGangPeer, [this, &job, attempt] { miss_mates(job, attempt); });
}

void SimulatedCluster::each_mate(const UserJob& job, std::uint64_t attempt,
                                 const std::function<void(WorkerMachine&, TaskOn&)>& f) {
  for (auto& [name, h] : machines_) {
    if (h->gone || h->dead)
      continue;
    for (TaskOn& x : h->tasks) {
      if (x.job == &job && x.attempt == attempt)
        f(*h, x);
    }
  }
}

void SimulatedCluster::finish(WorkerMachine& h, std::uint64_t attempt, const std::string& name,
                              const std::string& cause) {
  if (h.gone || h.dead)
    return;
  if (t_ < h.hung_until) {
    return at(h.hung_until + 1e-6,
              [this, n = h.name, attempt, name, cause] { finish(*machines_.at(n), attempt, name, cause); });
  }
  check_lease(h);
  for (TaskOn& x : h.tasks) {
    if (x.name != name || x.attempt != attempt || x.phase == "exited")
      continue;
    spdlog::debug("{:.3f} {}: {} try {} exits: {}", t_, h.name, name, attempt, cause);
    if (cause == "done")
      x.job->done.insert(x.index);
    if (cause == "done" && x.job->over() && x.job->over_at < 0)
      x.job->over_at = t_;
    if (t_ < cancel_at_end_until_ && cause == "done" && x.job->over() && x.job->accepted &&
        !x.job->want_abort && odds(cancel_at_end_share_)) {
      ++run_report_.at_the_end;
      later(between(0, 0.05), [this, job = x.job] {
        job->want_abort = true;
        abort(*job);
      });
    }
    if (cause == "error")
      x.job->begun.erase(x.index);  // of a faulty machine; it has to start again
    x.phase = "exited";
    x.cause = cause;
    report_soon(h, 0);
    return;
  }
}

}  // namespace wingtrail::simulation
