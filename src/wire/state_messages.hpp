/// @file
/// What the scheduler exchanges with the state service: a versioned key-value store with compare-and-swap
/// transactions, leases and watches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// A key with its value, and the version of the last change to it.
struct Item {
  /// The key.
  std::string key;
  /// Its value.
  Value value;
  /// The version of its last change.
  std::uint64_t version = 0;
};
/// One page of the keys with a prefix.
struct Range {
  /// The keys, in their order.
  std::vector<Item> items;
  /// Further keys follow the last one.
  bool more = false;
  /// The store's revision that the page was read at.
  std::uint64_t revision = 0;
};
/// One change that a watch reports. A deletion has no value.
struct Change {
  /// Whether the key was deleted.
  bool deleted = false;
  /// The key that changed.
  std::string key;
  /// Its new value; null after a deletion.
  Value value;
  /// Its new version.
  std::uint64_t version = 0;
};
/// A watch's answer: the changes up to a revision of the store, in their order.
struct Changes {
  /// The revision up to which all changes are listed.
  std::uint64_t revision = 0;
  /// The changes, oldest first.
  std::vector<Change> events;
};

/// A compare-and-swap transaction under construction: all its changes happen, or none if a condition fails.
class Transaction {
 public:
  Transaction();
  /// Adds the condition that the key has this version; 0: it does not exist.
  Transaction& require(const std::string& key, std::uint64_t version);
  /// Adds a write; a `lease` other than 0 makes the key live as long as the lease.
  Transaction& put(const std::string& key, Value value, std::uint64_t lease = 0);
  /// Adds a deletion.
  Transaction& erase(const std::string& key);
  /// How many writes and deletions were added, which the state service limits.
  int change_count() const {
    return change_count_;
  }
  /// How many conditions were added.
  int condition_count() const;
  /// The message; the transaction is empty afterwards.
  Value take() {
    return std::move(body_);
  }

 private:
  Value body_;
  int change_count_ = 0;
};

/// The store's revision in any answer of the state service.
std::optional<std::uint64_t> revision(const Value& answer);
/// The keys whose conditions failed, of a transaction that was refused for that.
std::vector<std::string> failed_keys(const Value& answer);
/// The lease in the answer to its creation.
std::optional<std::uint64_t> lease_id(const Value& answer);
/// Asks for a lease of that many milliseconds.
Value lease_body(int ttl_ms);
/// Reads the answer to a read of one key.
Result<Item> parse_item(const Value& map);
/// Reads a page of keys.
Result<Range> parse_range(const Value& map);
/// Reads a watch's answer.
Result<Changes> parse_changes(const Value& map);

/// Where a key is.
std::string key_path(const std::string& key);
/// Where the page of keys that follows `after` is; empty: the first page.
std::string range_path(const std::string& prefix, const std::string& after, int limit);
/// Where the changes after a revision are, answered at the latest after `wait_ms`.
std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms);
/// Where a lease is renewed.
std::string renew_path(std::uint64_t lease);

}  // namespace wingtrail::wire
