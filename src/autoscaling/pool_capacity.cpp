#include "autoscaling/pool_capacity.hpp"

#include <algorithm>

namespace wingtrail::autoscaling {

void PoolCapacity::clear() {
  by_pool_.clear();
}

void PoolCapacity::begin_update(std::size_t zones) {
  by_pool_.clear();
  largest_machine_cores_ = 0;
  free_ordinary_cores_by_zone_.assign(zones, 0);
}

void PoolCapacity::add_machine(const Pool& pool, double usable_cores, double machine_cores) {
  Capacity& capacity = by_pool_[pool];
  capacity.cores += usable_cores;
  ++capacity.machines;
  largest_machine_cores_ = std::max(largest_machine_cores_, machine_cores);
}

void PoolCapacity::add_free_ordinary(jobs::ZoneIndex zone, double cores) {
  free_ordinary_cores_by_zone_[zone] += cores;
}

void PoolCapacity::add_requested(const Pool& pool, double cores_each, int count) {
  if (!pool.spot && cores_each > 0 && pool.zone < free_ordinary_cores_by_zone_.size())
    free_ordinary_cores_by_zone_[pool.zone] += cores_each * count;
  by_pool_[pool].cores += cores_each * count;
  by_pool_[pool].machines += count;
}

double PoolCapacity::cores(bool spot) const {
  double sum = 0;
  for (const auto& [pool, capacity] : by_pool_)
    sum += pool.spot == spot ? capacity.cores : 0;
  return sum;
}

double PoolCapacity::cores_in_zone(jobs::ZoneIndex zone, bool spot) const {
  double sum = 0;
  for (const auto& [pool, capacity] : by_pool_)
    sum += pool.zone == zone && pool.spot == spot ? capacity.cores : 0;
  return sum;
}

}  // namespace wingtrail::autoscaling
