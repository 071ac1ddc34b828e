/// \file
/// Stray instances of tasks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "workers/machine.hpp"

namespace wingtrail::workers {

/// A machine that shows a task which is placed on another machine, or whose job is over or unknown.
struct StrayInstance {
  MachineIndex machine;
  std::uint32_t task;
};

/// All stray instances, by job. A task has one placement at a time; every other machine that shows it holds a
/// stray instance, which is stopped, or becomes the placement when the task has none any more.
class StrayInstances {
 public:
  /// Records that the allocation, which occupies the machine, is a stray instance.
  void add(const Machine& machine, const Allocation& allocation);
  /// Removes what `add` recorded; there must be such an entry.
  void remove(const Machine& machine, const Allocation& allocation);
  void clear() {
    by_job_.clear();
  }

  bool empty() const {
    return by_job_.empty();
  }
  /// Whether there is a stray instance of any task of the job.
  bool contains(const std::string& job_ref) const {
    return by_job_.contains(job_ref);
  }
  /// Whether there is a stray instance of the task.
  bool contains(const std::string& job_ref, std::uint32_t task) const {
    return machine_with(job_ref, task).has_value();
  }
  /// The machine with the task's oldest stray instance.
  std::optional<MachineIndex> machine_with(const std::string& job_ref, std::uint32_t task) const;
  /// The job's stray instances, the oldest first. Valid until the next `add` or `remove`.
  const std::vector<StrayInstance>& of_job(const std::string& job_ref) const;

 private:
  std::unordered_map<std::string, std::vector<StrayInstance>> by_job_;  // by the job's reference
};

}  // namespace wingtrail::workers
