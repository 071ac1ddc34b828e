// Short tasks: reservations with late binding, stealing, and the partition that long tasks may not use.
#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;
}

// Hawk's short partition: some machines refuse long tasks. Spot machines take no services anyway and so are
// its natural part; ordinary ones make up the rest, the longest known first.
void Scheduler::update_short_partition() {
  std::size_t spot = 0, all = 0;
  for (const MachineIndex ix : workers_.live_machines()) {
    const Machine& m = workers_.machine_at(ix);
    all += m.has_incarnation;
    spot += m.has_incarnation && m.spot;
  }
  const auto wanted = static_cast<std::size_t>(settings_.tunables.short_partition * static_cast<double>(all));
  std::size_t ordinary = spot < wanted ? wanted - spot : 0;
  for (const MachineIndex ix : workers_.live_machines()) {
    Machine& m = workers_.machine_at(ix);
    bool refuses = m.spot && wanted > 0 && spot <= wanted;
    if (!m.spot && m.has_incarnation && ordinary > 0)
      refuses = true, --ordinary;
    if (refuses == m.short_only)
      continue;
    m.short_only = refuses;
    workers_.mark_changed(m);
  }
}

void Scheduler::cancel_reservation(JobIndex job, std::uint32_t tasks) {
  auto it = reserved_.find(job);
  if (it != reserved_.end())
    it->second -= std::min(it->second, tasks);
}

void Scheduler::reserve(Job& job, std::uint32_t tasks) {
  // Members of the pools that the job may use, as one list to draw from.
  std::vector<const std::vector<MachineIndex>*> lists;
  std::size_t total = 0;
  for (const PlacementIndex::Pool& p : workers_.placement_index().pools()) {
    if (!filters::placement_allowed(job, p.type, p.zone, p.spot) ||
        !filters_.zones().admits_zone(p.zone, job) || p.all_machines.members.empty())
      continue;
    lists.push_back(&p.all_machines.members);
    total += p.all_machines.members.size();
  }
  if (total == 0)
    return;
  const auto probes = static_cast<std::uint32_t>(std::ceil(tasks * settings_.tunables.reservations_per_task));
  std::unordered_map<MachineIndex, std::uint32_t> sample;
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
    MachineIndex machine;
  };
  std::vector<Probe> order;
  for (const auto& [ix, n] : sample) {
    if (queues_.size() <= ix)
      queues_.resize(ix + 1), has_queue_.resize(ix + 1);
    queues_[ix].push_back({job.index, n});
    if (!has_queue_[ix])
      has_queue_[ix] = true, machines_with_queue_.push_back(ix);
    reserved_[job.index] += n;
    ++machines_examined_;
    const Machine& m = workers_.machine_at(ix);
    if (m.fits(job.spec.task_resources))
      order.push_back({waiting_jobs(m, job), ix});
  }
  // All queues are in this process, so the sampled machines are asked in the order in which they could begin.
  std::sort(order.begin(), order.end(), [](const Probe& a, const Probe& b) {
    return a.wait != b.wait ? a.wait < b.wait : a.machine < b.machine;
  });
  for (const Probe& p : order) {
    if (job.pending_tasks.empty())
      break;
    serve_queue(workers_.machine_at(p.machine));
  }
}

// The waiting long job that comes first among those that could start here.
Job* Scheduler::first_long(const Machine& m) {
  if (m.short_only)
    return nullptr;
  for (const JobIndex ix : long_jobs_) {
    Job* job = registry_.job_at(ix);
    if (!job || job->pending_tasks.empty() || job->is_gang())
      continue;
    ++jobs_examined_;
    if (can_start_on(m, *job))
      return job;
  }
  return nullptr;
}

// The order of aims serves the cheapest first, and so the largest arrays never as long as more comes than
// there is room for (a day of our own on roamkvitto-core-hunt at six times the arrays: 90 of the 203 largest
// had begun). Each of them costs the others one task this way.
bool Scheduler::is_overdue(const Job& job) const {
  constexpr double kForRoomAndFetch = 1.0 / 3;  // of the time: a place comes free, and the image is fetched
  return settings_.tunables.begin_within_s > 0 && !job.is_service() && !job.is_gang() &&
         job.origin_cell.empty() && job.placed_tasks == 0 && job.done_tasks == 0 && !fails_everywhere(job) &&
         out_.now() - job.eligible_since > settings_.tunables.begin_within_s * (1 - kForRoomAndFetch);
}

// Where every place that comes free is taken at once, a pass finds none; so it is asked for as it comes free.
Job* Scheduler::first_overdue(const Machine& m) {
  constexpr int kLookAt = 16;  // the others' turn comes when these have begun
  int looked = 0;
  for (const JobIndex ix : overdue_jobs_) {
    Job* job = registry_.job_at(ix);
    if (!job || !job->is_open() || job->pending_tasks.empty() || !is_overdue(*job))
      continue;
    if (++looked > kLookAt)
      return nullptr;
    ++jobs_examined_;
    if (can_start_on(m, *job))
      return job;
  }
  return nullptr;
}

void Scheduler::start_overdue_jobs() {
  std::sort(overdue_jobs_.begin(), overdue_jobs_.end(), [this](JobIndex a, JobIndex b) {
    const Job &ja = *registry_.job_at(a), &jb = *registry_.job_at(b);
    return ja.eligible_since != jb.eligible_since ? ja.eligible_since < jb.eligible_since : a < b;
  });
  for (const JobIndex ix : overdue_jobs_) {
    Job& job = *registry_.job_at(ix);
    if (!has_startable_task(job))
      continue;
    if (Machine* m = least_waiting(job))
      start_task(*m, job);
  }
}

// Starts the task that comes first of those that wait for room here: in the machine's queue, or long.
bool Scheduler::serve_next(Machine& m) {
  Job* first = first_long(m);
  // Services and long work within a guarantee go before one that must begin.
  const auto yields = [this](const Job* job) {
    return !job || !within_guarantee(*job);
  };
  if (Job* overdue = yields(first) ? first_overdue(m) : nullptr)
    return start_task(m, *overdue), true;
  if (queues_.size() <= m.index)
    queues_.resize(m.index + 1), has_queue_.resize(m.index + 1);
  auto& queue = queues_[m.index];
  // Late binding: a reservation whose job has nothing left to start is dropped.
  std::erase_if(queue, [&](const Reservation& r) {
    const Job* job = registry_.job_at(r.job);
    const bool over = !job || !job->is_open() || job->pending_tasks.empty();
    if (over)
      cancel_reservation(r.job, r.tasks);
    return over;
  });
  std::size_t best = queue.size();
  for (std::size_t i = 0; i < queue.size(); ++i) {
    Job& job = *registry_.job_at(queue[i].job);
    ++jobs_examined_;
    if (!can_start_on(m, job) || (first && !precedes(job, *first)))
      continue;
    first = &job;
    best = i;
  }
  if (!first)
    return false;
  start_task(m, *first);
  if (best == queue.size())
    return true;
  cancel_reservation(first->index, 1);
  if (--queue[best].tasks == 0)
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(best));
  return true;
}

void Scheduler::serve_queue(Machine& m) {
  ++machines_examined_;
  if (!workers_.accepts_tasks(m))
    return;
  while (m.cpus - m.used.cpus > kEps) {
    if (!serve_next(m) && !steal(m))
      return;
  }
}

// An idle machine looks at some others and takes the first short group that waits there and could run here.
bool Scheduler::steal(Machine& m) {
  for (int i = 0; i < settings_.tunables.steal_sample && !machines_with_queue_.empty(); ++i) {
    const std::size_t at = rng_(static_cast<std::uint32_t>(machines_with_queue_.size()));
    const MachineIndex victim = machines_with_queue_[at];
    auto& queue = queues_[victim];
    if (queue.empty()) {
      has_queue_[victim] = false;
      machines_with_queue_[at] = machines_with_queue_.back();
      machines_with_queue_.pop_back();
      continue;
    }
    if (victim == m.index)
      continue;
    for (std::size_t q = 0; q < queue.size(); ++q) {
      const Job* job = registry_.job_at(queue[q].job);
      ++jobs_examined_;
      if (!job || !can_start_on(m, *job))
        continue;
      const Reservation group = queue[q];
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(q));
      queues_[m.index].push_back(group);
      if (!has_queue_[m.index])
        has_queue_[m.index] = true, machines_with_queue_.push_back(m.index);
      return true;
    }
  }
  return false;
}

// Stealing seen from the other side: tasks whose sampled machines are full go where there is room. Sampling
// alone leaves much of it unused, since only a few of so many machines have any.
void Scheduler::place_short(Job& job) {
  while (has_startable_task(job)) {
    Machine* m = least_waiting(job);
    if (!m && settings_.cells.enabled() && job.origin_cell.empty() && preempt_for_job(job, {}, true))
      continue;
    if (!m)
      return;
    start_task(*m, job);
  }
}

}  // namespace wingtrail::scheduling
