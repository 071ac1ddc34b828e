/// @file
/// What the parsers of all messages share. Private to this package.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/value.hpp"

namespace wingtrail::wire {

/// The longest text that is taken for a name, in bytes.
inline constexpr std::size_t kMaxNameBytes = 200;

/// One row of a table that gives an enumerator its name in the protocol. Several names may stand for one
/// enumerator; the first is the one that is sent.
template <typename E>
struct EnumName {
  /// The name in the protocol.
  std::string_view name;
  /// The enumerator.
  E value;
};

/// The enumerator of that name; none if there is no name or the table lacks it.
template <typename E, std::size_t N>
std::optional<E> enum_by_name(const EnumName<E> (&table)[N], const std::optional<std::string>& name) {
  if (!name)
    return std::nullopt;
  for (const auto& row : table) {
    if (*name == row.name)
      return row.value;
  }
  return std::nullopt;
}

/// The enumerator's name in the protocol. The names are literals, so the result ends with a zero byte.
template <typename E, std::size_t N>
const char* enum_name(const EnumName<E> (&table)[N], E value) {
  for (const auto& row : table) {
    if (row.value == value)
      return row.name.data();
  }
  return "";
}

/// The list's texts; none if it is not a list or holds anything else.
std::optional<std::vector<std::string>> text_list(const Value& list);

/// Whether the text is there, not empty and at most kMaxNameBytes long.
bool is_valid_name(const std::optional<std::string>& name);

/// Percent-encodes a key or host name for a query.
std::string escape_query(const std::string& text);

}  // namespace wingtrail::wire
