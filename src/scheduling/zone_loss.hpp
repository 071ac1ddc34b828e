/// \file
/// What the loss of a zone takes, and how the replicas of spread services are bounded against it.
#pragma once

#include "workers/worker_manager.hpp"

namespace wingtrail::scheduling {

/// What the loss of a zone takes, and what can be made good elsewhere.
struct ZoneLossImpact {
  std::size_t services_affected = 0;          ///< that lose replicas
  std::size_t services_without_replicas = 0;  ///< of these, the ones that have none left then
  double cores_in_use = 0;                    ///< in use there
  double cores_movable = 0;                   ///< of these, what may run in zones within reach
  double cores_free_elsewhere = 0;            ///< free there now
};

/// Walks over all jobs and machines.
ZoneLossImpact zone_loss_impact(jobs::ZoneIndex zone, jobs::JobRegistry& registry,
                                workers::WorkerManager& workers, ports::Seconds now);

/// How many more of the job's tasks zones within reach may take, at most `limit`. The zone `without` counts
/// as out of reach, with what it holds gone.
std::uint32_t tasks_within_zone_loss_bound(const jobs::Job& job, std::uint32_t limit,
                                           const jobs::JobRegistry& registry,
                                           const workers::WorkerManager& workers, ports::Seconds now,
                                           jobs::ZoneIndex without = jobs::kNoIndex);

}  // namespace wingtrail::scheduling
