/// @file
/// An index of the machines that accept tasks.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

#include "workers/machine.hpp"

namespace wingtrail::workers {

using jobs::ImageIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::PoolIndex;
using jobs::ZoneIndex;

/// Finds machines that accept tasks without iterating over all machines: by type, zone, kind (on demand or
/// spot) and partition, and within these by cached image, each ordered by free cores.
class PlacementIndex {
 public:
  /// The machines of a pool, or the machines of a pool that have a certain image in their cache.
  struct Group {
    std::vector<MachineIndex> members;  // in ascending order; includes machines without free cores
    std::set<std::pair<double, MachineIndex>> by_free_cores;  // only with free cores, the fewest first
  };
  /// The machines of one type, zone, kind and partition (short partition or not).
  struct Pool {
    MachineTypeIndex type;
    ZoneIndex zone;
    bool spot = false, short_only = false;
    Group all_machines;
    std::unordered_map<ImageIndex, Group> by_image;
    /// The machines with the image in their cache; null if no machine of the pool has ever had it.
    const Group* group_with_image(ImageIndex image) const {
      auto it = by_image.find(image);
      return it == by_image.end() ? nullptr : &it->second;
    }
  };

  /// Updates the machine's entries, and records its position in `Machine::index_position`.
  void update(Machine& machine, bool accepts_tasks);
  const std::deque<Pool>& pools() const {
    return pools_;
  }
  void clear() {
    pools_.clear();
  }

 private:
  PoolIndex pool_of(const Machine& machine);
  static void insert(Group& group, MachineIndex index, double free);
  static void erase(Group& group, MachineIndex index, double free);
  static void move(Group& group, MachineIndex index, double from, double to);

  // Contains at most types x zones x kinds x partitions pools, so it is searched linearly. A deque, so that
  // references stay valid as it grows.
  std::deque<Pool> pools_;
};

}  // namespace wingtrail::workers
