// Scaling out: decides how many machines to request from which pools.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "autoscaling/autoscaler.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::autoscaling {
namespace {

// The number of the job's tasks that fit on an empty machine of the type; 0 if the type is unknown.
double tasks_per_machine(const wire::MachineType* type, const jobs::Job& job) {
  constexpr double kEps = 1e-9;  // tasks: tolerance for rounding errors of quotients
  if (!type)
    return 0;
  const wire::Resources& task = job.spec.task_resources;
  double tasks = job.spec.tasks;
  if (task.cpus > 0)
    tasks = std::min(tasks, std::floor(type->cpus / task.cpus + kEps));
  if (task.gpus > 0)
    tasks = std::min(tasks, std::floor(type->gpus / task.gpus + kEps));
  if (task.memory_gb > 0)
    tasks = std::min(tasks, std::floor(type->memory_gb / task.memory_gb + kEps));
  return tasks;
}

}  // namespace

double Autoscaler::rentable_cores() const {
  double cores = 0;
  for (const bool spot : {true, false}) {
    for (const auto& tier : catalog_.price_tiers(spot)) {
      for (const Pool& pool : tier) {
        if (!rentals_.is_unavailable(pool))
          cores += kMaxMachinesPerRequest * catalog_.type(pool.type)->cpus;
      }
    }
  }
  return cores;
}

double Autoscaler::request_cores(bool spot, double missing, const char* reason, ZoneIndex zone) {
  for (const auto& tier : catalog_.price_tiers(spot)) {
    std::vector<Pool> open;
    for (const Pool& pool : tier) {
      if (!rentals_.is_unavailable(pool) && (zone == jobs::kNoIndex || zone == pool.zone))
        open.push_back(pool);
    }
    // Machines are spread over zones to limit the loss with one zone: the zone with the fewest cores
    // comes first.
    const auto zone_cores = [this](const Pool& pool) {
      return capacity_.cores_in_zone(pool.zone, pool.spot);
    };
    std::stable_sort(open.begin(), open.end(),
                     [&](const Pool& a, const Pool& b) { return zone_cores(a) < zone_cores(b); });
    for (std::size_t i = 0; i < open.size(); ++i) {
      constexpr double kEps = 1e-9;                // machines: tolerance for rounding errors
      constexpr double kMaxMachinesPerPass = 1e5;  // the rest is requested in later passes
      const double machine_cores = catalog_.type(open[i].type)->cpus;
      const double pool_cores = missing / static_cast<double>(open.size() - i);
      int machines =
          static_cast<int>(std::min(std::ceil(pool_cores / machine_cores - kEps), kMaxMachinesPerPass));
      missing -= machines * machine_cores;
      for (; machines > 0; machines -= kMaxMachinesPerRequest)
        request_machines(open[i], std::min(machines, kMaxMachinesPerRequest), reason);
      if (missing <= 0)
        return 0;
    }
  }
  return missing;
}

// Spare cores as a share of the load of arrays. It is larger if capacity is guaranteed: a team may use its
// whole guarantee at once, and with capacity for the usual load only, a surge would have to wait for boots.
double Autoscaler::spare_share() const {
  const settings::Tunables& tunables = settings_.tunables;
  return scheduler_.balancing_enabled() ? std::max(tunables.headroom, tunables.surge_headroom)
                                        : tunables.headroom;
}

void Autoscaler::scale_out() {
  const auto demand = scheduler_.demand_forecast().demand(typical_boot_s());
  // A short peak of the load is not worth a boot. So the demand is smoothed, except for waiting jobs that
  // would be late otherwise.
  constexpr double kFlexibleWeight = 0.03;  // of the latest second in the moving average
  constexpr double kOrdinaryDecay = 0.995;  // per second
  const double flexible_now = demand.flexible;
  smooth_flexible_ = smooth_flexible_ < 0
                         ? flexible_now
                         : smooth_flexible_ + (flexible_now - smooth_flexible_) * kFlexibleWeight;
  smooth_ordinary_ =
      std::max(demand.ordinary, smooth_ordinary_ < 0 ? demand.ordinary : smooth_ordinary_ * kOrdinaryDecay);
  double ordinary = capacity_.cores(false);
  const double spot = capacity_.cores(true);
  const double headroom = settings_.tunables.headroom;
  const double flexible = std::max(smooth_flexible_ * (1 + spare_share()), flexible_now);
  // Services get a reserve of half of the largest machine, for the loss of a machine.
  const double needed_ordinary =
      demand.ordinary > 0 ? demand.ordinary * (1 + headroom / 2) + capacity_.largest_machine_cores() / 2 : 0;
  const double needed_total = demand.ordinary * (1 + headroom / 2) + flexible;
  spdlog::debug(
      "autoscaler: demand ordinary_cores={:.0f} waiting_ordinary_cores={:.0f} flexible_cores={:.0f} "
      "waiting_flexible_cores={:.0f} mean_flexible_cores={:.0f} rented_ordinary_cores={:.0f} "
      "rented_spot_cores={:.0f} needed_ordinary_cores={:.0f} needed_cores={:.0f}",
      demand.ordinary, demand.waiting_ordinary, demand.flexible, demand.waiting_flexible, smooth_flexible_,
      ordinary, spot, needed_ordinary, needed_total);
  // Missing cores of ordinary machines are requested first; spot machines then cover the rest.
  double missing = needed_ordinary - ordinary;
  if (missing > 0) {
    request_cores(false, missing, "ordinary work");
    ordinary += missing;
  }
  missing = needed_total - ordinary - spot;
  // Draining machines are used again before other machines are rented.
  for (const MachineIndex index : draining_machines_) {
    Machine& machine = workers_.machine_at(index);
    if (missing <= 0 || machine.gone || machine.being_returned || !machine.draining)
      continue;
    machine.draining = false;
    workers_.mark_changed(machine);
    missing -= machine.cpus;
  }
  if (missing > 0) {
    const double not_requested = request_cores(true, missing, "load");
    if (not_requested > 0 && demand.waiting_flexible > 0)
      request_cores(false, std::min(not_requested, demand.waiting_flexible),
                    "load, no spot machines available");
  }
  if (settings_.tunables.zone_tracking)
    scale_out_restricted_jobs();
  for (const JobIndex index : scheduler_.waiting_jobs()) {
    if (const jobs::Job* job = registry_.job_at(index))
      scale_out_for_job(*job);
  }
  scale_out_for_room();
}

// Requests machines for replicas that only one zone may run, because the other zones are unreachable or
// already run half of the service. Free capacity in other zones does not help them (the test
// LostZone.WithTheLeaderInside guards against this).
void Autoscaler::scale_out_restricted_jobs() {
  std::vector<double> needed_cores(registry_.zones.size(), 0);
  for (const JobIndex index : scheduler_.waiting_jobs()) {
    const jobs::Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || job->is_held() || !job->is_service() || !job->spec.spread_zones ||
        job->spec.allows_spot || job->pending_tasks.empty() || out_.now() - job->eligible_since < 1 ||
        !scheduler_.filters().admits(*job))
      continue;
    ZoneIndex admitted_zone = jobs::kNoIndex;
    std::size_t admitted = 0;
    for (ZoneIndex zone{0}; zone < needed_cores.size(); ++zone) {
      if (zone_unreachable(zone) || !scheduler_.filters().zones().admits_zone(zone, *job))
        continue;
      ++admitted;
      admitted_zone = zone;
    }
    if (admitted != 1)
      continue;
    const std::uint32_t placed =
        admitted_zone < job->placed_by_zone.size() ? job->placed_by_zone[admitted_zone] : 0;
    const std::size_t allowed = (job->spec.tasks + 1) / 2 - placed;
    needed_cores[admitted_zone] +=
        job->spec.task_resources.cpus * static_cast<double>(std::min(job->pending_tasks.size(), allowed));
  }
  for (ZoneIndex zone{0}; zone < needed_cores.size(); ++zone) {
    if (needed_cores[zone] > capacity_.free_ordinary_cores(zone))
      request_cores(false, needed_cores[zone] - capacity_.free_ordinary_cores(zone),
                    "replicas that no other zone may run", zone);
  }
}

// Requests machines for a job that the rented and requested machines cannot run, and for a job that only some
// machine types or zones may run and that has waited for too long.
void Autoscaler::scale_out_for_job(const jobs::Job& job) {
  if (!job.is_open() || job.pending_tasks.empty() || out_.now() - job.eligible_since < 1 ||
      out_.now() < job.not_before || !settings_.find_team(job.team))
    return;
  // A gang needs capacity for all its tasks at once, in one zone if its tasks must share a zone.
  const double needed_tasks = job.is_gang() ? static_cast<double>(job.pending_tasks.size()) : 1;
  auto task_capacity = [&](std::optional<ZoneIndex> zone) {
    double tasks = 0;
    for (const auto& [pool, capacity] : capacity_.by_pool()) {
      if (zone && pool.zone != *zone)
        continue;
      if (filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
        tasks += capacity.machines * tasks_per_machine(catalog_.type(pool.type), job);
    }
    return tasks;
  };
  const bool in_one_zone = job.is_gang() && job.spec.same_zone;
  // Renting by the demand forecast counts every idle machine as capacity, whether this job may use it or not.
  // So machines are requested specifically for a job that only some machine types or zones may run if it
  // still waits after the time of a boot. This is repeated at most once in that time, so that the machines
  // can come up.
  const bool restricted = !job.is_gang() && (!job.types.empty() || job.zone != jobs::kNoIndex);
  if (restricted && out_.now() - job.eligible_since > typical_boot_s() &&
      out_.now() - restricted_job_requested_at_[job.index] > typical_boot_s()) {
    restricted_job_requested_at_[job.index] = out_.now();
    if (request_for_job(job, static_cast<double>(job.pending_tasks.size()) *
                                 scheduler_.demand_forecast().urgent_fraction(job, typical_boot_s())))
      return;
  }
  if (!in_one_zone && task_capacity({}) >= needed_tasks)
    return;
  for (ZoneIndex zone{0}; in_one_zone && zone < registry_.zones.size(); ++zone) {
    if (task_capacity(zone) >= needed_tasks)
      return;
  }
  const std::optional<Pool> pool = cheapest_pool(job);
  if (!pool)
    return;
  const double missing_tasks =
      needed_tasks - task_capacity(in_one_zone ? std::optional<ZoneIndex>(pool->zone) : std::nullopt);
  request_for_tasks(job, *pool, missing_tasks, "a job that fits no other machine");
}

std::optional<Pool> Autoscaler::cheapest_pool(const jobs::Job& job) const {
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : catalog_.price_tiers(as_spot)) {
      for (const Pool& pool : tier) {
        if (!rentals_.is_unavailable(pool) && tasks_per_machine(catalog_.type(pool.type), job) >= 1 &&
            filters::placement_allowed(job, pool.type, pool.zone, pool.spot) &&
            scheduler_.filters().zones().admits_zone(pool.zone, job))
          return pool;
      }
    }
  }
  return std::nullopt;
}

bool Autoscaler::request_for_job(const jobs::Job& job, double tasks) {
  const std::optional<Pool> pool = cheapest_pool(job);
  if (pool)
    request_for_tasks(job, *pool, tasks, "a job that few machines may run");
  return pool.has_value();
}

void Autoscaler::request_for_tasks(const jobs::Job& job, const Pool& pool, double tasks, const char* reason) {
  const double machines = std::ceil(tasks / tasks_per_machine(catalog_.type(pool.type), job));
  request_machines(pool, static_cast<int>(std::clamp<double>(machines, 1, kMaxMachinesPerRequest)), reason);
}

void Autoscaler::request_machines(const Pool& pool, int count, const char* reason) {
  const int requested = rentals_.add(pool, count, reason);
  if (requested == 0)
    return;
  const wire::MachineType* type = catalog_.type(pool.type);
  capacity_.add_requested(pool, type ? type->cpus : 0, requested);
}

}  // namespace wingtrail::autoscaling
