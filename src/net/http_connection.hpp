/// @file
/// Parsing, reading and writing of HTTP messages on a socket, for the server and the client. Private to this
/// package.
#pragma once

#include <http_parser.h>
#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

#include "net/event_loop.hpp"

namespace wingtrail::net {

/// The size of the read buffer, in bytes.
inline constexpr std::size_t kReadChunkBytes = 16UL * 1024;

/// Returns the socket address, or nothing if `host` is not an IPv4 address.
std::optional<sockaddr_in> ipv4_address(const std::string& host, std::uint16_t port);
/// Sets TCP_NODELAY, so that small messages are sent without delay.
void set_nodelay(int fd);

/// Parses one message, a request or a response, from the bytes received so far. Enforces limits on the size
/// of its header and body, in bytes.
struct HttpParser {
  http_parser parser{};
  http_parser_settings settings{};
  std::string target, body;
  std::size_t header_bytes = 0, max_header, max_body;
  bool complete = false;    ///< The whole message has been received.
  bool too_large = false;   ///< The body exceeds `max_body`.
  bool keep_alive = false;  ///< Set when complete: the sender keeps the connection open.
  bool started = false;     ///< The first byte of the message has been received.

  HttpParser(http_parser_type type, std::size_t header_limit, std::size_t body_limit)
      : max_header(header_limit), max_body(body_limit) {
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* p) {
      self(p).started = true;
      return 0;
    };
    settings.on_url = [](http_parser* p, const char* at, size_t n) {
      self(p).target.append(at, n);
      return self(p).count_header_bytes(n);
    };
    settings.on_header_field = [](http_parser* p, const char*, size_t n) {
      return self(p).count_header_bytes(n);
    };
    settings.on_header_value = [](http_parser* p, const char*, size_t n) {
      return self(p).count_header_bytes(n);
    };
    settings.on_body = [](http_parser* p, const char* at, size_t n) {
      return self(p).append_body(at, n);
    };
    settings.on_message_complete = [](http_parser* p) {
      self(p).complete = true;
      self(p).keep_alive = http_should_keep_alive(p) != 0;
      http_parser_pause(p, 1);  // pipelined messages are not supported
      return 0;
    };
    reset(type);
  }
  /// Prepares for the next message.
  void reset(http_parser_type type) {
    http_parser_init(&parser, type);
    parser.data = this;
    target.clear();
    body.clear();
    header_bytes = 0;
    complete = too_large = keep_alive = started = false;
  }
  /// Parses more bytes. Returns false if the message is not valid HTTP or exceeds a limit.
  bool feed(const char* data, std::size_t size) {
    const std::size_t used = http_parser_execute(&parser, &settings, data, size);
    if (complete)
      return used == size || HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED;
    return HTTP_PARSER_ERRNO(&parser) == HPE_OK;
  }
  static HttpParser& self(http_parser* p) {
    return *static_cast<HttpParser*>(p->data);
  }
  /// Called by http_parser, as append_body is: returns 0 to continue, or 1 to refuse the message.
  int count_header_bytes(std::size_t size) {
    return (header_bytes += size) > max_header ? 1 : 0;
  }
  int append_body(const char* data, std::size_t size) {
    if (body.size() + size > max_body) {
      too_large = true;
      return 1;
    }
    body.append(data, size);
    return 0;
  }
};

/// The outcome of reading a message.
enum class ReadResult : std::uint8_t { message, closed, bad, timeout };

/// Reads one message. Its first byte must arrive by `first_byte_deadline`, and the rest within `message_s`
/// seconds of that byte; with an infinite `message_s`, the first deadline holds for the whole message.
Task<ReadResult> read_message(Socket& socket, TaskScope& scope, HttpParser& parser,
                              Seconds first_byte_deadline, Seconds message_s);
/// Writes all bytes. Returns false if the connection fails or the deadline passes first.
Task<bool> write_all(Socket& socket, TaskScope& scope, std::string bytes, Seconds deadline);

}  // namespace wingtrail::net
