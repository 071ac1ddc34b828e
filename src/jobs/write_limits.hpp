/// @file
/// Limits on the content of one transaction of the state writer and of one page of records.
#pragma once

#include <cstddef>

namespace wingtrail::jobs {

/// What the state service accepts. The limits are lowered at run time when the service refuses a transaction
/// as malformed, since its actual limits may be lower than the settings say.
struct WriteLimits {
  std::size_t page_bytes = 0;   ///< size up to which a page is filled
  std::size_t value_bytes = 0;  ///< maximum size of an encoded value
  int changes = 0;              ///< maximum number of puts and deletes in a transaction
};

/// The remaining capacity of a transaction while it is being filled.
struct TransactionSpace {
  /// Maximum total size of a transaction's values; the protocol allows 64 KiB.
  static constexpr std::size_t kMaxBytes = 40UL * 1024;

  int changes = 0;             ///< number of changes that may still be added
  std::size_t bytes_used = 0;  ///< estimated size of the values added so far

  bool exhausted() const {
    return changes <= 0 || bytes_used >= kMaxBytes;
  }
  /// Accounts for one change whose value has about `bytes` bytes.
  void take(std::size_t bytes) {
    bytes_used += bytes;
    --changes;
  }
};

}  // namespace wingtrail::jobs
