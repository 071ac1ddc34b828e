// Preemption for higher priority, and reclaiming of guaranteed capacity.
#include <algorithm>

#include "scheduling/scheduler.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;  // of cores, GPUs and GB: rounding of sums
}

void Scheduler::consider_preempting(const PlacementIndex::Group& group, const Job& job, double most_lost_s,
                                    bool other_cells_only, PreemptionPlan& best) {
  if (group.members.empty())
    return;
  constexpr double kDelayWeight = 5;  // against the seconds of work thrown away
  const Seconds now = out_.now();
  for (int i = 0; i < 2 * settings_.tunables.steal_sample; ++i) {
    Machine& machine =
        workers_.machine_at(group.members[rng_(static_cast<std::uint32_t>(group.members.size()))]);
    ++machines_examined_;
    if (!can_start_on(machine, job, true))
      continue;
    // Youngest first: that loses the least work.
    std::vector<std::size_t> candidates;
    for (std::size_t s = 0; s < machine.allocations.size(); ++s) {
      const Allocation& allocation = machine.allocations[s];
      const Job* other = registry_.job_at(allocation.job);
      if (!other || !allocation.occupies_machine || allocation.stop_requested ||
          other->effective_priority >= job.effective_priority)
        continue;
      if (other_cells_only && other->origin_cell.empty())
        continue;
      if (other->spec.checkpoint_interval_s > 0 && other->spec.checkpoint_cost_s > 0)
        continue;  // its checkpoint would take too long here
      candidates.push_back(s);
    }
    auto age = [&](std::size_t s) {
      return machine.allocations[s].running_since > 0 ? now - machine.allocations[s].running_since : 0.0;
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](std::size_t a, std::size_t b) { return age(a) < age(b); });
    Machine after;  // the machine without the victims; only its sizes are set
    after.cpus = machine.cpus;
    after.gpus = machine.gpus;
    after.memory_gb = machine.memory_gb;
    after.used = machine.used;
    std::vector<std::size_t> victims;
    double cost = start_delay_s(machine, job) * kDelayWeight, lost_s = 0;
    for (const std::size_t s : candidates) {
      if (after.fits(job.spec.task_resources))
        break;
      after.used.cpus -= machine.allocations[s].resources.cpus;
      after.used.gpus -= machine.allocations[s].resources.gpus;
      after.used.memory_gb -= machine.allocations[s].resources.memory_gb;
      cost += 1 + age(s);
      lost_s += balancing_enabled_ && can_restart_in_time(machine.allocations[s]) ? 0 : age(s);
      victims.push_back(s);
    }
    if (lost_s > most_lost_s || victims.empty() || !after.fits(job.spec.task_resources))
      continue;
    if (!best.machine || cost < best.cost)
      best = {&machine, cost, victims};
  }
}

// Whether the task's job meets the same deadlines if the task has to run once more from now on.
bool Scheduler::can_restart_in_time(const Allocation& allocation) const {
  const Job* job = registry_.job_at(allocation.job);
  if (!job || allocation.running_since <= 0)
    return true;
  constexpr Seconds kRestartDelay = 10;  // until it starts again; on a full fleet some task ends all the time
  const Seconds run = estimated_run_time(*job), ends = allocation.running_since + run,
                later = out_.now() + kRestartDelay + run;
  return objectives_.meets_same_deadlines(*job, ends, later);
}

// Stops tasks of lower priority on one machine, and starts a task of the job there.
bool Scheduler::preempt_for_job(Job& job, std::optional<double> saves_s, bool other_cells_only) {
  const double most_lost_s = saves_s.value_or(1e9);
  // When all that runs has as high a priority every search fails; a few in a pass notice when that changes.
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
      const PlacementIndex::Group* with = pool.group_with_image(job.image);
      if (cached && with)
        consider_preempting(*with, job, most_lost_s, other_cells_only, best);
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
  for (const std::size_t s : best.victims)
    workers_.stop_task(*best.machine, best.machine->allocations[s], 0);
  start_task(*best.machine, job);
  return true;
}

// Stops the victim's youngest tasks on machines that the job can use; returns how many.
std::size_t Scheduler::reclaim_from(Job& victim, Job& job) {
  struct Candidate {
    Seconds running_since;
    MachineIndex machine;
    std::uint32_t task;
  };
  std::vector<Candidate> candidates;
  for (std::uint32_t i = 0; i < victim.tasks.size(); ++i) {
    if (victim.tasks[i].state != jobs::TaskState::placed)
      continue;
    Machine& machine = workers_.machine_at(victim.tasks[i].machine);
    ++machines_examined_;
    if (!can_start_on(machine, job, true) || machine.fits(job.spec.task_resources))
      continue;
    for (const Allocation& s : machine.allocations) {
      if (s.job == victim.index && s.task == i && s.occupies_machine && !s.stop_requested)
        candidates.push_back({s.running_since, machine.index, i});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.running_since > b.running_since; });
  std::size_t stopped = 0;
  const settings::Team& team = settings_.teams[victim.team];
  for (const Candidate& candidate : candidates) {
    if (!within_guarantee(job) || !has_startable_task(job))
      break;
    if (workers_.team_usage(victim.team).cpus <= team.cpus + kEps)
      break;
    Machine& machine = workers_.machine_at(candidate.machine);
    if (!can_start_on(machine, job, true))
      continue;
    const bool checkpoints = victim.spec.checkpoint_interval_s > 0;
    for (Allocation& s : machine.allocations) {
      if (s.job == victim.index && s.task == candidate.task && s.occupies_machine) {
        workers_.stop_task(machine, s, checkpoints ? victim.spec.checkpoint_cost_s + 1 : 0);
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

// A team below its guarantee gets it from those that run beyond theirs.
void Scheduler::reclaim_guarantees() {
  // Tasks end all the time, and what comes free goes to those within their guarantee first; stopping one
  // throws its work away. So a job that can spare the time waits for a part of it.
  constexpr Seconds kMinPatience = 3;
  // With little patience the same tasks are stopped again and again, for jobs with most of their time left.
  const double patience_share = balancing_enabled_ ? 0.4 : 0.1;  // of the time the job can spare
  // Jobs of teams beyond their guarantee, the one that comes last first.
  std::optional<std::vector<Job*>> victims;
  for (const JobIndex index : std::vector<JobIndex>(waiting_jobs_)) {
    Job* job = registry_.job_at(index);
    if (!job || !within_guarantee(*job) || !has_startable_task(*job) ||
        out_.now() - job->eligible_since < kMinPatience)
      continue;
    const Seconds spare = objectives_.next_deadline(*job, 0) - job->eligible_since - estimated_run_time(*job);
    if (!job->is_service() && out_.now() - job->eligible_since < patience_share * spare)
      continue;
    if (fails_everywhere(*job))
      continue;
    if (settings_.teams[job->team].cpus <= 0 && settings_.teams[job->team].gpus <= 0)
      continue;
    if (!victims) {
      victims.emplace();
      registry_.for_each([&](Job& other) {
        if (other.placed_tasks > 0 && !other.is_service() &&
            workers_.team_usage(other.team).cpus > settings_.teams[other.team].cpus + kEps)
          victims->push_back(&other);
      });
      std::sort(victims->begin(), victims->end(),
                [this](const Job* a, const Job* b) { return precedes(*b, *a); });
    }
    // Over all machines a task of the job that comes last, and of these the youngest. Going by machine
    // instead would stop a small job whose tasks share the first machine again and again.
    for (Job* victim : *victims) {
      if (!within_guarantee(*job) || !has_startable_task(*job))
        break;
      const wire::Resources &has = victim->spec.task_resources, &needs = job->spec.task_resources;
      if (victim->team == job->team || has.cpus + kEps < needs.cpus || has.gpus + kEps < needs.gpus ||
          has.memory_gb + kEps < needs.memory_gb)
        continue;
      reclaim_from(*victim, *job);
    }
  }
}

}  // namespace wingtrail::scheduling
