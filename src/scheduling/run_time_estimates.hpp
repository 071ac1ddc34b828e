/// @file
/// Estimates of the run times of tasks: the owners' estimates, corrected by observed run times.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::scheduling {

/// Learns from completed tasks how long tasks of a class and of a job run. What is learned by class is kept
/// at the end of a leadership; what is learned by job is not.
class RunTimeEstimates {
 public:
  /// Run time of a task of the job on a machine of normal speed.
  struct TypicalRunTime {
    ports::Seconds run_s;
    double log_deviation;  ///< standard deviation of the logarithm of `run_s`; 0 if `run_s` was observed
  };

  explicit RunTimeEstimates(const settings::Settings& settings) : settings_(settings) {}

  /// Discards the run times by job.
  void clear_jobs();
  /// Records that a task of the job has completed after `run_s` seconds.
  void on_task_completed(const jobs::Job& job, double run_s);
  /// Updates the deviation of estimates by the run times of a job that is done or cancelled, and
  /// discards them.
  void on_job_over(const jobs::Job& job);

  /// The owner's estimate in seconds, corrected by the ratio observed in the job's class.
  double estimated_run_time(const jobs::Job& job) const;
  /// Whether the job is scheduled as a long one: its estimated run time exceeds Hawk's cutoff, or it
  /// is a service or a gang.
  bool is_long(const jobs::Job& job) const;
  /// Mean run time in seconds of the job's completed tasks; empty if fewer than `min_samples` were observed.
  std::optional<double> mean_run_time(const jobs::Job& job, double min_samples) const;
  /// The mean over the job's completed tasks once enough have completed, since the first ones to complete
  /// are the shortest, and the estimate before that. Empty if estimates are too inaccurate to judge a
  /// machine by them.
  std::optional<TypicalRunTime> typical_run_time(const jobs::Job& job) const;

 private:
  struct ClassRatio {
    double ratio = 1;  ///< run time divided by the owner's estimate
    int samples = 0;   ///< completed tasks
  };
  struct JobRunTimes {
    double mean_s = 0;  ///< over completed tasks
    int samples = 0;    ///< completed tasks
  };

  const settings::Settings& settings_;
  std::vector<ClassRatio> class_ratios_;  ///< by class
  std::unordered_map<jobs::JobIndex, JobRunTimes> job_run_times_;
  /// Variance of the logarithm of a job's mean run time divided by its estimate, over recent jobs.
  double estimate_log_variance_ = 1;
};

}  // namespace wingtrail::scheduling
