/// \file
/// The filter that delays and diverts the restart of tasks that failed.
#pragma once

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses a job while the back-off after its last failure lasts, and any machine on which it has failed
/// before: a fault of the job must not occupy the cluster with restarts, and a fault of the machine must not
/// fail the job again.
class FailureFilter : public Filter {
 public:
  explicit FailureFilter(const ports::Outbox& out) : out_(out) {}
  std::string_view name() const override {
    return "failures";
  }
  bool admits(const Job& job) const override;
  bool admits(const Machine& machine, const Job& job) const override;

 private:
  const ports::Outbox& out_;
};

}  // namespace wingtrail::filters
