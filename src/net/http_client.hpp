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

/// What became of a call.
struct CallResult {
  int status = 0;         // 0: no answer
  bool delivered = true;  // false: not a byte of the request was sent
  std::string body;
};

/// Calls servers. Keeps connections for the next call, and never holds more sockets than it may.
class HttpClient {
 public:
  HttpClient(TaskScope& scope, std::size_t max_connections, std::size_t max_body)
      : scope_(scope), max_connections_(max_connections), max_body_(max_body) {}
  /// Sends a request and waits for its answer until the deadline.
  /// `not_after`: the request is not sent at or after this time, even if the deadline is later.
  Task<CallResult> call(std::string host, std::uint16_t port, Request request, std::string content_type,
                        Seconds deadline, Seconds not_after);

 private:
  struct IdleConnection {
    std::string key;
    std::unique_ptr<Socket> io;
    Seconds since = 0;
  };
  using IdleList = std::list<IdleConnection>;
  std::unique_ptr<Socket> reuse(const std::string& key);
  void drop(IdleList::iterator it);
  Task<std::unique_ptr<Socket>> connect(const std::string& host, std::uint16_t port, Seconds deadline);
  void keep(const std::string& key, std::unique_ptr<Socket> io);

  TaskScope& scope_;
  std::size_t max_connections_, max_body_;
  std::size_t open_ = 0;  // calls under way, each with a socket
  IdleList idle_;         // the longest idle first
  std::unordered_map<std::string, std::vector<IdleList::iterator>> idle_by_key_;
};

}  // namespace wingtrail::net
