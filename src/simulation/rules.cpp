// Checks of the protocol's rules against what actually runs on the machines.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "delegation/strict_cancellation.hpp"
#include "simulation/components.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

// While no migration is in progress, the CPUs that the leader counts as used on a machine are the sum over
// its allocations there.
void SimulatedCluster::check_capacity() {
  for (const auto& c : controllers_) {
    if (!c->controller || !c->controller->is_active_leader())
      continue;
    const controller::Stats stats = c->controller->stats();
    if (stats.migrations_begun > stats.migrations_done + stats.migrations_failed)
      continue;
    for (const workers::Machine& machine : c->controller->workers().machines()) {
      if (machine.gone)
        continue;
      double cpus = 0;
      for (const workers::Allocation& allocation : machine.allocations)
        cpus +=
            allocation.occupies_machine && !allocation.stops_immediately() ? allocation.resources.cpus : 0;
      if (std::abs(cpus - machine.used.cpus) > 1e-6)
        report_violation("room", machine.host + ": " + std::to_string(machine.used.cpus) + " used, " +
                                     std::to_string(cpus) + " held");
    }
  }
}

SimulatedCluster::UserJob* SimulatedCluster::find_job_in_any_cell(const std::string& ref) {
  if (const auto job = jobs_.find(ref); job != jobs_.end())
    return job->second.get();
  if (!cell_network_)
    return nullptr;
  for (SimulatedCluster* other : cell_network_->cells) {
    if (const auto job = other->jobs_.find(ref); job != other->jobs_.end())
      return job->second.get();
  }
  return nullptr;
}

// Only one cell may hold a job: while a task starts in this cell, no task of the same job may run in another.
void SimulatedCluster::check_other_cells(const WorkerTask& task, const UserJob& job) {
  if (!cell_network_)
    return;
  run_report_.remote_tasks_started += !jobs_.contains(job.spec.ref);
  for (SimulatedCluster* other : cell_network_->cells) {
    if (other == this)
      continue;
    for (const auto& [name, machine] : other->machines_) {
      if (machine->gone || machine->dead ||
          (now_ - machine->lease_renewed_at) * machine->clock_rate > kWorkerLease)
        continue;
      for (const WorkerTask& other_task : machine->tasks) {
        if (other_task.job != &job || !other_task.occupies_machine())
          continue;
        report_violation(other_task.index == task.index ? "ran_twice" : "two_holders",
                         task.name + " begins in " + settings_.cells.name + ", " + other_task.name +
                             " is on " + name + " of " + other->settings_.cells.name);
      }
    }
  }
}

void SimulatedCluster::check_start(WorkerMachine& machine, WorkerTask& task, UserJob& job) {
  ++run_report_.started;
  if (job.began_at < 0)
    job.began_at = now_;
  run_report_.started_again += !job.begun_tasks.insert(task.index).second;
  check_after_done(task, job);
  check_other_cells(task, job);
  const wire::JobSpec& spec = job.spec;
  std::map<std::size_t, int> zones;
  double team = 0;
  for (auto& [name, other] : machines_) {
    if (other->gone || other->dead)
      continue;
    // The tasks of a hung worker don't count after its lease has expired: it kills them before it does
    // anything else.
    if ((now_ - other->lease_renewed_at) * other->clock_rate > kWorkerLease)
      continue;
    for (const WorkerTask& other_task : other->tasks) {
      if (!other_task.occupies_machine())
        continue;
      if (other_task.job->spec.team == spec.team)
        team += other_task.job->spec.task_resources.cpus;
      if (other_task.job != &job)
        continue;
      if (&other_task == &task)
        continue;
      if (other_task.index == task.index)
        report_violation("ran_twice", task.name + " on " + machine.name + " and on " + name);
      ++zones[other->zone];
    }
  }
  for (const auto& t : settings_.teams) {
    if (t.name == spec.team && t.cpus_max > 0 && team > t.cpus_max + 1e-6) {
      report_violation("quota", spec.team + " uses " + std::to_string(team));
    }
  }
  if (machine.spot && !spec.allows_spot)
    report_violation("wrong_place", task.name + " on spot");
  if (spec.zone && *spec.zone != settings_.zones[machine.zone])
    report_violation("wrong_place", task.name + " in a zone it may not be in");
  if (!spec.types.empty() &&
      std::find(spec.types.begin(), spec.types.end(), catalog_[machine.type].name) == spec.types.end()) {
    report_violation("wrong_place", task.name + " on a type it may not be on");
  }
  if (spec.spread_zones && zones[machine.zone] + 1 > static_cast<int>((spec.tasks + 1) / 2))
    report_violation("wrong_place", task.name + " spread");
  if (spec.same_zone) {
    for (const auto& [zone, n] : zones) {
      if (zone != machine.zone && n > 0)
        report_violation("wrong_place", task.name + " away from its zone");
    }
  }
  if (job.cancelled_since >= 0 && now_ > job.cancelled_since + kCancellationLimit)
    report_violation("ran_cancelled", task.name + " started");
  // No task may start after the cancellation was confirmed to the user.
  if (job.cancellation_confirmed_at >= 0)
    report_violation("started_cancelled", task.name + " on " + machine.name);
  for (const UserJob* need : job.dependencies) {
    if (!need->is_done())
      report_violation("too_early", task.name + " before " + need->spec.ref);
  }
}

// A leader may start a pending task that passes its filters at any time. If that task is already on a
// machine, a violation of `ran_twice` can follow; this check reports the cause earlier.
void SimulatedCluster::check_free_to_start() {
  if (now_ < free_to_start_checked_at_ + kFreeCheckEvery)
    return;
  free_to_start_checked_at_ = now_;
  for (const auto& c : controllers_) {
    if (!c->controller || !c->controller->is_active_leader() ||
        node_time(*c) >= c->controller->leader_lease_expires_at())
      continue;
    for (const auto& [name, machine] : machines_) {
      if (machine->gone || machine->dead ||
          (now_ - machine->lease_renewed_at) * machine->clock_rate > kWorkerLease)
        continue;
      for (const WorkerTask& other_task : machine->tasks) {
        if (!other_task.job || other_task.phase == "exited")
          continue;
        const jobs::Job* job = c->controller->registry().find(other_task.job->spec.ref);
        if (!job || other_task.index >= job->tasks.size() ||
            job->tasks[other_task.index].state != jobs::TaskState::pending)
          continue;
        if (c->controller->scheduler().filters().admits(*job))
          return report_violation("free_to_start", other_task.name + " is on " + name);
      }
    }
  }
}

void SimulatedCluster::record_done_seen(WorkerMachine& machine, const Value& report,
                                        const ports::Answer& answer) {
  const std::uint64_t token = wire::count(answer.body, "mandate").value_or(0);
  for (const Value& shown : report["shards"]) {
    if (!shown.contains("cause") || shown["cause"] != "done")
      continue;
    const auto parsed = wire::parse_task_name(shown["shard"].get<std::string>());
    UserJob* job = parsed ? find_job_in_any_cell(parsed->ref) : nullptr;
    if (!job || !job->done_seen_by_token.emplace(parsed->task, token).second)
      continue;
    if (plan_.planted_fault == "again_after_done") {
      const std::uint64_t attempt = shown["try"].get<std::uint64_t>() + (std::uint64_t{1} << 20);
      execute_command(machine, {{"verb", "start"}, {"shard", shown["shard"]}, {"try", attempt}});
    }
  }
}

// A leader never starts a task that a heartbeat reported to it as done. A later leader may, if the result was
// not recorded before the earlier leader ended.
void SimulatedCluster::check_after_done(const WorkerTask& task, const UserJob& job) {
  const auto seen = job.done_seen_by_token.find(task.index);
  if (seen == job.done_seen_by_token.end())
    return;
  ++run_report_.again_after_done;
  const std::uint64_t started_by = delegation::fencing_token_of(task.attempt);
  if (started_by == seen->second)
    report_violation("again_after_done",
                     task.name + " by the leader that heard of its end, token " + std::to_string(started_by));
}

void SimulatedCluster::check_rules() {
  check_free_to_start();
  // A walk over all machines after every event would dominate the run time of a large cluster. Every 0.5 s is
  // enough there, because the violations looked for last longer.
  if (plan_.machines > 100 && now_ < checked_at_ + 0.5)
    return;
  checked_at_ = now_;
  // A job with unmet dependencies uses neither capacity nor quota.
  for (auto& c : controllers_) {
    if (!c->controller || !c->controller->is_active_leader() || !plan_.dependencies)
      continue;
    c->controller->registry().for_each([this](const jobs::Job& job) {
      const UserJob& real = *find_job_in_any_cell(job.spec.ref);
      const bool waits = std::any_of(real.dependencies.begin(), real.dependencies.end(),
                                     [](const UserJob* n) { return !n->is_done(); });
      if (waits && job.placed_tasks > 0)
        report_violation("waiting_placed", job.spec.ref);
    });
  }
  for (auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead ||
        (now_ - machine->lease_renewed_at) * machine->clock_rate > kWorkerLease)
      continue;
    for (const WorkerTask& other_task : machine->tasks) {
      if (other_task.occupies_machine() && other_task.job->cancelled_since >= 0 &&
          now_ > other_task.job->cancelled_since + kCancellationLimit) {
        return report_violation("ran_cancelled", other_task.name + " on " + name);
      }
    }
  }
}

// Records since when the job, and all that depend on it, are cancelled as far as their users know.
void SimulatedCluster::mark_cancelled(UserJob& job, double since) {
  // A dependent job that is still being submitted counts from its acceptance (seed 700681: acceptance took
  // 40 s of retries).
  if (job.cancelled_since >= 0 || !job.accepted)
    return;
  job.cancelled_since = since;
  for (UserJob* next : job.dependents)
    mark_cancelled(*next, since);
}

bool SimulatedCluster::may_be_cancelled(const UserJob& job) const {
  if (job.reported_done ||
      (job.is_done() && job.spec.shape != wire::Shape::service && !job.cancellation_wanted))
    return false;
  return job.cancellation_wanted || std::any_of(job.dependencies.begin(), job.dependencies.end(),
                                                [this](const UserJob* n) { return may_be_cancelled(*n); });
}

// Returns whether the job cannot complete: its tasks always fail, it is cancelled, or it depends on such a
// job.
bool SimulatedCluster::cannot_complete(const UserJob& job) const {
  if (job.always_fails || job.cancellation_confirmed_at >= 0 || job.cancelled_since >= 0)
    return true;
  return std::any_of(job.dependencies.begin(), job.dependencies.end(), [this](const UserJob* n) {
    return !n->is_done() && (n->cancellation_wanted || cannot_complete(*n));
  });
}

void SimulatedCluster::extend_fault_period(double for_s) {
  faults_until_ = std::max(faults_until_, now_ + for_s);
}

double SimulatedCluster::faults_end_at() const {
  return std::max(faults_until_, plan_.fault_every_s > 0 ? plan_.duration_s : 0.0);
}

void SimulatedCluster::record_query() {
  asked_at_.push_back(now_);
}

void SimulatedCluster::record_answer(UserJob& job) {
  job.answered_at = now_;
  answered_at_.push_back(now_);
}

// Returns whether more than half of the queries of the last `kForgottenLimit` were answered.
bool SimulatedCluster::most_are_answered() {
  for (auto* times : {&asked_at_, &answered_at_}) {
    while (!times->empty() && times->front() < now_ - kForgottenLimit)
      times->pop_front();
  }
  return 2 * answered_at_.size() > asked_at_.size();
}

// Reports an accepted job whose queries stay unanswered: for longer than `unanswered_limit_s` after the end
// of all faults, or for longer than `kForgottenLimit` at any time at which most queries are answered.
void SimulatedCluster::check_answered(UserJob& job) {
  if (!job.accepted || job.reported_done || job.cancellation_confirmed_at >= 0)
    return;
  const double spell = now_ - std::max({job.answered_at, job.accepted_at, faults_end_at()});
  run_report_.longest_unanswered = std::max(run_report_.longest_unanswered, spell);
  if (spell > plan_.unanswered_limit_s)
    report_violation("unanswered",
                     job.spec.ref + ": no answer for " + std::to_string(spell) + " s, all being calm");
  const double silence = now_ - std::max(job.answered_at, job.accepted_at);
  if (silence <= run_report_.longest_unanswered_beside_answers || !most_are_answered())
    return;
  run_report_.longest_unanswered_beside_answers = silence;
  if (silence > plan_.unanswered_limit_s)
    spdlog::debug("simulation: query_unanswered t={:.3f} job={} for_s={:.1f}", now_, job.spec.ref, silence);
  if (silence > kForgottenLimit)
    report_violation("forgotten",
                     job.spec.ref + ": no answer for " + std::to_string(silence) + " s, others have theirs");
}

// Returns whether a healthy machine has free capacity for one more task of the job within its team's quota.
bool SimulatedCluster::has_capacity_beside(const UserJob& job) const {
  const wire::JobSpec& spec = job.spec;
  double team = 0;
  std::map<std::size_t, std::uint32_t> zones;
  for (const auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead)
      continue;
    for (const WorkerTask& other_task : machine->tasks) {
      if (other_task.phase == "exited" || !other_task.job)
        continue;
      if (other_task.job->spec.team == spec.team)
        team += other_task.job->spec.task_resources.cpus;
      zones[machine->zone] += other_task.job == &job;
    }
  }
  for (const auto& t : settings_.teams) {
    if (t.name == spec.team && t.cpus_max > 0 && team + spec.task_resources.cpus > t.cpus_max + 1e-6)
      return false;
  }
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const WorkerMachine& machine = *entry.second;
    if (machine.gone || machine.dead || !machine.up || machine.fails_tasks || machine.slowdown > 1 ||
        now_ < std::max({machine.hung_until, machine.incoming_lost_until, machine.outgoing_lost_until}))
      return false;
    if ((machine.spot && !spec.allows_spot) || (spec.zone && *spec.zone != settings_.zones[machine.zone]))
      return false;
    if (!spec.types.empty() &&
        std::find(spec.types.begin(), spec.types.end(), catalog_[machine.type].name) == spec.types.end())
      return false;
    const auto here = zones.find(machine.zone);
    if (spec.spread_zones && here != zones.end() && here->second + 1 > (spec.tasks + 1) / 2)
      return false;
    if (spec.same_zone && std::any_of(zones.begin(), zones.end(), [&machine](const auto& z) {
          return z.second > 0 && z.first != machine.zone;
        }))
      return false;
    double cpus = spec.task_resources.cpus, memory = spec.task_resources.memory_gb;
    for (const WorkerTask& other_task : machine.tasks) {
      if (other_task.phase == "exited" || !other_task.job)
        continue;
      cpus += other_task.job->spec.task_resources.cpus;
      memory += other_task.job->spec.task_resources.memory_gb;
    }
    return cpus <= catalog_[machine.type].cpus + 1e-9 && memory <= catalog_[machine.type].memory_gb + 1e-9;
  });
}

// Measures how long jobs wait beside free capacity for them after the end of all faults. Gangs are left out,
// because they need capacity for all their tasks, and so are jobs that always fail, because they back off.
void SimulatedCluster::check_waiting() {
  add_event_after(5, [this] { check_waiting(); });
  if (now_ < faults_end_at())
    return;
  std::map<const UserJob*, std::set<std::uint32_t>> on_machines;
  for (const auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead)
      continue;
    for (const WorkerTask& other_task : machine->tasks) {
      if (other_task.job && other_task.phase != "exited")
        on_machines[other_task.job].insert(other_task.index);
    }
  }
  for (auto& [ref, job] : jobs_) {
    UserJob& j = *job;
    std::set<std::uint32_t> there = j.done_tasks;
    if (const auto found = on_machines.find(&j); found != on_machines.end())
      there.insert(found->second.begin(), found->second.end());
    const bool waits = j.accepted && !j.cancellation_wanted && !j.always_fails &&
                       j.spec.shape != wire::Shape::gang && !cannot_complete(j) &&
                       there.size() < j.spec.tasks &&
                       std::all_of(j.dependencies.begin(), j.dependencies.end(),
                                   [](const UserJob* n) { return n->is_done(); });
    if (!waits || !has_capacity_beside(j)) {
      j.waiting_beside_capacity_since = -1;
      continue;
    }
    if (j.waiting_beside_capacity_since < 0)
      j.waiting_beside_capacity_since = now_;
    if (now_ - j.waiting_beside_capacity_since > run_report_.longest_wait_beside_capacity)
      spdlog::debug("simulation: waits_beside_capacity t={:.3f} job={} since={:.1f}", now_, ref,
                    j.waiting_beside_capacity_since);
    run_report_.longest_wait_beside_capacity =
        std::max(run_report_.longest_wait_beside_capacity, now_ - j.waiting_beside_capacity_since);
  }
}

}  // namespace wingtrail::simulation
