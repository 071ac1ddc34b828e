/// @file
/// The impact of losing a zone, and the limit on the tasks in one zone for jobs that spread over zones.
#pragma once

#include "workers/worker_manager.hpp"

namespace wingtrail::scheduling {

/// What is lost with a zone, and how much of it other zones can replace.
struct ZoneLossImpact {
  std::size_t services_affected = 0;          ///< services that lose replicas
  std::size_t services_without_replicas = 0;  ///< services that lose all their replicas
  double cores_in_use = 0;                    ///< cores in use in the zone
  double cores_movable = 0;  ///< of `cores_in_use`, those of tasks that may run in other reachable zones
  double cores_free_elsewhere = 0;  ///< cores that are free in other reachable zones now
};

/// The impact of losing the zone at the time `now`. Visits all jobs and machines.
ZoneLossImpact zone_loss_impact(jobs::ZoneIndex zone, jobs::JobRegistry& registry,
                                workers::WorkerManager& workers, ports::Seconds now);

/// How many more of the job's tasks the reachable zones may run, at most `limit`. A job that spreads over
/// zones may have at most half of its tasks in one zone. The zone `without` counts as unreachable and its
/// tasks as lost.
std::uint32_t tasks_within_zone_loss_bound(const jobs::Job& job, std::uint32_t limit,
                                           const jobs::JobRegistry& registry,
                                           const workers::WorkerManager& workers, ports::Seconds now,
                                           jobs::ZoneIndex without = jobs::kNoIndex);

}  // namespace wingtrail::scheduling
