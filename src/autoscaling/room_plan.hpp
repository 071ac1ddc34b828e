/// @file
/// A trial packing of waiting tasks into the machines that are rented or requested, which shows the tasks
/// that need other machines.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "autoscaling/machine_catalog.hpp"
#include "workers/machine.hpp"

namespace wingtrail::autoscaling {

/// The room of one machine that tasks can use now, or once the tasks that end by themselves have ended.
struct MachineRoom {
  Pool pool;
  const workers::Machine* machine = nullptr;  ///< null if it is requested and not rented yet
  wire::Resources free;
};

/// Packs tasks into machines, first fit in the order in which the machines were added. All resources are
/// counted, since free cores on a machine without free memory are no room.
class RoomPlan {
 public:
  using Admits = std::function<bool(const MachineRoom&)>;

  void add(const MachineRoom& room) {
    rooms_.push_back(room);
  }
  /// The first machine that fits the task and that `admits` admits; null if there is none. The pointer is
  /// valid until the next `add`.
  const MachineRoom* find(const wire::Resources& task, const Admits& admits) const;
  /// The same, and takes room for the task on that machine.
  const MachineRoom* take(const wire::Resources& task, const Admits& admits);

 private:
  std::optional<std::size_t> position(const wire::Resources& task, const Admits& admits) const;

  std::vector<MachineRoom> rooms_;
};

}  // namespace wingtrail::autoscaling
