// What may go where: the rules that a start has to keep to.
#include <algorithm>

#include "sched/scheduler.hpp"

namespace wingtrail::sched {
namespace {
constexpr double kEps = 1e-6;
}

// Whether the job's next task would still be within its team's guarantee.
bool Scheduler::under_guarantee(const Job& job) const {
  if (!job.guest.empty())
    return false;  // guarantees are for this cell's own work
  const settings::Team& team = settings_.teams[job.team];
  const wire::Resources& use = agents_.team_use(job.team);
  return use.cpus + job.spec.need.cpus <= team.cpus + kEps &&
         use.gpus + job.spec.need.gpus <= team.gpus + kEps;
}

bool Scheduler::startable(const Job& job) const {
  return !job.pending.empty() && gates_.open(job);
}

bool Scheduler::can_start(const Machine& m, const Job& job, bool ignore_room) const {
  if (!startable(job) || !agents_.may_start(m) || !gates::allowed(job, m.type, m.zone, m.spot))
    return false;
  if (!ignore_room && !m.fits(job.spec.need))
    return false;
  if (m.short_only && is_long(job))
    return false;
  return fast_enough(m, job) && gates_.open(m, job);
}

// A slow machine takes what can be in time there all the same, and what can't be anywhere.
bool Scheduler::fast_enough(const Machine& m, const Job& job) const {
  if (m.slow <= 1 || job.service())
    return true;
  // One gang, tied to a type and a zone, whose only machine was slow, waited for ever (seed 2037 of several
  // cells): it was past every time by which it could be of use.
  const Seconds at = due(job, 0), rest = estimate(job);
  return out_.now() + rest * m.slow <= at || out_.now() + rest > at;
}

// A job submitted with a mistake: it is tried again now and then, but nobody's work is stopped for that. Such
// jobs, trying every minute, once kept a job whose tasks take longer from ever finishing (seed 68).
bool Scheduler::fails_everywhere(const Job& job) const {
  return !job.service() && !job.ever_ok && job.errors >= 3;
}

}  // namespace wingtrail::sched
