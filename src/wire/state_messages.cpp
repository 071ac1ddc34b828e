#include "wire/state_messages.hpp"

#include <algorithm>

#include "wire/field_names.hpp"
#include "wire/parsing.hpp"

namespace wingtrail::wire {

Transaction::Transaction() : body_{{field::kConditions, Value::array()}, {field::kChanges, Value::array()}} {}

int Transaction::condition_count() const {
  return static_cast<int>(body_[field::kConditions].size());
}

Transaction& Transaction::require(const std::string& key, std::uint64_t version) {
  body_[field::kConditions].push_back({{field::kKey, key}, {field::kVersion, version}});
  return *this;
}

Transaction& Transaction::put(const std::string& key, Value value, std::optional<std::uint64_t> lease) {
  Value change{{field::kPut, key}, {field::kValue, std::move(value)}};
  if (lease)
    change[field::kLease] = *lease;
  body_[field::kChanges].push_back(std::move(change));
  ++change_count_;
  return *this;
}

Transaction& Transaction::erase(const std::string& key) {
  body_[field::kChanges].push_back({{field::kDelete, key}});
  ++change_count_;
  return *this;
}

std::optional<std::uint64_t> revision(const Value& answer) {
  return count(answer, field::kRevision);
}

std::vector<std::string> failed_keys(const Value& answer) {
  const Value* list = find(answer, field::kFailedKeys);
  const auto keys = list ? text_list(*list) : std::nullopt;
  return keys.value_or(std::vector<std::string>{});
}

std::optional<std::uint64_t> lease_id(const Value& answer) {
  return count(answer, field::kLease);
}

Value lease_body(int ttl_ms) {
  return {{field::kTtlMs, ttl_ms}};
}

Result<Item> parse_item(const Value& map) {
  const auto key = text(map, field::kKey);
  const auto version = count(map, field::kVersion);
  if (!key || !version || !map.contains(field::kValue))
    return malformed("malformed item");
  return Item{*key, map[field::kValue], *version, count(map, field::kLease)};
}

Result<Range> parse_range(const Value& map) {
  const Value* items = find(map, field::kItems);
  const auto read_at = revision(map);
  if (!items || !items->is_array() || !read_at)
    return malformed("malformed range");
  Range range{{}, flag(map, field::kMore).value_or(false), *read_at};
  for (const Value& entry : *items) {
    auto item = parse_item(entry);
    if (!item)
      return tl::make_unexpected(std::move(item.error()));
    range.items.push_back(std::move(*item));
  }
  return range;
}

Result<Changes> parse_changes(const Value& map) {
  const auto up_to = revision(map);
  const Value* events = find(map, field::kEvents);
  if (!up_to || (events && !events->is_array()))
    return malformed("malformed watch answer");
  Changes changes{*up_to, {}};
  if (!events)
    return changes;
  for (const Value& event : *events) {
    const auto written = text(event, field::kPut);
    const auto erased = text(event, field::kDelete);
    const auto version = count(event, field::kVersion);
    if (!version)
      return malformed("malformed event");
    if (written && event.contains(field::kValue)) {
      changes.events.push_back({false, *written, event[field::kValue], *version});
    } else if (erased) {
      changes.events.push_back({true, *erased, nullptr, *version});
    } else {
      return malformed("malformed event");
    }
  }
  // The protocol promises no order; its example has the newest change first.
  std::stable_sort(changes.events.begin(), changes.events.end(),
                   [](const Change& one, const Change& other) { return one.version < other.version; });
  return changes;
}

std::string key_path(const std::string& key) {
  return "/kv/" + key;
}

std::string range_path(const std::string& prefix, const std::string& after, int limit) {
  const std::string path = "/kv?prefix=" + escape_query(prefix) + "&most=" + std::to_string(limit);
  return after.empty() ? path : path + "&after=" + escape_query(after);
}

std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms) {
  return "/follow?prefix=" + escape_query(prefix) + "&after=" + std::to_string(after) +
         "&holdMs=" + std::to_string(wait_ms);
}

std::string renew_path(std::uint64_t lease) {
  return "/leases/" + std::to_string(lease) + "/extend";
}

}  // namespace wingtrail::wire
