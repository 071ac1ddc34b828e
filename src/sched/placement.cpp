// Long tasks and gangs, and whatever else goes to the machine where it can begin soonest.
#include <algorithm>
#include <cmath>

#include "sched/scheduler.hpp"

namespace wingtrail::sched {
namespace {
constexpr double kEps = 1e-6;
}

// Seconds that a machine of the type takes for the job's image alone; 0: not known.
Seconds Scheduler::fetch_s(Ix type, const Job& job) const {
  const double rate = type < catalog_.size() ? catalog_[type].fetch_gb_per_s : 0;
  return rate > 0 ? job.spec.image_gb / rate : 0;
}

// Seconds until a task of the job could begin here: the fetch, and what is queued ahead of it. Between
// machines that could begin equally soon, the fuller one is taken, so that others become empty and can be
// returned.
double Scheduler::waiting(const Machine& m, const Job& job) const {
  double s = 0;
  double same_job = 0;
  bool fetching = false;
  for (const Slot& slot : m.slots) {
    if (slot.job != job.ix || !slot.counted)
      continue;
    ++same_job;
    fetching |= slot.phase == Slot::Phase::fetching;
  }
  if (!m.has_image(job.image)) {
    s += fetch_s(m.type, job);
    if (fetching)
      s *= 0.5;  // on its way already
  }
  if (job.service())
    s += same_job * 2.0;
  s *= std::max(1.0, m.slowness);
  if (m.spot)
    s += spot_risk_s(m, job);
  return s + 0.2 * (1 - m.used.cpus / std::max(m.cpus, 1.0));
}

// What a spot machine costs an array in time: one machine taken means that the array waits for a task's whole
// run once more, and it is on as many machines as its tasks fill.
double Scheduler::spot_risk_s(const Machine& m, const Job& job) const {
  const double run = estimate(job);
  const double machines =
      std::max(1.0, (job.spec.tasks - job.done) * job.spec.need.cpus / std::max(m.cpus, 1.0));
  return run * (1 - std::exp(-agents_.spot_loss_rate() * run * machines));
}

Machine* Scheduler::least_waiting(const Job& job, bool cached_only) {
  Machine* best = nullptr;
  double best_wait = 0;
  const bool is_long_job = is_long(job);
  auto look = [&](const Index::Group& group) {
    auto it = group.room.lower_bound({job.spec.need.cpus - kEps, 0});
    for (int n = 0; it != group.room.end() && n < settings_.tunables.steal_sample; ++it) {
      Machine& m = agents_.at(it->second);
      ++machines_examined_;
      ++n;
      if (!can_start(m, job))
        continue;
      const double wait = waiting(m, job);
      if (!best || wait < best_wait)
        best = &m, best_wait = wait;
    }
  };
  for (const bool cached : {true, false}) {
    for (const Index::Pool& p : agents_.index().pools()) {
      if ((p.short_only && is_long_job) || !gates::allowed(job, p.type, p.zone, p.spot) ||
          !gates_.zones().open_in(p.zone, job))
        continue;
      const Index::Group* with = p.with(job.image);
      if (cached && with)
        look(*with);
      if (!cached)
        look(p.all);
    }
    // Nothing is won by a fetch unless all that have the image are a worse choice for another reason.
    constexpr double kGoodEnough = 1.0;
    if (cached_only || (best && best_wait < kGoodEnough))
      break;
  }
  return best;
}

// Within what time the class's tasks should start; nothing is won by starting sooner.
Seconds Scheduler::wait_aim(const Job& job) const {
  Seconds least = 0;
  for (const Aim& aim : aims(job.job_class)) {
    if (aim.kind == Aim::Kind::wait)
      least = least > 0 ? std::min(least, aim.value) : aim.value;
  }
  return least;
}

// Whether a fetch of that long ends within the aim.
bool Scheduler::in_time(const Job& job, Seconds fetch) const {
  constexpr double kFetchVaries = 1.33;  // PROTOCOL: give or take a third
  constexpr Seconds kOnTheWay = 0.3;     // submission, order and report
  return out_.now() - job.since + fetch * kFetchVaries + kOnTheWay < wait_aim(job);
}

// What it is worth, in seconds, to put the service's next task elsewhere than on this machine. Its image is
// needed where it can be had at once later on: beside work that gives way. A machine full of services has no
// such place, however many images it holds, and takes more of them with it when it is lost.
double Scheduler::crowding(const Machine& m, const Job& job) const {
  constexpr double kFull = 4;  // a machine full of services, against one without any
  double services = 0;
  for (const Slot& slot : m.slots) {
    const Job* other = registry_.at(slot.job);
    if (slot.counted && other && other->service())
      services += slot.need.cpus;
  }
  double cost = kFull * services / std::max(m.cpus, 1.0) + waiting(m, job);
  // A fetch that ends within the aim costs nothing.
  const Seconds fetch = m.has_image(job.image) ? 0 : fetch_s(m.type, job);
  if (fetch > 0 && in_time(job, fetch))
    cost -= fetch;
  return cost;
}

// For a service on a fleet that need not be kept small: of machines with its image and of all others, some of
// the emptiest and some drawn, the one that is least crowded with services.
Machine* Scheduler::least_crowded(const Job& job) {
  Machine* best = nullptr;
  double best_cost = 0;
  const auto look = [&](Ix ix) {
    Machine& m = agents_.at(ix);
    ++machines_examined_;
    if (!can_start(m, job))
      return;
    const double cost = crowding(m, job);
    if (!best || cost < best_cost)
      best = &m, best_cost = cost;
  };
  for (const Index::Pool& p : agents_.index().pools()) {
    if (p.short_only || !gates::allowed(job, p.type, p.zone, p.spot) || !gates_.zones().open_in(p.zone, job))
      continue;
    for (const Index::Group* group : {p.with(job.image), &p.all}) {
      if (!group)
        continue;
      auto it = group->room.rbegin();
      for (int n = 0; it != group->room.rend() && n < settings_.tunables.steal_sample; ++n)
        look((it++)->second);
      if (group->members.empty())
        continue;
      for (int n = 0; n < settings_.tunables.steal_sample; ++n)
        look(group->members[rng_(static_cast<std::uint32_t>(group->members.size()))]);
    }
  }
  return best;
}

void Scheduler::place_long(Job& job) {
  const bool spread_out = job.service() && roomy_;
  // A gang that lost a task starts again as a whole, once the others have noticed and ended.
  if (job.gang() && (job.placed > 0 || !gang_fits(job)))
    return;
  while (startable(job)) {
    Machine* m = spread_out ? least_crowded(job) : least_waiting(job);
    if (!m) {
      if (!preempt_for(job, {}))
        return;
      continue;
    }
    // A service need not wait for a fetch if a lower task holds its place on a machine that has the image,
    // and has not run for longer than the fetch takes: its job waits for that once more.
    constexpr double kFetchWorthPreempting = 1.0;
    const double wait = waiting(*m, job);
    const bool worth = wait > kFetchWorthPreempting && !(spread_out && in_time(job, wait));
    if (job.service() && worth && preempt_for(job, wait))
      continue;
    start(*m, job);
  }
}

// Whether all of a gang's missing tasks find room now: part of a gang would hold its machines for nothing.
bool Scheduler::gang_fits(const Job& job) {
  const auto n = static_cast<double>(job.pending.size());
  if (!gates_.limits().open_for(job, n))
    return false;
  std::unordered_map<Ix, double> zones;
  for (const Index::Pool& p : agents_.index().pools()) {
    if (p.short_only || !gates::allowed(job, p.type, p.zone, p.spot))
      continue;
    double& found = zones[job.spec.one_zone ? p.zone : 0];
    for (auto it = p.all.room.lower_bound({job.spec.need.cpus - kEps, 0});
         it != p.all.room.end() && found < n; ++it) {
      const Machine& m = agents_.at(it->second);
      ++machines_examined_;
      if (!can_start(m, job))
        continue;
      double room = n;
      auto bound = [&room](double free, double need) {
        if (need > 0)
          room = std::min(room, std::floor((free + kEps) / need));
      };
      bound(m.cpus - m.used.cpus, job.spec.need.cpus);
      bound(m.gpus - m.used.gpus, job.spec.need.gpus);
      bound(m.memory_gb - m.used.memory_gb, job.spec.need.memory_gb);
      found += room;
    }
  }
  return std::any_of(zones.begin(), zones.end(), [n](const auto& z) { return z.second >= n; });
}

// The task that moves no longer counts in its zone. With it, a service spread evenly over two zones could
// move to neither, and the first machine to be emptied of it kept all others waiting to the end.
bool Scheduler::zone_bears_move(Ix zone, const Job& job, const Machine& from) {
  const std::uint32_t here =
      (zone < job.in_zone.size() ? job.in_zone[zone] : 0) - (zone == from.zone ? 1 : 0);
  return !job.spec.spread || here + 1 <= (job.spec.tasks + 1) / 2;
}

bool Scheduler::could_move(const Job& job, const Machine& from) {
  for (const Index::Pool& p : agents_.index().pools()) {
    if (p.short_only || !gates::allowed(job, p.type, p.zone, p.spot))
      continue;
    if (!zone_bears_move(p.zone, job, from))
      continue;
    const Index::Group* cached = p.with(job.image);
    if (!cached)
      continue;
    auto it = cached->room.lower_bound({job.spec.need.cpus - kEps, 0});
    for (int n = 0; it != cached->room.end() && n < settings_.tunables.steal_sample; ++it, ++n) {
      const Machine& m = agents_.at(it->second);
      if (m.ix != from.ix && agents_.may_start(m) && m.fits(job.spec.need))
        return true;
    }
  }
  return false;
}

}  // namespace wingtrail::sched
