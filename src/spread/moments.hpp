// Mean and variance of what has been seen, without keeping it (Welford 1962).
#pragma once

#include <cstdint>

namespace wingtrail::spread {

class Moments {
 public:
  void add(double x) {
    ++n_;
    const double off = x - mean_;
    mean_ += off / static_cast<double>(n_);
    squares_ += off * (x - mean_);
  }
  double mean() const { return mean_; }
  double variance() const { return n_ < 2 ? 0 : squares_ / static_cast<double>(n_ - 1); }

 private:
  std::uint64_t n_ = 0;
  double mean_ = 0, squares_ = 0;
};

}  // namespace wingtrail::spread
