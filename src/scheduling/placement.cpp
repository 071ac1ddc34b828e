// Long tasks and gangs, and whatever else goes to the machine where it can begin soonest.
#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr double kEps = 1e-6;
}

// Seconds that a machine of the type takes for the job's image alone; 0: not known.
Seconds Scheduler::fetch_s(MachineTypeIndex type, const Job& job) const {
  const double rate = type < catalog_.size() ? catalog_[type].fetch_gb_per_s : 0;
  return rate > 0 ? job.spec.image_gb / rate : 0;
}

// Seconds until a task of the job could begin here: the fetch, and what is queued ahead of it. Between
// machines that could begin equally soon, the fuller one is taken, so that others become empty and can be
// returned.
double Scheduler::waiting_jobs(const Machine& m, const Job& job) const {
  double s = 0;
  double same_job = 0;
  bool fetching = false;
  for (const Allocation& slot : m.allocations) {
    if (slot.job != job.index || !slot.occupies_machine)
      continue;
    ++same_job;
    fetching |= slot.phase == Allocation::Phase::fetching;
  }
  if (!m.has_image(job.image)) {
    s += fetch_s(m.type, job);
    if (fetching)
      s *= 0.5;  // on its way already
  }
  if (job.is_service())
    s += same_job * 2.0;
  s *= std::max(1.0, m.observed_slowdown);
  if (m.spot)
    s += spot_risk_s(m, job);
  return s + 0.2 * (1 - m.used.cpus / std::max(m.cpus, 1.0));
}

// What a spot machine costs an array in time: one machine taken means that the array waits for a task's whole
// run once more, and it is on as many machines as its tasks fill.
double Scheduler::spot_risk_s(const Machine& m, const Job& job) const {
  const double run = estimated_run_time(job);
  const double machines =
      std::max(1.0, (job.spec.tasks - job.done_tasks) * job.spec.task_resources.cpus / std::max(m.cpus, 1.0));
  return run * (1 - std::exp(-workers_.spot_preemption_rate() * run * machines));
}

Machine* Scheduler::least_waiting(const Job& job, bool cached_only) {
  Machine* best = nullptr;
  double best_wait = 0;
  const bool is_long_job = is_long(job);
  auto look = [&](const PlacementIndex::Group& group) {
    auto it = group.by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
    for (int n = 0; it != group.by_free_cores.end() && n < settings_.tunables.steal_sample; ++it) {
      Machine& m = workers_.machine_at(it->second);
      ++machines_examined_;
      ++n;
      if (!can_start_on(m, job))
        continue;
      const double wait = waiting_jobs(m, job);
      if (!best || wait < best_wait)
        best = &m, best_wait = wait;
    }
  };
  for (const bool cached : {true, false}) {
    for (const PlacementIndex::Pool& p : workers_.placement_index().pools()) {
      if ((p.short_only && is_long_job) || !filters::placement_allowed(job, p.type, p.zone, p.spot) ||
          !filters_.zones().admits_zone(p.zone, job))
        continue;
      const PlacementIndex::Group* with = p.group_with_image(job.image);
      if (cached && with)
        look(*with);
      if (!cached)
        look(p.all_machines);
    }
    // Nothing is won by a fetch unless all that have the image are a worse choice for another reason.
    constexpr double kGoodEnough = 1.0;
    if (cached_only || (best && best_wait < kGoodEnough))
      break;
  }
  return best;
}

// What it is worth, in seconds, to put the service's next task elsewhere than on this machine. Its image is
// needed where it can be had at once later on: beside work that gives way. A machine full of services has no
// such place, however many images it holds, and takes more of them with it when it is lost.
double Scheduler::crowding(const Machine& m, const Job& job) const {
  constexpr double kFull = 4;  // a machine full of services, against one without any
  double services = 0;
  for (const Allocation& slot : m.allocations) {
    const Job* other = registry_.job_at(slot.job);
    if (slot.occupies_machine && other && other->is_service())
      services += slot.resources.cpus;
  }
  double cost = kFull * services / std::max(m.cpus, 1.0) + waiting_jobs(m, job);
  // A fetch that ends within the aim costs nothing.
  const Seconds fetch = m.has_image(job.image) ? 0 : fetch_s(m.type, job);
  if (fetch > 0 && objectives_.starts_in_time_after_fetch(job, fetch))
    cost -= fetch;
  return cost;
}

// For a service on a fleet that need not be kept small: of machines with its image and of all others, some of
// the emptiest and some drawn, the one that is least crowded with services.
Machine* Scheduler::least_crowded(const Job& job) {
  Machine* best = nullptr;
  double best_cost = 0;
  const auto look = [&](MachineIndex ix) {
    Machine& m = workers_.machine_at(ix);
    ++machines_examined_;
    if (!can_start_on(m, job))
      return;
    const double cost = crowding(m, job);
    if (!best || cost < best_cost)
      best = &m, best_cost = cost;
  };
  for (const PlacementIndex::Pool& p : workers_.placement_index().pools()) {
    if (p.short_only || !filters::placement_allowed(job, p.type, p.zone, p.spot) ||
        !filters_.zones().admits_zone(p.zone, job))
      continue;
    for (const PlacementIndex::Group* group : {p.group_with_image(job.image), &p.all_machines}) {
      if (!group)
        continue;
      auto it = group->by_free_cores.rbegin();
      for (int n = 0; it != group->by_free_cores.rend() && n < settings_.tunables.steal_sample; ++n)
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
  const bool spread_out = job.is_service() && balancing_enabled_;
  // A gang that lost a task starts again as a whole, once the others have noticed and ended.
  if (job.is_gang() && (job.placed_tasks > 0 || !gang_fits(job)))
    return;
  while (has_startable_task(job)) {
    Machine* m = spread_out ? least_crowded(job) : least_waiting(job);
    if (!m) {
      if (!preempt_for_job(job, {}))
        return;
      continue;
    }
    // A service need not wait for a fetch if a lower task holds its place on a machine that has the image,
    // and has not run for longer than the fetch takes: its job waits for that once more.
    constexpr double kFetchWorthPreempting = 1.0;
    const double wait = waiting_jobs(*m, job);
    const bool worth =
        wait > kFetchWorthPreempting && !(spread_out && objectives_.starts_in_time_after_fetch(job, wait));
    if (job.is_service() && worth && preempt_for_job(job, wait))
      continue;
    start_task(*m, job);
  }
}

// Whether all of a gang's missing tasks find room now: part of a gang would hold its machines for nothing.
bool Scheduler::gang_fits(const Job& job) {
  const auto n = static_cast<double>(job.pending_tasks.size());
  if (!filters_.quota().admits_tasks(job, n))
    return false;
  std::unordered_map<ZoneIndex, double> zones;
  for (const PlacementIndex::Pool& p : workers_.placement_index().pools()) {
    if (p.short_only || !filters::placement_allowed(job, p.type, p.zone, p.spot))
      continue;
    double& found = zones[job.spec.same_zone ? p.zone : ZoneIndex(0)];
    for (auto it =
             p.all_machines.by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
         it != p.all_machines.by_free_cores.end() && found < n; ++it) {
      const Machine& m = workers_.machine_at(it->second);
      ++machines_examined_;
      if (!can_start_on(m, job))
        continue;
      double room = n;
      auto bound = [&room](double free, double need) {
        if (need > 0)
          room = std::min(room, std::floor((free + kEps) / need));
      };
      bound(m.cpus - m.used.cpus, job.spec.task_resources.cpus);
      bound(m.gpus - m.used.gpus, job.spec.task_resources.gpus);
      bound(m.memory_gb - m.used.memory_gb, job.spec.task_resources.memory_gb);
      found += room;
    }
  }
  return std::any_of(zones.begin(), zones.end(), [n](const auto& z) { return z.second >= n; });
}

// The task that moves no longer counts in its zone. With it, a service spread evenly over two zones could
// move to neither, and the first machine to be emptied of it kept all others waiting to the end.
bool Scheduler::zone_allows_migration(ZoneIndex zone, const Job& job, const Machine& from) {
  const std::uint32_t here =
      (zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0) - (zone == from.zone ? 1 : 0);
  return !job.spec.spread_zones || here + 1 <= (job.spec.tasks + 1) / 2;
}

bool Scheduler::can_migrate(const Job& job, const Machine& from) {
  for (const PlacementIndex::Pool& p : workers_.placement_index().pools()) {
    if (p.short_only || !filters::placement_allowed(job, p.type, p.zone, p.spot))
      continue;
    if (!zone_allows_migration(p.zone, job, from))
      continue;
    const PlacementIndex::Group* cached = p.group_with_image(job.image);
    if (!cached)
      continue;
    auto it = cached->by_free_cores.lower_bound({job.spec.task_resources.cpus - kEps, MachineIndex(0)});
    for (int n = 0; it != cached->by_free_cores.end() && n < settings_.tunables.steal_sample; ++it, ++n) {
      const Machine& m = workers_.machine_at(it->second);
      if (m.index != from.index && workers_.accepts_tasks(m) && m.fits(job.spec.task_resources))
        return true;
    }
  }
  return false;
}

}  // namespace wingtrail::scheduling
