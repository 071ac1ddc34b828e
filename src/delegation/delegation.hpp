// Custody: answering workers' reports, without orders, on behalf of a leader that cannot be reached.
//
// PROTOCOL lets any node renew a worker's lease by an answer with the worker's token. So while a zone is cut
// off, or the state service is down, a node beside the workers can keep alive what runs there, although it
// may decide nothing. The leader allows that for a bounded time at a time ("grant"), keeps account of how
// long any grant it gave may last, and rests nothing on the end of a worker's lease that a grant could have
// prolonged. docs/safety.md argues why each rule holds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::delegation {

using ports::Seconds;

// Steady clocks of different machines differ by up to 0.05 % (PROTOCOL); both ends of a span may be off.
inline constexpr double kMaxClockDrift = 0.001;

// What a leadership that knows every node to be of a version with custody sets in the attempts that it
// numbers. A worker shows its tasks' attempts, so processes that are all new, and cannot ask the state
// service, still learn from it that the leadership of that token told no cancellation before its tasks were
// gone. The lower bits are the token, shifted, and a counter.
inline constexpr std::uint64_t kStrictCancellationFlag = std::uint64_t{1} << 62;
inline constexpr int kFencingTokenShift = 24;
// The token of the leadership that numbered the attempt, if the attempt says that; else 0.
constexpr std::uint64_t strict_cancellation_token(std::uint64_t attempt) {
  return (attempt & kStrictCancellationFlag) != 0 ? (attempt & ~kStrictCancellationFlag) >> kFencingTokenShift
                                                  : 0;
}

// What a node may do for the workers of the leader that it heard of last. Times are of this node's clock.
//
// There are two ways to it. A *grant* of the leader, for while it cannot be reached. And the *consent* of all
// peers, for while nobody leads: each says that it may give no orders now and knows of no newer leadership
// than this node. Whoever leads afterwards is one of them or this node, is elected after its consent, and
// takes every peer for one that may answer for a whole span from then (Grants::begin); a leader that only
// lost its authority for a while puts its consent down like a grant. So consents may be renewed without end:
// no lease has to be called over while nobody leads.
class LeaseDelegate {
 public:
  // `span_s`: how long a grant or a consent lasts at most; 0: never. `peers`: the other nodes.
  LeaseDelegate(Seconds span_s, std::size_t peers) : duration_s_(span_s), agreed_until_by_peer_(peers, -1) {}

  // The leader has answered a request that this node sent at `sent`. The grant counts from the sending, so an
  // answer that was held up on its way grants no more than one that was not. `span_s`: how long the leader
  // lets it last.
  void on_grant(std::uint64_t token, Seconds sent, Seconds span_s = ports::kNever);
  // The peer has answered a request sent at `sent` with its consent; `token`: the newest leadership it knows
  // of.
  void on_peer_agreement(std::size_t peer, std::uint64_t token, Seconds sent, Seconds span_s);
  // A newer leadership is known: what an earlier one allowed, or was agreed on before it, is void, for good.
  void observe_leadership(std::uint64_t token);

  // Whether a report may be answered now; `mandate` is the newest token its worker knows. The token to answer
  // with, or nothing.
  // `honest`: no leadership since the worker's told a cancellation before its tasks were gone; asked only of
  // what was agreed on, since a leader that grants has made sure of it.
  std::optional<std::uint64_t> renewal_token(Seconds now, std::uint64_t mandate, bool honest = true) const;
  // Until when all peers have agreed to it; needs no leader that knows of it.
  Seconds agreed_until() const;
  // The newest leadership that this node knows of.
  std::uint64_t newest_token() const {
    return newest_token_;
  }
  void on_renewal(Seconds now) {
    last_renewal_at_ = now;
  }

  // Seconds since this process last answered in custody; negative: it never did.
  double since_last_renewal_s(Seconds now) const {
    return last_renewal_at_ < 0 ? -1 : now - last_renewal_at_;
  }
  Seconds delegated_until() const {
    return std::max(granted_until_, agreed_until());
  }

 private:
  Seconds duration_s_, granted_until_ = -1, last_renewal_at_ = -1;
  std::vector<Seconds> agreed_until_by_peer_;  // by peer, until when
  std::uint64_t granting_token_ = 0;           // whose grant it is
  std::uint64_t newest_token_ = 0;
};

// The leader's account: until when which other node may renew workers' leases. Times are of the leader's
// clock.
class DelegationLedger {
 public:
  // `lease_s`: of workers; `span_s`: how long a grant lasts, for every node of the deployment the same.
  DelegationLedger(Seconds span_s, Seconds lease_s, std::size_t peers)
      : duration_s_(span_s), worker_lease_s_(lease_s), peers_(peers) {}

  // A leadership begins. Until a peer was heard, it may go on under a grant of any earlier leader, and so may
  // any earlier process of it.
  void begin_leadership(Seconds now);
  // Earlier leaderships may have granted for as long as that; so may nodes of other settings have agreed.
  // Counts from the beginning, for peers that have not vouched since.
  void assume_earlier_delegations(Seconds span_s);
  // The peer has asked; it may answer reports for as long as a grant lasts, counted from now at the latest.
  void on_granted(std::size_t peer, Seconds now);

  // What a peer says of itself, in answer to a request sent at `asked`, heard at `now`. It must
  // know of this leadership by then.
  struct PeerStatement {
    double process_age_s = 0;          // since its process began
    double since_last_renewal_s = -1;  // since it last answered a report in custody; negative: never
    bool supports_delegation = true;   // what custody is; a version that does not never answers in custody
  };
  void on_peer_statement(std::size_t peer, Seconds asked, Seconds now, const PeerStatement& word);

  // When the lease of a worker is certainly over that this node, or nobody, renewed so that it ends at `own`.
  // At or before `now` only if the peers' words rule out that any of them has prolonged it.
  Seconds worker_lease_expiry(Seconds own) const;

 private:
  struct PeerDelegation {
    Seconds delegated_until = -1e9;     // a grant of this or an earlier leadership may last until then
    Seconds granted_here_until = -1e9;  // a grant of this leadership
    Seconds stated_at = -1e9;           // all that it did before is known
    Seconds last_renewal_at = -1e9;     // of that: when it may have answered last
  };
  Seconds lease_expiry_after_renewal(Seconds answered) const {
    return answered + worker_lease_s_ * (1 + kMaxClockDrift) + kWorkerTimerMargin;
  }
  static constexpr Seconds kWorkerTimerMargin =
      0.5;  // workers act on the end of a lease within their timers' steps

  Seconds duration_s_, worker_lease_s_, leadership_began_at_ = -1e9;
  std::vector<PeerDelegation> peers_;
};

}  // namespace wingtrail::delegation
