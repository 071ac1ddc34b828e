// Scaling out for tasks that no rented or requested machine will ever have room for, however many cores are
// free in total: for want of memory, or because the machines with room are of a kind or zone that the job may
// not use.
#include <algorithm>

#include "autoscaling/autoscaler.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::autoscaling {
namespace {

// Limits the work of one pass; the other tasks are considered once these have started.
constexpr std::size_t kMaxTasksPlanned = 64;
// On the same machine. After one failure the job is started there again before another machine would be up.
constexpr unsigned kFailuresWithoutRoom = 2;

}  // namespace

// Whether the job waits for nothing but a machine. A gang is left to scale_out_for_job. An array of which a
// task runs gets the room of that task when it ends.
bool Autoscaler::waits_for_machine(const jobs::Job& job) const {
  constexpr Seconds kMinWait = 1;
  return job.is_open() && !job.is_held() && !job.is_gang() && !job.pending_tasks.empty() &&
         (job.is_service() || job.placed_tasks == 0) &&
         out_.now() - std::max(job.eligible_since, job.last_start_at) >= kMinWait &&
         scheduler_.filters().admits(job) && scheduler_.filters().quota().admits_tasks(job, 1);
}

// The machine's resources that are not held by tasks that run until their job is cancelled. Tasks of unknown
// jobs may be such tasks.
wire::Resources Autoscaler::room_of(const Machine& machine) const {
  wire::Resources free{machine.cpus - machine.used.cpus, machine.gpus - machine.used.gpus,
                       machine.memory_gb - machine.used.memory_gb};
  for (const workers::Allocation& allocation : machine.allocations) {
    const jobs::Job* job = registry_.job_at(allocation.job);
    if (!allocation.occupies_machine || !job || job->is_service())
      continue;
    free.cpus += allocation.resources.cpus;
    free.gpus += allocation.resources.gpus;
    free.memory_gb += allocation.resources.memory_gb;
  }
  return free;
}

RoomPlan Autoscaler::plan_of_rented_machines() const {
  RoomPlan plan;
  const auto add = [&](const Machine& machine) {
    if (!zone_unreachable(machine.zone))
      plan.add({{machine.type, machine.zone, machine.spot}, &machine, room_of(machine)});
  };
  for (const MachineIndex index : workers_.live_machines()) {
    const Machine& machine = workers_.machine_at(index);
    if (counts_as_capacity(machine))
      add(machine);
  }
  for (const RentalRequests::Request& request : rentals_.open()) {
    const wire::MachineType* type = catalog_.type(request.pool.type);
    for (int i = 0; type && i < request.count; ++i)
      plan.add({request.pool, nullptr, {type->cpus, type->gpus, type->memory_gb}});
  }
  for (const MachineIndex index : draining_machines_) {
    const Machine& machine = workers_.machine_at(index);
    if (machine.draining && !machine.gone && !machine.being_returned && !machine.preemption_at)
      add(machine);
  }
  return plan;
}

// Whether the job may run on such a machine. A machine that was rented anew may still refuse the job, if it
// becomes one of the short partition; then another one is rented.
bool Autoscaler::may_run_on(const jobs::Job& job, const MachineRoom& room) const {
  if (!filters::placement_allowed(job, room.pool.type, room.pool.zone, room.pool.spot) ||
      !scheduler_.filters().zones().admits_zone(room.pool.zone, job))
    return false;
  if (!room.machine)
    return true;
  const jobs::MachineFailures* failures = job.find_failures(room.machine->index);
  const bool fails_there = failures && failures->count >= kFailuresWithoutRoom;
  return !fails_there && !(room.machine->short_only && scheduler_.is_long(job));
}

// The jobs that wait for a machine: services first, each group by how long its jobs have waited.
std::vector<const jobs::Job*> Autoscaler::jobs_waiting_for_machines() const {
  std::vector<const jobs::Job*> waiting;
  for (const JobIndex index : scheduler_.waiting_jobs()) {
    const jobs::Job* job = registry_.job_at(index);
    if (job && waits_for_machine(*job))
      waiting.push_back(job);
  }
  std::sort(waiting.begin(), waiting.end(), [](const jobs::Job* a, const jobs::Job* b) {
    if (a->is_service() != b->is_service())
      return a->is_service();
    return a->eligible_since != b->eligible_since ? a->eligible_since < b->eligible_since
                                                  : a->index < b->index;
  });
  return waiting;
}

// Finds a machine for each waiting task, and requests machines for the tasks for which there is none.
void Autoscaler::scale_out_for_room() {
  machines_used_again_.clear();
  const std::vector<const jobs::Job*> waiting = jobs_waiting_for_machines();
  if (waiting.empty())
    return;
  RoomPlan plan = plan_of_rented_machines();
  std::map<Pool, int> to_request;
  std::size_t tasks_left = kMaxTasksPlanned;
  for (const jobs::Job* job : waiting) {
    std::size_t tasks = std::min(job->is_service() ? job->pending_tasks.size() : 1, tasks_left);
    tasks_left -= tasks;
    while (tasks > 0 && plan_task(*job, plan, to_request))
      --tasks;
    if (tasks_left == 0)
      break;
  }
  for (const auto& [pool, machines] : to_request) {
    for (int left = machines; left > 0; left -= kMaxMachinesPerRequest)
      request_machines(pool, std::min(left, kMaxMachinesPerRequest), "a task that no machine has room for");
  }
}

// Returns false if no machine has room for the task and none can be requested. Only a replica takes its room:
// tasks of arrays end, so they can run one after the other in the same room.
bool Autoscaler::plan_task(const jobs::Job& job, RoomPlan& plan, std::map<Pool, int>& to_request) {
  const wire::Resources& need = job.spec.task_resources;
  const auto admits = [&](const MachineRoom& room) {
    return may_run_on(job, room);
  };
  const auto find_room = [&] {
    return job.is_service() ? plan.take(need, admits) : plan.find(need, admits);
  };
  if (const MachineRoom* room = find_room()) {
    if (room->machine)
      use_again(room->machine->index);
    return true;
  }
  const std::optional<Pool> pool = cheapest_pool(job);
  if (!pool)
    return false;
  const wire::MachineType& type = *catalog_.type(pool->type);
  plan.add({*pool, nullptr, {type.cpus, type.gpus, type.memory_gb}});
  ++to_request[*pool];
  return find_room() != nullptr;
}

// Uses a draining machine again, and keeps it from being drained once more in the same pass.
void Autoscaler::use_again(MachineIndex index) {
  Machine& machine = workers_.machine_at(index);
  if (!machine.draining)
    return;
  machine.draining = false;
  workers_.mark_changed(machine);
  machines_used_again_.insert(index);
}

}  // namespace wingtrail::autoscaling
