/// @file
/// Placement and release of allocations. A task of an open job has at most one placement at a time: the
/// allocation whose `job` is set. Every other allocation of the task is a stray instance, which is either
/// stopped, or becomes the placement once the task has no other.
#include <algorithm>
#include <utility>

#include "workers/resources.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {

void WorkerManager::add_stray(Machine& machine, const Allocation& allocation) {
  ++machine.stray_instance_count;
  strays_.add(machine, allocation);
  update_unreconciled(machine);
}

void WorkerManager::remove_stray(Machine& machine, const Allocation& allocation) {
  --machine.stray_instance_count;
  strays_.remove(machine, allocation);
  update_unreconciled(machine);
}

Allocation* WorkerManager::find_stray(MachineIndex machine, const std::string& job_ref, std::uint32_t task) {
  for (Allocation& allocation : machines_[machine].allocations) {
    if (allocation.job == kNoIndex && allocation.occupies_machine && allocation.task == task &&
        allocation.belongs_to(job_ref))
      return &allocation;
  }
  return nullptr;
}

// Whether the task may be placed on its machine only because of an outdated heartbeat: the machine is not
// fenced, so the heartbeat may have been sent under an earlier leader.
bool WorkerManager::placement_uncertain(const jobs::Task& task) const {
  return task.state == jobs::TaskState::placed && !machines_[task.machine].fenced;
}

// Stops the stray instances of one task of the job, or of all its tasks if `task` is empty.
void WorkerManager::stop_strays(const std::string& job_ref, std::optional<std::uint32_t> task) {
  for (const StrayInstance& instance : strays_.of_job(job_ref)) {
    if (task && instance.task != *task)
      continue;
    if (Allocation* allocation = find_stray(instance.machine, job_ref, instance.task))
      stop_task(machines_[instance.machine], *allocation, 0);
  }
}

// Called when the task is not on its machine any more. If another machine lists the task, it is placed
// there: an outdated heartbeat that reached a new leader first may have placed the task on a machine that
// had it before. If the task became pending instead, it would be started a second time while the other
// machine still runs it.
void WorkerManager::unplace_task(jobs::Job& job, std::uint32_t task, const Machine& machine) {
  registry_.unplace_task(job, task, machine.zone);
  adopt_stray_instance(job, task);
}

// Places a pending task on a machine with a stray instance of it. Returns false if there is none or the
// job is over.
bool WorkerManager::adopt_stray_instance(jobs::Job& job, std::uint32_t task) {
  const std::optional<MachineIndex> stray = strays_.machine_with(job.spec.ref, task);
  if (!stray || !job.is_open())
    return false;
  Machine& machine = machines_[*stray];
  Allocation& allocation = *find_stray(machine.index, job.spec.ref, task);
  remove_stray(machine, allocation);
  allocation.job = job.index;
  allocation.resources = job.spec.task_resources;
  if (!allocation.stops_immediately())
    add_resources(machine.used, allocation.resources, 1);
  add_team_usage(job.team, allocation.resources, 1);
  registry_.place_task(job, task, machine.index, machine.zone);
  if (allocation.phase == Allocation::Phase::running) {
    allocation.running_since = out_.now();
    registry_.set_task_running(job, task, true);
    record_image_use(machine, job.image);
  }
  mark_changed(machine);
  return true;
}

void WorkerManager::adopt_stray_instances(jobs::Job& job) {
  if (!strays_.contains(job.spec.ref))
    return;
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (job.tasks[task].state == jobs::TaskState::pending)
      adopt_stray_instance(job, task);
  }
}

// Records the task's completion on the machine, and stops all other instances of the task.
void WorkerManager::complete_task(Machine& machine, Allocation& allocation, jobs::Job& job) {
  if (allocation.job == kNoIndex) {
    release_placement(job, allocation.task);
    allocation.job = job.index;
    allocation.resources = job.spec.task_resources;
  }
  const MachineIndex placed_on = job.tasks[allocation.task].machine;
  registry_.complete_task(job, allocation.task, placed_on == kNoIndex ? kNoIndex : machines_[placed_on].zone);
  stop_strays(job.spec.ref, allocation.task);
  state_writer_.record_completion(job, allocation.task, machine.index, allocation.attempt);
}

// Ends the task's placement. Its allocation becomes a stray instance until it is proved to be gone.
void WorkerManager::release_placement(jobs::Job& job, std::uint32_t task) {
  if (job.tasks[task].state != jobs::TaskState::placed)
    return;
  Machine& machine = machines_[job.tasks[task].machine];
  for (Allocation& allocation : machine.allocations) {
    if (allocation.job != job.index || allocation.task != task || !allocation.occupies_machine)
      continue;
    if (!allocation.stops_immediately())
      add_resources(machine.used, allocation.resources, -1);
    add_team_usage(job.team, allocation.resources, -1);
    allocation.job = kNoIndex;
    allocation.resources = {};
    add_stray(machine, allocation);
    mark_changed(machine);
    return;
  }
}

void WorkerManager::release_allocation(Machine& machine, Allocation& allocation) {
  if (!allocation.occupies_machine)
    return;
  allocation.occupies_machine = false;
  mark_changed(machine);
  if (allocation.job == kNoIndex)
    return remove_stray(machine, allocation);
  // stop_task() has already released the machine's resources if the task stops immediately.
  if (!allocation.stops_immediately())
    add_resources(machine.used, allocation.resources, -1);
  add_team_usage(registry_.job_at(allocation.job)->team, allocation.resources, -1);
}

// Removes an allocation that the worker no longer has, in whichever phase it was.
void WorkerManager::drop_allocation(Machine& machine, std::size_t position) {
  Allocation& allocation = machine.allocations[position];
  jobs::Job* job = registry_.job_at(allocation.job);
  const std::uint32_t task = allocation.task;
  const bool was_placed = job && allocation.occupies_machine;
  release_allocation(machine, allocation);
  // The allocation is erased before unplace_task() looks for a stray instance, so that it is not found.
  machine.allocations.erase(machine.allocations.begin() + static_cast<std::ptrdiff_t>(position));
  if (was_placed)
    unplace_task(*job, task, machine);
  if (job)
    registry_.erase_if_over(*job);
}

// Ends the incarnation of the machine's worker: drops all allocations, since the worker has killed its tasks.
void WorkerManager::end_incarnation(Machine& machine) {
  for (std::size_t i = machine.allocations.size(); i-- > 0;)
    drop_allocation(machine, i);
  machine.has_incarnation = false;
  machine.tasks_listed = false;
  machine.idle_since = out_.now();
  update_heartbeat_expected(machine);
  mark_changed(machine);
}

}  // namespace wingtrail::workers
