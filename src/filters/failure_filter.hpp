/// @file
/// The filter that delays the restart of failed tasks and keeps them off the machines on which they failed.
#pragma once

#include "filters/filter.hpp"

namespace wingtrail::filters {

/// Refuses a job until the back-off after its last failure is over, so that a fault of the job does not
/// occupy the cluster with restarts. Refuses a machine on which the job has failed for a while, so that a
/// fault of the machine does not fail the job again. The refusal ends by time alone, as there may be no other
/// machine for the job.
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
