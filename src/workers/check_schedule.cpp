#include "workers/check_schedule.hpp"

#include <algorithm>

namespace wingtrail::workers {
namespace {
constexpr Seconds kMinCheckDelay = 0.02;
}

void CheckSchedule::schedule(Machine& machine, Seconds at, Seconds now) {
  at = std::max(at, now + kMinCheckDelay);
  if (at >= machine.next_check_at)
    return;
  machine.next_check_at = at;
  entries_.push({at, machine.index});
}

Machine* CheckSchedule::pop_due(std::deque<Machine>& machines, Seconds now) {
  while (!entries_.empty() && entries_.top().at <= now) {
    const Entry due = entries_.top();
    entries_.pop();
    Machine& machine = machines[due.machine];
    if (machine.next_check_at != due.at)
      continue;  // replaced by an earlier check
    machine.next_check_at = ports::kNever;
    return &machine;
  }
  return nullptr;
}

}  // namespace wingtrail::workers
