#include "spread/speed.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wingtrail::spread {
namespace {
constexpr std::array<double, 3> kFactors{2, 3, 5};  // what is looked for
constexpr double kOneJob = 0.45;                    // of the verdict that one job's tasks can give at most
constexpr std::size_t kJobs = 8;                    // remembered of a machine
constexpr double kLearns = 0.002;
constexpr double kLeast = 0.15, kMost = 0.6;  // standard deviations

double alarm() {
  return -std::log(Speeds::kFalse);
}
// The chance that a task takes longer than that many standard deviations above the usual.
double beyond(double z) {
  return std::max(1e-12, 0.5 * std::erfc(z / std::numbers::sqrt2));
}
}  // namespace

void Speeds::clear() {
  machines_.clear();
}

Speeds::Of& Speeds::of(std::size_t machine) {
  if (machines_.size() <= machine)
    machines_.resize(machine + 1);
  return machines_[machine];
}

Speeds::Said& Speeds::by(Of& of, Ix job) {
  for (Said& s : of.said) {
    if (s.job == job)
      return s;
  }
  if (of.said.size() >= kJobs)
    of.said.erase(of.said.begin());
  return of.said.emplace_back(Said{job});
}

Speeds::Weights Speeds::sums(const Of& of) {
  Weights w{};
  for (const Said& s : of.said) {
    for (std::size_t i = 0; i < kSpeeds; ++i)
      w[i] += std::min(kOneJob * alarm(), s.ended[i] + s.runs[i]);
  }
  return w;
}

// Of all that is supposed together, each as likely as the others beforehand.
double Speeds::likelier(const Weights& w) {
  double sum = 0;
  for (const double x : w)
    sum += std::exp(std::min(x, 600.0));
  return std::log(sum / kSpeeds);
}

void Speeds::ended(std::size_t machine, Ix job, double x, double unsure) {
  Of& o = of(machine);
  const double variance = deviation_ * deviation_ + unsure * unsure;
  // Slow machines must not teach what is usual, and neither must estimates.
  if (!o.slow && unsure <= 0 && std::abs(x) < 3 * deviation_)
    deviation_ = std::clamp(std::sqrt(variance + (x * x - variance) * kLearns), kLeast, kMost);
  Said& said = by(o, job);
  for (std::size_t i = 0; i < kSpeeds; ++i) {
    const double h = std::log(kFactors[i]);
    said.ended[i] += h * (x - h / 2) / variance;
  }
  Weights w{};
  for (const Said& s : o.said) {
    for (std::size_t i = 0; i < kSpeeds; ++i)
      w[i] += s.ended[i];
  }
  // Sound as far as can be told: the evidence begins afresh, or a long good record would hide what comes.
  if (*std::max_element(w.begin(), w.end()) <= 0) {
    for (Said& s : o.said)
      s.ended = {};
    o.slow = false;
  }
}

void Speeds::look(std::size_t machine) {
  for (Said& s : of(machine).said)
    s.runs = {};
}

void Speeds::runs(std::size_t machine, Ix job, double x, double unsure) {
  Of& o = of(machine);
  const double deviation = std::sqrt(deviation_ * deviation_ + unsure * unsure);
  Said& said = by(o, job);
  for (std::size_t i = 0; i < kSpeeds; ++i)
    said.runs[i] += std::log(beyond((x - std::log(kFactors[i])) / deviation) / beyond(x / deviation));
  if (!o.slow && likelier(sums(o)) > alarm())
    o.slow = true;
}

bool Speeds::slow(std::size_t machine) const {
  return machine < machines_.size() && machines_[machine].slow;
}

double Speeds::factor(std::size_t machine) const {
  if (!slow(machine))
    return 1;
  const Weights w = sums(machines_[machine]);
  const double most = *std::max_element(w.begin(), w.end());
  double sum = 0, mean = 0;
  for (std::size_t i = 0; i < kSpeeds; ++i) {
    const double weight = std::exp(w[i] - most);
    sum += weight;
    mean += weight * kFactors[i];
  }
  return mean / sum;
}

void Speeds::forget(std::size_t machine) {
  if (machine < machines_.size())
    machines_[machine] = {};
}

}  // namespace wingtrail::spread
