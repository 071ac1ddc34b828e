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

std::optional<std::size_t> RoomPlan::position(const wire::Resources& task, const Admits& admits) const {
  const auto found = std::find_if(rooms_.begin(), rooms_.end(), [&](const MachineRoom& room) {
    return fits(task, room.free) && admits(room);
  });
  if (found == rooms_.end())
    return std::nullopt;
  return static_cast<std::size_t>(found - rooms_.begin());
}

const MachineRoom* RoomPlan::find(const wire::Resources& task, const Admits& admits) const {
  const auto found = position(task, admits);
  return found ? &rooms_[*found] : nullptr;
}

const MachineRoom* RoomPlan::take(const wire::Resources& task, const Admits& admits) {
  const auto found = position(task, admits);
  if (!found)
    return nullptr;
  MachineRoom& room = rooms_[*found];
  room.free.cpus -= task.cpus;
  room.free.gpus -= task.gpus;
  room.free.memory_gb -= task.memory_gb;
  return &room;
}

}  // namespace wingtrail::autoscaling
