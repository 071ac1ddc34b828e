/// @file
/// The value type that every public message is made of, its CBOR form, and access to the fields of maps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingtrail::wire {

/// Any value of a message: null, boolean, number, text, list or map.
using Value = nlohmann::json;

/// Nesting beyond this is refused: no message of the protocol is deeper than five, and the decoder recurses.
inline constexpr int kMaxDepth = 24;
/// The largest body of a request, in bytes.
inline constexpr std::size_t kMaxBody = 64UL * 1024;
/// 2^53: a double holds every integer up to it exactly.
inline constexpr double kMaxExactInteger = 9007199254740992.0;

/// Decodes one value strictly: no trailing bytes, binary strings, duplicate keys, NaN or infinity. None if
/// the bytes are anything else.
std::optional<Value> decode_cbor(std::string_view bytes);
/// The value's CBOR form.
std::string encode_cbor(const Value& value);

// Field access. A null, a missing field and a `map` that is none are alike; a field of a wrong type is
// absent.

/// The field's value, owned by the map; null if it is absent.
const Value* find(const Value& map, const char* key);
/// A text field.
std::optional<std::string> text(const Value& map, const char* key);
/// A field with a number of any kind.
std::optional<double> amount(const Value& map, const char* key);
/// A field with a whole number of at least 0, which may be coded as a double.
std::optional<std::uint64_t> count(const Value& map, const char* key);
/// A field with a truth value.
std::optional<bool> flag(const Value& map, const char* key);

}  // namespace wingtrail::wire
