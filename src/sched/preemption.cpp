// Stopping tasks: for higher priority, and to give a team its guarantee.
#include <algorithm>

#include "sched/scheduler.hpp"

namespace wingtrail::sched {
namespace {
constexpr double kEps = 1e-6;
}

void Scheduler::consider_preempting(const Index::Group& group, const Job& job, double most_lost_s,
                                    bool guests, Preemption& best) {
  if (group.members.empty())
    return;
  const Seconds now = out_.now();
  for (int i = 0; i < 2 * settings_.tunables.steal_sample; ++i) {
    Machine& m = agents_.at(group.members[rng_(static_cast<std::uint32_t>(group.members.size()))]);
    ++machines_examined_;
    if (!can_start(m, job, true))
      continue;
    // Youngest first: that loses the least work.
    std::vector<std::size_t> order;
    for (std::size_t s = 0; s < m.slots.size(); ++s) {
      const Slot& slot = m.slots[s];
      const Job* other = registry_.at(slot.job);
      if (!other || !slot.counted || slot.stop || other->priority >= job.priority)
        continue;
      if (guests && other->guest.empty())
        continue;
      if (other->spec.checkpoint_s > 0 && other->spec.save_s > 0)
        continue;  // its saving would take too long here
      order.push_back(s);
    }
    auto age = [&](std::size_t s) {
      return m.slots[s].running_since > 0 ? now - m.slots[s].running_since : 0.0;
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return age(a) < age(b); });
    Machine after;  // only its sizes matter
    after.cpus = m.cpus, after.gpus = m.gpus, after.memory_gb = m.memory_gb, after.used = m.used;
    std::vector<std::size_t> victims;
    double cost = waiting(m, job) * 5, lost = 0;
    for (const std::size_t s : order) {
      if (after.fits(job.spec.need))
        break;
      after.used.cpus -= m.slots[s].need.cpus;
      after.used.gpus -= m.slots[s].need.gpus;
      after.used.memory_gb -= m.slots[s].need.memory_gb;
      cost += 1 + age(s);
      lost += roomy_ && harmless(m.slots[s]) ? 0 : age(s);
      victims.push_back(s);
    }
    if (lost > most_lost_s || victims.empty() || !after.fits(job.spec.need))
      continue;
    if (!best.where || cost < best.cost)
      best = {&m, cost, victims};
  }
}

// Whether the task's job meets the same aims if the task has to run once more from now on.
bool Scheduler::harmless(const Slot& slot) const {
  const Job* job = registry_.at(slot.job);
  if (!job || slot.running_since <= 0)
    return true;
  constexpr Seconds kSomewhere =
      10;  // until it finds room again; on a full fleet some task ends all the time
  const Seconds run = estimate(*job), ends = slot.running_since + run, later = out_.now() + kSomewhere + run;
  bool same = true;
  each_due(*job, [&](Seconds at) { same &= (ends <= at) == (later <= at); });
  return same;
}

// Makes room for a task of higher priority by stopping lower ones on one machine, and starts it there.
bool Scheduler::preempt_for(Job& job, std::optional<double> saves_s, bool guests) {
  const double most_lost_s = saves_s.value_or(1e9);
  // When all that runs is as important, every search is in vain; a few a pass notice when that changes.
  int& vain = vain_[static_cast<std::size_t>(job.priority)];
  if (vain >= settings_.tunables.steal_sample || !startable(job) || fails_everywhere(job))
    return false;
  Preemption best;
  for (const bool cached : {true, false}) {
    for (const Index::Pool& p : agents_.index().pools()) {
      if ((p.short_only && is_long(job)) || !gates::allowed(job, p.type, p.zone, p.spot) ||
          !gates_.zones().open_in(p.zone, job)) {
        continue;
      }
      const Index::Group* with = p.with(job.image);
      if (cached && with)
        consider_preempting(*with, job, most_lost_s, guests, best);
      if (!cached)
        consider_preempting(p.all, job, most_lost_s, guests, best);
    }
    if (best.where || saves_s)
      break;
  }
  if (!best.where) {
    ++vain;
    return false;
  }
  preempted_ += best.victims.size();
  for (const std::size_t s : best.victims)
    agents_.stop(*best.where, best.where->slots[s], 0);
  start(*best.where, job);
  return true;
}

// Stops the victim's youngest tasks whose room the job can use; returns how many.
std::size_t Scheduler::reclaim_from(Job& victim, Job& job) {
  struct Found {
    Seconds since;
    Ix machine;
    std::uint32_t task;
  };
  std::vector<Found> found;
  for (std::uint32_t i = 0; i < victim.tasks.size(); ++i) {
    if (victim.tasks[i].state != jobs::TaskState::placed)
      continue;
    Machine& m = agents_.at(victim.tasks[i].machine);
    ++machines_examined_;
    if (!can_start(m, job, true) || m.fits(job.spec.need))
      continue;
    for (const Slot& s : m.slots) {
      if (s.job == victim.ix && s.task == i && s.counted && !s.stop)
        found.push_back({s.running_since, m.ix, i});
    }
  }
  std::sort(found.begin(), found.end(), [](const Found& a, const Found& b) { return a.since > b.since; });
  std::size_t stopped = 0;
  const settings::Team& team = settings_.teams[victim.team];
  for (const Found& f : found) {
    if (!under_guarantee(job) || !startable(job))
      break;
    if (agents_.team_use(victim.team).cpus <= team.cpus + kEps)
      break;
    Machine& m = agents_.at(f.machine);
    if (!can_start(m, job, true))
      continue;
    const bool saves = victim.spec.checkpoint_s > 0;
    for (Slot& s : m.slots) {
      if (s.job == victim.ix && s.task == f.task && s.counted) {
        agents_.stop(m, s, saves ? victim.spec.save_s + 1 : 0);
        ++stopped;
        ++reclaimed_;
        break;
      }
    }
    if (!saves)
      start(m, job);
  }
  return stopped;
}

// A team below its guarantee gets it from those that run beyond theirs.
void Scheduler::reclaim_guarantees() {
  // Tasks end all the time, and what comes free goes to those within their guarantee first; stopping one
  // throws its work away. So a job that can spare the time waits for a part of it.
  constexpr Seconds kPatience = 3;
  // Of every ten core-seconds that were held beyond a guarantee on calm days of roamkvitto-core-fleet one was
  // thrown away so, mostly the same tasks again and again, for jobs that had most of their time left.
  const double part = roomy_ ? 0.4 : 0.1;
  // Jobs of teams beyond their guarantee, the one that comes last first.
  std::optional<std::vector<Job*>> victims;
  for (const Ix ix : std::vector<Ix>(waiting_)) {
    Job* job = registry_.at(ix);
    if (!job || !under_guarantee(*job) || !startable(*job) || out_.now() - job->since < kPatience)
      continue;
    const Seconds spare = due(*job, 0) - job->since - estimate(*job);
    if (!job->service() && out_.now() - job->since < part * spare)
      continue;
    if (fails_everywhere(*job))
      continue;
    if (settings_.teams[job->team].cpus <= 0 && settings_.teams[job->team].gpus <= 0)
      continue;
    if (!victims) {
      victims.emplace();
      registry_.each([&](Job& other) {
        if (other.placed > 0 && !other.service() &&
            agents_.team_use(other.team).cpus > settings_.teams[other.team].cpus + kEps)
          victims->push_back(&other);
      });
      std::sort(victims->begin(), victims->end(),
                [this](const Job* a, const Job* b) { return before(*b, *a); });
    }
    // Over all machines a task of the job that comes last, and of these the youngest. Going by machine
    // instead hit a small job that sat together on the first one again and again.
    for (Job* victim : *victims) {
      if (!under_guarantee(*job) || !startable(*job))
        break;
      const wire::Resources &has = victim->spec.need, &needs = job->spec.need;
      if (victim->team == job->team || has.cpus + kEps < needs.cpus || has.gpus + kEps < needs.gpus ||
          has.memory_gb + kEps < needs.memory_gb)
        continue;
      reclaim_from(*victim, *job);
    }
  }
}

}  // namespace wingtrail::sched
