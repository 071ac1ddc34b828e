/// \file
/// Reconciliation after a take-over: machines become fenced one by one, and what they show becomes certain.
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {

// The worker has our fencing token, so no command of an earlier leader can take effect any more.
void WorkerManager::mark_fenced(Machine& machine) {
  if (machine.fenced)
    return;
  machine.fenced = true;
  update_expected(machine);
  update_unreconciled(machine);
  mark_changed(machine);
  // What it shows is certain now. Stray instances of the same tasks on other machines were left alone until
  // now, since each could have been the only one.
  if (!strays_.empty()) {
    for (const Allocation& allocation : machine.allocations) {
      if (const jobs::Job* job = registry_.job_at(allocation.job); job && allocation.occupies_machine)
        stop_strays(job->spec.ref, allocation.task);
    }
  }
  if (machine.has_incarnation && machine.in_inventory)
    events_.on_available(machine);
}

void WorkerManager::update_unreconciled(Machine& machine) {
  unreconciled_.update(machine, out_.now());
}

}  // namespace wingtrail::workers
