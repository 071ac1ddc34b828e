/// @file
/// The key in the state service that the leader holds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/state_messages.hpp"

namespace wingtrail::leadership {

/// The key in the state service that the leader holds.
inline constexpr const char* kLeaderKey = "lead";

/// The leader key as it was read.
struct LeaderKey {
  std::string holder;                           ///< the controller that wrote the key
  std::uint64_t version = 0;                    ///< its leader's fencing token
  std::optional<std::uint64_t> named_lease;     ///< the lease that the value names
  std::optional<std::uint64_t> attached_lease;  ///< the lease with which the key ends; none: it has none

  /// Reads the key from an answer of the state service.
  static LeaderKey from(const wire::Item& item);
  /// The value that `holder` writes under `lease`.
  static wire::Value value(const std::string& holder, std::uint64_t lease);
};

/// What a controller knows of the leader key, for diagnosis.
struct LeaderKeyView {
  /// Whether the key exists.
  enum class Presence : std::uint8_t { unread, absent, present };
  Presence presence = Presence::unread;
  LeaderKey key;  ///< while present, as last read
};
/// The presence's name in log lines.
const char* name(LeaderKeyView::Presence presence);

}  // namespace wingtrail::leadership
