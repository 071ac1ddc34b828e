// What the work that there is would need, for the fleet to rent by.
#include <algorithm>
#include <cmath>

#include "scheduling/scheduler.hpp"

namespace wingtrail::scheduling {
namespace {
constexpr Seconds kOfferedOver = 60;  // what has come lately
}

// What room comes free within the time that the job can spare needs no machine: its tasks run one after
// another. A machine that is rented for it now comes after a boot, so what counts is the first time it can
// still meet then; and one that would be of use for less than a boot's time is not worth one.
double Scheduler::urgent_fraction(const Job& job, Seconds boot_s) const {
  const double est = std::max(1.0, estimated_run_time(job));
  return std::min(1.0, est / std::max(boot_s, next_deadline(job, boot_s) - out_.now() - est - boot_s));
}

// Whether spot machines do for it. A long array that could not be in time if it had to run a task once more
// is worth ordinary machines.
bool Scheduler::prefers_spot(const Job& job) const {
  if (!job.spec.allows_spot)
    return false;
  return job.is_gang() || !is_long(job) ||
         job.eligible_since + 2 * estimated_run_time(job) <= next_deadline(job, 0);
}

void Scheduler::record_arrival(const Job& job) {
  load_.on_arrival(job,
                   job.spec.tasks * job.spec.task_resources.cpus * std::max(1.0, estimated_run_time(job)),
                   out_.now());
  if (job.is_service() || !prefers_spot(job))
    return;
  const Seconds now = out_.now();
  offered_cores_ *= std::exp(-(now - offered_updated_at_) / kOfferedOver);
  offered_cores_ +=
      job.spec.tasks * job.spec.task_resources.cpus * std::max(1.0, estimated_run_time(job)) / kOfferedOver;
  offered_updated_at_ = now;
}

Scheduler::Demand Scheduler::demand(Seconds boot_s) {
  Demand d;
  double placed_flexible = 0;
  std::vector<double> left(settings_.teams.size());
  for (std::size_t i = 0; i < left.size(); ++i) {
    const settings::Team& t = settings_.teams[i];
    left[i] = t.cpus_max > 0 ? std::max(0.0, t.cpus_max - workers_.team_usage(TeamIndex(i)).cpus) : 1e12;
  }
  const bool restless = workers_.zones().any_unstable(out_.now());
  registry_.for_each([&](Job& job) {
    if (!job.is_open() || (job.is_held() && job.placed_tasks == 0))
      return;
    const double per = job.spec.task_resources.cpus;
    const double placed = per * job.placed_tasks;
    if (job.is_service())
      d.replicas += job.placed_tasks;
    double wait = job.is_held() ? 0 : per * static_cast<double>(job.pending_tasks.size());
    // What its team's limit holds back needs no machine, and neither does a job that fails wherever it runs.
    // Neither does what may run unseen on machines that a take-over has yet to hear of.
    // Nor what no zone within reach may take.
    if (restless && job.spec.spread_zones)
      wait = per * tasks_within_zone_loss_bound(job, static_cast<std::uint32_t>(job.pending_tasks.size()));
    wait = out_.now() < job.not_before || !filters_.reconciled().admits(job) ? 0
                                                                             : std::min(wait, left[job.team]);
    left[job.team] -= wait;
    const bool on_spot = prefers_spot(job);
    (on_spot ? d.waiting_flexible : d.waiting_ordinary) += wait;
    const double pressed = job.spec.allows_spot ? wait * urgent_fraction(job, boot_s) : wait;
    (on_spot ? d.flexible : d.ordinary) += pressed;
    (on_spot ? placed_flexible : d.ordinary) += placed;
  });
  // Machines must keep up with what comes, too, while what waits is worked off: after a start, or when
  // machines were lost, little is placed yet.
  d.flexible += std::max(placed_flexible,
                         offered_cores_ * std::exp(-(out_.now() - offered_updated_at_) / kOfferedOver));
  return d;
}

std::uint32_t Scheduler::tasks_within_zone_loss_bound(const Job& job, std::uint32_t wanted,
                                                      ZoneIndex without) const {
  if (!job.spec.spread_zones)
    return wanted;
  std::uint32_t room = 0;
  for (ZoneIndex zone{0}; zone < registry_.zones.size(); ++zone) {
    if (zone == without || workers_.zones().is_unreachable(zone, out_.now()))
      continue;
    const std::uint32_t here = zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0;
    const std::uint32_t most = (job.spec.tasks + 1) / 2;
    room += most > here ? most - here : 0;
  }
  return std::min(wanted, room);
}

Scheduler::ZoneLossImpact Scheduler::zone_loss_impact(ZoneIndex zone) {
  ZoneLossImpact loss;
  registry_.for_each([&](const Job& job) {
    const std::uint32_t here = zone < job.placed_by_zone.size() ? job.placed_by_zone[zone] : 0;
    if (!job.is_open() || here == 0)
      return;
    if (job.is_service())
      ++loss.services_affected, loss.services_without_replicas += job.placed_tasks == here;
    loss.cores_in_use += here * job.spec.task_resources.cpus;
    if (job.zone != zone)
      loss.cores_movable += tasks_within_zone_loss_bound(job, here, zone) * job.spec.task_resources.cpus;
  });
  for (const PlacementIndex::Pool& p : workers_.placement_index().pools()) {
    if (p.zone == zone)
      continue;
    for (const auto& [free, ix] : p.all_machines.by_free_cores)
      loss.cores_free_elsewhere += free;
  }
  return loss;
}

}  // namespace wingtrail::scheduling
