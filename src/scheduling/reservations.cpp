// Placement of short jobs by reservations with late binding and by stealing, and the choice of the next task
// for a machine with free cores.
#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // cores: tolerance for rounding errors of sums
}

// Draws a machine for each probe from all machines that the job may use. Returns the number of probes
// by machine.
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

// Adds reservations for that many of the job's tasks to the queues of sampled machines, and serves those of
// the machines that have free capacity.
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
  // All queues are in this process, unlike in Hawk, so the sampled machines can be served in the order of
  // their start delays.
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.start_delay_s != b.start_delay_s ? a.start_delay_s < b.start_delay_s : a.machine < b.machine;
  });
  for (const Candidate& candidate : candidates) {
    if (job.pending_tasks.empty())
      break;
    serve_queue(workers_.machine_at(candidate.machine));
  }
}

// The waiting long job that is served first among those that can start on the machine; null: none.
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

// The order by cost serves the cheapest jobs first. While more work arrives than there is capacity for, the
// largest job arrays would therefore never begin. Starting one task of an overdue array ahead of the order
// delays the other jobs by one task only.
bool Scheduler::is_overdue(const Job& job) const {
  // The share of begin_within_s that is left for waiting for free capacity and for the image fetch.
  constexpr double kStartShare = 1.0 / 3;
  return settings_.tunables.begin_within_s > 0 && !job.is_service() && !job.is_gang() &&
         job.origin_cell.empty() && job.placed_tasks == 0 && job.done_tasks == 0 && !fails_everywhere(job) &&
         out_.now() - job.eligible_since > settings_.tunables.begin_within_s * (1 - kStartShare);
}

// The overdue job that can start on the machine and has waited longest; null: none. In a fully used cluster a
// pass finds no free capacity, so overdue jobs are also considered whenever a task ends.
Job* Scheduler::first_overdue(const Machine& machine) {
  constexpr int kMaxExamined = 16;  // the others are examined once these have started a task
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

// Starts one task of each overdue job that finds a machine, longest wait first.
void Scheduler::start_overdue_jobs() {
  std::sort(overdue_jobs_.begin(), overdue_jobs_.end(), [this](JobIndex a, JobIndex b) {
    const Seconds since_a = registry_.job_at(a)->eligible_since;
    const Seconds since_b = registry_.job_at(b)->eligible_since;
    return since_a != since_b ? since_a < since_b : a < b;
  });
  for (const JobIndex index : overdue_jobs_) {
    Job& job = *registry_.job_at(index);
    if (!has_startable_task(job))
      continue;
    if (Machine* machine = least_waiting(job))
      start_task(*machine, job);
  }
}

// Starts the next task on the machine: of a job with a reservation, a long job or an overdue one. Returns
// false if no task can start.
bool Scheduler::serve_next(Machine& machine) {
  Job* first = first_long(machine);
  // Services and other long jobs within a guarantee are served before an overdue job.
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

// Starts tasks on the machine until it is full or no task can start.
void Scheduler::serve_queue(Machine& machine) {
  ++machines_examined_;
  if (!workers_.accepts_tasks(machine))
    return;
  while (machine.cpus - machine.used.cpus > kEps) {
    if (!serve_next(machine) && !steal(machine))
      return;
  }
}

// Samples other machines and takes over the first reservation in their queues that this machine can serve.
bool Scheduler::steal(const Machine& thief) {
  return reservations_.steal(thief.index, settings_.tunables.steal_sample, rng_, [&](JobIndex index) {
    const Job* job = registry_.job_at(index);
    ++jobs_examined_;
    return job && can_start_on(thief, *job);
  });
}

// Places tasks of a short job on machines with free capacity when the sampled machines are full. This is the
// reverse of stealing. Sampling alone leaves much free capacity unused when only few machines have any.
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
