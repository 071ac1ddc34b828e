/// @file
/// A round of probes to all machines after one of them has not answered a call.
#pragma once

#include <deque>
#include <optional>

#include "workers/machine.hpp"

namespace wingtrail::workers {

/// The queue of machines to probe in a liveness sweep. Machines seldom fail individually, and waiting
/// until the next heartbeat of each machine is late would leave replicas on failed machines down for
/// seconds. So when an on-demand machine does not answer a call, all machines are probed once, except
/// those with contact since.
class LivenessSweep {
 public:
  /// Called when a machine has not answered a call. Returns true if a new sweep begins, for which the caller
  /// must enqueue all machines; false if the current sweep has only been extended.
  bool begin_or_extend(Seconds now);
  /// Appends a machine to the queue.
  void enqueue(MachineIndex machine) {
    remaining_.push_back(machine);
  }
  /// Removes and returns the next machine to probe. The queue must not be empty.
  MachineIndex pop_next();
  bool has_remaining() const {
    return !remaining_.empty();
  }
  /// Whether a machine has not answered a call so recently that others are likely to have failed, too.
  bool in_progress(Seconds now) const {
    return now < ends_at_;
  }
  Seconds began_at() const {
    return began_at_;
  }
  void clear();

 private:
  static constexpr Seconds kDuration = 3.0;

  Seconds began_at_ = -kDuration;
  Seconds ends_at_ = 0;
  std::deque<MachineIndex> remaining_;
};

}  // namespace wingtrail::workers
