#include "delegation/lease_delegate.hpp"

#include <algorithm>

#include "ports/clock_drift.hpp"

namespace wingtrail::delegation {

// Returns how long this controller may rely on a period of `duration_s` seconds that another controller
// measures by its own clock.
Seconds LeaseDelegate::effective_duration(Seconds duration_s) const {
  return std::min(duration_s_, duration_s) * (1 - ports::kMaxClockDrift);
}

void LeaseDelegate::on_grant(std::uint64_t token, Seconds sent, Seconds duration_s) {
  observe_leadership(token);
  if (token != newest_token_)
    return;  // the granting leader is no longer the newest
  if (token != granting_token_)
    granted_until_ = -1;
  granting_token_ = token;
  granted_until_ = std::max(granted_until_, sent + effective_duration(duration_s));
}

void LeaseDelegate::on_peer_agreement(std::size_t peer, std::uint64_t token, Seconds sent,
                                      Seconds duration_s) {
  observe_leadership(token);
  // A peer that did not know of the newest leadership may have agreed before that leadership began.
  if (token != newest_token_ || duration_s_ <= 0)
    return;
  agreed_until_by_peer_[peer] = std::max(agreed_until_by_peer_[peer], sent + effective_duration(duration_s));
}

Seconds LeaseDelegate::agreed_until() const {
  if (duration_s_ <= 0)
    return -1;
  // Without peers no other controller can lead, and an earlier process of this one has ended.
  if (agreed_until_by_peer_.empty())
    return ports::kNever;
  return *std::min_element(agreed_until_by_peer_.begin(), agreed_until_by_peer_.end());
}

void LeaseDelegate::observe_leadership(std::uint64_t token) {
  if (token <= newest_token_)
    return;
  newest_token_ = token;
  if (granting_token_ != token)
    granted_until_ = -1;
  // The new leader accounts only for agreements that were given before its election.
  std::fill(agreed_until_by_peer_.begin(), agreed_until_by_peer_.end(), -1);
}

std::optional<std::uint64_t> LeaseDelegate::renewal_token(Seconds now, std::uint64_t worker_token,
                                                          bool strict_cancellation) const {
  // A worker that knows a newer token would drop the reply, but keep sending its heartbeats here until its
  // lease expires.
  if (now < granted_until_ && granting_token_ == newest_token_ && worker_token <= granting_token_)
    return granting_token_;
  // Without a leader no token must be raised: the reply repeats the worker's own token, which leaves its
  // state as it is.
  if (strict_cancellation && now < agreed_until() && worker_token > 0)
    return worker_token;
  return std::nullopt;
}

}  // namespace wingtrail::delegation
