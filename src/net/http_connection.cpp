#include "net/http_connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cmath>

namespace wingtrail::net {

std::optional<sockaddr_in> ipv4_address(const std::string& host, std::uint16_t port) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &sa.sin_addr) != 1)
    return std::nullopt;
  return sa;
}

void set_nodelay(int fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

Task<ReadResult> read_message(Socket& io, TaskScope& scope, HttpParser& parser, Seconds first_byte,
                              Seconds message_s) {
  // One buffer for all routines: nothing is kept in it across a wait, and a frame of its own for each of a
  // thousand idle connections would be many megabytes.
  static thread_local char buffer[kReadChunkBytes];
  Seconds deadline = first_byte;
  while (!parser.complete) {
    const WakeReason woke = co_await io.wait_readable(scope, deadline);
    if (woke != WakeReason::ready)
      co_return ReadResult::timeout;
    const ssize_t n = recv(io.fd(), buffer, sizeof buffer, 0);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && errno == EAGAIN) {
      // After a hang-up the flag would stay set; an empty socket then has nothing more to say.
      if (io.hung_up())
        co_return ReadResult::closed;
      io.drained();
      continue;
    }
    if (n <= 0) {
      if (n == 0 && parser.started)
        parser.feed(nullptr, 0);  // a body that ends with the connection
      co_return parser.complete ? ReadResult::message : ReadResult::closed;
    }
    if (static_cast<std::size_t>(n) < sizeof buffer)
      io.drained();
    const bool had_begun = parser.started;
    if (!parser.feed(buffer, static_cast<std::size_t>(n)))
      co_return ReadResult::bad;
    if (parser.started && !had_begun && std::isfinite(message_s))
      deadline = scope.loop().now() + message_s;
  }
  co_return ReadResult::message;
}

Task<bool> write_all(Socket& io, TaskScope& scope, std::string bytes, Seconds deadline) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(io.fd(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && errno == EAGAIN) {
      io.filled();
      const WakeReason woke = co_await io.wait_writable(scope, deadline);
      if (woke != WakeReason::ready)
        co_return false;
      continue;
    }
    co_return false;
  }
  co_return true;
}

}  // namespace wingtrail::net
