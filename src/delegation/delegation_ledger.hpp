/// @file
/// The leader's account of delegated lease renewal: which peer may still renew worker leases, and until when.
#pragma once

#include <cstddef>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::delegation {

using ports::Seconds;

/// Tells the leader when a worker's lease has certainly expired, given what peers may have renewed. Times are
/// of the leader's clock, in seconds.
class DelegationLedger {
 public:
  /// @param duration_s how long a grant lasts; the same for every controller of the deployment
  /// @param worker_lease_s duration of a worker's lease
  /// @param peers number of other controllers
  DelegationLedger(Seconds duration_s, Seconds worker_lease_s, std::size_t peers)
      : duration_s_(duration_s), worker_lease_s_(worker_lease_s), peers_(peers) {}

  /// Starts a leadership. Until a peer has made a statement, it, or any earlier process of it, may go on
  /// under a grant of any earlier leader.
  void begin_leadership(Seconds now);

  /// Earlier leaders may have granted, and controllers with other settings may have agreed, for as long as
  /// `duration_s`. Counts from the beginning of the leadership, for peers that have made no statement since.
  void assume_earlier_delegations(Seconds duration_s);

  /// This leader has granted the peer delegation, or has agreed to it: the peer may renew leases for a full
  /// delegation period, counted from `now` at the latest.
  void on_granted(std::size_t peer, Seconds now);

  /// What a peer states about itself.
  struct PeerStatement {
    double process_age_s = 0;          // since its process began
    double since_last_renewal_s = -1;  // since it last renewed a lease by delegation; negative: it never has
    bool supports_delegation = true;   // false: a version without delegation, which never renews leases
  };
  /// Records the peer's statement, received at `now` in reply to a request sent at `sent`. The peer must know
  /// of this leadership by then.
  void on_peer_statement(std::size_t peer, Seconds sent, Seconds now, const PeerStatement& statement);

  /// Returns when the lease of a worker has certainly expired.
  /// @param own_expiry when it would expire if no peer had renewed it
  /// @return at or before the current time only if the peers' statements rule out that any of them has
  ///         prolonged the lease
  Seconds worker_lease_expiry(Seconds own_expiry) const;

 private:
  static constexpr Seconds kNeverBefore = -1e9;  // earlier than any time of a steady clock

  struct PeerDelegation {
    Seconds delegated_until = kNeverBefore;  // a grant of this or an earlier leadership may last until then
    Seconds granted_here_until = kNeverBefore;  // a grant of this leadership lasts until then
    Seconds stated_at = kNeverBefore;           // all that the peer did before is known
    Seconds last_renewal_at = kNeverBefore;     // of that: when it may have renewed a lease last
  };
  Seconds lease_expiry_after_renewal(Seconds renewed_at) const;

  Seconds duration_s_;
  Seconds worker_lease_s_;
  Seconds leadership_began_at_ = kNeverBefore;
  std::vector<PeerDelegation> peers_;
};

}  // namespace wingtrail::delegation
