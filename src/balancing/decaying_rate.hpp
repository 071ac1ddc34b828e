/// \file
/// A rate of arrival in which recent arrivals weigh more than those long past.
#pragma once

#include <algorithm>
#include <cmath>

#include "ports/outbox.hpp"

namespace wingtrail::balancing {

using ports::Seconds;

/// Exponentially weighted rate per second.
class DecayingRate {
 public:
  /// `memory`: the time constant in seconds; an arrival that old counts for about a third.
  explicit DecayingRate(Seconds memory) : memory_(memory) {}
  /// `now` never decreases.
  void add(Seconds now, double amount) {
    if (began_at_ < 0)
      began_at_ = updated_at_ = now;
    sum_ = decayed_sum(now) + amount;
    updated_at_ = std::max(updated_at_, now);
  }
  /// Per second. What arrived before the first call of `add` is unknown, so a young rate is scaled by its
  /// age.
  double per_s(Seconds now) const {
    if (began_at_ < 0)
      return 0;
    const double known = memory_ * -std::expm1(-std::max(1.0, now - began_at_) / memory_);
    return decayed_sum(now) / known;
  }

 private:
  double decayed_sum(Seconds now) const {
    return sum_ * std::exp(-std::max(0.0, now - updated_at_) / memory_);
  }
  Seconds memory_, began_at_ = -1, updated_at_ = 0;
  double sum_ = 0;
};

}  // namespace wingtrail::balancing
