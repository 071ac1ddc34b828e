/// @file
/// Delegated renewal of worker leases, from the side of the controller that renews on the leader's behalf.
///
/// By PROTOCOL any controller can renew a worker's lease with a reply that carries the worker's fencing
/// token. While a zone is unreachable, or the state service is unavailable, a controller that the workers can
/// reach can therefore keep their tasks running although it must not send commands. The leader permits this
/// for a bounded time per grant and records until when each grant may last (DelegationLedger). It considers a
/// worker's lease expired only when no grant can have prolonged it. docs/safety.md proves each rule.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::delegation {

using ports::Seconds;

/// Decides whether this controller may renew worker leases without being the active leader. All times are in
/// seconds of this controller's steady clock.
///
/// Either of two permissions is sufficient. A *grant* of the leader applies while workers cannot reach the
/// leader. The *agreement* of all peers applies while there is no leader: each peer states that it must not
/// send commands now and knows of no newer leadership than this controller. The next leader is one of these
/// peers or this controller, is elected after its own agreement, and assumes that every peer may renew leases
/// for a full delegation period from its election on (DelegationLedger::begin_leadership). A leader whose
/// lease expired but is renewed after all has recorded its agreement like a grant. Agreements may therefore
/// be repeated without limit: while there is no leader, no controller considers a lease expired.
class LeaseDelegate {
 public:
  /// @param duration_s the longest time that a grant or an agreement lasts, in seconds; 0 disables delegation
  /// @param peers number of other controllers
  LeaseDelegate(Seconds duration_s, std::size_t peers)
      : duration_s_(duration_s), agreed_until_by_peer_(peers, -1) {}

  /// Records a grant that the leader gave in its reply to a request sent at `sent`. The grant counts from
  /// `sent`, so a delayed reply does not extend it.
  /// @param token the fencing token of the granting leader
  /// @param duration_s how long the leader's grant lasts, in seconds
  void on_grant(std::uint64_t token, Seconds sent, Seconds duration_s = ports::kNever);

  /// Records an agreement that the peer gave in its reply to a request sent at `sent`, from which it counts.
  /// @param token the newest fencing token that the peer knows of
  /// @param duration_s how long the peer's agreement lasts, in seconds
  void on_peer_agreement(std::size_t peer, std::uint64_t token, Seconds sent, Seconds duration_s);

  /// Records that the leadership with that fencing token has begun. If it is newer than all known ones,
  /// grants of earlier leaders and all agreements given so far become void.
  void observe_leadership(std::uint64_t token);

  /// Returns the fencing token for the reply to a heartbeat, or nullopt if this controller must not renew the
  /// worker's lease now.
  /// @param worker_token the newest fencing token that the worker knows of
  /// @param strict_cancellation whether no leader since the worker's newest token can have confirmed a
  ///        cancellation before the job's tasks were gone. Needed only for agreements, because a leader
  ///        grants delegation only if this holds.
  std::optional<std::uint64_t> renewal_token(Seconds now, std::uint64_t worker_token,
                                             bool strict_cancellation = true) const;

  /// Returns until when the agreements of all peers last; -1 if one is missing, kNever without peers.
  Seconds agreed_until() const;

  /// Returns the newest fencing token that this controller knows of.
  std::uint64_t newest_token() const {
    return newest_token_;
  }

  /// Records that this controller has renewed a worker's lease.
  void on_renewal(Seconds now) {
    last_renewal_at_ = now;
  }

  /// Returns the seconds since this process last renewed a lease by delegation; negative if it never has.
  double since_last_renewal_s(Seconds now) const {
    return last_renewal_at_ < 0 ? -1 : now - last_renewal_at_;
  }

  /// Returns the time until which this controller may renew leases, by grant or by agreement.
  Seconds delegated_until() const {
    return std::max(granted_until_, agreed_until());
  }

 private:
  Seconds effective_duration(Seconds duration_s) const;

  Seconds duration_s_;
  Seconds granted_until_ = -1;
  Seconds last_renewal_at_ = -1;
  std::vector<Seconds> agreed_until_by_peer_;
  std::uint64_t granting_token_ = 0;  // fencing token of the leader that gave the latest grant
  std::uint64_t newest_token_ = 0;
};

}  // namespace wingtrail::delegation
