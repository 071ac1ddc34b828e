// Finds machines that take work without looking at all of them: by type, zone, kind and partition, and within
// these by cached image, each in the order of free cores.
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

class PlacementIndex {
 public:
  struct Group {
    std::vector<MachineIndex> members;                        // sorted; every machine that takes work
    std::set<std::pair<double, MachineIndex>> by_free_cores;  // those with free cores, the fullest first
  };
  struct Pool {
    MachineTypeIndex type;
    ZoneIndex zone;
    bool spot = false, short_only = false;
    Group all_machines;
    std::unordered_map<ImageIndex, Group> by_image;
    const Group* group_with_image(ImageIndex image) const {
      auto it = by_image.find(image);
      return it == by_image.end() ? nullptr : &it->second;
    }
  };

  // Brings the index up to date with the machine; `open`: it takes work.
  void update(Machine& m, bool open);
  const std::deque<Pool>& pools() const {
    return pools_;
  }
  void clear() {
    pools_.clear();
  }

 private:
  PoolIndex pool_of(const Machine& m);
  static void insert(Group& g, MachineIndex ix, double free);
  static void erase(Group& g, MachineIndex ix, double free);
  static void move(Group& g, MachineIndex ix, double from, double to);

  std::deque<Pool> pools_;  // a handful: types x zones x kinds x partitions
};

}  // namespace wingtrail::workers
