/// @file
/// Service-level objectives of classes, deadlines of jobs, and the work that is needed to meet them.
#pragma once

#include <optional>
#include <vector>

#include "jobs/job_registry.hpp"
#include "scheduling/run_time_estimates.hpp"

namespace wingtrail::scheduling {

/// Computes by when a job should be done, from its class's objectives and its own deadline. All times are in
/// seconds on the outbox's clock.
class ServiceObjectives {
 public:
  ServiceObjectives(const ports::Outbox& out, const settings::Settings& settings,
                    const jobs::JobRegistry& registry, const RunTimeEstimates& estimates)
      : out_(out), settings_(settings), registry_(registry), estimates_(estimates) {}

  /// The earliest deadline that the job can still meet if it starts `delay_s` seconds from now. If there is
  /// none, a time well after the last deadline.
  ports::Seconds next_deadline(const jobs::Job& job, ports::Seconds delay_s) const;
  /// Number of the job's deadlines that it cannot meet any more, even if it starts now.
  int missed_deadlines(const jobs::Job& job) const;
  /// Whether every deadline of the job has passed; true if it has none.
  bool all_deadlines_passed(const jobs::Job& job) const;
  /// Whether the job meets the same deadlines if it ends at `later` instead of at `earlier`.
  bool meets_same_deadlines(const jobs::Job& job, ports::Seconds earlier, ports::Seconds later) const;
  /// Core-seconds of the job's tasks that are not done.
  double remaining_core_s(const jobs::Job& job) const;
  /// Core-seconds of the job's pending tasks, divided by the number of deadlines that the job can still meet.
  /// A job that can meet none costs more than every job that can. When not all jobs can be in time, serving
  /// the cheapest first meets the most deadlines. Placed tasks do not count, so a job with few pending tasks
  /// is served before one that has not begun, and a job that has missed its first deadline is not served
  /// after large jobs that have just arrived.
  double cost_per_deadline(const jobs::Job& job) const;
  /// Within how many seconds a job of the class should start; 0 if the class has no such objective. Starting
  /// sooner is of no value.
  ports::Seconds start_objective_s(const jobs::Job& job) const;
  /// Whether the job meets its start objective if it starts now with an image fetch of `fetch_s` seconds.
  bool starts_in_time_after_fetch(const jobs::Job& job, ports::Seconds fetch_s) const;

 private:
  struct Objective {
    enum class Kind : std::uint8_t { finished, deadline, wait } kind;
    double value;  ///< seconds; for `deadline` a factor of the job's own deadline
  };
  const std::vector<Objective>& of_class(jobs::ClassIndex job_class) const;
  ports::Seconds deadline(const jobs::Job& job, const Objective& objective) const;
  template <typename Visit>
  void for_each_deadline(const jobs::Job& job, Visit visit) const;

  const ports::Outbox& out_;
  const settings::Settings& settings_;
  const jobs::JobRegistry& registry_;
  const RunTimeEstimates& estimates_;
  /// Objectives by class, read from the settings on demand.
  mutable std::vector<std::optional<std::vector<Objective>>> by_class_;
};

}  // namespace wingtrail::scheduling
