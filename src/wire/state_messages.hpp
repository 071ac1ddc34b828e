/// @file
/// Messages between the scheduler and the state service, a versioned key-value store with compare-and-swap
/// transactions, leases and watches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// A key, its value and its version.
struct Item {
  /// The key.
  std::string key;
  /// The value; may be null.
  Value value;
  /// The key's version, which identifies the last change to it.
  std::uint64_t version = 0;
  /// The lease with which the key ends, in the answer to a read of this key alone; none: the key has no
  /// lease.
  std::optional<std::uint64_t> lease = {};
};
/// One page of a list of all keys with a prefix.
struct Range {
  /// The keys with their values, sorted by key.
  std::vector<Item> items;
  /// Whether the list continues on a further page.
  bool more = false;
  /// The store's revision at which the page was read.
  std::uint64_t revision = 0;
};
/// One change that a watch reports.
struct Change {
  /// Whether the key was deleted.
  bool deleted = false;
  /// The key that changed.
  std::string key;
  /// Its new value; null after a deletion.
  Value value;
  /// Its new version, or the revision of its deletion.
  std::uint64_t version = 0;
};
/// The answer to a watch: the changes up to a revision of the store.
struct Changes {
  /// The revision up to which the list is complete.
  std::uint64_t revision = 0;
  /// The changes, oldest first.
  std::vector<Change> events;
};

/// Builds a compare-and-swap transaction: all its changes are made, or none of them if a condition fails.
class Transaction {
 public:
  Transaction();
  /// Adds the condition that the key has this version; 0: that it does not exist.
  Transaction& require(const std::string& key, std::uint64_t version);
  /// Adds a write. With a lease, the state service deletes the key when the lease ends.
  Transaction& put(const std::string& key, Value value, std::optional<std::uint64_t> lease = {});
  /// Adds a deletion of the key.
  Transaction& erase(const std::string& key);
  /// The number of writes and deletions added so far; the state service limits it.
  int change_count() const {
    return change_count_;
  }
  /// The number of conditions added so far.
  int condition_count() const;
  /// Moves the message out, after which the transaction is empty and nothing may be added to it.
  Value take() {
    return std::move(body_);
  }

 private:
  Value body_;
  int change_count_ = 0;
};

/// The store's revision in an answer of the state service; none if it has none.
std::optional<std::uint64_t> revision(const Value& answer);
/// The keys whose conditions failed, from the answer to a refused transaction.
std::vector<std::string> failed_keys(const Value& answer);
/// The ID of a new lease, from the answer to its creation; none if it is missing.
std::optional<std::uint64_t> lease_id(const Value& answer);
/// The body of a request for a lease that lasts `ttl_ms` milliseconds unless it is renewed.
Value lease_body(int ttl_ms);
/// Reads one key with its value and version.
Result<Item> parse_item(const Value& map);
/// Reads a page of keys.
Result<Range> parse_range(const Value& map);
/// Reads the answer to a watch; a key's changes may stand in any order there.
Result<Changes> parse_changes(const Value& map);

/// The path of a key.
std::string key_path(const std::string& key);
/// The path and query of the page of at most `limit` keys after the key `after`; empty: the first page.
std::string range_path(const std::string& prefix, const std::string& after, int limit);
/// The path and query of a watch for changes after the revision `after`; answered within `wait_ms` ms.
std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms);
/// The path at which a lease is renewed.
std::string renew_path(std::uint64_t lease);

}  // namespace wingtrail::wire
