/// @file
/// The capacity of the machines that new tasks can use now or soon, including requested machines.
#pragma once

#include <map>
#include <vector>

#include "autoscaling/machine_catalog.hpp"

namespace wingtrail::autoscaling {

/// Capacity by pool. It is computed once a second from all machines; requests that are made later are added.
class PoolCapacity {
 public:
  /// The capacity of one pool.
  struct Capacity {
    double cores = 0;
    int machines = 0;
  };

  /// Discards the capacity of all pools.
  void clear();
  /// Begins a new computation for the given number of zones.
  void begin_update(std::size_t zones);
  /// Adds a machine. `usable_cores`: the cores that count as capacity. `machine_cores`: all its cores.
  void add_machine(const Pool& pool, double usable_cores, double machine_cores);
  /// Adds free cores of an ordinary machine that services may use, or that will be one after its boot.
  void add_free_ordinary(jobs::ZoneIndex zone, double cores);
  /// Adds `count` machines that were requested. `cores_each`: cores of one machine; 0 if the type is unknown.
  void add_requested(const Pool& pool, double cores_each, int count);

  /// Cores of all spot pools or all ordinary pools.
  double cores(bool spot) const;
  /// Cores of the zone's spot pools or ordinary pools.
  double cores_in_zone(jobs::ZoneIndex zone, bool spot) const;
  /// Free cores of ordinary machines in the zone; 0 for a zone that came up after begin_update().
  double free_ordinary_cores(jobs::ZoneIndex zone) const {
    return zone < free_ordinary_cores_by_zone_.size() ? free_ordinary_cores_by_zone_[zone] : 0;
  }
  /// Cores of the largest machine; 0 if there is none.
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
