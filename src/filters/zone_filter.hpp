/// @file
/// The filter for the rules of a job's specification on the zones of its tasks.
#pragma once

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses machines in zones that the job's rules exclude. With `same_zone`, all tasks must be in the same
/// zone. With `spread_zones`, at most half of the tasks (rounded up) may be in one zone, so that the loss of
/// a zone leaves the other tasks running.
class ZoneFilter : public Filter {
 public:
  std::string_view name() const override {
    return "zones";
  }
  bool admits(const Machine& machine, const Job& job) const override {
    return admits_zone(machine.zone, job);
  }
  /// Whether the job's next task may start on machines of this zone.
  bool admits_zone(ZoneIndex zone, const Job& job) const;
};

}  // namespace wingtrail::filters
