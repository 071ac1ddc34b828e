// Starts three controllers as processes of their own and plays the rest of the cluster over real sockets: the
// state service, the cloud, the workers and the users of the simulated cluster, in real time and with the
// same checks.
//   process_cluster --program build/wingtrail [--former older/wingtrail] [--seconds S] [--seed N] [--troubles
//   SECONDS] [--end-one] [--tell] [--cells N]
// With --cells, several such clusters beside each other, the first with more work than machines; what their
// controllers say to each other goes through a relay here that refuses it for a while, and all controllers of
// the last are killed for a while, too. With --former, all begin as that program and come back as the new
// one, one after the other; tests/upgrade.sh builds the version in production for it.
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
constexpr net::Seconds kUserWaits = 10;
constexpr const char* kHere = "127.0.0.1";

struct Options {
  std::string program, former;
  double seconds = 40;
  std::string tunables;
  std::uint64_t seed = 1;
  double troubles = 0;
  bool end_one = false, tell = false, gap = false, late_messages = false;
  std::size_t cells = 1;
};

// A port that was free a moment ago.
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
  return std::string(kHere) + ":" + std::to_string(port);
}

class Cluster {
 public:
  Cluster(const Options& options, net::EventLoop& loop, net::TaskScope& scope, std::size_t cell,
          std::shared_ptr<CellNetwork> reach)
      : options_(options),
        loop_(loop),
        scope_(scope),
        client_(scope_, 500, 1u << 20),
        cell_(cell),
        folder_(std::filesystem::temp_directory_path() /
                ("wingtrail-cluster-" + std::to_string(getpid()) + "-" + std::to_string(cell))) {
    std::filesystem::create_directories(folder_);
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
    plan.fair_admission = !options.tunables.empty();  // users come together, too
    if (options.cells > 1) {
      plan.arrival_s = cell == 0 ? 1.5 : 10;
      plan.max_machines = cell == 0 ? 6 : 16;
    }
    world_ = std::make_unique<SimulatedCluster>(
        plan,
        SimulatedCluster::ExternalProcesses{
            [this](std::size_t i, controller::IncomingRequest in, SimulatedCluster::AnswerCallback then) {
              carry(i, std::move(in), std::move(then));
            },
            [this](const std::string& host) { return worker(host); }, [this](std::size_t i) { boot(i); },
            [this](std::size_t i) {
              crash(i);
            }});
    if (options.cells > 1) {
      reach->cells.push_back(world_.get());
      world_->join_network(reach);
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      serve(nodes_[i].state, [this, i](net::Request r, SimulatedCluster::ReplyCallback reply) {
        world_->state_service_request(i, r.method, r.target, body(r), std::move(reply));
      });
      serve(nodes_[i].cloud, [this](net::Request r, SimulatedCluster::ReplyCallback reply) {
        world_->cloud_request(r.method, r.target, body(r), std::move(reply));
      });
      write_settings(i);
      auto relay = [this, i](net::Request r) -> net::Task<net::Response> {
        return pass_on(i, std::move(r));
      };
      servers_.push_back(
          std::make_unique<net::HttpServer>(scope_, kHere, nodes_[i].relay, net::ServerLimits{}, relay));
      if (auto why = servers_.back()->listen())
        spdlog::error("{}", *why);
    }
  }
  ~Cluster() {
    for (std::size_t i = 0; i < kNodes; ++i)
      crash(i);
    std::filesystem::remove_all(folder_);
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Who the neighbours are, once all have their ports.
  void meet(const std::vector<std::unique_ptr<Cluster>>& all) {
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
    world_->begin();
    say("Three controllers start; the state service, the cloud, the workers and the users are played here.");
    if (options_.end_one) {
      world_->schedule_after(options_.seconds * 0.35, [this] {
        say("node-0 is killed without a word; it comes back by itself within some seconds.");
        world_->crash(0);
      });
    }
    if (options_.gap)
      play_gap();
    if (options_.late_messages)
      play_late_messages();
    if (options_.cells > 1) {
      world_->schedule_after(options_.seconds * 0.25, [this] { refuses_ = true; });
      world_->schedule_after(options_.seconds * 0.35, [this] { refuses_ = false; });
    }
    if (options_.cells > 1 && cell_ + 1 == options_.cells) {
      for (double t = 0; t < options_.seconds * 0.1; t += 0.5) {
        world_->schedule_after(options_.seconds * 0.42 + t, [this] {
          for (std::size_t i = 0; i < kNodes; ++i)
            world_->crash(i);
        });
      }
    }
    if (options_.tell)
      tell();
  }
  // Direct commands are held up, and copies of reports arrive again at every controller.
  void play_late_messages() {
    constexpr double kCommands = 0.3, kReports = 0.4;
    const double lasts = options_.seconds * 0.6;
    world_->delay_commands(kCommands, lasts);
    world_->duplicate_heartbeats_late(kReports, lasts, SimulatedCluster::DuplicateArrival::later);
  }

  // docs/combined-faults.md: the leader refused alone, jobs called off, then the service down for all.
  void play_gap() {
    constexpr double kFrom = 50, kRefused = 14, kCancels = 6, kDown = 9, kDownFor = 45;
    world_->schedule_after(kFrom, [this] {
      const std::size_t old = world_->leader_key_holder().value_or(0);
      say("the state service refuses node-" + std::to_string(old) + ", which leads, alone");
      world_->refuse_state_service(old, kRefused);
    });
    for (int n = 0; n < 4; ++n)
      world_->schedule_after(kFrom + kCancels + 0.5 * n, [this] { world_->cancel_running_jobs(4, 0); });
    world_->schedule_after(kFrom + kDown, [this] {
      say(std::to_string(world_->run_report().cancelled_together) + " running jobs called off so far, " +
          std::to_string(world_->run_report().told_gone) +
          " cancellations confirmed; now the state service is down for all");
      world_->state_outage(kDownFor);
    });
  }
  // Plays what is due; when it should be looked at next, and whether it is over.
  net::Seconds step() {
    world_->step(now());
    return start_ + std::min(world_->next(), options_.seconds);
  }
  bool over() {
    return now() >= options_.seconds || !world_->run_report().broken_rules.empty();
  }
  const RunReport& close() {
    return world_->close();
  }

 private:
  struct Process {
    std::uint16_t client = 0, peer = 0, state = 0, cloud = 0;
    std::uint16_t relay = 0;  // where the controllers of other cells find it
    pid_t pid = -1;
  };
  using Service = std::function<void(net::Request, SimulatedCluster::ReplyCallback)>;

  double now() {
    return loop_.refresh() - start_;
  }

  void say(const std::string& what) {
    if (options_.tell)
      std::cout << std::fixed << std::setprecision(0) << std::setw(4) << now() << " s  " << what << std::endl;
  }
  void tell() {
    constexpr double kEvery = 5;
    world_->schedule_after(kEvery, [this] {
      const RunReport& v = world_->run_report();
      say(std::to_string(v.accepted) + " jobs accepted, " + std::to_string(v.started) + " tasks started, " +
          std::to_string(v.finished) + " jobs done, " + std::to_string(v.cancelled) + " cancelled; " +
          std::to_string(v.late_commands) + " commands and " + std::to_string(v.late_heartbeats) +
          " reports came late; " + (v.broken_rules.empty() ? "no rule broken" : "A RULE WAS BROKEN"));
      tell();
    });
  }

  static wire::Value body(const net::Request& r) {
    return wire::decode_cbor(r.body).value_or(wire::Value::object());
  }

  void serve(std::uint16_t port, Service service) {
    auto handle = [this, service = std::move(service)](net::Request r) -> net::Task<net::Response> {
      return answer(service, std::move(r));
    };
    servers_.push_back(std::make_unique<net::HttpServer>(scope_, kHere, port, net::ServerLimits{}, handle));
    if (auto why = servers_.back()->listen())
      spdlog::error("{}", *why);
  }

  net::Task<net::Response> answer(const Service& service, net::Request r) {
    using Got = std::pair<int, wire::Value>;
    // The world may answer long after this routine has given up.
    auto got = std::make_shared<net::OneShot<Got>>();
    world_->step(now());
    service(std::move(r), [got](int status, wire::Value v) { got->set({status, std::move(v)}); });
    auto reply = co_await got->wait(scope_, loop_.now() + 60);
    net::Response out;
    out.status = reply ? reply->first : 504;
    if (reply)
      out.body = wire::encode_cbor(reply->second);
    co_return out;
  }

  // What a controller of another cell says to this one's.
  net::Task<net::Response> pass_on(std::size_t i, net::Request r) {
    net::Response out;
    out.status = 503;
    if (refuses_)
      co_return out;
    const net::CallResult o = co_await client_.call(kHere, nodes_[i].peer, std::move(r),
                                                    "application/msgpack", loop_.now() + 5, ports::kNever);
    if (scope_.cancelled() || o.status == 0)
      co_return out;
    out.status = o.status;
    out.content_type = "application/msgpack";
    out.body = o.body;
    co_return out;
  }

  std::string worker(const std::string& host) {
    const std::uint16_t port = free_port();
    serve(port, [this, host](net::Request r, const SimulatedCluster::ReplyCallback& reply) {
      // One that hangs does not answer: the caller's own deadline ends its wait.
      if (auto a = world_->worker_commands(host, body(r)))
        reply(a->first, std::move(a->second));
    });
    return address(port);
  }

  net::DetachedTask carry(std::size_t i, controller::IncomingRequest in,
                          SimulatedCluster::AnswerCallback then) {
    net::Request request{in.method, in.path, in.body};
    const net::CallResult o =
        co_await client_.call(kHere, nodes_[i].client, std::move(request), "application/cbor",
                              loop_.now() + kUserWaits, ports::kNever);
    if (scope_.cancelled() || o.status == 0)
      co_return;
    ports::Answer a;
    a.status = o.status;
    if (!o.body.empty())
      a.body = wire::decode_cbor(o.body).value_or(nullptr);
    world_->step(now());
    then(a);
  }

  void write_settings(std::size_t i) const {
    const settings::Settings& s = world_->settings_before_upgrade();
    const settings::Settings& next = world_->settings();
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
    return folder_ / ("node-" + std::to_string(i) + ".toml");
  }

  std::string tunables() const {
    return options_.cells > 1 ? std::string(folder_ / "tunables.yaml") : options_.tunables;
  }

  void boot(std::size_t i) {
    if (nodes_[i].pid > 0)
      return;
    const std::string settings = path(i);
    const std::string& program = world_->runs_former_version(i) ? options_.former : options_.program;
    const std::string choices = tunables();
    std::array<char*, 6> argv = {const_cast<char*>(program.c_str()), const_cast<char*>("--config"),
                                 const_cast<char*>(settings.c_str())};
    // The former program does not know all the names.
    if (!choices.empty() && !world_->runs_former_version(i))
      argv[3] = const_cast<char*>("--tunables"), argv[4] = const_cast<char*>(choices.c_str());
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
  bool refuses_ = false;  // what other cells say
  std::filesystem::path folder_;
  std::array<Process, kNodes> nodes_;
  std::unique_ptr<SimulatedCluster> world_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
  net::Seconds start_ = 0;
};

}  // namespace
}  // namespace wingtrail::simulation

int main(int argc, char** argv) {
  wingtrail::simulation::Options options;
  CLI::App app("Three controllers against stand-ins for everything around them");
  app.add_option("--program", options.program, "the controller to start")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--former", options.former, "what the controllers are at first")->check(CLI::ExistingFile);
  app.add_option("--tunables", options.tunables, "the operators' choices for it")->check(CLI::ExistingFile);
  app.add_option("--seconds", options.seconds, "how long; users submit in the first 60 %")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", options.seed, "what happens");
  app.add_option("--troubles", options.troubles, "mean seconds between troubles; 0: none");
  app.add_flag("--end-one", options.end_one, "kill one controller after a third of the time");
  app.add_flag(
      "--gap", options.gap,
      "after 50 s the state service refuses the leader alone, jobs are called off, and it is down for 45 s");
  app.add_flag("--late-messages", options.late_messages,
               "direct commands are held up, and copies of reports arrive again at every controller");
  app.add_option("--cells", options.cells, "so many clusters, each a cell beside the others")
      ->check(CLI::Range(1, 5));
  app.add_flag("--tell", options.tell, "say what is going on");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::from_str(std::getenv("LOG_LEVEL") ? std::getenv("LOG_LEVEL") : "error"));
  using namespace wingtrail;
  net::EventLoop loop;
  net::TaskScope scope(loop);
  auto reach = std::make_shared<simulation::CellNetwork>();
  std::vector<std::unique_ptr<simulation::Cluster>> cells;
  for (std::size_t c = 0; c < options.cells; ++c)
    cells.push_back(std::make_unique<simulation::Cluster>(options, loop, scope, c, reach));
  for (auto& c : cells)
    c->meet(cells);
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
  simulation::RunReport v;
  for (auto& c : cells) {
    const simulation::RunReport& own = c->close();
    for (const auto& b : own.broken_rules)
      std::cout << b << "\n";
    v.broken_rules.insert(v.broken_rules.end(), own.broken_rules.begin(), own.broken_rules.end());
    v.accepted += own.accepted, v.started += own.started, v.finished += own.finished;
    v.with_dependencies += own.with_dependencies, v.orphaned += own.orphaned, v.cancelled += own.cancelled;
    v.batched += own.batched, v.unfinished += own.unfinished,
        v.remote_tasks_started += own.remote_tasks_started;
  }
  std::cout << v.accepted << " jobs accepted, " << v.started << " tasks started, " << v.finished
            << " jobs done, " << v.with_dependencies << " with needs, " << v.orphaned
            << " cancelled with one, " << v.cancelled << " cancelled, " << v.batched
            << " admitted on sheets, " << v.unfinished << " left undone, " << v.remote_tasks_started
            << " tasks in another cell than their home, " << v.broken_rules.size() << " rules broken\n";
  if (options.tell)
    std::cout << (v.broken_rules.empty() ? "The rules held: no job was lost, run twice, or told wrongly.\n"
                                         : "Rules were broken, see above.\n");
  // The time is too short for every job to end; the simulated cluster demands that, in its own time.
  return v.broken_rules.empty() && v.finished > 0 ? 0 : 1;
}
