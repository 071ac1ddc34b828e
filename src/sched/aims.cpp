// Estimates, and by when a job should be over; the order of what waits follows from them.
#include <algorithm>

#include "sched/scheduler.hpp"

namespace wingtrail::sched {

double Scheduler::estimate(const Job& job) const {
  const double ratio = job.job_class < classes_.size() ? classes_[job.job_class].ratio : 1.0;
  return job.spec.estimate_s * ratio;
}

Seconds Scheduler::span(const Job& job) const {
  double rate = 0;
  for (const auto& t : catalog_)
    rate = rate <= 0 ? t.fetch_gb_per_s : std::min(rate, t.fetch_gb_per_s);
  return estimate(job) + (rate > 0 ? job.spec.image_gb / rate : 0);
}

bool Scheduler::is_long(const Job& job) const {
  return job.service() || job.gang() || estimate(job) > settings_.tunables.cutoff_s;
}

// What the settings aim at for the class's arrays.
const std::vector<Scheduler::Aim>& Scheduler::aims(Ix job_class) const {
  if (aims_.size() <= job_class)
    aims_.resize(job_class + 1);
  auto& aims = aims_[job_class];
  if (!aims) {
    aims.emplace();
    for (const auto& o : settings_.objectives) {
      if (o.job_class != registry_.classes[job_class])
        continue;
      if (o.kind == "finished")
        aims->push_back({Aim::Kind::finished, o.within_s});
      if (o.kind == "deadline")
        aims->push_back({Aim::Kind::deadline, o.times});
      if (o.kind == "wait")
        aims->push_back({Aim::Kind::wait, o.within_s});
    }
  }
  return *aims;
}

// Deadlines count from the submission, however long the job waited for others; everything else from when it
// could start.
Seconds Scheduler::by(const Job& job, const Aim& aim) const {
  switch (aim.kind) {
    case Aim::Kind::finished:
      return job.since + aim.value;
    case Aim::Kind::deadline:
      return job.spec.deadline_s ? job.submitted + aim.value * *job.spec.deadline_s : ports::kNever;
    case Aim::Kind::wait:  // of a service every second counts, and it goes first anyway
      return job.service() ? ports::kNever : job.since + aim.value + estimate(job);
  }
  return ports::kNever;
}

// How many of the times it should be over by the job cannot meet any more.
int Scheduler::lateness(const Job& job, Seconds later) const {
  const Seconds over = out_.now() + later + estimate(job);
  int missed = 0;
  each_due(job, [&](Seconds at) { missed += over > at; });
  return missed;
}

// When the job should be done: the first of these times that it can still meet if it begins `later` than now.
Seconds Scheduler::due(const Job& job, Seconds later) const {
  const double rest = estimate(job);
  const Seconds over = out_.now() + later + rest;
  Seconds next = ports::kNever, last = -ports::kNever;
  each_due(job, [&](Seconds at) {
    if (over <= at)
      next = std::min(next, at);
    last = std::max(last, at);
  });
  if (next != ports::kNever)
    return next;
  return last > -ports::kNever ? job.since + 10 * std::max(1.0, last - job.since)
                               : job.since + 10 * rest + 60;
}

double Scheduler::work_left(const Job& job) const {
  return (job.spec.tasks - job.done) * job.spec.need.cpus * std::max(1.0, estimate(job));
}

// Core-seconds that the job still has to be given for each of its aims that it can meet; without any, behind
// all that can meet one. When not all can be in time, the cheapest aims first meet the most of them. What is
// placed already is paid for, so a job that lacks a few tasks comes before one that has yet to begin; and one
// that has waited past a first aim does not fall behind large ones that have just come (a class at eight
// times its rate on roamkvitto-core-fleet).
double Scheduler::price_of_aims(const Job& job) const {
  constexpr double kNone = 1e12;
  const Seconds over = out_.now() + estimate(job);
  int meets = 0;
  each_due(job, [&](Seconds at) { meets += over <= at; });
  const double work =
      static_cast<double>(job.pending.size()) * job.spec.need.cpus * std::max(1.0, estimate(job));
  return meets > 0 ? work / meets : kNone + work;
}

// Guarantees come first (DESIGN names this weakness: a swarming team's reservations queue ahead of
// everyone's), then priority, then what can still be in time.
bool Scheduler::before(const Job& a, const Job& b) const {
  const bool ga = under_guarantee(a), gb = under_guarantee(b);
  if (ga != gb)
    return ga;
  if (a.priority != b.priority)
    return a.priority > b.priority;
  if (a.guest.empty() != b.guest.empty())
    return a.guest.empty();
  // After a zone is lost many services lack replicas at once: first those that serve nobody, and of these the
  // ones with the shortest fetch.
  if (restless_ && a.service() && b.service()) {
    const int ma = zones::missed(a.spec.tasks, a.placed), mb = zones::missed(b.spec.tasks, b.placed);
    if (ma != mb)
      return ma < mb;
    if (a.spec.image_gb != b.spec.image_gb)
      return a.spec.image_gb < b.spec.image_gb;
  }
  // Where no room is guaranteed this won nothing and cost a little: estimates are mostly wrong there, and
  // decide it.
  if (roomy_) {
    const double pa = price_of_aims(a), pb = price_of_aims(b);
    return pa != pb ? pa < pb : a.ix < b.ix;
  }
  // Among those, one that can still meet its class's first objective goes first, and of these the one with
  // the least work left: that serves the most users in time when not all can be.
  const int la = lateness(a), lb = lateness(b);
  if (la != lb)
    return la < lb;
  const double wa = work_left(a), wb = work_left(b);
  return wa != wb ? wa < wb : a.ix < b.ix;
}

}  // namespace wingtrail::sched
