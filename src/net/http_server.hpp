/// @file
/// An HTTP/1.1 server on the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/event_loop.hpp"
#include "net/http_message.hpp"

namespace wingtrail::net {

/// The bounds of a server: sizes in bytes, times in seconds.
struct ServerLimits {
  std::size_t max_body = 64UL * 1024;
  std::size_t max_header = 8UL * 1024;
  // Beyond this many a connection gets one answer and is closed; beyond `spare` more it is refused at once.
  std::size_t max_connections = 1000;
  std::size_t spare = 0;
  Seconds idle_s = 75;     // between requests
  Seconds request_s = 10;  // from a request's first byte to its last, and for writing an answer
};

/// Serves HTTP/1.1 with one coroutine per connection.
class HttpServer {
 public:
  /// Answers one request.
  using Handler = std::function<Task<Response>(Request)>;
  /// Opens nothing yet. The scope must outlive the server.
  HttpServer(TaskScope& scope, std::string host, std::uint16_t port, ServerLimits limits, Handler handler);
  /// Begins to accept connections; returns an error text if it cannot.
  std::optional<std::string> listen();
  /// How many connections are open.
  std::size_t connections() const {
    return open_;
  }

 private:
  DetachedTask accept_loop();
  DetachedTask serve(int fd);

  TaskScope& scope_;
  std::string host_;
  std::uint16_t port_;
  ServerLimits limits_;
  Handler handler_;
  std::unique_ptr<Socket> listener_;
  std::size_t open_ = 0;
};

}  // namespace wingtrail::net
