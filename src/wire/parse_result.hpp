/// @file
/// How the parsers of this package report malformed messages.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace wingtrail::wire {

/// The reason why a message was refused.
struct ParseError {
  /// The malformed field's name in the protocol; empty if the message as a whole is malformed.
  std::string field;
  /// What is wrong, or what was expected instead.
  std::string problem;

  /// The error as users and logs get it: `field: problem`.
  std::string text() const {
    return field.empty() ? problem : field + ": " + problem;
  }
};

/// A parsed message, or the reason why it was refused.
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
