/// @file
/// Detects overload: submissions are deferred because the write budget is used up.
#pragma once

#include <cstdint>

#include "admission/creation_queue.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Tracks whether this controller defers submissions. Logs the beginning and the end of each overload.
class OverloadMonitor {
 public:
  /// Must be called periodically.
  /// @param write_share this controller's share of the state service's write budget, 0 to 1 (only logged)
  void update(Seconds now, const admission::CreationQueue& queue, double write_share);
  bool is_overloaded() const {
    return overloaded_;
  }

 private:
  bool overloaded_ = false;
  std::uint64_t deferred_seen_ = 0;
  Seconds overloaded_since_ = 0;
  Seconds last_deferral_at_ = -1e9;
};

}  // namespace wingtrail::controller
