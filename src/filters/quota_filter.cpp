#include "filters/quota_filter.hpp"

#include <algorithm>

#include "wire/job_messages.hpp"

namespace wingtrail::filters {
namespace {
constexpr double kRoundingTolerance = 1e-6;      // in cores or GPUs
constexpr Seconds kTaskEndDelay = 3;             // from a task's end until its resources are released here
constexpr double kMaxServiceReservation = 0.05;  // as a share of the team's quota
}  // namespace

// Returns how many cores of the team's quota this job must leave to services; 0 for a service. A service that
// is submitted while its team's job arrays use the whole quota would wait for one of their tasks to end, and
// then for its image to be fetched on that task's machine. So job arrays leave as many cores as new services
// are expected to need within kTaskEndDelay; after that time, ending tasks have released cores for them.
double QuotaFilter::reserved_for_services(const Job& job, const settings::Team& team) const {
  if (!settings_.tunables.load_balancing || job.is_service())
    return 0;
  return std::min(load_.expected_service_cores(job.team, kTaskEndDelay, out_.now()),
                  kMaxServiceReservation * team.cpus_max);
}

bool QuotaFilter::admits_tasks(const Job& job, double tasks) const {
  const settings::Team* team = settings_.find_team(job.team);
  if (!team)
    return false;
  if (team->cpus_max <= 0 && team->gpus_max <= 0)
    return true;
  // Until every machine is reconciled, unknown tasks of an earlier leader may count against the quota, with
  // at most the capacity of the machines that are not reconciled.
  const auto unknown = workers_.unreconciled_resources();
  if (!unknown)
    return false;
  const wire::Resources& usage = workers_.team_usage(job.team);
  return (team->cpus_max <= 0 ||
          usage.cpus + unknown->cpus + tasks * job.spec.task_resources.cpus <=
              team->cpus_max - reserved_for_services(job, *team) + kRoundingTolerance) &&
         (team->gpus_max <= 0 || usage.gpus + unknown->gpus + tasks * job.spec.task_resources.gpus <=
                                     team->gpus_max + kRoundingTolerance);
}

}  // namespace wingtrail::filters
