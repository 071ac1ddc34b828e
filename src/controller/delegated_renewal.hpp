/// @file
/// Delegated lease renewal in this controller: the grants and agreements that it gives to peers, and the
/// heartbeats that it answers without being the active leader.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "controller/delegation_support.hpp"
#include "delegation/delegation_ledger.hpp"
#include "delegation/lease_delegate.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::controller {

/// Applies the rules of delegation::LeaseDelegate and delegation::DelegationLedger to the frames of peers and
/// the heartbeats of workers. docs/safety.md gives the proof of each rule.
class DelegatedRenewal {
 public:
  struct Callbacks {
    std::function<bool()> loaded;  ///< whether this controller, as the leader, has read its jobs and machines
    /// Handles a heartbeat as the leader and returns the reply, without commands.
    std::function<std::optional<wire::Value>(const wire::Heartbeat&)> handle_heartbeat;
  };
  /// The permission to renew leases that the reply to a peer's status frame gives.
  struct Permission {
    bool grant = false;      ///< this controller grants it as the leader
    bool agreement = false;  ///< this controller agrees, since it must not send commands
  };
  struct Counts {
    std::uint64_t renewals = 0;  ///< heartbeats answered without being the active leader
    std::uint64_t grants = 0;
  };

  /// The referenced objects must outlive this object.
  DelegatedRenewal(const ports::Outbox& out, const store::StateClient& store,
                   const leadership::LeaderElection& election, const PeerDirectory& peers,
                   const DelegationSupport& support, const settings::Settings& settings, Callbacks callbacks);

  /// Must be called once, when the process starts.
  void start();
  /// Resets the ledger at the beginning of a leadership of this controller.
  void begin_leadership();
  /// See delegation::DelegationLedger::assume_earlier_delegations.
  void assume_earlier_delegations(Seconds duration_s);
  /// Records the newest leadership that the election knows of.
  void observe_leadership();

  /// Sets the fields of a frame to a peer that concern delegated renewal.
  void add_status(peer::Frame& frame) const;
  /// Returns the time until which this controller may renew leases without being the active leader.
  Seconds delegated_until() const {
    return delegate_.delegated_until();
  }

  /// Handles a frame of a peer, after the peer directory and the election have handled it.
  void on_frame(const peer::Frame& frame);
  /// Handles the peer's reply to a status frame that was sent at `sent`.
  void on_status_reply(std::size_t peer, const peer::Frame& reply, Seconds sent);
  /// Returns the permission that the reply to a peer's status frame may give.
  Permission permission_for(const peer::Frame& request) const;
  /// Records the permission that the reply to the peer's status frame gives.
  void record_permission(std::size_t peer, Permission permission);
  /// Sets the fields of the reply that give the permission.
  void add_permission(peer::Frame& reply, Permission permission) const;

  /// Answers a heartbeat while this controller is not the active leader. If the worker cannot reach the
  /// leader either, a reply without commands renews its lease and keeps its tasks running.
  /// @return nullopt if this controller must not renew the lease; an error if it has read the heartbeat and
  /// found it malformed
  wire::Result<std::optional<wire::Value>> answer_heartbeat(const std::string& bytes);

  /// See delegation::DelegationLedger::worker_lease_expiry.
  Seconds worker_lease_expiry(Seconds own_expiry) const {
    return ledger_.worker_lease_expiry(own_expiry);
  }
  const Counts& counts() const {
    return counts_;
  }

 private:
  Seconds leaderless_after_s() const;
  Seconds permitted_duration_s() const;
  Seconds duration_granted_by(const peer::Frame& frame) const;
  bool leader_answers_heartbeats() const;
  bool may_agree() const;
  bool waits_for_leader() const;
  std::optional<wire::Value> renew(const wire::Heartbeat& heartbeat);

  const ports::Outbox& out_;
  const store::StateClient& store_;
  const leadership::LeaderElection& election_;
  const PeerDirectory& peers_;
  const DelegationSupport& support_;
  const settings::Settings& settings_;
  Callbacks callbacks_;
  delegation::LeaseDelegate delegate_;
  delegation::DelegationLedger ledger_;
  Seconds started_at_ = 0;
  Seconds leader_answered_heartbeats_at_ = -1e9;
  // The highest fencing token for which attempt numbers prove strict cancellation; 0: none.
  std::uint64_t strict_cancellation_token_ = 0;
  Counts counts_;
};

}  // namespace wingtrail::controller
