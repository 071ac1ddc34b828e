/// \file
/// Service-level objectives of classes and deadlines of jobs, and what it takes to meet them.
#pragma once

#include <optional>
#include <vector>

#include "jobs/job_registry.hpp"
#include "scheduling/run_time_estimates.hpp"

namespace wingtrail::scheduling {

/// Answers by when a job should be over. All times are seconds on the outbox's clock.
class ServiceObjectives {
 public:
  ServiceObjectives(const ports::Outbox& out, const settings::Settings& settings,
                    const jobs::JobRegistry& registry, const RunTimeEstimates& estimates)
      : out_(out), settings_(settings), registry_(registry), estimates_(estimates) {}

  /// The first deadline that the job can still meet if it begins `delay` seconds from now. If there is none:
  /// a time well after the last one.
  ports::Seconds next_deadline(const jobs::Job& job, ports::Seconds delay) const;
  /// How many of its deadlines the job cannot meet any more.
  int missed_deadlines(const jobs::Job& job) const;
  /// Whether every deadline of the job has passed; true without any.
  bool all_deadlines_passed(const jobs::Job& job) const;
  /// Whether the job meets the same deadlines when it ends at `later` instead of at `earlier`.
  bool meets_same_deadlines(const jobs::Job& job, ports::Seconds earlier, ports::Seconds later) const;
  /// Core-seconds that the job has yet to run.
  double remaining_core_s(const jobs::Job& job) const;
  /// Core-seconds that the job still has to be given for each deadline that it can meet; a job that can meet
  /// none comes behind all that can meet one. When not all can be in time, the cheapest first meet the most
  /// deadlines. What is placed already is paid for, so a job that lacks a few tasks comes before one that has
  /// yet to begin; and one that has missed its first deadline does not fall behind large ones that have just
  /// come.
  double cost_per_deadline(const jobs::Job& job) const;
  /// Within how many seconds the class's tasks should start; 0: nothing is said. Starting sooner gains
  /// nothing.
  ports::Seconds start_objective_s(const jobs::Job& job) const;
  /// Whether the job starts within that objective after an image fetch of `fetch_s` seconds.
  bool starts_in_time_after_fetch(const jobs::Job& job, ports::Seconds fetch_s) const;

 private:
  struct Objective {
    enum class Kind : std::uint8_t { finished, deadline, wait } kind;
    double value;  ///< seconds; with `deadline`: times the job's own deadline
  };
  const std::vector<Objective>& of_class(jobs::ClassIndex job_class) const;
  ports::Seconds deadline(const jobs::Job& job, const Objective& objective) const;
  template <typename Visit>
  void for_each_deadline(const jobs::Job& job, Visit visit) const;

  const ports::Outbox& out_;
  const settings::Settings& settings_;
  const jobs::JobRegistry& registry_;
  const RunTimeEstimates& estimates_;
  mutable std::vector<std::optional<std::vector<Objective>>> by_class_;  ///< read from the settings on demand
};

}  // namespace wingtrail::scheduling
