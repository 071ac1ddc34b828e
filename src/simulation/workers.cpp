// Workers: incarnations, leases, heartbeats, commands and the execution of tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::simulation {

void SimulatedCluster::start_worker(WorkerMachine& machine) {
  if (machine.gone)
    return;
  machine.up = true;
  machine.lease_renewed_at = now_;
  machine.node = random_index(plan_.nodes);
  schedule_heartbeat(machine, random_between(0, 0.5));
}

void SimulatedCluster::check_lease(WorkerMachine& machine) {
  if ((now_ - machine.lease_renewed_at) * machine.clock_rate <= kWorkerLease)
    return;
  spdlog::debug("simulation: worker_lease_expired t={:.3f} host={} incarnation={}", now_, machine.name,
                machine.incarnation);
  if (!machine.dead && now_ >= machine.hung_until)
    run_report_.lost_by_lease_expiry += static_cast<std::size_t>(
        std::count_if(machine.tasks.begin(), machine.tasks.end(),
                      [](const WorkerTask& task) { return task.phase != "exited"; }));
  machine.tasks.clear();
  ++machine.incarnation;
  machine.lease_renewed_at = now_;
}

Value SimulatedCluster::heartbeat_value(WorkerMachine& machine) {
  Value tasks = Value::array();
  for (const WorkerTask& task : machine.tasks) {
    if (plan_.planted_fault == "task_hidden" && task.phase == "running" && task.name == "req-10/0")
      continue;
    Value v{{"shard", task.name}, {"try", task.attempt}, {"phase", task.phase}};
    if (task.phase == "exited")
      v["cause"] = task.cause;
    tasks.push_back(std::move(v));
  }
  return {{"host", machine.name},
          {"addr", machine.address},
          {"flavour", catalog_[machine.type].name},
          {"hall", settings_.zones[machine.zone]},
          {"standby", machine.spot},
          {"tenure", machine.incarnation},
          {"counter", ++machine.sequence},
          {"mandate", machine.fencing_token},
          {"shards", tasks}};
}

void SimulatedCluster::schedule_heartbeat(WorkerMachine& machine, double delay) {
  const double when = std::max(now_ + delay, machine.last_heartbeat + 0.5);
  if (machine.reporting || (machine.next_heartbeat > now_ && machine.next_heartbeat <= when))
    return;
  machine.next_heartbeat = when;
  add_event(when, [this, host = machine.name, when] {
    WorkerMachine& worker = *machines_.at(host);
    if (worker.gone || worker.dead || worker.reporting || worker.next_heartbeat != when)
      return;
    if (now_ < worker.hung_until) {
      worker.next_heartbeat = 0;
      return add_event(worker.hung_until + 1e-6,
                       [this, host] { schedule_heartbeat(*machines_.at(host), 0); });
    }
    check_lease(worker);
    send_heartbeat(worker);
  });
}

void SimulatedCluster::send_heartbeat(WorkerMachine& machine) {
  machine.reporting = true;
  machine.last_heartbeat = now_;
  const std::uint64_t serial = ++machine.heartbeat_serial, incarnation = machine.incarnation;
  const double sent = now_;
  const std::string me = machine.name, to = node_name(machine.node);
  controller::IncomingRequest request;
  request.method = "POST";
  request.path = wire::kHeartbeatPath;
  Value heartbeat = heartbeat_value(machine);
  request.body = wire::encode_cbor(heartbeat);
  if (machine.tasks.size() > run_report_.most_tasks_listed) {
    run_report_.most_tasks_listed = machine.tasks.size();
    run_report_.largest_heartbeat = heartbeat.dump().size();
  }
  auto next = [this, me, serial](double delay, bool other) {
    WorkerMachine& worker = *machines_.at(me);
    if (worker.gone || worker.dead || worker.heartbeat_serial != serial || !worker.reporting)
      return;
    worker.reporting = false;
    if (other)
      worker.node = (worker.node + 1) % plan_.nodes;
    schedule_heartbeat(worker, delay);
  };
  auto on_answer = [this, me, next, incarnation, sent, serial](const ports::Answer& answer) {
    auto handle = [this, me, next, incarnation, sent, serial, answer] {
      WorkerMachine& worker = *machines_.at(me);
      if (worker.gone || worker.dead || worker.heartbeat_serial != serial || !worker.reporting)
        return;
      check_lease(worker);
      if (answer.status == 421) {
        const auto leader = wire::text(answer.body, "steward");
        for (std::size_t node = 0; leader && node < plan_.nodes; ++node) {
          if (*leader != node_name(node) || node == worker.node)
            continue;
          worker.node = node;
          return next(random_between(0, 0.5), false);
        }
      }
      if (answer.status != 200)
        return next(1, true);
      const std::uint64_t token = wire::count(answer.body, "mandate").value_or(0);
      if (token >= worker.fencing_token && incarnation == worker.incarnation) {
        run_report_.renewed_by_delegates += leader() != worker.node;
        worker.fencing_token = token;
        worker.lease_renewed_at = sent;
        for (const Value& command : answer.body["orders"])
          execute_command(worker, command);
      }
      next(kHeartbeatInterval * random_between(0.75, 1.25), false);
    };
    if (now_ < machines_.at(me)->incoming_lost_until)
      return void(++run_report_.undelivered);
    if (now_ < machines_.at(me)->hung_until)
      return add_event(machines_.at(me)->hung_until + 1e-6, handle);
    handle();
  };
  if (now_ < machine.outgoing_lost_until) {
    ++run_report_.undelivered;
    return add_event_after(0.5, [next] { next(0.5, true); });  // no connection
  }
  if (now_ < late_heartbeats_until_ && random_bool(late_heartbeat_share_)) {
    if (duplicate_arrival_ != DuplicateArrival::later) {
      held_heartbeats_.push_back(request);
    } else {
      extend_fault_period(2.5 * kWorkerLease);
      add_event_after(random_bool(0.5) ? random_between(2, 10) : random_between(2, 2.5 * kWorkerLease),
                      [this, request] {
                        ++run_report_.late_heartbeats;
                        for (std::size_t i = 0; i < plan_.nodes; ++i)
                          deliver(i, request, [](const ports::Answer&) {});
                      });
    }
  }
  send(me, to, [this, request, on_answer, me, to, i = machine.node, heartbeat = std::move(heartbeat)] {
    deliver(i, request, [this, on_answer, me, to, i, heartbeat](const ports::Answer& answer) {
      const bool by_leader = answer.status == 200 && controllers_[i]->controller &&
                             controllers_[i]->controller->is_active_leader();
      if (by_leader)
        record_done_seen(*machines_.at(me), heartbeat, answer);
      send(to, me, [on_answer, answer] { on_answer(answer); });
    });
  });
  add_event_after(4, [next] { next(1, true); });
}

// Returns whether this direct command is delayed: it gets no answer, and is executed once, 2 to 16 s later.
bool SimulatedCluster::delay_command(const WorkerMachine& machine, const Value& body) {
  if (now_ >= late_commands_until_ || !random_bool(late_command_share_))
    return false;
  ++run_report_.late_commands;
  add_event_after(random_between(2, 16),
                  [this, name = machine.name, body] { deliver_commands_late(name, body); });
  return true;
}

std::optional<std::pair<int, Value>> SimulatedCluster::worker_commands(const std::string& host,
                                                                       const Value& body) {
  auto it = machines_.find(host);
  if (it == machines_.end())
    return std::nullopt;
  WorkerMachine& machine = *it->second;
  if (machine.gone || machine.dead || !machine.up || now_ < machine.hung_until)
    return std::nullopt;
  if (delay_command(machine, body))
    return std::nullopt;
  const int status = answer_commands(machine, body);
  return std::pair(status, status == 400 ? Value::object() : heartbeat_value(machine));
}

int SimulatedCluster::execute_commands(WorkerMachine& machine, const Value& body) {
  const auto token = wire::count(body, "mandate"), incarnation = wire::count(body, "tenure");
  if (!token || !incarnation)
    return 400;
  if (*token < machine.fencing_token || *incarnation != machine.incarnation)
    return 409;
  const bool higher = *token > machine.fencing_token;
  machine.fencing_token = *token;
  for (const Value& command : body["orders"])
    execute_command(machine, command);
  if (higher)
    schedule_heartbeat(machine, 0.5);
  return 200;
}

void SimulatedCluster::execute_command(WorkerMachine& machine, const Value& command) {
  const auto verb = command["verb"].get<std::string>(), name = command["shard"].get<std::string>();
  const auto attempt = command["try"].get<std::uint64_t>();
  spdlog::debug("simulation: command t={:.3f} host={} incarnation={} verb={} task={} attempt={}", now_,
                machine.name, machine.incarnation, verb, name, attempt);
  auto it = std::find_if(machine.tasks.begin(), machine.tasks.end(), [&](const WorkerTask& task) {
    return task.name == name && task.attempt == attempt;
  });
  if (verb == "reap") {
    if (it != machine.tasks.end() && it->phase == "exited")
      machine.tasks.erase(it);
    return;
  }
  if (verb == "halt") {
    if (it != machine.tasks.end() && it->phase != "exited")
      finish_task(machine, attempt, name, "halted");
    return;
  }
  if (it != machine.tasks.end())
    return;
  if (plan_.planted_fault == "start_ignored" && name.starts_with("req-10/"))
    return;
  WorkerTask task;
  task.name = name;
  task.attempt = attempt;
  const auto parsed = wire::parse_task_name(name);
  UserJob* job = parsed ? find_job_in_any_cell(parsed->ref) : nullptr;
  auto refuse = [&](const char* why) {
    task.phase = "exited";
    task.cause = why;
    machine.tasks.push_back(task);
    schedule_heartbeat(machine, 0);
  };
  if (!job || !job->submitted)
    return refuse("unknown");
  task.job = job;
  task.index = parsed->task;
  double cpus = task.job->spec.task_resources.cpus, memory = task.job->spec.task_resources.memory_gb;
  for (const WorkerTask& other : machine.tasks) {
    if (other.phase == "exited")
      continue;
    if (other.name == name)
      return refuse("busy");
    cpus += other.job->spec.task_resources.cpus;
    memory += other.job->spec.task_resources.memory_gb;
  }
  if (cpus > catalog_[machine.type].cpus + 1e-9 || memory > catalog_[machine.type].memory_gb + 1e-9)
    return refuse("no_room");
  run_report_.started_in_cut +=
      is_cut_off(machine.zone) && now_ > zone_cuts_[machine.zone].from + kCutNoticedWithin;
  task.phase = "pulling";
  machine.tasks.push_back(task);
  const double fetch = machine.images.contains(task.job->spec.image)
                           ? 0.001
                           : task.job->spec.image_gb * random_between(0.7, 1.3);
  add_event_after(fetch, [this, host = machine.name, attempt, name] {
    on_image_ready(*machines_.at(host), attempt, name);
  });
  schedule_heartbeat(machine, 0);
}

void SimulatedCluster::on_image_ready(WorkerMachine& machine, std::uint64_t attempt,
                                      const std::string& name) {
  if (machine.gone || machine.dead)
    return;
  if (now_ < machine.hung_until) {
    return add_event(machine.hung_until + 1e-6, [this, host = machine.name, attempt, name] {
      on_image_ready(*machines_.at(host), attempt, name);
    });
  }
  check_lease(machine);
  for (WorkerTask& task : machine.tasks) {
    if (task.name != name || task.attempt != attempt || task.phase != "pulling")
      continue;
    task.phase = "running";
    machine.images.insert(task.job->spec.image);
    run_report_.services_late += task.job->spec.shape == wire::Shape::service &&
                                 now_ - task.job->submitted_at > 2 &&
                                 !task.job->begun_tasks.contains(task.index);
    check_start(machine, task, *task.job);
    double run = task.job->run_s * random_between(0.9, 1.1) * machine.slowdown;
    if (machine.fails_tasks || now_ < machine.fails_tasks_until || task.job->always_fails) {
      add_event_after(random_between(0.1, 1), [this, host = machine.name, attempt, name] {
        finish_task(*machines_.at(host), attempt, name, "error");
      });
    } else if (task.job->done_tasks.contains(task.index)) {
      finish_task(machine, attempt, name, "done");
    } else if (task.job->spec.shape == wire::Shape::gang) {
      task.phase = "gathering";
      add_event_after(kGangWait, [this, host = machine.name, attempt, name] {
        const WorkerMachine& there = *machines_.at(host);
        for (const WorkerTask& y : there.tasks) {
          if (y.name != name || y.attempt != attempt || y.phase != "gathering")
            continue;
          return finish_task(*machines_.at(host), attempt, name, "incomplete");
        }
      });
      start_gang_if_complete(*task.job, attempt, run);
    } else if (task.job->spec.shape == wire::Shape::array) {
      add_event_after(run, [this, host = machine.name, attempt, name] {
        finish_task(*machines_.at(host), attempt, name, "done");
      });
    }
    schedule_heartbeat(machine, 0);
    return;
  }
}

// A gang runs once all its tasks that are not done are ready with the same attempt.
void SimulatedCluster::start_gang_if_complete(UserJob& job, std::uint64_t attempt, double run) {
  std::vector<std::pair<WorkerMachine*, WorkerTask*>> ready;
  for_each_gang_member(job, attempt, [&ready](WorkerMachine& machine, WorkerTask& task) {
    if (task.phase == "gathering")
      ready.emplace_back(&machine, &task);
  });
  if (ready.size() + job.done_tasks.size() < job.spec.tasks)
    return;
  for (auto& [machine, task] : ready) {
    task->phase = "running";
    add_event_after(run, [this, host = machine->name, attempt, name = task->name] {
      finish_task(*machines_.at(host), attempt, name, "done");
    });
    schedule_heartbeat(*machine, 0);
  }
  add_event_after(kGangPeer, [this, &job, attempt] { fail_gang(job, attempt); });
}

// Ends the running tasks of a gang if one of its other tasks that are not done is missing.
void SimulatedCluster::fail_gang(UserJob& job, std::uint64_t attempt) {
  std::vector<std::pair<WorkerMachine*, std::string>> left;
  for_each_gang_member(job, attempt, [&left](WorkerMachine& machine, WorkerTask& task) {
    if (task.phase == "running")
      left.emplace_back(&machine, task.name);
  });
  if (left.empty())
    return;
  if (left.size() + job.done_tasks.size() < job.spec.tasks) {
    for (auto& [machine, name] : left)
      finish_task(*machine, attempt, name, "mates_gone");
  }
  add_event_after(kGangPeer, [this, &job, attempt] { fail_gang(job, attempt); });
}

void SimulatedCluster::for_each_gang_member(const UserJob& job, std::uint64_t attempt,
                                            const std::function<void(WorkerMachine&, WorkerTask&)>& f) {
  for (auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead)
      continue;
    for (WorkerTask& task : machine->tasks) {
      if (task.job == &job && task.attempt == attempt)
        f(*machine, task);
    }
  }
}

void SimulatedCluster::finish_task(WorkerMachine& machine, std::uint64_t attempt, const std::string& name,
                                   const std::string& cause) {
  if (machine.gone || machine.dead)
    return;
  if (now_ < machine.hung_until) {
    return add_event(machine.hung_until + 1e-6, [this, host = machine.name, attempt, name, cause] {
      finish_task(*machines_.at(host), attempt, name, cause);
    });
  }
  check_lease(machine);
  for (WorkerTask& task : machine.tasks) {
    if (task.name != name || task.attempt != attempt || task.phase == "exited")
      continue;
    spdlog::debug("simulation: task_exited t={:.3f} host={} task={} attempt={} cause={}", now_, machine.name,
                  name, attempt, cause);
    if (cause == "done")
      task.job->done_tasks.insert(task.index);
    if (cause == "done" && task.job->is_done() && task.job->done_at < 0)
      task.job->done_at = now_;
    if (now_ < cancel_at_end_until_ && cause == "done" && task.job->is_done() && task.job->accepted &&
        !task.job->cancellation_wanted && random_bool(cancel_at_end_share_)) {
      ++run_report_.cancelled_at_end;
      add_event_after(random_between(0, 0.05), [this, job = task.job] {
        job->cancellation_wanted = true;
        cancel_job(*job);
      });
    }
    if (cause == "error")
      task.job->begun_tasks.erase(task.index);  // a failed task has to start again
    task.phase = "exited";
    task.cause = cause;
    schedule_heartbeat(machine, 0);
    return;
  }
}

}  // namespace wingtrail::simulation
