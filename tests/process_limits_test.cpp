// One real process as the only controller, with the limits of the fleet sites. The workers of 1.5 times as
// many machines, and three times as many users as workers, connect to it at once. Its descriptors, memory and
// threads must stay within their limits, every caller must be answered or refused within 3 s, and the
// descriptors must be closed afterwards.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail {
namespace {

using Clock = std::chrono::steady_clock;
constexpr int kSockets = 1803, kWorkers = 1800, kUsers = 5400;
constexpr double kMemoryMb = 158;

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

std::uint16_t free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(0);
  socklen_t size = sizeof a;
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&a), size), 0);
  EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size), 0);
  close(fd);
  return ntohs(a.sin_port);
}

class Program {
 public:
  Program()
      : port_(free_port()),
        path_(std::filesystem::temp_directory_path() /
              ("wingtrail-bounds-" + std::to_string(getpid()) + ".toml")) {
    std::ofstream(path_)
        << "node_name = \"n0\"\narea = \"z0\"\nclient_listen = \"127.0.0.1:" << port_
        << "\"\npeer_listen = \"127.0.0.1:" << free_port()
        << "\"\n[external]\ncloud = \"127.0.0.1:" << free_port()
        << "\"\nstate = \"127.0.0.1:" << free_port()  // nobody listens there: the state service is down
        << "\"\n[params]\nsize = 1\nzones = [\"z0\"]\ntime_bound_ms = 25.0\n[params.workers]\n"
           "report_s = 5.0\nlease_s = 27.0\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = 47.0\n"
           "[params.state]\nrps = 150.0\nwrite_rps = 35.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
           "[params.cloud]\nrps = 9.0\nlist_lag_s = 5.0\n[params.limits]\ncores = 0.2\nmem_mb = "
        << kMemoryMb << "\nmax_connections = " << kSockets << "\n";
    pid_ = fork();
    if (pid_ == 0) {
      setenv("LOG_LEVEL", "error", 1);
      execl(WINGTRAIL_PROGRAM, WINGTRAIL_PROGRAM, "--config", path_.c_str(), nullptr);
      _exit(127);
    }
  }
  ~Program() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::filesystem::remove(path_);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  std::uint16_t port() const {
    return port_;
  }
  bool alive() const {
    return waitpid(pid_, nullptr, WNOHANG) == 0;
  }
  int descriptors() const {
    int count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd"))
      count += !entry.path().empty();
    return count;
  }
  // A value of /proc/PID/status, such as VmHWM (kB) or Threads; -1 if it is missing.
  double status(const std::string& key) const {
    std::ifstream status_file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status_file, line);) {
      if (line.starts_with(key + ":"))
        return std::stod(line.substr(key.size() + 1));
    }
    return -1;
  }

 private:
  std::uint16_t port_;
  std::filesystem::path path_;
  pid_t pid_ = 0;
};

std::string post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: n0\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct Caller {
  int fd = -1;
  std::string response;  // last part received; empty if the connection was closed without one
  Clock::time_point sent;
  double answered_s = -1;
};

// Receives responses for the callers that have none yet; waits at most `wait_ms` for the first.
void receive_responses(std::vector<Caller>& callers, int wait_ms) {
  std::vector<pollfd> polls;
  polls.reserve(callers.size());
  for (const Caller& c : callers)
    polls.push_back({c.answered_s < 0 ? c.fd : -1, POLLIN, 0});
  if (poll(polls.data(), polls.size(), wait_ms) <= 0)
    return;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    if ((polls[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0)
      continue;
    char buffer[4096];
    const ssize_t n = recv(callers[i].fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n > 0)
      callers[i].response.assign(buffer, static_cast<std::size_t>(n));
    callers[i].answered_s = std::chrono::duration<double>(Clock::now() - callers[i].sent).count();
  }
}

// Opens one connection per request, sends the requests and receives responses until `receive_s` have passed
// since the last was sent. Responses are received while further callers connect: on a busy machine connecting
// takes seconds, which must not count as time to the response.
std::vector<Caller> call_all(std::uint16_t port, const std::vector<std::string>& requests, double receive_s) {
  std::vector<Caller> callers(requests.size());
  const sockaddr_in address = loopback(port);
  for (std::size_t i = 0; i < callers.size(); ++i) {
    Caller& c = callers[i];
    c.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    EXPECT_GE(c.fd, 0);
    if (connect(c.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS)
      continue;
    pollfd p{c.fd, POLLOUT, 0};
    c.sent = Clock::now();
    if (poll(&p, 1, 3000) == 1 && (p.revents & POLLOUT) != 0)
      (void)!send(c.fd, requests[i].data(), requests[i].size(), MSG_NOSIGNAL);
    if (i % 100 == 99)
      receive_responses(callers, 0);
  }
  const auto end = Clock::now() + std::chrono::duration<double>(receive_s);
  while (Clock::now() < end)
    receive_responses(callers, 50);
  return callers;
}

TEST(ProcessLimits, AllWorkersAndUsersAtOneNode) {
  rlimit files{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &files), 0);
  files.rlim_cur = files.rlim_max;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &files), 0);
  if (files.rlim_cur < kWorkers + kUsers + 100)
    GTEST_SKIP() << "the hard limit of descriptors is " << files.rlim_cur << ", expected at least "
                 << kWorkers + kUsers + 100;

  Program program;
  for (int i = 0; i < 100 && program.status("Threads") > 0; ++i) {
    if (call_all(program.port(), {"GET /ready HTTP/1.1\r\nHost: n0\r\n\r\n"}, 0.05)[0].response.starts_with(
            "HTTP"))
      break;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  ASSERT_TRUE(program.alive()) << "expected the program to start";
  const int idle_descriptors = program.descriptors();

  std::vector<std::string> requests;
  for (int i = 0; i < kWorkers; ++i) {
    const wire::Value heartbeat{{"host", "i-" + std::to_string(100000 + i)},
                                {"addr", "127.0.0.1:9"},
                                {"flavour", "kast-16"},
                                {"hall", "z0"},
                                {"standby", false},
                                {"tenure", 1},
                                {"counter", 1},
                                {"mandate", 0},
                                {"shards", wire::Value::array()}};
    requests.push_back(post(wire::kHeartbeatPath, wire::encode_cbor(heartbeat)));
  }
  for (int i = 0; i < kUsers; ++i)
    requests.push_back("GET " + std::string(wire::kJobsPath) + "/req-" + std::to_string(i) +
                       " HTTP/1.1\r\nHost: n0\r\n\r\n");
  std::vector<Caller> callers = call_all(program.port(), requests, 3);

  EXPECT_TRUE(program.alive()) << "expected the program to survive the load";
  EXPECT_LE(program.descriptors(), kSockets);
  EXPECT_GT(program.descriptors(), kSockets / 2) << "expected the callers to use most of the sockets";
  EXPECT_LT(program.status("VmHWM") / 1024, kMemoryMb / 2);
  EXPECT_LE(program.status("Threads"), 4);
  // Every caller gets a response or a closed connection within 3 s. A caller whose connection is closed tries
  // another controller.
  int answered = 0, refused = 0, with_retry_after = 0;
  for (const Caller& c : callers) {
    if (c.answered_s < 0)
      continue;
    ++(c.response.starts_with("HTTP/1.1 ") ? answered : refused);
    with_retry_after += c.response.find("Retry-After") != std::string::npos;
    EXPECT_LT(c.answered_s, 3.0) << "time to the response, in s";
  }
  EXPECT_EQ(answered + refused, kWorkers + kUsers) << answered << " answered, " << refused << " refused";
  EXPECT_GT(answered, kSockets / 2);
  EXPECT_GT(with_retry_after, 0) << "expected Retry-After on requests that cannot be served now";

  for (const Caller& c : callers)
    close(c.fd);
  for (int i = 0; i < 100 && program.descriptors() > idle_descriptors + 8; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  EXPECT_LE(program.descriptors(), idle_descriptors + 8) << "expected closed connections to be released";
}

}  // namespace
}  // namespace wingtrail
