// Finds machines that take work without looking at all of them: by type, zone, kind and partition, and within
// these by cached image, each in the order of free cores.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

#include "agents/machine.hpp"

namespace wingtrail::agents {

class Index {
 public:
  struct Group {
    std::vector<Ix> members;               // sorted; every machine that takes work
    std::set<std::pair<double, Ix>> room;  // those with free cores, the fullest first
  };
  struct Pool {
    Ix type = kNone, zone = kNone;
    bool spot = false, short_only = false;
    Group all;
    std::unordered_map<Ix, Group> by_image;
    const Group* with(Ix image) const {
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
  Ix pool_of(const Machine& m);
  static void insert(Group& g, Ix ix, double free);
  static void erase(Group& g, Ix ix, double free);
  static void move(Group& g, Ix ix, double from, double to);

  std::deque<Pool> pools_;  // a handful: types x zones x kinds x partitions
};

}  // namespace wingtrail::agents
