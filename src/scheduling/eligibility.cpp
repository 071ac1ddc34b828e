// Eligibility: which waiting jobs may start a task, and on which machines.
#include <algorithm>

#include "scheduling/scheduler.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // cores or GPUs: tolerance for rounding errors of sums
}

// Whether the job's next task would still fit into its team's guarantee.
bool Scheduler::within_guarantee(const Job& job) const {
  if (!job.origin_cell.empty())
    return false;  // a foreign job has no guarantee in this cell
  const settings::Team* team = settings_.find_team(job.team);
  if (!team)
    return false;
  const wire::Resources& usage = workers_.team_usage(job.team);
  return usage.cpus + job.spec.task_resources.cpus <= team->cpus + kEps &&
         usage.gpus + job.spec.task_resources.gpus <= team->gpus + kEps;
}

// Whether the tasks of the job's team use more than its guarantee. The guarantee of a team that the settings
// do not name is unknown, and its tasks are left running.
bool Scheduler::exceeds_guarantee(const Job& job) const {
  const settings::Team* team = settings_.find_team(job.team);
  return team && workers_.team_usage(job.team).cpus > team->cpus + kEps;
}

bool Scheduler::has_startable_task(const Job& job) const {
  return !job.pending_tasks.empty() && filters_.admits(job);
}

bool Scheduler::can_start_on(const Machine& machine, const Job& job, bool ignore_capacity) const {
  return has_startable_task(job) && refusal(machine, job, ignore_capacity).empty();
}

// Why the next task of a job that has a startable task may not start on the machine; empty if it may.
std::string_view Scheduler::refusal(const Machine& machine, const Job& job, bool ignore_capacity) const {
  const workers::Unavailability unavailability = workers_.unavailability(machine);
  if (unavailability != workers::Unavailability::none)
    return to_string(unavailability);
  if (!filters::placement_allowed(job, machine.type, machine.zone, machine.spot))
    return "placement";
  if (workers::WorkerManager::ignores_next_start(machine, job))
    return "attempt_known";
  if (!ignore_capacity && !machine.fits(job.spec.task_resources))
    return "capacity";
  if (machine.short_only && is_long(job))
    return "short_partition";
  if (!fast_enough(machine, job))
    return "slow";
  const filters::Filter* refusing = filters_.first_refusing_filter(machine, job);
  return refusing ? refusing->name() : std::string_view();
}

// Whether the machine is fast enough for the job. A slow machine runs jobs that meet their next deadline on
// it, and jobs that are too late for that deadline on any machine.
bool Scheduler::fast_enough(const Machine& machine, const Job& job) const {
  if (machine.slowdown <= 1 || job.is_service())
    return true;
  // A job that is too late on any machine is allowed here: a gang restricted to a machine type and a zone
  // whose only machine is slow would otherwise never start.
  const Seconds deadline = objectives_.next_deadline(job, 0);
  const Seconds run_s = estimated_run_time(job);
  return out_.now() + run_s * machine.slowdown <= deadline || out_.now() + run_s > deadline;
}

// Whether the job fails on every machine, presumably because of a mistake in its submission. Such a job is
// retried after a back-off, but no task is preempted for it: retried every minute, such jobs could keep a job
// whose tasks run longer than that from ever finishing.
bool Scheduler::fails_everywhere(const Job& job) const {
  constexpr unsigned kMinErrors = 3;
  return !job.is_service() && !job.has_succeeded && job.error_count >= kMinErrors;
}

}  // namespace wingtrail::scheduling
