/// \file
/// The filter for a job's rules on the zones of its tasks.
#pragma once

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses machines in zones that a job's placement rules exclude. With `same_zone`, all tasks must be in one
/// zone; with `spread_zones`, at most half of them (rounded up) may be in one, so that the loss of a zone
/// leaves the others.
class ZoneFilter : public Filter {
 public:
  std::string_view name() const override {
    return "zones";
  }
  bool admits(const Machine& machine, const Job& job) const override {
    return admits_zone(machine.zone, job);
  }
  /// The same for any machine of the zone.
  bool admits_zone(ZoneIndex zone, const Job& job) const;
};

}  // namespace wingtrail::filters
