/// @file
/// The leader's record of delegated lease renewal: which peer may still renew worker leases, and until when.
#pragma once

#include <cstddef>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::delegation {

using ports::Seconds;

/// Computes when a worker's lease has certainly expired, considering that peers may have renewed it. All
/// times are in seconds of the leader's steady clock.
class DelegationLedger {
 public:
  /// @param duration_s how long a grant lasts, in seconds; the same for every controller of the deployment
  /// @param worker_lease_s duration of a worker's lease, in seconds
  /// @param peers number of other controllers
  DelegationLedger(Seconds duration_s, Seconds worker_lease_s, std::size_t peers)
      : duration_s_(duration_s), worker_lease_s_(worker_lease_s), peers_(peers) {}

  /// Starts a leadership. Assumes that each peer, or an earlier process of it, renews leases under a grant of
  /// an earlier leader until the peer's first statement.
  void begin_leadership(Seconds now);

  /// Assumes that earlier leaders granted delegation, and controllers with other settings agreed to it, for
  /// `duration_s` seconds, counted from the beginning of this leadership. Applies to peers that have made no
  /// statement since then.
  void assume_earlier_delegations(Seconds duration_s);

  /// Records that this leader has granted the peer delegation, or has agreed to it: the peer may renew leases
  /// for a full delegation period, which starts at `now` at the latest.
  void on_granted(std::size_t peer, Seconds now);

  /// What a peer states about itself in its reply to a status frame.
  struct PeerStatement {
    /// Seconds since its process began.
    double process_age_s = 0;
    /// Seconds since it last renewed a lease by delegation; negative: never.
    double since_last_renewal_s = -1;
    /// False: its version has no delegation and never renews leases.
    bool supports_delegation = true;
  };
  /// Records the peer's statement, received at `now` in reply to a request sent at `sent`. The peer must have
  /// known of this leadership when it made the statement.
  void on_peer_statement(std::size_t peer, Seconds sent, Seconds now, const PeerStatement& statement);

  /// Returns when the lease of a worker has certainly expired.
  /// @param own_expiry when it expires if no peer has renewed it
  /// @return a time that has passed only if the peers' statements prove that none of them has prolonged the
  ///         lease
  Seconds worker_lease_expiry(Seconds own_expiry) const;

 private:
  static constexpr Seconds kNeverBefore = -1e9;  // earlier than any time of a steady clock

  struct PeerDelegation {
    Seconds delegated_until = kNeverBefore;     // latest end of a grant of this or an earlier leadership
    Seconds granted_here_until = kNeverBefore;  // latest end of a grant of this leadership
    Seconds stated_at = kNeverBefore;           // the peer's renewals before this time are known
    Seconds last_renewal_at = kNeverBefore;  // the latest time before `stated_at` that it may have renewed at
  };
  // Returns the latest time at which a lease that was renewed at `renewed_at` can still be valid.
  Seconds lease_expiry_after_renewal(Seconds renewed_at) const;

  Seconds duration_s_;
  Seconds worker_lease_s_;
  Seconds leadership_began_at_ = kNeverBefore;
  std::vector<PeerDelegation> peers_;
};

}  // namespace wingtrail::delegation
