/// @file
/// Detects slow machines by comparing run times of tasks on them with those of the same job's tasks on
/// other machines.
///
/// A single long run is weak evidence: run times of a job's tasks differ, and the first tasks to complete are
/// the shortest. A sequential probability ratio test (Wald 1945) therefore accumulates the likelihood of all
/// observations of a machine under the hypotheses that it is slow by one of several factors, relative to
/// their likelihood at normal speed. A completed task contributes its run time, a running one the fact that
/// it has run that long already. A machine counts as slow when the likelihood ratio exceeds
/// 1/`kFalseAlarmRate`. By the bound of the test, a machine of normal speed exceeds it with at most that
/// probability each time its evidence is reset. The contribution of a single job is limited below the
/// threshold, since a fault of a job makes its tasks slow on all machines.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::balancing {

using jobs::JobIndex;
using ports::Seconds;

/// Accumulates the evidence about all machines, which are identified by their index.
class SpeedEstimator {
 public:
  /// Upper bound of the probability that a machine of normal speed is detected as slow before its evidence
  /// is reset.
  static constexpr double kFalseAlarmRate = 1e-6;

  /// Discards all evidence.
  void clear();
  /// Adds a task of the job that has completed on the machine. `log_ratio`: the logarithm of its run time
  /// divided by the typical one. `deviation`: the standard deviation of the logarithm of the typical run
  /// time; 0 if that was observed and not estimated.
  void on_task_completed(std::size_t machine, JobIndex job, double log_ratio, double deviation = 0);
  /// Discards the evidence of the machine's running tasks; the caller then calls `add_running_task` for each.
  void begin_running_update(std::size_t machine);
  /// Adds a task that is running. `log_ratio`: the logarithm of the time that it has run so far divided by
  /// the typical run time. `deviation`: as in `on_task_completed`.
  void add_running_task(std::size_t machine, JobIndex job, double log_ratio, double deviation = 0);
  /// Whether the machine has been detected as slow.
  bool is_slow(std::size_t machine) const;
  /// Estimated factor by which tasks run longer on the machine; 1 unless it is slow.
  double slowdown(std::size_t machine) const;
  /// Discards the evidence about a machine that is gone.
  void remove_machine(std::size_t machine);

 private:
  static constexpr std::size_t kHypotheses = 3;  // slowdown factors; see kSlowdowns
  /// Logarithms of likelihood ratios, by hypothesis.
  using LogLikelihoods = std::array<double, kHypotheses>;
  /// The evidence from one job's tasks.
  struct JobEvidence {
    JobIndex job;
    LogLikelihoods completed{};
    LogLikelihoods running{};
  };
  struct MachineEvidence {
    std::vector<JobEvidence> by_job;  ///< of the jobs seen last, at most kMaxJobs
    bool slow = false;
  };
  MachineEvidence& evidence_of(std::size_t machine);
  static JobEvidence& evidence_by_job(MachineEvidence& machine, JobIndex job);
  static LogLikelihoods total_evidence(const MachineEvidence& machine);
  static double log_likelihood_ratio(const LogLikelihoods& evidence);

  std::vector<MachineEvidence> machines_;
  /// Standard deviation of the logarithm of run times of a job's tasks.
  double deviation_ = 0.3;
};

}  // namespace wingtrail::balancing
