#include "filters/placement_constraints.hpp"

#include <algorithm>

namespace wingtrail::filters {

bool placement_allowed(const jobs::Job& job, jobs::MachineTypeIndex type, jobs::ZoneIndex zone, bool spot) {
  if (spot && !job.spec.allows_spot)
    return false;
  if (job.zone != jobs::kNoIndex && job.zone != zone)
    return false;
  return job.types.empty() || std::find(job.types.begin(), job.types.end(), type) != job.types.end();
}

}  // namespace wingtrail::filters
