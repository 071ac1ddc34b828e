#include "controller_processes.hpp"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <utility>

namespace wingtrail::simulation {

// The socket stays bound, without listening, so the kernel assigns the port to nobody. With SO_REUSEADDR on
// both sockets a server can still listen on it.
std::uint16_t reserve_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof a;
  std::uint16_t port = 0;
  if (fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&a), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) == 0) {
    port = ntohs(a.sin_port);
  }
  return port;
}

std::string loopback_address(std::uint16_t port) {
  return std::string(kLoopback) + ":" + std::to_string(port);
}

ControllerProcesses::ControllerProcesses(std::filesystem::path directory) : directory_(std::move(directory)) {
  std::filesystem::create_directories(directory_);
  for (Controller& controller : controllers_) {
    ControllerPorts& ports = controller.ports;
    for (std::uint16_t* port : {&ports.client, &ports.peer, &ports.state, &ports.cloud, &ports.relay})
      *port = reserve_port();
    for (std::uint16_t& port : ports.peer_proxies)
      port = reserve_port();
  }
}

ControllerProcesses::~ControllerProcesses() {
  for (std::size_t i = 0; i < kControllers; ++i)
    kill(i);
  std::filesystem::remove_all(directory_);
}

void ControllerProcesses::write_settings(std::size_t i, const settings::Settings& s,
                                         const settings::Settings& next, std::size_t max_connections) const {
  const ControllerPorts& own = controllers_[i].ports;
  std::ofstream f(settings_path(i));
  f << "node_name = \"node-" << i << "\"\narea = \"" << s.zones[i % 2] << "\"\nclient_listen = \""
    << loopback_address(own.client) << "\"\npeer_listen = \"" << loopback_address(own.peer) << "\"\n";
  for (std::size_t p = 0; p < kControllers; ++p) {
    if (p == i)
      continue;
    f << "[[seeds]]\nnode_name = \"node-" << p << "\"\narea = \"" << s.zones[p % 2] << "\"\nendpoint = \""
      << loopback_address(own.peer_proxies[p]) << "\"\n";
  }
  f << "[external]\ncloud = \"" << loopback_address(own.cloud) << "\"\nstate = \""
    << loopback_address(own.state) << "\"\n[params]\nsize = 3\nzones = [\"" << s.zones[0] << "\", \""
    << s.zones[1] << "\"]\ntime_bound_ms = 25.0\n";
  for (const settings::Team& t : s.teams) {
    f << "[[params.teams]]\nname = \"" << t.name << "\"\ncpus = " << t.cpus << ".0\ncpus_max = " << t.cpus_max
      << ".0\ngpus = 0.0\ngpus_max = 0.0\n";
  }
  f << "[params.workers]\nreport_s = " << s.heartbeat_interval_s << "\nlease_s = " << s.worker_lease_s
    << "\ngang_wait_s = 25.0\n"
    << "gang_peer_s = 8.0\ncancel_s = " << s.cancellation_limit_s
    << "\n[params.state]\nrps = " << s.state_requests_per_s << "\nwrite_rps = " << s.state_writes_per_s
    << "\nvalue_kb = " << s.state_value_kb << "\ntxn_ops = " << s.max_transaction_changes
    << "\n[params.state.next]\nwrite_rps = " << next.state_writes_per_s
    << "\nvalue_kb = " << next.state_value_kb << "\ntxn_ops = " << next.max_transaction_changes
    << "\n[params.cloud]\nrps = " << s.cloud_requests_per_s << "\nlist_lag_s = " << s.cloud_list_lag_s
    << "\n[params.limits]\ncores = 0.5\nmem_mb = 200.0\nmax_connections = " << max_connections << "\n";
}

std::string ControllerProcesses::settings_path(std::size_t i) const {
  return directory_ / ("node-" + std::to_string(i) + ".toml");
}

void ControllerProcesses::start(std::size_t i, const std::string& program, const std::string& tunables) {
  if (controllers_[i].pid > 0)
    return;
  const std::string settings = settings_path(i);
  std::array<char*, 6> argv = {const_cast<char*>(program.c_str()), const_cast<char*>("--config"),
                               const_cast<char*>(settings.c_str())};
  if (!tunables.empty())
    argv[3] = const_cast<char*>("--tunables"), argv[4] = const_cast<char*>(tunables.c_str());
  const pid_t pid = fork();
  if (pid == 0) {
    execv(argv[0], argv.data());
    _exit(127);
  }
  controllers_[i].pid = pid;
}

void ControllerProcesses::kill(std::size_t i) {
  if (controllers_[i].pid <= 0)
    return;
  ::kill(controllers_[i].pid, SIGKILL);
  waitpid(controllers_[i].pid, nullptr, 0);
  controllers_[i].pid = -1;
}

std::optional<std::string> ControllerProcesses::ended_by_itself(std::size_t i) {
  int status = 0;
  if (controllers_[i].pid <= 0 || waitpid(controllers_[i].pid, &status, WNOHANG) != controllers_[i].pid)
    return std::nullopt;
  controllers_[i].pid = -1;
  return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                             : "exit status " + std::to_string(WEXITSTATUS(status));
}

void ControllerProcesses::pause(std::size_t i) {
  if (controllers_[i].pid > 0)
    ::kill(controllers_[i].pid, SIGSTOP);
}

void ControllerProcesses::resume(std::size_t i) {
  if (controllers_[i].pid > 0)
    ::kill(controllers_[i].pid, SIGCONT);
}

}  // namespace wingtrail::simulation
