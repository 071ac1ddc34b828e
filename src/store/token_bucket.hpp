/// @file
/// A token bucket with fractional tokens, bursts and debt.
#pragma once

#include <algorithm>

#include "ports/outbox.hpp"

namespace wingtrail::store {

using ports::Seconds;

/// A token bucket that holds at most the tokens of one second, or the minimum burst if that is more.
class TokenBucket {
 public:
  /// Sets the rate in tokens per second; tokens above the new burst are lost.
  void configure(double per_second) {
    rate_ = per_second;
    level_ = std::min(level_, burst());
  }
  /// Sets a minimum burst, for rates of less than one token per second.
  void set_minimum_burst(double tokens) {
    minimum_burst_ = tokens;
  }
  /// Takes the tokens and returns true, unless less than `floor` times the tokens of one second would remain.
  bool try_take(Seconds now, double tokens, double floor);
  /// Takes the tokens unconditionally; the level may become negative.
  void take_with_debt(Seconds now, double tokens);
  /// Time in s until try_take() would succeed; 0 if it would succeed now.
  Seconds time_until(Seconds now, double tokens, double floor) const;
  /// Tokens per second.
  double rate() const {
    return rate_;
  }

 private:
  void refill(Seconds now);
  double burst() const {
    return std::max(rate_, minimum_burst_);
  }
  // Tokens that must remain. With a minimum burst, a full bucket may always be used: if it could not leave
  // the floor, the request only needs the bucket to be full.
  double reserve(double tokens, double floor) const {
    return minimum_burst_ > 0 ? std::min(floor * rate_, burst() - tokens) : floor * rate_;
  }

  double rate_ = 0;
  double level_ = 1e9;  // unlimited until the first configure()
  double minimum_burst_ = 0;
  Seconds refilled_at_ = 0;
};

}  // namespace wingtrail::store
