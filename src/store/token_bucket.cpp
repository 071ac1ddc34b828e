#include "store/token_bucket.hpp"

namespace wingtrail::store {
namespace {
/// Reported waiting time at a rate of 0, in s; the rate may have been set again by then.
constexpr Seconds kWaitWithoutRate = 1.0;
}  // namespace

void TokenBucket::refill(Seconds now) {
  level_ = std::min(burst(), level_ + (now - refilled_at_) * rate_);
  refilled_at_ = now;
}

bool TokenBucket::try_take(Seconds now, double tokens, double floor) {
  refill(now);
  if (level_ - tokens < reserve(tokens, floor))
    return false;
  level_ -= tokens;
  return true;
}

Seconds TokenBucket::time_until(Seconds now, double tokens, double floor) const {
  const double level = std::min(burst(), level_ + (now - refilled_at_) * rate_);
  const double missing = reserve(tokens, floor) + tokens - level;
  if (missing <= 0)
    return 0;
  return rate_ > 0 ? missing / rate_ : kWaitWithoutRate;
}

void TokenBucket::take_with_debt(Seconds now, double tokens) {
  refill(now);
  level_ -= tokens;
}

}  // namespace wingtrail::store
