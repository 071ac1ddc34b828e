// Which jobs may start a task, and on which machines.
#include <algorithm>

#include "scheduling/scheduler.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // of cores and GPUs: rounding of sums
}

// Whether the job's next task would still be within its team's guarantee.
bool Scheduler::within_guarantee(const Job& job) const {
  if (!job.origin_cell.empty())
    return false;  // guarantees are for this cell's own work
  const settings::Team& team = settings_.teams[job.team];
  const wire::Resources& use = workers_.team_usage(job.team);
  return use.cpus + job.spec.task_resources.cpus <= team.cpus + kEps &&
         use.gpus + job.spec.task_resources.gpus <= team.gpus + kEps;
}

bool Scheduler::has_startable_task(const Job& job) const {
  return !job.pending_tasks.empty() && filters_.admits(job);
}

bool Scheduler::can_start_on(const Machine& machine, const Job& job, bool ignore_capacity) const {
  if (!has_startable_task(job) || !workers_.accepts_tasks(machine) ||
      !filters::placement_allowed(job, machine.type, machine.zone, machine.spot))
    return false;
  if (!ignore_capacity && !machine.fits(job.spec.task_resources))
    return false;
  if (machine.short_only && is_long(job))
    return false;
  return fast_enough(machine, job) && filters_.admits(machine, job);
}

// A slow machine takes what can be in time there all the same, and what cannot be in time anywhere.
bool Scheduler::fast_enough(const Machine& machine, const Job& job) const {
  if (machine.slowdown <= 1 || job.is_service())
    return true;
  // Past its deadline anywhere: a gang tied to a type and a zone whose only machine is slow would wait for
  // ever.
  const Seconds deadline = objectives_.next_deadline(job, 0), run = estimated_run_time(job);
  return out_.now() + run * machine.slowdown <= deadline || out_.now() + run > deadline;
}

// A job submitted with a mistake is tried again now and then, but nothing is preempted for it: such jobs,
// retried every minute, could keep a job whose tasks take longer from ever finishing.
bool Scheduler::fails_everywhere(const Job& job) const {
  return !job.is_service() && !job.has_succeeded && job.error_count >= 3;
}

}  // namespace wingtrail::scheduling
