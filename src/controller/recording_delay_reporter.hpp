/// @file
/// Logs when final states are recorded late.
#pragma once

#include <cstdint>
#include <optional>

#include "jobs/state_writer.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Writes one log line when final states start to be recorded late, and one when they are in time again.
class RecordingDelayReporter {
 public:
  /// Must be called periodically while this controller leads.
  /// @param writes_per_s the changes per second that this controller may make in the state service
  void update(Seconds now, const jobs::StateWriter::Backlogs& backlogs, double writes_per_s);
  /// Forgets an earlier delay, at the beginning of a leadership.
  void reset() {
    *this = {};
  }

 private:
  std::optional<Seconds> late_since_;
  Seconds longest_delay_ = 0;
  std::uint64_t recorded_before_ = 0;
};

}  // namespace wingtrail::controller
