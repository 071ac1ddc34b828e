#include "controller/job_validation.hpp"

#include <algorithm>

#include "workers/resources.hpp"

namespace wingtrail::controller {
namespace {
constexpr double kRoundingError = 1e-6;

bool fits(const wire::JobSpec& spec, const wire::MachineType& type) {
  if (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(), type.name) == spec.types.end())
    return false;
  if (spec.zone && std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end())
    return false;
  return workers::is_within(spec.task_resources, {type.cpus, type.gpus, type.memory_gb});
}
}  // namespace

std::optional<std::string> unrunnable_reason(const wire::JobSpec& spec, const settings::Settings& settings,
                                             const std::vector<wire::MachineType>& catalog) {
  const auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                                 [&](const settings::Team& known) { return known.name == spec.team; });
  if (team == settings.teams.end())
    return "unknown team";
  // All tasks of a service run at the same time; those of an array need not.
  const double tasks = spec.shape == wire::Shape::service ? spec.tasks : 1;
  if ((team->cpus_max > 0 && tasks * spec.task_resources.cpus > team->cpus_max + kRoundingError) ||
      (team->gpus_max > 0 && tasks * spec.task_resources.gpus > team->gpus_max + kRoundingError)) {
    return "more than the team's limit";
  }
  for (const wire::MachineType& type : catalog) {
    if (fits(spec, type))
      return std::nullopt;
  }
  return "fits no allowed machine type";
}

}  // namespace wingtrail::controller
