/// @file
/// The limit on the rate of calls to the cloud's API.
#pragma once

#include "store/state_client.hpp"

namespace wingtrail::autoscaling {

inline constexpr ports::Seconds kCloudCallTimeout = 4;

/// A token bucket for all calls to the cloud, somewhat below the rate that the cloud accepts.
class CloudCallBudget {
 public:
  /// `calls_per_s`: the rate that the cloud accepts.
  CloudCallBudget(const ports::Outbox& out, double calls_per_s) : out_(out) {
    constexpr double kUsedShare = 0.8;  // of the rate that the cloud accepts
    calls_.configure(calls_per_s * kUsedShare);
  }
  /// Takes one call from the budget; returns false if the call must not be made now. Calls that are not
  /// urgent leave a reserve for urgent ones.
  bool try_take(bool urgent) {
    constexpr double kReserve = 0.3;  // of the bucket
    return calls_.try_take(out_.now(), 1, urgent ? 0.0 : kReserve);
  }

 private:
  const ports::Outbox& out_;
  store::TokenBucket calls_;
};

}  // namespace wingtrail::autoscaling
