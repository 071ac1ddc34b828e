#include "admission/budget_shares.hpp"

#include <algorithm>
#include <numeric>

namespace wingtrail::admission {

void BudgetShares::on_loan(double share, Seconds requested_at) {
  if (requested_at <= borrowed_at_)
    return;
  borrowed_ = share;
  borrowed_at_ = requested_at;
}

void BudgetShares::begin_leadership(Seconds now) {
  leading_since_ = now;
  for (auto& peer_loans : loans_)
    peer_loans.clear();
  std::fill(requested_.begin(), requested_.end(), 0.0);
}

double BudgetShares::lent_to(std::size_t peer, Seconds now) const {
  double most = 0;
  for (const Loan& loan : loans_[peer]) {
    if (now < loan.until)
      most = std::max(most, loan.share);
  }
  return most;
}

double BudgetShares::total_lent(Seconds now) const {
  double sum = 0;
  for (std::size_t i = 0; i < loans_.size(); ++i)
    sum += lent_to(i, now);
  return now < leading_since_ + kLoanTerm + kLoanMargin ? kMaxLent : sum;
}

double BudgetShares::lend(std::size_t peer, double requested, Seconds now) {
  requested_[peer] = std::max(0.0, requested);
  // Loans of earlier leaders, which this one does not know, may use all that can be lent.
  if (now < leading_since_ + kLoanTerm + kLoanMargin)
    return 0;
  const double total_requested = std::accumulate(requested_.begin(), requested_.end(), 0.0);
  double lent_to_others = 0;
  for (std::size_t i = 0; i < loans_.size(); ++i)
    lent_to_others += i == peer ? 0 : lent_to(i, now);
  const double fair_share =
      total_requested <= kMaxLent ? requested_[peer] : kMaxLent * requested_[peer] / total_requested;
  const double share = std::clamp(kMaxLent - lent_to_others, 0.0, fair_share);
  std::erase_if(loans_[peer], [now](const Loan& loan) { return now >= loan.until; });
  loans_[peer].push_back({share, now + kLoanTerm + kLoanMargin});
  return share;
}

double BudgetShares::own_share(Seconds now, bool is_leader) const {
  if (controller_count_ == 1)
    return 1;
  if (is_leader)
    return minimum_share() + 1 - kTotalMinimumShare - total_lent(now);
  return minimum_share() + (now < borrowed_at_ + kLoanTerm ? borrowed_ : 0);
}

}  // namespace wingtrail::admission
