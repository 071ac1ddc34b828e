// The order in which waiting jobs are served.
#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {

// Jobs within their team's guarantee come first, then jobs of higher priority, then the cell's own jobs, then
// jobs that can still meet their deadlines. A known weakness: a team that submits very many jobs within its
// guarantee has its reservations served before those of all other teams.
bool Scheduler::precedes(const Job& a, const Job& b) const {
  const bool guaranteed_a = within_guarantee(a), guaranteed_b = within_guarantee(b);
  if (guaranteed_a != guaranteed_b)
    return guaranteed_a;
  if (a.effective_priority != b.effective_priority)
    return a.effective_priority > b.effective_priority;
  if (a.origin_cell.empty() != b.origin_cell.empty())
    return a.origin_cell.empty();
  // After the loss of a zone many services lack replicas at once. Services without any replica left come
  // first, then those that have lost the most (replica_loss_rank). At equal rank the service with the
  // smallest image comes first, since that image is fetched soonest.
  if (zones_unstable_ && a.is_service() && b.is_service()) {
    const int rank_a = zones::replica_loss_rank(a.spec.tasks, a.placed_tasks);
    const int rank_b = zones::replica_loss_rank(b.spec.tasks, b.placed_tasks);
    if (rank_a != rank_b)
      return rank_a < rank_b;
    if (a.spec.image_gb != b.spec.image_gb)
      return a.spec.image_gb < b.spec.image_gb;
  }
  // The order by cost depends on the estimated run times. It is used only in clusters with guaranteed
  // capacity, since elsewhere most estimates are wrong.
  if (balancing_enabled_) {
    const double cost_a = objectives_.cost_per_deadline(a), cost_b = objectives_.cost_per_deadline(b);
    return cost_a != cost_b ? cost_a < cost_b : a.index < b.index;
  }
  // Jobs that have missed fewer deadlines come first, and among these the one with the least work left. When
  // not all jobs can be in time, this order completes the most in time.
  const int missed_a = objectives_.missed_deadlines(a), missed_b = objectives_.missed_deadlines(b);
  if (missed_a != missed_b)
    return missed_a < missed_b;
  const double remaining_a = objectives_.remaining_core_s(a), remaining_b = objectives_.remaining_core_s(b);
  return remaining_a != remaining_b ? remaining_a < remaining_b : a.index < b.index;
}

}  // namespace wingtrail::scheduling
