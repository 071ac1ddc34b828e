/// \file
/// The account of machines that may hold tasks which this leader does not know.
#pragma once

#include <optional>
#include <vector>

#include "wire/job_messages.hpp"
#include "workers/machine.hpp"

namespace wingtrail::workers {

/// The unfenced machines of one type, zone and kind.
struct UnreconciledGroup {
  MachineTypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  int unfenced = 0;
};

/// After a take-over, machines of the inventory may run tasks of earlier leaders. A machine is reconciled
/// once it is gone, or once it is fenced and the resources of all its tasks are known. This class keeps the
/// sums over the machines that are not reconciled.
class UnreconciledMachines {
 public:
  /// Begins a leadership without any machine.
  void begin_leadership(Seconds now);
  void clear();
  /// Brings the sums up to date with the machine. To be called whenever `gone`, `fenced`,
  /// `unsized_allocations` or the capacity has changed.
  void update(Machine& machine, Seconds now);

  bool empty() const {
    return count_ == 0;
  }
  const std::vector<UnreconciledGroup>& groups() const {
    return groups_;
  }
  /// The most that unknown tasks can use; none if the capacity of one of the machines is not known.
  std::optional<wire::Resources> resources() const;
  /// How long after the take-over the last machine was reconciled, in seconds; 0: there still are some.
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
  int of_unknown_capacity_ = 0;
  wire::Resources capacity_;
};

}  // namespace wingtrail::workers
