#include "autoscaling/room_plan.hpp"

#include <algorithm>

#include "workers/resources.hpp"

namespace wingtrail::autoscaling {
std::optional<std::size_t> RoomPlan::position(const wire::Resources& task, const Admits& admits) const {
  const auto found = std::find_if(rooms_.begin(), rooms_.end(), [&](const MachineRoom& room) {
    return workers::is_within(task, room.free) && admits(room);
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
  workers::add_resources(room.free, task, -1);
  return &room;
}

}  // namespace wingtrail::autoscaling
