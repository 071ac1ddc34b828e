// Migration of running tasks from slow machines and from draining machines; see src/balancing/migrations.hpp.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // cores: tolerance for rounding errors of sums
}

// The typical run time with which run times on a machine are compared; empty if load balancing is off.
std::optional<RunTimeEstimates::TypicalRunTime> Scheduler::typical_run_time(const Job& job) const {
  return balancing_enabled_ ? estimates_.typical_run_time(job) : std::nullopt;
}

// Compares the tasks on each machine with the other tasks of their jobs, and updates which machines are slow.
// Called once a second.
void Scheduler::update_machine_speeds() {
  constexpr double kMinRunShare = 0.7;  // of the typical run time; a shorter run so far is no evidence
  const Seconds now = out_.now();
  slow_machines_ = 0;
  for (const MachineIndex index : workers_.live_machines()) {
    Machine& machine = workers_.machine_at(index);
    speeds_.begin_running_update(index);
    for (const Allocation& allocation : machine.allocations) {
      const Job* job = registry_.job_at(allocation.job);
      if (!job || job->is_service() || allocation.adopted || allocation.phase != Allocation::Phase::running ||
          allocation.running_since <= 0)
        continue;
      const auto typical = typical_run_time(*job);
      const Seconds running_s = now - allocation.running_since;
      // A task on a machine that has missed a heartbeat may have ended unobserved.
      if (typical && workers_.time_since_contact(machine) < settings_.heartbeat_interval_s &&
          running_s > kMinRunShare * typical->run_s)
        speeds_.add_running_task(index, allocation.job, std::log(running_s / typical->run_s),
                                 typical->log_deviation);
    }
    const double slowdown = speeds_.slowdown(index);
    if (slowdown > 1 && machine.slowdown <= 1)
      spdlog::info("scheduler: slow machine detected host={} slowdown={:.1f}", machine.host, slowdown);
    if (slowdown <= 1 && machine.slowdown > 1)
      spdlog::info("scheduler: slow machine recovered host={}", machine.host);
    machine.slowdown = slowdown;
    slow_machines_ += slowdown > 1;
  }
}

// A machine of normal speed with free capacity for a task of the job that runs on `from`, preferably one that
// has the job's image; null: none was found.
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
      for (int examined = 0; it != group->by_free_cores.end() && examined < settings_.tunables.steal_sample;
           ++it, ++examined) {
        Machine& machine = workers_.machine_at(it->second);
        ++machines_examined_;
        if (machine.index != from.index && machine.slowdown <= 1 &&
            !job.excludes(machine.index, out_.now()) && workers_.accepts_tasks(machine) &&
            machine.fits(job.spec.task_resources))
          return &machine;
      }
    }
    if (job.is_service())
      return nullptr;  // the replica would be missing during the image fetch
  }
  return nullptr;
}

bool Scheduler::migrate(Machine& from, Allocation& allocation, balancing::MigrationCause cause) {
  Job* job = registry_.job_at(allocation.job);
  // Only tasks that are known to run on the machine migrate. Gangs do not, since a gang would have to migrate
  // as a whole.
  if (!job || !job->is_open() || job->is_held() || job->is_gang() || allocation.stop_requested ||
      allocation.phase != Allocation::Phase::running)
    return false;
  const auto machines = static_cast<double>(workers_.live_machines().size());
  constexpr double kMinLimit = 2;  // migrations in progress, however few machines there are
  const auto max_in_progress =
      static_cast<std::size_t>(std::max(kMinLimit, settings_.tunables.migrations_per_machine * machines));
  if (!migrations_.may_begin(job->index, allocation.task, max_in_progress, out_.now()))
    return false;
  Machine* target = migration_target(*job, from);
  if (!target)
    return false;
  const bool checkpoints = job->spec.checkpoint_interval_s > 0;
  balancing::Migration migration;
  migration.job = job->index;
  migration.task = allocation.task;
  migration.target = target->index;
  migration.cause = cause;
  migration.began_at = out_.now();
  migration.resources = job->spec.task_resources;
  migration.lost_work_s = checkpoints || job->is_service() ? 0 : out_.now() - allocation.running_since;
  workers_.reserve_resources(*target, job->spec.task_resources, 1);
  migrations_.begin(migration);
  workers_.stop_task(from, allocation, checkpoints ? job->spec.checkpoint_cost_s + 1 : 0);
  return true;
}

// Releases the resources reserved at the target and starts the task there, after it has ended on the machine
// that it left. Returns false if it may not start on the target any more.
bool Scheduler::finish_migration(const balancing::Migration& migration) {
  abandon_migration(migration);
  Job* job = registry_.job_at(migration.job);
  Machine& target = workers_.machine_at(migration.target);
  if (!job || migration.task >= job->tasks.size() ||
      job->tasks[migration.task].state != jobs::TaskState::pending)
    return false;
  if (!can_start_on(target, *job))
    return false;
  ++tasks_started_;
  job->last_start_at = out_.now();
  workers_.start_task(target, *job, migration.task);
  return true;
}

// Releases the resources reserved at the target.
void Scheduler::abandon_migration(const balancing::Migration& migration) {
  workers_.reserve_resources(workers_.machine_at(migration.target), migration.resources, -1);
}

// Migrates tasks from slow machines where they would end clearly sooner if they ran again from the beginning
// on a machine of normal speed. Drops expired migrations.
void Scheduler::plan_migrations() {
  for (const balancing::Migration& migration : migrations_.take_expired(out_.now())) {
    abandon_migration(migration);
    migrations_.on_finished(migration, false);
  }
  // No running task is migrated while any zone is unresponsive, unreachable, lost or recovering, or while any
  // machine is not reconciled.
  if (slow_machines_ == 0 || !workers_.reconciled() || workers_.zones().any_unstable(out_.now()))
    return;
  for (ZoneIndex zone{0}; zone < registry_.zones.size(); ++zone) {
    if (workers_.zones().is_unresponsive(zone, out_.now()))
      return;
  }
  constexpr Seconds kCommandDelay = 2;  // for the commands to stop and start the task
  constexpr double kMinGain = 0.25;     // of the run time
  for (const MachineIndex index : workers_.live_machines()) {
    Machine& machine = workers_.machine_at(index);
    if (machine.slowdown <= 1 || machine.unreachable ||
        workers_.time_since_contact(machine) > settings_.heartbeat_interval_s)
      continue;
    for (Allocation& allocation : machine.allocations) {
      const Job* job = registry_.job_at(allocation.job);
      if (!job || job->is_service() || allocation.running_since <= 0 || !allocation.occupies_machine ||
          allocation.stop_requested)
        continue;
      const auto typical = typical_run_time(*job);
      const Seconds run_s = typical ? typical->run_s : estimated_run_time(*job);
      const Seconds fetch_time_s = fetch_s(machine.type, *job);
      const Seconds remaining_s = run_s * machine.slowdown - (out_.now() - allocation.running_since);
      if (remaining_s > run_s * (1 + kMinGain) + fetch_time_s + kCommandDelay)
        migrate(machine, allocation, balancing::MigrationCause::slow_machine);
    }
  }
}

}  // namespace wingtrail::scheduling
