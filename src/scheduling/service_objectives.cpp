#include "scheduling/service_objectives.hpp"

#include <algorithm>

namespace wingtrail::scheduling {

using jobs::Job;
using ports::Seconds;

const std::vector<ServiceObjectives::Objective>& ServiceObjectives::of_class(
    jobs::ClassIndex job_class) const {
  if (by_class_.size() <= job_class)
    by_class_.resize(job_class + 1);
  auto& objectives = by_class_[job_class];
  if (!objectives) {
    objectives.emplace();
    for (const auto& objective : settings_.objectives) {
      if (objective.job_class != registry_.classes[job_class])
        continue;
      if (objective.kind == "finished")
        objectives->push_back({Objective::Kind::finished, objective.within_s});
      if (objective.kind == "deadline")
        objectives->push_back({Objective::Kind::deadline, objective.times});
      if (objective.kind == "wait")
        objectives->push_back({Objective::Kind::wait, objective.within_s});
    }
  }
  return *objectives;
}

// Returns when the job must end to meet the objective. The job's own deadline counts from its submission,
// even if it had to wait for other jobs; the other objectives count from when the job became eligible to
// start.
Seconds ServiceObjectives::deadline(const Job& job, const Objective& objective) const {
  switch (objective.kind) {
    case Objective::Kind::finished:
      return job.eligible_since + objective.value;
    case Objective::Kind::deadline:
      return job.spec.deadline_s ? job.submitted_at + objective.value * *job.spec.deadline_s : ports::kNever;
    case Objective::Kind::wait:  // not for services, which are urgent and served first in any case
      return job.is_service() ? ports::kNever
                              : job.eligible_since + objective.value + estimates_.estimated_run_time(job);
  }
  return ports::kNever;
}

// Visits the deadlines from the class's objectives and from the jobs that depend on the job. If there are
// none, visits the job's own deadline.
template <typename Visit>
void ServiceObjectives::for_each_deadline(const Job& job, Visit visit) const {
  bool any = false;
  for (const Objective& objective : of_class(job.job_class)) {
    const Seconds at = deadline(job, objective);
    if (at == ports::kNever)
      continue;
    visit(at);
    any = true;
  }
  if (job.latest_finish != ports::kNever) {
    visit(job.latest_finish);
    any = true;
  }
  if (!any && job.spec.deadline_s)
    visit(job.submitted_at + *job.spec.deadline_s);
}

Seconds ServiceObjectives::next_deadline(const Job& job, Seconds delay_s) const {
  constexpr double kLateFactor = 10;    // of the time until the last deadline, or of the run time
  constexpr Seconds kMinLateTime = 60;  // in addition to the run time, for a job without deadlines
  const Seconds run_s = estimates_.estimated_run_time(job);
  const Seconds finish = out_.now() + delay_s + run_s;
  Seconds next = ports::kNever, last = -ports::kNever;
  for_each_deadline(job, [&](Seconds at) {
    if (finish <= at)
      next = std::min(next, at);
    last = std::max(last, at);
  });
  if (next != ports::kNever)
    return next;
  return last > -ports::kNever ? job.eligible_since + kLateFactor * std::max(1.0, last - job.eligible_since)
                               : job.eligible_since + kLateFactor * run_s + kMinLateTime;
}

int ServiceObjectives::missed_deadlines(const Job& job) const {
  const Seconds finish = out_.now() + estimates_.estimated_run_time(job);
  int missed = 0;
  for_each_deadline(job, [&](Seconds at) { missed += finish > at; });
  return missed;
}

bool ServiceObjectives::all_deadlines_passed(const Job& job) const {
  bool passed = true;
  for_each_deadline(job, [&](Seconds at) { passed &= out_.now() > at; });
  return passed;
}

bool ServiceObjectives::meets_same_deadlines(const Job& job, Seconds earlier, Seconds later) const {
  bool same = true;
  for_each_deadline(job, [&](Seconds at) { same &= (earlier <= at) == (later <= at); });
  return same;
}

double ServiceObjectives::remaining_core_s(const Job& job) const {
  return (job.spec.tasks - job.done_tasks) * job.spec.task_resources.cpus *
         std::max(1.0, estimates_.estimated_run_time(job));
}

double ServiceObjectives::cost_per_deadline(const Job& job) const {
  constexpr double kMeetsNone = 1e12;  // core-seconds, more than any job needs
  const Seconds finish = out_.now() + estimates_.estimated_run_time(job);
  int met = 0;
  for_each_deadline(job, [&](Seconds at) { met += finish <= at; });
  const double core_s = static_cast<double>(job.pending_tasks.size()) * job.spec.task_resources.cpus *
                        std::max(1.0, estimates_.estimated_run_time(job));
  return met > 0 ? core_s / met : kMeetsNone + core_s;
}

Seconds ServiceObjectives::start_objective_s(const Job& job) const {
  Seconds least = 0;
  for (const Objective& objective : of_class(job.job_class)) {
    if (objective.kind == Objective::Kind::wait)
      least = least > 0 ? std::min(least, objective.value) : objective.value;
  }
  return least;
}

bool ServiceObjectives::starts_in_time_after_fetch(const Job& job, Seconds fetch_s) const {
  constexpr double kMaxFetchFactor = 1.33;  // the worker protocol lets fetch times vary by a third
  constexpr Seconds kMessageDelay = 0.3;    // for the submission, the start command and the heartbeat
  return out_.now() - job.eligible_since + fetch_s * kMaxFetchFactor + kMessageDelay < start_objective_s(job);
}

}  // namespace wingtrail::scheduling
