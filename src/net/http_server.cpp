#include "net/http_server.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstring>

#include "net/http_connection.hpp"

namespace wingtrail::net {
namespace {

constexpr int kListenBacklog = 512;  // connections
constexpr Seconds kAcceptRetryS = 0.1;

std::string render(const Response& response, bool keep_alive) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) + "\r\n";
  if (!response.body.empty())
    text += "Content-Type: " + response.content_type + "\r\n";
  if (response.retry_after_s)
    text += "Retry-After: " + std::to_string(*response.retry_after_s) + "\r\n";
  if (!keep_alive)
    text += "Connection: close\r\n";
  text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
  return text + response.body;
}

}  // namespace

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

HttpServer::HttpServer(TaskScope& scope, std::string host, std::uint16_t port, ServerLimits limits,
                       Handler handler)
    : scope_(scope), host_(std::move(host)), port_(port), limits_(limits), handler_(std::move(handler)) {}

std::optional<std::string> HttpServer::listen() {
  const std::string endpoint = host_ + ":" + std::to_string(port_);
  auto address = ipv4_address(host_, port_);
  if (!address)
    return endpoint + ": not an IPv4 address";
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return endpoint + ": " + std::strerror(errno);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(fd, reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 ||
      ::listen(fd, kListenBacklog) != 0) {
    std::string error = endpoint + ": " + std::strerror(errno);
    ::close(fd);
    return error;
  }
  listener_ = std::make_unique<Socket>(scope_.loop(), fd);
  accept_loop();
  return std::nullopt;
}

DetachedTask HttpServer::accept_loop() {
  while (!scope_.cancelled()) {
    const int fd = accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      // Closing a connection beyond the limits at once makes its user try another controller.
      if (open_ >= limits_.max_connections + limits_.spare) {
        ::close(fd);
      } else {
        set_nodelay(fd);
        serve(fd);
      }
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (errno != EAGAIN) {  // out of file descriptors or memory, until connections are closed
      co_await Sleep(scope_, scope_.loop().now() + kAcceptRetryS);
      continue;
    }
    listener_->mark_not_readable();
    co_await listener_->wait_readable(scope_, INFINITY);
  }
}

DetachedTask HttpServer::serve(int fd) {
  ++open_;
  Socket socket(scope_.loop(), fd);
  HttpParser parser(HTTP_REQUEST, limits_.max_header, limits_.max_body);
  while (!scope_.cancelled()) {
    parser.reset(HTTP_REQUEST);
    const ReadResult result = co_await read_message(socket, scope_, parser,
                                                    scope_.loop().now() + limits_.idle_s, limits_.request_s);
    if (result != ReadResult::message) {
      if (result == ReadResult::bad) {
        Response refusal;
        refusal.status = parser.too_large ? 413 : 400;
        co_await write_all(socket, scope_, render(refusal, false), scope_.loop().now() + limits_.request_s);
      }
      break;
    }
    Request request{http_method_str(static_cast<http_method>(parser.parser.method)), std::move(parser.target),
                    std::move(parser.body)};
    const Response response = co_await handler_(std::move(request));
    if (scope_.cancelled())
      break;
    // Beyond the limit, health checks and users still get a response, but the connection is closed after it.
    const bool keep_alive = parser.keep_alive && open_ <= limits_.max_connections;
    const bool written = co_await write_all(socket, scope_, render(response, keep_alive),
                                            scope_.loop().now() + limits_.request_s);
    if (!written || !keep_alive)
      break;
  }
  --open_;
}

}  // namespace wingtrail::net
