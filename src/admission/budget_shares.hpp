// One budget of the state service, shared by the controllers as it is used. Every node always has its floor.
// The rest is the leader's, who lends a part of it to followers in the answers to their greetings. A loan
// ends by itself: it counts from the asking on the borrower's clock and from the answer on the lender's, so
// the lender always takes it for longer than it lasts. Nobody uses what a dead node had borrowed for longer
// than a loan's term, and the sum never exceeds the whole, whoever fails (docs/admission.md).
#pragma once

#include <cstddef>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::admission {

using ports::Seconds;

// Shares are parts of the whole budget, between 0 and 1.
class BudgetShares {
 public:
  static constexpr double kTotalFloor = 0.4;  // all floors together
  // Of the whole; what a leader never lends is its own. Followers that lack changes put more jobs on each
  // sheet, a leader that lacks them tells ends late: with 0.4 lent, the leader had 12 changes a second left
  // for ends in a flood, and cancellations waited for seconds.
  static constexpr double kMaxLent = 0.15;
  static constexpr Seconds kLoanTerm = 1.8;     // of a loan; nodes greet each other once a second
  static constexpr Seconds kLoanMargin = 0.05;  // clocks drift, and timers fire late

  explicit BudgetShares(std::size_t nodes) : nodes_(nodes), loans_(nodes - 1), requested_(nodes - 1) {}

  double floor() const {
    return nodes_ == 1 ? 1.0 : kTotalFloor / static_cast<double>(nodes_);
  }
  // The leader has lent this node that much, in the answer to what it asked at `asked`. An older answer that
  // comes late changes nothing.
  void on_loan(double share, Seconds asked);
  // A leadership of this node begins: what earlier leaders lent may still be in use.
  void begin_leadership(Seconds now);
  // As the leader: a peer wants that much beside its floor, and gets what this returns.
  double lend(std::size_t peer, double wants, Seconds now);
  // Since this node last heard what it may borrow.
  Seconds loan_age(Seconds now) const {
    return now - borrowed_at_;
  }
  // What this node may use now; `entitled`: it leads, within its authority.
  double own_share(Seconds now, bool entitled) const;

 private:
  struct Loan {
    double share;
    Seconds until;
  };
  double lent_to(std::size_t peer, Seconds now) const;  // the most that may be in use there
  double total_lent(Seconds now) const;

  std::size_t nodes_;
  std::vector<std::vector<Loan>> loans_;  // by peer: a smaller one does not end a larger one before its time
  std::vector<double> requested_;
  Seconds leading_since_ = -1e9;
  double borrowed_ = 0;
  Seconds borrowed_at_ = -1e9;
};

}  // namespace wingtrail::admission
