// A log line for the job that has waited longest for room: how many machines refuse it, by reason.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <string>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {

constexpr Seconds kMinReportedWait = 10;
constexpr Seconds kWaitReportInterval = 10;

// When the job began to wait: when it became eligible, or when it last started a task.
Seconds waiting_since(const Job& job) {
  return std::max(job.eligible_since, job.last_start_at);
}

}  // namespace

// Of the jobs that no filter holds back whatever the machine, the one that has waited longest; null: none.
const Job* Scheduler::longest_waiting_for_room() const {
  const Job* longest = nullptr;
  for (const JobIndex index : waiting_jobs_) {
    const Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || !has_startable_task(*job))
      continue;
    if (!longest || waiting_since(*job) < waiting_since(*longest))
      longest = job;
  }
  return longest;
}

// Visits all machines, so it is limited to one job every kWaitReportInterval.
void Scheduler::report_longest_wait() {
  const Seconds now = out_.now();
  if (now < next_wait_report_at_)
    return;
  const Job* job = longest_waiting_for_room();
  if (!job || now - waiting_since(*job) < kMinReportedWait)
    return;
  next_wait_report_at_ = now + kWaitReportInterval;
  std::map<std::string_view, std::size_t> machines_by_reason;
  for (const MachineIndex index : workers_.live_machines()) {
    const std::string_view reason = refusal(workers_.machine_at(index), *job);
    ++machines_by_reason[reason.empty() ? "admitted" : reason];
  }
  std::string counts;
  for (const auto& [reason, machines] : machines_by_reason)
    counts.append(" ").append(reason).append("=").append(std::to_string(machines));
  spdlog::info("scheduler: job waits for room ref={} waited_s={:.0f} pending_tasks={} machines:{}",
               job->spec.ref, now - waiting_since(*job), job->pending_tasks.size(),
               counts.empty() ? " none" : counts);
}

}  // namespace wingtrail::scheduling
