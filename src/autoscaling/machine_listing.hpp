/// @file
/// Comparison of the known machines with the cloud's list of machines.
#pragma once

#include <map>
#include <set>
#include <string>

#include "autoscaling/machine_returns.hpp"
#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {

/// Reads the cloud's list of machines periodically. Adds machines that are listed to the known ones, and
/// removes machines that are listed as failed or have been missing from the list for long enough.
class MachineListing {
 public:
  MachineListing(ports::Outbox& out, const settings::Settings& settings, workers::WorkerManager& workers,
                 CloudCallBudget& calls, MachineReturns& returns)
      : out_(out), settings_(settings), workers_(workers), calls_(calls), returns_(returns) {}

  /// Discards what was listed; replies that arrive later are ignored.
  void clear();
  /// Begins to read the list if that is due and no list is being read.
  void tick();

 private:
  /// What the lists showed of one machine.
  struct Listing {
    bool listed = false;               ///< whether it was in any list
    ports::Seconds missing_since = 0;  ///< 0: not missing from the last list
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
  std::set<jobs::MachineIndex> seen_;  ///< machines in the pages read so far of the current list
  bool reading_ = false;
  ports::Seconds next_read_at_ = 0;
  std::uint64_t generation_ = 0;  ///< number of calls of `clear`; identifies replies to ignore
};

}  // namespace wingtrail::autoscaling
