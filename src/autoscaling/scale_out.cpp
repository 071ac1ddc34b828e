// Scaling out: how many machines to request, in which pools.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "autoscaling/autoscaler.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::autoscaling {
namespace {

// How many of the job's tasks fit on an empty machine of the type; 0: the type is unknown.
double tasks_per_machine(const wire::MachineType* type, const jobs::Job& job) {
  constexpr double kEps = 1e-9;
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
      for (const Pool& pool : tier)
        cores += rentals_.is_unavailable(pool) ? 0 : kMaxMachinesPerRequest * catalog_.type(pool.type)->cpus;
    }
  }
  return cores;
}

// Requests that many cores of a kind, in the zone if one is named.
double Autoscaler::request_cores(bool spot, double missing, const char* reason, ZoneIndex zone) {
  for (const auto& tier : catalog_.price_tiers(spot)) {
    std::vector<Pool> open;
    for (const Pool& pool : tier) {
      if (!rentals_.is_unavailable(pool) && (zone == jobs::kNoIndex || zone == pool.zone))
        open.push_back(pool);
    }
    // Spreading over zones limits what a zone can take away: the one with the fewest cores comes first.
    const auto zone_cores = [this](const Pool& pool) {
      return capacity_.cores_in_zone(pool.zone, pool.spot);
    };
    std::stable_sort(open.begin(), open.end(),
                     [&](const Pool& a, const Pool& b) { return zone_cores(a) < zone_cores(b); });
    for (std::size_t i = 0; i < open.size(); ++i) {
      const double each = catalog_.type(open[i].type)->cpus;
      int n = static_cast<int>(std::ceil(missing / static_cast<double>(open.size() - i) / each - 1e-9));
      missing -= n * each;
      for (; n > 0; n -= kMaxMachinesPerRequest)
        request_machines(open[i], std::min(n, kMaxMachinesPerRequest), reason);
      if (missing <= 0)
        return 0;
    }
  }
  return missing;
}

// The share of spare cores beyond the load of arrays. A team may use its guarantee at once, and a surge that
// meets a fleet of the usual load's size waits for boots.
double Autoscaler::spare_share() const {
  const settings::Tunables& t = settings_.tunables;
  return scheduler_.balancing_enabled() ? std::max(t.headroom, t.surge_headroom) : t.headroom;
}

void Autoscaler::scale_out() {
  const auto demand = scheduler_.demand_forecast().demand(typical_boot_s());
  // Short swings are not worth a boot: the load counts as its recent mean, and beyond that what waits and
  // would be late otherwise.
  constexpr double kFlexibleWeight = 0.03;  // of the latest second in the mean
  constexpr double kOrdinaryDecay = 0.995;  // a second
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
  // Services have the loss of one machine in reserve.
  const double needed_ordinary =
      demand.ordinary > 0 ? demand.ordinary * (1 + headroom / 2) + capacity_.largest_machine_cores() / 2 : 0;
  const double needed_total = demand.ordinary * (1 + headroom / 2) + flexible;
  spdlog::debug(
      "autoscaler: demand ordinary_cores={:.0f} waiting_ordinary_cores={:.0f} flexible_cores={:.0f} "
      "waiting_flexible_cores={:.0f} mean_flexible_cores={:.0f} rented_ordinary_cores={:.0f} "
      "rented_spot_cores={:.0f} needed_ordinary_cores={:.0f} needed_cores={:.0f}",
      demand.ordinary, demand.waiting_ordinary, demand.flexible, demand.waiting_flexible, smooth_flexible_,
      ordinary, spot, needed_ordinary, needed_total);
  // A missing part of a machine is not worth one, except for work that waits.
  double missing = needed_ordinary - ordinary;
  if (missing > 0) {
    request_cores(false, missing, "ordinary work");
    ordinary += missing;
  }
  missing = needed_total - ordinary - spot;
  // Draining machines are used again before others are rented.
  for (const MachineIndex index : draining_machines_) {
    Machine& machine = workers_.machine_at(index);
    if (missing <= 0 || machine.gone || machine.being_returned || !machine.draining)
      continue;
    machine.draining = false;
    workers_.mark_changed(machine);
    missing -= machine.cpus;
  }
  if (missing > 0) {
    const double left = request_cores(true, missing, "load");
    if (left > 0 && demand.waiting_flexible > 0)
      request_cores(false, std::min(left, demand.waiting_flexible), "load, no spot to be had");
  }
  if (settings_.tunables.zone_tracking)
    scale_out_restricted_jobs();
  for (const JobIndex index : scheduler_.waiting_jobs()) {
    if (const jobs::Job* job = registry_.job_at(index))
      scale_out_for_job(*job);
  }
}

// Replicas that only one zone may take, since the others hold their half already, need capacity in that zone;
// capacity elsewhere does not help them, however much there is (LostZone.WithTheLeaderInside).
void Autoscaler::scale_out_restricted_jobs() {
  std::vector<double> needed_cores(registry_.zones.size(), 0);
  for (const JobIndex index : scheduler_.waiting_jobs()) {
    const jobs::Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || job->is_held() || !job->is_service() || !job->spec.spread_zones ||
        job->spec.allows_spot || job->pending_tasks.empty() || out_.now() - job->eligible_since < 1 ||
        !scheduler_.filters().admits(*job))
      continue;
    ZoneIndex only = jobs::kNoIndex;
    std::size_t open = 0;
    for (ZoneIndex zone{0}; zone < needed_cores.size(); ++zone) {
      if (zone_unreachable(zone) || !scheduler_.filters().zones().admits_zone(zone, *job))
        continue;
      ++open;
      only = zone;
    }
    if (open != 1)
      continue;
    const std::uint32_t here = only < job->placed_by_zone.size() ? job->placed_by_zone[only] : 0;
    const std::size_t most = (job->spec.tasks + 1) / 2 - here;
    needed_cores[only] +=
        job->spec.task_resources.cpus * static_cast<double>(std::min(job->pending_tasks.size(), most));
  }
  for (ZoneIndex zone{0}; zone < needed_cores.size(); ++zone) {
    if (needed_cores[zone] > capacity_.free_ordinary_cores(zone))
      request_cores(false, needed_cores[zone] - capacity_.free_ordinary_cores(zone),
                    "replicas that no other zone may take", zone);
  }
}

// Requests machines for a job that no present or requested machine may run.
void Autoscaler::scale_out_for_job(const jobs::Job& job) {
  if (!job.is_open() || job.pending_tasks.empty() || out_.now() - job.eligible_since < 1 ||
      out_.now() < job.not_before)
    return;
  // A gang needs capacity for all its tasks at once, and in one zone if it must stay together.
  const double needed = job.is_gang() ? static_cast<double>(job.pending_tasks.size()) : 1;
  auto present = [&](std::optional<ZoneIndex> zone) {
    double tasks = 0;
    for (const auto& [pool, capacity] : capacity_.by_pool()) {
      if (zone && pool.zone != *zone)
        continue;
      if (filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
        tasks += capacity.machines * tasks_per_machine(catalog_.type(pool.type), job);
    }
    return tasks;
  };
  const bool together = job.is_gang() && job.spec.same_zone;
  // Renting by load counts any idle machine as capacity. A job that only some types or zones may run, and
  // that still waits after the time of a boot, gets machines of its own; once in that time, so that they can
  // come up.
  const bool restricted = !job.is_gang() && (!job.types.empty() || job.zone != jobs::kNoIndex);
  if (restricted && out_.now() - job.eligible_since > typical_boot_s() &&
      out_.now() - restricted_job_requested_at_[job.index] > typical_boot_s()) {
    restricted_job_requested_at_[job.index] = out_.now();
    if (request_for_job(job, static_cast<double>(job.pending_tasks.size()) *
                                 scheduler_.demand_forecast().urgent_fraction(job, typical_boot_s())))
      return;
  }
  if (!together && present({}) >= needed)
    return;
  for (ZoneIndex zone{0}; together && zone < registry_.zones.size(); ++zone) {
    if (present(zone) >= needed)
      return;
  }
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : catalog_.price_tiers(as_spot)) {
      for (const Pool& pool : tier) {
        const double each = tasks_per_machine(catalog_.type(pool.type), job);
        if (rentals_.is_unavailable(pool) || each < 1 ||
            !filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
          continue;
        const double lacking =
            needed - present(together ? std::optional<ZoneIndex>(pool.zone) : std::nullopt);
        return request_machines(
            pool, std::clamp(static_cast<int>(std::ceil(lacking / each)), 1, kMaxMachinesPerRequest),
            "a job that fits no other machine");
      }
    }
  }
}

// Machines for that many of the job's tasks, in the cheapest pool that it may use.
bool Autoscaler::request_for_job(const jobs::Job& job, double tasks) {
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : catalog_.price_tiers(as_spot)) {
      for (const Pool& pool : tier) {
        const wire::MachineType* t = catalog_.type(pool.type);
        if (rentals_.is_unavailable(pool) || !t ||
            !filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
          continue;
        const wire::Resources& n = job.spec.task_resources;
        if (n.cpus > t->cpus || n.gpus > t->gpus || n.memory_gb > t->memory_gb)
          continue;
        const double each = std::max(1.0, std::floor(std::min(t->cpus / std::max(n.cpus, 1e-9),
                                                              t->memory_gb / std::max(n.memory_gb, 1e-9))));
        request_machines(pool,
                         std::clamp(static_cast<int>(std::ceil(tasks / each)), 1, kMaxMachinesPerRequest),
                         "a job that few machines may run");
        return true;
      }
    }
  }
  return false;
}

void Autoscaler::request_machines(const Pool& pool, int count, const char* reason) {
  const int requested = rentals_.add(pool, count, reason);
  if (requested == 0)
    return;
  const wire::MachineType* type = catalog_.type(pool.type);
  capacity_.add_requested(pool, type ? type->cpus : 0, requested);
}

}  // namespace wingtrail::autoscaling
