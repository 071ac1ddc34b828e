#include "scheduling/run_time_estimates.hpp"

#include <algorithm>
#include <cmath>

namespace wingtrail::scheduling {

using jobs::Job;

void RunTimeEstimates::clear_jobs() {
  job_run_times_.clear();
}

void RunTimeEstimates::on_task_completed(const Job& job, double run_s) {
  JobRunTimes& times = job_run_times_[job.index];
  times.mean_s = (times.mean_s * times.samples + run_s) / (times.samples + 1);
  ++times.samples;
  if (class_ratios_.size() <= job.job_class)
    class_ratios_.resize(job.job_class + 1);
  if (job.spec.estimate_s <= 0)
    return;
  constexpr double kMinRatio = 0.1, kMaxRatio = 10.0;
  constexpr double kMinWeight = 0.01;  // of a new sample in the mean
  constexpr int kPriorSamples = 4;     // number of samples that the initial ratio 1 counts for
  ClassRatio& observed = class_ratios_[job.job_class];
  const double ratio = std::clamp(run_s / job.spec.estimate_s, kMinRatio, kMaxRatio);
  const double weight = std::max(kMinWeight, 1.0 / (++observed.samples + kPriorSamples));
  observed.ratio += (ratio - observed.ratio) * weight;
}

void RunTimeEstimates::on_job_over(const Job& job) {
  if (const auto it = job_run_times_.find(job.index); it != job_run_times_.end() && job.spec.estimate_s > 0) {
    constexpr double kWeight = 0.05;  // of a job in the variance
    constexpr double kMaxSquaredError = 1;
    const double log_error = std::log(it->second.mean_s / estimated_run_time(job));
    estimate_log_variance_ +=
        (std::min(kMaxSquaredError, log_error * log_error) - estimate_log_variance_) * kWeight;
  }
  job_run_times_.erase(job.index);
}

double RunTimeEstimates::estimated_run_time(const Job& job) const {
  const double ratio = job.job_class < class_ratios_.size() ? class_ratios_[job.job_class].ratio : 1.0;
  return job.spec.estimate_s * ratio;
}

bool RunTimeEstimates::is_long(const Job& job) const {
  return job.is_service() || job.is_gang() || estimated_run_time(job) > settings_.tunables.long_job_cutoff_s;
}

std::optional<double> RunTimeEstimates::mean_run_time(const Job& job, double min_samples) const {
  const auto it = job_run_times_.find(job.index);
  if (it == job_run_times_.end() || it->second.samples < min_samples)
    return std::nullopt;
  return it->second.mean_s;
}

std::optional<RunTimeEstimates::TypicalRunTime> RunTimeEstimates::typical_run_time(const Job& job) const {
  constexpr int kMinSamples = 5;
  constexpr double kMinCompletedShare = 0.5;  // of the job's tasks
  if (const auto mean =
          mean_run_time(job, std::max<double>(kMinSamples, kMinCompletedShare * job.spec.tasks)))
    return TypicalRunTime{*mean, 0};
  // If most owners' estimates are far off, machines of normal speed would appear slow.
  constexpr double kMaxLogDeviation = 0.35;
  if (job.spec.estimate_s <= 0 || estimate_log_variance_ > kMaxLogDeviation * kMaxLogDeviation)
    return std::nullopt;
  return TypicalRunTime{estimated_run_time(job), std::sqrt(estimate_log_variance_)};
}

}  // namespace wingtrail::scheduling
