/// \file
/// When each machine is to be checked next.
#pragma once

#include <deque>
#include <functional>
#include <queue>
#include <vector>

#include "workers/machine.hpp"

namespace wingtrail::workers {

/// The machines by the time of their next check (`Machine::next_check_at`). An earlier check replaces a later
/// one; the entry of the later one stays in the queue and is skipped when it comes up.
class CheckSchedule {
 public:
  /// Schedules a check of the machine, unless an earlier one is scheduled already. A time in the past, or
  /// now, becomes one shortly after now, so that a check cannot repeat itself endlessly.
  void schedule(Machine& machine, Seconds at, Seconds now);
  /// Takes the next machine whose check is due out of the schedule; null if there is none.
  Machine* pop_due(std::deque<Machine>& machines, Seconds now);
  void clear() {
    entries_ = {};
  }

 private:
  struct Entry {
    Seconds at;
    MachineIndex machine;
    bool operator>(const Entry& other) const {
      return at != other.at ? at > other.at : machine > other.machine;
    }
  };
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
};

}  // namespace wingtrail::workers
