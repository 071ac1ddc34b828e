#include "filters/filter.hpp"

namespace wingtrail::filters {
namespace {
constexpr double kEps = 1e-6;
constexpr Seconds kTakesToEnd = 3;  // by when a task that ends is known to have ended, and its place free
constexpr double kMostKept = 0.05;  // of the limit
}  // namespace

// A service that comes while its team's arrays use the whole limit would wait for one of them to end, and
// fetch its image wherever that is. So arrays leave what services may ask for until tasks have ended for
// them.
double QuotaFilter::reserved_for_services(const Job& job) const {
  if (!settings_.tunables.load_balancing || job.is_service())
    return 0;
  return std::min(load_.expected_service_cores(job.team, kTakesToEnd, out_.now()),
                  kMostKept * settings_.teams[job.team].cpus_max);
}

bool QuotaFilter::admits_tasks(const Job& job, double tasks) const {
  const settings::Team& team = settings_.teams[job.team];
  if (team.cpus_max <= 0 && team.gpus_max <= 0)
    return true;
  // Until every machine is accounted for, an earlier leader's tasks may use quota that is not known here: at
  // most all that these machines have.
  const auto unknown = workers_.unreconciled_resources();
  if (!unknown)
    return false;
  const wire::Resources& use = workers_.team_usage(job.team);
  return (team.cpus_max <= 0 || use.cpus + unknown->cpus + tasks * job.spec.task_resources.cpus <=
                                    team.cpus_max - reserved_for_services(job) + kEps) &&
         (team.gpus_max <= 0 ||
          use.gpus + unknown->gpus + tasks * job.spec.task_resources.gpus <= team.gpus_max + kEps);
}

}  // namespace wingtrail::filters
