// Migration of running tasks from slow machines and from machines being drained. See
// balancing/migrations.hpp.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // cores: rounding of sums
}

std::optional<RunTimeEstimates::TypicalRunTime> Scheduler::typical_run_time(const Job& job) const {
  return balancing_enabled_ ? estimates_.typical_run_time(job) : std::nullopt;
}

// Compares what runs on each machine with its job's other tasks, once a second.
void Scheduler::update_machine_speeds() {
  constexpr double kMinRunShare = 0.7;  // of the typical run time: what has run for less proves nothing
  const Seconds now = out_.now();
  slow_machines_ = 0;
  for (const MachineIndex index : workers_.live_machines()) {
    Machine& machine = workers_.machine_at(index);
    speeds_.begin_running_update(index);
    for (const Allocation& s : machine.allocations) {
      const Job* job = registry_.job_at(s.job);
      if (!job || job->is_service() || s.adopted || s.phase != Allocation::Phase::running ||
          s.running_since <= 0)
        continue;
      const auto mean = typical_run_time(*job);
      // A task on a machine without heartbeats may have ended unobserved.
      if (mean && workers_.time_since_contact(machine) < settings_.heartbeat_interval_s &&
          now - s.running_since > kMinRunShare * mean->run_s)
        speeds_.add_running_task(index, s.job, std::log((now - s.running_since) / mean->run_s),
                                 mean->log_deviation);
    }
    const double factor = speeds_.slowdown(index);
    if (factor > 1 && machine.slowdown <= 1)
      spdlog::info("scheduler: slow machine detected host={} slowdown={:.1f}", machine.host, factor);
    if (factor <= 1 && machine.slowdown > 1)
      spdlog::info("scheduler: slow machine recovered host={}", machine.host);
    machine.slowdown = factor;
    slow_machines_ += factor > 1;
  }
}

// A machine of normal speed that one of the job's tasks fits on, preferably one that has its image.
Machine* Scheduler::migration_target(const Job& job, const Machine& from) {
  for (const bool cached : {true, false}) {
    for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
      if ((pool.short_only && is_long(job)) ||
          !filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
        continue;
      if (!zone_allows_migration(pool.zone, job, from))
        continue;
      if (job.spec.same_zone && pool.zone != from.zone)
        continue;
      const PlacementIndex::Group* group = cached ? pool.group_with_image(job.image) : &pool.all_machines;
      if (!group)
        continue;
      auto it = group->by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
      for (int n = 0; it != group->by_free_cores.end() && n < settings_.tunables.steal_sample; ++it, ++n) {
        Machine& machine = workers_.machine_at(it->second);
        ++machines_examined_;
        const bool failed = std::find(job.failed_machines.begin(), job.failed_machines.end(),
                                      machine.index) != job.failed_machines.end();
        if (machine.index != from.index && machine.slowdown <= 1 && !failed &&
            workers_.accepts_tasks(machine) && machine.fits(job.spec.task_resources))
          return &machine;
      }
    }
    if (job.is_service())
      return nullptr;  // a replica would be down for the whole fetch
  }
  return nullptr;
}

bool Scheduler::migrate(Machine& from, Allocation& allocation, balancing::MigrationCause cause) {
  Job* job = registry_.job_at(allocation.job);
  // Only what is proved to run there; a gang would have to migrate as a whole.
  if (!job || !job->is_open() || job->is_held() || job->is_gang() || allocation.stop_requested ||
      allocation.phase != Allocation::Phase::running)
    return false;
  const auto machines = static_cast<double>(workers_.live_machines().size());
  const auto at_once =
      static_cast<std::size_t>(std::max(2.0, settings_.tunables.migrations_per_machine * machines));
  if (!migrations_.may_begin(job->index, allocation.task, at_once, out_.now()))
    return false;
  Machine* to = migration_target(*job, from);
  if (!to)
    return false;
  const bool checkpoints = job->spec.checkpoint_interval_s > 0;
  balancing::Migration migration;
  migration.job = job->index;
  migration.task = allocation.task;
  migration.target = to->index;
  migration.cause = cause;
  migration.began_at = out_.now();
  migration.resources = job->spec.task_resources;
  migration.lost_work_s = checkpoints || job->is_service() ? 0 : out_.now() - allocation.running_since;
  workers_.reserve_resources(*to, job->spec.task_resources, 1);
  migrations_.begin(migration);
  workers_.stop_task(from, allocation, checkpoints ? job->spec.checkpoint_cost_s + 1 : 0);
  return true;
}

// The task has ended on the old machine: it takes the resources reserved at the target, if it still may start
// there.
bool Scheduler::finish_migration(const balancing::Migration& migration) {
  abandon_migration(migration);
  Job* job = registry_.job_at(migration.job);
  Machine& to = workers_.machine_at(migration.target);
  if (!job || migration.task >= job->tasks.size() ||
      job->tasks[migration.task].state != jobs::TaskState::pending)
    return false;
  if (!can_start_on(to, *job))
    return false;
  ++tasks_started_;
  job->last_start_at = out_.now();
  workers_.start_task(to, *job, migration.task);
  return true;
}

void Scheduler::abandon_migration(const balancing::Migration& migration) {
  workers_.reserve_resources(workers_.machine_at(migration.target), migration.resources, -1);
}

// What has long to run on a slow machine begins anew elsewhere, if it then ends clearly sooner.
void Scheduler::plan_migrations() {
  for (const balancing::Migration& migration : migrations_.take_expired(out_.now())) {
    abandon_migration(migration);
    migrations_.on_finished(migration, false);
  }
  // While a zone is out of reach or a machine not reconciled, nothing that runs is touched.
  if (slow_machines_ == 0 || !workers_.reconciled() || workers_.zones().any_unstable(out_.now()))
    return;
  for (ZoneIndex zone{0}; zone < registry_.zones.size(); ++zone) {
    if (workers_.zones().is_unresponsive(zone, out_.now()))
      return;
  }
  constexpr Seconds kCommandDelay = 2;
  constexpr double kMinGain = 0.25;  // of the run time
  for (const MachineIndex index : workers_.live_machines()) {
    Machine& machine = workers_.machine_at(index);
    if (machine.slowdown <= 1 || machine.unreachable ||
        workers_.time_since_contact(machine) > settings_.heartbeat_interval_s)
      continue;
    for (Allocation& s : machine.allocations) {
      const Job* job = registry_.job_at(s.job);
      if (!job || job->is_service() || s.running_since <= 0 || !s.occupies_machine || s.stop_requested)
        continue;
      const auto typical = typical_run_time(*job);
      const double run = typical ? typical->run_s : estimated_run_time(*job);
      const Seconds fetch = fetch_s(machine.type, *job);
      const Seconds left = run * machine.slowdown - (out_.now() - s.running_since);
      if (left > run * (1 + kMinGain) + fetch + kCommandDelay)
        migrate(machine, s, balancing::MigrationCause::slow_machine);
    }
  }
}

}  // namespace wingtrail::scheduling
