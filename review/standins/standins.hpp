// Stand-ins for the platform around wingtrail (state service, cloud, workers) and a small HTTP client and server, for the
// cases of this review. They follow the protocol page; where it is silent they behave like a sound server or client. All
// addresses are on the loopback interface. Header only; each case is one program.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Seconds since the start of the case.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_s(double s) {
  if (s > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline double random_between(double low, double high) {
  static thread_local std::mt19937_64 engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(low, high)(engine);
}

// Writes what was sent, answered and run, one line each, with the time.
class Record {
 public:
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    for (FILE* out : {file_, stdout}) {
      if (!out)
        continue;
      std::fprintf(out, "%8.3f  %s\n", now(), text);
      std::fflush(out);
    }
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
inline Record& record() {
  static Record instance;
  return instance;
}

// ---------------------------------------------------------------- HTTP

struct Request {
  std::string method, path, query, body;
};
struct Response {
  int status = 200;
  std::string body;
  bool close = false;
};

inline std::string to_cbor(const Json& value) {
  const auto bytes = Json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}
inline Json from_cbor(const std::string& bytes) {
  Json value = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  return value.is_discarded() ? Json() : value;
}
inline Response answer(int status, const Json& body = Json()) {
  return {status, body.is_null() ? "" : to_cbor(body)};
}

// Reads one message. `first` gets the request or status line. Returns false at the end of the connection, at the
// deadline (in s of now()), or if the message is malformed.
inline bool read_message(int fd, double deadline, std::string& first, std::string& body, bool& close_after) {
  std::string data;
  std::size_t header_end = std::string::npos;
  std::size_t length = 0;
  char buffer[16384];
  while (true) {
    if (header_end == std::string::npos) {
      header_end = data.find("\r\n\r\n");
      if (header_end != std::string::npos) {
        std::istringstream head(data.substr(0, header_end));
        std::string row;
        std::getline(head, first);
        while (!first.empty() && first.back() == '\r')
          first.pop_back();
        close_after = false;
        while (std::getline(head, row)) {
          for (char& c : row)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
          if (row.rfind("content-length:", 0) == 0)
            length = std::strtoull(row.c_str() + 15, nullptr, 10);
          if (row.rfind("connection:", 0) == 0 && row.find("close") != std::string::npos)
            close_after = true;
        }
        header_end += 4;
      }
    }
    if (header_end != std::string::npos && data.size() >= header_end + length) {
      body = data.substr(header_end, length);
      return true;
    }
    const double left = deadline - now();
    if (left <= 0)
      return false;
    pollfd waiting{fd, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1) <= 0)
      continue;
    const ssize_t got = recv(fd, buffer, sizeof buffer, 0);
    if (got <= 0)
      return false;
    data.append(buffer, static_cast<std::size_t>(got));
  }
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}
inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}
inline void no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// A port that the kernel gives to nobody else for the time of the case: the socket stays bound, without listening.
inline std::uint16_t reserve_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    return 0;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline std::string address_of(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// One thread for each connection. A handler that returns nothing closes the connection without an answer.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;
  explicit Server(Handler handler, std::uint16_t port = 0) : handler_(std::move(handler)) {
    port_ = port ? port : reserve_port();
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port_);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(listener_, 256) != 0) {
      record().line("a stand-in cannot listen: %s", std::strerror(errno));
      std::exit(2);
    }
    std::thread([this] { accept_all(); }).detach();
  }
  std::uint16_t port() const {
    return port_;
  }

 private:
  void accept_all() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleep_s(0.01);
        continue;
      }
      no_delay(fd);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string first, body;
    bool close_after = false;
    while (read_message(fd, now() + 300, first, body, close_after)) {
      Request request;
      std::istringstream line(first);
      std::string target;
      line >> request.method >> target;
      const auto mark = target.find('?');
      request.path = target.substr(0, mark);
      request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
      request.body = body;
      const auto response = handler_(request);
      if (!response)
        break;
      const std::string head = "HTTP/1.1 " + std::to_string(response->status) +
                               " S\r\nContent-Type: application/cbor\r\nContent-Length: " +
                               std::to_string(response->body.size()) + "\r\n\r\n";
      if (!write_all(fd, head + response->body) || close_after)
        break;
    }
    close(fd);
  }
  Handler handler_;
  std::uint16_t port_;
  int listener_;
};

// One request on a connection of its own. Status 0: no connection, or no answer in time.
struct Reply {
  int status = 0;
  Json body;
};
inline Reply call_raw(std::uint16_t port, const std::string& method, const std::string& target, const std::string& body,
                      double timeout) {
  const double deadline = now() + timeout;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return {};
  no_delay(fd);
  sockaddr_in address = loopback(port);
  Reply reply;
  const int connected = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  bool open = connected == 0;
  if (connected != 0 && errno == EINPROGRESS) {
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    open = poll(&waiting, 1, static_cast<int>(timeout * 1000)) == 1 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  }
  if (open) {
    fcntl(fd, F_SETFL, 0);
    std::string head = method + " " + target + " HTTP/1.1\r\nHost: " + address_of(port) + "\r\n";
    if (!body.empty() || method == "POST")
      head += "Content-Type: application/cbor\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    head += "Connection: close\r\n\r\n";
    std::string first, answered;
    bool close_after = false;
    if (write_all(fd, head + body) && read_message(fd, deadline, first, answered, close_after)) {
      std::istringstream line(first);
      std::string version;
      line >> version >> reply.status;
      reply.body = answered.empty() ? Json() : from_cbor(answered);
    }
  }
  close(fd);
  return reply;
}
inline Reply call(std::uint16_t port, const std::string& method, const std::string& target, const Json& body, double timeout) {
  return call_raw(port, method, target, body.is_null() ? "" : to_cbor(body), timeout);
}
inline std::string query_field(const std::string& query, const std::string& name) {
  std::istringstream parts(query);
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) != 0)
      continue;
    std::string out;
    for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        out += static_cast<char>(std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += part[i];
      }
    }
    return out;
  }
  return "";
}

// ---------------------------------------------------------------- state service

struct StateLimits {
  double rps = 120, write_rps = 30, value_kb = 8;
  std::size_t txn_ops = 12;
};

// One port for each controller, so that a single controller can be refused.
class StateService {
 public:
  explicit StateService(std::size_t nodes, StateLimits limits = {}) : limits_(limits), refused_(nodes) {
    for (std::size_t i = 0; i < nodes; ++i) {
      refused_[i] = false;
      servers_.push_back(std::make_unique<Server>([this, i](const Request& r) { return handle(i, r); }));
    }
    std::thread([this] {
      while (true) {
        sleep_s(0.01);
        expire();
      }
    }).detach();
  }
  std::uint16_t port(std::size_t node) const {
    return servers_[node]->port();
  }
  // 503 for this controller alone.
  void refuse(std::size_t node, bool refused) {
    refused_[node] = refused;
  }
  // 503 for all. All leases have their full time again afterwards.
  void outage(bool on) {
    const std::lock_guard lock(mutex_);
    out_ = on;
    for (auto& [id, lease] : leases_)
      lease.ends = now() + lease.ttl;
    changed_.notify_all();
  }
  // Each answer is sent this much later.
  std::atomic<double> delay_s{0};
  // Called with the mutex held for each transaction before it is applied; decides what becomes of it.
  enum class Fate { normal, answer_lost, applied_late };
  std::function<Fate(std::size_t node, const Json& transaction)> fate;
  std::optional<Json> value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = items_.find(key);
    return it == items_.end() ? std::nullopt : std::optional(it->second.data);
  }
  std::vector<std::string> keys(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it)
      found.push_back(it->first);
    return found;
  }
  std::string leader() {
    const auto lead = value("lead");
    return lead ? lead->value("node", "") : "";
  }

 private:
  struct Item {
    Json data;
    std::uint64_t stamp = 0, permit = 0;
  };
  struct Event {
    std::uint64_t revision;
    std::string key;
    bool deleted;
    Json data;
  };
  struct Lease {
    double ttl = 0, ends = 0;
  };
  struct Bucket {
    double tokens = -1, at = 0;
    bool take(double amount, double rate) {
      if (tokens < 0)
        tokens = rate;
      tokens = std::min(rate, tokens + (now() - at) * rate);
      at = now();
      if (tokens < amount)
        return false;
      tokens -= amount;
      return true;
    }
  };

  std::optional<Response> handle(std::size_t node, const Request& r) {
    if (refused_[node] || out_)
      return answer(503, {{"error", "unavailable"}});
    sleep_s(delay_s);
    std::unique_lock lock(mutex_);
    if (!requests_.take(1, limits_.rps))
      return answer(429, {{"error", "too many requests"}});
    if (r.method == "GET" && r.path.rfind("/kv/", 0) == 0) {
      const std::string key = r.path.substr(4);
      const auto it = items_.find(key);
      if (it == items_.end())
        return answer(404, {{"ledgerRev", revision_}});
      Json body{{"path", key}, {"data", it->second.data}, {"stamp", it->second.stamp}};
      if (it->second.permit)
        body["permit"] = it->second.permit;
      return answer(200, body);
    }
    if (r.method == "GET" && r.path == "/kv")
      return list(r);
    if (r.method == "GET" && r.path == "/follow")
      return follow(node, r, lock);
    if (r.method == "POST" && r.path == "/txn")
      return transact(node, from_cbor(r.body), lock);
    if (r.method == "POST" && r.path == "/leases") {
      const Json body = from_cbor(r.body);
      const double ttl = body.value("ttlMs", 0.0) / 1000;
      if (ttl < 0.1 || ttl > 600)
        return answer(400, {{"error", "ttlMs"}});
      leases_[++last_lease_] = {ttl, now() + ttl};
      return answer(200, {{"permit", last_lease_}});
    }
    if (r.path.rfind("/leases/", 0) == 0) {
      const std::uint64_t id = std::strtoull(r.path.c_str() + 8, nullptr, 10);
      const auto it = leases_.find(id);
      if (it == leases_.end())
        return answer(404, {{"error", "no such lease"}});
      if (r.method == "DELETE")
        end_lease(id);
      else
        it->second.ends = now() + it->second.ttl;
      return answer(200, {{"permit", id}});
    }
    return answer(400, {{"error", "malformed"}});
  }

  Response list(const Request& r) {
    const std::string prefix = query_field(r.query, "prefix"), after = query_field(r.query, "after");
    const std::string raw_most = query_field(r.query, "most");
    const std::size_t most = std::min<std::size_t>(1000, raw_most.empty() ? 1000 : std::strtoul(raw_most.c_str(), nullptr, 10));
    Json items = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      if (!after.empty() && it->first <= after)
        continue;
      bytes += it->second.data.dump().size() + it->first.size() + 40;
      if (items.size() >= most || bytes > 512 * 1024) {
        more = true;
        break;
      }
      items.push_back({{"path", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}});
    }
    return answer(200, {{"items", items}, {"more", more}, {"ledgerRev", revision_}});
  }

  std::optional<Response> follow(std::size_t node, const Request& r, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = query_field(r.query, "prefix");
    const std::uint64_t after = std::strtoull(query_field(r.query, "after").c_str(), nullptr, 10);
    const double until = now() + std::min(60000.0, std::strtod(query_field(r.query, "holdMs").c_str(), nullptr)) / 1000;
    while (true) {
      if (!out_ && !refused_[node]) {
        if (after < forgotten_)
          return answer(410, {{"error", "too old"}});
        Json events = Json::array();
        for (const Event& e : history_) {
          if (e.revision <= after || e.key.rfind(prefix, 0) != 0)
            continue;
          e.deleted ? events.push_back({{"delete", e.key}, {"stamp", e.revision}})
                    : events.push_back({{"put", e.key}, {"data", e.data}, {"stamp", e.revision}});
        }
        if (!events.empty() || now() >= until)
          return answer(200, {{"ledgerRev", revision_}, {"events", events}});
      }
      changed_.wait_for(lock, std::chrono::duration<double>(std::clamp(until - now(), 0.001, 0.1)));
    }
  }

  std::optional<Response> transact(std::size_t node, const Json& txn, std::unique_lock<std::mutex>& lock) {
    if (!txn.is_object())
      return answer(400, {{"error", "malformed"}});
    const Fate become = fate ? fate(node, txn) : Fate::normal;
    if (become == Fate::applied_late) {
      lock.unlock();
      const double at = now() + random_between(2, 12);
      std::thread([this, txn, at] {
        sleep_s(at - now());
        const std::lock_guard late(mutex_);
        if (!out_)
          apply(txn);
      }).detach();
      sleep_s(5);
      return std::nullopt;
    }
    Response response = apply(txn);
    if (become == Fate::answer_lost) {
      lock.unlock();
      sleep_s(5);
      return std::nullopt;
    }
    return response;
  }

  Response apply(const Json& txn) {
    const Json empty = Json::array();
    const Json& conditions = txn.contains("if") ? txn["if"] : empty;
    const Json& changes = txn.contains("apply") ? txn["apply"] : empty;
    if (changes.size() > limits_.txn_ops || conditions.size() > 4 * limits_.txn_ops || txn.dump().size() > 64 * 1024)
      return answer(400, {{"error", "too large"}});
    for (const Json& change : changes) {
      if (change.contains("put") && change["data"].dump().size() > limits_.value_kb * 1024)
        return answer(400, {{"error", "value too large"}});
    }
    if (!changes.empty() && !writes_.take(static_cast<double>(changes.size()), limits_.write_rps))
      return answer(429, {{"error", "too many changes"}});
    Json failed = Json::array();
    for (const Json& condition : conditions) {
      const auto it = items_.find(condition["path"].get<std::string>());
      if ((it == items_.end() ? 0 : it->second.stamp) != condition["stamp"].get<std::uint64_t>())
        failed.push_back(condition["path"]);
    }
    for (const Json& change : changes) {
      if (change.contains("put") && change.contains("permit") && !change["permit"].is_null() &&
          !leases_.contains(change["permit"].get<std::uint64_t>()))
        return answer(400, {{"error", "no such lease"}});
    }
    if (!failed.empty())
      return answer(409, {{"failed", failed}, {"ledgerRev", revision_}});
    if (changes.empty())
      return answer(200, {{"ledgerRev", revision_}});
    ++revision_;
    for (const Json& change : changes) {
      if (change.contains("put")) {
        const std::string key = change["put"];
        const std::uint64_t permit =
            change.contains("permit") && !change["permit"].is_null() ? change["permit"].get<std::uint64_t>() : 0;
        items_[key] = {change["data"], revision_, permit};
        note({revision_, key, false, change["data"]});
      } else {
        erase(change["delete"]);
      }
    }
    changed_.notify_all();
    return answer(200, {{"ledgerRev", revision_}});
  }
  void erase(const std::string& key) {
    if (items_.erase(key))
      note({revision_, key, true, Json()});
  }
  void note(Event event) {
    history_.push_back(std::move(event));
    while (history_.size() > 10'000) {
      forgotten_ = history_.front().revision;
      history_.pop_front();
    }
  }
  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> attached;
    for (const auto& [key, item] : items_) {
      if (item.permit == id)
        attached.push_back(key);
    }
    if (attached.empty())
      return;
    ++revision_;
    for (const std::string& key : attached)
      erase(key);
    changed_.notify_all();
  }
  void expire() {
    const std::lock_guard lock(mutex_);
    if (out_)
      return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_) {
      if (now() >= lease.ends + 0.005)
        over.push_back(id);
    }
    for (const std::uint64_t id : over)
      end_lease(id);
  }

  StateLimits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 0, forgotten_ = 0, last_lease_ = 0;
  std::atomic<bool> out_{false};
  std::vector<std::atomic<bool>> refused_;
  Bucket requests_, writes_;
  std::vector<std::unique_ptr<Server>> servers_;
};

// ---------------------------------------------------------------- jobs, workers, cloud

struct MachineType {
  std::string name = "kast-16";
  double cores = 16, mem_gb = 64, cache_gb = 70, fetch_gb_per_s = 0.6, rate = 1.11, market = 0.48, boot_s = 35;
};

// What users upload, and what really happened to the tasks.
class World {
 public:
  void add_job(const Json& spec, double run_s) {
    const std::lock_guard lock(mutex_);
    jobs_[spec["ref"]] = {spec, run_s, {}};
  }
  std::optional<Json> spec(const std::string& ref) {
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(ref);
    return it == jobs_.end() ? std::nullopt : std::optional(it->second.spec);
  }
  double run_s(const std::string& ref) {
    const std::lock_guard lock(mutex_);
    return jobs_[ref].run_s;
  }
  bool is_done(const std::string& shard) {
    const std::lock_guard lock(mutex_);
    return done_.contains(shard);
  }
  void began(const std::string& host, const std::string& shard, std::uint64_t attempt) {
    const std::lock_guard lock(mutex_);
    record().line("worker %s: task %s runs, attempt %llu", host.c_str(), shard.c_str(),
                  static_cast<unsigned long long>(attempt));
    for (const std::string& other : on_[shard]) {
      if (other != host) {
        record().line("RULE ran_twice: %s starts on %s while it is on %s", shard.c_str(), host.c_str(), other.c_str());
        ++ran_twice;
      }
    }
    on_[shard].insert(host);
    ++starts;
  }
  void ended(const std::string& host, const std::string& shard, const std::string& cause) {
    const std::lock_guard lock(mutex_);
    if (on_[shard].erase(host) == 0)
      return;
    record().line("worker %s: task %s over, %s", host.c_str(), shard.c_str(), cause.c_str());
    if (cause == "done")
      done_.insert(shard);
  }
  std::size_t running(const std::string& ref) {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [shard, hosts] : on_)
      count += shard.rfind(ref + "/", 0) == 0 && !hosts.empty();
    return count;
  }
  std::size_t done(const std::string& ref) {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& shard : done_)
      count += shard.rfind(ref + "/", 0) == 0;
    return count;
  }
  std::atomic<int> ran_twice{0}, starts{0};

 private:
  struct Job {
    Json spec;
    double run_s = 0;
    std::set<int> unused;
  };
  std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, std::set<std::string>> on_;
  std::set<std::string> done_;
};

struct WorkerSettings {
  double report_s = 3, lease_s = 27;
};

class Worker {
 public:
  Worker(World& world, WorkerSettings settings, const MachineType& type, std::string host, std::string hall, bool standby,
         std::map<std::string, std::uint16_t> nodes)
      : world_(world),
        settings_(settings),
        type_(type),
        host_(std::move(host)),
        hall_(std::move(hall)),
        standby_(standby),
        nodes_(std::move(nodes)),
        server_([this](const Request& r) { return commands(r); }) {
    node_ = nodes_.begin();
    std::advance(node_, static_cast<long>(random_between(0, static_cast<double>(nodes_.size()) - 0.001)));
    renewed_at_ = now();
    std::thread([this] { run(); }).detach();
  }
  std::string address() const {
    return address_of(server_.port());
  }
  const std::string& host() const {
    return host_;
  }
  // The machine is gone with all that is on it.
  void destroy() {
    const std::lock_guard lock(mutex_);
    gone_ = true;
    drop_all("gone");
  }

 private:
  struct Task {
    std::string shard;
    std::uint64_t attempt = 0;
    std::string phase = "pulling", cause;
    double ready_at = 0, ends_at = 0, cores = 0, mem_gb = 0;
    std::string image;
  };

  void drop_all(const char* why) {
    for (const Task& task : tasks_)
      world_.ended(host_, task.shard, why);
    tasks_.clear();
  }
  void check_lease() {
    if (now() - renewed_at_ <= settings_.lease_s)
      return;
    record().line("worker %s: its lease is over", host_.c_str());
    drop_all("killed");
    ++tenure_;
    renewed_at_ = now();
    changed_ = true;
  }
  void advance() {
    for (Task& task : tasks_) {
      if (task.phase == "pulling" && now() >= task.ready_at) {
        images_.insert(task.image);
        task.phase = "running";
        changed_ = true;
        world_.began(host_, task.shard, task.attempt);
        const std::string ref = task.shard.substr(0, task.shard.rfind('/'));
        const auto spec = world_.spec(ref);
        task.ends_at = (*spec)["shape"] == "standing" ? 1e18
                       : world_.is_done(task.shard)   ? now()
                                                      : now() + world_.run_s(ref);
      }
      if (task.phase == "running" && now() >= task.ends_at) {
        task.phase = "exited";
        task.cause = "done";
        changed_ = true;
        world_.ended(host_, task.shard, "done");
      }
    }
  }
  Json report() {
    Json shards = Json::array();
    for (const Task& task : tasks_) {
      Json entry{{"shard", task.shard}, {"try", task.attempt}, {"phase", task.phase}};
      if (task.phase == "exited")
        entry["cause"] = task.cause;
      shards.push_back(std::move(entry));
    }
    return {{"host", host_},       {"addr", address()},      {"flavour", type_.name}, {"hall", hall_},
            {"standby", standby_}, {"tenure", tenure_},      {"counter", ++counter_}, {"mandate", mandate_},
            {"reclaimInS", Json()}, {"shards", std::move(shards)}};
  }
  void execute(const Json& orders) {
    for (const Json& order : orders) {
      const std::string verb = order.value("verb", ""), shard = order.value("shard", "");
      const std::uint64_t attempt = order.value("try", std::uint64_t{0});
      const auto it = std::find_if(tasks_.begin(), tasks_.end(),
                                   [&](const Task& t) { return t.shard == shard && t.attempt == attempt; });
      record().line("worker %s: %s %s attempt %llu", host_.c_str(), verb.c_str(), shard.c_str(),
                    static_cast<unsigned long long>(attempt));
      changed_ = true;
      if (verb == "reap") {
        if (it != tasks_.end() && it->phase == "exited")
          tasks_.erase(it);
      } else if (verb == "halt") {
        if (it != tasks_.end() && it->phase != "exited") {
          it->phase = "exited";
          it->cause = "halted";
          world_.ended(host_, shard, "halted");
        }
      } else if (verb == "start" && it == tasks_.end()) {
        start(shard, attempt);
      }
    }
  }
  void start(const std::string& shard, std::uint64_t attempt) {
    Task task;
    task.shard = shard;
    task.attempt = attempt;
    const auto spec = world_.spec(shard.substr(0, shard.rfind('/')));
    const auto refuse = [&](const char* why) {
      task.phase = "exited";
      task.cause = why;
      tasks_.push_back(task);
    };
    if (!spec)
      return refuse("unknown");
    double cores = 0, mem = 0;
    for (const Task& other : tasks_) {
      if (other.phase == "exited")
        continue;
      if (other.shard == shard)
        return refuse("busy");
      cores += other.cores;
      mem += other.mem_gb;
    }
    task.cores = (*spec)["cores"];
    task.mem_gb = (*spec)["memGb"];
    if (cores + task.cores > type_.cores + 1e-9 || mem + task.mem_gb > type_.mem_gb + 1e-9)
      return refuse("no_room");
    task.image = (*spec)["bundle"];
    const double gb = (*spec)["sizeGb"];
    task.ready_at = now() + (images_.contains(task.image) ? 0 : gb / type_.fetch_gb_per_s);
    tasks_.push_back(task);
  }
  std::optional<Response> commands(const Request& r) {
    const std::lock_guard lock(mutex_);
    if (gone_)
      return std::nullopt;
    check_lease();
    advance();
    if (r.method == "GET" && r.path == "/status")
      return answer(200, report());
    const Json body = from_cbor(r.body);
    if (!body.is_object() || !body.contains("mandate") || !body.contains("tenure"))
      return answer(400, {{"error", "mandate or tenure"}});
    if (body["mandate"].get<std::uint64_t>() < mandate_ || body["tenure"].get<std::uint64_t>() != tenure_)
      return answer(409, report());
    take_token(body["mandate"].get<std::uint64_t>());
    execute(body["orders"]);
    return answer(200, report());
  }
  void take_token(std::uint64_t token) {
    if (token > mandate_) {
      mandate_ = token;
      changed_ = true;
    }
  }
  void run() {
    double next = now() + random_between(0, 0.5), last = -1;
    while (true) {
      sleep_s(0.02);
      Json body;
      std::uint64_t tenure = 0;
      double sent = 0;
      std::string node;
      std::uint16_t port = 0;
      {
        const std::lock_guard lock(mutex_);
        if (gone_)
          return;
        check_lease();
        advance();
        if (now() < next && !(changed_ && now() >= last + 0.5 && now() >= not_before_))
          continue;
        changed_ = false;
        body = report();
        tenure = tenure_;
        sent = last = now();
        node = node_->first;
        port = node_->second;
      }
      const Reply reply = call(port, "POST", "/agent/beat", body, 4);
      const std::lock_guard lock(mutex_);
      if (gone_)
        return;
      check_lease();
      next = now() + settings_.report_s * random_between(0.75, 1.25);
      if (reply.status == 200) {
        const std::uint64_t token = reply.body.value("mandate", std::uint64_t{0});
        if (token >= mandate_ && token > 0 && tenure == tenure_) {
          take_token(token);
          renewed_at_ = sent;
          execute(reply.body["orders"]);
        }
        continue;
      }
      const std::string steward = reply.status == 421 && reply.body.is_object() ? reply.body.value("steward", "") : "";
      if (!steward.empty() && steward != node && nodes_.contains(steward)) {
        node_ = nodes_.find(steward);
        next = not_before_ = now() + random_between(0, 0.5);
      } else {
        if (++node_ == nodes_.end())
          node_ = nodes_.begin();
        next = not_before_ = now() + 1;
      }
    }
  }

  World& world_;
  WorkerSettings settings_;
  MachineType type_;
  std::string host_, hall_;
  bool standby_;
  std::map<std::string, std::uint16_t> nodes_;
  std::map<std::string, std::uint16_t>::iterator node_;
  std::mutex mutex_;
  std::vector<Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t tenure_ = 1, counter_ = 0, mandate_ = 0;
  double renewed_at_ = 0, not_before_ = 0;
  bool changed_ = false, gone_ = false;
  Server server_;
};

class Cloud {
 public:
  Cloud(World& world, WorkerSettings workers, std::vector<MachineType> types, std::vector<std::string> halls,
        std::map<std::string, std::uint16_t> nodes, std::size_t most)
      : world_(world),
        workers_(workers),
        types_(std::move(types)),
        halls_(std::move(halls)),
        nodes_(std::move(nodes)),
        most_(most),
        server_([this](const Request& r) { return handle(r); }) {}
  std::uint16_t port() const {
    return server_.port();
  }
  std::string add(const MachineType& type, const std::string& hall, bool standby, double boot_s) {
    const std::lock_guard lock(mutex_);
    return rent(type, hall, standby, boot_s);
  }
  std::size_t size() {
    const std::lock_guard lock(mutex_);
    return machines_.size();
  }

 private:
  struct Machine {
    MachineType type;
    std::string hall;
    bool standby = false;
    double rented_at = 0, up_at = 0;
    std::shared_ptr<Worker> worker;
  };
  std::string rent(const MachineType& type, const std::string& hall, bool standby, double boot_s) {
    char host[16];
    std::snprintf(host, sizeof host, "i-%06d", ++last_);
    machines_[host] = {type, hall, standby, now(), now() + boot_s, nullptr};
    std::thread([this, name = std::string(host), boot_s] {
      sleep_s(boot_s);
      const std::lock_guard lock(mutex_);
      const auto it = machines_.find(name);
      if (it == machines_.end())
        return;
      Machine& m = it->second;
      m.worker = std::make_shared<Worker>(world_, workers_, m.type, name, m.hall, m.standby, nodes_);
      kept_.push_back(m.worker);
    }).detach();
    return host;
  }
  std::optional<Response> handle(const Request& r) {
    const std::lock_guard lock(mutex_);
    if (r.path == "/catalog") {
      Json flavours = Json::array();
      for (const MachineType& t : types_) {
        flavours.push_back({{"name", t.name}, {"cores", t.cores}, {"accelerators", 0.0}, {"memGb", t.mem_gb},
                            {"cacheGb", t.cache_gb}, {"fetchGbPerS", t.fetch_gb_per_s}, {"rate", t.rate},
                            {"marketPrice", t.market}, {"bootS", t.boot_s}, {"halls", halls_}});
      }
      return answer(200, {{"flavours", flavours}});
    }
    if (r.method == "GET" && r.path == "/machines") {
      const std::string after = query_field(r.query, "after");
      Json hosts = Json::array();
      for (auto it = after.empty() ? machines_.begin() : machines_.upper_bound(after); it != machines_.end(); ++it) {
        const Machine& m = it->second;
        hosts.push_back({{"ref", it->first}, {"addr", m.worker ? m.worker->address() : ""}, {"flavour", m.type.name},
                         {"hall", m.hall}, {"standby", m.standby}, {"phase", m.worker ? "running" : "starting"},
                         {"ageS", now() - m.rented_at}});
      }
      return answer(200, {{"hosts", hosts}, {"more", false}});
    }
    const Json body = from_cbor(r.body);
    if (r.method == "POST" && r.path == "/machines") {
      const std::string hire = body.value("hire", "");
      if (const auto known = hires_.find(hire); known != hires_.end())
        return answer(200, {{"hosts", known->second}});
      const std::size_t wanted = body.value("howMany", std::size_t{0});
      const std::size_t free = machines_.size() < most_ ? most_ - machines_.size() : 0;
      if (free == 0)
        return answer(503, {{"error", "no capacity"}});
      std::vector<std::string> hosts;
      for (const MachineType& t : types_) {
        if (t.name != body.value("flavour", ""))
          continue;
        for (std::size_t i = 0; i < std::min(wanted, free); ++i)
          hosts.push_back(rent(t, body.value("hall", ""), body.value("standby", false), t.boot_s * random_between(0.8, 1.2)));
      }
      hires_[hire] = hosts;
      return answer(200, {{"hosts", hosts}});
    }
    if (r.method == "POST" && r.path == "/machines/return") {
      for (const Json& host : body["hosts"]) {
        const auto it = machines_.find(host.get<std::string>());
        if (it == machines_.end())
          continue;
        if (it->second.worker)
          it->second.worker->destroy();
        record().line("cloud: %s returned", it->first.c_str());
        machines_.erase(it);
      }
      return answer(200, Json::object());
    }
    return answer(400, {{"error", "malformed"}});
  }

  World& world_;
  WorkerSettings workers_;
  std::vector<MachineType> types_;
  std::vector<std::string> halls_;
  std::map<std::string, std::uint16_t> nodes_;
  std::size_t most_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::vector<std::shared_ptr<Worker>> kept_;  // their threads may still run
  std::map<std::string, std::vector<std::string>> hires_;
  int last_ = 0;
  Server server_;
};

// ---------------------------------------------------------------- controllers

// The start command of the deploy file, with the path of the settings as its last argument.
inline std::vector<std::string> start_command() {
  std::ifstream file("deploy/service.toml");
  std::string row;
  while (std::getline(file, row)) {
    if (row.rfind("run", 0) != 0)
      continue;
    const auto from = row.find('"'), to = row.rfind('"');
    std::istringstream words(row.substr(from + 1, to - from - 1));
    std::vector<std::string> command;
    std::string word;
    while (words >> word)
      command.push_back(word);
    return command;
  }
  return {};
}

struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0;
};
struct Deployment {
  std::vector<std::string> zones{"brussel-noord", "gent-haven"};
  std::vector<TeamSettings> teams{{"platform-ops", 0, 0}};
  WorkerSettings workers;
  double cancel_s = 47;
  StateLimits state;
  double cloud_rps = 8, list_lag_s = 5;
  int max_connections = 1800;
  double cores = 0.2, mem_mb = 136;
  double back_after_s = 8;  // a process that ended is back after this time
};

class Controllers {
 public:
  static constexpr std::size_t kCount = 3;
  Controllers() {
    const char* parent = std::getenv("REVIEW_TMP");
    std::string pattern = std::string(parent ? parent : "/tmp") + "/controllers-XXXXXX";
    if (!mkdtemp(pattern.data()))
      std::exit(2);
    folder_ = pattern;
    for (std::size_t i = 0; i < kCount; ++i) {
      client_[i] = reserve_port();
      peer_[i] = reserve_port();
      pid_[i] = -1;
    }
  }
  ~Controllers() {
    stop_all();
  }
  static std::string name(std::size_t i) {
    return "berth-" + std::to_string(i);
  }
  std::uint16_t client(std::size_t i) const {
    return client_[i];
  }
  std::map<std::string, std::uint16_t> clients() const {
    std::map<std::string, std::uint16_t> ports;
    for (std::size_t i = 0; i < kCount; ++i)
      ports[name(i)] = client_[i];
    return ports;
  }
  void write_settings(std::size_t i, const Deployment& d, std::uint16_t cloud, std::uint16_t state) {
    std::ofstream f(path(i));
    f << "node_name = \"" << name(i) << "\"\narea = \"" << d.zones[i % d.zones.size()] << "\"\nclient_listen = \""
      << address_of(client_[i]) << "\"\npeer_listen = \"" << address_of(peer_[i]) << "\"\n";
    for (std::size_t p = 0; p < kCount; ++p) {
      if (p != i)
        f << "[[seeds]]\nnode_name = \"" << name(p) << "\"\narea = \"" << d.zones[p % d.zones.size()] << "\"\nendpoint = \""
          << address_of(peer_[p]) << "\"\n";
    }
    f << "[external]\ncloud = \"" << address_of(cloud) << "\"\nstate = \"" << address_of(state)
      << "\"\n[params]\nsize = 3\ntime_bound_ms = 25.0\nzones = [";
    for (std::size_t z = 0; z < d.zones.size(); ++z)
      f << (z ? ", " : "") << '"' << d.zones[z] << '"';
    f << std::fixed << "]\n";
    for (const TeamSettings& t : d.teams)
      f << "[[params.teams]]\nname = \"" << t.name << "\"\ncpus = " << t.cpus << "\ncpus_max = " << t.cpus_max
        << "\ngpus = 0.0\ngpus_max = 0.0\n";
    f << "[params.workers]\nreport_s = " << d.workers.report_s << "\nlease_s = " << d.workers.lease_s
      << "\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = " << d.cancel_s << "\n[params.state]\nrps = " << d.state.rps
      << "\nwrite_rps = " << d.state.write_rps << "\nvalue_kb = " << d.state.value_kb << "\ntxn_ops = " << d.state.txn_ops
      << "\n[params.cloud]\nrps = " << d.cloud_rps << "\nlist_lag_s = " << d.list_lag_s << "\n[params.limits]\ncores = "
      << d.cores << "\nmem_mb = " << d.mem_mb << "\nmax_connections = " << d.max_connections << "\n";
  }
  // Starts the process, and again `back_after_s` after each end that the case did not ask for.
  void start(std::size_t i, double back_after_s) {
    spawn(i);
    std::thread([this, i, back_after_s] { watch(i, back_after_s); }).detach();
  }
  void kill(std::size_t i, int sig) {
    const std::lock_guard lock(mutex_);
    if (pid_[i] <= 0)
      return;
    record().line("%s: signal %d", name(i).c_str(), sig);
    if (sig == SIGKILL)
      asked_[i] = true;
    ::kill(pid_[i], sig);
  }
  // Ends that nobody asked for.
  int own_ends() const {
    return own_ends_;
  }
  bool alive(std::size_t i) {
    const std::lock_guard lock(mutex_);
    return pid_[i] > 0;
  }
  pid_t pid(std::size_t i) {
    const std::lock_guard lock(mutex_);
    return pid_[i];
  }
  void stop_all() {
    const std::lock_guard lock(mutex_);
    over_ = true;
    for (std::size_t i = 0; i < kCount; ++i) {
      if (pid_[i] <= 0)
        continue;
      ::kill(pid_[i], SIGKILL);
      waitpid(pid_[i], nullptr, 0);
      pid_[i] = -1;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  const std::string& folder() const {
    return folder_;
  }

 private:
  std::string path(std::size_t i) const {
    return folder_ + "/" + name(i) + ".toml";
  }
  void spawn(std::size_t i) {
    const std::lock_guard lock(mutex_);
    if (over_)
      return;
    auto command = start_command();
    command.push_back(path(i));
    std::vector<char*> argv;
    for (std::string& word : command)
      argv.push_back(word.data());
    argv.push_back(nullptr);
    const std::string log = folder_ + "/" + name(i) + ".log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing is left behind if the case itself is ended
      if (getppid() != parent)
        _exit(127);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, 2);
      execv(argv[0], argv.data());
      _exit(127);
    }
    pid_[i] = pid;
    asked_[i] = false;
    record().line("%s: started", name(i).c_str());
  }
  void watch(std::size_t i, double back_after_s) {
    while (!over_) {
      sleep_s(0.02);
      bool ended = false;
      {
        const std::lock_guard lock(mutex_);
        int status = 0;
        if (over_ || pid_[i] <= 0 || waitpid(pid_[i], &status, WNOHANG) != pid_[i])
          continue;
        pid_[i] = -1;
        ended = true;
        if (!asked_[i]) {
          ++own_ends_;
          record().line("%s: ENDED BY ITSELF, %s %d", name(i).c_str(), WIFSIGNALED(status) ? "signal" : "status",
                        WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
          last_words(i);
        } else {
          record().line("%s: killed by the case", name(i).c_str());
        }
      }
      if (ended) {
        sleep_s(back_after_s);
        spawn(i);
      }
    }
  }
  void last_words(std::size_t i) {
    std::ifstream log(folder_ + "/" + name(i) + ".log");
    std::deque<std::string> rows;
    std::string row;
    while (std::getline(log, row)) {
      rows.push_back(row);
      if (rows.size() > 3)
        rows.pop_front();
    }
    for (const std::string& text : rows)
      record().line("  %s says: %s", name(i).c_str(), text.c_str());
  }

  std::string folder_;
  std::uint16_t client_[kCount], peer_[kCount];
  pid_t pid_[kCount];
  bool asked_[kCount]{};
  std::mutex mutex_;
  std::atomic<bool> over_{false};
  std::atomic<int> own_ends_{0};
};

// A submission of the class that the site pages describe; fields are changed by the caller.
inline Json job(const std::string& ref, const std::string& team, const std::string& shape, int shards) {
  return {{"ref", ref}, {"jobclass", shape == "standing" ? "meter-handshake" : "consumption-recon"}, {"owner", team},
          {"shape", shape}, {"urgency", shape == "standing" ? "critical" : "standard"}, {"shards", shards}, {"cores", 2.0},
          {"accelerators", 0.0}, {"memGb", 4.6}, {"bundle", "img-07"}, {"sizeGb", 0.6}, {"flavours", Json()},
          {"hall", Json()}, {"samePlace", false}, {"apart", false}, {"standby", false},
          {"expectedS", shape == "standing" ? 0.0 : 25.0}, {"snapshotEveryS", 0.0}, {"snapshotCostS", 0.0}, {"dueS", Json()}};
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// Three controllers with the platform around them.
struct Cluster {
  Deployment deployment;
  World world;
  Controllers controllers;
  std::unique_ptr<StateService> state;
  std::unique_ptr<Cloud> cloud;

  // Starts everything, with `machines` machines up at the start. Returns false if no controller becomes ready.
  bool start(int machines, std::size_t most_machines) {
    state = std::make_unique<StateService>(Controllers::kCount, deployment.state);
    const MachineType type;
    cloud = std::make_unique<Cloud>(world, deployment.workers, std::vector{type}, deployment.zones, controllers.clients(),
                                    most_machines);
    for (int i = 0; i < machines; ++i)
      cloud->add(type, deployment.zones[static_cast<std::size_t>(i) % deployment.zones.size()], false, 0);
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      controllers.write_settings(i, deployment, cloud->port(), state->port(i));
      controllers.start(i, deployment.back_after_s);
    }
    for (double until = now() + 15; now() < until; sleep_s(0.2)) {
      std::size_t ready = 0;
      for (std::size_t i = 0; i < Controllers::kCount; ++i)
        ready += call(controllers.client(i), "GET", "/ready", Json(), 1).status == 200;
      if (ready == Controllers::kCount && !state->leader().empty())
        return true;
    }
    return false;
  }
  std::size_t leader() {
    const std::string name = state->leader();
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      if (Controllers::name(i) == name)
        return i;
    }
    return Controllers::kCount;
  }
  // A user's submission at one controller, as the load balancer chose it. Returns the status.
  int submit(std::size_t node, const Json& spec, double run_s) {
    world.add_job(spec, run_s);
    return call(controllers.client(node), "POST", "/api/jobs", spec, 5).status;
  }
  // Repeats the submission at one controller after the other, as users do, for 60 s at most.
  bool submit_until_accepted(const Json& spec, double run_s) {
    world.add_job(spec, run_s);
    const double until = now() + 60;
    for (std::size_t node = 0; now() < until; ++node) {
      const int status = call(controllers.client(node % Controllers::kCount), "POST", "/api/jobs", spec, 5).status;
      if (status == 200 || status == 201)
        return true;
      if (status == 400 || status == 422)
        return false;
      sleep_s(1);
    }
    return false;
  }
  Reply poll(std::size_t node, const std::string& ref) {
    return call(controllers.client(node), "GET", "/api/jobs/" + ref, Json(), 2);
  }
  static std::string phase(const Reply& reply) {
    return reply.status == 200 && reply.body.is_object() ? reply.body.value("phase", "") : "";
  }
};

}  // namespace review
