/// @file
/// The coding that all messages between controllers share: msgpack, read within limits.
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingtrail::peer {

/// The message's msgpack form.
template <typename T>
std::string pack(const T& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/// Reads a message; none if it is malformed or beyond the limits.
template <typename T>
std::optional<T> unpack(std::string_view bytes, const msgpack::unpack_limit& limit) {
  try {
    msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    T message;
    handle.get().convert(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace wingtrail::peer
