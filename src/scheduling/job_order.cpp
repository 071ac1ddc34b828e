// Which of two waiting jobs is served first.
#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {

// Guarantees come first (DESIGN names this weakness: a team that submits very many jobs queues its
// reservations ahead of everyone's), then priority, then what can still be in time.
bool Scheduler::precedes(const Job& a, const Job& b) const {
  const bool guaranteed_a = within_guarantee(a), guaranteed_b = within_guarantee(b);
  if (guaranteed_a != guaranteed_b)
    return guaranteed_a;
  if (a.effective_priority != b.effective_priority)
    return a.effective_priority > b.effective_priority;
  if (a.origin_cell.empty() != b.origin_cell.empty())
    return a.origin_cell.empty();
  // After a zone is lost many services lack replicas at once: first those that serve nobody, and of these the
  // ones with the shortest fetch.
  if (zones_unstable_ && a.is_service() && b.is_service()) {
    const int missed_a = zones::replica_loss_rank(a.spec.tasks, a.placed_tasks);
    const int missed_b = zones::replica_loss_rank(b.spec.tasks, b.placed_tasks);
    if (missed_a != missed_b)
      return missed_a < missed_b;
    if (a.spec.image_gb != b.spec.image_gb)
      return a.spec.image_gb < b.spec.image_gb;
  }
  // Only where capacity is guaranteed: elsewhere estimates are mostly wrong, and they decide this order.
  if (balancing_enabled_) {
    const double cost_a = objectives_.cost_per_deadline(a), cost_b = objectives_.cost_per_deadline(b);
    return cost_a != cost_b ? cost_a < cost_b : a.index < b.index;
  }
  // One that can still meet its class's first objective goes first, and of these the one with the least work
  // left: that serves the most users in time when not all can be.
  const int missed_a = objectives_.missed_deadlines(a), missed_b = objectives_.missed_deadlines(b);
  if (missed_a != missed_b)
    return missed_a < missed_b;
  const double remaining_a = objectives_.remaining_core_s(a), remaining_b = objectives_.remaining_core_s(b);
  return remaining_a != remaining_b ? remaining_a < remaining_b : a.index < b.index;
}

}  // namespace wingtrail::scheduling
