// Failed tasks: for how long the job keeps off the machine, the machine gets no tasks, or the job backs off.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {

// Of a job that never succeeded.
constexpr unsigned kFailuresWhenJobFaulty = 3;
constexpr Seconds kMaxBackoff = 60;
constexpr unsigned kMaxBackoffExponent = 6;
constexpr Seconds kMachineBackoff = 15;
// On a machine, since the last success on it.
constexpr std::size_t kJobsFailedWhenFaulty = 2;
constexpr Seconds kFirstExclusion = 30;
constexpr Seconds kMaxExclusion = 60;

Seconds exclusion_time(unsigned failures) {
  return std::min(kMaxExclusion, kFirstExclusion * failures);
}

// Tasks that fail on a machine at about the same time count as one failure.
void record_failure(Job& job, MachineIndex machine, Seconds now) {
  ++job.error_count;
  jobs::MachineFailures& failures = job.failures_on(machine);
  if (now < failures.excluded_until)
    return;
  ++failures.count;
  failures.excluded_until = now + exclusion_time(failures.count);
}

unsigned failure_count(const Job& job) {
  unsigned count = 0;
  for (const jobs::MachineFailures& failures : job.failed_machines)
    count += failures.count;
  return count;
}

}  // namespace

void Scheduler::on_task_failed(Machine& machine, Job& job) {
  record_failure(job, machine.index, out_.now());
  // A job that failed three times, on different machines or again on the same, and never succeeded is
  // presumed to be faulty: it backs off, and its failures no longer count against the machines.
  if (!job.has_succeeded && failure_count(job) >= kFailuresWhenJobFaulty) {
    job.not_before =
        out_.now() + std::min(kMaxBackoff, std::pow(2.0, std::min(job.error_count, kMaxBackoffExponent)));
    withdraw_evidence(job);
    job.failed_machines.clear();
    return;
  }
  auto& failed_jobs = machine.failed_jobs;
  if (std::find(failed_jobs.begin(), failed_jobs.end(), job.index) == failed_jobs.end())
    failed_jobs.push_back(job.index);
  // The cause of a single failure, job or machine, is not known yet; the machine gets no new tasks for
  // a while.
  workers_.avoid_until(machine, out_.now() + kMachineBackoff);
  if (failed_jobs.size() >= kJobsFailedWhenFaulty || job.has_succeeded)
    quarantine(machine);
}

// Whether the jobs or the machine are at fault is not known, and a machine that runs services may never
// complete a task that proves it sound. So it takes tasks again after a while; the next failure closes it for
// longer.
void Scheduler::quarantine(Machine& machine) {
  if (machine.is_quarantined(out_.now()))
    return;
  const Seconds closed_s = exclusion_time(machine.quarantines + 1);
  spdlog::warn("scheduler: machine suspected faulty host={} failed_jobs={} quarantined_s={:.0f}",
               machine.host, machine.failed_jobs.size(), closed_s);
  workers_.quarantine(machine, out_.now() + closed_s);
}

void Scheduler::withdraw_evidence(const Job& job) {
  for (const jobs::MachineFailures& failures : job.failed_machines) {
    Machine& machine = workers_.machine_at(failures.machine);
    std::erase(machine.failed_jobs, job.index);
    if (machine.failed_jobs.empty())
      workers_.end_quarantine(machine);
  }
}

}  // namespace wingtrail::scheduling
