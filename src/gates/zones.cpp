#include "gates/gate.hpp"

namespace wingtrail::gates {

bool Zones::open_in(Ix zone, const Job& job) const {
  const std::uint32_t here = zone < job.in_zone.size() ? job.in_zone[zone] : 0;
  // All that is placed must be here. Late reports of machines that are gone can make tasks seem to be in two
  // zones at once; as long as they do, neither is certain (seed 30320 placed some in each).
  if (job.spec.one_zone && here != job.placed)
    return false;
  return !job.spec.spread || here + 1 <= (job.spec.tasks + 1) / 2;
}

}  // namespace wingtrail::gates
