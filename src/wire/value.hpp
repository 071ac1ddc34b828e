/// @file
/// The value type of all public messages, its CBOR form, and access to the fields of maps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "wire/parse_result.hpp"

namespace wingtrail::wire {

/// A message or a part of one: null, boolean, number, text, list or map.
using Value = nlohmann::json;

/// The deepest nesting of lists and maps accepted, because the decoder recurses. The protocol needs at most 5
/// levels.
inline constexpr int kMaxDepth = 24;
/// The largest body of a request that is accepted, in bytes.
inline constexpr std::size_t kMaxBody = 64UL * 1024;
/// 2^53. A double represents every integer up to this one exactly.
inline constexpr double kMaxExactInteger = 9007199254740992.0;

/// What decode_cbor() does with text that is not UTF-8.
enum class InvalidText : std::uint8_t {
  /// The message is malformed.
  refuse,
  /// Each invalid sequence becomes U+FFFD. For replies that hold many records, of which one may have been
  /// written with invalid text by a version that accepted it.
  replace
};

/// Decodes one value. Fails if the bytes are malformed, or contain trailing bytes, binary strings, duplicate
/// keys, NaN, infinity or more than kMaxDepth levels. All text in the result is UTF-8.
Result<Value> decode_cbor(std::string_view bytes, InvalidText invalid_text = InvalidText::refuse);
/// Encodes the value as CBOR.
std::string encode_cbor(const Value& value);

// Access to fields. A field counts as absent if it is missing or null, if its type is wrong, or if `map` is
// not a map. For an absent field, the functions return none.

/// The field's value of any type, owned by the map; nullptr if it is absent.
const Value* find(const Value& map, const char* key);
/// The value of a text field.
std::optional<std::string> text(const Value& map, const char* key);
/// The value of a number field.
std::optional<double> amount(const Value& map, const char* key);
/// The value of a field with an integer of at least 0, which may be encoded as a double.
std::optional<std::uint64_t> count(const Value& map, const char* key);
/// The value of a boolean field.
std::optional<bool> flag(const Value& map, const char* key);

}  // namespace wingtrail::wire
