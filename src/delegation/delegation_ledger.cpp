#include "delegation/delegation_ledger.hpp"

#include <algorithm>

#include "ports/clock_drift.hpp"

namespace wingtrail::delegation {
namespace {
constexpr Seconds kWorkerTimerMargin = 0.5;  // a worker's timer for the end of its lease may fire this late
}  // namespace

void DelegationLedger::begin_leadership(Seconds now) {
  leadership_began_at_ = now;
  for (PeerDelegation& peer : peers_)
    peer = {now + duration_s_, kNeverBefore, kNeverBefore, kNeverBefore};
}

void DelegationLedger::assume_earlier_delegations(Seconds duration_s) {
  for (PeerDelegation& peer : peers_) {
    if (peer.stated_at < leadership_began_at_)
      peer.delegated_until = std::max(peer.delegated_until, leadership_began_at_ + duration_s);
  }
}

void DelegationLedger::on_granted(std::size_t peer, Seconds now) {
  peers_[peer].granted_here_until = now + duration_s_;
  peers_[peer].delegated_until = std::max(peers_[peer].delegated_until, peers_[peer].granted_here_until);
}

void DelegationLedger::on_peer_statement(std::size_t index, Seconds sent, Seconds now,
                                         const PeerStatement& statement) {
  PeerDelegation& peer = peers_[index];
  // The present process of the peer reports only its own last renewal. Earlier ones may have renewed leases
  // until it began.
  const Seconds process_began_at =
      now - (statement.supports_delegation ? statement.process_age_s * (1 - ports::kMaxClockDrift) : 0);
  if (process_began_at > peer.stated_at)
    peer.last_renewal_at = std::max(peer.last_renewal_at, std::min(process_began_at, peer.delegated_until));
  if (statement.since_last_renewal_s >= 0) {
    peer.last_renewal_at =
        std::max(peer.last_renewal_at, now - statement.since_last_renewal_s * (1 - ports::kMaxClockDrift));
  }
  peer.stated_at = std::max(peer.stated_at, sent);
  // The peer now knows of this leadership, so grants of earlier leaders are void.
  peer.delegated_until = peer.granted_here_until;
}

Seconds DelegationLedger::worker_lease_expiry(Seconds own_expiry) const {
  Seconds known_expiry = own_expiry;
  for (const PeerDelegation& peer : peers_)
    known_expiry = std::max(known_expiry, lease_expiry_after_renewal(peer.last_renewal_at));
  Seconds latest_expiry = known_expiry;
  for (const PeerDelegation& peer : peers_) {
    // After its last statement the peer may have renewed leases until its delegation ended. It cannot have
    // renewed one that had expired before that statement.
    if (peer.stated_at < known_expiry)
      latest_expiry = std::max(latest_expiry, lease_expiry_after_renewal(peer.delegated_until));
  }
  return latest_expiry;
}

Seconds DelegationLedger::lease_expiry_after_renewal(Seconds renewed_at) const {
  return renewed_at + worker_lease_s_ * (1 + ports::kMaxClockDrift) + kWorkerTimerMargin;
}

}  // namespace wingtrail::delegation
