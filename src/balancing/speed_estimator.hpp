/// \file
/// Detects slow machines by comparing run times of tasks on them with those of the same job's tasks
/// elsewhere.
///
/// A single long task is weak evidence: run times of a job's tasks differ, and the first to complete are the
/// shortest. A sequential probability ratio test (Wald 1945) therefore accumulates how much likelier all
/// observations of a machine are if it is slow by one of some factors than if it has normal speed: a
/// completed task counts by its run time, a running one by having run that long already. A machine is slow
/// when the ratio exceeds 1/`kFalseAlarmRate`; by the test's bound one of normal speed exceeds it with at
/// most that probability each time the evidence begins afresh. No single job can decide, since what is wrong
/// with a job is wrong on all its machines.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::balancing {

using jobs::JobIndex;
using ports::Seconds;

/// Machines are numbered by their index.
class SpeedEstimator {
 public:
  static constexpr double kFalseAlarmRate = 1e-6;

  void clear();
  /// A task of the job has completed there. `log_ratio`: the logarithm of its run time divided by the typical
  /// one. `deviation`: the standard deviation of the typical run time's logarithm.
  void on_task_completed(std::size_t machine, JobIndex job, double log_ratio, double deviation = 0);
  /// Begins a new account of what runs there; `add_running_task` follows for each task with the time that it
  /// has run so far.
  void begin_running_update(std::size_t machine);
  void add_running_task(std::size_t machine, JobIndex job, double log_ratio, double deviation = 0);
  bool is_slow(std::size_t machine) const;
  /// How many times as long tasks take there; 1 unless it is slow.
  double slowdown(std::size_t machine) const;
  /// The machine is gone.
  void remove_machine(std::size_t machine);

 private:
  static constexpr std::size_t kHypotheses = 3;
  /// Logarithms of likelihood ratios, by hypothesis.
  using LogLikelihoods = std::array<double, kHypotheses>;
  /// By one job's tasks.
  struct JobEvidence {
    JobIndex job;
    LogLikelihoods completed{};
    LogLikelihoods running{};
  };
  struct MachineEvidence {
    std::vector<JobEvidence> by_job;  ///< the latest jobs
    bool slow = false;
  };
  MachineEvidence& evidence_of(std::size_t machine);
  static JobEvidence& evidence_by_job(MachineEvidence& machine, JobIndex job);
  static LogLikelihoods total_evidence(const MachineEvidence& machine);
  static double log_likelihood_ratio(const LogLikelihoods& evidence);

  std::vector<MachineEvidence> machines_;
  double deviation_ = 0.3;  ///< of the logarithm of run times of a job's tasks
};

}  // namespace wingtrail::balancing
