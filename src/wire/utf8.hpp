/// @file
/// Validity of text. CBOR and msgpack define text as UTF-8, but their decoders accept any bytes.
#pragma once

#include <string>
#include <string_view>

namespace wingtrail::wire {

/// Whether the bytes are valid UTF-8.
bool is_utf8(std::string_view bytes);
/// The bytes with each invalid sequence replaced by U+FFFD.
std::string replace_invalid_utf8(std::string_view bytes);

}  // namespace wingtrail::wire
