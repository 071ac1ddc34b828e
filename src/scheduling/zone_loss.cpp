#include "scheduling/zone_loss.hpp"

#include <algorithm>

namespace wingtrail::scheduling {

using jobs::Job;
using jobs::ZoneIndex;

namespace {

std::uint32_t placed_in_zone(const Job& job, ZoneIndex zone) {
  return zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0;
}

}  // namespace

std::uint32_t tasks_within_zone_loss_bound(const Job& job, std::uint32_t limit,
                                           const jobs::JobRegistry& registry,
                                           const workers::WorkerManager& workers, ports::Seconds now,
                                           ZoneIndex without) {
  if (!job.spec.spread_zones)
    return limit;
  std::uint32_t allowed = 0;
  for (ZoneIndex zone{0}; zone < registry.zones.size(); ++zone) {
    if (zone == without || workers.zones().is_unreachable(zone, now))
      continue;
    const std::uint32_t placed = placed_in_zone(job, zone);
    const std::uint32_t zone_limit = (job.spec.tasks + 1) / 2;
    allowed += zone_limit > placed ? zone_limit - placed : 0;
  }
  return std::min(limit, allowed);
}

ZoneLossImpact zone_loss_impact(ZoneIndex zone, jobs::JobRegistry& registry, workers::WorkerManager& workers,
                                ports::Seconds now) {
  ZoneLossImpact loss;
  registry.for_each([&](const Job& job) {
    const std::uint32_t placed = placed_in_zone(job, zone);
    if (!job.is_open() || placed == 0)
      return;
    if (job.is_service()) {
      ++loss.services_affected;
      loss.services_without_replicas += job.placed_tasks == placed;
    }
    loss.cores_in_use += placed * job.spec.task_resources.cpus;
    if (job.zone != zone) {
      loss.cores_movable += tasks_within_zone_loss_bound(job, placed, registry, workers, now, zone) *
                            job.spec.task_resources.cpus;
    }
  });
  for (const workers::PlacementIndex::Pool& pool : workers.placement_index().pools()) {
    if (pool.zone == zone)
      continue;
    for (const auto& [free_cores, machine] : pool.all_machines.by_free_cores)
      loss.cores_free_elsewhere += free_cores;
  }
  return loss;
}

}  // namespace wingtrail::scheduling
