/// \file
/// The filter that gives a cell's own work precedence over work that other cells have offloaded to it.
#pragma once

#include <vector>

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses a job that is selected to be offloaded to another cell, since a job that has begun cannot be
/// offloaded. Refuses a job that another cell offloaded to this one while own work of the same team waits: it
/// counts within the team's quota here and must not delay the team's own jobs.
class CellFilter : public Filter {
 public:
  std::string_view name() const override {
    return "cells";
  }
  bool admits(const Job& job) const override;

  /// Forgets which teams have own work waiting; called at the beginning of each scheduling pass.
  void begin_pass();
  /// Records in the current pass that own work of the team waits.
  void note_own_work_waiting(TeamIndex team);

 private:
  std::vector<bool> own_work_waits_;  // by team
};

}  // namespace wingtrail::filters
