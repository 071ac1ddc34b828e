#include "workers/stray_instances.hpp"

#include <algorithm>

namespace wingtrail::workers {
namespace {

std::string job_ref_of(const Allocation& allocation) {
  return allocation.name.substr(0, allocation.name.rfind('/'));
}

}  // namespace

void StrayInstances::add(const Machine& machine, const Allocation& allocation) {
  by_job_[job_ref_of(allocation)].push_back({machine.index, allocation.task});
}

void StrayInstances::remove(const Machine& machine, const Allocation& allocation) {
  const auto job = by_job_.find(job_ref_of(allocation));
  std::vector<StrayInstance>& instances = job->second;
  instances.erase(std::find_if(instances.begin(), instances.end(), [&](const StrayInstance& instance) {
    return instance.machine == machine.index && instance.task == allocation.task;
  }));
  if (instances.empty())
    by_job_.erase(job);
}

std::optional<MachineIndex> StrayInstances::machine_with(const std::string& job_ref,
                                                         std::uint32_t task) const {
  for (const StrayInstance& instance : of_job(job_ref)) {
    if (instance.task == task)
      return instance.machine;
  }
  return std::nullopt;
}

const std::vector<StrayInstance>& StrayInstances::of_job(const std::string& job_ref) const {
  static const std::vector<StrayInstance> kNone;
  const auto job = by_job_.find(job_ref);
  return job == by_job_.end() ? kNone : job->second;
}

}  // namespace wingtrail::workers
