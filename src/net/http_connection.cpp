#include "net/http_connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cmath>

namespace wingtrail::net {

std::optional<sockaddr_in> ipv4_address(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  return address;
}

void set_nodelay(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

Task<ReadResult> read_message(Socket& socket, TaskScope& scope, HttpParser& parser,
                              Seconds first_byte_deadline, Seconds message_s) {
  // All coroutines share one buffer, as nothing is kept in it across a wait. A buffer in each coroutine frame
  // would take many megabytes with a thousand idle connections.
  static thread_local char buffer[kReadChunkBytes];
  Seconds deadline = first_byte_deadline;
  while (!parser.complete) {
    const WakeReason reason = co_await socket.wait_readable(scope, deadline);
    if (reason != WakeReason::ready)
      co_return ReadResult::timeout;
    const ssize_t received = recv(socket.fd(), buffer, sizeof buffer, 0);
    if (received < 0 && errno == EINTR)
      continue;
    if (received < 0 && errno == EAGAIN) {
      // A socket that has hung up stays readable, so waiting again would loop; no more data can arrive.
      if (socket.hung_up())
        co_return ReadResult::closed;
      socket.mark_not_readable();
      continue;
    }
    if (received <= 0) {
      if (received == 0 && parser.started)
        parser.feed(nullptr, 0);  // a body without a length ends with the connection
      co_return parser.complete ? ReadResult::message : ReadResult::closed;
    }
    if (static_cast<std::size_t>(received) < sizeof buffer)
      socket.mark_not_readable();
    const bool had_started = parser.started;
    if (!parser.feed(buffer, static_cast<std::size_t>(received)))
      co_return ReadResult::bad;
    if (parser.started && !had_started && std::isfinite(message_s))
      deadline = scope.loop().now() + message_s;
  }
  co_return ReadResult::message;
}

Task<bool> write_all(Socket& socket, TaskScope& scope, std::string bytes, Seconds deadline) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t written = send(socket.fd(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (written > 0) {
      sent += static_cast<std::size_t>(written);
      continue;
    }
    if (written < 0 && errno == EINTR)
      continue;
    if (written < 0 && errno == EAGAIN) {
      socket.mark_not_writable();
      const WakeReason reason = co_await socket.wait_writable(scope, deadline);
      if (reason != WakeReason::ready)
        co_return false;
      continue;
    }
    co_return false;
  }
  co_return true;
}

}  // namespace wingtrail::net
