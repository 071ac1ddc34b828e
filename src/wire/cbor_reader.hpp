/// @file
/// The entry through which this package reads CBOR. Its limits hold for every handler. Private to this
/// package.
#pragma once

#include <string_view>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// Receives the parts of a message in their order. A member function that returns false ends the reading.
using CborHandler = nlohmann::json_sax<Value>;

/// Reads one value and passes its parts to the handler. Fails if the bytes are malformed or have trailing
/// bytes, binary strings or more than kMaxDepth levels, or if the handler ends the reading. The stack that it
/// needs does not depend on the bytes.
Result<void> read_cbor(std::string_view bytes, CborHandler& handler);

}  // namespace wingtrail::wire
