#include "controller/leader_clock.hpp"

#include <algorithm>

#include "ports/clock_drift.hpp"

namespace wingtrail::controller {

void LeaderClock::on_reply(const peer::Frame& reply, Seconds request_sent, Seconds now) {
  const auto extrapolated = extrapolate(reply);
  // An earlier reply that came sooner after its request bounds the time more closely. A bound after the
  // reply's arrival is wrong.
  if (extrapolated && *extrapolated >= request_sent && *extrapolated <= now)
    return;
  dated_reply_ = {reply.leader_fencing_token, reply.process_age_s, request_sent};
}

std::optional<Seconds> LeaderClock::earliest_sent(const peer::Frame& frame, Seconds now) const {
  const auto extrapolated = extrapolate(frame);
  if (!extrapolated)
    return std::nullopt;
  return std::min(*extrapolated, now);
}

std::optional<Seconds> LeaderClock::extrapolate(const peer::Frame& frame) const {
  if (!dated_reply_ || dated_reply_->fencing_token != frame.leader_fencing_token)
    return std::nullopt;
  const double aged_s = frame.process_age_s - dated_reply_->process_age_s;
  const double drift = aged_s >= 0 ? -ports::kMaxClockDrift : ports::kMaxClockDrift;
  return dated_reply_->request_sent + aged_s * (1 + drift);
}

}  // namespace wingtrail::controller
