/// Limits on what one transaction of the state writer and one page of records may hold.
#pragma once

#include <cstddef>

namespace wingtrail::jobs {

/// What the state service is known to accept. Lowered while the process lives when the service refuses a
/// transaction as malformed, since its limits may be lower than the settings say.
struct WriteLimits {
  std::size_t page_bytes = 0;   ///< that a page is filled to
  std::size_t value_bytes = 0;  ///< that a value may have at most
  int changes = 0;              ///< puts and deletes in a transaction
};

/// What is left of a transaction while it is being filled.
struct TransactionSpace {
  /// Of a transaction's values together; the protocol allows 64 KiB.
  static constexpr std::size_t kMaxBytes = 40UL * 1024;

  int changes = 0;             ///< that may still be added
  std::size_t bytes_used = 0;  ///< by the values added so far, estimated

  bool exhausted() const {
    return changes <= 0 || bytes_used >= kMaxBytes;
  }
  void take(std::size_t bytes) {
    bytes_used += bytes;
    --changes;
  }
};

}  // namespace wingtrail::jobs
