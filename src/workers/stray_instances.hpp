/// @file
/// The index of stray instances: tasks that run on another machine than the one they are placed on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "workers/machine.hpp"

namespace wingtrail::workers {

/// An instance of a task on a machine, while the task is placed on another machine, done, or of a job that
/// is over or unknown.
struct StrayInstance {
  MachineIndex machine;
  std::uint32_t task;
};

/// All stray instances, by job. A task has at most one placement at a time. On every other machine that
/// lists the task there is a stray instance, which is either stopped, or becomes the placement once the task
/// has no other.
class StrayInstances {
 public:
  /// Records that the allocation is a stray instance. The allocation must occupy the machine.
  void add(const Machine& machine, const Allocation& allocation);
  /// Removes the entry that `add` recorded for the allocation. There must be one.
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
  /// The machine with the task's oldest stray instance; none if the task has no stray instance.
  std::optional<MachineIndex> machine_with(const std::string& job_ref, std::uint32_t task) const;
  /// The job's stray instances, the oldest first. Valid until the next `add` or `remove`.
  const std::vector<StrayInstance>& of_job(const std::string& job_ref) const;

 private:
  std::unordered_map<std::string, std::vector<StrayInstance>> by_job_;  // by the job's reference
};

}  // namespace wingtrail::workers
