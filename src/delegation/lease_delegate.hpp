/// @file
/// Delegated renewal of worker leases, as seen by the controller that renews on the leader's behalf.
///
/// PROTOCOL lets any controller renew a worker's lease by a reply that carries the worker's fencing token. So
/// while a zone is cut off, or the state service is unavailable, a controller next to the workers can keep
/// their tasks alive although it must not send commands. The leader permits this for a bounded time per
/// grant, records how long each of its grants may last (DelegationLedger), and draws no conclusion from the
/// expiry of a worker's lease that a grant could have prolonged. docs/safety.md argues why each rule holds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::delegation {

using ports::Seconds;

/// Decides whether this controller may renew worker leases without being the acting leader. Times are of this
/// controller's clock, in seconds.
///
/// There are two ways to be allowed to. A *grant* of the leader serves while the leader cannot be reached.
/// The *agreement* of all peers serves while there is no leader: each peer states that it must not send
/// commands now and knows of no newer leadership than this controller. Whoever leads afterwards is one of
/// them or this controller, is elected after its agreement, and assumes that every peer may renew for a full
/// delegation period from then (DelegationLedger::begin_leadership). A leader that only lost its lease for a
/// while records its agreement like a grant. So agreements may be renewed indefinitely: no lease has to be
/// considered expired while there is no leader.
class LeaseDelegate {
 public:
  /// @param duration_s how long a grant or an agreement lasts at most; 0 disables delegation
  /// @param peers number of other controllers
  LeaseDelegate(Seconds duration_s, std::size_t peers)
      : duration_s_(duration_s), agreed_until_by_peer_(peers, -1) {}

  /// The leader has granted delegation in its reply to a request sent at `sent`. The grant counts from the
  /// sending, so a delayed reply grants no more than a prompt one.
  /// @param token the fencing token of the granting leader
  /// @param duration_s how long the leader lets the grant last
  void on_grant(std::uint64_t token, Seconds sent, Seconds duration_s = ports::kNever);

  /// The peer has agreed in its reply to a request sent at `sent`.
  /// @param token the newest fencing token that the peer knows of
  /// @param duration_s how long the peer lets its agreement last
  void on_peer_agreement(std::size_t peer, std::uint64_t token, Seconds sent, Seconds duration_s);

  /// Takes note of a leadership. If it is newer than any known one, all grants of earlier leaders and all
  /// agreements given before are void for good.
  void observe_leadership(std::uint64_t token);

  /// Returns the fencing token to reply to a heartbeat with, or nothing if its worker's lease must not be
  /// renewed here now.
  /// @param worker_token the newest fencing token that the worker knows of
  /// @param strict_cancellation no leader since the worker's confirmed a cancellation before the job's tasks
  ///        were gone. Required only of agreements, since a leader that grants has made sure of it.
  std::optional<std::uint64_t> renewal_token(Seconds now, std::uint64_t worker_token,
                                             bool strict_cancellation = true) const;

  /// Until when all peers have agreed that this controller may renew leases, whether there is a leader or
  /// not.
  Seconds agreed_until() const;

  /// The newest fencing token that this controller knows of.
  std::uint64_t newest_token() const {
    return newest_token_;
  }

  /// Records that this controller has renewed a worker's lease.
  void on_renewal(Seconds now) {
    last_renewal_at_ = now;
  }

  /// Seconds since this process last renewed a lease on the leader's behalf; negative if it never has.
  double since_last_renewal_s(Seconds now) const {
    return last_renewal_at_ < 0 ? -1 : now - last_renewal_at_;
  }

  /// Until when this controller may renew leases, by grant or by agreement.
  Seconds delegated_until() const {
    return std::max(granted_until_, agreed_until());
  }

 private:
  Seconds effective_duration(Seconds duration_s) const;

  Seconds duration_s_;
  Seconds granted_until_ = -1;
  Seconds last_renewal_at_ = -1;
  std::vector<Seconds> agreed_until_by_peer_;
  std::uint64_t granting_token_ = 0;  // of the leader that gave the grant
  std::uint64_t newest_token_ = 0;
};

}  // namespace wingtrail::delegation
