// Starts three controllers as real processes and simulates the rest of the cluster over real sockets:
// the state service, the cloud, the workers and the users of the simulated cluster, in real time and
// with the same checks.
//   process_cluster --program build/wingtrail [--former older/wingtrail] [--seconds S] [--seed N] [--troubles
//   SECONDS] [--end-one] [--tell] [--cells N]
// --cells runs several such clusters, each a cell. The first has more work than machines. Messages
// between the controllers of different cells pass through a relay in this program, which refuses them
// for a while, and all controllers of the last cell are killed for a while. --former starts all
// controllers with that program and restarts them one by one with the new one; tests/upgrade.sh builds
// the version in production for it. --soak plays overlapping faults (soak_faults.hpp) while users go on.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <unordered_map>

#include "controller_processes.hpp"
#include "load_balancer.hpp"
#include "nested_bodies.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "simulation/simulated_cluster.hpp"
#include "soak_faults.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::simulation {
namespace {

constexpr net::Seconds kUserTimeoutS = 10, kPeerTimeoutS = 5;
constexpr net::Seconds kRestartS = 3;  // within which a killed controller is up again

struct Options {
  std::string program, former;
  double seconds = 40;
  std::string tunables;
  std::uint64_t seed = 1;
  double troubles = 0;
  bool end_one = false, tell = false, gap = false, late_messages = false, soak = false, nested_bodies = false;
  int workers = 0;
  std::size_t max_connections = 1000;
  std::string planted_fault;
  std::size_t cells = 1;
};

class Cluster {
 public:
  Cluster(const Options& options, net::EventLoop& loop, net::TaskScope& scope, std::size_t cell,
          std::shared_ptr<CellNetwork> network)
      : options_(options),
        loop_(loop),
        scope_(scope),
        client_(scope_, 500, 1u << 20),
        cell_(cell),
        processes_(std::filesystem::temp_directory_path() /
                   ("wingtrail-cluster-" + std::to_string(getpid()) + "-" + std::to_string(cell))),
        load_balancer_(scope, client_ports(), options.seed) {
    SimulationPlan plan;
    plan.seed = options.seed + 1000 * cell;
    plan.cell = cell, plan.cells = options.cells;
    plan.duration_s = options.seconds * 0.6;
    plan.settle_s = options.seconds * 0.4;
    plan.fault_every_s = options.troubles;
    if (options.soak)
      configure_soak(plan);
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
            [this](std::size_t i) { boot(i); }, [this](std::size_t i) { processes_.kill(i); },
            [this] {
              return load_balancer_.choose();
            }});
    if (options.cells > 1) {
      network->cells.push_back(cluster_.get());
      cluster_->join_network(network);
    }
    for (std::size_t i = 0; i < kControllers; ++i) {
      serve(processes_.ports(i).state, [this, i](net::Request r, SimulatedCluster::ReplyCallback reply) {
        if (!cluster_->is_cut("node-" + std::to_string(i), "state"))
          cluster_->state_service_request(i, r.method, r.target, body(r), std::move(reply));
      });
      serve(processes_.ports(i).cloud, [this](net::Request r, SimulatedCluster::ReplyCallback reply) {
        cluster_->cloud_request(r.method, r.target, body(r), std::move(reply));
      });
      processes_.write_settings(i, cluster_->settings_before_upgrade(), cluster_->settings(),
                                options_.max_connections);
      serve_peer_proxies(i);
      auto relay = [this, i](net::Request r) -> net::Task<net::Response> {
        return relay_request(i, std::move(r));
      };
      servers_.push_back(std::make_unique<net::HttpServer>(scope_, kLoopback, processes_.ports(i).relay,
                                                           net::ServerLimits{}, relay));
      if (auto error = servers_.back()->listen())
        spdlog::error("process_cluster: listen_failed error={}", *error);
    }
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
      for (std::size_t i = 0; i < kControllers; ++i)
        f << (i > 0 ? ", " : "") << '"' << loopback_address(other->processes_.ports(i).relay) << '"';
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
    load_balancer_.start();
    if (options_.soak) {
      soak_faults_ = std::make_unique<SoakFaults>(*cluster_, processes_, options_.seed, soak_faults_end_s());
      soak_faults_->schedule();
    }
    if (options_.nested_bodies)
      schedule_nested_bodies();
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
          for (std::size_t i = 0; i < kControllers; ++i)
            cluster_->crash(i);
        });
      }
    }
    if (options_.tell)
      schedule_progress();
  }
  // Delays direct commands, sends copies of heartbeats to every controller again, and repeats requests.
  void schedule_late_messages() {
    constexpr double kDelayedCommands = 0.3, kDuplicatedHeartbeats = 0.4, kRepeatedRequests = 0.3;  // shares
    const double duration_s = options_.seconds * 0.6;
    cluster_->delay_commands(kDelayedCommands, duration_s);
    cluster_->repeat_requests(kRepeatedRequests, duration_s);
    cluster_->duplicate_heartbeats_late(kDuplicatedHeartbeats, duration_s,
                                        SimulatedCluster::DuplicateArrival::later);
  }

  // Sends each nested body to each controller, to each path that reads bodies, until shortly before the end.
  void schedule_nested_bodies() {
    constexpr double kFirstAtS = 5;
    const std::vector<std::string> bodies = nested_bodies(wire::kMaxBody);
    const std::array paths = {wire::kJobsPath, wire::kHeartbeatPath, peer::kPeerPath};
    const auto count = static_cast<double>(bodies.size() * paths.size() * kControllers);
    const double interval_s = (options_.seconds - kUserTimeoutS - kFirstAtS) / count;
    double at = kFirstAtS;
    for (const std::string& body : bodies) {
      for (const char* path : paths) {
        for (std::size_t i = 0; i < kControllers; ++i) {
          cluster_->schedule_at(at, [this, i, path, body] { send_nested_body(i, path, body); });
          at += interval_s;
        }
      }
    }
  }
  // Whether a request sent at that time must be answered.
  bool must_be_answered(double sent_at) const {
    return options_.soak ? sent_at > soak_faults_end_s() + kRestartS : options_.troubles == 0;
  }
  net::DetachedTask send_nested_body(std::size_t i, std::string path, std::string body) {
    const std::uint16_t port =
        path == peer::kPeerPath ? processes_.ports(i).peer : processes_.ports(i).client;
    const double sent_at = now();
    net::Request request{"POST", path, std::move(body)};
    const net::CallResult result = co_await client_.call(
        kLoopback, port, std::move(request), "application/cbor", loop_.now() + kUserTimeoutS, ports::kNever);
    if (scope_.cancelled())
      co_return;
    if (result.status != 0)
      ++nested_bodies_answered_;
    else if (must_be_answered(sent_at))
      failures_.push_back("a nested body was not answered by node-" + std::to_string(i) + " on " + path);
    if (result.status / 100 == 2)
      failures_.push_back("a nested body was accepted by node-" + std::to_string(i) + " on " + path);
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
    for (std::size_t i = 0; i < kControllers; ++i) {
      if (const auto how = processes_.ended_by_itself(i))
        failures_.push_back("node-" + std::to_string(i) + " ended by itself: " + *how);
    }
    return start_ + std::min(cluster_->next(), options_.seconds);
  }
  // True when the time is up, a rule is broken or a controller has failed.
  bool over() {
    return now() >= options_.seconds || !cluster_->run_report().broken_rules.empty() || !failures_.empty();
  }
  // Controllers that ended by themselves, and nested bodies that were not answered.
  const std::vector<std::string>& failures() const {
    return failures_;
  }
  std::size_t nested_bodies_answered() const {
    return nested_bodies_answered_;
  }
  const RunReport& close() {
    return cluster_->close();
  }

 private:
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
                     " commands and " + std::to_string(v.late_heartbeats) + " heartbeats came late, " +
                     std::to_string(v.repeated_commands) + " commands and " +
                     std::to_string(v.repeated_requests) + " other requests twice; " +
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
    constexpr int kUnavailable = 503;
    if (!refuses_)
      co_return co_await pass_on(processes_.ports(i).peer, std::move(r), kUnavailable);
    net::Response response;
    response.status = kUnavailable;
    co_return response;
  }
  // Sends a frame to a controller and returns its answer, or `no_reply_status` if there is none.
  net::Task<net::Response> pass_on(std::uint16_t port, net::Request r, int no_reply_status) {
    net::Response response;
    response.status = no_reply_status;
    const net::CallResult result = co_await client_.call(kLoopback, port, std::move(r), "application/msgpack",
                                                         loop_.now() + kPeerTimeoutS, ports::kNever);
    if (scope_.cancelled() || result.status == 0)
      co_return response;
    response.status = result.status;
    response.content_type = "application/msgpack";
    response.body = result.body;
    co_return response;
  }

  // Starts the server of a worker and returns its address.
  std::string serve_worker(const std::string& host) {
    const std::uint16_t port = reserve_port();
    serve(port, [this, host](net::Request r, const SimulatedCluster::ReplyCallback& reply) {
      // A machine that hangs sends no answer; the caller's timeout ends the call.
      if (auto a = cluster_->worker_commands(host, body(r)))
        reply(a->first, std::move(a->second));
    });
    return loopback_address(port);
  }

  // With the option soak, users go on until the end, and every job has to be answered soon after the last
  // fault.
  void configure_soak(SimulationPlan& plan) const {
    constexpr double kAnsweredWithinS = 20;
    plan.duration_s = options_.seconds;
    plan.settle_s = 0;
    plan.fault_every_s = 0;
    plan.arrival_s = 3;
    plan.machines = 12;
    plan.max_machines = 60;
    plan.peer_agreement = plan.load_balancing = plan.zone_tracking = true;
    plan.delegation_leases = 5;
    plan.back_from = 0.2, plan.back_to = 3;
    plan.unanswered_limit_s = kAnsweredWithinS;
    plan.planted_fault = options_.planted_fault;
    if (options_.workers > 0) {
      plan.machines = options_.workers;
      plan.max_machines = static_cast<std::size_t>(options_.workers);
      plan.idle_return_s = options_.seconds;
    }
  }
  // The time after the last fault is long enough to detect a job without an answer.
  double soak_faults_end_s() const {
    constexpr double kCalmS = 40;
    return options_.seconds - kCalmS;
  }
  std::vector<std::uint16_t> client_ports() const {
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < kControllers; ++i)
      ports.push_back(processes_.ports(i).client);
    return ports;
  }

  // Passes the requests of controller `i` on to its peers, unless the link between them is cut.
  void serve_peer_proxies(std::size_t i) {
    for (std::size_t peer = 0; peer < kControllers; ++peer) {
      if (peer == i)
        continue;
      auto handle = [this, i, peer](net::Request r) -> net::Task<net::Response> {
        return proxy_to_peer(i, peer, std::move(r));
      };
      net::ServerLimits limits;
      limits.max_body = 2 * wire::kMaxBody;
      servers_.push_back(std::make_unique<net::HttpServer>(
          scope_, kLoopback, processes_.ports(i).peer_proxies[peer], limits, handle));
      if (auto error = servers_.back()->listen())
        spdlog::error("process_cluster: listen_failed error={}", *error);
    }
  }
  net::Task<net::Response> proxy_to_peer(std::size_t i, std::size_t peer, net::Request r) {
    constexpr int kGatewayTimeout = 504;
    const std::string from = "node-" + std::to_string(i), to = "node-" + std::to_string(peer);
    if (!cluster_->is_cut(from, to))
      co_return co_await pass_on(processes_.ports(peer).peer, std::move(r), kGatewayTimeout);
    co_await net::Sleep(scope_, loop_.now() + kPeerTimeoutS);
    net::Response response;
    response.status = kGatewayTimeout;
    co_return response;
  }

  // Returns the connection pool of the request's sender.
  net::HttpClient& client_of(const controller::IncomingRequest& incoming) {
    if (incoming.path != wire::kHeartbeatPath)
      return client_;
    const auto heartbeat = wire::decode_cbor(incoming.body);
    const std::string host = heartbeat ? wire::text(*heartbeat, "host").value_or("") : "";
    std::unique_ptr<net::HttpClient>& client = worker_clients_[host];
    if (!client)
      client = std::make_unique<net::HttpClient>(scope_, 1, 1U << 20);
    return *client;
  }

  // Sends a request to controller `i` and calls `then` with the answer; does not call it if there is none.
  net::DetachedTask send_request(std::size_t i, controller::IncomingRequest incoming,
                                 SimulatedCluster::AnswerCallback then) {
    net::Request request{incoming.method, incoming.path, incoming.body};
    const net::CallResult result =
        co_await client_of(incoming).call(kLoopback, processes_.ports(i).client, std::move(request),
                                          "application/cbor", loop_.now() + kUserTimeoutS, ports::kNever);
    if (scope_.cancelled() || result.status == 0)
      co_return;
    ports::Answer answer;
    answer.status = result.status;
    if (!result.body.empty())
      answer.body = wire::decode_cbor(result.body).value_or(nullptr);
    cluster_->step(now());
    then(answer);
  }

  std::string tunables() const {
    return options_.cells > 1 ? processes_.tunables_path() : options_.tunables;
  }

  void boot(std::size_t i) {
    // The former program does not know all tunables.
    const bool former = cluster_->runs_former_version(i);
    processes_.start(i, former ? options_.former : options_.program, former ? "" : tunables());
  }

  Options options_;
  net::EventLoop& loop_;
  net::TaskScope& scope_;
  net::HttpClient client_;
  std::size_t cell_;
  bool refuses_ = false;  // the relay refuses requests of other cells
  ControllerProcesses processes_;
  LoadBalancer load_balancer_;
  std::unique_ptr<SoakFaults> soak_faults_;
  // Each worker keeps a connection of its own, unlike users, who share client_.
  std::unordered_map<std::string, std::unique_ptr<net::HttpClient>> worker_clients_;
  std::unique_ptr<SimulatedCluster> cluster_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
  std::vector<std::string> failures_;
  std::size_t nested_bodies_answered_ = 0;
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
  app.add_flag(
      "--late-messages", options.late_messages,
      "delay direct commands, send copies of heartbeats to every controller again, and repeat requests");
  app.add_flag("--nested-bodies", options.nested_bodies,
               "send bodies that are nested as deeply as their size allows, and demand answers");
  app.add_flag("--soak", options.soak,
               "overlapping faults until 40 s before the end; then every job must be answered within 20 s");
  app.add_option("--workers", options.workers, "number of workers of a soak; 0: the default")
      ->check(CLI::Range(0, 500));
  app.add_option("--max-connections", options.max_connections, "connections that each controller may use")
      ->check(CLI::Range(64, 10'000));
  app.add_option("--planted-fault", options.planted_fault,
                 "a fault of the simulated users that a check has to find");
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
  std::size_t failures = 0, nested_bodies_answered = 0;
  for (auto& c : cells) {
    const simulation::RunReport& own = c->close();
    for (const auto& b : own.broken_rules)
      std::cout << b << "\n";
    for (const auto& failure : c->failures())
      std::cout << failure << "\n";
    failures += c->failures().size(), nested_bodies_answered += c->nested_bodies_answered();
    total.broken_rules.insert(total.broken_rules.end(), own.broken_rules.begin(), own.broken_rules.end());
    total.accepted += own.accepted, total.started += own.started, total.finished += own.finished;
    total.with_dependencies += own.with_dependencies, total.orphaned += own.orphaned,
        total.cancelled += own.cancelled;
    total.longest_unanswered = std::max(total.longest_unanswered, own.longest_unanswered);
    total.longest_unanswered_beside_answers =
        std::max(total.longest_unanswered_beside_answers, own.longest_unanswered_beside_answers);
    total.batched += own.batched, total.unfinished += own.unfinished,
        total.remote_tasks_started += own.remote_tasks_started;
    total.repeated_commands += own.repeated_commands, total.repeated_requests += own.repeated_requests;
  }
  std::cout << total.accepted << " jobs accepted, " << total.started << " tasks started, " << total.finished
            << " jobs done, " << total.with_dependencies << " with needs, " << total.orphaned
            << " cancelled with one, " << total.cancelled << " cancelled, " << total.batched
            << " admitted on sheets, " << total.unfinished << " left undone, " << total.remote_tasks_started
            << " tasks in another cell than their home, " << total.repeated_commands << " commands and "
            << total.repeated_requests << " other requests carried out twice, " << total.broken_rules.size()
            << " rules broken\n";
  if (options.nested_bodies)
    std::cout << nested_bodies_answered << " nested bodies answered\n";
  if (options.soak)
    std::cout << "soak seed " << options.seed << ": longest without an answer after the last fault "
              << total.longest_unanswered << " s, at any time beside answers "
              << total.longest_unanswered_beside_answers << " s\n";
  if (options.tell)
    std::cout << (total.broken_rules.empty()
                      ? "The rules held: no job was lost, run twice, or told wrongly.\n"
                      : "Rules were broken, see above.\n");
  // Unfinished jobs are no failure: the run is too short. The tests in simulated time check
  // that all jobs finish.
  const bool answered = !options.nested_bodies || nested_bodies_answered > 0;
  return total.broken_rules.empty() && failures == 0 && answered && total.finished > 0 ? 0 : 1;
}
