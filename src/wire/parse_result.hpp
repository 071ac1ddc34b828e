/// @file
/// How the parsers of this package report what they cannot read.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace wingtrail::wire {

/// Why a message was refused.
struct ParseError {
  /// The field's name in the protocol; empty if the message as a whole is malformed.
  std::string field;
  /// What was expected of it.
  std::string problem;

  /// The form that users and logs get: `field: problem`.
  std::string text() const {
    return field.empty() ? problem : field + ": " + problem;
  }
};

/// A parsed message, or why there is none.
template <typename T>
using Result = tl::expected<T, ParseError>;

/// A failed Result for a message that is malformed as a whole.
inline tl::unexpected<ParseError> malformed(std::string problem) {
  return tl::make_unexpected(ParseError{"", std::move(problem)});
}

/// A failed Result for one field of a message.
inline tl::unexpected<ParseError> malformed(std::string field, std::string problem) {
  return tl::make_unexpected(ParseError{std::move(field), std::move(problem)});
}

}  // namespace wingtrail::wire
