/// \file
/// The rate of calls to the cloud's interface.
#pragma once

#include "store/state_client.hpp"

namespace wingtrail::autoscaling {

inline constexpr ports::Seconds kCloudCallTimeout = 4;

class CloudCallBudget {
 public:
  CloudCallBudget(const ports::Outbox& out, double calls_per_s) : out_(out) {
    constexpr double kUsedShare = 0.8;  // of the cloud's limit
    calls_.configure(calls_per_s * kUsedShare);
  }
  /// Takes a call if one is left; those that are not urgent leave a reserve.
  bool try_take(bool urgent) {
    constexpr double kReserve = 0.3;
    return calls_.try_take(out_.now(), 1, urgent ? 0.0 : kReserve);
  }

 private:
  const ports::Outbox& out_;
  store::TokenBucket calls_;
};

}  // namespace wingtrail::autoscaling
