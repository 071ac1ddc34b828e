#include "agents/index.hpp"

#include <algorithm>

namespace wingtrail::agents {
namespace {
constexpr double kNoRoom = 1e-6;
}

Ix Index::pool_of(const Machine& m) {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const Pool& p = pools_[i];
    if (p.type == m.type && p.zone == m.zone && p.spot == m.spot && p.short_only == m.short_only)
      return static_cast<Ix>(i);
  }
  pools_.push_back({m.type, m.zone, m.spot, m.short_only, {}, {}});
  return static_cast<Ix>(pools_.size() - 1);
}

void Index::insert(Group& g, Ix ix, double free) {
  g.members.insert(std::lower_bound(g.members.begin(), g.members.end(), ix), ix);
  if (free > kNoRoom)
    g.room.emplace(free, ix);
}

void Index::erase(Group& g, Ix ix, double free) {
  const auto it = std::lower_bound(g.members.begin(), g.members.end(), ix);
  if (it != g.members.end() && *it == ix)
    g.members.erase(it);
  g.room.erase({free, ix});
}

void Index::move(Group& g, Ix ix, double from, double to) {
  g.room.erase({from, ix});
  if (to > kNoRoom)
    g.room.emplace(to, ix);
}

void Index::update(Machine& m, bool open) {
  const double free = m.cpus - m.used.cpus;
  const Ix pool = open ? pool_of(m) : kNone;
  const bool same_images = m.images.size() == m.indexed_images.size() &&
                           std::equal(m.images.begin(), m.images.end(), m.indexed_images.begin(),
                                      [](const auto& image, Ix indexed) { return image.first == indexed; });
  if (pool == m.pool && same_images) {
    if (pool == kNone || free == m.indexed_free)
      return;
    Pool& p = pools_[pool];
    move(p.all, m.ix, m.indexed_free, free);
    for (const Ix image : m.indexed_images)
      move(p.by_image[image], m.ix, m.indexed_free, free);
    m.indexed_free = free;
    return;
  }
  if (m.pool != kNone) {
    Pool& p = pools_[m.pool];
    erase(p.all, m.ix, m.indexed_free);
    for (const Ix image : m.indexed_images)
      erase(p.by_image[image], m.ix, m.indexed_free);
  }
  m.pool = pool;
  m.indexed_free = free;
  m.indexed_images.clear();
  for (const auto& image : m.images)
    m.indexed_images.push_back(image.first);
  if (pool == kNone)
    return;
  Pool& p = pools_[pool];
  insert(p.all, m.ix, free);
  for (const Ix image : m.indexed_images)
    insert(p.by_image[image], m.ix, free);
}

}  // namespace wingtrail::agents
