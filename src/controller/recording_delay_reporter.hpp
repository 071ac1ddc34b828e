/// @file
/// Log lines on final states that are recorded late.
#pragma once

#include <cstdint>
#include <optional>

#include "jobs/state_writer.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Writes one log line when final states begin to be recorded late, and one when that is over.
class RecordingDelayReporter {
 public:
  /// To be called periodically while this controller leads.
  /// @param writes_per_s changes a second that this controller may make in the state service
  void update(Seconds now, const jobs::StateWriter::Backlogs& backlogs, double writes_per_s);
  /// A leadership begins: what was seen before is forgotten.
  void reset() {
    *this = {};
  }

 private:
  std::optional<Seconds> late_since_;
  Seconds longest_delay_ = 0;
  std::uint64_t recorded_before_ = 0;
};

}  // namespace wingtrail::controller
