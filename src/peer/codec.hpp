/// @file
/// The encoding of all messages between controllers: msgpack, decoded within limits of size and depth.
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingtrail::peer {

/// Returns the message encoded as msgpack.
template <typename T>
std::string pack(const T& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/// Decodes a message; returns nullopt if it is malformed or exceeds the limits.
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
