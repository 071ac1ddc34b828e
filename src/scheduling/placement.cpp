// Least-waiting placement of long tasks and gangs, and of short tasks that found no machine by reservation.
#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // cores, GPUs or GB: tolerance for rounding errors of sums
}

// Seconds that an otherwise idle machine of the type takes to fetch the job's image; 0 if the fetch rate of
// the type is not known.
Seconds Scheduler::fetch_s(MachineTypeIndex type, const Job& job) const {
  const double rate = type < catalog_.size() ? catalog_[type].fetch_gb_per_s : 0;
  return rate > 0 ? job.spec.image_gb / rate : 0;
}

// Seconds until a task of the job could begin on the machine, as a cost: the time of the image fetch, the
// expected cost of spot preemption, and penalties. The penalty for an empty machine makes the fuller of two
// machines with equal delays the better one, so that other machines become empty and can be returned.
double Scheduler::start_delay_s(const Machine& machine, const Job& job) const {
  constexpr double kSharedFetchFactor = 0.5;  // of the fetch time, if the machine fetches the image already
  constexpr Seconds kSameServicePenalty = 2;  // for each replica of the service on the machine
  constexpr Seconds kEmptyPenalty = 0.2;      // of an empty machine relative to a full one
  double delay_s = 0;
  double tasks_of_job = 0;
  bool fetching = false;
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.job != job.index || !allocation.occupies_machine)
      continue;
    ++tasks_of_job;
    fetching |= allocation.phase == Allocation::Phase::fetching;
  }
  if (!machine.has_image(job.image)) {
    delay_s += fetch_s(machine.type, job);
    if (fetching)
      delay_s *= kSharedFetchFactor;
  }
  if (job.is_service())
    delay_s += tasks_of_job * kSameServicePenalty;
  delay_s *= std::max(1.0, machine.observed_slowdown);
  if (machine.spot)
    delay_s += spot_risk_s(machine, job);
  return delay_s + kEmptyPenalty * (1 - machine.used.cpus / std::max(machine.cpus, 1.0));
}

// Seconds that spot preemption is expected to cost a job array. If the cloud takes any of its machines, the
// array waits for one more complete run of a task. The array occupies as many machines as its remaining
// tasks fill.
double Scheduler::spot_risk_s(const Machine& machine, const Job& job) const {
  const double run_s = estimated_run_time(job);
  const double machines = std::max(
      1.0, (job.spec.tasks - job.done_tasks) * job.spec.task_resources.cpus / std::max(machine.cpus, 1.0));
  return run_s * (1 - std::exp(-workers_.spot_preemption_rate() * run_s * machines));
}

Machine* Scheduler::least_waiting(const Job& job, bool cached_only) {
  Machine* best = nullptr;
  double best_delay_s = 0;
  const bool is_long_job = is_long(job);
  auto examine = [&](const PlacementIndex::Group& group) {
    auto it = group.by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
    for (int examined = 0; it != group.by_free_cores.end() && examined < settings_.tunables.steal_sample;
         ++it) {
      Machine& machine = workers_.machine_at(it->second);
      ++machines_examined_;
      ++examined;
      if (!can_start_on(machine, job))
        continue;
      const double delay_s = start_delay_s(machine, job);
      if (!best || delay_s < best_delay_s) {
        best = &machine;
        best_delay_s = delay_s;
      }
    }
  };
  for (const bool cached : {true, false}) {
    for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
      if ((pool.short_only && is_long_job) ||
          !filters::placement_allowed(job, pool.type, pool.zone, pool.spot) ||
          !filters_.zones().admits_zone(pool.zone, job))
        continue;
      const PlacementIndex::Group* group_with_image = pool.group_with_image(job.image);
      if (cached && group_with_image)
        examine(*group_with_image);
      if (!cached)
        examine(pool.all_machines);
    }
    // A machine that has to fetch the image is better only if every machine that has it is a poor choice for
    // another reason.
    constexpr Seconds kAcceptableDelay = 1;
    if (cached_only || (best && best_delay_s < kAcceptableDelay))
      break;
  }
  return best;
}

// The cost in seconds of placing the service's next task on this machine. The service's image should
// be on machines where later replicas can start at once, which are those with tasks that can be
// preempted. A machine full of services has no such capacity, however many images it holds, and its
// loss hits more services.
double Scheduler::service_placement_cost(const Machine& machine, const Job& job) const {
  constexpr Seconds kFullCost = 4;  // of a machine full of services, relative to one without any
  double service_cores = 0;
  for (const Allocation& allocation : machine.allocations) {
    const Job* other = registry_.job_at(allocation.job);
    if (allocation.occupies_machine && other && other->is_service())
      service_cores += allocation.resources.cpus;
  }
  double cost = kFullCost * service_cores / std::max(machine.cpus, 1.0) + start_delay_s(machine, job);
  // An image fetch that ends within the start objective costs nothing.
  const Seconds fetch_time_s = machine.has_image(job.image) ? 0 : fetch_s(machine.type, job);
  if (fetch_time_s > 0 && objectives_.starts_in_time_after_fetch(job, fetch_time_s))
    cost -= fetch_time_s;
  return cost;
}

// The machine with the lowest cost for a service's next task, in a cluster with guaranteed capacity. Examines
// the machines with the most free cores and some drawn at random, both among the machines that have the image
// and among all machines.
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
      for (int i = 0; it != group->by_free_cores.rend() && i < settings_.tunables.steal_sample; ++i)
        examine((it++)->second);
      if (group->members.empty())
        continue;
      for (int i = 0; i < settings_.tunables.steal_sample; ++i)
        examine(group->members[rng_(static_cast<std::uint32_t>(group->members.size()))]);
    }
  }
  return best;
}

void Scheduler::place_long(Job& job) {
  const bool spread_out = job.is_service() && balancing_enabled_;
  // A gang that lost a task is restarted as a whole, once its other tasks have ended.
  if (job.is_gang() && (job.placed_tasks > 0 || !gang_fits(job)))
    return;
  while (has_startable_task(job)) {
    Machine* machine = spread_out ? least_crowded(job) : least_waiting(job);
    if (!machine) {
      if (!preempt_for_job(job, {}))
        return;
      continue;
    }
    // Instead of waiting for an image fetch, a service preempts tasks of lower priority on a machine that has
    // the image, provided that those tasks have run for less time than the fetch takes.
    constexpr Seconds kMinDelayToPreempt = 1;
    const Seconds delay_s = start_delay_s(*machine, job);
    const bool worth_preempting =
        delay_s > kMinDelayToPreempt && !(spread_out && objectives_.starts_in_time_after_fetch(job, delay_s));
    if (job.is_service() && worth_preempting && preempt_for_job(job, delay_s))
      continue;
    start_task(*machine, job);
  }
}

// Whether all of a gang's pending tasks fit now. An incomplete gang would occupy its machines without
// making progress.
bool Scheduler::gang_fits(const Job& job) {
  const auto pending = static_cast<double>(job.pending_tasks.size());
  if (!filters_.quota().admits_tasks(job, pending))
    return false;
  std::unordered_map<ZoneIndex, double> tasks_by_zone;  // all under zone 0 if the gang may span zones
  for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
    if (pool.short_only || !filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
      continue;
    double& fitting_in_zone = tasks_by_zone[job.spec.same_zone ? pool.zone : ZoneIndex(0)];
    for (auto it = pool.all_machines.by_free_cores.lower_bound(
             {job.spec.task_resources.cpus - kEps, MachineIndex(0)});
         it != pool.all_machines.by_free_cores.end() && fitting_in_zone < pending; ++it) {
      const Machine& machine = workers_.machine_at(it->second);
      ++machines_examined_;
      if (!can_start_on(machine, job))
        continue;
      double fitting = pending;
      auto bound = [&fitting](double free, double per_task) {
        if (per_task > 0)
          fitting = std::min(fitting, std::floor((free + kEps) / per_task));
      };
      bound(machine.cpus - machine.used.cpus, job.spec.task_resources.cpus);
      bound(machine.gpus - machine.used.gpus, job.spec.task_resources.gpus);
      bound(machine.memory_gb - machine.used.memory_gb, job.spec.task_resources.memory_gb);
      fitting_in_zone += fitting;
    }
  }
  return std::any_of(tasks_by_zone.begin(), tasks_by_zone.end(),
                     [pending](const auto& entry) { return entry.second >= pending; });
}

// Whether the limit on the tasks of the job in one zone (half of them, for jobs that spread over zones)
// allows a migration into the zone. The migrating task does not count in the zone that it leaves. If it did,
// no replica of a service spread evenly over two zones could migrate, and its machine could never be drained.
bool Scheduler::zone_allows_migration(ZoneIndex zone, const Job& job, const Machine& from) {
  const std::uint32_t other_tasks =
      (zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0) - (zone == from.zone ? 1 : 0);
  return !job.spec.spread_zones || other_tasks + 1 <= (job.spec.tasks + 1) / 2;
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
    for (int examined = 0; it != cached->by_free_cores.end() && examined < settings_.tunables.steal_sample;
         ++it, ++examined) {
      const Machine& machine = workers_.machine_at(it->second);
      if (machine.index != from.index && workers_.accepts_tasks(machine) &&
          machine.fits(job.spec.task_resources))
        return true;
    }
  }
  return false;
}

}  // namespace wingtrail::scheduling
