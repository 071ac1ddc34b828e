#include "filters/zone_filter.hpp"

namespace wingtrail::filters {

bool ZoneFilter::admits_zone(ZoneIndex zone, const Job& job) const {
  const std::uint32_t placed_in_zone = zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0;
  // With `same_zone`, the zone must hold every task that is placed. A late heartbeat of a machine that was
  // already marked as gone can make the job's tasks appear in two zones. Then every zone is refused, since it
  // is uncertain in which one the tasks run.
  if (job.spec.same_zone && placed_in_zone != job.placed_tasks)
    return false;
  return !job.spec.spread_zones || placed_in_zone + 1 <= (job.spec.tasks + 1) / 2;
}

}  // namespace wingtrail::filters
