/// @file
/// The flag in attempt numbers by which workers show that a leader confirmed cancellations strictly.
///
/// A leader that knows every controller to support delegated lease renewal confirms a cancellation only when
/// all tasks of the job are gone, and sets the flag in the attempts that it numbers. Workers show the
/// attempts of their tasks in heartbeats. So controllers that have all restarted, and cannot read the state
/// service, still learn from workers that the leader with that fencing token confirmed no cancellation too
/// early.
#pragma once

#include <cstdint>

namespace wingtrail::delegation {

/// Set in an attempt number by a leader that confirms cancellations strictly.
inline constexpr std::uint64_t kStrictCancellationFlag = std::uint64_t{1} << 62;
/// Below the flag an attempt number is the leader's fencing token, shifted by this many bits, and a counter.
inline constexpr int kFencingTokenShift = 24;

/// Returns the fencing token of the leader that numbered the attempt if the flag is set, 0 otherwise.
constexpr std::uint64_t strict_cancellation_token(std::uint64_t attempt) {
  return (attempt & kStrictCancellationFlag) != 0 ? (attempt & ~kStrictCancellationFlag) >> kFencingTokenShift
                                                  : 0;
}

}  // namespace wingtrail::delegation
