/// @file
/// Functions that the parsers of all messages share. Private to this package.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/value.hpp"

namespace wingtrail::wire {

/// The longest text that is accepted as a name, in bytes.
inline constexpr std::size_t kMaxNameBytes = 200;
/// The largest amount that is accepted, in the unit of its field.
inline constexpr double kMaxAmount = 1e9;

/// One row of a table that maps the protocol's names to enumerators. Several names may map to one enumerator;
/// the first of them is sent.
template <typename E>
struct EnumName {
  /// The name in the protocol.
  std::string_view name;
  /// The enumerator.
  E value;
};

/// The enumerator with that name; none if there is no name or the table lacks it.
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

/// The enumerator's name in the protocol. The table's names are literals, so the result is null-terminated.
template <typename E, std::size_t N>
const char* enum_name(const EnumName<E> (&table)[N], E value) {
  for (const auto& row : table) {
    if (row.value == value)
      return row.name.data();
  }
  return "";
}

/// The texts of a list; none if the value is not a list or an item is not a text.
std::optional<std::vector<std::string>> text_list(const Value& list);

/// Whether the text is present, not empty and at most kMaxNameBytes long.
bool is_valid_name(const std::optional<std::string>& name);

/// Whether the amount is present, at least 0 and at most kMaxAmount.
bool is_valid_amount(const std::optional<double>& amount);

/// Percent-encodes a key or host name for the query of a URL; a slash stays as it is.
std::string escape_query(const std::string& text);

}  // namespace wingtrail::wire
