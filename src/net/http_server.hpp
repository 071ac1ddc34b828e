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

/// The limits of a server. Sizes are in bytes, times in seconds.
struct ServerLimits {
  std::size_t max_body = 64UL * 1024;
  std::size_t max_header = 8UL * 1024;
  /// A connection beyond this many gets one response and is closed. When `spare` more are open as well,
  /// further connections are closed on arrival.
  std::size_t max_connections = 1000;
  std::size_t spare = 0;
  Seconds idle_s = 75;     ///< longest wait for the next request on a connection
  Seconds request_s = 10;  ///< longest time from a request's first byte to its last, and to write a response
};

/// Serves HTTP/1.1 with one coroutine per connection.
class HttpServer {
 public:
  /// Returns the response to one request.
  using Handler = std::function<Task<Response>(Request)>;
  /// Opens no socket yet; `host` is an IPv4 address. The scope must outlive the server.
  HttpServer(TaskScope& scope, std::string host, std::uint16_t port, ServerLimits limits, Handler handler);
  /// Starts to accept connections. Returns an error text if the listening socket cannot be opened.
  std::optional<std::string> listen();
  /// The number of open connections.
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
