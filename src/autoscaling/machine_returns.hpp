/// \file
/// Returning machines to the cloud.
#pragma once

#include <set>
#include <vector>

#include "autoscaling/cloud_call_budget.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::autoscaling {

/// Machines to return are asked for again until the cloud confirms; then they are gone.
class MachineReturns {
 public:
  MachineReturns(ports::Outbox& out, workers::WorkerManager& workers, CloudCallBudget& calls)
      : out_(out), workers_(workers), calls_(calls) {}

  /// Forgets all returns; answers that come later are ignored.
  void clear();
  /// Nothing new starts on the machines from now on. `reason` goes to the log.
  void schedule(const std::vector<jobs::MachineIndex>& machines, const char* reason);
  /// A machine that stopped on its own: deleting it only clears the cloud's list.
  void schedule_failed(jobs::MachineIndex machine);
  /// Sends a batch unless one is in flight. `not_after`: when this leadership's lease expires.
  void send(const std::function<ports::Seconds()>& not_after);
  std::uint64_t returned() const {
    return returned_;
  }

 private:
  ports::Outbox& out_;
  workers::WorkerManager& workers_;
  CloudCallBudget& calls_;
  std::set<jobs::MachineIndex> to_return_;
  bool in_flight_ = false;
  std::uint64_t generation_ = 0;  ///< counts `clear`
  std::uint64_t returned_ = 0;
};

}  // namespace wingtrail::autoscaling
