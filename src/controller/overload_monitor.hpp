/// @file
/// Notices when submissions are deferred for lack of budget.
#pragma once

#include <cstdint>

#include "admission/creation_queue.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Whether this controller defers submissions. Writes one log line when that begins, and one when it is over.
class OverloadMonitor {
 public:
  /// To be called periodically.
  /// @param write_share this controller's share of the state service's write budget, 0 to 1
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
