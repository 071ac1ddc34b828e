// Workers: incarnations, leases, heartbeats, commands and the execution of tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::simulation {

void SimulatedCluster::start_worker(WorkerMachine& h) {
  if (h.gone)
    return;
  h.up = true;
  h.lease_renewed_at = now_;
  h.node = random_index(plan_.nodes);
  schedule_heartbeat(h, random_between(0, 0.5));
}

void SimulatedCluster::check_lease(WorkerMachine& h) {
  if ((now_ - h.lease_renewed_at) * h.clock_rate <= kWorkerLease)
    return;
  spdlog::debug("simulation: worker_lease_expired t={:.3f} host={} incarnation={}", now_, h.name,
                h.incarnation);
  if (!h.dead && now_ >= h.hung_until)
    run_report_.lost_by_lease_expiry += static_cast<std::size_t>(std::count_if(
        h.tasks.begin(), h.tasks.end(), [](const WorkerTask& x) { return x.phase != "exited"; }));
  h.tasks.clear();
  ++h.incarnation;
  h.lease_renewed_at = now_;
}

Value SimulatedCluster::heartbeat_value(WorkerMachine& h) {
  Value tasks = Value::array();
  for (const WorkerTask& x : h.tasks) {
    if (plan_.planted_fault == "task_hidden" && x.phase == "running" && x.name == "req-10/0")
      continue;
    Value v{{"shard", x.name}, {"try", x.attempt}, {"phase", x.phase}};
    if (x.phase == "exited")
      v["cause"] = x.cause;
    tasks.push_back(std::move(v));
  }
  return {{"host", h.name},
          {"addr", h.address},
          {"flavour", catalog_[h.type].name},
          {"hall", settings_.zones[h.zone]},
          {"standby", h.spot},
          {"tenure", h.incarnation},
          {"counter", ++h.sequence},
          {"mandate", h.fencing_token},
          {"shards", tasks}};
}

void SimulatedCluster::schedule_heartbeat(WorkerMachine& h, double delay) {
  const double when = std::max(now_ + delay, h.last_heartbeat + 0.5);
  if (h.reporting || (h.next_heartbeat > now_ && h.next_heartbeat <= when))
    return;
  h.next_heartbeat = when;
  add_event(when, [this, n = h.name, when] {
    WorkerMachine& x = *machines_.at(n);
    if (x.gone || x.dead || x.reporting || x.next_heartbeat != when)
      return;
    if (now_ < x.hung_until) {
      x.next_heartbeat = 0;
      return add_event(x.hung_until + 1e-6, [this, n] { schedule_heartbeat(*machines_.at(n), 0); });
    }
    check_lease(x);
    send_heartbeat(x);
  });
}

void SimulatedCluster::send_heartbeat(WorkerMachine& h) {
  h.reporting = true;
  h.last_heartbeat = now_;
  const std::uint64_t serial = ++h.heartbeat_serial, incarnation = h.incarnation;
  const double sent = now_;
  const std::string me = h.name, to = node_name(h.node);
  controller::IncomingRequest in;
  in.method = "POST";
  in.path = wire::kHeartbeatPath;
  Value heartbeat = heartbeat_value(h);
  in.body = wire::encode_cbor(heartbeat);
  auto next = [this, me, serial](double delay, bool other) {
    WorkerMachine& x = *machines_.at(me);
    if (x.gone || x.dead || x.heartbeat_serial != serial || !x.reporting)
      return;
    x.reporting = false;
    if (other)
      x.node = (x.node + 1) % plan_.nodes;
    schedule_heartbeat(x, delay);
  };
  auto got = [this, me, next, incarnation, sent, serial](const ports::Answer& a) {
    auto handle = [this, me, next, incarnation, sent, serial, a] {
      WorkerMachine& x = *machines_.at(me);
      if (x.gone || x.dead || x.heartbeat_serial != serial || !x.reporting)
        return;
      check_lease(x);
      if (a.status == 421) {
        const auto steward = wire::text(a.body, "steward");
        if (steward && *steward != node_name(x.node)) {
          x.node = static_cast<std::size_t>(steward->back() - '0');
          return next(random_between(0, 0.5), false);
        }
      }
      if (a.status != 200)
        return next(1, true);
      const std::uint64_t token = wire::count(a.body, "mandate").value_or(0);
      if (token >= x.fencing_token && incarnation == x.incarnation) {
        run_report_.renewed_by_delegates += leader() != x.node;
        x.fencing_token = token;
        x.lease_renewed_at = sent;
        for (const Value& o : a.body["orders"])
          execute_command(x, o);
      }
      next(kHeartbeatInterval * random_between(0.75, 1.25), false);
    };
    if (now_ < machines_.at(me)->deaf_until)
      return void(++run_report_.undelivered);
    if (now_ < machines_.at(me)->hung_until)
      return add_event(machines_.at(me)->hung_until + 1e-6, handle);
    handle();
  };
  if (now_ < h.mute_until) {
    ++run_report_.undelivered;
    return add_event_after(0.5, [next] { next(0.5, true); });  // no connection
  }
  if (now_ < late_heartbeats_until_ && random_bool(late_heartbeat_share_)) {
    if (duplicate_arrival_ != DuplicateArrival::later) {
      held_heartbeats_.push_back(in);
    } else {
      extend_fault_period(2.5 * kWorkerLease);
      add_event_after(random_bool(0.5) ? random_between(2, 10) : random_between(2, 2.5 * kWorkerLease),
                      [this, in] {
                        ++run_report_.late_heartbeats;
                        for (std::size_t i = 0; i < plan_.nodes; ++i)
                          deliver(i, in, [](const ports::Answer&) {});
                      });
    }
  }
  send(me, to, [this, in, got, me, to, i = h.node, heartbeat = std::move(heartbeat)] {
    deliver(i, in, [this, got, me, to, i, heartbeat](const ports::Answer& a) {
      const bool by_leader =
          a.status == 200 && controllers_[i]->controller && controllers_[i]->controller->is_active_leader();
      if (by_leader)
        record_done_seen(*machines_.at(me), heartbeat, a);
      send(to, me, [got, a] { got(a); });
    });
  });
  add_event_after(4, [next] { next(1, true); });
}

// Returns whether this direct command is delayed: it gets no answer, and is executed once, 2 to 16 s later.
bool SimulatedCluster::delay_command(const WorkerMachine& machine, const Value& body) {
  if (now_ >= late_commands_until_ || !random_bool(late_command_share_))
    return false;
  ++run_report_.late_commands;
  add_event_after(random_between(2, 16), [this, name = machine.name, body] {
    const WorkerMachine& held = *machines_.at(name);
    if (held.gone || held.dead || !held.up)
      return;
    const auto execute = [this, name, body] {
      WorkerMachine& there = *machines_.at(name);
      if (there.gone || there.dead)
        return;
      check_lease(there);
      execute_commands(there, body, true);
    };
    now_ < held.hung_until ? add_event(held.hung_until + 1e-6, execute) : execute();
  });
  return true;
}

std::optional<std::pair<int, Value>> SimulatedCluster::worker_commands(const std::string& host,
                                                                       const Value& body) {
  auto it = machines_.find(host);
  if (it == machines_.end())
    return std::nullopt;
  WorkerMachine& h = *it->second;
  if (h.gone || h.dead || !h.up || now_ < h.hung_until)
    return std::nullopt;
  if (delay_command(h, body))
    return std::nullopt;
  check_lease(h);
  const int status = execute_commands(h, body, true);
  return std::pair(status, status == 400 ? Value::object() : heartbeat_value(h));
}

int SimulatedCluster::execute_commands(WorkerMachine& h, const Value& body, bool) {
  const auto token = wire::count(body, "mandate"), incarnation = wire::count(body, "tenure");
  if (!token || !incarnation)
    return 400;
  if (*token < h.fencing_token || *incarnation != h.incarnation)
    return 409;
  const bool higher = *token > h.fencing_token;
  h.fencing_token = *token;
  for (const Value& o : body["orders"])
    execute_command(h, o);
  if (higher)
    schedule_heartbeat(h, 0.5);
  return 200;
}

void SimulatedCluster::execute_command(WorkerMachine& h, const Value& o) {
  const auto verb = o["verb"].get<std::string>(), name = o["shard"].get<std::string>();
  const auto attempt = o["try"].get<std::uint64_t>();
  spdlog::debug("simulation: command t={:.3f} host={} incarnation={} verb={} task={} attempt={}", now_,
                h.name, h.incarnation, verb, name, attempt);
  auto it = std::find_if(h.tasks.begin(), h.tasks.end(),
                         [&](const WorkerTask& x) { return x.name == name && x.attempt == attempt; });
  if (verb == "reap") {
    if (it != h.tasks.end() && it->phase == "exited")
      h.tasks.erase(it);
    return;
  }
  if (verb == "halt") {
    if (it != h.tasks.end() && it->phase != "exited")
      finish_task(h, attempt, name, "halted");
    return;
  }
  if (it != h.tasks.end())
    return;
  if (plan_.planted_fault == "start_ignored" && name.starts_with("req-10/"))
    return;
  WorkerTask x;
  x.name = name;
  x.attempt = attempt;
  const auto parsed = wire::parse_task_name(name);
  UserJob* job = parsed ? find_job_in_any_cell(parsed->ref) : nullptr;
  auto refuse = [&](const char* why) {
    x.phase = "exited";
    x.cause = why;
    h.tasks.push_back(x);
    schedule_heartbeat(h, 0);
  };
  if (!job || !job->submitted)
    return refuse("unknown");
  x.job = job;
  x.index = parsed->task;
  double cpus = x.job->spec.task_resources.cpus, memory = x.job->spec.task_resources.memory_gb;
  for (const WorkerTask& other : h.tasks) {
    if (other.phase == "exited")
      continue;
    if (other.name == name)
      return refuse("busy");
    cpus += other.job->spec.task_resources.cpus;
    memory += other.job->spec.task_resources.memory_gb;
  }
  if (cpus > catalog_[h.type].cpus + 1e-9 || memory > catalog_[h.type].memory_gb + 1e-9)
    return refuse("no_room");
  run_report_.started_in_cut += is_cut_off(h.zone) && now_ > zone_cuts_[h.zone].from + kContactSeenWithin;
  x.phase = "pulling";
  h.tasks.push_back(x);
  const double fetch =
      h.images.contains(x.job->spec.image) ? 0.001 : x.job->spec.image_gb * random_between(0.7, 1.3);
  add_event_after(fetch,
                  [this, n = h.name, attempt, name] { on_image_ready(*machines_.at(n), attempt, name); });
  schedule_heartbeat(h, 0);
}

void SimulatedCluster::on_image_ready(WorkerMachine& h, std::uint64_t attempt, const std::string& name) {
  if (h.gone || h.dead)
    return;
  if (now_ < h.hung_until) {
    return add_event(h.hung_until + 1e-6,
                     [this, n = h.name, attempt, name] { on_image_ready(*machines_.at(n), attempt, name); });
  }
  check_lease(h);
  for (WorkerTask& x : h.tasks) {
    if (x.name != name || x.attempt != attempt || x.phase != "pulling")
      continue;
    x.phase = "running";
    h.images.insert(x.job->spec.image);
    run_report_.services_late += x.job->spec.shape == wire::Shape::service &&
                                 now_ - x.job->submitted_at > 2 && !x.job->begun_tasks.contains(x.index);
    check_start(h, x, *x.job);
    double run = x.job->run_s * random_between(0.9, 1.1) * h.slowdown;
    if (h.fails_tasks || x.job->always_fails) {
      add_event_after(random_between(0.1, 1), [this, n = h.name, attempt, name] {
        finish_task(*machines_.at(n), attempt, name, "error");
      });
    } else if (x.job->done_tasks.contains(x.index)) {
      finish_task(h, attempt, name, "done");
    } else if (x.job->spec.shape == wire::Shape::gang) {
      x.phase = "gathering";
      add_event_after(kGangWait, [this, n = h.name, attempt, name] {
        const WorkerMachine& there = *machines_.at(n);
        for (const WorkerTask& y : there.tasks) {
          if (y.name != name || y.attempt != attempt || y.phase != "gathering")
            continue;
          return finish_task(*machines_.at(n), attempt, name, "incomplete");
        }
      });
      start_gang_if_complete(*x.job, attempt, run);
    } else if (x.job->spec.shape == wire::Shape::array) {
      add_event_after(
          run, [this, n = h.name, attempt, name] { finish_task(*machines_.at(n), attempt, name, "done"); });
    }
    schedule_heartbeat(h, 0);
    return;
  }
}

// A gang runs once all its tasks that are not done are ready with the same attempt.
void SimulatedCluster::start_gang_if_complete(UserJob& job, std::uint64_t attempt, double run) {
  std::vector<std::pair<WorkerMachine*, WorkerTask*>> ready;
  for_each_gang_member(job, attempt, [&ready](WorkerMachine& h, WorkerTask& x) {
    if (x.phase == "gathering")
      ready.emplace_back(&h, &x);
  });
  if (ready.size() + job.done_tasks.size() < job.spec.tasks)
    return;
  for (auto& [h, x] : ready) {
    x->phase = "running";
    add_event_after(run, [this, n = h->name, attempt, name = x->name] {
      finish_task(*machines_.at(n), attempt, name, "done");
    });
    schedule_heartbeat(*h, 0);
  }
  add_event_after(kGangPeer, [this, &job, attempt] { fail_gang(job, attempt); });
}

// Ends the running tasks of a gang if one of its other tasks that are not done is missing.
void SimulatedCluster::fail_gang(UserJob& job, std::uint64_t attempt) {
  std::vector<std::pair<WorkerMachine*, std::string>> left;
  for_each_gang_member(job, attempt, [&left](WorkerMachine& h, WorkerTask& x) {
    if (x.phase == "running")
      left.emplace_back(&h, x.name);
  });
  if (left.empty())
    return;
  if (left.size() + job.done_tasks.size() < job.spec.tasks) {
    for (auto& [h, name] : left)
      finish_task(*h, attempt, name, "mates_gone");
  }
  add_event_after(kGangPeer, [this, &job, attempt] { fail_gang(job, attempt); });
}

void SimulatedCluster::for_each_gang_member(const UserJob& job, std::uint64_t attempt,
                                            const std::function<void(WorkerMachine&, WorkerTask&)>& f) {
  for (auto& [name, h] : machines_) {
    if (h->gone || h->dead)
      continue;
    for (WorkerTask& x : h->tasks) {
      if (x.job == &job && x.attempt == attempt)
        f(*h, x);
    }
  }
}

void SimulatedCluster::finish_task(WorkerMachine& h, std::uint64_t attempt, const std::string& name,
                                   const std::string& cause) {
  if (h.gone || h.dead)
    return;
  if (now_ < h.hung_until) {
    return add_event(h.hung_until + 1e-6, [this, n = h.name, attempt, name, cause] {
      finish_task(*machines_.at(n), attempt, name, cause);
    });
  }
  check_lease(h);
  for (WorkerTask& x : h.tasks) {
    if (x.name != name || x.attempt != attempt || x.phase == "exited")
      continue;
    spdlog::debug("simulation: task_exited t={:.3f} host={} task={} attempt={} cause={}", now_, h.name, name,
                  attempt, cause);
    if (cause == "done")
      x.job->done_tasks.insert(x.index);
    if (cause == "done" && x.job->is_done() && x.job->done_at < 0)
      x.job->done_at = now_;
    if (now_ < cancel_at_end_until_ && cause == "done" && x.job->is_done() && x.job->accepted &&
        !x.job->cancellation_wanted && random_bool(cancel_at_end_share_)) {
      ++run_report_.cancelled_at_end;
      add_event_after(random_between(0, 0.05), [this, job = x.job] {
        job->cancellation_wanted = true;
        cancel_job(*job);
      });
    }
    if (cause == "error")
      x.job->begun_tasks.erase(x.index);  // a failed task has to start again
    x.phase = "exited";
    x.cause = cause;
    schedule_heartbeat(h, 0);
    return;
  }
}

}  // namespace wingtrail::simulation
