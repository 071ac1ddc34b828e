#include "admission/shares.hpp"

#include <algorithm>
#include <numeric>

namespace wingtrail::admission {

void Shares::borrowed(double share, Seconds asked) {
  if (asked <= borrowed_at_)
    return;
  borrowed_ = share;
  borrowed_at_ = asked;
}

void Shares::lead(Seconds now) {
  led_since_ = now;
  for (auto& l : loans_)
    l.clear();
  std::fill(wants_.begin(), wants_.end(), 0.0);
}

double Shares::lent(std::size_t peer, Seconds now) const {
  double most = 0;
  for (const Loan& l : loans_[peer]) {
    if (now < l.until)
      most = std::max(most, l.share);
  }
  return most;
}

double Shares::all_lent(Seconds now) const {
  double sum = 0;
  for (std::size_t i = 0; i < loans_.size(); ++i)
    sum += lent(i, now);
  return now < led_since_ + kTerm + kMargin ? kLendable : sum;
}

double Shares::lend(std::size_t peer, double wants, Seconds now) {
  wants_[peer] = std::max(0.0, wants);
  // Earlier leaders' loans take all that there is to lend.
  if (now < led_since_ + kTerm + kMargin)
    return 0;
  const double all = std::accumulate(wants_.begin(), wants_.end(), 0.0);
  double others = 0;
  for (std::size_t i = 0; i < loans_.size(); ++i)
    others += i == peer ? 0 : lent(i, now);
  const double fair = all <= kLendable ? wants_[peer] : kLendable * wants_[peer] / all;
  const double share = std::clamp(kLendable - others, 0.0, fair);
  std::erase_if(loans_[peer], [now](const Loan& l) { return now >= l.until; });
  loans_[peer].push_back({share, now + kTerm + kMargin});
  return share;
}

double Shares::mine(Seconds now, bool entitled) const {
  if (nodes_ == 1)
    return 1;
  if (entitled)
    return floor() + 1 - kFloors - all_lent(now);
  return floor() + (now < borrowed_at_ + kTerm ? borrowed_ : 0);
}

}  // namespace wingtrail::admission
