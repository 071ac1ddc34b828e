/// @file
/// This controller's part in delegated lease renewal: what it grants and agrees to, and the heartbeats that
/// it answers without being the acting leader.
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

/// Applies the rules of delegation::LeaseDelegate and delegation::DelegationLedger to what is heard of peers
/// and workers. docs/safety.md argues why each rule holds.
class DelegatedRenewal {
 public:
  /// What is asked of the rest of the controller.
  struct Callbacks {
    std::function<bool()> loaded;  ///< the leader has read its jobs and machines
    /// Takes in a heartbeat as the leader, and returns the reply without commands.
    std::function<std::optional<wire::Value>(const wire::Heartbeat&)> handle_heartbeat;
  };
  /// What a reply to a peer's greeting permits the peer.
  struct Permission {
    bool grant = false;      ///< as the acting leader
    bool agreement = false;  ///< as a controller that must not send commands
  };
  struct Counts {
    std::uint64_t renewals = 0;  ///< heartbeats answered without being the acting leader
    std::uint64_t grants = 0;
  };

  /// The references must outlive this object.
  DelegatedRenewal(const ports::Outbox& out, const store::StateClient& store,
                   const leadership::LeaderElection& election, const PeerDirectory& peers,
                   const DelegationSupport& support, const settings::Settings& settings, Callbacks callbacks);

  /// To be called once, when the process begins.
  void start();
  /// A leadership of this controller begins.
  void begin_leadership();
  /// See delegation::DelegationLedger::assume_earlier_delegations.
  void assume_earlier_delegations(Seconds duration_s);
  /// Takes note of the newest leadership that the election knows of.
  void observe_leadership();

  /// Fills in what a frame to a peer says of delegated renewal.
  void describe(peer::Frame& frame) const;
  /// Until when this controller may renew leases without being the acting leader.
  Seconds delegated_until() const {
    return delegate_.delegated_until();
  }

  /// A frame of a peer has come; the peer directory and the election have it already.
  void on_frame(const peer::Frame& frame);
  /// The peer has replied to a greeting that was sent at `sent`.
  void on_greeting_reply(std::size_t peer, const peer::Frame& reply, Seconds sent);
  /// What the reply to a peer's greeting may permit it.
  Permission permission(const peer::Frame& greeting) const;
  /// Records what the reply to the peer's greeting permits.
  void on_permitted(std::size_t peer, Permission permission);
  /// Puts it into the reply.
  void permit(peer::Frame& reply, Permission permission) const;

  /// Answers a heartbeat that this controller may decide nothing about. If the leader cannot be reached
  /// either, a reply without commands keeps alive what runs on the worker.
  /// @return nothing if this controller may not do that, or if the heartbeat is malformed
  std::optional<wire::Value> answer_heartbeat(const std::string& bytes);

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
  // The newest leadership that workers show to have confirmed cancellations strictly; 0: none.
  std::uint64_t strict_cancellation_token_ = 0;
  Counts counts_;
};

}  // namespace wingtrail::controller
