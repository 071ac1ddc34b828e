// What the work that there is would need, for the fleet to rent by.
#include <algorithm>
#include <cmath>

#include "sched/scheduler.hpp"

namespace wingtrail::sched {
namespace {
constexpr Seconds kOfferedOver = 60;  // what has come lately
}

// What room comes free within the time that the job can spare needs no machine: its tasks run one after
// another. A machine that is rented for it now comes after a boot, so what counts is the first time it can
// still meet then; and one that would be of use for less than a boot's time is not worth one.
double Scheduler::pressing(const Job& job, Seconds boot_s) const {
  const double est = std::max(1.0, estimate(job));
  return std::min(1.0, est / std::max(boot_s, due(job, boot_s) - out_.now() - est - boot_s));
}

// Whether spot machines do for it. A long array that could not be in time if it had to run a task once more
// is worth ordinary machines.
bool Scheduler::flexible(const Job& job) const {
  if (!job.spec.spot)
    return false;
  return job.gang() || !is_long(job) || job.since + 2 * estimate(job) <= due(job, 0);
}

void Scheduler::offered(const Job& job) {
  picture_.came(job, job.spec.tasks * job.spec.need.cpus * std::max(1.0, estimate(job)), out_.now());
  if (job.service() || !flexible(job))
    return;
  const Seconds now = out_.now();
  offered_ *= std::exp(-(now - offered_at_) / kOfferedOver);
  offered_ += job.spec.tasks * job.spec.need.cpus * std::max(1.0, estimate(job)) / kOfferedOver;
  offered_at_ = now;
}

Scheduler::Demand Scheduler::demand(Seconds boot_s) {
  Demand d;
  double placed_flexible = 0;
  std::vector<double> left(settings_.teams.size());
  for (std::size_t i = 0; i < left.size(); ++i) {
    const settings::Team& t = settings_.teams[i];
    left[i] = t.cpus_max > 0 ? std::max(0.0, t.cpus_max - agents_.team_use(static_cast<Ix>(i)).cpus) : 1e12;
  }
  const bool restless = agents_.zones().restless(out_.now());
  registry_.each([&](Job& job) {
    if (!job.open() || (job.held() && job.placed == 0))
      return;
    const double per = job.spec.need.cpus;
    const double placed = per * job.placed;
    if (job.service())
      d.replicas += job.placed;
    double wait = job.held() ? 0 : per * static_cast<double>(job.pending.size());
    // What its team's limit holds back needs no machine, and neither does a job that fails wherever it runs.
    // Neither does what may run unseen on machines that a take-over has yet to hear of.
    // Nor what no zone within reach may take.
    if (restless && job.spec.spread)
      wait = per * bearable(job, static_cast<std::uint32_t>(job.pending.size()));
    wait = out_.now() < job.not_before || !gates_.accounted().open(job) ? 0 : std::min(wait, left[job.team]);
    left[job.team] -= wait;
    const bool on_spot = flexible(job);
    (on_spot ? d.waiting_flexible : d.waiting_ordinary) += wait;
    const double pressed = job.spec.spot ? wait * pressing(job, boot_s) : wait;
    (on_spot ? d.flexible : d.ordinary) += pressed;
    (on_spot ? placed_flexible : d.ordinary) += placed;
  });
  // Machines must keep up with what comes, too, while what waits is worked off: after a start, or when
  // machines were lost, little is placed yet.
  d.flexible += std::max(placed_flexible, offered_ * std::exp(-(out_.now() - offered_at_) / kOfferedOver));
  return d;
}

std::uint32_t Scheduler::bearable(const Job& job, std::uint32_t wanted, Ix without) const {
  if (!job.spec.spread)
    return wanted;
  std::uint32_t room = 0;
  for (Ix zone = 0; zone < registry_.zones.size(); ++zone) {
    if (zone == without || agents_.zones().cut(zone, out_.now()))
      continue;
    const std::uint32_t here = zone < job.in_zone.size() ? job.in_zone[zone] : 0;
    const std::uint32_t most = (job.spec.tasks + 1) / 2;
    room += most > here ? most - here : 0;
  }
  return std::min(wanted, room);
}

Scheduler::Loss Scheduler::loss_of(Ix zone) {
  Loss loss;
  registry_.each([&](const Job& job) {
    const std::uint32_t here = zone < job.in_zone.size() ? job.in_zone[zone] : 0;
    if (!job.open() || here == 0)
      return;
    if (job.service())
      ++loss.services, loss.none_left += job.placed == here;
    loss.cores += here * job.spec.need.cpus;
    if (job.zone != zone)
      loss.elsewhere += bearable(job, here, zone) * job.spec.need.cpus;
  });
  for (const Index::Pool& p : agents_.index().pools()) {
    if (p.zone == zone)
      continue;
    for (const auto& [free, ix] : p.all.room)
      loss.room += free;
  }
  return loss;
}

}  // namespace wingtrail::sched
