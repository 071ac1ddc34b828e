#include "workers/placement_index.hpp"

#include <algorithm>

namespace wingtrail::workers {
namespace {
constexpr double kMinFreeCores = 1e-6;  // fewer free cores are a rounding error and count as none
}

PoolIndex PlacementIndex::pool_of(const Machine& machine) {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const Pool& pool = pools_[i];
    if (pool.type == machine.type && pool.zone == machine.zone && pool.spot == machine.spot &&
        pool.short_only == machine.short_only)
      return PoolIndex(i);
  }
  pools_.push_back({machine.type, machine.zone, machine.spot, machine.short_only, {}, {}});
  return PoolIndex(pools_.size() - 1);
}

void PlacementIndex::insert(Group& group, MachineIndex index, double free) {
  group.members.insert(std::lower_bound(group.members.begin(), group.members.end(), index), index);
  if (free > kMinFreeCores)
    group.by_free_cores.emplace(free, index);
}

void PlacementIndex::erase(Group& group, MachineIndex index, double free) {
  const auto it = std::lower_bound(group.members.begin(), group.members.end(), index);
  if (it != group.members.end() && *it == index)
    group.members.erase(it);
  group.by_free_cores.erase({free, index});
}

void PlacementIndex::move(Group& group, MachineIndex index, double from, double to) {
  group.by_free_cores.erase({from, index});
  if (to > kMinFreeCores)
    group.by_free_cores.emplace(to, index);
}

void PlacementIndex::update(Machine& machine, bool accepts_tasks) {
  const double free = machine.cpus - machine.used.cpus;
  const PoolIndex new_pool = accepts_tasks ? pool_of(machine) : kNoIndex;
  const bool same_images =
      machine.images.size() == machine.index_position.images.size() &&
      std::equal(machine.images.begin(), machine.images.end(), machine.index_position.images.begin(),
                 [](const auto& image, ImageIndex indexed) { return image.first == indexed; });
  if (new_pool == machine.index_position.pool && same_images) {
    if (new_pool == kNoIndex || free == machine.index_position.free_cores)
      return;
    Pool& pool = pools_[new_pool];
    move(pool.all_machines, machine.index, machine.index_position.free_cores, free);
    for (const ImageIndex image : machine.index_position.images)
      move(pool.by_image[image], machine.index, machine.index_position.free_cores, free);
    machine.index_position.free_cores = free;
    return;
  }
  if (machine.index_position.pool != kNoIndex) {
    Pool& pool = pools_[machine.index_position.pool];
    erase(pool.all_machines, machine.index, machine.index_position.free_cores);
    for (const ImageIndex image : machine.index_position.images)
      erase(pool.by_image[image], machine.index, machine.index_position.free_cores);
  }
  machine.index_position.pool = new_pool;
  machine.index_position.free_cores = free;
  machine.index_position.images.clear();
  for (const auto& image : machine.images)
    machine.index_position.images.push_back(image.first);
  if (new_pool == kNoIndex)
    return;
  Pool& pool = pools_[new_pool];
  insert(pool.all_machines, machine.index, free);
  for (const ImageIndex image : machine.index_position.images)
    insert(pool.by_image[image], machine.index, free);
}

}  // namespace wingtrail::workers
