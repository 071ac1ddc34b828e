// How much of something comes in a second, the recent counting more than what is long past.
#pragma once

#include <algorithm>
#include <cmath>

#include "ports/outbox.hpp"

namespace wingtrail::balancing {

using ports::Seconds;

class DecayingRate {
 public:
  // `memory`: after this time a third of what came still counts, in seconds.
  explicit DecayingRate(Seconds memory) : memory_(memory) {}
  void add(Seconds now, double amount) {
    if (began_at_ < 0)
      began_at_ = updated_at_ = now;
    sum_ = decayed_sum(now) + amount;
    updated_at_ = std::max(updated_at_, now);
  }
  // Per second. What there was before the first came is not known, so a young rate is scaled by its age.
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
