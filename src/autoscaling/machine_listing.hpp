/// \file
/// Reconciliation of the known machines with the cloud's list.
#pragma once

#include <map>
#include <set>
#include <string>

#include "autoscaling/machine_returns.hpp"
#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {

/// Reads the cloud's list again and again. Machines that are listed become known; those that have failed, or
/// have long been missing from the list, are gone.
class MachineListing {
 public:
  MachineListing(ports::Outbox& out, const settings::Settings& settings, workers::WorkerManager& workers,
                 CloudCallBudget& calls, MachineReturns& returns)
      : out_(out), settings_(settings), workers_(workers), calls_(calls), returns_(returns) {}

  /// Forgets what was listed; answers that come later are ignored.
  void clear();
  /// Begins to read the list if it is due and none is being read.
  void tick();

 private:
  struct Listing {
    bool listed = false;
    ports::Seconds missing_since = 0;  ///< 0: it was in the last list
  };
  void read_page(const std::string& after);
  void on_page(const wire::MachineList& page);
  void on_list_complete();
  void remove_missing();
  void remove_never_listed();

  ports::Outbox& out_;
  const settings::Settings& settings_;
  workers::WorkerManager& workers_;
  CloudCallBudget& calls_;
  MachineReturns& returns_;
  std::map<jobs::MachineIndex, Listing> listings_;
  std::set<jobs::MachineIndex> seen_;  ///< in the list that is being read
  bool reading_ = false;
  ports::Seconds next_read_at_ = 0;
  std::uint64_t generation_ = 0;  ///< counts `clear`
};

}  // namespace wingtrail::autoscaling
