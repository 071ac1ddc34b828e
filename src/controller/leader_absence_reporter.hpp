/// @file
/// Logs for how long no controller has been known to act as leader, and what keeps one from being elected.
#pragma once

#include <optional>

#include "leadership/leader_election.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// While no active leader is known, writes a log line at regular intervals with the state of the leader key
/// and the outcome of the last campaign.
class LeaderAbsenceReporter {
 public:
  /// Must be called periodically.
  /// @param leader_known whether this controller or a reachable peer is known to act as leader
  void update(Seconds now, bool leader_known, const leadership::LeaderElection& election);

  /// Returns for how many seconds no active leader has been known; 0 while one is.
  Seconds absent_for(Seconds now) const {
    return absent_since_ ? now - *absent_since_ : 0;
  }

 private:
  std::optional<Seconds> absent_since_;
  Seconds next_line_at_ = 0;
};

}  // namespace wingtrail::controller
