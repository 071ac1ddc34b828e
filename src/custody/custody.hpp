// Custody: answering workers' reports, without orders, on behalf of a leader that cannot be reached.
//
// PROTOCOL lets any node renew a worker's lease by an answer with the worker's token. So while a zone is cut
// off, or the state service is down, a node beside the workers can keep alive what runs there, although it
// may decide nothing. The leader allows that for a bounded time at a time ("grant"), keeps account of how
// long any grant it gave may last, and rests nothing on the end of a worker's lease that a grant could have
// prolonged. docs/safety.md argues why each rule holds.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::custody {

using ports::Seconds;

// Steady clocks of different machines differ by up to 0.05 % (PROTOCOL); both ends of a span may be off.
inline constexpr double kDrift = 0.001;

// What a node may do for the workers of the leader that it heard of last. Times are of this node's clock.
class Custodian {
 public:
  // `span_s`: how long a grant lasts; 0: never.
  explicit Custodian(Seconds span_s) : span_s_(span_s) {}

  // The leader has answered a request that this node sent at `sent`. The grant counts from the sending, so an
  // answer that was held up on its way grants no more than one that was not.
  void granted(std::uint64_t token, Seconds sent);
  // A newer leadership is known: what an earlier one allowed is void, for good.
  void heard(std::uint64_t token);

  // Whether a report may be answered now; `mandate` is the newest token its worker knows. The token to answer
  // with, or nothing.
  std::optional<std::uint64_t> may_answer(Seconds now, std::uint64_t mandate) const;
  void answered(Seconds now) { last_answer_ = now; }

  // Seconds since this process last answered in custody; negative: it never did.
  double held_s(Seconds now) const { return last_answer_ < 0 ? -1 : now - last_answer_; }
  Seconds until() const { return until_; }

 private:
  Seconds span_s_, until_ = -1, last_answer_ = -1;
  std::uint64_t token_ = 0;  // whose grant it is
  std::uint64_t newest_ = 0;
};

// The leader's account: until when which other node may renew workers' leases. Times are of the leader's
// clock.
class Grants {
 public:
  // `lease_s`: of workers; `span_s`: how long a grant lasts, for every node of the deployment the same.
  Grants(Seconds span_s, Seconds lease_s, std::size_t peers)
      : span_s_(span_s), lease_s_(lease_s), peers_(peers) {}

  // A leadership begins. Until a peer was heard, it may go on under a grant of any earlier leader, and so may
  // any earlier process of it.
  void begin(Seconds now);
  // The peer has asked; it may answer reports for as long as a grant lasts, counted from now at the latest.
  void granted(std::size_t peer, Seconds now);

  // What a peer says of itself, in answer to a request sent at `asked`, heard at `now`. It must
  // know of this leadership by then.
  struct Word {
    double age_s = 0;    // since its process began
    double held_s = -1;  // since it last answered a report in custody; negative: never
    bool knows = true;   // what custody is; a version that does not never answers in custody
  };
  void vouched(std::size_t peer, Seconds asked, Seconds now, const Word& word);

  // When the lease of a worker is certainly over that this node, or nobody, renewed so that it ends at `own`.
  // At or before `now` only if the peers' words rule out that any of them has prolonged it.
  Seconds lease_end(Seconds own) const;

 private:
  struct Peer {
    Seconds until = -1e9;    // a grant of this or an earlier leadership may last until then
    Seconds mine = -1e9;     // a grant of this leadership
    Seconds vouched = -1e9;  // all that it did before is known
    Seconds renewed = -1e9;  // of that: when it may have answered last
  };
  Seconds over(Seconds answered) const { return answered + lease_s_ * (1 + kDrift) + kMargin; }
  static constexpr Seconds kMargin = 0.5;  // workers act on the end of a lease within their timers' steps

  Seconds span_s_, lease_s_;
  std::vector<Peer> peers_;
};

}  // namespace wingtrail::custody
