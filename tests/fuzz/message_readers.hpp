/// @file
/// Each reader of messages from outside as a function of bytes, for the fuzzer and for the tests that replay
/// its corpus.
#pragma once

#include <span>
#include <string_view>

namespace wingtrail::fuzz {

/// A reader and the largest message that it is given.
struct MessageReader {
  std::string_view name;
  std::size_t max_bytes;
  void (*read)(std::string_view bytes);
};

std::span<const MessageReader> message_readers();

}  // namespace wingtrail::fuzz
