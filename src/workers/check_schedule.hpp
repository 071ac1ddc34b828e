/// @file
/// The schedule of checks of machines.
#pragma once

#include <deque>
#include <functional>
#include <queue>
#include <vector>

#include "workers/machine.hpp"

namespace wingtrail::workers {

/// A queue of machines by the time of their next check (`Machine::next_check_at`). An earlier check replaces
/// a later one. The entry of the replaced check stays in the queue and is skipped when it becomes due.
class CheckSchedule {
 public:
  /// Schedules a check of the machine, unless an earlier one is scheduled already. Checks are scheduled at
  /// least 0.02 s ahead, so that a check that schedules the next one at once does not loop within one tick.
  void schedule(Machine& machine, Seconds at, Seconds now);
  /// Removes the next due check from the schedule and returns its machine; null if no check is due.
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
