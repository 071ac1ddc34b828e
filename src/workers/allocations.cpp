// Slots: tasks on machines. A task of an open job has one place at a time, on the machine whose slot names
// the job; whatever other machine shows it holds a copy, which is stopped, or gets the place when that comes
// free.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "workers/resources.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {

std::string job_of(const Allocation& s) {
  return s.name.substr(0, s.name.rfind('/'));
}

}  // namespace

void WorkerManager::add_stray(Machine& m, const Allocation& s) {
  ++m.unsized_allocations;
  strays_[job_of(s)].push_back({m.index, s.task});
  update_unreconciled(m);
}

void WorkerManager::remove_stray(Machine& m, const Allocation& s) {
  --m.unsized_allocations;
  const auto it = strays_.find(job_of(s));
  const auto copy = std::find_if(it->second.begin(), it->second.end(), [&](const StrayInstance& c) {
    return c.machine == m.index && c.task == s.task;
  });
  it->second.erase(copy);
  if (it->second.empty())
    strays_.erase(it);
  update_unreconciled(m);
}

bool WorkerManager::has_stray_instance(const std::string& ref, std::uint32_t task) const {
  const auto it = strays_.find(ref);
  return it != strays_.end() && std::any_of(it->second.begin(), it->second.end(),
                                            [task](const StrayInstance& c) { return c.task == task; });
}

Allocation* WorkerManager::stray_on(MachineIndex machine, const std::string& ref, std::uint32_t task) {
  for (Allocation& s : machines_[machine].allocations) {
    if (s.job == kNoIndex && s.occupies_machine && s.task == task && s.belongs_to(ref))
      return &s;
  }
  return nullptr;
}

bool WorkerManager::placement_uncertain(const jobs::Task& task) const {
  return task.state == jobs::TaskState::placed && !machines_[task.machine].fenced;
}

// Of one task, or of all.
void WorkerManager::stop_strays(const std::string& ref, std::optional<std::uint32_t> task) {
  const auto it = strays_.find(ref);
  if (it == strays_.end())
    return;
  for (const StrayInstance& c : it->second) {
    if (task && c.task != *task)
      continue;
    if (Allocation* slot = stray_on(c.machine, ref, c.task))
      stop_task(machines_[c.machine], *slot, 0);
  }
}

// The task is not on that machine any more. If another shows it, that is where it is: an old report that
// reached a new leader first may have given its place to a machine that had it before (AgentsTest). Waiting,
// it would be started a second time while that one is still to be told to stop.
void WorkerManager::unplace_task(jobs::Job& job, std::uint32_t task, const Machine& m) {
  registry_.unplace_task(job, task, m.zone);
  adopt_stray_instances(job, task);
}

// Gives a pending task its place on a machine that shows it; false if none does.
bool WorkerManager::adopt_stray_instances(jobs::Job& job, std::uint32_t task) {
  const auto it = strays_.find(job.spec.ref);
  if (it == strays_.end() || !job.is_open())
    return false;
  const auto copy = std::find_if(it->second.begin(), it->second.end(),
                                 [task](const StrayInstance& c) { return c.task == task; });
  if (copy == it->second.end())
    return false;
  Machine& m = machines_[copy->machine];
  Allocation& s = *stray_on(m.index, job.spec.ref, task);
  remove_stray(m, s);
  s.job = job.index;
  s.resources = job.spec.task_resources;
  if (!s.stops_immediately())
    add_resources(m.used, s.resources, 1);
  add_resources(team_usage_[job.team], s.resources, 1);
  registry_.place_task(job, task, m.index, m.zone);
  if (s.phase == Allocation::Phase::running) {
    s.running_since = out_.now();
    registry_.set_task_running(job, task, true);
    touch_image(m, job.image);
  }
  mark_changed(m);
  return true;
}

void WorkerManager::adopt_stray_instances(jobs::Job& job) {
  if (!strays_.contains(job.spec.ref))
    return;
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (job.tasks[task].state == jobs::TaskState::pending)
      adopt_stray_instances(job, task);
  }
}

// The worker has the task's result. Whoever else seems to have the task is told to stop.
void WorkerManager::complete_task(Machine& m, Allocation& s, jobs::Job& job) {
  if (s.job == kNoIndex) {
    release_placement(job, s.task);
    s.job = job.index;
    s.resources = job.spec.task_resources;
  }
  const MachineIndex placed_on = job.tasks[s.task].machine;
  registry_.complete_task(job, s.task, placed_on == kNoIndex ? kNoIndex : machines_[placed_on].zone);
  stop_strays(job.spec.ref, s.task);
  state_writer_.record_completion(job, s.task, m.index, s.attempt);
}

// The machine that has the task's place keeps it as a copy, until it proves that it is gone.
void WorkerManager::release_placement(jobs::Job& job, std::uint32_t task) {
  if (job.tasks[task].state != jobs::TaskState::placed)
    return;
  Machine& m = machines_[job.tasks[task].machine];
  for (Allocation& s : m.allocations) {
    if (s.job != job.index || s.task != task || !s.occupies_machine)
      continue;
    if (!s.stops_immediately())
      add_resources(m.used, s.resources, -1);
    add_resources(team_usage_[job.team], s.resources, -1);
    s.job = kNoIndex;
    s.resources = {};
    add_stray(m, s);
    mark_changed(m);
    return;
  }
}

void WorkerManager::release_allocation(Machine& m, Allocation& s) {
  if (!s.occupies_machine)
    return;
  s.occupies_machine = false;
  mark_changed(m);
  if (s.job == kNoIndex)
    return remove_stray(m, s);
  // A slot that ends at once has given its room to its successor already (see stop()).
  if (!s.stops_immediately())
    add_resources(m.used, s.resources, -1);
  add_resources(team_usage_[registry_.job_at(s.job)->team], s.resources, -1);
}

// The worker no longer has it, whatever it was.
void WorkerManager::drop_allocation(Machine& m, std::size_t i) {
  Allocation& s = m.allocations[i];
  jobs::Job* job = registry_.job_at(s.job);
  const std::uint32_t task = s.task;
  const bool had_place = job && s.occupies_machine;
  release_allocation(m, s);
  // Before its place goes to a copy: it must not be found again where it has just ended.
  m.allocations.erase(m.allocations.begin() + static_cast<std::ptrdiff_t>(i));
  if (had_place)
    unplace_task(*job, task, m);
  if (job)
    registry_.erase_if_over(*job);
}

void WorkerManager::end_incarnation(Machine& m) {
  for (std::size_t i = m.allocations.size(); i-- > 0;)
    drop_allocation(m, i);
  m.has_incarnation = false;
  m.idle_since = out_.now();
  update_expected(m);
  mark_changed(m);
}

}  // namespace wingtrail::workers
