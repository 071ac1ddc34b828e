/// @file
/// The filter for jobs that are over, held, or waiting for their dependencies.
#pragma once

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses a job that has reached its final state, and a job that is held (`Job::is_held`): a dependency is
/// not done yet or can no longer be done, the job is being cancelled, or it is placed in another cell.
class DependencyFilter : public Filter {
 public:
  std::string_view name() const override {
    return "needs";
  }
  bool admits(const Job& job) const override;
};

}  // namespace wingtrail::filters
