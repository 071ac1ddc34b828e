#include <algorithm>

#include "filters/filter.hpp"

namespace wingtrail::filters {

// A task that an earlier leader could have started waits until it is known not to run: until every machine
// that it was allowed on is settled.
bool ReconciledFilter::admits(const Job& job) const {
  // Agents::claim leaves no pending task that a machine shows; were there one, it must not start beside that.
  if (!job.pending_tasks.empty() && workers_.has_stray_instance(job.spec.ref, job.pending_tasks.back()))
    return false;
  // Where its tasks are decides in which zone others may start, and of a copy only the machine is known that
  // does not have the place (seed 2000100: half of a spread service in one zone, and one more).
  if ((job.spec.same_zone || job.spec.spread_zones) && workers_.has_stray_instance(job.spec.ref))
    return false;
  if (job.created_revision > fencing_token_() || workers_.reconciled())
    return true;
  return std::none_of(workers_.unreconciled_groups().begin(), workers_.unreconciled_groups().end(),
                      [&](const workers::WorkerManager::UnreconciledGroup& d) {
                        return d.unfenced > 0 && placement_allowed(job, d.type, d.zone, d.spot);
                      });
}

}  // namespace wingtrail::filters
