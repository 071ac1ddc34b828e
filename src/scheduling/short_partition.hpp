/// \file
/// Hawk's short partition: machines that refuse long tasks.
#pragma once

#include "workers/worker_manager.hpp"

namespace wingtrail::scheduling {

/// Sets which machines are in the partition, `share` of all that are up. Spot machines take no services
/// anyway and so are its natural part; ordinary ones make up the rest, the longest known first.
void update_short_partition(workers::WorkerManager& workers, double share);

}  // namespace wingtrail::scheduling
