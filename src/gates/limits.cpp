#include "gates/gate.hpp"

namespace wingtrail::gates {
namespace {
constexpr double kEps = 1e-6;
}

bool Limits::open_for(const Job& job, double tasks) const {
  const settings::Team& team = settings_.teams[job.team];
  if (team.cpus_max <= 0 && team.gpus_max <= 0) return true;
  // Until every machine is accounted for, an earlier leader's tasks may use quota that is not known here: at
  // most all that these machines have.
  const auto unknown = agents_.unaccounted();
  if (!unknown) return false;
  const wire::Resources& use = agents_.team_use(job.team);
  return (team.cpus_max <= 0 ||
          use.cpus + unknown->cpus + tasks * job.spec.need.cpus <= team.cpus_max + kEps) &&
         (team.gpus_max <= 0 ||
          use.gpus + unknown->gpus + tasks * job.spec.need.gpus <= team.gpus_max + kEps);
}

}  // namespace wingtrail::gates
