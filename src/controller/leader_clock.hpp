/// @file
/// The time at which a frame of the leader was sent, by this controller's clock.
#pragma once

#include <cstdint>
#include <optional>

#include "peer/frame.hpp"
#include "ports/outbox.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Bounds from below when the leader's frames were sent. A frame may arrive long after it was sent, or more
/// than once, so its arrival does not tell. A reply was sent after its request, and every frame of the same
/// leadership comes from the same process, whose age each frame states. All times are in seconds of this
/// controller's steady clock.
class LeaderClock {
 public:
  /// Records a reply of the leader.
  /// @param request_sent when this controller sent the request
  /// @param now when the reply arrived
  void on_reply(const peer::Frame& reply, Seconds request_sent, Seconds now);
  /// Returns a time, at most `now`, before which the leader did not send the frame; nullopt if the leadership
  /// that sent it has not replied to this controller yet.
  std::optional<Seconds> earliest_sent(const peer::Frame& frame, Seconds now) const;

 private:
  // The reply that dates the frames of its leadership.
  struct DatedReply {
    std::uint64_t fencing_token = 0;
    double process_age_s = 0;
    Seconds request_sent = 0;
  };

  std::optional<Seconds> extrapolate(const peer::Frame& frame) const;

  std::optional<DatedReply> dated_reply_;
};

}  // namespace wingtrail::controller
