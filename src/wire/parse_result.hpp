/// @file
/// How the parsers of this package report malformed messages.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace wingtrail::wire {

/// What kind of fault a refused message has.
enum class RefusalReason : std::uint8_t {
  malformed,  ///< it is not of the encoding that was expected
  nesting,    ///< lists, maps or parts of texts are nested more deeply than is read
  content,    ///< well-formed, but a field is missing or has a value that is not allowed
};
/// The number of enumerators of RefusalReason.
inline constexpr std::size_t kRefusalReasonCount = 3;

/// Why a message was refused.
struct ParseError {
  /// The malformed field's name in the protocol; empty if the message as a whole is malformed.
  std::string field;
  /// What is wrong, or what was expected instead.
  std::string problem;
  /// What kind of fault the message has.
  RefusalReason reason = RefusalReason::content;

  /// The error as users and logs get it: `field: problem`.
  std::string text() const {
    return field.empty() ? problem : field + ": " + problem;
  }
};

/// How many messages a reader has refused, by reason.
class RefusalCounts {
 public:
  /// Counts a refused message.
  void count(RefusalReason reason) {
    ++counts_[static_cast<std::size_t>(reason)];
  }
  /// Counts a message that was refused with this error.
  void count(const ParseError& error) {
    count(error.reason);
  }
  /// The number of messages refused for the reason.
  std::uint64_t of(RefusalReason reason) const {
    return counts_[static_cast<std::size_t>(reason)];
  }

 private:
  std::array<std::uint64_t, kRefusalReasonCount> counts_{};
};

/// A parsed message, or the reason why it was refused.
template <typename T>
using Result = tl::expected<T, ParseError>;

/// A failed Result for a message that is malformed as a whole.
inline tl::unexpected<ParseError> malformed(std::string problem,
                                            RefusalReason reason = RefusalReason::content) {
  return tl::make_unexpected(ParseError{"", std::move(problem), reason});
}

/// A failed Result for one field of a message.
inline tl::unexpected<ParseError> malformed(std::string field, std::string problem) {
  return tl::make_unexpected(ParseError{std::move(field), std::move(problem), RefusalReason::content});
}

}  // namespace wingtrail::wire
