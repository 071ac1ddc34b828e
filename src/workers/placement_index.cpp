#include "workers/placement_index.hpp"

#include <algorithm>

namespace wingtrail::workers {
namespace {
constexpr double kNoRoom = 1e-6;
}

PoolIndex PlacementIndex::pool_of(const Machine& m) {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const Pool& p = pools_[i];
    if (p.type == m.type && p.zone == m.zone && p.spot == m.spot && p.short_only == m.short_only)
      return PoolIndex(i);
  }
  pools_.push_back({m.type, m.zone, m.spot, m.short_only, {}, {}});
  return PoolIndex(pools_.size() - 1);
}

void PlacementIndex::insert(Group& g, MachineIndex ix, double free) {
  g.members.insert(std::lower_bound(g.members.begin(), g.members.end(), ix), ix);
  if (free > kNoRoom)
    g.by_free_cores.emplace(free, ix);
}

void PlacementIndex::erase(Group& g, MachineIndex ix, double free) {
  const auto it = std::lower_bound(g.members.begin(), g.members.end(), ix);
  if (it != g.members.end() && *it == ix)
    g.members.erase(it);
  g.by_free_cores.erase({free, ix});
}

void PlacementIndex::move(Group& g, MachineIndex ix, double from, double to) {
  g.by_free_cores.erase({from, ix});
  if (to > kNoRoom)
    g.by_free_cores.emplace(to, ix);
}

void PlacementIndex::update(Machine& m, bool open) {
  const double free = m.cpus - m.used.cpus;
  const PoolIndex pool = open ? pool_of(m) : kNoIndex;
  const bool same_images =
      m.images.size() == m.indexed_images.size() &&
      std::equal(m.images.begin(), m.images.end(), m.indexed_images.begin(),
                 [](const auto& image, ImageIndex indexed) { return image.first == indexed; });
  if (pool == m.pool && same_images) {
    if (pool == kNoIndex || free == m.indexed_free)
      return;
    Pool& p = pools_[pool];
    move(p.all_machines, m.index, m.indexed_free, free);
    for (const ImageIndex image : m.indexed_images)
      move(p.by_image[image], m.index, m.indexed_free, free);
    m.indexed_free = free;
    return;
  }
  if (m.pool != kNoIndex) {
    Pool& p = pools_[m.pool];
    erase(p.all_machines, m.index, m.indexed_free);
    for (const ImageIndex image : m.indexed_images)
      erase(p.by_image[image], m.index, m.indexed_free);
  }
  m.pool = pool;
  m.indexed_free = free;
  m.indexed_images.clear();
  for (const auto& image : m.images)
    m.indexed_images.push_back(image.first);
  if (pool == kNoIndex)
    return;
  Pool& p = pools_[pool];
  insert(p.all_machines, m.index, free);
  for (const ImageIndex image : m.indexed_images)
    insert(p.by_image[image], m.index, free);
}

}  // namespace wingtrail::workers
