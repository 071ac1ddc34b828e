/// @file
/// Counts the machines that may run tasks which this leader does not know.
#pragma once

#include <optional>
#include <vector>

#include "wire/job_messages.hpp"
#include "workers/machine.hpp"

namespace wingtrail::workers {

/// The number of unfenced machines of one type, zone and kind (on demand or spot).
struct UnreconciledGroup {
  MachineTypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  int unfenced = 0;
};

/// Keeps the number and the total capacity of the machines that are not reconciled. After a failover,
/// machines of the inventory may run tasks of earlier leaders. A machine is reconciled once it is gone, or
/// once it is fenced and the resources of all its tasks are known.
class UnreconciledMachines {
 public:
  /// Begins a leadership without any machines.
  void begin_leadership(Seconds now);
  /// Ends the leadership and removes all machines.
  void clear();
  /// Updates the totals. To be called whenever the machine's `gone`, `fenced`, `stray_instance_count` or
  /// capacity has changed.
  void update(Machine& machine, Seconds now);

  bool empty() const {
    return count_ == 0;
  }
  const std::vector<UnreconciledGroup>& groups() const {
    return groups_;
  }
  /// The upper limit of the resources that unknown tasks can use: the total capacity of the machines that
  /// are not reconciled. None if the capacity of one of them is not known.
  std::optional<wire::Resources> resources() const;
  /// How long after the failover the last machine was reconciled, in s; 0 while some are not.
  Seconds reconciled_after() const {
    return reconciled_after_;
  }

 private:
  UnreconciledGroup& group_of(const Machine& machine);

  bool leading_ = false;
  Seconds leadership_began_at_ = 0;
  Seconds reconciled_after_ = 0;
  std::vector<UnreconciledGroup> groups_;
  int count_ = 0;
  int unknown_capacity_count_ = 0;
  wire::Resources capacity_;
};

}  // namespace wingtrail::workers
