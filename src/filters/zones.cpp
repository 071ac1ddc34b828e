#include "filters/filter.hpp"

namespace wingtrail::filters {

bool ZoneFilter::admits_zone(ZoneIndex zone, const Job& job) const {
  const std::uint32_t here = zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0;
  // All that is placed must be here. Late reports of machines that are gone can make tasks seem to be in two
  // zones at once; as long as they do, neither is certain (seed 30320 placed some in each).
  if (job.spec.same_zone && here != job.placed_tasks)
    return false;
  return !job.spec.spread_zones || here + 1 <= (job.spec.tasks + 1) / 2;
}

}  // namespace wingtrail::filters
