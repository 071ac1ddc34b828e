/// \file
/// Run times of tasks: the owners' estimates, corrected by the run times that were observed.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::scheduling {

/// Learns from completed tasks how long tasks of a class and of a job take. The ratios by class outlive a
/// leadership; the run times by job do not.
class RunTimeEstimates {
 public:
  /// Run time of a job's task on a machine of normal speed.
  struct TypicalRunTime {
    ports::Seconds run_s;
    double log_deviation;  ///< standard deviation of the logarithm of `run_s`; 0: observed, not estimated
  };

  explicit RunTimeEstimates(const settings::Settings& settings) : settings_(settings) {}

  /// Forgets the run times by job.
  void clear_jobs();
  /// A task of the job has completed after `run_s` seconds.
  void on_task_completed(const jobs::Job& job, double run_s);
  /// The job has ended: its run times correct the spread of estimates and are forgotten.
  void on_job_over(const jobs::Job& job);

  /// The owner's estimate in seconds, corrected by the ratio observed in the job's class.
  double estimated_run_time(const jobs::Job& job) const;
  /// Whether the job is scheduled as a long one (Hawk's cutoff); services and gangs always are.
  bool is_long(const jobs::Job& job) const;
  /// Mean run time in seconds of the job's completed tasks, once `min_samples` of them have completed.
  std::optional<double> mean_run_time(const jobs::Job& job, double min_samples) const;
  /// By the job's completed tasks, once enough have completed to tell, since the first to complete are the
  /// shortest; before that by its estimate. Nothing: estimates are too far off to judge a machine by them.
  std::optional<TypicalRunTime> typical_run_time(const jobs::Job& job) const;

 private:
  struct ClassRatio {
    double ratio = 1;  ///< run time divided by the owner's estimate
    int samples = 0;
  };
  struct JobRunTimes {
    double mean_s = 0;  ///< over completed tasks
    int samples = 0;
  };

  const settings::Settings& settings_;
  std::vector<ClassRatio> class_ratios_;  ///< by class
  std::unordered_map<jobs::JobIndex, JobRunTimes> job_run_times_;
  double estimate_log_variance_ = 1;  ///< of the logarithm of jobs' run times divided by their estimates
};

}  // namespace wingtrail::scheduling
