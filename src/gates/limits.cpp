#include "gates/gate.hpp"

namespace wingtrail::gates {
namespace {
constexpr double kEps = 1e-6;
constexpr Seconds kTakesToEnd = 3;  // by when a task that ends is known to have ended, and its place free
constexpr double kMostKept = 0.05;  // of the limit
}  // namespace

// A service that comes while its team's arrays use the whole limit would wait for one of them to end, and
// fetch its image wherever that is. So arrays leave what services may ask for until tasks have ended for
// them.
double Limits::kept_for_services(const Job& job) const {
  if (!settings_.tunables.spread || job.service())
    return 0;
  return std::min(picture_.services_soon(job.team, kTakesToEnd, out_.now()),
                  kMostKept * settings_.teams[job.team].cpus_max);
}

bool Limits::open_for(const Job& job, double tasks) const {
  const settings::Team& team = settings_.teams[job.team];
  if (team.cpus_max <= 0 && team.gpus_max <= 0)
    return true;
  // Until every machine is accounted for, an earlier leader's tasks may use quota that is not known here: at
  // most all that these machines have.
  const auto unknown = agents_.unaccounted();
  if (!unknown)
    return false;
  const wire::Resources& use = agents_.team_use(job.team);
  return (team.cpus_max <= 0 || use.cpus + unknown->cpus + tasks * job.spec.need.cpus <=
                                    team.cpus_max - kept_for_services(job) + kEps) &&
         (team.gpus_max <= 0 ||
          use.gpus + unknown->gpus + tasks * job.spec.need.gpus <= team.gpus_max + kEps);
}

}  // namespace wingtrail::gates
