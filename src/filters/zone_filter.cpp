#include "filters/zone_filter.hpp"

namespace wingtrail::filters {

bool ZoneFilter::admits_zone(ZoneIndex zone, const Job& job) const {
  const std::uint32_t placed_here = zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0;
  // All placed tasks must be in this zone. Late heartbeats of machines that are gone can make tasks appear
  // in two zones at once. Then neither zone is certain, and both are refused.
  if (job.spec.same_zone && placed_here != job.placed_tasks)
    return false;
  return !job.spec.spread_zones || placed_here + 1 <= (job.spec.tasks + 1) / 2;
}

}  // namespace wingtrail::filters
