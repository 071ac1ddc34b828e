#include "balancing/speed_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wingtrail::balancing {
namespace {
constexpr std::array<double, 3> kSlowdowns{2, 3, 5};  // the slowdown factors of the hypotheses
constexpr double kMaxJobShare = 0.45;    // of the alarm threshold that one job's tasks may contribute
constexpr std::size_t kMaxJobs = 8;      // jobs whose evidence is kept, by machine
constexpr double kSampleWeight = 0.002;  // of one run time in the moving variance
constexpr double kMinDeviation = 0.15, kMaxDeviation = 0.6;
constexpr double kOutlierDeviations = 3;   // longer or shorter run times do not change the deviation
constexpr double kMaxLogLikelihood = 600;  // avoids an overflow of `exp`

/// The logarithm of the likelihood ratio above which a machine counts as slow.
double alarm_threshold() {
  return -std::log(SpeedEstimator::kFalseAlarmRate);
}

/// The probability that a run time exceeds the typical one by more than that many standard deviations.
double tail_probability(double deviations) {
  constexpr double kMinProbability = 1e-12;  // avoids the logarithm of 0
  return std::max(kMinProbability, 0.5 * std::erfc(deviations / std::numbers::sqrt2));
}
}  // namespace

void SpeedEstimator::clear() {
  machines_.clear();
}

SpeedEstimator::MachineEvidence& SpeedEstimator::evidence_of(std::size_t machine) {
  if (machines_.size() <= machine)
    machines_.resize(machine + 1);
  return machines_[machine];
}

SpeedEstimator::JobEvidence& SpeedEstimator::evidence_by_job(MachineEvidence& machine, JobIndex job) {
  for (JobEvidence& evidence : machine.by_job) {
    if (evidence.job == job)
      return evidence;
  }
  if (machine.by_job.size() >= kMaxJobs)
    machine.by_job.erase(machine.by_job.begin());
  return machine.by_job.emplace_back(JobEvidence{job});
}

SpeedEstimator::LogLikelihoods SpeedEstimator::total_evidence(const MachineEvidence& machine) {
  LogLikelihoods total{};
  for (const JobEvidence& evidence : machine.by_job) {
    for (std::size_t i = 0; i < kHypotheses; ++i)
      total[i] += std::min(kMaxJobShare * alarm_threshold(), evidence.completed[i] + evidence.running[i]);
  }
  return total;
}

// The log likelihood ratio of the machine being slow, with equal prior probabilities of all hypotheses.
double SpeedEstimator::log_likelihood_ratio(const LogLikelihoods& evidence) {
  double sum = 0;
  for (const double log_likelihood : evidence)
    sum += std::exp(std::min(log_likelihood, kMaxLogLikelihood));
  return std::log(sum / kHypotheses);
}

void SpeedEstimator::on_task_completed(std::size_t machine, JobIndex job, double log_ratio,
                                       double deviation) {
  MachineEvidence& observed = evidence_of(machine);
  const double variance = deviation_ * deviation_ + deviation * deviation;
  // The deviation is learned from machines of normal speed only, and from run times whose typical value was
  // observed and not estimated.
  if (!observed.slow && deviation <= 0 && std::abs(log_ratio) < kOutlierDeviations * deviation_) {
    deviation_ = std::clamp(std::sqrt(variance + (log_ratio * log_ratio - variance) * kSampleWeight),
                            kMinDeviation, kMaxDeviation);
  }
  JobEvidence& by_job = evidence_by_job(observed, job);
  for (std::size_t i = 0; i < kHypotheses; ++i) {
    const double log_slowdown = std::log(kSlowdowns[i]);
    by_job.completed[i] += log_slowdown * (log_ratio - log_slowdown / 2) / variance;
  }
  LogLikelihoods total{};
  for (const JobEvidence& evidence : observed.by_job) {
    for (std::size_t i = 0; i < kHypotheses; ++i)
      total[i] += evidence.completed[i];
  }
  // Normal speed is more likely than every hypothesis: the evidence is reset. Otherwise a long history at
  // normal speed would hide a later slowdown.
  if (*std::max_element(total.begin(), total.end()) <= 0) {
    for (JobEvidence& evidence : observed.by_job)
      evidence.completed = {};
    observed.slow = false;
  }
}

void SpeedEstimator::begin_running_update(std::size_t machine) {
  for (JobEvidence& evidence : evidence_of(machine).by_job)
    evidence.running = {};
}

void SpeedEstimator::add_running_task(std::size_t machine, JobIndex job, double log_ratio, double deviation) {
  MachineEvidence& observed = evidence_of(machine);
  const double total_deviation = std::sqrt(deviation_ * deviation_ + deviation * deviation);
  JobEvidence& by_job = evidence_by_job(observed, job);
  for (std::size_t i = 0; i < kHypotheses; ++i) {
    by_job.running[i] += std::log(tail_probability((log_ratio - std::log(kSlowdowns[i])) / total_deviation) /
                                  tail_probability(log_ratio / total_deviation));
  }
  if (!observed.slow && log_likelihood_ratio(total_evidence(observed)) > alarm_threshold())
    observed.slow = true;
}

bool SpeedEstimator::is_slow(std::size_t machine) const {
  return machine < machines_.size() && machines_[machine].slow;
}

// The mean of the hypothetical slowdown factors, weighted by their likelihoods.
double SpeedEstimator::slowdown(std::size_t machine) const {
  if (!is_slow(machine))
    return 1;
  const LogLikelihoods evidence = total_evidence(machines_[machine]);
  const double largest = *std::max_element(evidence.begin(), evidence.end());
  double sum = 0, mean = 0;
  for (std::size_t i = 0; i < kHypotheses; ++i) {
    const double weight = std::exp(evidence[i] - largest);
    sum += weight;
    mean += weight * kSlowdowns[i];
  }
  return mean / sum;
}

void SpeedEstimator::remove_machine(std::size_t machine) {
  if (machine < machines_.size())
    machines_[machine] = {};
}

}  // namespace wingtrail::balancing
