/// \file
/// What machines there are, or will soon be, of use to new work; requested ones included.
#pragma once

#include <map>
#include <vector>

#include "autoscaling/machine_catalog.hpp"

namespace wingtrail::autoscaling {

/// Filled anew once a second from a walk over the machines; requests made since are added.
class PoolCapacity {
 public:
  struct Capacity {
    double cores = 0;
    int machines = 0;
  };

  void clear();
  /// Begins a new count for that many zones.
  void begin_update(std::size_t zones);
  /// `usable_cores`: what new work may use of it. `machine_cores`: its size.
  void add_machine(const Pool& pool, double usable_cores, double machine_cores);
  /// Cores free on an ordinary machine that services may use, booting ones included.
  void add_free_ordinary(jobs::ZoneIndex zone, double cores);
  /// `cores_each` 0: the type is unknown.
  void add_requested(const Pool& pool, double cores_each, int count);

  double cores(bool spot) const;
  double cores_in_zone(jobs::ZoneIndex zone, bool spot) const;
  double free_ordinary_cores(jobs::ZoneIndex zone) const {
    return free_ordinary_cores_by_zone_[zone];
  }
  double largest_machine_cores() const {
    return largest_machine_cores_;
  }
  const std::map<Pool, Capacity>& by_pool() const {
    return by_pool_;
  }

 private:
  std::map<Pool, Capacity> by_pool_;
  double largest_machine_cores_ = 0;
  std::vector<double> free_ordinary_cores_by_zone_;
};

}  // namespace wingtrail::autoscaling
