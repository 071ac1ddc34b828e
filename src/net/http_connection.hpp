/// @file
/// What the HTTP server and client share: parsing, reading and writing messages on a socket. Private to this
/// package.
#pragma once

#include <http_parser.h>
#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

#include "net/event_loop.hpp"

namespace wingtrail::net {

/// How much is read from a socket at a time, in bytes.
inline constexpr std::size_t kReadChunkBytes = 16UL * 1024;

/// The address; none if the host is not an IPv4 address.
std::optional<sockaddr_in> ipv4_address(const std::string& host, std::uint16_t port);
/// Sends small messages at once.
void set_nodelay(int fd);

/// Parses one message, a request or a response, from bytes as they come; enforces the limits of its size.
struct HttpParser {
  http_parser parser{};
  http_parser_settings settings{};
  std::string target, body;
  std::size_t header_bytes = 0, max_header, max_body;
  bool complete = false, too_large = false, keep_alive = false, started = false;

  HttpParser(http_parser_type type, std::size_t header_limit, std::size_t body_limit)
      : max_header(header_limit), max_body(body_limit) {
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* p) {
      return self(p).begin();
    };
    settings.on_url = [](http_parser* p, const char* at, size_t n) {
      self(p).target.append(at, n);
      return self(p).count(n);
    };
    settings.on_header_field = [](http_parser* p, const char*, size_t n) {
      return self(p).count(n);
    };
    settings.on_header_value = [](http_parser* p, const char*, size_t n) {
      return self(p).count(n);
    };
    settings.on_body = [](http_parser* p, const char* at, size_t n) {
      return self(p).add(at, n);
    };
    settings.on_message_complete = [](http_parser* p) {
      self(p).complete = true;
      self(p).keep_alive = http_should_keep_alive(p) != 0;
      http_parser_pause(p, 1);  // one message at a time; nothing is pipelined
      return 0;
    };
    reset(type);
  }
  void reset(http_parser_type type) {
    http_parser_init(&parser, type);
    parser.data = this;
    target.clear();
    body.clear();
    header_bytes = 0;
    complete = too_large = keep_alive = started = false;
  }
  // False: this is not HTTP, or more of it than is allowed.
  bool feed(const char* data, std::size_t n) {
    const std::size_t used = http_parser_execute(&parser, &settings, data, n);
    if (complete)
      return used == n || HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED;
    return HTTP_PARSER_ERRNO(&parser) == HPE_OK;
  }
  static HttpParser& self(http_parser* p) {
    return *static_cast<HttpParser*>(p->data);
  }
  int begin() {
    started = true;
    return 0;
  }
  int count(std::size_t n) {
    return (header_bytes += n) > max_header ? 1 : 0;
  }
  int add(const char* at, std::size_t n) {
    if (body.size() + n > max_body) {
      too_large = true;
      return 1;
    }
    body.append(at, n);
    return 0;
  }
};

/// How the reading of a message ended.
enum class ReadResult : std::uint8_t { message, closed, bad, timeout };

/// Reads one message. `first_byte` is the deadline until it begins; from then on it has `message_s` more.
Task<ReadResult> read_message(Socket& io, TaskScope& scope, HttpParser& parser, Seconds first_byte,
                              Seconds message_s);
/// Writes all bytes by the deadline; false if that fails.
Task<bool> write_all(Socket& io, TaskScope& scope, std::string bytes, Seconds deadline);

}  // namespace wingtrail::net
