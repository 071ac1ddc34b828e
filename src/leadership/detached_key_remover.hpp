/// @file
/// Removes a leader key that the state service would keep after the end of its leader.
#pragma once

#include <cstdint>
#include <optional>

#include "leadership/leader_key.hpp"
#include "store/state_client.hpp"

namespace wingtrail::leadership {

using ports::Seconds;

/// Removes a leader key that is attached to no lease, as versions that took lease 0 for no lease wrote it. No
/// controller could be elected after the end of its leader.
///
/// The leader may still act: it renews the lease that the key's value names. So that lease is revoked first,
/// after which the leader steps down at its next renewal, and the key is erased once its last successful
/// renewal must have expired. Assumes that all controllers have the same leader_lease_s.
class DetachedKeyRemover {
 public:
  /// The referenced objects must outlive the remover.
  DetachedKeyRemover(ports::Outbox& out, store::StateClient& store, const settings::Settings& settings)
      : out_(out), store_(store), settings_(settings) {}

  /// Must be called with each read of the leader key by a controller that does not lead.
  void on_key_read(const LeaderKey& key);

 private:
  struct DetachedKey {
    std::uint64_t version = 0;
    std::uint64_t named_lease = 0;
    std::optional<Seconds> leader_ends_at;  // known once the lease is revoked
  };
  void revoke_lease();
  void erase_key();

  ports::Outbox& out_;
  store::StateClient& store_;
  const settings::Settings& settings_;
  std::optional<DetachedKey> detached_;  // the latest read has shown it
};

}  // namespace wingtrail::leadership
