// Tells slow machines from sound ones by how long tasks take on them against their own job's tasks elsewhere.
//
// One task that takes long says little: run times of a job's tasks differ, and the first to end are the
// shortest. So what is weighed is how much likelier all that was seen of a machine is if it runs at half
// speed than if it is sound (a sequential probability ratio test, Wald 1945): a completed task counts by its
// run time, one that still runs by having run that long already. A machine is slow when that ratio passes
// `kAlarm`; by the test's own bound a sound one passes it less than once in 1/`kFalse` times that it is
// followed from a fresh start. No single job can carry the verdict, since what is wrong with a job is wrong
// on all its machines.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::balancing {

using jobs::JobIndex;
using ports::Seconds;

class SpeedEstimator {
 public:
  static constexpr double kFalseAlarmRate = 1e-6;

  void clear();
  // A task of the job has completed there: the logarithm of its run time against the job's others.
  // `unsure`: how far off that comparison may be, as a standard deviation of logarithms.
  void on_task_completed(std::size_t machine, JobIndex job, double log_ratio, double unsure = 0);
  // What runs there now, told whole once a second: `log_ratio` of the time that each task has run so far.
  void begin_running_update(std::size_t machine);
  void add_running_task(std::size_t machine, JobIndex job, double log_ratio, double unsure = 0);
  // After a look: whether the machine is slow; how many times as long its tasks take (at least 1).
  bool is_slow(std::size_t machine) const;
  double slowdown(std::size_t machine) const;
  void forget(std::size_t machine);  // it is gone

 private:
  static constexpr std::size_t kHypotheses = 3;
  using LogLikelihoods =
      std::array<double, kHypotheses>;  // logarithms of likelihood ratios, by what is supposed
  struct JobEvidence {                  // by one job's tasks
    JobIndex job;
    LogLikelihoods ended{}, running{};
  };
  struct MachineEvidence {
    std::vector<JobEvidence> by_job;  // the latest jobs
    bool slow = false;
  };
  MachineEvidence& evidence_of(std::size_t machine);
  static JobEvidence& evidence_by_job(MachineEvidence& of, JobIndex job);
  static LogLikelihoods total_evidence(const MachineEvidence& of);
  static double log_likelihood_ratio(const LogLikelihoods& w);

  std::vector<MachineEvidence> machines_;
  double deviation_ = 0.3;
};

}  // namespace wingtrail::balancing
