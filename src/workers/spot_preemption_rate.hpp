/// @file
/// An estimate of how often spot machines are preempted.
#pragma once

#include "ports/outbox.hpp"

namespace wingtrail::workers {

/// Estimates the preemptions per second of a spot machine's uptime, from the observations during all
/// leaderships of this process.
class SpotPreemptionRate {
 public:
  void observe_time(ports::Seconds machine_seconds) {
    machine_seconds_ += machine_seconds;
  }
  void observe_preemption() {
    ++preemptions_;
  }
  /// The estimate, in preemptions per second of a machine's uptime.
  double per_second() const {
    return (preemptions_ + 1) / (machine_seconds_ + kPriorSeconds);
  }

 private:
  /// The prior is one preemption within this uptime.
  static constexpr ports::Seconds kPriorSeconds = 3600;
  double preemptions_ = 0;
  ports::Seconds machine_seconds_ = 0;
};

}  // namespace wingtrail::workers
