// Stand-ins for the cases 4 to 8 of the review: the state service, the cloud, workers and users, as
// PROTOCOL-wingtrail.md describes them, and the controllers as processes started with the command of
// deploy/service.toml. Everything is on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "wire/value.hpp"

namespace stage {

namespace net = wingtrail::net;
using wingtrail::wire::Value;
using Seconds = double;

inline constexpr const char* kHost = "127.0.0.1";
inline constexpr std::size_t kNodes = 3;

// The port stays bound by this process, without listening, so the kernel gives it to nobody else.
inline std::uint16_t reserve_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof a;
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) != 0) {
    std::cerr << "no free port\n";
    std::exit(2);
  }
  return ntohs(a.sin_port);
}
inline std::string address(std::uint16_t port) {
  return std::string(kHost) + ":" + std::to_string(port);
}

// The limits and times of a deployment (BRIEF-wingtrail.md).
struct Deployment {
  std::vector<std::string> zones = {"brussel-noord", "gent-haven"};
  double report_s = 3, lease_s = 27, cancel_s = 47;
  double rps = 120, write_rps = 30, value_kb = 8;
  int txn_ops = 12;
  double cloud_rps = 8, list_lag_s = 5;
  double mem_mb = 136;
  int max_connections = 1800;
  std::vector<std::pair<std::string, std::pair<double, double>>> teams = {{"platform-ops", {0, 0}}};
};

class Stage;

// A job as its user knows it.
struct Job {
  std::string ref;
  Value body;
  double run_s = 1;  // of a task of an array
  bool service = false;
  bool mistaken = false;  // it was submitted with a mistake and fails on every machine
  bool submitted = false, accepted = false;
  std::set<std::uint32_t> done;
  std::uint32_t tasks = 1;
  double accepted_at = -1;
  std::string told;  // the last final state that a user was told
};

struct Answer {
  int status = 0;
  Value body;
  int retry_after_s = 0;
  std::string phase() const {
    return body.is_object() && body.contains("phase") ? body["phase"].get<std::string>() : "";
  }
};

// ---------------------------------------------------------------- state service

class StateService {
 public:
  struct Entry {
    Value data;
    std::uint64_t stamp = 0;
    std::optional<std::uint64_t> permit;
  };
  explicit StateService(Stage& stage) : stage_(stage) {}
  net::Task<net::Response> handle(std::size_t node, net::Request r);
  net::DetachedTask expire();

  std::map<std::string, Entry> kv;
  std::uint64_t rev = 0, next_permit = 1;
  struct Lease {
    double ttl = 0, ends = 0;
  };
  std::map<std::uint64_t, Lease> leases;
  double down_until = -1;
  std::map<std::size_t, double> refused_until;
  double latency = 0.006;
  std::optional<std::size_t> leader() const {
    const auto it = kv.find("lead");
    if (it == kv.end() || !it->second.data.contains("node"))
      return std::nullopt;
    return static_cast<std::size_t>(it->second.data["node"].get<std::string>().back() - '0');
  }
  std::uint64_t leader_token() const {
    const auto it = kv.find("lead");
    return it == kv.end() ? 0 : it->second.stamp;
  }
  // Called before a transaction is carried out; may sleep. Returns whether it is answered.
  std::function<net::Task<bool>(std::size_t node, const Value& txn)> before_txn;
  std::uint64_t requests = 0, throttled = 0;
  // Carries out a transaction now, without an answer.
  void carry_out(const Value& body) {
    txn(body);
  }

 private:
  struct Change {
    std::uint64_t rev;
    std::string key;
    Value data;
    bool erased;
  };
  bool unavailable(std::size_t node);
  void changed(const std::string& key, Value data, bool erased) {
    changes_.push_back({rev, key, std::move(data), erased});
    if (changes_.size() > 10'000)
      changes_.pop_front();
  }
  net::Response txn(const Value& body);
  Stage& stage_;
  std::deque<Change> changes_;
  double level_ = 1, write_level_ = 1, filled_at_ = -1;
};

// ---------------------------------------------------------------- cloud

struct MachineType {
  std::string name;
  double cpus, mem_gb, rate, market, boot_s;
};

class Worker;

class Cloud {
 public:
  explicit Cloud(Stage& stage) : stage_(stage) {}
  net::Task<net::Response> handle(net::Request r);
  net::DetachedTask snapshots();
  Worker& add(const std::string& type, const std::string& hall, bool standby, double boot_s);

  std::vector<MachineType> types = {{"kast-16", 16, 64, 1.11, 0.48, 35}, {"kast-32", 32, 128, 2.45, 1.02, 35}};
  std::size_t room = 0;  // machines that may still be rented
  std::vector<std::unique_ptr<Worker>> machines;
  double boot_factor = 1;

 private:
  Stage& stage_;
  std::deque<std::pair<double, Value>> lists_;
  std::map<std::string, Value> hired_;
};

// ---------------------------------------------------------------- workers

class Worker {
 public:
  struct Task {
    std::string shard;
    std::uint64_t attempt = 0;
    std::string phase = "pulling", cause;
    Job* job = nullptr;
    std::uint32_t index = 0;
    bool on_machine() const {
      return phase == "running" || phase == "saving";
    }
  };
  Worker(Stage& stage, std::string host_name, std::string type_name, std::string hall_name, bool spot);
  void boot(double after_s) {
    run(after_s);
  }
  Value report();
  bool lease_over() const;
  void check_lease();
  void commands(const Value& orders);
  net::Task<net::Response> handle(net::Request r);

  Stage& stage;
  std::string host, type, hall;
  bool standby;
  std::uint16_t port;
  bool up = false, gone = false, failing = false;
  std::uint64_t tenure = 1, counter = 0, mandate = 0;
  double lease_from = 0, rented_at = 0, fetch_s = 0.2;
  double hung_until = -1, mute_until = -1, deaf_until = -1;
  // When the machine stopped on its own; it is listed as running for 30 s more, then as failed.
  double failed_at = -1;
  void fail();
  std::size_t node = 0;
  std::vector<Task> tasks;

 private:
  net::DetachedTask run(double after_s);
  net::DetachedTask execute(std::string shard, std::uint64_t attempt, std::uint64_t in_tenure);
  void start(const std::string& shard, std::uint64_t attempt);
  Task* find(const std::string& shard, std::uint64_t attempt);
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<net::HttpClient> client_;
  bool changed_ = false;
};

// ---------------------------------------------------------------- the stage

class Stage {
 public:
  explicit Stage(Deployment d = {})
      : deployment(std::move(d)), client(scope, 3000, 8U << 20), state(*this), cloud(*this) {
    const char* folder = std::getenv("CASE");
    record_.open(std::string(folder ? folder : ".") + "/record.txt");
    const char* trouble_setting = std::getenv("TROUBLE");
    trouble = !trouble_setting || std::string(trouble_setting) != "0";
    folder_ = std::filesystem::temp_directory_path() / ("wingtrail-review-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder_);
    for (std::size_t i = 0; i < kNodes; ++i) {
      for (std::uint16_t* port : {&nodes[i].client, &nodes[i].peer, &nodes[i].state})
        *port = reserve_port();
    }
    cloud_port_ = reserve_port();
    begun_ = loop.refresh();
  }
  ~Stage() {
    for (std::size_t i = 0; i < kNodes; ++i)
      kill(i);
    std::filesystem::remove_all(folder_);
  }
  void open() {
    for (std::size_t i = 0; i < kNodes; ++i)
      serve(nodes[i].state, [this, i](net::Request r) { return state.handle(i, std::move(r)); });
    serve(cloud_port_, [this](net::Request r) { return cloud.handle(std::move(r)); });
    state.expire();
    cloud.snapshots();
  }
  std::unique_ptr<net::HttpServer> server(std::uint16_t port, net::HttpServer::Handler handler) {
    net::ServerLimits limits;
    limits.max_body = 8U << 20;
    limits.max_connections = 4000;
    limits.idle_s = 300;
    limits.request_s = 60;
    auto made = std::make_unique<net::HttpServer>(scope, kHost, port, limits, std::move(handler));
    if (const auto error = made->listen()) {
      std::cerr << *error << "\n";
      std::exit(2);
    }
    return made;
  }
  void serve(std::uint16_t port, net::HttpServer::Handler handler) {
    servers_.push_back(server(port, std::move(handler)));
  }

  double now() {
    return loop.refresh() - begun_;
  }
  net::Sleep sleep(double s) {
    return net::Sleep(scope, loop.refresh() + s);
  }
  void tell(const std::string& what) {
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f ", now());
    record_ << at << what << std::endl;
  }
  void broken(const std::string& what) {
    tell("BROKEN " + what);
    std::cout << "broken: " << what << std::endl;
    ++broken_count;
  }
  [[noreturn]] void finish(int code) {
    tell("exit " + std::to_string(code));
    for (std::size_t i = 0; i < kNodes; ++i)
      kill(i);
    std::filesystem::remove_all(folder_);
    std::_Exit(code);
  }

  // ---- controllers
  struct Node {
    std::uint16_t client = 0, peer = 0, state = 0;
    pid_t pid = -1;
  };
  std::array<Node, kNodes> nodes;
  // Addresses under which controller `from` finds the others; a case may put a proxy between.
  std::function<std::uint16_t(std::size_t from, std::size_t to)> peer_port;

  void write_settings(std::size_t i) {
    const Deployment& d = deployment;
    std::ofstream f(settings_path(i));
    f << "node_name = \"berth-" << i << "\"\narea = \"" << d.zones[i % d.zones.size()] << "\"\nclient_listen = \""
      << address(nodes[i].client) << "\"\npeer_listen = \"" << address(nodes[i].peer) << "\"\n";
    for (std::size_t p = 0; p < kNodes; ++p) {
      if (p == i)
        continue;
      f << "[[seeds]]\nnode_name = \"berth-" << p << "\"\narea = \"" << d.zones[p % d.zones.size()]
        << "\"\nendpoint = \"" << address(peer_port ? peer_port(i, p) : nodes[p].peer) << "\"\n";
    }
    f << "[external]\ncloud = \"" << address(cloud_port_) << "\"\nstate = \"" << address(nodes[i].state)
      << "\"\n[params]\nsize = 3\nzones = [";
    for (std::size_t z = 0; z < d.zones.size(); ++z)
      f << (z ? ", " : "") << '"' << d.zones[z] << '"';
    f << "]\ntime_bound_ms = 25.0\n";
    for (const auto& [name, cpus] : d.teams) {
      f << "[[params.teams]]\nname = \"" << name << "\"\ncpus = " << std::fixed << cpus.first
        << "\ncpus_max = " << cpus.second << "\ngpus = 0.0\ngpus_max = 0.0\n";
    }
    f << "[params.workers]\nreport_s = " << d.report_s << "\nlease_s = " << d.lease_s
      << "\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = " << d.cancel_s << "\n[params.state]\nrps = " << d.rps
      << "\nwrite_rps = " << d.write_rps << "\nvalue_kb = " << d.value_kb << "\ntxn_ops = " << d.txn_ops
      << "\n[params.cloud]\nrps = " << d.cloud_rps << "\nlist_lag_s = " << d.list_lag_s
      << "\n[params.limits]\ncores = 0.2\nmem_mb = " << d.mem_mb << "\nmax_connections = " << d.max_connections << "\n";
  }
  std::string settings_path(std::size_t i) const {
    return folder_ / ("berth-" + std::to_string(i) + ".toml");
  }
  // Starts a controller with the command of deploy/service.toml, which run-case.sh passes on.
  void start(std::size_t i) {
    if (nodes[i].pid > 0)
      return;
    write_settings(i);
    std::vector<std::string> command;  // `run` of deploy/service.toml, with the settings file as its last argument
    std::istringstream words(std::getenv("RUN_COMMAND") ? std::getenv("RUN_COMMAND") : "");
    for (std::string word; words >> word;)
      command.push_back(word);
    if (command.empty()) {
      std::cerr << "RUN_COMMAND is not set\n";
      finish(2);
    }
    command.push_back(settings_path(i));
    const std::string level = std::getenv("CASE_LOG") ? std::getenv("CASE_LOG") : "info";
    const std::string log_path = std::getenv("CASE_LOG_FOLDER")
                                     ? std::string(std::getenv("CASE_LOG_FOLDER")) + "/berth-" + std::to_string(i)
                                     : "/dev/null";
    const pid_t pid = fork();
    if (pid == 0) {
      if (FILE* f = std::freopen(log_path.c_str(), "a", stderr); !f)
        _exit(126);
      setenv("LOG_LEVEL", level.c_str(), 1);
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // no controller outlives the stand-ins
      std::vector<char*> argv;
      for (std::string& word : command)
        argv.push_back(word.data());
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    nodes[i].pid = pid;
    tell("start berth-" + std::to_string(i) + " pid " + std::to_string(pid));
  }
  void kill(std::size_t i) {
    if (nodes[i].pid <= 0)
      return;
    ::kill(nodes[i].pid, SIGCONT);
    ::kill(nodes[i].pid, SIGKILL);
    waitpid(nodes[i].pid, nullptr, 0);
    nodes[i].pid = -1;
    tell("kill berth-" + std::to_string(i));
  }
  void signal(std::size_t i, int number) {
    if (nodes[i].pid > 0)
      ::kill(nodes[i].pid, number);
    tell("signal " + std::to_string(number) + " to berth-" + std::to_string(i));
  }
  // Resident memory of the controller in MB; 0: not running.
  double resident_mb(std::size_t i) const {
    if (nodes[i].pid <= 0)
      return 0;
    std::ifstream f("/proc/" + std::to_string(nodes[i].pid) + "/statm");
    double size = 0, resident = 0;
    f >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
  }
  // Whether a controller ended by itself since the last call.
  std::optional<std::string> ended() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      int status = 0;
      if (nodes[i].pid <= 0 || waitpid(nodes[i].pid, &status, WNOHANG) != nodes[i].pid)
        continue;
      nodes[i].pid = -1;
      const std::string how = "berth-" + std::to_string(i) + " ended by itself, " +
                              (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                   : "status " + std::to_string(WEXITSTATUS(status)));
      tell(how);
      return how;
    }
    return std::nullopt;
  }

  // ---- users
  net::Task<Answer> ask(std::size_t node, std::string method, std::string path, Value body, double timeout_s) {
    net::Request r{method, path, body.is_null() ? "" : wingtrail::wire::encode_cbor(body)};
    const double asked = now();
    const net::CallResult result = co_await client.call(kHost, nodes[node].client, std::move(r), "application/cbor",
                                                        loop.refresh() + timeout_s, INFINITY);
    Answer answer;
    answer.status = result.status;
    if (!result.body.empty())
      answer.body = wingtrail::wire::decode_cbor(result.body).value_or(nullptr);
    char line[256];
    std::snprintf(line, sizeof line, "user berth-%zu %s %s asked at %.3f: %d %s", node, method.c_str(), path.c_str(),
                  asked, answer.status, answer.body.is_null() ? "" : answer.body.dump().c_str());
    if (tell_users)
      tell(line);
    co_return answer;
  }
  net::Task<Answer> submit(std::size_t node, Job& job) {
    job.submitted = true;
    Answer answer = co_await ask(node, "POST", "/api/jobs", job.body, 5);
    if ((answer.status == 200 || answer.status == 201) && !job.accepted) {
      job.accepted = true;
      job.accepted_at = now();
    }
    co_return answer;
  }
  net::Task<Answer> query(std::size_t node, const Job& job) {
    return ask(node, "GET", "/api/jobs/" + job.ref, nullptr, 2);
  }
  net::Task<Answer> abort(std::size_t node, const Job& job) {
    return ask(node, "POST", "/api/jobs/" + job.ref + "/abort", nullptr, 5);
  }
  Job& job(std::uint32_t tasks, double cpus, double mem_gb, double run_s, const std::string& cls = "consumption-recon",
           const std::string& team = "platform-ops") {
    char ref[24];
    std::snprintf(ref, sizeof ref, "req-%06zu", jobs.size() + 1);
    auto made = std::make_unique<Job>();
    made->ref = ref;
    made->run_s = run_s;
    made->tasks = tasks;
    made->body = {{"ref", ref},       {"jobclass", cls},    {"owner", team},         {"shape", "sweep"},
                  {"urgency", "standard"}, {"shards", tasks}, {"cores", cpus},         {"accelerators", 0.0},
                  {"memGb", mem_gb},  {"bundle", "img-1"},  {"sizeGb", 0.5},         {"flavours", nullptr},
                  {"hall", nullptr},  {"samePlace", false}, {"apart", false},        {"standby", true},
                  {"expectedS", run_s}, {"snapshotEveryS", 0.0}, {"snapshotCostS", 0.0}, {"dueS", nullptr}};
    jobs[ref] = std::move(made);
    return *jobs[ref];
  }
  Job& service(std::uint32_t tasks, double cpus, double mem_gb, const std::string& cls = "meter-handshake",
               const std::string& team = "platform-ops") {
    Job& made = job(tasks, cpus, mem_gb, 0, cls, team);
    made.service = true;
    made.body["shape"] = "standing";
    made.body["urgency"] = "critical";
    made.body["standby"] = false;
    return made;
  }
  Job* find_job(const std::string& ref) {
    const auto it = jobs.find(ref);
    return it == jobs.end() ? nullptr : it->second.get();
  }
  // A task begins to run on a worker: ran_twice.
  void on_running(Worker& worker, const Worker::Task& task) {
    tell("run " + task.shard + " try " + std::to_string(task.attempt) + " on " + worker.host);
    ++started;
    for (const auto& other : cloud.machines) {
      if (other.get() == &worker || other->gone || !other->up || other->lease_over())
        continue;
      for (const Worker::Task& t : other->tasks) {
        if (t.shard == task.shard && t.on_machine())
          broken("ran_twice: " + task.shard + " begins on " + worker.host + " while it is on " + other->host);
      }
    }
    if (check_start)
      check_start(worker, task);
  }
  std::function<void(Worker&, const Worker::Task&)> check_start;
  std::size_t on_machines(const Job& job) {
    std::size_t n = 0;
    for (const auto& m : cloud.machines) {
      if (m->gone || !m->up || m->lease_over())
        continue;
      for (const Worker::Task& t : m->tasks)
        n += t.job == &job && t.on_machine();
    }
    return n;
  }

  Deployment deployment;
  net::EventLoop loop;
  net::TaskScope scope{loop};
  net::HttpClient client;
  StateService state;
  Cloud cloud;
  std::map<std::string, std::unique_ptr<Job>> jobs;
  bool trouble = true, tell_users = true;
  std::size_t broken_count = 0, started = 0;
  std::mt19937 random{1};
  double between(double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(random);
  }

 private:
  std::filesystem::path folder_;
  std::ofstream record_;
  std::uint16_t cloud_port_ = 0;
  double begun_ = 0;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
};

// ---------------------------------------------------------------- definitions

inline net::Response respond(int status, const Value& body) {
  net::Response r;
  r.status = status;
  r.body = wingtrail::wire::encode_cbor(body);
  return r;
}
inline std::string unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}
inline std::string parameter(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos)
    return "";
  std::size_t at = query + 1;
  while (at < target.size()) {
    const auto end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    if (pair.starts_with(name + "="))
      return unescape(pair.substr(name.size() + 1));
    at = end + 1;
  }
  return "";
}

inline bool StateService::unavailable(std::size_t node) {
  const auto it = refused_until.find(node);
  return stage_.now() < down_until || (it != refused_until.end() && stage_.now() < it->second);
}

inline net::DetachedTask StateService::expire() {
  bool was_down = false;
  while (true) {
    if (co_await stage_.sleep(0.02) == net::WakeReason::cancelled)
      co_return;
    const double now = stage_.now();
    if (now < down_until) {
      was_down = true;
      continue;
    }
    if (was_down) {
      for (auto& [id, lease] : leases)
        lease.ends = now + lease.ttl;
    }
    was_down = false;
    for (auto it = leases.begin(); it != leases.end();) {
      if (now < it->second.ends) {
        ++it;
        continue;
      }
      const std::uint64_t id = it->first;
      it = leases.erase(it);
      bool counted = false;
      for (auto k = kv.begin(); k != kv.end();) {
        if (k->second.permit != id) {
          ++k;
          continue;
        }
        if (!counted)
          ++rev;
        counted = true;
        stage_.tell("state: lease " + std::to_string(id) + " over, " + k->first + " removed");
        changed(k->first, nullptr, true);
        k = kv.erase(k);
      }
    }
  }
}

inline net::Task<net::Response> StateService::handle(std::size_t node, net::Request r) {
  ++requests;
  co_await stage_.sleep(latency * stage_.between(0.5, 1.5));
  if (unavailable(node))
    co_return respond(503, {{"error", "trouble"}});
  const double now = stage_.now();
  const Deployment& d = stage_.deployment;
  if (filled_at_ >= 0) {
    level_ = std::min(d.rps, level_ + (now - filled_at_) * d.rps);
    write_level_ = std::min(d.write_rps, write_level_ + (now - filled_at_) * d.write_rps);
  } else {
    level_ = d.rps, write_level_ = d.write_rps;
  }
  filled_at_ = now;
  if (level_ < 1) {
    ++throttled;
    co_return respond(429, Value::object());
  }
  level_ -= 1;
  const Value body =
      r.body.empty() ? Value::object() : wingtrail::wire::decode_cbor(r.body).value_or(Value::object());
  if (r.method == "POST" && r.target == "/leases") {
    const std::uint64_t id = next_permit++;
    const double ttl = body.value("ttlMs", 1000.0) / 1000;
    leases[id] = {ttl, now + ttl};
    co_return respond(200, {{"permit", id}});
  }
  if (r.target.starts_with("/leases/")) {
    const auto it = leases.find(std::stoull(r.target.substr(8)));
    if (it == leases.end())
      co_return respond(404, Value::object());
    it->second.ends = r.method == "DELETE" ? now : now + it->second.ttl;
    co_return respond(200, Value::object());
  }
  if (r.target.starts_with("/kv?")) {
    const std::string prefix = parameter(r.target, "prefix"), after = parameter(r.target, "after");
    const std::string most_text = parameter(r.target, "most");
    const std::size_t most = std::min<std::size_t>(most_text.empty() ? 1000 : std::stoul(most_text), 1000);
    Value items = Value::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto it = kv.lower_bound(prefix); it != kv.end() && it->first.starts_with(prefix); ++it) {
      if (it->first <= after)
        continue;
      if (items.size() == most || bytes > 500 * 1024) {
        more = true;
        break;
      }
      items.push_back({{"path", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}});
      bytes += items.back().dump().size();
    }
    co_return respond(200, {{"items", items}, {"more", more}, {"ledgerRev", rev}});
  }
  if (r.target.starts_with("/kv/")) {
    const auto it = kv.find(r.target.substr(4));
    if (it == kv.end())
      co_return respond(404, {{"ledgerRev", rev}});
    Value item = {{"path", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}};
    if (it->second.permit)
      item["permit"] = *it->second.permit;
    co_return respond(200, item);
  }
  if (r.target.starts_with("/follow")) {
    const std::string prefix = parameter(r.target, "prefix"), hold = parameter(r.target, "holdMs");
    const std::uint64_t after = std::stoull(parameter(r.target, "after"));
    const double until = now + (hold.empty() ? 0 : std::stod(hold) / 1000);
    while (true) {
      if (!unavailable(node)) {
        if (changes_.size() == 10'000 && changes_.front().rev > after + 1)
          co_return respond(410, Value::object());
        Value events = Value::array();
        for (const Change& c : changes_) {
          if (c.rev <= after || !c.key.starts_with(prefix))
            continue;
          events.push_back(c.erased ? Value{{"delete", c.key}, {"stamp", c.rev}}
                                    : Value{{"put", c.key}, {"data", c.data}, {"stamp", c.rev}});
        }
        if (!events.empty() || stage_.now() >= until)
          co_return respond(200, {{"ledgerRev", rev}, {"events", events}});
      }
      if (co_await stage_.sleep(0.005) == net::WakeReason::cancelled)
        co_return respond(503, Value::object());
    }
  }
  if (r.method == "POST" && r.target == "/txn") {
    if (before_txn && !co_await before_txn(node, body)) {
      co_await stage_.sleep(120);
      co_return respond(503, Value::object());
    }
    co_return txn(body);
  }
  co_return respond(400, {{"error", "malformed"}});
}

inline net::Response StateService::txn(const Value& body) {
  const Deployment& d = stage_.deployment;
  const Value none = Value::array();
  const Value& conditions = body.contains("if") ? body["if"] : none;
  const Value& changes = body.contains("apply") ? body["apply"] : none;
  bool over = changes.size() > static_cast<std::size_t>(d.txn_ops) ||
              conditions.size() > 4 * static_cast<std::size_t>(d.txn_ops) || body.dump().size() > 65536;
  for (const Value& c : changes)
    over = over || (c.contains("data") && c["data"].dump().size() > d.value_kb * 1024);
  if (over)
    return respond(400, {{"error", "limits"}});
  const auto count = static_cast<double>(changes.size());
  if (count > 0 && write_level_ < count) {
    ++throttled;
    return respond(429, Value::object());
  }
  write_level_ -= count;
  Value failed = Value::array();
  for (const Value& c : conditions) {
    const auto it = kv.find(c["path"].get<std::string>());
    if ((it == kv.end() ? 0 : it->second.stamp) != c["stamp"].get<std::uint64_t>())
      failed.push_back(c["path"]);
  }
  for (const Value& c : changes) {
    if (c.contains("put") && c.contains("permit") && !c["permit"].is_null() &&
        !leases.contains(c["permit"].get<std::uint64_t>()))
      return respond(400, {{"error", "no such lease"}});
  }
  if (!failed.empty())
    return respond(409, {{"failed", failed}, {"ledgerRev", rev}});
  if (changes.empty())
    return respond(200, {{"ledgerRev", rev}});
  ++rev;
  for (const Value& c : changes) {
    if (c.contains("put")) {
      const auto key = c["put"].get<std::string>();
      Entry entry{c["data"], rev, std::nullopt};
      if (c.contains("permit") && !c["permit"].is_null())
        entry.permit = c["permit"].get<std::uint64_t>();
      if (key == "lead")
        stage_.tell("state: lead put " + c.dump() + " stamp " + std::to_string(rev));
      kv[key] = std::move(entry);
      changed(key, c["data"], false);
    } else if (kv.erase(c["delete"].get<std::string>())) {
      changed(c["delete"].get<std::string>(), nullptr, true);
    }
  }
  return respond(200, {{"ledgerRev", rev}});
}

inline Worker& Cloud::add(const std::string& type, const std::string& hall, bool standby, double boot_s) {
  char host[16];
  std::snprintf(host, sizeof host, "i-%06zu", machines.size() + 1);
  machines.push_back(std::make_unique<Worker>(stage_, host, type, hall, standby));
  machines.back()->rented_at = stage_.now();
  machines.back()->boot(boot_s);
  return *machines.back();
}

inline net::DetachedTask Cloud::snapshots() {
  while (true) {
    Value hosts = Value::array();
    for (const auto& m : machines) {
      if (!m->gone)
        hosts.push_back({{"ref", m->host}, {"addr", address(m->port)}, {"flavour", m->type}, {"hall", m->hall},
                         {"standby", m->standby},
                         {"phase", m->failed_at >= 0 && stage_.now() > m->failed_at + 30 ? "failed"
                                   : m->up                                               ? "running"
                                                                                         : "starting"},
                         {"ageS", stage_.now() - m->rented_at}});
    }
    lists_.emplace_back(stage_.now(), std::move(hosts));
    while (lists_.size() > 120)
      lists_.pop_front();
    if (co_await stage_.sleep(0.25) == net::WakeReason::cancelled)
      co_return;
  }
}

inline net::Task<net::Response> Cloud::handle(net::Request r) {
  co_await stage_.sleep(0.05);
  const Value body =
      r.body.empty() ? Value::object() : wingtrail::wire::decode_cbor(r.body).value_or(Value::object());
  if (r.target == "/catalog") {
    Value list = Value::array();
    for (const MachineType& t : types)
      list.push_back({{"name", t.name}, {"cores", t.cpus}, {"accelerators", 0.0}, {"memGb", t.mem_gb},
                      {"cacheGb", 70.0}, {"fetchGbPerS", 0.6}, {"rate", t.rate}, {"marketPrice", t.market},
                      {"bootS", t.boot_s}, {"halls", stage_.deployment.zones}});
    co_return respond(200, {{"flavours", list}});
  }
  if (r.method == "GET") {
    const double at = stage_.now() - stage_.deployment.list_lag_s * stage_.between(1, 2);
    const std::string after = parameter(r.target, "after");
    Value hosts = Value::array();
    const Value* chosen = nullptr;
    for (const auto& [when, list] : lists_) {
      if (when <= at)
        chosen = &list;
    }
    if (chosen) {
      for (const Value& host : *chosen) {
        if (host["ref"].get<std::string>() > after)
          hosts.push_back(host);
      }
    }
    co_return respond(200, {{"hosts", hosts}, {"more", false}});
  }
  if (r.target == "/machines") {
    const auto name = body["hire"].get<std::string>();
    if (const auto it = hired_.find(name); it != hired_.end())
      co_return respond(200, it->second);
    Value names = Value::array();
    const auto type = body["flavour"].get<std::string>();
    double boot_s = 35;
    for (const MachineType& t : types)
      boot_s = t.name == type ? t.boot_s : boot_s;
    for (std::size_t n = body["howMany"].get<std::size_t>(); n > 0 && room > 0; --n, --room)
      names.push_back(add(type, body["hall"].get<std::string>(), body["standby"].get<bool>(),
                          boot_s * boot_factor * stage_.between(0.6, 1.5))
                          .host);
    if (names.empty())
      co_return respond(503, {{"error", "no capacity"}});
    hired_[name] = {{"hosts", names}};
    stage_.tell("cloud: hired " + names.dump());
    co_return respond(200, hired_[name]);
  }
  for (const Value& host : body["hosts"]) {
    for (const auto& m : machines) {
      if (m->host != host.get<std::string>() || m->gone)
        continue;
      m->gone = true;
      m->failed_at = -1;
      stage_.tell("cloud: returned " + m->host + " with " + std::to_string(m->tasks.size()) + " tasks");
      m->tasks.clear();
    }
  }
  co_return respond(200, Value::object());
}

inline Worker::Worker(Stage& on, std::string host_name, std::string type_name, std::string hall_name, bool spot)
    : stage(on),
      host(std::move(host_name)),
      type(std::move(type_name)),
      hall(std::move(hall_name)),
      standby(spot),
      port(reserve_port()) {
  client_ = std::make_unique<net::HttpClient>(stage.scope, 4, 1U << 20);
}

inline Value Worker::report() {
  Value shards = Value::array();
  for (const Task& t : tasks) {
    Value v{{"shard", t.shard}, {"try", t.attempt}, {"phase", t.phase}};
    if (t.phase == "exited")
      v["cause"] = t.cause;
    shards.push_back(std::move(v));
  }
  return {{"host", host},       {"addr", address(port)}, {"flavour", type},    {"hall", hall},
          {"standby", standby}, {"tenure", tenure},      {"counter", ++counter}, {"mandate", mandate},
          {"reclaimInS", nullptr}, {"shards", shards}};
}
inline bool Worker::lease_over() const {
  return stage.loop.now() - lease_from > stage.deployment.lease_s;
}
inline void Worker::check_lease() {
  stage.loop.refresh();
  if (!up || gone || !lease_over())
    return;
  stage.tell(host + ": lease over, tenure " + std::to_string(tenure) + " ends with " + std::to_string(tasks.size()) +
             " tasks");
  tasks.clear();
  ++tenure;
  lease_from = stage.loop.now();
}
inline void Worker::fail() {
  stage.tell(host + ": stops on its own with " + std::to_string(tasks.size()) + " tasks");
  failed_at = stage.now();
  up = false;
  tasks.clear();
}
inline Worker::Task* Worker::find(const std::string& shard, std::uint64_t attempt) {
  for (Task& t : tasks) {
    if (t.shard == shard && t.attempt == attempt)
      return &t;
  }
  return nullptr;
}
inline void Worker::commands(const Value& orders) {
  for (const Value& order : orders) {
    const auto verb = order["verb"].get<std::string>(), shard = order["shard"].get<std::string>();
    const auto attempt = order["try"].get<std::uint64_t>();
    stage.tell(host + ": " + verb + " " + shard + " try " + std::to_string(attempt));
    if (verb == "start") {
      start(shard, attempt);
    } else if (Task* task = find(shard, attempt)) {
      if (verb == "halt" && task->phase != "exited") {
        task->phase = "exited";
        task->cause = "halted";
        changed_ = true;
      } else if (verb == "reap" && task->phase == "exited") {
        tasks.erase(tasks.begin() + (task - tasks.data()));
        changed_ = true;
      }
    }
  }
}
inline void Worker::start(const std::string& shard, std::uint64_t attempt) {
  if (find(shard, attempt))
    return;
  Task task;
  task.shard = shard;
  task.attempt = attempt;
  const auto slash = shard.rfind('/');
  task.job = stage.find_job(shard.substr(0, slash));
  task.index = static_cast<std::uint32_t>(std::stoul(shard.substr(slash + 1)));
  changed_ = true;
  double cpus = 0, mem = 0, all_cpus = 0, all_mem = 0;
  for (const MachineType& t : stage.cloud.types) {
    if (t.name == type)
      all_cpus = t.cpus, all_mem = t.mem_gb;
  }
  std::string refusal;
  if (!task.job || !task.job->submitted || task.index >= task.job->tasks) {
    refusal = "unknown";
  } else {
    cpus = task.job->body["cores"].get<double>(), mem = task.job->body["memGb"].get<double>();
    for (const Task& t : tasks) {
      if (t.phase == "exited")
        continue;
      if (t.shard == shard)
        refusal = "busy";
      cpus += t.job->body["cores"].get<double>(), mem += t.job->body["memGb"].get<double>();
    }
    if (refusal.empty() && (cpus > all_cpus + 1e-9 || mem > all_mem + 1e-9))
      refusal = "no_room";
  }
  if (!refusal.empty()) {
    task.phase = "exited";
    task.cause = refusal;
    tasks.push_back(task);
    return;
  }
  tasks.push_back(task);
  execute(shard, attempt, tenure);
}
inline net::DetachedTask Worker::execute(std::string shard, std::uint64_t attempt, std::uint64_t in_tenure) {
  co_await stage.sleep(fetch_s);
  while (stage.now() < hung_until)
    co_await stage.sleep(0.05);
  check_lease();
  Task* task = find(shard, attempt);
  if (gone || !up || tenure != in_tenure || !task || task->phase != "pulling")
    co_return;
  task->phase = "running";
  changed_ = true;
  stage.on_running(*this, *task);
  Job& job = *task->job;
  const bool fails = failing || job.mistaken;
  if (job.service && !fails)
    co_return;
  if (!job.done.contains(task->index))
    co_await stage.sleep(fails ? 0.3 : job.run_s);
  while (stage.now() < hung_until)
    co_await stage.sleep(0.05);
  check_lease();
  task = find(shard, attempt);
  if (gone || !up || tenure != in_tenure || !task || task->phase != "running")
    co_return;
  task->phase = "exited";
  task->cause = fails ? "error" : "done";
  changed_ = true;
  if (task->cause == "done")
    job.done.insert(task->index);
  stage.tell("exit " + shard + " " + (fails ? "error" : "done") + " on " + host);
}
inline net::Task<net::Response> Worker::handle(net::Request r) {
  while (stage.now() < hung_until)
    co_await stage.sleep(0.05);
  if (gone || !up || stage.now() < deaf_until) {  // silent: the connection hangs
    co_await stage.sleep(600);
    co_return respond(503, Value::object());
  }
  check_lease();
  if (r.method == "GET")
    co_return respond(200, report());
  const Value body = wingtrail::wire::decode_cbor(r.body).value_or(Value::object());
  if (!body.contains("mandate") || !body.contains("tenure"))
    co_return respond(400, Value::object());
  const auto token = body["mandate"].get<std::uint64_t>();
  if (token < mandate || body["tenure"].get<std::uint64_t>() != tenure)
    co_return respond(409, report());
  if (token > mandate)
    changed_ = true;
  mandate = token;
  commands(body["orders"]);
  co_return respond(200, report());
}
inline net::DetachedTask Worker::run(double after_s) {
  co_await stage.sleep(after_s);
  if (gone)
    co_return;
  up = true;
  lease_from = stage.loop.refresh();
  server_ = stage.server(port, [this](net::Request r) { return handle(std::move(r)); });
  node = stage.random() % kNodes;
  stage.tell(host + ": up at " + address(port));
  double next = stage.now() + stage.between(0, 0.5), last = -1;
  while (!gone && up) {
    // Changes are reported at once, but not more often than every half second.
    while (stage.now() < next && !(changed_ && stage.now() >= last + 0.5)) {
      if (co_await stage.sleep(0.02) == net::WakeReason::cancelled)
        co_return;
    }
    while (stage.now() < hung_until)
      co_await stage.sleep(0.05);
    if (gone || !up)
      co_return;
    check_lease();
    changed_ = false;
    const std::uint64_t sent_tenure = tenure;
    const double sent = stage.loop.refresh();
    last = stage.now();
    net::Request r{"POST", "/agent/beat", wingtrail::wire::encode_cbor(report())};
    net::CallResult result;
    if (stage.now() < mute_until)
      co_await stage.sleep(0.5);
    else
      result = co_await client_->call(kHost, stage.nodes[node].client, std::move(r), "application/cbor",
                                      stage.loop.refresh() + 4, INFINITY);
    while (stage.now() < hung_until)
      co_await stage.sleep(0.05);
    if (gone || !up)
      co_return;
    if (stage.now() < deaf_until)
      result.status = 0;
    check_lease();
    const Value body = result.body.empty() ? Value::object()
                                           : wingtrail::wire::decode_cbor(result.body).value_or(Value::object());
    next = stage.now() + stage.deployment.report_s * stage.between(0.75, 1.25);
    if (result.status == 200 && stage.loop.now() - sent <= 4) {
      const auto token = wingtrail::wire::count(body, "mandate");
      if (token && *token >= mandate && tenure == sent_tenure) {
        if (*token > mandate)
          changed_ = true;
        mandate = *token;
        lease_from = sent;
        if (body.contains("orders"))
          commands(body["orders"]);
      }
      continue;
    }
    if (result.status == 421) {
      const auto steward = wingtrail::wire::text(body, "steward");
      bool known = false;
      for (std::size_t i = 0; steward && i < kNodes; ++i) {
        if (*steward == "berth-" + std::to_string(i) && i != node) {
          node = i;
          known = true;
          break;
        }
      }
      if (known) {
        next = stage.now() + stage.between(0, 0.5);
        continue;
      }
    }
    node = (node + 1) % kNodes;
    next = stage.now() + 1;
  }
}

}  // namespace stage
