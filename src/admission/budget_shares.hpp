/// @file
/// Divides the budget of the state service among the controllers, following their demand.
#pragma once

#include <cstddef>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::admission {

using ports::Seconds;

/// One controller's view of a budget. All shares are fractions of the whole budget, between 0 and 1.
///
/// Every controller always has a minimum share. The rest belongs to the leader, which lends part of it to
/// followers in its replies to their periodic messages. A loan expires by itself. Its term counts from the
/// request on the borrower's clock and from the reply on the lender's, so the lender always counts it as used
/// for longer than the borrower uses it. So whichever controllers fail, the shares in use never exceed the
/// whole, and the loan of a dead controller lies idle for no longer than its term. See docs/admission.md.
class BudgetShares {
 public:
  static constexpr double kTotalMinimumShare = 0.4;  ///< sum of the minimum shares of all controllers
  /// The most that the leader lends in total; it keeps the rest for itself. Followers short of writes put
  /// more jobs into each job batch, whereas a leader short of writes records final states late: with 0.4
  /// lent, the leader had 12 writes per second left for final states during a flood of submissions, and
  /// cancellations took seconds.
  static constexpr double kMaxLent = 0.15;
  static constexpr Seconds kLoanTerm = 1.8;     ///< controllers exchange messages once a second
  static constexpr Seconds kLoanMargin = 0.05;  ///< covers clock drift and timers that fire late

  explicit BudgetShares(std::size_t controllers)
      : controller_count_(controllers), loans_(controllers - 1), requested_(controllers - 1) {}

  /// The share that this controller may always use.
  double minimum_share() const {
    return controller_count_ == 1 ? 1.0 : kTotalMinimumShare / static_cast<double>(controller_count_);
  }
  /// The leader has lent this controller `share`, in reply to a request sent at `requested_at`. Ignored if
  /// the reply to a later request has arrived already.
  void on_loan(double share, Seconds requested_at);
  /// This controller begins to lead. It counts the loans of earlier leaders as in use until they expire.
  void begin_leadership(Seconds now);
  /// As the leader: lends to the peer up to `requested`, in addition to its minimum share; returns the loan.
  double lend(std::size_t peer, double requested, Seconds now);
  /// Time since this controller requested the loan that it received last.
  Seconds loan_age(Seconds now) const {
    return now - borrowed_at_;
  }
  /// What this controller may use now.
  /// @param is_leader it leads and its leader lease has not expired
  double own_share(Seconds now, bool is_leader) const;

 private:
  struct Loan {
    double share;
    Seconds until;
  };
  double lent_to(std::size_t peer, Seconds now) const;  // the most that the peer may still use
  double total_lent(Seconds now) const;

  std::size_t controller_count_;
  // Unexpired loans by peer. A smaller loan may be lost on its way, so it does not replace a larger one.
  std::vector<std::vector<Loan>> loans_;
  std::vector<double> requested_;  // by peer, as last requested
  Seconds leading_since_ = -1e9;
  double borrowed_ = 0;
  Seconds borrowed_at_ = -1e9;
};

}  // namespace wingtrail::admission
