// Estimates, and by when a job should be over; the order of what waits follows from them.
#include <algorithm>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {

double Scheduler::estimated_run_time(const Job& job) const {
  const double ratio = job.job_class < classes_.size() ? classes_[job.job_class].estimate_ratio : 1.0;
  return job.spec.estimate_s * ratio;
}

Seconds Scheduler::expected_duration(const Job& job) const {
  double rate = 0;
  for (const auto& t : catalog_)
    rate = rate <= 0 ? t.fetch_gb_per_s : std::min(rate, t.fetch_gb_per_s);
  return estimated_run_time(job) + (rate > 0 ? job.spec.image_gb / rate : 0);
}

bool Scheduler::is_long(const Job& job) const {
  return job.is_service() || job.is_gang() || estimated_run_time(job) > settings_.tunables.long_job_cutoff_s;
}

// What the settings aim at for the class's arrays.
const std::vector<Scheduler::CompletionObjective>& Scheduler::objectives(ClassIndex job_class) const {
  if (objectives_.size() <= job_class)
    objectives_.resize(job_class + 1);
  auto& aims = objectives_[job_class];
  if (!aims) {
    aims.emplace();
    for (const auto& o : settings_.objectives) {
      if (o.job_class != registry_.classes[job_class])
        continue;
      if (o.kind == "finished")
        aims->push_back({CompletionObjective::Kind::finished, o.within_s});
      if (o.kind == "deadline")
        aims->push_back({CompletionObjective::Kind::deadline, o.times});
      if (o.kind == "wait")
        aims->push_back({CompletionObjective::Kind::wait, o.within_s});
    }
  }
  return *aims;
}

// Deadlines count from the submission, however long the job waited for others; everything else from when it
// could start.
Seconds Scheduler::objective_deadline(const Job& job, const CompletionObjective& aim) const {
  switch (aim.kind) {
    case CompletionObjective::Kind::finished:
      return job.eligible_since + aim.value;
    case CompletionObjective::Kind::deadline:
      return job.spec.deadline_s ? job.submitted_at + aim.value * *job.spec.deadline_s : ports::kNever;
    case CompletionObjective::Kind::wait:  // of a service every second counts, and it goes first anyway
      return job.is_service() ? ports::kNever : job.eligible_since + aim.value + estimated_run_time(job);
  }
  return ports::kNever;
}

// How many of the times it should be over by the job cannot meet any more.
int Scheduler::missed_deadlines(const Job& job, Seconds later) const {
  const Seconds over = out_.now() + later + estimated_run_time(job);
  int missed = 0;
  for_each_deadline(job, [&](Seconds at) { missed += over > at; });
  return missed;
}

// When the job should be done: the first of these times that it can still meet if it begins `later` than now.
Seconds Scheduler::next_deadline(const Job& job, Seconds later) const {
  const double rest = estimated_run_time(job);
  const Seconds over = out_.now() + later + rest;
  Seconds next = ports::kNever, last = -ports::kNever;
  for_each_deadline(job, [&](Seconds at) {
    if (over <= at)
      next = std::min(next, at);
    last = std::max(last, at);
  });
  if (next != ports::kNever)
    return next;
  return last > -ports::kNever ? job.eligible_since + 10 * std::max(1.0, last - job.eligible_since)
                               : job.eligible_since + 10 * rest + 60;
}

double Scheduler::work_left(const Job& job) const {
  return (job.spec.tasks - job.done_tasks) * job.spec.task_resources.cpus *
         std::max(1.0, estimated_run_time(job));
}

// Core-seconds that the job still has to be given for each of its aims that it can meet; without any, behind
// all that can meet one. When not all can be in time, the cheapest aims first meet the most of them. What is
// placed already is paid for, so a job that lacks a few tasks comes before one that has yet to begin; and one
// that has waited past a first aim does not fall behind large ones that have just come (a class at eight
// times its rate on roamkvitto-core-fleet).
double Scheduler::objective_cost(const Job& job) const {
  constexpr double kNone = 1e12;
  const Seconds over = out_.now() + estimated_run_time(job);
  int meets = 0;
  for_each_deadline(job, [&](Seconds at) { meets += over <= at; });
  const double work = static_cast<double>(job.pending_tasks.size()) * job.spec.task_resources.cpus *
                      std::max(1.0, estimated_run_time(job));
  return meets > 0 ? work / meets : kNone + work;
}

// Guarantees come first (DESIGN names this weakness: a swarming team's reservations queue ahead of
// everyone's), then priority, then what can still be in time.
bool Scheduler::precedes(const Job& a, const Job& b) const {
  const bool ga = within_guarantee(a), gb = within_guarantee(b);
  if (ga != gb)
    return ga;
  if (a.effective_priority != b.effective_priority)
    return a.effective_priority > b.effective_priority;
  if (a.origin_cell.empty() != b.origin_cell.empty())
    return a.origin_cell.empty();
  // After a zone is lost many services lack replicas at once: first those that serve nobody, and of these the
  // ones with the shortest fetch.
  if (zones_unstable_ && a.is_service() && b.is_service()) {
    const int ma = zones::replica_loss_rank(a.spec.tasks, a.placed_tasks),
              mb = zones::replica_loss_rank(b.spec.tasks, b.placed_tasks);
    if (ma != mb)
      return ma < mb;
    if (a.spec.image_gb != b.spec.image_gb)
      return a.spec.image_gb < b.spec.image_gb;
  }
  // Where no room is guaranteed this won nothing and cost a little: estimates are mostly wrong there, and
  // decide it.
  if (balancing_enabled_) {
    const double pa = objective_cost(a), pb = objective_cost(b);
    return pa != pb ? pa < pb : a.index < b.index;
  }
  // Among those, one that can still meet its class's first objective goes first, and of these the one with
  // the least work left: that serves the most users in time when not all can be.
  const int la = missed_deadlines(a), lb = missed_deadlines(b);
  if (la != lb)
    return la < lb;
  const double wa = work_left(a), wb = work_left(b);
  return wa != wb ? wa < wb : a.index < b.index;
}

}  // namespace wingtrail::scheduling
