// HTTP/1.1 over TCP, both sides, on the loop. Bodies are opaque bytes here.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/event_loop.hpp"

namespace wingtrail::net {

struct Request {
  std::string method, target, body;
};

struct Response {
  int status = 200;
  std::string body;
  std::string content_type = "application/cbor";
  std::optional<int> retry_after_s;
};

const char* reason_phrase(int status);

struct ServerLimits {
  std::size_t max_body = 64UL * 1024;
  std::size_t max_header = 8UL * 1024;
  // Beyond this many a connection gets one answer and is closed; beyond `spare` more it is refused at once.
  std::size_t max_connections = 1000;
  std::size_t spare = 0;
  Seconds idle_s = 75;     // between requests
  Seconds request_s = 10;  // from a request's first byte to its last, and for writing an answer
};

class HttpServer {
 public:
  using Handler = std::function<Task<Response>(Request)>;
  HttpServer(TaskScope& scope, std::string host, std::uint16_t port, ServerLimits limits, Handler handler);
  // An error text, or nothing.
  std::optional<std::string> listen();
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

struct CallResult {
  int status = 0;         // 0: no answer
  bool delivered = true;  // false: not a byte of the request was sent
  std::string body;
};

// Keeps connections for the next call, and never holds more sockets than it may.
class HttpClient {
 public:
  HttpClient(TaskScope& scope, std::size_t max_connections, std::size_t max_body)
      : scope_(scope), max_connections_(max_connections), max_body_(max_body) {}
  // `not_after`: the request is not sent at or after this time, even if the deadline is later.
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
