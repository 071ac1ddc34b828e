#include "filters/reconciled_filter.hpp"

#include <algorithm>
#include <utility>

#include "filters/placement_constraints.hpp"

namespace wingtrail::filters {

ReconciledFilter::ReconciledFilter(const workers::WorkerManager& workers,
                                   std::function<std::uint64_t()> fencing_token)
    : workers_(workers), fencing_token_(std::move(fencing_token)) {}

bool ReconciledFilter::admits(const Job& job) const {
  // WorkerManager adopts a stray instance as soon as its task becomes pending, so a pending task should have
  // none. If it has one nevertheless, the task must not be started a second time.
  if (!job.pending_tasks.empty() && workers_.has_stray_instance(job.spec.ref, job.pending_tasks.back()))
    return false;
  // The zones of the placed tasks decide in which zone the next task may start. While a task has a stray
  // instance, it is not certain which of the two machines runs it, and so in which zone.
  if ((job.spec.same_zone || job.spec.spread_zones) && workers_.has_stray_instance(job.spec.ref))
    return false;
  // A job that was created under this leadership cannot have been started by an earlier leader. Fencing
  // tokens are revisions of the state service, so a later creation revision is higher.
  if (job.created_revision > fencing_token_() || workers_.reconciled())
    return true;
  return std::none_of(workers_.unreconciled_groups().begin(), workers_.unreconciled_groups().end(),
                      [&](const workers::WorkerManager::UnreconciledGroup& group) {
                        return group.unfenced > 0 &&
                               placement_allowed(job, group.type, group.zone, group.spot);
                      });
}

}  // namespace wingtrail::filters
