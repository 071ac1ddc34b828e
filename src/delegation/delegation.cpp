#include "delegation/delegation.hpp"

#include <algorithm>

namespace wingtrail::delegation {

void LeaseDelegate::on_grant(std::uint64_t token, Seconds sent, Seconds span_s) {
  observe_leadership(token);
  if (token != newest_token_)
    return;  // of a leadership that is over
  if (token != granting_token_)
    granted_until_ = -1;
  granting_token_ = token;
  granted_until_ = std::max(granted_until_, sent + std::min(duration_s_, span_s) * (1 - kMaxClockDrift));
}

void LeaseDelegate::on_peer_agreement(std::size_t peer, std::uint64_t token, Seconds sent, Seconds span_s) {
  observe_leadership(token);
  // The peer had not heard of a leadership that is known here, so it may have spoken before that one began.
  if (token != newest_token_ || duration_s_ <= 0)
    return;
  agreed_until_by_peer_[peer] =
      std::max(agreed_until_by_peer_[peer], sent + std::min(duration_s_, span_s) * (1 - kMaxClockDrift));
}

Seconds LeaseDelegate::agreed_until() const {
  if (duration_s_ <= 0)
    return -1;
  // A node without peers: its own earlier process is over, so nobody leads unless it does.
  if (agreed_until_by_peer_.empty())
    return ports::kNever;
  return *std::min_element(agreed_until_by_peer_.begin(), agreed_until_by_peer_.end());
}

void LeaseDelegate::observe_leadership(std::uint64_t token) {
  if (token <= newest_token_)
    return;
  newest_token_ = token;
  if (granting_token_ != token)
    granted_until_ = -1;
  // What was agreed on counts for the next leader only as far as it was given before that one's election.
  std::fill(agreed_until_by_peer_.begin(), agreed_until_by_peer_.end(), -1);
}

std::optional<std::uint64_t> LeaseDelegate::renewal_token(Seconds now, std::uint64_t mandate,
                                                          bool honest) const {
  // A worker that knows a newer token would drop the answer and stay here while its lease runs out.
  if (now < granted_until_ && granting_token_ == newest_token_ && mandate <= granting_token_)
    return granting_token_;
  // Nobody leads, so the worker's own token is as good as any, and moves nothing.
  if (honest && now < agreed_until() && mandate > 0)
    return mandate;
  return std::nullopt;
}

void DelegationLedger::begin_leadership(Seconds now) {
  leadership_began_at_ = now;
  for (PeerDelegation& p : peers_)
    p = {now + duration_s_, -1e9, -1e9, -1e9};
}

void DelegationLedger::assume_earlier_delegations(Seconds span_s) {
  for (PeerDelegation& p : peers_) {
    if (p.stated_at < leadership_began_at_)
      p.delegated_until = std::max(p.delegated_until, leadership_began_at_ + span_s);
  }
}

void DelegationLedger::on_granted(std::size_t peer, Seconds now) {
  peers_[peer].granted_here_until = now + duration_s_;
  peers_[peer].delegated_until = std::max(peers_[peer].delegated_until, peers_[peer].granted_here_until);
}

void DelegationLedger::on_peer_statement(std::size_t peer, Seconds asked, Seconds now,
                                         const PeerStatement& word) {
  PeerDelegation& p = peers_[peer];
  // Earlier processes of the peer may have answered until they died, and this one until it says it last did.
  const Seconds born = now - (word.supports_delegation ? word.process_age_s * (1 - kMaxClockDrift) : 0);
  if (born > p.stated_at)
    p.last_renewal_at = std::max(p.last_renewal_at, std::min(born, p.delegated_until));
  if (word.since_last_renewal_s >= 0)
    p.last_renewal_at = std::max(p.last_renewal_at, now - word.since_last_renewal_s * (1 - kMaxClockDrift));
  p.stated_at = std::max(p.stated_at, asked);
  // It knows of this leadership now, which voids what any earlier one granted.
  p.delegated_until = p.granted_here_until;
}

Seconds DelegationLedger::worker_lease_expiry(Seconds own) const {
  Seconds end = own;
  for (const PeerDelegation& p : peers_)
    end = std::max(end, lease_expiry_after_renewal(p.last_renewal_at));
  Seconds late = end;
  for (const PeerDelegation& p : peers_) {
    // What it did after its last word is not known, but it can have kept alive only what lived then.
    if (p.stated_at < end)
      late = std::max(late, lease_expiry_after_renewal(p.delegated_until));
  }
  return late;
}

}  // namespace wingtrail::delegation
