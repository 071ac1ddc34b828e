/// \file
/// The cloud's machine types and the pools in which they can be rented.
#pragma once

#include <compare>
#include <vector>

#include "jobs/job_registry.hpp"
#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {

/// Machines of one type in one zone that are rented in one way.
struct Pool {
  jobs::MachineTypeIndex type;
  jobs::ZoneIndex zone;
  bool spot;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for a pointer.
  auto operator<=>(const Pool&) const = default;
};

class MachineCatalog {
 public:
  explicit MachineCatalog(jobs::JobRegistry& registry) : registry_(registry) {}

  void set(std::vector<wire::MachineType> types);
  const std::vector<wire::MachineType>& types() const {
    return types_;
  }
  /// Null: a type that is not in the catalog. Valid until the next `set`.
  const wire::MachineType* type(jobs::MachineTypeIndex index) const;
  /// Price of a core; very high for a type that is not in the catalog.
  double core_price(const Pool& pool) const;
  /// Boot time in seconds of the type that boots fastest.
  ports::Seconds typical_boot_s() const;
  /// The pools of a kind, cheapest first, in tiers of about the same price.
  std::vector<std::vector<Pool>> price_tiers(bool spot) const;

 private:
  jobs::JobRegistry& registry_;
  std::vector<wire::MachineType> types_;
  std::vector<wire::MachineType> by_index_;  ///< by type index; without cores: unknown
};

}  // namespace wingtrail::autoscaling
