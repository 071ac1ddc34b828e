/// \file
/// An index of the machines that take tasks.
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

/// Finds machines that take tasks without iterating over all machines: by type, zone, kind and partition, and
/// within these by cached image, each ordered by free cores.
class PlacementIndex {
 public:
  /// The machines of a pool, or those of them that have a certain image.
  struct Group {
    std::vector<MachineIndex> members;                        // sorted; every machine that takes tasks
    std::set<std::pair<double, MachineIndex>> by_free_cores;  // those with free cores, the fullest first
  };
  /// The machines of one type, zone, kind and partition.
  struct Pool {
    MachineTypeIndex type;
    ZoneIndex zone;
    bool spot = false, short_only = false;
    Group all_machines;
    std::unordered_map<ImageIndex, Group> by_image;
    /// Null if no machine of the pool has had the image.
    const Group* group_with_image(ImageIndex image) const {
      auto it = by_image.find(image);
      return it == by_image.end() ? nullptr : &it->second;
    }
  };

  /// Brings the index up to date with the machine, and notes its position in the machine.
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

  std::deque<Pool> pools_;  // few: types x zones x kinds x partitions; references stay valid
};

}  // namespace wingtrail::workers
