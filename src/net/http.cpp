#include "net/http.hpp"

#include <arpa/inet.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>

namespace wingtrail::net {
namespace {

constexpr std::size_t kChunk = 16UL * 1024;
constexpr std::size_t kIdlePerEndpoint = 8;
// Below the server's idle limit, so that it is the client that lets go first.
constexpr Seconds kKeepIdle = 45;

std::optional<sockaddr_in> address(const std::string& host, std::uint16_t port) {
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

// One message of either kind, fed by bytes.
struct Parser {
  http_parser parser{};
  http_parser_settings settings{};
  std::string target, body;
  std::size_t header_bytes = 0, max_header, max_body;
  bool complete = false, too_large = false, keep_alive = false, started = false;

  Parser(http_parser_type type, std::size_t header_limit, std::size_t body_limit)
      : max_header(header_limit), max_body(body_limit) {
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* p) {
      return self(p).begin();
    };
    settings.on_url = [](http_parser* p, const char* at, size_t n) {
      self(p).target.append(at, n);
      return self(p).count(n);
    };
    settings.on_header_field = [](http_parser* p, const char*, size_t n) {
      return self(p).count(n);
    };
    settings.on_header_value = [](http_parser* p, const char*, size_t n) {
      return self(p).count(n);
    };
    settings.on_body = [](http_parser* p, const char* at, size_t n) {
      return self(p).add(at, n);
    };
    settings.on_message_complete = [](http_parser* p) {
      self(p).complete = true;
      self(p).keep_alive = http_should_keep_alive(p) != 0;
      http_parser_pause(p, 1);  // one message at a time; nothing is pipelined
      return 0;
    };
    reset(type);
  }
  void reset(http_parser_type type) {
    http_parser_init(&parser, type);
    parser.data = this;
    target.clear();
    body.clear();
    header_bytes = 0;
    complete = too_large = keep_alive = started = false;
  }
  // False: this is not HTTP, or more of it than is allowed.
  bool feed(const char* data, std::size_t n) {
    const std::size_t used = http_parser_execute(&parser, &settings, data, n);
    if (complete)
      return used == n || HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED;
    return HTTP_PARSER_ERRNO(&parser) == HPE_OK;
  }
  static Parser& self(http_parser* p) {
    return *static_cast<Parser*>(p->data);
  }
  int begin() {
    started = true;
    return 0;
  }
  int count(std::size_t n) {
    return (header_bytes += n) > max_header ? 1 : 0;
  }
  int add(const char* at, std::size_t n) {
    if (body.size() + n > max_body) {
      too_large = true;
      return 1;
    }
    body.append(at, n);
    return 0;
  }
};

enum class Got : std::uint8_t { message, closed, bad, timeout };

// `first_byte` is the deadline until a message begins; from then on it has `message_s` more.
Task<Got> read_message(Socket& io, TaskScope& scope, Parser& parser, Seconds first_byte, Seconds message_s) {
  // One buffer for all routines: nothing is kept in it across a wait, and a frame of its own for each of a
  // thousand idle connections would be many megabytes.
  static thread_local char buffer[kChunk];
  Seconds deadline = first_byte;
  while (!parser.complete) {
    const WakeReason woke = co_await io.wait_readable(scope, deadline);
    if (woke != WakeReason::ready)
      co_return Got::timeout;
    const ssize_t n = recv(io.fd(), buffer, sizeof buffer, 0);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && errno == EAGAIN) {
      // After a hang-up the flag would stay set; an empty socket then has nothing more to say.
      if (io.hung_up())
        co_return Got::closed;
      io.drained();
      continue;
    }
    if (n <= 0) {
      if (n == 0 && parser.started)
        parser.feed(nullptr, 0);  // a body that ends with the connection
      co_return parser.complete ? Got::message : Got::closed;
    }
    if (static_cast<std::size_t>(n) < sizeof buffer)
      io.drained();
    const bool had_begun = parser.started;
    if (!parser.feed(buffer, static_cast<std::size_t>(n)))
      co_return Got::bad;
    if (parser.started && !had_begun && std::isfinite(message_s))
      deadline = scope.loop().now() + message_s;
  }
  co_return Got::message;
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

std::string render(const Response& r, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(r.status) + " " + reason_phrase(r.status) + "\r\n";
  if (!r.body.empty())
    out += "Content-Type: " + r.content_type + "\r\n";
  if (r.retry_after_s)
    out += "Retry-After: " + std::to_string(*r.retry_after_s) + "\r\n";
  if (!keep_alive)
    out += "Connection: close\r\n";
  out += "Content-Length: " + std::to_string(r.body.size()) + "\r\n\r\n";
  return out + r.body;
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
  const std::string where = host_ + ":" + std::to_string(port_);
  auto sa = address(host_, port_);
  if (!sa)
    return where + ": not an IPv4 address";
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return where + ": " + std::strerror(errno);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, reinterpret_cast<sockaddr*>(&*sa), sizeof *sa) != 0 || ::listen(fd, 512) != 0) {
    std::string why = where + ": " + std::strerror(errno);
    ::close(fd);
    return why;
  }
  listener_ = std::make_unique<Socket>(scope_.loop(), fd);
  accept_loop();
  return std::nullopt;
}

DetachedTask HttpServer::accept_loop() {
  while (!scope_.cancelled()) {
    const int fd = accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      // Beyond the bounds a connection is refused at once, which sends its user to another node.
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
    if (errno != EAGAIN) {  // out of descriptors: those in use will come free
      co_await Sleep(scope_, scope_.loop().now() + 0.1);
      continue;
    }
    listener_->drained();
    co_await listener_->wait_readable(scope_, INFINITY);
  }
}

DetachedTask HttpServer::serve(int fd) {
  ++open_;
  Socket io(scope_.loop(), fd);
  Parser parser(HTTP_REQUEST, limits_.max_header, limits_.max_body);
  while (!scope_.cancelled()) {
    parser.reset(HTTP_REQUEST);
    const Got got =
        co_await read_message(io, scope_, parser, scope_.loop().now() + limits_.idle_s, limits_.request_s);
    if (got != Got::message) {
      if (got == Got::bad) {
        Response refusal;
        refusal.status = parser.too_large ? 413 : 400;
        co_await write_all(io, scope_, render(refusal, false), scope_.loop().now() + limits_.request_s);
      }
      break;
    }
    Request request{http_method_str(static_cast<http_method>(parser.parser.method)), std::move(parser.target),
                    std::move(parser.body)};
    const Response response = co_await handler_(std::move(request));
    if (scope_.cancelled())
      break;
    // Health checks and users get their answers even when every socket that may stay is taken.
    const bool keep = parser.keep_alive && open_ <= limits_.max_connections;
    const bool written =
        co_await write_all(io, scope_, render(response, keep), scope_.loop().now() + limits_.request_s);
    if (!written || !keep)
      break;
  }
  --open_;
}

Task<std::unique_ptr<Socket>> HttpClient::connect(const std::string& host, std::uint16_t port,
                                                  Seconds deadline) {
  auto sa = address(host, port);
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
  if (same.size() >= kIdlePerEndpoint)
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
    if (!io->hung_up() && !io->readable() && idle < kKeepIdle)
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
  struct Leave {
    std::size_t& n;
    ~Leave() {
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
  Parser parser(HTTP_RESPONSE, kChunk, max_body_);
  const Got got = co_await read_message(*io, scope_, parser, deadline, INFINITY);
  if (got != Got::message)
    co_return out;
  out.status = static_cast<int>(parser.parser.status_code);
  out.body = std::move(parser.body);
  if (parser.keep_alive)
    keep(key, std::move(io));
  co_return out;
}

}  // namespace wingtrail::net
