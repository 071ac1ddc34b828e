/// @file
/// A rate of arrival in which recent arrivals have more weight than old ones.
#pragma once

#include <algorithm>
#include <cmath>

#include "ports/outbox.hpp"

namespace wingtrail::balancing {

using ports::Seconds;

/// Exponentially weighted moving rate, per second.
class DecayingRate {
 public:
  /// `time_constant_s`: an arrival of that age has about a third (1/e) of its initial weight.
  explicit DecayingRate(Seconds time_constant_s) : time_constant_s_(time_constant_s) {}
  /// Adds an arrival. `now` must not decrease between calls.
  void add(Seconds now, double amount) {
    if (began_at_ < 0)
      began_at_ = updated_at_ = now;
    sum_ = decayed_sum(now) + amount;
    updated_at_ = std::max(updated_at_, now);
  }
  /// The rate per second; 0 before the first call of `add`. Arrivals before that call are unknown, so the
  /// rate is scaled by the part of the weight that the time since then covers.
  double per_s(Seconds now) const {
    if (began_at_ < 0)
      return 0;
    const Seconds observed_s =
        time_constant_s_ * -std::expm1(-std::max(1.0, now - began_at_) / time_constant_s_);
    return decayed_sum(now) / observed_s;
  }

 private:
  double decayed_sum(Seconds now) const {
    return sum_ * std::exp(-std::max(0.0, now - updated_at_) / time_constant_s_);
  }
  Seconds time_constant_s_;
  Seconds began_at_ = -1;  // of the first arrival; negative: none yet
  Seconds updated_at_ = 0;
  double sum_ = 0;
};

}  // namespace wingtrail::balancing
