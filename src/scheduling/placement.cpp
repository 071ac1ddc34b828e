// Least-waiting placement: long tasks and gangs, and short tasks that found no machine by reservation.
#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // of cores, GPUs and GB: rounding of sums
}

// Seconds that a machine of the type takes for the job's image alone; 0: not known.
Seconds Scheduler::fetch_s(MachineTypeIndex type, const Job& job) const {
  const double rate = type < catalog_.size() ? catalog_[type].fetch_gb_per_s : 0;
  return rate > 0 ? job.spec.image_gb / rate : 0;
}

// The image fetch, and what is queued ahead of it. Between
// machines that could begin equally soon, the fuller one is taken, so that others become empty and can be
// returned.
double Scheduler::start_delay_s(const Machine& machine, const Job& job) const {
  constexpr double kSharedFetch = 0.5;        // the job's image is being fetched already
  constexpr Seconds kSameServicePenalty = 2;  // for each replica of the service on the machine
  constexpr Seconds kEmptyPenalty = 0.2;      // of an empty machine against a full one
  double delay_s = 0;
  double same_job = 0;
  bool fetching = false;
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.job != job.index || !allocation.occupies_machine)
      continue;
    ++same_job;
    fetching |= allocation.phase == Allocation::Phase::fetching;
  }
  if (!machine.has_image(job.image)) {
    delay_s += fetch_s(machine.type, job);
    if (fetching)
      delay_s *= kSharedFetch;
  }
  if (job.is_service())
    delay_s += same_job * kSameServicePenalty;
  delay_s *= std::max(1.0, machine.observed_slowdown);
  if (machine.spot)
    delay_s += spot_risk_s(machine, job);
  return delay_s + kEmptyPenalty * (1 - machine.used.cpus / std::max(machine.cpus, 1.0));
}

// Seconds that spot preemption is expected to cost an array: one machine taken means that the array waits for
// a task's whole run once more, and it is on as many machines as its tasks fill.
double Scheduler::spot_risk_s(const Machine& machine, const Job& job) const {
  const double run = estimated_run_time(job);
  const double machines = std::max(
      1.0, (job.spec.tasks - job.done_tasks) * job.spec.task_resources.cpus / std::max(machine.cpus, 1.0));
  return run * (1 - std::exp(-workers_.spot_preemption_rate() * run * machines));
}

Machine* Scheduler::least_waiting(const Job& job, bool cached_only) {
  Machine* best = nullptr;
  double best_wait = 0;
  const bool is_long_job = is_long(job);
  auto examine = [&](const PlacementIndex::Group& group) {
    auto it = group.by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
    for (int n = 0; it != group.by_free_cores.end() && n < settings_.tunables.steal_sample; ++it) {
      Machine& machine = workers_.machine_at(it->second);
      ++machines_examined_;
      ++n;
      if (!can_start_on(machine, job))
        continue;
      const double wait = start_delay_s(machine, job);
      if (!best || wait < best_wait) {
        best = &machine;
        best_wait = wait;
      }
    }
  };
  for (const bool cached : {true, false}) {
    for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
      if ((pool.short_only && is_long_job) ||
          !filters::placement_allowed(job, pool.type, pool.zone, pool.spot) ||
          !filters_.zones().admits_zone(pool.zone, job))
        continue;
      const PlacementIndex::Group* with = pool.group_with_image(job.image);
      if (cached && with)
        examine(*with);
      if (!cached)
        examine(pool.all_machines);
    }
    // Nothing is won by a fetch unless all that have the image are a worse choice for another reason.
    constexpr double kGoodEnough = 1.0;
    if (cached_only || (best && best_wait < kGoodEnough))
      break;
  }
  return best;
}

// The cost, in seconds, of placing the service's next task on this machine. Its image should be where
// later replicas can start at once: beside work that can be preempted. A machine full of services has no such
// capacity, however many images it holds, and takes more of them with it when it is lost.
double Scheduler::service_placement_cost(const Machine& machine, const Job& job) const {
  constexpr Seconds kFullCost = 4;  // of a machine full of services, against one without any
  double service_cores = 0;
  for (const Allocation& allocation : machine.allocations) {
    const Job* other = registry_.job_at(allocation.job);
    if (allocation.occupies_machine && other && other->is_service())
      service_cores += allocation.resources.cpus;
  }
  double cost = kFullCost * service_cores / std::max(machine.cpus, 1.0) + start_delay_s(machine, job);
  // A fetch that ends within the start objective costs nothing.
  const Seconds fetch = machine.has_image(job.image) ? 0 : fetch_s(machine.type, job);
  if (fetch > 0 && objectives_.starts_in_time_after_fetch(job, fetch))
    cost -= fetch;
  return cost;
}

// For a service on a fleet with guaranteed capacity: of machines with its image and of all others, some of
// the emptiest and some drawn at random, the one that is least crowded with services.
Machine* Scheduler::least_crowded(const Job& job) {
  Machine* best = nullptr;
  double best_cost = 0;
  const auto examine = [&](MachineIndex index) {
    Machine& machine = workers_.machine_at(index);
    ++machines_examined_;
    if (!can_start_on(machine, job))
      return;
    const double cost = service_placement_cost(machine, job);
    if (!best || cost < best_cost) {
      best = &machine;
      best_cost = cost;
    }
  };
  for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
    if (pool.short_only || !filters::placement_allowed(job, pool.type, pool.zone, pool.spot) ||
        !filters_.zones().admits_zone(pool.zone, job))
      continue;
    for (const PlacementIndex::Group* group : {pool.group_with_image(job.image), &pool.all_machines}) {
      if (!group)
        continue;
      auto it = group->by_free_cores.rbegin();
      for (int n = 0; it != group->by_free_cores.rend() && n < settings_.tunables.steal_sample; ++n)
        examine((it++)->second);
      if (group->members.empty())
        continue;
      for (int n = 0; n < settings_.tunables.steal_sample; ++n)
        examine(group->members[rng_(static_cast<std::uint32_t>(group->members.size()))]);
    }
  }
  return best;
}

void Scheduler::place_long(Job& job) {
  const bool spread_out = job.is_service() && balancing_enabled_;
  // A gang that lost a task starts again as a whole, once the others have noticed and ended.
  if (job.is_gang() && (job.placed_tasks > 0 || !gang_fits(job)))
    return;
  while (has_startable_task(job)) {
    Machine* machine = spread_out ? least_crowded(job) : least_waiting(job);
    if (!machine) {
      if (!preempt_for_job(job, {}))
        return;
      continue;
    }
    // A service need not wait for a fetch if a task of lower priority runs on a machine that has the image,
    // and has not run for longer than the fetch takes, which is the work thrown away.
    constexpr double kFetchWorthPreempting = 1.0;  // seconds
    const double wait = start_delay_s(*machine, job);
    const bool worth_preempting =
        wait > kFetchWorthPreempting && !(spread_out && objectives_.starts_in_time_after_fetch(job, wait));
    if (job.is_service() && worth_preempting && preempt_for_job(job, wait))
      continue;
    start_task(*machine, job);
  }
}

// Whether all of a gang's pending tasks fit now: part of a gang would hold its machines for nothing.
bool Scheduler::gang_fits(const Job& job) {
  const auto pending = static_cast<double>(job.pending_tasks.size());
  if (!filters_.quota().admits_tasks(job, pending))
    return false;
  std::unordered_map<ZoneIndex, double> tasks_by_zone;  // under zone 0 if the zone does not matter
  for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
    if (pool.short_only || !filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
      continue;
    double& found = tasks_by_zone[job.spec.same_zone ? pool.zone : ZoneIndex(0)];
    for (auto it = pool.all_machines.by_free_cores.lower_bound(
             {job.spec.task_resources.cpus - kEps, MachineIndex(0)});
         it != pool.all_machines.by_free_cores.end() && found < pending; ++it) {
      const Machine& machine = workers_.machine_at(it->second);
      ++machines_examined_;
      if (!can_start_on(machine, job))
        continue;
      double fitting = pending;
      auto bound = [&fitting](double free, double need) {
        if (need > 0)
          fitting = std::min(fitting, std::floor((free + kEps) / need));
      };
      bound(machine.cpus - machine.used.cpus, job.spec.task_resources.cpus);
      bound(machine.gpus - machine.used.gpus, job.spec.task_resources.gpus);
      bound(machine.memory_gb - machine.used.memory_gb, job.spec.task_resources.memory_gb);
      found += fitting;
    }
  }
  return std::any_of(tasks_by_zone.begin(), tasks_by_zone.end(),
                     [pending](const auto& entry) { return entry.second >= pending; });
}

// The migrating task no longer counts in its zone. With it, a service spread evenly over two zones could
// migrate to neither, and a machine with one of its replicas could never be drained.
bool Scheduler::zone_allows_migration(ZoneIndex zone, const Job& job, const Machine& from) {
  const std::uint32_t here =
      (zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0) - (zone == from.zone ? 1 : 0);
  return !job.spec.spread_zones || here + 1 <= (job.spec.tasks + 1) / 2;
}

bool Scheduler::can_migrate(const Job& job, const Machine& from) {
  for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
    if (pool.short_only || !filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
      continue;
    if (!zone_allows_migration(pool.zone, job, from))
      continue;
    const PlacementIndex::Group* cached = pool.group_with_image(job.image);
    if (!cached)
      continue;
    auto it = cached->by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
    for (int n = 0; it != cached->by_free_cores.end() && n < settings_.tunables.steal_sample; ++it, ++n) {
      const Machine& machine = workers_.machine_at(it->second);
      if (machine.index != from.index && workers_.accepts_tasks(machine) &&
          machine.fits(job.spec.task_resources))
        return true;
    }
  }
  return false;
}

}  // namespace wingtrail::scheduling
