#include "balancing/speed_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wingtrail::balancing {
namespace {
constexpr std::array<double, 3> kFactors{2, 3, 5};  // what is looked for
constexpr double kOneJob = 0.45;                    // of the verdict that one job's tasks can give at most
constexpr std::size_t kJobs = 8;                    // remembered of a machine
constexpr double kLearns = 0.002;
constexpr double kLeast = 0.15, kMost = 0.6;  // standard deviations

double alarm() {
  return -std::log(SpeedEstimator::kFalseAlarmRate);
}
// The chance that a task takes longer than that many standard deviations above the usual.
double beyond(double z) {
  return std::max(1e-12, 0.5 * std::erfc(z / std::numbers::sqrt2));
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

SpeedEstimator::JobEvidence& SpeedEstimator::evidence_by_job(MachineEvidence& of, JobIndex job) {
  for (JobEvidence& s : of.by_job) {
    if (s.job == job)
      return s;
  }
  if (of.by_job.size() >= kJobs)
    of.by_job.erase(of.by_job.begin());
  return of.by_job.emplace_back(JobEvidence{job});
}

SpeedEstimator::LogLikelihoods SpeedEstimator::total_evidence(const MachineEvidence& of) {
  LogLikelihoods w{};
  for (const JobEvidence& s : of.by_job) {
    for (std::size_t i = 0; i < kHypotheses; ++i)
      w[i] += std::min(kOneJob * alarm(), s.ended[i] + s.running[i]);
  }
  return w;
}

// Of all that is supposed together, each as likely as the others beforehand.
double SpeedEstimator::log_likelihood_ratio(const LogLikelihoods& w) {
  double sum = 0;
  for (const double x : w)
    sum += std::exp(std::min(x, 600.0));
  return std::log(sum / kHypotheses);
}

void SpeedEstimator::on_task_completed(std::size_t machine, JobIndex job, double x, double unsure) {
  MachineEvidence& o = evidence_of(machine);
  const double variance = deviation_ * deviation_ + unsure * unsure;
  // Slow machines must not teach what is usual, and neither must estimates.
  if (!o.slow && unsure <= 0 && std::abs(x) < 3 * deviation_)
    deviation_ = std::clamp(std::sqrt(variance + (x * x - variance) * kLearns), kLeast, kMost);
  JobEvidence& said = evidence_by_job(o, job);
  for (std::size_t i = 0; i < kHypotheses; ++i) {
    const double h = std::log(kFactors[i]);
    said.ended[i] += h * (x - h / 2) / variance;
  }
  LogLikelihoods w{};
  for (const JobEvidence& s : o.by_job) {
    for (std::size_t i = 0; i < kHypotheses; ++i)
      w[i] += s.ended[i];
  }
  // Sound as far as can be told: the evidence begins afresh, or a long good record would hide what comes.
  if (*std::max_element(w.begin(), w.end()) <= 0) {
    for (JobEvidence& s : o.by_job)
      s.ended = {};
    o.slow = false;
  }
}

void SpeedEstimator::begin_running_update(std::size_t machine) {
  for (JobEvidence& s : evidence_of(machine).by_job)
    s.running = {};
}

void SpeedEstimator::add_running_task(std::size_t machine, JobIndex job, double x, double unsure) {
  MachineEvidence& o = evidence_of(machine);
  const double deviation = std::sqrt(deviation_ * deviation_ + unsure * unsure);
  JobEvidence& said = evidence_by_job(o, job);
  for (std::size_t i = 0; i < kHypotheses; ++i)
    said.running[i] += std::log(beyond((x - std::log(kFactors[i])) / deviation) / beyond(x / deviation));
  if (!o.slow && log_likelihood_ratio(total_evidence(o)) > alarm())
    o.slow = true;
}

bool SpeedEstimator::is_slow(std::size_t machine) const {
  return machine < machines_.size() && machines_[machine].slow;
}

double SpeedEstimator::slowdown(std::size_t machine) const {
  if (!is_slow(machine))
    return 1;
  const LogLikelihoods w = total_evidence(machines_[machine]);
  const double most = *std::max_element(w.begin(), w.end());
  double sum = 0, mean = 0;
  for (std::size_t i = 0; i < kHypotheses; ++i) {
    const double weight = std::exp(w[i] - most);
    sum += weight;
    mean += weight * kFactors[i];
  }
  return mean / sum;
}

void SpeedEstimator::forget(std::size_t machine) {
  if (machine < machines_.size())
    machines_[machine] = {};
}

}  // namespace wingtrail::balancing
