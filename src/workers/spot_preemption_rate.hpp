/// \file
/// An estimate of how often spot machines are preempted.
#pragma once

#include "ports/outbox.hpp"

namespace wingtrail::workers {

/// Preemptions per second of a spot machine's time, over all leaderships of this process.
class SpotPreemptionRate {
 public:
  void observe_time(ports::Seconds machine_seconds) {
    machine_seconds_ += machine_seconds;
  }
  void observe_preemption() {
    ++preemptions_;
  }
  double per_second() const {
    return (preemptions_ + 1) / (machine_seconds_ + kPriorSeconds);
  }

 private:
  /// The prior: as if one machine had been preempted in an hour.
  static constexpr ports::Seconds kPriorSeconds = 3600;
  double preemptions_ = 0;
  ports::Seconds machine_seconds_ = 0;
};

}  // namespace wingtrail::workers
