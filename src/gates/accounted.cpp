#include <algorithm>

#include "gates/gate.hpp"

namespace wingtrail::gates {

// A task that an earlier leader could have started waits until it is known not to run: until every machine
// that it was allowed on is settled.
bool Accounted::open(const Job& job) const {
  // Agents::claim leaves no pending task that a machine shows; were there one, it must not start beside that.
  if (!job.pending.empty() && agents_.holds_unplaced(job.spec.ref, job.pending.back()))
    return false;
  // Where its tasks are decides in which zone others may start, and of a copy only the machine is known that
  // does not have the place (seed 2000100: half of a spread service in one zone, and one more).
  if ((job.spec.one_zone || job.spec.spread) && agents_.holds_unplaced(job.spec.ref))
    return false;
  if (job.created > token_() || agents_.clear())
    return true;
  return std::none_of(agents_.doubts().begin(), agents_.doubts().end(), [&](const agents::Agents::Doubt& d) {
    return d.unsettled > 0 && allowed(job, d.type, d.zone, d.spot);
  });
}

}  // namespace wingtrail::gates
