// Preemption of tasks of lower priority, and reclaiming of guaranteed capacity.
#include <algorithm>

#include "scheduling/scheduler.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // cores, GPUs or GB: tolerance for rounding errors of sums
}

// Samples machines of the group and replaces `best` if stopping tasks of lower priority on one of them costs
// less. `most_lost_s`: limit on the work in seconds that the preemption may discard.
void Scheduler::consider_preempting(const PlacementIndex::Group& group, const Job& job, double most_lost_s,
                                    bool other_cells_only, PreemptionPlan& best) {
  if (group.members.empty())
    return;
  constexpr double kDelayWeight = 5;  // of a second of start delay, relative to a second of discarded work
  const Seconds now = out_.now();
  for (int i = 0; i < 2 * settings_.tunables.steal_sample; ++i) {
    Machine& machine =
        workers_.machine_at(group.members[rng_(static_cast<std::uint32_t>(group.members.size()))]);
    ++machines_examined_;
    if (!can_start_on(machine, job, true))
      continue;
    std::vector<std::size_t> candidates;
    for (std::size_t position = 0; position < machine.allocations.size(); ++position) {
      const Allocation& allocation = machine.allocations[position];
      const Job* other = registry_.job_at(allocation.job);
      if (!other || !allocation.occupies_machine || allocation.stop_requested ||
          other->effective_priority >= job.effective_priority)
        continue;
      if (other_cells_only && other->origin_cell.empty())
        continue;
      if (other->spec.checkpoint_interval_s > 0 && other->spec.checkpoint_cost_s > 0)
        continue;  // writing its checkpoint would delay the start
      candidates.push_back(position);
    }
    auto age_s = [&](std::size_t position) {
      const Seconds running_since = machine.allocations[position].running_since;
      return running_since > 0 ? now - running_since : 0.0;
    };
    // The tasks that started last come first, since stopping them discards the least work.
    std::sort(candidates.begin(), candidates.end(),
              [&](std::size_t a, std::size_t b) { return age_s(a) < age_s(b); });
    Machine without_victims;  // only its capacity and usage are set
    without_victims.cpus = machine.cpus;
    without_victims.gpus = machine.gpus;
    without_victims.memory_gb = machine.memory_gb;
    without_victims.used = machine.used;
    std::vector<std::size_t> victims;
    double cost = start_delay_s(machine, job) * kDelayWeight;
    double lost_s = 0;
    for (const std::size_t position : candidates) {
      if (without_victims.fits(job.spec.task_resources))
        break;
      const Allocation& allocation = machine.allocations[position];
      without_victims.used.cpus -= allocation.resources.cpus;
      without_victims.used.gpus -= allocation.resources.gpus;
      without_victims.used.memory_gb -= allocation.resources.memory_gb;
      cost += 1 + age_s(position);
      lost_s += balancing_enabled_ && can_restart_in_time(allocation) ? 0 : age_s(position);
      victims.push_back(position);
    }
    if (lost_s > most_lost_s || victims.empty() || !without_victims.fits(job.spec.task_resources))
      continue;
    if (!best.machine || cost < best.cost)
      best = {&machine, cost, victims};
  }
}

// Whether the task's job meets the same deadlines if the task is stopped and runs again from the beginning.
// True for a task that has not run yet.
bool Scheduler::can_restart_in_time(const Allocation& allocation) const {
  const Job* job = registry_.job_at(allocation.job);
  if (!job || allocation.running_since <= 0)
    return true;
  // Expected time until the stopped task starts again. It is short, since tasks end and free capacity all the
  // time, even in a fully used cluster.
  constexpr Seconds kRestartDelay = 10;
  const Seconds run_s = estimated_run_time(*job);
  const Seconds undisturbed_end = allocation.running_since + run_s;
  const Seconds end_after_restart = out_.now() + kRestartDelay + run_s;
  return objectives_.meets_same_deadlines(*job, undisturbed_end, end_after_restart);
}

// Stops tasks of lower priority on one machine and starts a task of the job there. Returns false if no
// machine was found.
bool Scheduler::preempt_for_job(Job& job, std::optional<double> saves_s, bool other_cells_only) {
  constexpr Seconds kNoLimit = 1e9;
  const double most_lost_s = saves_s.value_or(kNoLimit);
  // While only tasks of the same or a higher priority run, every search fails. The limit on failed
  // searches in a pass saves most of them; the few that remain notice when that changes.
  int& failed = failed_preemptions_[static_cast<std::size_t>(job.effective_priority)];
  if (failed >= settings_.tunables.steal_sample || !has_startable_task(job) || fails_everywhere(job))
    return false;
  PreemptionPlan best;
  for (const bool cached : {true, false}) {
    for (const PlacementIndex::Pool& pool : workers_.placement_index().pools()) {
      if ((pool.short_only && is_long(job)) ||
          !filters::placement_allowed(job, pool.type, pool.zone, pool.spot) ||
          !filters_.zones().admits_zone(pool.zone, job)) {
        continue;
      }
      const PlacementIndex::Group* group_with_image = pool.group_with_image(job.image);
      if (cached && group_with_image)
        consider_preempting(*group_with_image, job, most_lost_s, other_cells_only, best);
      if (!cached)
        consider_preempting(pool.all_machines, job, most_lost_s, other_cells_only, best);
    }
    if (best.machine || saves_s)
      break;
  }
  if (!best.machine) {
    ++failed;
    return false;
  }
  tasks_preempted_ += best.victims.size();
  for (const std::size_t position : best.victims)
    workers_.stop_task(*best.machine, best.machine->allocations[position], 0);
  start_task(*best.machine, job);
  return true;
}

// Stops the victim's tasks that started last, on machines that the job can use, until the job is served or
// the victim's team is within its guarantee. Returns how many tasks were stopped.
std::size_t Scheduler::reclaim_from(Job& victim, Job& job) {
  struct Candidate {
    Seconds running_since;
    MachineIndex machine;
    std::uint32_t task;
  };
  std::vector<Candidate> candidates;
  for (std::uint32_t task = 0; task < victim.tasks.size(); ++task) {
    if (victim.tasks[task].state != jobs::TaskState::placed)
      continue;
    Machine& machine = workers_.machine_at(victim.tasks[task].machine);
    ++machines_examined_;
    if (!can_start_on(machine, job, true) || machine.fits(job.spec.task_resources))
      continue;
    for (const Allocation& allocation : machine.allocations) {
      if (allocation.job == victim.index && allocation.task == task && allocation.occupies_machine &&
          !allocation.stop_requested)
        candidates.push_back({allocation.running_since, machine.index, task});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.running_since > b.running_since; });
  std::size_t stopped = 0;
  for (const Candidate& candidate : candidates) {
    if (!within_guarantee(job) || !has_startable_task(job))
      break;
    if (!exceeds_guarantee(victim))
      break;
    Machine& machine = workers_.machine_at(candidate.machine);
    if (!can_start_on(machine, job, true))
      continue;
    const bool checkpoints = victim.spec.checkpoint_interval_s > 0;
    for (Allocation& allocation : machine.allocations) {
      if (allocation.job == victim.index && allocation.task == candidate.task &&
          allocation.occupies_machine) {
        workers_.stop_task(machine, allocation, checkpoints ? victim.spec.checkpoint_cost_s + 1 : 0);
        ++stopped;
        ++tasks_reclaimed_;
        break;
      }
    }
    if (!checkpoints)
      start_task(machine, job);
  }
  return stopped;
}

// Stops tasks of teams that use more than their guarantee, so that waiting jobs within their guarantee start.
void Scheduler::reclaim_guarantees() {
  // Tasks end all the time, and the capacity that becomes free goes to jobs within their guarantee first,
  // whereas stopping a task discards its work. So a job first waits for a share of the time that it can spare
  // before its next deadline.
  constexpr Seconds kMinWait = 3;
  // With a small share, the same tasks would be stopped again and again for jobs that have most of their time
  // left.
  const double wait_share = balancing_enabled_ ? 0.4 : 0.1;
  // Jobs of teams that use more than their guarantee, in the reverse order of service.
  std::optional<std::vector<Job*>> victims;
  for (const JobIndex index : std::vector<JobIndex>(waiting_jobs_)) {
    Job* job = registry_.job_at(index);
    if (!job || !within_guarantee(*job) || !has_startable_task(*job) ||
        out_.now() - job->eligible_since < kMinWait)
      continue;
    const Seconds spare_s =
        objectives_.next_deadline(*job, 0) - job->eligible_since - estimated_run_time(*job);
    if (!job->is_service() && out_.now() - job->eligible_since < wait_share * spare_s)
      continue;
    if (fails_everywhere(*job))
      continue;
    const settings::Team* team = settings_.find_team(job->team);
    if (!team || (team->cpus <= 0 && team->gpus <= 0))
      continue;
    if (!victims) {
      victims.emplace();
      registry_.for_each([&](Job& other) {
        if (other.placed_tasks > 0 && !other.is_service() && exceeds_guarantee(other))
          victims->push_back(&other);
      });
      std::sort(victims->begin(), victims->end(),
                [this](const Job* a, const Job* b) { return precedes(*b, *a); });
    }
    // Stops the tasks that started last of the victim that is served last, on whatever machine they run.
    // Going through the machines one by one instead would repeatedly stop a small job whose tasks share the
    // first one.
    for (Job* victim : *victims) {
      if (!within_guarantee(*job) || !has_startable_task(*job))
        break;
      const wire::Resources& available = victim->spec.task_resources;
      const wire::Resources& required = job->spec.task_resources;
      if (victim->team == job->team || available.cpus + kEps < required.cpus ||
          available.gpus + kEps < required.gpus || available.memory_gb + kEps < required.memory_gb)
        continue;
      reclaim_from(*victim, *job);
    }
  }
}

}  // namespace wingtrail::scheduling
