#include "scheduling/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduling/short_partition.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::scheduling {

namespace {

// Whether load balancing is enabled and capacity is guaranteed to teams, which has to exist whether it is
// used or not. A cluster without guarantees, or with objectives that concern cost, is kept as small as its
// load allows.
bool capacity_is_guaranteed(const settings::Settings& settings) {
  const auto& teams = settings.teams;
  return settings.tunables.load_balancing &&
         std::any_of(teams.begin(), teams.end(),
                     [](const auto& team) { return team.cpus > 0 || team.gpus > 0; }) &&
         std::none_of(settings.objectives.begin(), settings.objectives.end(),
                      [](const auto& o) { return o.kind == "price" || o.kind == "useful"; });
}

}  // namespace

Scheduler::Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                     workers::WorkerManager& workers, std::function<std::uint64_t()> token,
                     std::uint64_t seed)
    : out_(out),
      settings_(settings),
      registry_(registry),
      workers_(workers),
      balancing_enabled_(capacity_is_guaranteed(settings)),
      estimates_(settings),
      objectives_(out, settings, registry, estimates_),
      filters_(out, settings, workers, load_, std::move(token)),
      demand_forecast_(out, settings, registry, workers, filters_, estimates_, objectives_),
      rng_(seed) {
  registry_.on_placed = [this](const Job& job, ZoneIndex zone, int tasks) {
    load_.on_placed(job, zone, tasks);
  };
}

void Scheduler::set_catalog(const std::vector<wire::MachineType>& catalog) {
  for (const auto& type : catalog) {
    const MachineTypeIndex index = registry_.types.add(type.name);
    if (catalog_.size() <= index)
      catalog_.resize(index + 1);
    catalog_[index] = type;
  }
}

void Scheduler::clear() {
  reservations_.clear();
  waiting_jobs_.clear();
  is_waiting_.clear();
  long_jobs_.clear();
  overdue_jobs_.clear();
  estimates_.clear_jobs();
  load_.clear();
  speeds_.clear();
  migrations_.clear();
  slow_machines_ = 0;
  demand_forecast_.clear();
}

void Scheduler::enqueue(Job& job) {
  if (is_waiting_.size() <= job.index)
    is_waiting_.resize(job.index + 1);
  if (is_waiting_[job.index])
    return;
  is_waiting_[job.index] = true;
  waiting_jobs_.push_back(job.index);
  if (is_long(job))
    long_jobs_.push_back(job.index);
}

void Scheduler::on_job_ready(Job& job) {
  if (job.pending_tasks.empty() || job.is_held())
    return;
  enqueue(job);
  if (!has_startable_task(job))
    return;
  if (is_long(job))
    return place_long(job);
  const auto pending = static_cast<std::uint32_t>(job.pending_tasks.size());
  if (reservations_.reserved_tasks(job.index) < pending)
    reserve(job, pending);
}

void Scheduler::start_task(Machine& machine, Job& job) {
  ++tasks_started_;
  job.last_start_at = out_.now();
  workers_.start_task(machine, job, job.pending_tasks.back());
}

void Scheduler::on_capacity_available(Machine& machine) {
  if (waiting_jobs_.empty() || !workers_.accepts_tasks(machine))
    return;
  serve_queue(machine);
}

void Scheduler::on_machine_gone(Machine& machine) {
  speeds_.remove_machine(machine.index);
  for (const balancing::Migration& migration : migrations_.take_of_machine(machine.index)) {
    abandon_migration(migration);
    migrations_.on_finished(migration, false);
  }
  reservations_.drop_machine(machine.index);
}

void Scheduler::on_job_over(const Job& job) {
  if (!job.has_succeeded)
    withdraw_evidence(job);
  load_.on_job_over(job);
  reservations_.remove_job(job.index);
  estimates_.on_job_over(job);
}

void Scheduler::on_task_exited(Machine& machine, const Allocation& allocation) {
  Job* job = registry_.job_at(allocation.job);
  if (!job)
    return;
  if (allocation.cause == wire::ExitCause::done)
    return on_task_completed(machine, *job, allocation);
  if (allocation.cause == wire::ExitCause::error) {
    on_task_failed(machine, *job);
  } else if (allocation.cause == wire::ExitCause::no_room || allocation.cause == wire::ExitCause::unknown ||
             allocation.cause == wire::ExitCause::busy) {
    // The worker refused the start: the machine runs a task that this leader does not know, or the worker has
    // not received the job's description yet.
    constexpr Seconds kRefusalBackoff = 0.5;
    job->not_before = out_.now() + kRefusalBackoff;
  }
  workers_.mark_changed(machine);
  if (const auto migration = migrations_.take_of_task(job->index, allocation.task))
    migrations_.on_finished(*migration, finish_migration(*migration));
  on_job_ready(*job);
}

void Scheduler::on_task_completed(Machine& machine, Job& job, const Allocation& allocation) {
  constexpr Seconds kMinRunTime = 0.5;  // the start of a shorter run was not observed before its end
  constexpr double kMinSamples = 3;     // completed tasks of the job, for a mean to compare with
  constexpr double kMinRatio = 0.2, kMaxRatio = 10.0;
  constexpr double kSampleWeight = 0.15;  // of one task in the machine's moving average
  workers_.end_quarantine(machine);
  job.has_succeeded = true;
  const double run_s = out_.now() - allocation.running_since;
  if (allocation.running_since <= 0 || run_s < kMinRunTime)
    return;
  if (balancing_enabled_ && allocation.adopted)
    return;  // its run time is not known: an earlier leader observed the start
  if (const auto typical = typical_run_time(job)) {
    speeds_.on_task_completed(machine.index, job.index, std::log(run_s / typical->run_s),
                              typical->log_deviation);
  }
  if (const auto mean_s = estimates_.mean_run_time(job, kMinSamples)) {
    const double ratio = std::clamp(run_s / *mean_s, kMinRatio, kMaxRatio);
    machine.observed_slowdown += (ratio - machine.observed_slowdown) * kSampleWeight;
    ++machine.slowdown_samples;
  }
  estimates_.on_task_completed(job, run_s);
}

void Scheduler::run_pass() {
  failed_preemptions_.fill(0);
  zones_unstable_ = workers_.zones().any_unstable(out_.now());
  constexpr Seconds kUpdateInterval = 1;
  // A longer time since the last update means that this process was stalled or did not lead.
  constexpr Seconds kMaxObservedTime = 2;
  const bool update_due = out_.now() - last_update_at_ >= kUpdateInterval;
  if (update_due) {
    workers_.observe_spot_time(std::min(kMaxObservedTime, out_.now() - last_update_at_));
    last_update_at_ = out_.now();
    update_short_partition(workers_, settings_.tunables.short_partition);
  }
  std::erase_if(waiting_jobs_, [this](JobIndex index) {
    const Job* job = registry_.job_at(index);
    const bool obsolete = !job || !job->is_open() || job->pending_tasks.empty();
    if (obsolete)
      is_waiting_[index] = false;
    return obsolete;
  });
  if (settings_.cells.enabled())
    record_own_waiting_work();
  std::vector<Job*> short_jobs = classify_waiting_jobs();
  start_overdue_jobs();
  place_long_jobs();
  place_short_jobs(std::move(short_jobs));
  if (update_due && !waiting_jobs_.empty())
    reclaim_guarantees();
  if (update_due) {
    update_waiting_load();
    report_longest_wait();
  }
  if (update_due && balancing_enabled_) {
    update_machine_speeds();
    plan_migrations();
  }
}

// Records for which teams own jobs wait, since foreign jobs of these teams yield to them.
void Scheduler::record_own_waiting_work() {
  filters_.cells().begin_pass();
  for (const JobIndex index : waiting_jobs_) {
    const Job& job = *registry_.job_at(index);
    if (job.origin_cell.empty() && filters_.admits(job))
      filters_.cells().set_own_jobs_waiting(job.team);
  }
}

// Sets long_jobs_ and overdue_jobs_; returns the short waiting jobs that may start a task.
std::vector<Job*> Scheduler::classify_waiting_jobs() {
  long_jobs_.clear();
  overdue_jobs_.clear();
  std::vector<Job*> short_jobs;
  for (const JobIndex index : waiting_jobs_) {
    Job* job = registry_.job_at(index);
    ++jobs_examined_;
    if (is_overdue(*job))
      overdue_jobs_.push_back(index);
    if (is_long(*job)) {
      long_jobs_.push_back(index);
    } else if (has_startable_task(*job)) {
      short_jobs.push_back(job);
    }
  }
  return short_jobs;
}

void Scheduler::place_long_jobs() {
  std::sort(long_jobs_.begin(), long_jobs_.end(),
            [this](JobIndex a, JobIndex b) { return precedes(*registry_.job_at(a), *registry_.job_at(b)); });
  for (const JobIndex index : std::vector<JobIndex>(long_jobs_)) {
    Job* job = registry_.job_at(index);
    if (job && has_startable_task(*job))
      place_long(*job);
  }
}

void Scheduler::place_short_jobs(std::vector<Job*> short_jobs) {
  std::sort(short_jobs.begin(), short_jobs.end(),
            [this](const Job* a, const Job* b) { return precedes(*a, *b); });
  for (Job* job : short_jobs) {
    place_short(*job);
    const auto pending = static_cast<std::uint32_t>(job->pending_tasks.size());
    const std::uint32_t reserved = reservations_.reserved_tasks(job->index);
    if (pending > 0 && reserved < pending)
      reserve(*job, pending - reserved);
  }
}

double Scheduler::estimated_run_time(const Job& job) const {
  return estimates_.estimated_run_time(job);
}

Seconds Scheduler::expected_duration(const Job& job) const {
  double slowest_fetch = 0;  // GB/s; 0: not known
  for (const auto& type : catalog_)
    slowest_fetch = slowest_fetch <= 0 ? type.fetch_gb_per_s : std::min(slowest_fetch, type.fetch_gb_per_s);
  return estimated_run_time(job) + (slowest_fetch > 0 ? job.spec.image_gb / slowest_fetch : 0);
}

bool Scheduler::is_long(const Job& job) const {
  return estimates_.is_long(job);
}

void Scheduler::record_arrival(const Job& job) {
  load_.on_arrival(job,
                   job.spec.tasks * job.spec.task_resources.cpus * std::max(1.0, estimated_run_time(job)),
                   out_.now());
  demand_forecast_.record_arrival(job);
}

ZoneLossImpact Scheduler::zone_loss_impact(ZoneIndex zone) const {
  return scheduling::zone_loss_impact(zone, registry_, workers_, out_.now());
}

// Updates the waiting jobs in the load snapshot, by the reason why they wait. Called once a second.
void Scheduler::update_waiting_load() {
  load_.begin_waiting_update();
  for (const JobIndex index : waiting_jobs_) {
    const Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || job->pending_tasks.empty())
      continue;
    const bool late = objectives_.all_deadlines_passed(*job);
    load_.add_waiting(*job, filters_.waiting_reason(*job), out_.now() - job->eligible_since,
                      late && !job->is_service());
  }
}

}  // namespace wingtrail::scheduling
