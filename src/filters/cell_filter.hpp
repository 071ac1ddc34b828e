/// @file
/// The filter that gives jobs submitted in this cell precedence over foreign jobs, which other cells have
/// offloaded to this cell.
#pragma once

#include <vector>

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses a job that is selected to be offloaded to another cell, since a job that has begun cannot be
/// offloaded. Also refuses a foreign job (offloaded to this cell by another one) while a job that the same
/// team submitted here waits: foreign jobs count against the team's quota in this cell and must not delay
/// the jobs submitted here.
class CellFilter : public Filter {
 public:
  std::string_view name() const override {
    return "cells";
  }
  bool admits(const Job& job) const override;

  /// Begins a scheduling pass, in which no job is known to wait yet.
  void begin_pass();
  /// Records that a job that the team submitted in this cell waits in the current pass.
  void set_own_jobs_waiting(TeamIndex team);

 private:
  std::vector<bool> own_jobs_wait_;  // by team
};

}  // namespace wingtrail::filters
