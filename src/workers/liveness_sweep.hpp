/// \file
/// A round of probes to all machines, after one of them has failed to answer.
#pragma once

#include <deque>
#include <optional>

#include "workers/machine.hpp"

namespace wingtrail::workers {

/// The state of the liveness sweep. Machines seldom fail alone, and waiting until each should have sent its
/// next heartbeat would cost its replicas seconds. So when an on-demand machine does not answer a call, all
/// machines are probed once; those that have answered since need no probe.
class LivenessSweep {
 public:
  /// Another machine has failed to answer. True: the caller must enqueue all machines, as a new sweep begins.
  /// False: the sweep that has begun a moment ago goes on for longer.
  bool begin_or_extend(Seconds now);
  /// Adds a machine to the probes that remain.
  void enqueue(MachineIndex machine) {
    remaining_.push_back(machine);
  }
  /// Removes and returns the next machine to probe. There must be one.
  MachineIndex pop_next();
  bool has_remaining() const {
    return !remaining_.empty();
  }
  /// Whether a machine failed to answer so recently that others are likely to have failed with it.
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
