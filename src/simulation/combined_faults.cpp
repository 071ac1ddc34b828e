// Combined faults: faults that tests trigger by name, and that random runs trigger together.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

// ---------------------------------------------------------------- machines and their heartbeats

std::size_t SimulatedCluster::fail_machines(MachineFault what, std::size_t n, double for_s,
                                            const std::string& ref) {
  extend_fault_period(for_s);
  std::vector<WorkerMachine*> up;
  for (auto& [name, machine] : machines_) {
    if (!machine->gone && !machine->dead && machine->up)
      up.push_back(machine.get());
  }
  if (ref.empty()) {
    for (std::size_t k = up.size(); k > 1; --k)
      std::swap(up[k - 1], up[random_index(k)]);
  } else {
    const auto has_task = [&ref](const WorkerMachine* machine) {
      return std::any_of(machine->tasks.begin(), machine->tasks.end(), [&ref](const WorkerTask& task) {
        return task.job && task.job->spec.ref == ref && task.phase != "exited";
      });
    };
    std::stable_partition(up.begin(), up.end(), has_task);
  }
  up.resize(std::min(n, up.size()));
  for (WorkerMachine* machine : up) {
    const double until = now_ + for_s * random_between(0.95, 1.05);
    spdlog::debug("simulation: machine_fault t={:.3f} host={} kind={} until={:.1f}", now_, machine->name,
                  static_cast<int>(what), until);
    if (what == MachineFault::hung)
      machine->hung_until = until;
    if (what == MachineFault::fails_tasks)
      machine->fails_tasks_until = until;
    if (what == MachineFault::incoming_lost)
      machine->incoming_lost_until = until;
    if (what == MachineFault::outgoing_lost)
      machine->outgoing_lost_until = until;
    if (what != MachineFault::unreachable)
      continue;
    for (std::size_t k = 0; k < plan_.nodes; ++k)
      cut(node_name(k), machine->name, for_s, false);
  }
  return up.size();
}

void SimulatedCluster::duplicate_heartbeats_late(double share, double for_s, DuplicateArrival when) {
  extend_fault_period(for_s);
  late_heartbeat_share_ = share;
  late_heartbeats_until_ = now_ + for_s;
  duplicate_arrival_ = when;
}

void SimulatedCluster::delay_commands(double share, double for_s) {
  extend_fault_period(for_s + 16);
  late_command_share_ = share;
  late_commands_until_ = now_ + for_s;
}

// Delivers the held copies to every controller, the new leader among them: at the beginning of its
// leadership, or after it has taken its first decisions.
void SimulatedCluster::release_held_heartbeats(std::size_t) {
  extend_fault_period(5);
  for (controller::IncomingRequest& request : std::exchange(held_heartbeats_, {})) {
    if (duplicate_arrival_ == DuplicateArrival::at_election) {
      // Arrives before the first answer of any worker; the copies of one worker arrive in random order.
      add_event_after(random_between(0, 0.0005), [this, request] {
        ++run_report_.held_heartbeats;
        for (std::size_t i = 0; i < plan_.nodes; ++i)
          deliver(i, request, [](const ports::Answer&) {});
      });
      continue;
    }
    add_event_after(random_bool(0.3) ? random_between(0, 0.2) : random_between(0.2, 5), [this, request] {
      ++run_report_.held_heartbeats;
      for (std::size_t i = 0; i < plan_.nodes; ++i)
        deliver(i, request, [](const ports::Answer&) {});
    });
  }
}

void SimulatedCluster::boot_quickly(double for_s) {
  quick_boots_until_ = now_ + for_s;
}

void SimulatedCluster::slow_down_links(double for_s) {
  extend_fault_period(for_s);
  slow_links_until_ = now_ + for_s;
}

// ---------------------------------------------------------------- users

void SimulatedCluster::cancel(const std::string& ref) {
  UserJob& job = *jobs_.at(ref);
  job.cancellation_wanted = true;
  cancel_job(job);
}

void SimulatedCluster::cancel_running_jobs(std::size_t n, double hang_s) {
  std::set<UserJob*> running;
  for (const auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead)
      continue;
    for (const WorkerTask& task : machine->tasks) {
      if (task.occupies_machine() && task.job->accepted && !task.job->cancellation_wanted &&
          !task.job->is_done())
        running.insert(task.job);
    }
  }
  std::vector<UserJob*> selected(running.begin(), running.end());
  std::sort(selected.begin(), selected.end(), [](const UserJob* a, const UserJob* b) {
    const auto rank = [](const UserJob* j) {
      return j->spec.shape == wire::Shape::service ? 0.0 : j->run_s;  // longest arrays first
    };
    return rank(a) != rank(b) ? rank(a) > rank(b) : a->spec.ref < b->spec.ref;
  });
  selected.resize(std::min(n, selected.size()));
  std::size_t hung = 0;
  for (UserJob* job : selected) {
    ++run_report_.cancelled_together;
    add_event_after(random_between(0, 0.2), [this, job] {
      job->cancellation_wanted = true;
      cancel_job(*job);
    });
    if (hang_s > 0 && hung < 8)
      hung += fail_machines(MachineFault::hung, 1, hang_s, job->spec.ref);
  }
}

void SimulatedCluster::cancel_at_completion(double share, double for_s) {
  cancel_at_end_share_ = share;
  cancel_at_end_until_ = now_ + for_s;
}

void SimulatedCluster::poll_all_nodes(double for_s) {
  close_polls_until_ = now_ + for_s;
}

// Queries the job at all controllers four times within milliseconds and submits it again at each; one user in
// five cancels the job at once.
void SimulatedCluster::poll_every_node(UserJob& job) {
  for (std::size_t round = 0; round < 4; ++round) {
    for (std::size_t i = 0; i < plan_.nodes; ++i) {
      ++run_report_.burst_queries;
      add_event_after(static_cast<double>(round) * random_between(0.001, 0.02) + random_between(0, 0.003),
                      [this, i, &job] { query_at_node(job, i, "a close look"); });
    }
  }
  for (std::size_t i = 0; i < plan_.nodes; ++i) {
    add_event_after(random_between(0, 0.02), [this, i, &job] { submit_at(job, now_ - 100, i); });
  }
  if (job.cancellation_wanted || job.reported_done || job.spec.shape == wire::Shape::service ||
      !random_bool(0.2))
    return;
  add_event_after(random_between(0, 0.03), [this, &job] {
    job.cancellation_wanted = true;
    cancel_job(job);
  });
}

void SimulatedCluster::send_malformed_requests(double for_s) {
  malformed_requests_until_ = now_ + for_s;
  send_malformed_request();
}

void SimulatedCluster::send_malformed_request() {
  if (now_ > malformed_requests_until_)
    return;
  add_event_after(random_between(0.1, 1), [this] { send_malformed_request(); });
  const std::size_t i = random_index(plan_.nodes);
  std::vector<UserJob*> open, done;
  for (auto& [ref, job] : jobs_) {
    if (job->accepted && !job->reported_done && job->cancellation_confirmed_at < 0)
      open.push_back(job.get());
    if (job->reported_done)
      done.push_back(job.get());
  }
  const auto kind = random_index(4);
  if (kind == 0 && !open.empty()) {
    ++run_report_.malformed_requests;
    return submit_at(*open[random_index(open.size())], now_ - 100, i);
  }
  if (kind == 1 && !done.empty()) {
    ++run_report_.malformed_requests;
    return cancel_at_node(*done[random_index(done.size())], i);
  }
  if (jobs_.empty() || kind < 2)
    return;
  // No controller may accept a job that cannot run or lacks a field, and none may know it later.
  wire::JobSpec spec = jobs_.begin()->second->spec;
  spec.ref = "req-6" + std::to_string(1'000'000 + ++malformed_requests_made_);
  spec.depends_on.clear();
  Value body = wire::job_value(spec);
  if (kind == 2) {
    const auto what = random_index(4);
    if (what == 0)
      body["cores"] = 1000.0;
    if (what == 1)
      body["owner"] = "nobody";
    if (what == 2)
      body["flavours"] = {"no-such"};
    if (what == 3)
      body["hall"] = "nowhere";
  } else {
    static constexpr const char* kRequiredFields[] = {
        "jobclass", "owner",     "shape", "urgency",   "shards",         "cores",        "memGb",  "bundle",
        "sizeGb",   "samePlace", "apart", "expectedS", "snapshotEveryS", "accelerators", "standby"};
    body.erase(kRequiredFields[random_index(std::size(kRequiredFields))]);
  }
  controller::IncomingRequest request;
  request.method = "POST";
  request.path = wire::kJobsPath;
  request.body = wire::encode_cbor(body);
  send("users", node_name(i), [this, request, i, ref = spec.ref, kind] {
    deliver(i, request, [this, ref, kind](const ports::Answer& a) {
      ++run_report_.malformed_requests;
      if (a.status < 300 || plan_.planted_fault == "odd_accepted" || (kind == 3 && a.status != 400))
        report_violation("accepted_odd", ref + " got " + std::to_string(a.status));
    });
  });
  const std::size_t k = random_index(plan_.nodes);
  add_event_after(random_between(0.01, 3), [this, ref = spec.ref, k] {
    controller::IncomingRequest query;
    query.method = "GET";
    query.path = std::string(wire::kJobsPath) + "/" + ref;
    deliver(k, query, [this, ref](const ports::Answer& a) {
      if (a.status == 200)
        report_violation("invented", ref);
    });
  });
}

// Planted fault: starts a task of the job on some machine without a command from a controller.
void SimulatedCluster::start_uncommanded_task(const UserJob& job) {
  for (auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead || !machine->up)
      continue;
    return execute_command(
        *machine, {{"verb", "start"}, {"shard", job.spec.ref + "/0"}, {"try", std::uint64_t{1} << 60}});
  }
}

// ---------------------------------------------------------------- figures for tests

double SimulatedCluster::began_at(const std::string& ref) const {
  return jobs_.at(ref)->began_at;
}

double SimulatedCluster::cancelled_at(const std::string& ref) const {
  return jobs_.at(ref)->cancellation_confirmed_at;
}

std::size_t SimulatedCluster::open_cancellations() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) {
    return j.second->cancellation_wanted && j.second->accepted && !j.second->reported_done &&
           j.second->cancellation_confirmed_at < 0;
  }));
}
bool SimulatedCluster::reported_done(const std::string& ref) const {
  return jobs_.at(ref)->reported_done;
}
bool SimulatedCluster::accepted(const std::string& ref) const {
  return jobs_.at(ref)->accepted;
}

std::size_t SimulatedCluster::on_machines(const std::string& ref) const {
  std::size_t n = 0;
  for (const auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead ||
        (now_ - machine->lease_renewed_at) * machine->clock_rate > kWorkerLease)
      continue;
    n += static_cast<std::size_t>(
        std::count_if(machine->tasks.begin(), machine->tasks.end(), [&ref](const WorkerTask& task) {
          return task.job && task.job->spec.ref == ref && task.phase != "exited";
        }));
  }
  return n;
}

}  // namespace wingtrail::simulation
