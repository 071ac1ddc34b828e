/// A token bucket: a rate of whole or partial tokens, with bursts and debt.
#pragma once

#include <algorithm>

#include "ports/outbox.hpp"

namespace wingtrail::store {

using ports::Seconds;

/// Holds at most a second's worth of tokens, or the minimum burst if that is more.
class TokenBucket {
 public:
  /// Sets the rate; tokens above the new burst are lost.
  void configure(double per_second) {
    rate_ = per_second;
    level_ = std::min(level_, burst());
  }
  /// For rates so low that a second's worth is no whole request.
  void set_minimum_burst(double tokens) {
    minimum_burst_ = tokens;
  }
  /// Takes the tokens unless that would leave less than `floor`, a part of a second's worth; false if so.
  bool try_take(Seconds now, double tokens, double floor);
  /// Takes the tokens in any case; the level may become negative.
  void take_with_debt(Seconds now, double tokens);
  /// Until try_take() would succeed; 0: it would now.
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
  // What must be left. More tokens than a full bucket holds take a full one.
  double reserve(double tokens, double floor) const {
    return minimum_burst_ > 0 ? std::min(floor * rate_, burst() - tokens) : floor * rate_;
  }

  double rate_ = 0;
  double level_ = 1e9;  // unlimited until the first configure()
  double minimum_burst_ = 0;
  Seconds refilled_at_ = 0;
};

}  // namespace wingtrail::store
