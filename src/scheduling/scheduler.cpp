#include "scheduling/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace wingtrail::scheduling {

namespace {

// Room that is guaranteed to teams has to be there, used or not; a fleet that guarantees none, or whose aims
// name money, is kept as small as its load allows.
bool room_is_guaranteed(const settings::Settings& settings) {
  const auto& all = settings.teams;
  return settings.tunables.load_balancing &&
         std::any_of(all.begin(), all.end(), [](const auto& t) { return t.cpus > 0 || t.gpus > 0; }) &&
         std::none_of(settings.objectives.begin(), settings.objectives.end(),
                      [](const auto& o) { return o.kind == "price" || o.kind == "useful"; });
}

}  // namespace

Scheduler::Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                     workers::WorkerManager& agents, std::function<std::uint64_t()> token, std::uint64_t seed)
    : out_(out),
      settings_(settings),
      registry_(registry),
      workers_(agents),
      balancing_enabled_(room_is_guaranteed(settings)),
      estimates_(settings),
      objectives_(out, settings, registry, estimates_),
      filters_(out, settings, agents, load_, std::move(token)),
      demand_forecast_(out, settings, registry, agents, filters_, estimates_, objectives_),
      rng_(seed) {
  registry_.on_placed = [this](const Job& job, ZoneIndex zone, int tasks) {
    load_.on_placed(job, zone, tasks);
  };
}

void Scheduler::set_catalog(const std::vector<wire::MachineType>& catalog) {
  for (const auto& t : catalog) {
    const MachineTypeIndex ix = registry_.types.add(t.name);
    if (catalog_.size() <= ix)
      catalog_.resize(ix + 1);
    catalog_[ix] = t;
  }
}

void Scheduler::clear() {
  queues_.clear();
  machines_with_queue_.clear();
  has_queue_.clear();
  reserved_.clear();
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
  const auto missing = static_cast<std::uint32_t>(job.pending_tasks.size());
  if (reserved_[job.index] < missing)
    reserve(job, missing);
}

void Scheduler::start_task(Machine& m, Job& job) {
  ++tasks_started_;
  job.last_start_at = out_.now();
  workers_.start_task(m, job, job.pending_tasks.back());
}

void Scheduler::on_capacity_available(Machine& m) {
  if (waiting_jobs_.empty() || !workers_.accepts_tasks(m))
    return;
  serve_queue(m);
}

void Scheduler::on_machine_gone(Machine& m) {
  speeds_.forget(m.index);
  for (const balancing::Migration& move : migrations_.take_of_machine(m.index)) {
    abandon_migration(move);
    migrations_.on_finished(move, false);
  }
  if (queues_.size() <= m.index)
    return;
  for (const Reservation& r : std::exchange(queues_[m.index], {}))
    cancel_reservation(r.job, r.tasks);
}

void Scheduler::on_job_over(const Job& job) {
  load_.on_ended(job);
  reserved_.erase(job.index);
  estimates_.on_job_over(job);
}

void Scheduler::on_task_exited(Machine& m, const Allocation& slot) {
  Job* job = registry_.job_at(slot.job);
  if (!job)
    return;
  const Seconds now = out_.now();
  if (slot.cause == wire::ExitCause::done) {
    m.failed_jobs.clear();
    if (m.health != workers::Health::healthy)
      workers_.mark_changed(m);
    m.health = workers::Health::healthy;
    job->has_succeeded = true;
    const double took = now - slot.running_since;
    if (slot.running_since <= 0 || took < 0.5)
      return;  // it was seen only at its end
    if (balancing_enabled_ && slot.adopted)
      return;  // an earlier leader saw it start
    if (const auto mean = typical_run_time(*job))
      speeds_.on_task_completed(m.index, job->index, std::log(took / mean->run_s), mean->log_deviation);
    if (const auto mean = estimates_.mean_run_time(*job, 3)) {
      const double ratio = std::clamp(took / *mean, 0.2, 10.0);
      m.observed_slowdown += (ratio - m.observed_slowdown) * 0.15;
      ++m.slowdown_samples;
    }
    estimates_.on_task_completed(*job, took);
    return;
  }
  if (slot.cause == wire::ExitCause::error) {
    ++job->error_count;
    if (std::find(job->failed_machines.begin(), job->failed_machines.end(), m.index) ==
        job->failed_machines.end()) {
      job->failed_machines.push_back(m.index);
    }
    // A job that failed on three machines and succeeded on none is at fault itself: it backs off, and its
    // machines are not blamed.
    if (!job->has_succeeded && job->failed_machines.size() >= 3) {
      job->not_before = now + std::min(60.0, std::pow(2.0, std::min(job->error_count, 6U)));
      for (const MachineIndex ix : job->failed_machines)
        std::erase(workers_.machine_at(ix).failed_jobs, job->index);
      job->failed_machines.clear();
    } else {
      if (std::find(m.failed_jobs.begin(), m.failed_jobs.end(), job->index) == m.failed_jobs.end()) {
        m.failed_jobs.push_back(job->index);
      }
      // One failure may be the job's; until more is known the machine gets nothing new.
      workers_.avoid_until(m, now + 15);
      if (m.failed_jobs.size() >= 2 || (job->has_succeeded && job->error_count >= 1)) {
        if (m.health != workers::Health::unhealthy)
          spdlog::warn("{}: suspected to be faulty", m.host);
        m.health = workers::Health::unhealthy;
      }
    }
  } else if (slot.cause == wire::ExitCause::no_room || slot.cause == wire::ExitCause::unknown ||
             slot.cause == wire::ExitCause::busy) {
    // Refused: the machine holds something unknown here, or the job's description is not there yet.
    job->not_before = now + 0.5;
  }
  workers_.mark_changed(m);
  if (const auto move = migrations_.on_task_gone(job->index, slot.task))
    migrations_.on_finished(*move, finish_migration(*move));
  on_job_ready(*job);
}

void Scheduler::run_pass() {
  failed_preemptions_.fill(0);
  zones_unstable_ = workers_.zones().any_unstable(out_.now());
  const bool second = out_.now() - last_second_ >= 1;
  if (second) {
    workers_.observe_spot_time(std::min(2.0, out_.now() - last_second_));
    last_second_ = out_.now();
    update_short_partition();
  }
  std::erase_if(waiting_jobs_, [this](JobIndex ix) {
    const Job* job = registry_.job_at(ix);
    const bool over = !job || !job->is_open() || job->pending_tasks.empty();
    if (over)
      is_waiting_[ix] = false;
    return over;
  });
  if (settings_.cells.enabled()) {
    filters_.cells().begin_pass();
    for (const JobIndex ix : waiting_jobs_) {
      const Job& job = *registry_.job_at(ix);
      if (job.origin_cell.empty() && filters_.admits(job))
        filters_.cells().note_own_work_waiting(job.team);
    }
  }
  long_jobs_.clear();
  overdue_jobs_.clear();
  std::vector<Job*> short_jobs;
  for (const JobIndex ix : waiting_jobs_) {
    Job* job = registry_.job_at(ix);
    ++jobs_examined_;
    if (is_overdue(*job))
      overdue_jobs_.push_back(ix);
    if (is_long(*job)) {
      long_jobs_.push_back(ix);
    } else if (has_startable_task(*job)) {
      short_jobs.push_back(job);
    }
  }
  start_overdue_jobs();
  std::sort(long_jobs_.begin(), long_jobs_.end(),
            [this](JobIndex a, JobIndex b) { return precedes(*registry_.job_at(a), *registry_.job_at(b)); });
  for (const JobIndex ix : std::vector<JobIndex>(long_jobs_)) {
    Job* job = registry_.job_at(ix);
    if (job && has_startable_task(*job))
      place_long(*job);
  }
  std::sort(short_jobs.begin(), short_jobs.end(),
            [this](const Job* a, const Job* b) { return precedes(*a, *b); });
  for (Job* job : short_jobs) {
    place_short(*job);
    const auto missing = static_cast<std::uint32_t>(job->pending_tasks.size());
    if (missing > 0 && reserved_[job->index] < missing)
      reserve(*job, missing - reserved_[job->index]);
  }
  if (second && !waiting_jobs_.empty())
    reclaim_guarantees();
  if (second)
    update_waiting_load();
  if (second && balancing_enabled_)
    update_machine_speeds(), plan_migrations();
}

double Scheduler::estimated_run_time(const Job& job) const {
  return estimates_.estimated_run_time(job);
}

Seconds Scheduler::expected_duration(const Job& job) const {
  double slowest_fetch = 0;  // GB/s
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

// Of every job that waits, why.
void Scheduler::update_waiting_load() {
  load_.begin_waiting_update();
  for (const JobIndex ix : waiting_jobs_) {
    const Job* job = registry_.job_at(ix);
    if (!job || !job->is_open() || job->pending_tasks.empty())
      continue;
    const bool late = objectives_.all_deadlines_passed(*job);
    load_.add_waiting(*job, filters_.waiting_reason(*job), out_.now() - job->eligible_since,
                      late && !job->is_service());
  }
}

}  // namespace wingtrail::scheduling
