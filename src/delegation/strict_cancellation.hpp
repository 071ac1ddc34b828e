/// @file
/// The flag in attempt numbers that marks a leader as confirming cancellations strictly.
///
/// A leader that knows that every controller supports delegated lease renewal confirms a cancellation only
/// when all tasks of the job are gone ("strict cancellation"), and sets the flag in the numbers of the
/// attempts that it starts. Workers report these numbers in heartbeats. Controllers that have all restarted
/// and cannot read the state service therefore still learn that the leader with that fencing token confirmed
/// no cancellation while a task of the job could be running.
#pragma once

#include <cstdint>

namespace wingtrail::delegation {

/// The bit of an attempt number that a leader with strict cancellation sets.
inline constexpr std::uint64_t kStrictCancellationFlag = std::uint64_t{1} << 62;
/// Below the flag an attempt number holds the leader's fencing token, shifted by this, and a counter.
inline constexpr int kFencingTokenShift = 24;

/// Returns the fencing token of the leader that assigned the attempt number.
constexpr std::uint64_t fencing_token_of(std::uint64_t attempt) {
  return (attempt & ~kStrictCancellationFlag) >> kFencingTokenShift;
}

/// Returns the fencing token of the leader that assigned the attempt number if the flag is set, otherwise 0.
constexpr std::uint64_t strict_cancellation_token(std::uint64_t attempt) {
  return (attempt & kStrictCancellationFlag) != 0 ? fencing_token_of(attempt) : 0;
}

}  // namespace wingtrail::delegation
