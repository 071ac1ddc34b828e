// One real process as the only node, with the limits of the fleet sites: the workers of half as many machines
// again, and three times as many users, all come to it at once. What it holds must stay within its bounds,
// whoever it accepts must be answered at once, and what was held must come free.
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

sockaddr_in here(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

std::uint16_t free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = here(0);
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
        << "\"\nstate = \"127.0.0.1:" << free_port()  // nobody listens there: a state service that is away
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
    int n = 0;
    for (const auto& e : std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd"))
      n += !e.path().empty();
    return n;
  }
  // A line of its status, such as VmHWM (in kB) or Threads.
  double status(const std::string& key) const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
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
  std::string got;
  Clock::time_point sent;
  double answered_s = -1;
};

// Takes in what has come for those that were not answered yet, waiting for it for `wait_ms` at most.
void hear(std::vector<Caller>& callers, int wait_ms) {
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
      callers[i].got.assign(buffer, static_cast<std::size_t>(n));
    callers[i].answered_s = std::chrono::duration<double>(Clock::now() - callers[i].sent).count();
  }
}

// Connects all of them at once, each with its request, and hears the answers until `until_s` have passed
// since the last was sent. Answers are heard while others still connect: on a busy machine that takes
// seconds, which are the callers' own and not the time they waited.
std::vector<Caller> call_all(std::uint16_t port, const std::vector<std::string>& requests, double until_s) {
  std::vector<Caller> callers(requests.size());
  const sockaddr_in a = here(port);
  for (std::size_t i = 0; i < callers.size(); ++i) {
    Caller& c = callers[i];
    c.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    EXPECT_GE(c.fd, 0);
    if (connect(c.fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS)
      continue;
    pollfd p{c.fd, POLLOUT, 0};
    c.sent = Clock::now();
    if (poll(&p, 1, 3000) == 1 && (p.revents & POLLOUT) != 0)
      (void)!send(c.fd, requests[i].data(), requests[i].size(), MSG_NOSIGNAL);
    if (i % 100 == 99)
      hear(callers, 0);
  }
  const auto end = Clock::now() + std::chrono::duration<double>(until_s);
  while (Clock::now() < end)
    hear(callers, 50);
  return callers;
}

TEST(ProcessLimits, AllWorkersAndUsersAtOneNode) {
  rlimit files{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &files), 0);
  files.rlim_cur = files.rlim_max;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &files), 0);
  if (files.rlim_cur < kWorkers + kUsers + 100)
    GTEST_SKIP() << "too few descriptors here for so many callers";

  Program program;
  for (int i = 0; i < 100 && program.status("Threads") > 0; ++i) {
    if (call_all(program.port(), {"GET /ready HTTP/1.1\r\nHost: n0\r\n\r\n"}, 0.05)[0].got.starts_with(
            "HTTP"))
      break;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  ASSERT_TRUE(program.alive());
  const int quiet = program.descriptors();

  std::vector<std::string> requests;
  for (int i = 0; i < kWorkers; ++i) {
    const wire::Value report{{"host", "i-" + std::to_string(100000 + i)},
                             {"addr", "127.0.0.1:9"},
                             {"flavour", "kast-16"},
                             {"hall", "z0"},
                             {"standby", false},
                             {"tenure", 1},
                             {"counter", 1},
                             {"mandate", 0},
                             {"shards", wire::Value::array()}};
    requests.push_back(post(wire::kHeartbeatPath, wire::encode_cbor(report)));
  }
  for (int i = 0; i < kUsers; ++i)
    requests.push_back("GET " + std::string(wire::kJobsPath) + "/req-" + std::to_string(i) +
                       " HTTP/1.1\r\nHost: n0\r\n\r\n");
  std::vector<Caller> callers = call_all(program.port(), requests, 3);

  EXPECT_TRUE(program.alive());
  EXPECT_LE(program.descriptors(), kSockets);
  EXPECT_GT(program.descriptors(), kSockets / 2) << "the test must come to the bound";
  EXPECT_LT(program.status("VmHWM") / 1024, kMemoryMb / 2);
  EXPECT_LE(program.status("Threads"), 4);
  // Everybody hears at once: an answer, or that there is no room here, which sends them to another node.
  int answered = 0, refused = 0, later = 0;
  for (const Caller& c : callers) {
    if (c.answered_s < 0)
      continue;
    ++(c.got.starts_with("HTTP/1.1 ") ? answered : refused);
    later += c.got.find("Retry-After") != std::string::npos;
    EXPECT_LT(c.answered_s, 3.0);
  }
  EXPECT_EQ(answered + refused, kWorkers + kUsers) << answered << " answered, " << refused << " refused";
  EXPECT_GT(answered, kSockets / 2);
  EXPECT_GT(later, 0) << "what cannot be served now says when to come back";

  for (const Caller& c : callers)
    close(c.fd);
  for (int i = 0; i < 100 && program.descriptors() > quiet + 8; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  EXPECT_LE(program.descriptors(), quiet + 8) << "what is over is given back";
}

}  // namespace
}  // namespace wingtrail
