// What may go where: the rules that a start has to keep to.
#include <algorithm>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;
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

bool Scheduler::can_start_on(const Machine& m, const Job& job, bool ignore_room) const {
  if (!has_startable_task(job) || !workers_.accepts_tasks(m) ||
      !filters::placement_allowed(job, m.type, m.zone, m.spot))
    return false;
  if (!ignore_room && !m.fits(job.spec.task_resources))
    return false;
  if (m.short_only && is_long(job))
    return false;
  return fast_enough(m, job) && filters_.admits(m, job);
}

// A slow machine takes what can be in time there all the same, and what can't be anywhere.
bool Scheduler::fast_enough(const Machine& m, const Job& job) const {
  if (m.slowdown <= 1 || job.is_service())
    return true;
  // One gang, tied to a type and a zone, whose only machine was slow, waited for ever (seed 2037 of several
  // cells): it was past every time by which it could be of use.
  const Seconds at = objectives_.next_deadline(job, 0), rest = estimated_run_time(job);
  return out_.now() + rest * m.slowdown <= at || out_.now() + rest > at;
}

// A job submitted with a mistake: it is tried again now and then, but nobody's work is stopped for that. Such
// jobs, trying every minute, once kept a job whose tasks take longer from ever finishing (seed 68).
bool Scheduler::fails_everywhere(const Job& job) const {
  return !job.is_service() && !job.has_succeeded && job.error_count >= 3;
}

}  // namespace wingtrail::scheduling
