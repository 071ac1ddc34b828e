/// @file
/// The catalog of machine types that the cloud provider offers.
#pragma once

#include <functional>
#include <vector>

#include "leadership/leader_election.hpp"
#include "store/state_client.hpp"
#include "wire/cloud_messages.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Fetches the catalog from the cloud provider periodically. The leader stores it in the state service, so a
/// controller that restarts while the cloud provider is slow or down can validate and place jobs at once.
class MachineCatalog {
 public:
  using Types = std::vector<wire::MachineType>;
  struct Callbacks {
    std::function<bool()> is_active_leader;
    std::function<void(const Types&)> on_change;  ///< called whenever the catalog was read or fetched
  };
  /// The referenced objects must outlive this object.
  MachineCatalog(ports::Outbox& out, store::StateClient& store, const leadership::LeaderElection& election,
                 const settings::Settings& settings, Callbacks callbacks);

  /// Reads the catalog that a leader has stored. It is ignored once one was fetched from the cloud provider.
  void read_stored();
  /// Starts to fetch the catalog periodically. Must be called once.
  void start_fetching();
  /// Stores the catalog as the leader; does nothing if none is known or it exceeds the maximum value size.
  void save();

  /// Returns the machine types; empty until the catalog is known.
  const Types& types() const {
    return types_;
  }

 private:
  void apply_catalog(const wire::Value& catalog);

  ports::Outbox& out_;
  store::StateClient& store_;
  const leadership::LeaderElection& election_;
  const settings::Settings& settings_;
  Callbacks callbacks_;
  Types types_;
  wire::Value catalog_;  // as received, for save()
};

}  // namespace wingtrail::controller
