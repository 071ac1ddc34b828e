// Short tasks: reservations with late binding, stealing, and the partition that long tasks may not use.
#include <algorithm>
#include <cmath>

#include "sched/scheduler.hpp"

namespace wingtrail::sched {
namespace {
constexpr double kEps = 1e-6;
}

// Hawk's short partition: some machines refuse long tasks. Spot machines take no services anyway and so are
// its natural part; ordinary ones make up the rest, the longest known first.
void Scheduler::partition() {
  std::size_t spot = 0, all = 0;
  for (const Ix ix : agents_.live()) {
    const Machine& m = agents_.at(ix);
    all += m.reporting;
    spot += m.reporting && m.spot;
  }
  const auto wanted = static_cast<std::size_t>(settings_.tunables.short_partition * static_cast<double>(all));
  std::size_t ordinary = spot < wanted ? wanted - spot : 0;
  for (const Ix ix : agents_.live()) {
    Machine& m = agents_.at(ix);
    bool refuses = m.spot && wanted > 0 && spot <= wanted;
    if (!m.spot && m.reporting && ordinary > 0)
      refuses = true, --ordinary;
    if (refuses == m.short_only)
      continue;
    m.short_only = refuses;
    agents_.changed(m);
  }
}

void Scheduler::cancel_reservation(Ix job, std::uint32_t tasks) {
  auto it = reserved_.find(job);
  if (it != reserved_.end())
    it->second -= std::min(it->second, tasks);
}

void Scheduler::reserve(Job& job, std::uint32_t tasks) {
  // Members of the pools that the job may use, as one list to draw from.
  std::vector<const std::vector<Ix>*> lists;
  std::size_t total = 0;
  for (const Index::Pool& p : agents_.index().pools()) {
    if (!gates::allowed(job, p.type, p.zone, p.spot) || !gates_.zones().open_in(p.zone, job) ||
        p.all.members.empty())
      continue;
    lists.push_back(&p.all.members);
    total += p.all.members.size();
  }
  if (total == 0)
    return;
  const auto probes = static_cast<std::uint32_t>(std::ceil(tasks * settings_.tunables.reservations_per_task));
  std::unordered_map<Ix, std::uint32_t> sample;
  for (std::uint32_t i = 0; i < probes; ++i) {
    std::size_t at = rng_(static_cast<std::uint32_t>(total));
    for (const auto* list : lists) {
      if (at < list->size()) {
        ++sample[(*list)[at]];
        break;
      }
      at -= list->size();
    }
  }
  struct Probe {
    double wait;
    Ix machine;
  };
  std::vector<Probe> order;
  for (const auto& [ix, n] : sample) {
    if (queues_.size() <= ix)
      queues_.resize(ix + 1), in_queued_.resize(ix + 1);
    queues_[ix].push_back({job.ix, n});
    if (!in_queued_[ix])
      in_queued_[ix] = true, queued_.push_back(ix);
    reserved_[job.ix] += n;
    ++machines_examined_;
    const Machine& m = agents_.at(ix);
    if (m.fits(job.spec.need))
      order.push_back({waiting(m, job), ix});
  }
  // All queues are in this process, so the sampled machines are asked in the order in which they could begin.
  std::sort(order.begin(), order.end(), [](const Probe& a, const Probe& b) {
    return a.wait != b.wait ? a.wait < b.wait : a.machine < b.machine;
  });
  for (const Probe& p : order) {
    if (job.pending.empty())
      break;
    serve(agents_.at(p.machine));
  }
}

// The waiting long job that comes first among those that could start here.
Job* Scheduler::first_long(const Machine& m) {
  if (m.short_only)
    return nullptr;
  for (const Ix ix : long_) {
    Job* job = registry_.at(ix);
    if (!job || job->pending.empty() || job->gang())
      continue;
    ++jobs_examined_;
    if (can_start(m, *job))
      return job;
  }
  return nullptr;
}

// The order of aims serves the cheapest first, and so the largest arrays never as long as more comes than
// there is room for (a day of our own on roamkvitto-core-hunt at six times the arrays: 90 of the 203 largest
// had begun). Each of them costs the others one task this way.
bool Scheduler::must_begin(const Job& job) const {
  constexpr double kForRoomAndFetch = 1.0 / 3;  // of the time: a place comes free, and the image is fetched
  return settings_.tunables.begin_within_s > 0 && !job.service() && !job.gang() && job.guest.empty() &&
         job.placed == 0 && job.done == 0 && !fails_everywhere(job) &&
         out_.now() - job.since > settings_.tunables.begin_within_s * (1 - kForRoomAndFetch);
}

// Where every place that comes free is taken at once, a pass finds none; so it is asked for as it comes free.
Job* Scheduler::first_overdue(const Machine& m) {
  constexpr int kLookAt = 16;  // the others' turn comes when these have begun
  int looked = 0;
  for (const Ix ix : overdue_) {
    Job* job = registry_.at(ix);
    if (!job || !job->open() || job->pending.empty() || !must_begin(*job))
      continue;
    if (++looked > kLookAt)
      return nullptr;
    ++jobs_examined_;
    if (can_start(m, *job))
      return job;
  }
  return nullptr;
}

void Scheduler::begin_overdue() {
  std::sort(overdue_.begin(), overdue_.end(), [this](Ix a, Ix b) {
    const Job &ja = *registry_.at(a), &jb = *registry_.at(b);
    return ja.since != jb.since ? ja.since < jb.since : a < b;
  });
  for (const Ix ix : overdue_) {
    Job& job = *registry_.at(ix);
    if (!startable(job))
      continue;
    if (Machine* m = least_waiting(job))
      start(*m, job);
  }
}

// Starts the task that comes first of those that wait for room here: in the machine's queue, or long.
bool Scheduler::serve_once(Machine& m) {
  Job* first = first_long(m);
  // Services and long work within a guarantee go before one that must begin.
  const auto yields = [this](const Job* job) {
    return !job || !under_guarantee(*job);
  };
  if (Job* overdue = yields(first) ? first_overdue(m) : nullptr)
    return start(m, *overdue), true;
  if (queues_.size() <= m.ix)
    queues_.resize(m.ix + 1), in_queued_.resize(m.ix + 1);
  auto& queue = queues_[m.ix];
  // Late binding: a reservation whose job has nothing left to start is dropped.
  std::erase_if(queue, [&](const Reservation& r) {
    const Job* job = registry_.at(r.job);
    const bool over = !job || !job->open() || job->pending.empty();
    if (over)
      cancel_reservation(r.job, r.tasks);
    return over;
  });
  std::size_t best = queue.size();
  for (std::size_t i = 0; i < queue.size(); ++i) {
    Job& job = *registry_.at(queue[i].job);
    ++jobs_examined_;
    if (!can_start(m, job) || (first && !before(job, *first)))
      continue;
    first = &job;
    best = i;
  }
  if (!first)
    return false;
  start(m, *first);
  if (best == queue.size())
    return true;
  cancel_reservation(first->ix, 1);
  if (--queue[best].tasks == 0)
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(best));
  return true;
}

void Scheduler::serve(Machine& m) {
  ++machines_examined_;
  if (!agents_.may_start(m))
    return;
  while (m.cpus - m.used.cpus > kEps) {
    if (!serve_once(m) && !steal(m))
      return;
  }
}

// An idle machine looks at some others and takes the first short group that waits there and could run here.
bool Scheduler::steal(Machine& m) {
  for (int i = 0; i < settings_.tunables.steal_sample && !queued_.empty(); ++i) {
    const std::size_t at = rng_(static_cast<std::uint32_t>(queued_.size()));
    const Ix victim = queued_[at];
    auto& queue = queues_[victim];
    if (queue.empty()) {
      in_queued_[victim] = false;
      queued_[at] = queued_.back();
      queued_.pop_back();
      continue;
    }
    if (victim == m.ix)
      continue;
    for (std::size_t q = 0; q < queue.size(); ++q) {
      const Job* job = registry_.at(queue[q].job);
      ++jobs_examined_;
      if (!job || !can_start(m, *job))
        continue;
      const Reservation group = queue[q];
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(q));
      queues_[m.ix].push_back(group);
      if (!in_queued_[m.ix])
        in_queued_[m.ix] = true, queued_.push_back(m.ix);
      return true;
    }
  }
  return false;
}

// Stealing seen from the other side: tasks whose sampled machines are full go where there is room. Sampling
// alone leaves much of it unused, since only a few of so many machines have any.
void Scheduler::place_short(Job& job) {
  while (startable(job)) {
    Machine* m = least_waiting(job);
    if (!m && settings_.cells.on() && job.guest.empty() && preempt_for(job, {}, true))
      continue;
    if (!m)
      return;
    start(*m, job);
  }
}

}  // namespace wingtrail::sched
