// Starts three controllers as real processes and simulates the rest of the cluster over real sockets:
// the state service, the cloud, the workers and the users of the simulated cluster, in real time and
// with the same checks.
//   process_cluster --program build/wingtrail [--former older/wingtrail] [--seconds S] [--seed N] [--troubles
//   SECONDS] [--end-one] [--tell] [--cells N]
// --cells runs several such clusters, each a cell. The first has more work than machines. Messages
// between the controllers of different cells pass through a relay in this program, which refuses them
// for a while, and all controllers of the last cell are killed for a while. --former starts all
// controllers with that program and restarts them one by one with the new one; tests/upgrade.sh builds
// the version in production for it.
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "simulation/simulated_cluster.hpp"

namespace wingtrail::simulation {
namespace {

constexpr std::size_t kNodes = 3;
constexpr net::Seconds kUserTimeoutS = 10;
constexpr const char* kLoopback = "127.0.0.1";

struct Options {
  std::string program, former;
  double seconds = 40;
  std::string tunables;
  std::uint64_t seed = 1;
  double troubles = 0;
  bool end_one = false, tell = false, gap = false, late_messages = false;
  std::size_t cells = 1;
};

// Returns a port that nothing listened on at the time of the call; 0 on error.
std::uint16_t free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof a;
  std::uint16_t port = 0;
  if (fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&a), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) == 0) {
    port = ntohs(a.sin_port);
  }
  if (fd >= 0)
    close(fd);
  return port;
}

std::string address(std::uint16_t port) {
  return std::string(kLoopback) + ":" + std::to_string(port);
}

class Cluster {
 public:
  Cluster(const Options& options, net::EventLoop& loop, net::TaskScope& scope, std::size_t cell,
          std::shared_ptr<CellNetwork> network)
      : options_(options),
        loop_(loop),
        scope_(scope),
        client_(scope_, 500, 1u << 20),
        cell_(cell),
        directory_(std::filesystem::temp_directory_path() /
                   ("wingtrail-cluster-" + std::to_string(getpid()) + "-" + std::to_string(cell))) {
    std::filesystem::create_directories(directory_);
    for (Process& p : nodes_)
      p.client = free_port(), p.peer = free_port(), p.state = free_port(), p.cloud = free_port(),
      p.relay = free_port();
    SimulationPlan plan;
    plan.seed = options.seed + 1000 * cell;
    plan.cell = cell, plan.cells = options.cells;
    plan.duration_s = options.seconds * 0.6;
    plan.settle_s = options.seconds * 0.4;
    plan.fault_every_s = options.troubles;
    plan.dependencies = true;
    plan.upgrade = !options.former.empty();
    plan.fair_admission = !options.tunables.empty();  // users also submit in bursts
    if (options.cells > 1) {
      plan.arrival_s = cell == 0 ? 1.5 : 10;
      plan.max_machines = cell == 0 ? 6 : 16;
    }
    cluster_ = std::make_unique<SimulatedCluster>(
        plan,
        SimulatedCluster::ExternalProcesses{
            [this](std::size_t i, controller::IncomingRequest in, SimulatedCluster::AnswerCallback then) {
              send_request(i, std::move(in), std::move(then));
            },
            [this](const std::string& host) { return serve_worker(host); },
            [this](std::size_t i) { boot(i); },
            [this](std::size_t i) {
              crash(i);
            }});
    if (options.cells > 1) {
      network->cells.push_back(cluster_.get());
      cluster_->join_network(network);
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      serve(nodes_[i].state, [this, i](net::Request r, SimulatedCluster::ReplyCallback reply) {
        cluster_->state_service_request(i, r.method, r.target, body(r), std::move(reply));
      });
      serve(nodes_[i].cloud, [this](net::Request r, SimulatedCluster::ReplyCallback reply) {
        cluster_->cloud_request(r.method, r.target, body(r), std::move(reply));
      });
      write_settings(i);
      auto relay = [this, i](net::Request r) -> net::Task<net::Response> {
        return relay_request(i, std::move(r));
      };
      servers_.push_back(
          std::make_unique<net::HttpServer>(scope_, kLoopback, nodes_[i].relay, net::ServerLimits{}, relay));
      if (auto error = servers_.back()->listen())
        spdlog::error("process_cluster: listen_failed error={}", *error);
    }
  }
  ~Cluster() {
    for (std::size_t i = 0; i < kNodes; ++i)
      crash(i);
    std::filesystem::remove_all(directory_);
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Writes the addresses of the other cells into the tunables; to be called when all
  // clusters have their ports.
  void write_neighbours(const std::vector<std::unique_ptr<Cluster>>& all) {
    if (all.size() < 2)
      return;
    std::ofstream f(tunables());
    if (!options_.tunables.empty())
      f << std::ifstream(options_.tunables).rdbuf() << "\n";
    f << "cells:\n  name: c" << cell_ << "\n  neighbours:\n";
    for (const auto& other : all) {
      if (other.get() == this)
        continue;
      f << "    c" << other->cell_ << ": [";
      for (std::size_t i = 0; i < kNodes; ++i)
        f << (i > 0 ? ", " : "") << '"' << address(other->nodes_[i].relay) << '"';
      f << "]\n";
    }
  }

  void begin() {
    start_ = loop_.refresh();
    cluster_->begin();
    print_progress(
        "Three controllers start; the state service, the cloud, the workers and the users are simulated "
        "here.");
    if (options_.end_one) {
      cluster_->schedule_after(options_.seconds * 0.35, [this] {
        print_progress("node-0 is killed; it is restarted within some seconds.");
        cluster_->crash(0);
      });
    }
    if (options_.gap)
      schedule_gap();
    if (options_.late_messages)
      schedule_late_messages();
    if (options_.cells > 1) {
      cluster_->schedule_after(options_.seconds * 0.25, [this] { refuses_ = true; });
      cluster_->schedule_after(options_.seconds * 0.35, [this] { refuses_ = false; });
    }
    if (options_.cells > 1 && cell_ + 1 == options_.cells) {
      for (double t = 0; t < options_.seconds * 0.1; t += 0.5) {
        cluster_->schedule_after(options_.seconds * 0.42 + t, [this] {
          for (std::size_t i = 0; i < kNodes; ++i)
            cluster_->crash(i);
        });
      }
    }
    if (options_.tell)
      schedule_progress();
  }
  // Delays direct commands and sends copies of heartbeats to every controller again.
  void schedule_late_messages() {
    constexpr double kDelayedCommands = 0.3, kDuplicatedHeartbeats = 0.4;  // shares
    const double duration_s = options_.seconds * 0.6;
    cluster_->delay_commands(kDelayedCommands, duration_s);
    cluster_->duplicate_heartbeats_late(kDuplicatedHeartbeats, duration_s,
                                        SimulatedCluster::DuplicateArrival::later);
  }

  // The state service refuses the leader alone, jobs are cancelled, then the service is down
  // for every controller (docs/combined-faults.md).
  void schedule_gap() {
    constexpr double kRefusedAtS = 50, kRefusedForS = 14, kCancelledAfterS = 6, kDownAfterS = 9,
                     kDownForS = 45;
    cluster_->schedule_after(kRefusedAtS, [this] {
      const std::size_t old = cluster_->leader_key_holder().value_or(0);
      print_progress("the state service refuses node-" + std::to_string(old) +
                     ", the leader, and no other controller");
      cluster_->refuse_state_service(old, kRefusedForS);
    });
    for (int n = 0; n < 4; ++n)
      cluster_->schedule_after(kRefusedAtS + kCancelledAfterS + 0.5 * n,
                               [this] { cluster_->cancel_running_jobs(4, 0); });
    cluster_->schedule_after(kRefusedAtS + kDownAfterS, [this] {
      print_progress(std::to_string(cluster_->run_report().cancelled_together) +
                     " running jobs cancelled so far, " +
                     std::to_string(cluster_->run_report().cancellations_confirmed) +
                     " cancellations confirmed; now the state service is down for every controller");
      cluster_->state_outage(kDownForS);
    });
  }
  // Executes the events that are due; returns when step() has to be called next, in s of
  // the event loop's clock.
  net::Seconds step() {
    cluster_->step(now());
    return start_ + std::min(cluster_->next(), options_.seconds);
  }
  // True when the time is up or a rule is broken.
  bool over() {
    return now() >= options_.seconds || !cluster_->run_report().broken_rules.empty();
  }
  const RunReport& close() {
    return cluster_->close();
  }

 private:
  struct Process {
    std::uint16_t client = 0, peer = 0, state = 0, cloud = 0;
    std::uint16_t relay = 0;  // address for the controllers of other cells
    pid_t pid = -1;
  };
  using Service = std::function<void(net::Request, SimulatedCluster::ReplyCallback)>;

  double now() {
    return loop_.refresh() - start_;
  }

  void print_progress(const std::string& what) {
    if (options_.tell)
      std::cout << std::fixed << std::setprecision(0) << std::setw(4) << now() << " s  " << what << std::endl;
  }
  void schedule_progress() {
    constexpr double kIntervalS = 5;
    cluster_->schedule_after(kIntervalS, [this] {
      const RunReport& v = cluster_->run_report();
      print_progress(std::to_string(v.accepted) + " jobs accepted, " + std::to_string(v.started) +
                     " tasks started, " + std::to_string(v.finished) + " jobs done, " +
                     std::to_string(v.cancelled) + " cancelled; " + std::to_string(v.late_commands) +
                     " commands and " + std::to_string(v.late_heartbeats) + " heartbeats came late; " +
                     (v.broken_rules.empty() ? "no rule broken" : "A RULE WAS BROKEN"));
      schedule_progress();
    });
  }

  static wire::Value body(const net::Request& r) {
    return wire::decode_cbor(r.body).value_or(wire::Value::object());
  }

  void serve(std::uint16_t port, Service service) {
    auto handle = [this, service = std::move(service)](net::Request r) -> net::Task<net::Response> {
      return answer(service, std::move(r));
    };
    servers_.push_back(
        std::make_unique<net::HttpServer>(scope_, kLoopback, port, net::ServerLimits{}, handle));
    if (auto error = servers_.back()->listen())
      spdlog::error("process_cluster: listen_failed error={}", *error);
  }

  net::Task<net::Response> answer(const Service& service, net::Request r) {
    using Got = std::pair<int, wire::Value>;
    // The simulated cluster may answer long after the timeout below.
    auto got = std::make_shared<net::OneShot<Got>>();
    cluster_->step(now());
    service(std::move(r), [got](int status, wire::Value v) { got->set({status, std::move(v)}); });
    auto reply = co_await got->wait(scope_, loop_.now() + 60);
    net::Response response;
    response.status = reply ? reply->first : 504;
    if (reply)
      response.body = wire::encode_cbor(reply->second);
    co_return response;
  }

  // Forwards a request of another cell's controller to controller `i`; answers 503 while refuses_ is set.
  net::Task<net::Response> relay_request(std::size_t i, net::Request r) {
    net::Response response;
    response.status = 503;
    if (refuses_)
      co_return response;
    const net::CallResult result = co_await client_.call(
        kLoopback, nodes_[i].peer, std::move(r), "application/msgpack", loop_.now() + 5, ports::kNever);
    if (scope_.cancelled() || result.status == 0)
      co_return response;
    response.status = result.status;
    response.content_type = "application/msgpack";
    response.body = result.body;
    co_return response;
  }

  // Starts the server of a worker and returns its address.
  std::string serve_worker(const std::string& host) {
    const std::uint16_t port = free_port();
    serve(port, [this, host](net::Request r, const SimulatedCluster::ReplyCallback& reply) {
      // A machine that hangs sends no answer; the caller's timeout ends the call.
      if (auto a = cluster_->worker_commands(host, body(r)))
        reply(a->first, std::move(a->second));
    });
    return address(port);
  }

  // Sends a request to controller `i` and calls `then` with the answer; does not call it if there is none.
  net::DetachedTask send_request(std::size_t i, controller::IncomingRequest incoming,
                                 SimulatedCluster::AnswerCallback then) {
    net::Request request{incoming.method, incoming.path, incoming.body};
    const net::CallResult result =
        co_await client_.call(kLoopback, nodes_[i].client, std::move(request), "application/cbor",
                              loop_.now() + kUserTimeoutS, ports::kNever);
    if (scope_.cancelled() || result.status == 0)
      co_return;
    ports::Answer answer;
    answer.status = result.status;
    if (!result.body.empty())
      answer.body = wire::decode_cbor(result.body).value_or(nullptr);
    cluster_->step(now());
    then(answer);
  }

  void write_settings(std::size_t i) const {
    const settings::Settings& s = cluster_->settings_before_upgrade();
    const settings::Settings& next = cluster_->settings();
    std::ofstream f(path(i));
    f << "node_name = \"node-" << i << "\"\narea = \"" << s.zones[i % 2] << "\"\nclient_listen = \""
      << address(nodes_[i].client) << "\"\npeer_listen = \"" << address(nodes_[i].peer) << "\"\n";
    for (std::size_t p = 0; p < kNodes; ++p) {
      if (p == i)
        continue;
      f << "[[seeds]]\nnode_name = \"node-" << p << "\"\narea = \"" << s.zones[p % 2] << "\"\nendpoint = \""
        << address(nodes_[p].peer) << "\"\n";
    }
    f << "[external]\ncloud = \"" << address(nodes_[i].cloud) << "\"\nstate = \"" << address(nodes_[i].state)
      << "\"\n[params]\nsize = 3\nzones = [\"" << s.zones[0] << "\", \"" << s.zones[1]
      << "\"]\ntime_bound_ms = 25.0\n";
    for (const settings::Team& t : s.teams) {
      f << "[[params.teams]]\nname = \"" << t.name << "\"\ncpus = " << t.cpus
        << ".0\ncpus_max = " << t.cpus_max << ".0\ngpus = 0.0\ngpus_max = 0.0\n";
    }
    f << "[params.workers]\nreport_s = " << s.heartbeat_interval_s << "\nlease_s = " << s.worker_lease_s
      << "\ngang_wait_s = 25.0\n"
      << "gang_peer_s = 8.0\ncancel_s = " << s.cancellation_limit_s
      << "\n[params.state]\nrps = " << s.state_requests_per_s << "\nwrite_rps = " << s.state_writes_per_s
      << "\nvalue_kb = " << s.state_value_kb << "\ntxn_ops = " << s.max_transaction_changes
      << "\n[params.state.next]\nwrite_rps = " << next.state_writes_per_s
      << "\nvalue_kb = " << next.state_value_kb << "\ntxn_ops = " << next.max_transaction_changes
      << "\n[params.cloud]\nrps = " << s.cloud_requests_per_s << "\nlist_lag_s = " << s.cloud_list_lag_s
      << "\n[params.limits]\ncores = 0.5\nmem_mb = 200.0\nmax_connections = 1000\n";
  }

  std::string path(std::size_t i) const {
    return directory_ / ("node-" + std::to_string(i) + ".toml");
  }

  std::string tunables() const {
    return options_.cells > 1 ? std::string(directory_ / "tunables.yaml") : options_.tunables;
  }

  void boot(std::size_t i) {
    if (nodes_[i].pid > 0)
      return;
    const std::string settings = path(i);
    const std::string& program = cluster_->runs_former_version(i) ? options_.former : options_.program;
    const std::string tunables_path = tunables();
    std::array<char*, 6> argv = {const_cast<char*>(program.c_str()), const_cast<char*>("--config"),
                                 const_cast<char*>(settings.c_str())};
    // The former program does not know all tunables.
    if (!tunables_path.empty() && !cluster_->runs_former_version(i))
      argv[3] = const_cast<char*>("--tunables"), argv[4] = const_cast<char*>(tunables_path.c_str());
    const pid_t pid = fork();
    if (pid == 0) {
      execv(argv[0], argv.data());
      _exit(127);
    }
    nodes_[i].pid = pid;
  }

  void crash(std::size_t i) {
    if (nodes_[i].pid <= 0)
      return;
    kill(nodes_[i].pid, SIGKILL);
    waitpid(nodes_[i].pid, nullptr, 0);
    nodes_[i].pid = -1;
  }

  Options options_;
  net::EventLoop& loop_;
  net::TaskScope& scope_;
  net::HttpClient client_;
  std::size_t cell_;
  bool refuses_ = false;  // the relay refuses requests of other cells
  std::filesystem::path directory_;
  std::array<Process, kNodes> nodes_;
  std::unique_ptr<SimulatedCluster> cluster_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
  net::Seconds start_ = 0;
};

}  // namespace
}  // namespace wingtrail::simulation

int main(int argc, char** argv) {
  wingtrail::simulation::Options options;
  CLI::App app("Runs three controllers against a simulated state service, cloud, workers and users");
  app.add_option("--program", options.program, "the controller to start")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--former", options.former, "the program that the controllers run before their upgrade")
      ->check(CLI::ExistingFile);
  app.add_option("--tunables", options.tunables, "tunables file for the controllers")
      ->check(CLI::ExistingFile);
  app.add_option("--seconds", options.seconds, "duration in seconds; users submit in the first 60 %")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", options.seed, "seed of the simulated events");
  app.add_option("--troubles", options.troubles, "mean seconds between faults; 0: none");
  app.add_flag("--end-one", options.end_one, "kill one controller after 35 % of the time");
  app.add_flag(
      "--gap", options.gap,
      "after 50 s the state service refuses the leader alone, jobs are cancelled, and it is down for 45 s");
  app.add_flag("--late-messages", options.late_messages,
               "delay direct commands, and send copies of heartbeats to every controller again");
  app.add_option("--cells", options.cells, "number of clusters, each a cell")->check(CLI::Range(1, 5));
  app.add_flag("--tell", options.tell, "print progress");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::from_str(std::getenv("LOG_LEVEL") ? std::getenv("LOG_LEVEL") : "error"));
  using namespace wingtrail;
  net::EventLoop loop;
  net::TaskScope scope(loop);
  auto network = std::make_shared<simulation::CellNetwork>();
  std::vector<std::unique_ptr<simulation::Cluster>> cells;
  for (std::size_t c = 0; c < options.cells; ++c)
    cells.push_back(std::make_unique<simulation::Cluster>(options, loop, scope, c, network));
  for (auto& c : cells)
    c->write_neighbours(cells);
  for (auto& c : cells)
    c->begin();
  loop.before_sleep([&] {
    net::Seconds next = ports::kNever;
    for (auto& c : cells) {
      next = std::min(next, c->step());
      if (c->over())
        loop.stop();
    }
    return next;
  });
  loop.run();
  scope.cancel();
  simulation::RunReport total;
  for (auto& c : cells) {
    const simulation::RunReport& own = c->close();
    for (const auto& b : own.broken_rules)
      std::cout << b << "\n";
    total.broken_rules.insert(total.broken_rules.end(), own.broken_rules.begin(), own.broken_rules.end());
    total.accepted += own.accepted, total.started += own.started, total.finished += own.finished;
    total.with_dependencies += own.with_dependencies, total.orphaned += own.orphaned,
        total.cancelled += own.cancelled;
    total.batched += own.batched, total.unfinished += own.unfinished,
        total.remote_tasks_started += own.remote_tasks_started;
  }
  std::cout << total.accepted << " jobs accepted, " << total.started << " tasks started, " << total.finished
            << " jobs done, " << total.with_dependencies << " with needs, " << total.orphaned
            << " cancelled with one, " << total.cancelled << " cancelled, " << total.batched
            << " admitted on sheets, " << total.unfinished << " left undone, " << total.remote_tasks_started
            << " tasks in another cell than their home, " << total.broken_rules.size() << " rules broken\n";
  if (options.tell)
    std::cout << (total.broken_rules.empty()
                      ? "The rules held: no job was lost, run twice, or told wrongly.\n"
                      : "Rules were broken, see above.\n");
  // Unfinished jobs are no failure: the run is too short. The tests in simulated time check
  // that all jobs finish.
  return total.broken_rules.empty() && total.finished > 0 ? 0 : 1;
}
