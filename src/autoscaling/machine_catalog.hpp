/// @file
/// The cloud's machine types and the pools in which they can be rented.
#pragma once

#include <compare>
#include <vector>

#include "jobs/job_registry.hpp"
#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {

/// The machines of one type in one zone that are rented as spot machines, or as ordinary ones.
struct Pool {
  jobs::MachineTypeIndex type;
  jobs::ZoneIndex zone;
  bool spot;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for a pointer.
  auto operator<=>(const Pool&) const = default;
};

/// The machine types that the cloud offers, with their prices.
class MachineCatalog {
 public:
  explicit MachineCatalog(jobs::JobRegistry& registry) : registry_(registry) {}

  /// Replaces the types. Types that are gone keep their last known data.
  void set(std::vector<wire::MachineType> types);
  const std::vector<wire::MachineType>& types() const {
    return types_;
  }
  /// The type; null if it was never in the catalog. Valid until the next `set`.
  const wire::MachineType* type(jobs::MachineTypeIndex index) const;
  /// The pool's price per core; very high for a type that was never in the catalog.
  double core_price(const Pool& pool) const;
  /// Boot time in seconds of the type that boots fastest, at most 600.
  ports::Seconds typical_boot_s() const;
  /// All spot pools or all ordinary pools, cheapest first, grouped into tiers of about the same price
  /// per core.
  std::vector<std::vector<Pool>> price_tiers(bool spot) const;

 private:
  jobs::JobRegistry& registry_;
  std::vector<wire::MachineType> types_;
  std::vector<wire::MachineType> by_index_;  ///< by type index; an entry without cores is unknown
};

}  // namespace wingtrail::autoscaling
