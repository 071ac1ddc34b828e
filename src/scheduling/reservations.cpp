// Placement of short jobs: reservations with late binding, and stealing; serving of machines with free cores.
#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;
}

// How many of the probes fall on which machine, drawn from all machines that the job may use.
std::unordered_map<MachineIndex, std::uint32_t> Scheduler::sample_machines(const Job& job,
                                                                           std::uint32_t probes) {
  std::vector<const std::vector<MachineIndex>*> pools;
  std::size_t machines = 0;
  for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
    if (!filters::placement_allowed(job, pool.type, pool.zone, pool.spot) ||
        !filters_.zones().admits_zone(pool.zone, job) || pool.all_machines.members.empty())
      continue;
    pools.push_back(&pool.all_machines.members);
    machines += pool.all_machines.members.size();
  }
  std::unordered_map<MachineIndex, std::uint32_t> sample;
  if (machines == 0)
    return sample;
  for (std::uint32_t probe = 0; probe < probes; ++probe) {
    std::size_t position = rng_(static_cast<std::uint32_t>(machines));
    for (const auto* members : pools) {
      if (position < members->size()) {
        ++sample[(*members)[position]];
        break;
      }
      position -= members->size();
    }
  }
  return sample;
}

void Scheduler::reserve(Job& job, std::uint32_t tasks) {
  const auto probes = static_cast<std::uint32_t>(std::ceil(tasks * settings_.tunables.reservations_per_task));
  struct Candidate {
    double start_delay_s;
    MachineIndex machine;
  };
  std::vector<Candidate> candidates;
  for (const auto& [index, count] : sample_machines(job, probes)) {
    reservations_.add(index, job.index, count);
    ++machines_examined_;
    const Machine& machine = workers_.machine_at(index);
    if (machine.fits(job.spec.task_resources))
      candidates.push_back({start_delay_s(machine, job), index});
  }
  // All queues are in this process, so the sampled machines are served in the order in which they could
  // begin.
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.start_delay_s != b.start_delay_s ? a.start_delay_s < b.start_delay_s : a.machine < b.machine;
  });
  for (const Candidate& candidate : candidates) {
    if (job.pending_tasks.empty())
      break;
    serve_queue(workers_.machine_at(candidate.machine));
  }
}

// The waiting long job that comes first among those that could start here.
Job* Scheduler::first_long(const Machine& machine) {
  if (machine.short_only)
    return nullptr;
  for (const JobIndex index : long_jobs_) {
    Job* job = registry_.job_at(index);
    if (!job || job->pending_tasks.empty() || job->is_gang())
      continue;
    ++jobs_examined_;
    if (can_start_on(machine, *job))
      return job;
  }
  return nullptr;
}

// The order by cost serves the cheapest first, and so the largest arrays never while more arrives than there
// is capacity for. Each of them costs the others one task this way.
bool Scheduler::is_overdue(const Job& job) const {
  constexpr double kStartShare = 1.0 / 3;  // of the time: until capacity comes free and the image is there
  return settings_.tunables.begin_within_s > 0 && !job.is_service() && !job.is_gang() &&
         job.origin_cell.empty() && job.placed_tasks == 0 && job.done_tasks == 0 && !fails_everywhere(job) &&
         out_.now() - job.eligible_since > settings_.tunables.begin_within_s * (1 - kStartShare);
}

// On a full fleet a pass finds no free capacity, so overdue jobs are also tried on what comes free.
Job* Scheduler::first_overdue(const Machine& machine) {
  constexpr int kMaxExamined = 16;  // the others follow when these have begun
  int examined = 0;
  for (const JobIndex index : overdue_jobs_) {
    Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || job->pending_tasks.empty() || !is_overdue(*job))
      continue;
    if (++examined > kMaxExamined)
      return nullptr;
    ++jobs_examined_;
    if (can_start_on(machine, *job))
      return job;
  }
  return nullptr;
}

void Scheduler::start_overdue_jobs() {
  std::sort(overdue_jobs_.begin(), overdue_jobs_.end(), [this](JobIndex a, JobIndex b) {
    const Job &ja = *registry_.job_at(a), &jb = *registry_.job_at(b);
    return ja.eligible_since != jb.eligible_since ? ja.eligible_since < jb.eligible_since : a < b;
  });
  for (const JobIndex index : overdue_jobs_) {
    Job& job = *registry_.job_at(index);
    if (!has_startable_task(job))
      continue;
    if (Machine* machine = least_waiting(job))
      start_task(*machine, job);
  }
}

// Starts the task that comes first of those that wait for the machine: reserved, long or overdue.
bool Scheduler::serve_next(Machine& machine) {
  Job* first = first_long(machine);
  // Services and long work within a guarantee go before an overdue job.
  if (!first || !within_guarantee(*first)) {
    if (Job* overdue = first_overdue(machine)) {
      start_task(machine, *overdue);
      return true;
    }
  }
  reservations_.drop_obsolete(machine.index, [this](JobIndex index) {
    const Job* job = registry_.job_at(index);
    return !job || !job->is_open() || job->pending_tasks.empty();
  });
  const auto& queue = reservations_.queue(machine.index);
  std::optional<std::size_t> reservation;
  for (std::size_t position = 0; position < queue.size(); ++position) {
    Job& job = *registry_.job_at(queue[position].job);
    ++jobs_examined_;
    if (!can_start_on(machine, job) || (first && !precedes(job, *first)))
      continue;
    first = &job;
    reservation = position;
  }
  if (!first)
    return false;
  start_task(machine, *first);
  if (reservation)
    reservations_.consume_task(machine.index, *reservation);
  return true;
}

void Scheduler::serve_queue(Machine& machine) {
  ++machines_examined_;
  if (!workers_.accepts_tasks(machine))
    return;
  while (machine.cpus - machine.used.cpus > kEps) {
    if (!serve_next(machine) && !steal(machine))
      return;
  }
}

// An idle machine samples some others and takes the first reservation queued there that it could serve.
bool Scheduler::steal(const Machine& thief) {
  return reservations_.steal(thief.index, settings_.tunables.steal_sample, rng_, [&](JobIndex index) {
    const Job* job = registry_.job_at(index);
    ++jobs_examined_;
    return job && can_start_on(thief, *job);
  });
}

// The reverse of stealing: tasks whose sampled machines are full go where there is capacity.
// Sampling alone leaves much of it unused, since only few machines have any.
void Scheduler::place_short(Job& job) {
  while (has_startable_task(job)) {
    Machine* machine = least_waiting(job);
    if (!machine && settings_.cells.enabled() && job.origin_cell.empty() && preempt_for_job(job, {}, true))
      continue;
    if (!machine)
      return;
    start_task(*machine, job);
  }
}

}  // namespace wingtrail::scheduling
