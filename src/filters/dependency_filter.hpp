/// \file
/// The filter for jobs that are over or must wait for other jobs.
#pragma once

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses a job that has reached its final state, and a job that is held (`Job::is_held`): because a job
/// that it depends on is not done yet or cannot be done any more, because its own cancellation is under way,
/// or because it is placed in another cell.
class DependencyFilter : public Filter {
 public:
  std::string_view name() const override {
    return "needs";
  }
  bool admits(const Job& job) const override;
};

}  // namespace wingtrail::filters
