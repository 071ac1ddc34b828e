#include "net/http_client.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>

#include "net/http_connection.hpp"

namespace wingtrail::net {
namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 8;
// Below the server's idle limit, so that it is the client that closes first.
constexpr Seconds kMaxIdleS = 45;

}  // namespace

Task<std::unique_ptr<Socket>> HttpClient::connect(const std::string& host, std::uint16_t port,
                                                  Seconds deadline) {
  auto sa = ipv4_address(host, port);
  if (!sa)
    co_return nullptr;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    co_return nullptr;
  set_nodelay(fd);
  const int rc = ::connect(fd, reinterpret_cast<sockaddr*>(&*sa), sizeof *sa);
  if (rc != 0 && errno != EINPROGRESS) {
    ::close(fd);
    co_return nullptr;
  }
  auto io = std::make_unique<Socket>(scope_.loop(), fd);
  if (rc != 0) {
    const WakeReason woke = co_await io->wait_writable(scope_, deadline);
    int error = 0;
    socklen_t len = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
    if (woke != WakeReason::ready || error != 0)
      co_return nullptr;
  }
  co_return io;
}

void HttpClient::drop(IdleList::iterator it) {
  auto same = idle_by_key_.find(it->key);
  std::erase(same->second, it);
  if (same->second.empty())
    idle_by_key_.erase(same);
  idle_.erase(it);
}

void HttpClient::keep(const std::string& key, std::unique_ptr<Socket> io) {
  auto& same = idle_by_key_[key];
  if (same.size() >= kMaxIdlePerEndpoint)
    return;
  idle_.push_back({key, std::move(io), scope_.loop().now()});
  same.push_back(std::prev(idle_.end()));
}

std::unique_ptr<Socket> HttpClient::reuse(const std::string& key) {
  for (auto it = idle_by_key_.find(key); it != idle_by_key_.end(); it = idle_by_key_.find(key)) {
    const auto last = it->second.back();
    std::unique_ptr<Socket> io = std::move(last->io);
    const Seconds idle = scope_.loop().now() - last->since;
    drop(last);
    // A connection that became readable while idle was closed by the other side.
    if (!io->hung_up() && !io->readable() && idle < kMaxIdleS)
      return io;
  }
  return nullptr;
}

Task<CallResult> HttpClient::call(std::string host, std::uint16_t port, Request request,
                                  std::string content_type, Seconds deadline, Seconds not_after) {
  CallResult out;
  out.delivered = false;
  if (open_ >= max_connections_)
    co_return out;
  ++open_;
  struct CallGuard {
    std::size_t& n;
    ~CallGuard() {
      --n;
    }
  } leave{open_};
  const std::string key = host + ":" + std::to_string(port);
  std::unique_ptr<Socket> io = reuse(key);
  while (!idle_.empty() && open_ + idle_.size() > max_connections_)
    drop(idle_.begin());
  if (!io)
    io = co_await connect(host, port, deadline);
  if (!io || scope_.cancelled())
    co_return out;
  if (std::isfinite(not_after) && scope_.loop().refresh() >= not_after)
    co_return out;
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + key + "\r\n";
  if (!request.body.empty())
    head += "Content-Type: " + content_type + "\r\n";
  if (!request.body.empty() || request.method == "POST") {
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  out.delivered = true;
  const bool written = co_await write_all(*io, scope_, head + "\r\n" + request.body, deadline);
  if (!written)
    co_return out;
  HttpParser parser(HTTP_RESPONSE, kReadChunkBytes, max_body_);
  const ReadResult result = co_await read_message(*io, scope_, parser, deadline, INFINITY);
  if (result != ReadResult::message)
    co_return out;
  out.status = static_cast<int>(parser.parser.status_code);
  out.body = std::move(parser.body);
  if (parser.keep_alive)
    keep(key, std::move(io));
  co_return out;
}

}  // namespace wingtrail::net
