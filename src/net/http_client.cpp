#include "net/http_client.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>

#include "net/http_connection.hpp"

namespace wingtrail::net {
namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 8;
// Below the default of ServerLimits::idle_s, so that the client closes an idle connection before the server
// does.
constexpr Seconds kMaxIdleS = 45;

}  // namespace

Task<std::unique_ptr<Socket>> HttpClient::connect(const std::string& host, std::uint16_t port,
                                                  Seconds deadline) {
  auto address = ipv4_address(host, port);
  if (!address)
    co_return nullptr;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    co_return nullptr;
  set_nodelay(fd);
  const int result = ::connect(fd, reinterpret_cast<sockaddr*>(&*address), sizeof *address);
  if (result != 0 && errno != EINPROGRESS) {
    ::close(fd);
    co_return nullptr;
  }
  auto connection = std::make_unique<Socket>(scope_.loop(), fd);
  if (result != 0) {
    const WakeReason reason = co_await connection->wait_writable(scope_, deadline);
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (reason != WakeReason::ready || error != 0)
      co_return nullptr;
  }
  co_return connection;
}

void HttpClient::remove_idle(IdleList::iterator it) {
  auto same = idle_by_endpoint_.find(it->endpoint);
  std::erase(same->second, it);
  if (same->second.empty())
    idle_by_endpoint_.erase(same);
  idle_.erase(it);
}

void HttpClient::keep_idle(const std::string& endpoint, std::unique_ptr<Socket> socket) {
  auto& same = idle_by_endpoint_[endpoint];
  if (same.size() >= kMaxIdlePerEndpoint)
    return;
  idle_.push_back({endpoint, std::move(socket), scope_.loop().now()});
  same.push_back(std::prev(idle_.end()));
}

std::unique_ptr<Socket> HttpClient::take_idle(const std::string& endpoint) {
  for (auto it = idle_by_endpoint_.find(endpoint); it != idle_by_endpoint_.end();
       it = idle_by_endpoint_.find(endpoint)) {
    const auto last = it->second.back();
    std::unique_ptr<Socket> socket = std::move(last->socket);
    const Seconds idle_s = scope_.loop().now() - last->idle_since;
    remove_idle(last);
    // An idle connection becomes readable only when the server closes it or sends unrequested data.
    if (!socket->hung_up() && !socket->readable() && idle_s < kMaxIdleS)
      return socket;
  }
  return nullptr;
}

Task<CallResult> HttpClient::call(std::string host, std::uint16_t port, Request request,
                                  std::string content_type, Seconds deadline, Seconds not_after) {
  CallResult outcome;
  outcome.delivered = false;
  if (active_calls_ >= max_connections_)
    co_return outcome;
  ++active_calls_;
  struct ActiveCallGuard {
    std::size_t& count;
    ~ActiveCallGuard() {
      --count;
    }
  } guard{active_calls_};
  const std::string endpoint = host + ":" + std::to_string(port);
  std::unique_ptr<Socket> connection = take_idle(endpoint);
  while (!idle_.empty() && active_calls_ + idle_.size() > max_connections_)
    remove_idle(idle_.begin());
  if (!connection)
    connection = co_await connect(host, port, deadline);
  if (!connection || scope_.cancelled())
    co_return outcome;
  if (std::isfinite(not_after) && scope_.loop().refresh() >= not_after)
    co_return outcome;
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + endpoint + "\r\n";
  if (!request.body.empty())
    head += "Content-Type: " + content_type + "\r\n";
  if (!request.body.empty() || request.method == "POST") {
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  outcome.delivered = true;
  const bool written = co_await write_all(*connection, scope_, head + "\r\n" + request.body, deadline);
  if (!written)
    co_return outcome;
  HttpParser parser(HTTP_RESPONSE, kReadChunkBytes, max_body_);
  const ReadResult result = co_await read_message(*connection, scope_, parser, deadline, INFINITY);
  if (result != ReadResult::message)
    co_return outcome;
  outcome.status = static_cast<int>(parser.parser.status_code);
  outcome.body = std::move(parser.body);
  if (parser.keep_alive)
    keep_idle(endpoint, std::move(connection));
  co_return outcome;
}

}  // namespace wingtrail::net
