// Slots: tasks on machines. A task of an open job has one place at a time, on the machine whose slot names
// the job; whatever other machine shows it holds a copy, which is stopped, or gets the place when that comes
// free.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "agents/agents.hpp"
#include "agents/resources.hpp"

namespace wingtrail::agents {
namespace {

std::string job_of(const Slot& s) {
  return s.name.substr(0, s.name.rfind('/'));
}

}  // namespace

void Agents::add_copy(Machine& m, const Slot& s) {
  ++m.unknown;
  copies_[job_of(s)].push_back({m.ix, s.task});
  account(m);
}

void Agents::remove_copy(Machine& m, const Slot& s) {
  --m.unknown;
  const auto it = copies_.find(job_of(s));
  const auto copy = std::find_if(it->second.begin(), it->second.end(),
                                 [&](const Copy& c) { return c.machine == m.ix && c.task == s.task; });
  it->second.erase(copy);
  if (it->second.empty())
    copies_.erase(it);
  account(m);
}

bool Agents::holds_unplaced(const std::string& ref, std::uint32_t task) const {
  const auto it = copies_.find(ref);
  return it != copies_.end() &&
         std::any_of(it->second.begin(), it->second.end(), [task](const Copy& c) { return c.task == task; });
}

Slot* Agents::copy_on(Ix machine, const std::string& ref, std::uint32_t task) {
  for (Slot& s : machines_[machine].slots) {
    if (s.job == kNone && s.counted && s.task == task && s.of(ref))
      return &s;
  }
  return nullptr;
}

bool Agents::place_in_doubt(const jobs::Task& task) const {
  return task.state == jobs::TaskState::placed && !machines_[task.machine].settled;
}

// Of one task, or of all.
void Agents::stop_copies(const std::string& ref, std::optional<std::uint32_t> task) {
  const auto it = copies_.find(ref);
  if (it == copies_.end())
    return;
  for (const Copy& c : it->second) {
    if (task && c.task != *task)
      continue;
    if (Slot* slot = copy_on(c.machine, ref, c.task))
      stop(machines_[c.machine], *slot, 0);
  }
}

// The task is not on that machine any more. If another shows it, that is where it is: an old report that
// reached a new leader first may have given its place to a machine that had it before (AgentsTest). Waiting,
// it would be started a second time while that one is still to be told to stop.
void Agents::unplace(jobs::Job& job, std::uint32_t task, const Machine& m) {
  registry_.unplace(job, task, m.zone);
  claim(job, task);
}

// Gives a pending task its place on a machine that shows it; false if none does.
bool Agents::claim(jobs::Job& job, std::uint32_t task) {
  const auto it = copies_.find(job.spec.ref);
  if (it == copies_.end() || !job.open())
    return false;
  const auto copy =
      std::find_if(it->second.begin(), it->second.end(), [task](const Copy& c) { return c.task == task; });
  if (copy == it->second.end())
    return false;
  Machine& m = machines_[copy->machine];
  Slot& s = *copy_on(m.ix, job.spec.ref, task);
  remove_copy(m, s);
  s.job = job.ix;
  s.need = job.spec.need;
  if (!s.ends_at_once())
    add(m.used, s.need, 1);
  add(team_use_[job.team], s.need, 1);
  registry_.place(job, task, m.ix, m.zone);
  if (s.phase == Slot::Phase::running) {
    s.running_since = out_.now();
    registry_.set_running(job, task, true);
    touch_image(m, job.image);
  }
  changed(m);
  return true;
}

void Agents::claim(jobs::Job& job) {
  if (!copies_.contains(job.spec.ref))
    return;
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (job.tasks[task].state == jobs::TaskState::pending)
      claim(job, task);
  }
}

// The worker has the task's result. Whoever else seems to have the task is told to stop.
void Agents::complete(Machine& m, Slot& s, jobs::Job& job) {
  if (s.job == kNone) {
    give_up_place(job, s.task);
    s.job = job.ix;
    s.need = job.spec.need;
  }
  const Ix placed_on = job.tasks[s.task].machine;
  registry_.complete(job, s.task, placed_on == kNone ? kNone : machines_[placed_on].zone);
  stop_copies(job.spec.ref, s.task);
  ledger_.progress(job, s.task, m.ix, s.attempt);
}

// The machine that has the task's place keeps it as a copy, until it proves that it is gone.
void Agents::give_up_place(jobs::Job& job, std::uint32_t task) {
  if (job.tasks[task].state != jobs::TaskState::placed)
    return;
  Machine& m = machines_[job.tasks[task].machine];
  for (Slot& s : m.slots) {
    if (s.job != job.ix || s.task != task || !s.counted)
      continue;
    if (!s.ends_at_once())
      add(m.used, s.need, -1);
    add(team_use_[job.team], s.need, -1);
    s.job = kNone;
    s.need = {};
    add_copy(m, s);
    changed(m);
    return;
  }
}

void Agents::release(Machine& m, Slot& s) {
  if (!s.counted)
    return;
  s.counted = false;
  changed(m);
  if (s.job == kNone)
    return remove_copy(m, s);
  // A slot that ends at once has given its room to its successor already (see stop()).
  if (!s.ends_at_once())
    add(m.used, s.need, -1);
  add(team_use_[registry_.at(s.job)->team], s.need, -1);
}

// The worker no longer has it, whatever it was.
void Agents::drop_slot(Machine& m, std::size_t i) {
  Slot& s = m.slots[i];
  jobs::Job* job = registry_.at(s.job);
  const std::uint32_t task = s.task;
  const bool had_place = job && s.counted;
  release(m, s);
  // Before its place goes to a copy: it must not be found again where it has just ended.
  m.slots.erase(m.slots.begin() + static_cast<std::ptrdiff_t>(i));
  if (had_place)
    unplace(*job, task, m);
  if (job)
    registry_.drop_if_over(*job);
}

void Agents::end_session(Machine& m) {
  for (std::size_t i = m.slots.size(); i-- > 0;)
    drop_slot(m, i);
  m.reporting = false;
  m.idle_since = out_.now();
  expect(m);
  changed(m);
}

}  // namespace wingtrail::agents
