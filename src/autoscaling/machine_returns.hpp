/// @file
/// Return of machines to the cloud.
#pragma once

#include <set>
#include <vector>

#include "autoscaling/cloud_call_budget.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::autoscaling {

/// Sends the return of each machine again until the cloud confirms it; then the machine is marked as gone.
class MachineReturns {
 public:
  MachineReturns(ports::Outbox& out, workers::WorkerManager& workers, CloudCallBudget& calls)
      : out_(out), workers_(workers), calls_(calls) {}

  /// Discards all returns; replies that arrive later are ignored.
  void clear();
  /// Schedules the return of the machines; no new task starts on them from now on. `reason` is for the log.
  void schedule(const std::vector<jobs::MachineIndex>& machines, const char* reason);
  /// Schedules the return of a machine that has failed, which only removes it from the cloud's list.
  void schedule_failed(jobs::MachineIndex machine);
  /// Sends a batch of returns unless one is in flight. `not_after` returns when the leader lease expires; the
  /// call must not be sent later than that.
  void send(const std::function<ports::Seconds()>& not_after);
  /// Machines returned since the start of the process.
  std::uint64_t returned() const {
    return returned_;
  }

 private:
  ports::Outbox& out_;
  workers::WorkerManager& workers_;
  CloudCallBudget& calls_;
  std::set<jobs::MachineIndex> to_return_;
  bool in_flight_ = false;
  std::uint64_t generation_ = 0;  ///< number of calls of `clear`; identifies replies to ignore
  std::uint64_t returned_ = 0;
};

}  // namespace wingtrail::autoscaling
