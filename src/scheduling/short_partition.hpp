/// @file
/// Hawk's short partition: machines that do not accept long tasks.
#pragma once

#include "workers/worker_manager.hpp"

namespace wingtrail::scheduling {

/// Chooses the machines of the partition, a share (0 to 1) of all machines that are up. Spot machines come
/// first, since they do not accept services in any case. If there are too few, ordinary machines are added,
/// those known for the longest time first. The partition is empty while
/// more spot machines are up than the share allows.
void update_short_partition(workers::WorkerManager& workers, double share);

}  // namespace wingtrail::scheduling
