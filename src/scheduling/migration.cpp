// Moving running work: from slow machines, and from machines that are emptied. See spread/moves.hpp.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;
}

std::optional<RunTimeEstimates::TypicalRunTime> Scheduler::typical_run_time(const Job& job) const {
  return balancing_enabled_ ? estimates_.typical_run_time(job) : std::nullopt;
}

// Once a second, what runs on each machine is held against its job's other tasks.
void Scheduler::update_machine_speeds() {
  constexpr double kTells = 0.7;  // of the usual time: what has run for less says nothing
  const Seconds now = out_.now();
  slow_machines_ = 0;
  for (const MachineIndex ix : workers_.live_machines()) {
    Machine& m = workers_.machine_at(ix);
    speeds_.begin_running_update(ix);
    for (const Allocation& s : m.allocations) {
      const Job* job = registry_.job_at(s.job);
      if (!job || job->is_service() || s.adopted || s.phase != Allocation::Phase::running ||
          s.running_since <= 0)
        continue;
      const auto mean = typical_run_time(*job);
      // Silence looks like a long run.
      if (mean && workers_.silence_of(m) < settings_.heartbeat_interval_s &&
          now - s.running_since > kTells * mean->run_s)
        speeds_.add_running_task(ix, s.job, std::log((now - s.running_since) / mean->run_s),
                                 mean->log_deviation);
    }
    const double factor = speeds_.slowdown(ix);
    if (factor > 1 && m.slowdown <= 1)
      spdlog::info("{}: slow, its tasks take {:.1f} times as long as others of their jobs", m.host, factor);
    if (factor <= 1 && m.slowdown > 1)
      spdlog::info("{}: no longer slow", m.host);
    m.slowdown = factor;
    slow_machines_ += factor > 1;
  }
}

// A sound machine with room for one of the job's tasks, best one that has its image.
Machine* Scheduler::migration_target(const Job& job, const Machine& from) {
  for (const bool cached : {true, false}) {
    for (const PlacementIndex::Pool& p : workers_.placement_index().pools()) {
      if ((p.short_only && is_long(job)) || !filters::placement_allowed(job, p.type, p.zone, p.spot))
        continue;
      if (!zone_allows_migration(p.zone, job, from))
        continue;
      if (job.spec.same_zone && p.zone != from.zone)
        continue;
      const PlacementIndex::Group* group = cached ? p.group_with_image(job.image) : &p.all_machines;
      if (!group)
        continue;
      auto it = group->by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
      for (int n = 0; it != group->by_free_cores.end() && n < settings_.tunables.steal_sample; ++it, ++n) {
        Machine& m = workers_.machine_at(it->second);
        ++machines_examined_;
        const bool failed = std::find(job.failed_machines.begin(), job.failed_machines.end(), m.index) !=
                            job.failed_machines.end();
        if (m.index != from.index && m.slowdown <= 1 && !failed && workers_.accepts_tasks(m) &&
            m.fits(job.spec.task_resources))
          return &m;
      }
    }
    if (job.is_service())
      return nullptr;  // a replica would be down for the whole fetch
  }
  return nullptr;
}

bool Scheduler::migrate(Machine& from, Allocation& slot, balancing::MigrationCause cause) {
  Job* job = registry_.job_at(slot.job);
  // Only what is proved to run there, alone of its kind: a gang would have to move as a whole.
  if (!job || !job->is_open() || job->is_held() || job->is_gang() || slot.stop_requested ||
      slot.phase != Allocation::Phase::running)
    return false;
  const auto machines = static_cast<double>(workers_.live_machines().size());
  const auto at_once =
      static_cast<std::size_t>(std::max(2.0, settings_.tunables.migrations_per_machine * machines));
  if (!migrations_.may_begin(job->index, slot.task, at_once, out_.now()))
    return false;
  Machine* to = migration_target(*job, from);
  if (!to)
    return false;
  const bool saves = job->spec.checkpoint_interval_s > 0;
  balancing::Migration m;
  m.job = job->index, m.task = slot.task, m.target = to->index;
  m.cause = cause;
  m.began_at = out_.now();
  m.resources = job->spec.task_resources;
  m.lost_work_s = saves || job->is_service() ? 0 : out_.now() - slot.running_since;
  workers_.reserve_resources(*to, job->spec.task_resources, 1);
  migrations_.begin(m);
  workers_.stop_task(from, slot, saves ? job->spec.checkpoint_cost_s + 1 : 0);
  return true;
}

// Its task is gone from where it was: the place that was kept becomes its own, if everything still allows
// that.
bool Scheduler::finish_migration(const balancing::Migration& move) {
  abandon_migration(move);
  Job* job = registry_.job_at(move.job);
  Machine& to = workers_.machine_at(move.target);
  if (!job || move.task >= job->tasks.size() || job->tasks[move.task].state != jobs::TaskState::pending)
    return false;
  if (!can_start_on(to, *job))
    return false;
  ++tasks_started_;
  job->last_start_at = out_.now();
  workers_.start_task(to, *job, move.task);
  return true;
}

void Scheduler::abandon_migration(const balancing::Migration& move) {
  workers_.reserve_resources(workers_.machine_at(move.target), move.resources, -1);
}

// What has long to run on a slow machine begins anew elsewhere, if that ends it clearly sooner.
void Scheduler::plan_migrations() {
  for (const balancing::Migration& move : migrations_.take_expired(out_.now())) {
    abandon_migration(move);
    migrations_.on_finished(move, false);
  }
  // While something is out of reach or not accounted for, nothing that runs is touched.
  if (slow_machines_ == 0 || !workers_.reconciled() || workers_.zones().any_unstable(out_.now()))
    return;
  for (ZoneIndex zone{0}; zone < registry_.zones.size(); ++zone) {
    if (workers_.zones().is_silent(zone, out_.now()))
      return;
  }
  constexpr Seconds kOnTheWay = 2;
  constexpr double kClearly = 0.25;
  for (const MachineIndex ix : workers_.live_machines()) {
    Machine& m = workers_.machine_at(ix);
    if (m.slowdown <= 1 || m.unreachable || workers_.silence_of(m) > settings_.heartbeat_interval_s)
      continue;
    for (Allocation& s : m.allocations) {
      const Job* job = registry_.job_at(s.job);
      if (!job || job->is_service() || s.running_since <= 0 || !s.occupies_machine || s.stop_requested)
        continue;
      const auto usually = typical_run_time(*job);
      const double run = usually ? usually->run_s : estimated_run_time(*job);
      const Seconds fetch = fetch_s(m.type, *job);
      const Seconds left = run * m.slowdown - (out_.now() - s.running_since);
      if (left > run * (1 + kClearly) + fetch + kOnTheWay)
        migrate(m, s, balancing::MigrationCause::slow_machine);
    }
  }
}

}  // namespace wingtrail::scheduling
