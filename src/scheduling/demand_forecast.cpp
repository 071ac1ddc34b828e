#include "scheduling/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

#include "scheduling/zone_loss.hpp"

namespace wingtrail::scheduling {

using jobs::Job;
using jobs::TeamIndex;
using ports::Seconds;

namespace {
constexpr Seconds kArrivalWindow = 60;  // time constant of the rate of arrival
}

void DemandForecast::clear() {
  offered_cores_ = 0;
}

// Capacity that comes free within the time that the job can spare needs no machine: its tasks run one after
// another. A machine that is rented for it now comes after a boot, so the deadline that counts is the first
// one it can still meet then; and one that would be of use for less than a boot's time is not worth one.
double DemandForecast::urgent_fraction(const Job& job, Seconds boot_s) const {
  const double run = std::max(1.0, estimates_.estimated_run_time(job));
  return std::min(1.0,
                  run / std::max(boot_s, objectives_.next_deadline(job, boot_s) - out_.now() - run - boot_s));
}

// A long array that could not be in time if it had to run a task once more is worth ordinary machines.
bool DemandForecast::prefers_spot(const Job& job) const {
  if (!job.spec.allows_spot)
    return false;
  return job.is_gang() || !estimates_.is_long(job) ||
         job.eligible_since + 2 * estimates_.estimated_run_time(job) <= objectives_.next_deadline(job, 0);
}

void DemandForecast::record_arrival(const Job& job) {
  if (job.is_service() || !prefers_spot(job))
    return;
  const Seconds now = out_.now();
  offered_cores_ *= std::exp(-(now - offered_updated_at_) / kArrivalWindow);
  offered_cores_ += job.spec.tasks * job.spec.task_resources.cpus *
                    std::max(1.0, estimates_.estimated_run_time(job)) / kArrivalWindow;
  offered_updated_at_ = now;
}

double DemandForecast::offered_cores() const {
  return offered_cores_ * std::exp(-(out_.now() - offered_updated_at_) / kArrivalWindow);
}

std::vector<double> DemandForecast::quota_left() const {
  constexpr double kUnlimited = 1e12;
  std::vector<double> left(settings_.teams.size());
  for (std::size_t i = 0; i < left.size(); ++i) {
    const settings::Team& team = settings_.teams[i];
    left[i] = team.cpus_max > 0 ? std::max(0.0, team.cpus_max - workers_.team_usage(TeamIndex(i)).cpus)
                                : kUnlimited;
  }
  return left;
}

// No machine helps what its team's quota holds back, a job that fails wherever it runs, what may run
// unobserved on machines that a new leader has yet to hear from, or what no zone within reach may take.
double DemandForecast::helpable_waiting_cores(const Job& job, bool zones_unstable,
                                              double within_quota) const {
  const double cores_per_task = job.spec.task_resources.cpus;
  double waiting = job.is_held() ? 0 : cores_per_task * static_cast<double>(job.pending_tasks.size());
  if (zones_unstable && job.spec.spread_zones) {
    waiting = cores_per_task *
              tasks_within_zone_loss_bound(job, static_cast<std::uint32_t>(job.pending_tasks.size()),
                                           registry_, workers_, out_.now());
  }
  if (out_.now() < job.not_before || !filters_.reconciled().admits(job))
    return 0;
  return std::min(waiting, within_quota);
}

Demand DemandForecast::demand(Seconds boot_s) {
  Demand demand;
  double placed_flexible = 0;
  std::vector<double> left = quota_left();
  const bool zones_unstable = workers_.zones().any_unstable(out_.now());
  registry_.for_each([&](Job& job) {
    if (!job.is_open() || (job.is_held() && job.placed_tasks == 0))
      return;
    const double placed = job.spec.task_resources.cpus * job.placed_tasks;
    if (job.is_service())
      demand.replicas += job.placed_tasks;
    const double waiting = helpable_waiting_cores(job, zones_unstable, left[job.team]);
    left[job.team] -= waiting;
    const bool on_spot = prefers_spot(job);
    (on_spot ? demand.waiting_flexible : demand.waiting_ordinary) += waiting;
    const double urgent = job.spec.allows_spot ? waiting * urgent_fraction(job, boot_s) : waiting;
    (on_spot ? demand.flexible : demand.ordinary) += urgent;
    (on_spot ? placed_flexible : demand.ordinary) += placed;
  });
  // Machines must also keep up with what arrives while what waits is worked off: after a start, or when
  // machines were lost, little is placed yet.
  demand.flexible += std::max(placed_flexible, offered_cores());
  return demand;
}

}  // namespace wingtrail::scheduling
