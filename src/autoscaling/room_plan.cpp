#include "autoscaling/room_plan.hpp"

#include <algorithm>

namespace wingtrail::autoscaling {
namespace {

constexpr double kRoundingTolerance = 1e-6;  // cores, GPUs or GB

bool fits(const wire::Resources& task, const wire::Resources& free) {
  return task.cpus <= free.cpus + kRoundingTolerance && task.gpus <= free.gpus + kRoundingTolerance &&
         task.memory_gb <= free.memory_gb + kRoundingTolerance;
}

}  // namespace

const MachineRoom* RoomPlan::take(const wire::Resources& task, const Admits& admits) {
  const auto found = std::find_if(rooms_.begin(), rooms_.end(), [&](const MachineRoom& room) {
    return fits(task, room.free) && admits(room);
  });
  if (found == rooms_.end())
    return nullptr;
  found->free.cpus -= task.cpus;
  found->free.gpus -= task.gpus;
  found->free.memory_gb -= task.memory_gb;
  return &*found;
}

}  // namespace wingtrail::autoscaling
