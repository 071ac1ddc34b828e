// How much of something comes in a second, the recent counting more than what is long past.
#pragma once

#include <algorithm>
#include <cmath>

#include "ports/outbox.hpp"

namespace wingtrail::spread {

using ports::Seconds;

class Rate {
 public:
  // `memory`: after this time a third of what came still counts, in seconds.
  explicit Rate(Seconds memory) : memory_(memory) {}
  void add(Seconds now, double amount) {
    if (began_ < 0)
      began_ = at_ = now;
    sum_ = left(now) + amount;
    at_ = std::max(at_, now);
  }
  // Per second. What there was before the first came is not known, so a young rate is scaled by its age.
  double per_s(Seconds now) const {
    if (began_ < 0)
      return 0;
    const double known = memory_ * -std::expm1(-std::max(1.0, now - began_) / memory_);
    return left(now) / known;
  }

 private:
  double left(Seconds now) const {
    return sum_ * std::exp(-std::max(0.0, now - at_) / memory_);
  }
  Seconds memory_, began_ = -1, at_ = 0;
  double sum_ = 0;
};

}  // namespace wingtrail::spread
