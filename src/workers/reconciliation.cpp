/// @file
/// Reconciliation after a failover: machines are fenced one by one, and the tasks that a fenced machine
/// lists are certainly placed there.
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {

// Called when the worker has confirmed this leader's fencing token, so that no command of an earlier leader
// can take effect on the machine any more.
void WorkerManager::mark_fenced(Machine& machine) {
  if (machine.fenced)
    return;
  machine.fenced = true;
  update_heartbeat_expected(machine);
  update_unreconciled(machine);
  mark_changed(machine);
  // The machine's tasks are certain now, so stray instances of the same tasks on other machines are stopped.
  // Until now each of them could have been the only instance.
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
