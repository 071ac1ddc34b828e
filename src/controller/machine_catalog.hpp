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

/// Fetches the catalog from the cloud again and again. The leader stores it in the state service, so that a
/// controller that restarts while the cloud is slow or down can decide at once.
class MachineCatalog {
 public:
  using Types = std::vector<wire::MachineType>;
  struct Callbacks {
    std::function<bool()> is_active_leader;
    std::function<void(const Types&)> on_change;  ///< the catalog was read or fetched
  };
  /// The references must outlive the catalog.
  MachineCatalog(ports::Outbox& out, store::StateClient& store, const leadership::LeaderElection& election,
                 const settings::Settings& settings, Callbacks callbacks);

  /// Reads the catalog that a leader has stored; what the cloud says goes before it.
  void read_stored();
  /// Begins to fetch the catalog from the cloud. To be called once.
  void start_fetching();
  /// Stores the catalog, if there is one, as the leader.
  void save();

  /// Empty until the catalog is known.
  const Types& types() const {
    return types_;
  }

 private:
  void use(const wire::Value& catalog);

  ports::Outbox& out_;
  store::StateClient& store_;
  const leadership::LeaderElection& election_;
  const settings::Settings& settings_;
  Callbacks callbacks_;
  Types types_;
  wire::Value catalog_;  // as it came
};

}  // namespace wingtrail::controller
