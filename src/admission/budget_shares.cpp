#include "admission/budget_shares.hpp"

#include <algorithm>
#include <numeric>

namespace wingtrail::admission {

void BudgetShares::on_loan(double share, Seconds asked) {
  if (asked <= borrowed_at_)
    return;
  borrowed_ = share;
  borrowed_at_ = asked;
}

void BudgetShares::begin_leadership(Seconds now) {
  leading_since_ = now;
  for (auto& l : loans_)
    l.clear();
  std::fill(requested_.begin(), requested_.end(), 0.0);
}

double BudgetShares::lent_to(std::size_t peer, Seconds now) const {
  double most = 0;
  for (const Loan& l : loans_[peer]) {
    if (now < l.until)
      most = std::max(most, l.share);
  }
  return most;
}

double BudgetShares::total_lent(Seconds now) const {
  double sum = 0;
  for (std::size_t i = 0; i < loans_.size(); ++i)
    sum += lent_to(i, now);
  return now < leading_since_ + kLoanTerm + kLoanMargin ? kMaxLent : sum;
}

double BudgetShares::lend(std::size_t peer, double wants, Seconds now) {
  requested_[peer] = std::max(0.0, wants);
  // Earlier leaders' loans take all that there is to lend.
  if (now < leading_since_ + kLoanTerm + kLoanMargin)
    return 0;
  const double all = std::accumulate(requested_.begin(), requested_.end(), 0.0);
  double others = 0;
  for (std::size_t i = 0; i < loans_.size(); ++i)
    others += i == peer ? 0 : lent_to(i, now);
  const double fair = all <= kMaxLent ? requested_[peer] : kMaxLent * requested_[peer] / all;
  const double share = std::clamp(kMaxLent - others, 0.0, fair);
  std::erase_if(loans_[peer], [now](const Loan& l) { return now >= l.until; });
  loans_[peer].push_back({share, now + kLoanTerm + kLoanMargin});
  return share;
}

double BudgetShares::own_share(Seconds now, bool entitled) const {
  if (nodes_ == 1)
    return 1;
  if (entitled)
    return floor() + 1 - kTotalFloor - total_lent(now);
  return floor() + (now < borrowed_at_ + kLoanTerm ? borrowed_ : 0);
}

}  // namespace wingtrail::admission
