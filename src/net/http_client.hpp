/// @file
/// An HTTP/1.1 client on the event loop.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/event_loop.hpp"
#include "net/http_message.hpp"

namespace wingtrail::net {

/// The outcome of a call.
struct CallResult {
  int status = 0;         ///< 0: no response
  bool delivered = true;  ///< false: nothing of the request was sent
  std::string body;
};

/// Sends requests to servers and keeps idle connections for later calls. Closes the connections that have
/// been idle longest to stay within `max_connections`, and refuses a call if all connections are in use.
class HttpClient {
 public:
  HttpClient(TaskScope& scope, std::size_t max_connections, std::size_t max_body)
      : scope_(scope), max_connections_(max_connections), max_body_(max_body) {}
  /// Sends a request and waits for its response until the deadline. `host` is an IPv4 address.
  /// `not_after`: the request is not sent at or after this time, even if the deadline is later.
  Task<CallResult> call(std::string host, std::uint16_t port, Request request, std::string content_type,
                        Seconds deadline, Seconds not_after);

 private:
  struct IdleConnection {
    std::string endpoint;  ///< HOST:PORT
    std::unique_ptr<Socket> socket;
    Seconds idle_since = 0;
  };
  using IdleList = std::list<IdleConnection>;
  /// Removes and returns the idle connection to the endpoint that was used last; null if none is usable.
  std::unique_ptr<Socket> take_idle(const std::string& endpoint);
  void remove_idle(IdleList::iterator it);
  Task<std::unique_ptr<Socket>> connect(const std::string& host, std::uint16_t port, Seconds deadline);
  /// Keeps a connection for later calls, or closes it if there are enough idle ones to this endpoint.
  void keep_idle(const std::string& endpoint, std::unique_ptr<Socket> socket);

  TaskScope& scope_;
  std::size_t max_connections_, max_body_;
  std::size_t active_calls_ = 0;  ///< each holds one socket
  IdleList idle_;                 ///< the longest idle first
  std::unordered_map<std::string, std::vector<IdleList::iterator>> idle_by_endpoint_;
};

}  // namespace wingtrail::net
