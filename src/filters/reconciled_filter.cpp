#include "filters/reconciled_filter.hpp"

#include <algorithm>
#include <utility>

#include "filters/placement_constraints.hpp"

namespace wingtrail::filters {

ReconciledFilter::ReconciledFilter(const workers::WorkerManager& workers,
                                   std::function<std::uint64_t()> fencing_token)
    : workers_(workers), fencing_token_(std::move(fencing_token)) {}

bool ReconciledFilter::admits(const Job& job) const {
  // WorkerManager adopts a stray instance as soon as its task is pending, so there should be none here. If
  // there is one all the same, the task must not start beside it.
  if (!job.pending_tasks.empty() && workers_.has_stray_instance(job.spec.ref, job.pending_tasks.back()))
    return false;
  // The zones of the placed tasks decide in which zone the next one may start. While there is a stray
  // instance, it is not certain which of the two machines really runs the task, hence not in which zone.
  if ((job.spec.same_zone || job.spec.spread_zones) && workers_.has_stray_instance(job.spec.ref))
    return false;
  // Jobs that were created under this leadership cannot have been started by an earlier one.
  if (job.created_revision > fencing_token_() || workers_.reconciled())
    return true;
  return std::none_of(workers_.unreconciled_groups().begin(), workers_.unreconciled_groups().end(),
                      [&](const workers::WorkerManager::UnreconciledGroup& group) {
                        return group.unfenced > 0 &&
                               placement_allowed(job, group.type, group.zone, group.spot);
                      });
}

}  // namespace wingtrail::filters
