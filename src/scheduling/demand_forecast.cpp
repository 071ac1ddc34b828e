#include "scheduling/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

#include "scheduling/zone_loss.hpp"

namespace wingtrail::scheduling {

using jobs::Job;
using jobs::TeamIndex;
using ports::Seconds;

namespace {
constexpr Seconds kArrivalWindow = 60;  // time constant of the decay of the rate of arrival
}

void DemandForecast::clear() {
  offered_cores_ = 0;
}

// Tasks that can run one after another on the same cores within the time that the job can spare need no
// additional machines. A machine that is rented now is available only after its boot, so the deadline that
// counts is the earliest one that the job can still meet then. The divisor is at least the boot time, since a
// machine that would be used for less than that is not worth renting.
double DemandForecast::urgent_fraction(const Job& job, Seconds boot_s) const {
  const Seconds run_s = std::max(1.0, estimates_.estimated_run_time(job));
  const Seconds spare_s = objectives_.next_deadline(job, boot_s) - out_.now() - run_s - boot_s;
  return std::min(1.0, run_s / std::max(boot_s, spare_s));
}

// Whether the job should run on spot machines if it may. A long job array that would miss its next deadline
// if it had to run a task a second time after a spot preemption should run on ordinary machines.
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
  std::vector<double> left(registry_.teams.size(), 0);
  for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
    const settings::Team& team = settings_.teams[i];
    left[i] = team.cpus_max > 0 ? std::max(0.0, team.cpus_max - workers_.team_usage(TeamIndex(i)).cpus)
                                : kUnlimited;
  }
  return left;
}

// Additional machines do not help tasks beyond the team's quota, a job that backs off after failures, a job
// of which tasks may run unobserved on machines that are not reconciled yet, or tasks that no reachable zone
// may run.
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
    const bool is_flexible = prefers_spot(job);
    (is_flexible ? demand.waiting_flexible : demand.waiting_ordinary) += waiting;
    const double urgent = job.spec.allows_spot ? waiting * urgent_fraction(job, boot_s) : waiting;
    (is_flexible ? demand.flexible : demand.ordinary) += urgent;
    (is_flexible ? placed_flexible : demand.ordinary) += placed;
  });
  // While the backlog is worked off, the machines must also keep up with new arrivals. At the beginning of a
  // leadership and after a loss of machines the placed tasks alone understate that demand.
  demand.flexible += std::max(placed_flexible, offered_cores());
  return demand;
}

}  // namespace wingtrail::scheduling
