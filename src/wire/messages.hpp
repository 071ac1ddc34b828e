// The public protocol's messages. This package is the only place that knows the protocol's field names;
// everywhere else the field's usual terms are used: task, array, service, zone, spot, image, session, token.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wire/value.hpp"

namespace wingtrail::wire {

// A value or the reason why there is none.
template <typename T>
class Result {
 public:
  Result(T value) : v_(std::in_place_index<0>, std::move(value)) {}
  static Result fail(std::string why) {
    return Result(Failed{std::move(why)});
  }
  explicit operator bool() const {
    return v_.index() == 0;
  }
  T& operator*() {
    return std::get<0>(v_);
  }
  const T& operator*() const {
    return std::get<0>(v_);
  }
  T* operator->() {
    return &std::get<0>(v_);
  }
  const T* operator->() const {
    return &std::get<0>(v_);
  }
  const std::string& error() const {
    return std::get<1>(v_).why;
  }

 private:
  struct Failed {
    std::string why;
  };
  explicit Result(Failed f) : v_(std::in_place_index<1>, std::move(f)) {}
  std::variant<T, Failed> v_;
};

// ---- users

// A gang's tasks run only all together. The protocol page of today's users has none, its aims and settings
// do.
enum class Shape : std::uint8_t { array, service, gang };
enum class Priority : std::uint8_t { low, normal, high, production };
enum class Phase : std::uint8_t { queued, running, done, cancelled };

inline constexpr std::uint32_t kMaxTasks = 100'000;

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
};

struct JobSpec {
  std::string ref, job_class, team, image;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources task_resources;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::optional<std::string> zone;
  bool same_zone = false, spread_zones = false, allows_spot = false;
  double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_cost_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> depends_on;  // jobs that must be done before any of its tasks starts; each once
};

bool valid_ref(std::string_view ref);
Result<JobSpec> parse_job(const Value& v);
Value job_value(const JobSpec& spec);
// What the state service holds of a live job: the submission, and the time of day when it was accepted.
Value job_record(const JobSpec& spec, double submitted_at);
std::optional<double> submitted_at(const Value& record);
// And of one that is over. Records of versions before chains have no time.
struct FinalState {
  Phase phase = Phase::done;
  std::uint32_t tasks = 0;
  std::optional<double> ended_at;  // time of day
};
Value final_state_record(const FinalState& ended);
std::optional<FinalState> parse_final_state(const Value& record);
Value job_state(const std::string& ref, Phase phase);
Value job_progress(const std::string& ref, Phase phase, std::uint32_t done, std::uint32_t running);
std::optional<Phase> parse_phase(const Value& job_state_value);
const char* phase_name(Phase phase);

// "req-000412/3" -> job reference and task number.
struct TaskName {
  std::string ref;
  std::uint32_t task = 0;
};
std::optional<TaskName> parse_task_name(std::string_view name);
std::string task_name(const std::string& ref, std::uint32_t index);

inline constexpr const char* kJobsPath = "/api/jobs";
inline constexpr const char* kAbortSuffix = "/abort";
inline constexpr const char* kReadyPath = "/ready";
inline constexpr const char* kHeartbeatPath = "/agent/beat";
inline constexpr const char* kCommandsPath = "/commands";

// ---- workers

enum class TaskPhase : std::uint8_t { fetching, running, saving, exited };
enum class ExitCause : std::uint8_t { none, done, stopped, error, no_room, busy, unknown };

struct TaskStatus {
  std::string ref;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::fetching;
  ExitCause cause = ExitCause::none;
};

struct Heartbeat {
  std::string host, address, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, sequence = 0, fencing_token = 0;
  std::optional<double> preemption_in_s;
  std::vector<TaskStatus> tasks;
};
// Straight from CBOR, without a tree of values between: reports are most of what a leader reads.
Result<Heartbeat> parse_heartbeat(std::string_view cbor);

struct Command {
  enum class Verb : std::uint8_t { start, stop, forget } verb;
  std::string task;
  std::uint64_t attempt;
  double grace_s = 0;
};
Value heartbeat_reply(std::uint64_t token, const std::vector<Command>& orders);
Value commands_body(std::uint64_t token, std::uint64_t session, const std::vector<Command>& orders);
Value leader_redirect(const std::string& node);

// ---- cloud

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0,
         boot_s = 0;
  std::vector<std::string> zones;
};
Result<std::vector<MachineType>> parse_catalog(const Value& v);

struct ListedMachine {
  enum class State : std::uint8_t { booting, running, failed };
  std::string host, address, type, zone;
  bool spot = false;
  State state = State::booting;
  double age_s = 0;
};
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};
Result<MachineList> parse_machine_list(const Value& v);
std::string machine_list_path(const std::string& after, int limit);
Value rental_body(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                  int count);
Value return_body(const std::vector<std::string>& hosts);
Result<std::vector<std::string>> parse_rented(const Value& v);
inline constexpr const char* kCatalogPath = "/catalog";
inline constexpr const char* kMachinesPath = "/machines";
inline constexpr const char* kReturnPath = "/machines/return";

// ---- state service

struct Item {
  std::string key;
  Value value;
  std::uint64_t version = 0;
};
struct Range {
  std::vector<Item> items;
  bool more = false;
  std::uint64_t revision = 0;
};
struct Change {
  bool deleted = false;
  std::string key;
  Value value;
  std::uint64_t version = 0;
};
struct Changes {
  std::uint64_t revision = 0;
  std::vector<Change> events;
};

// A transaction under construction. `bytes` tracks its size so that callers can stay below the limit.
class Transaction {
 public:
  Transaction& require(const std::string& key, std::uint64_t version);
  Transaction& put(const std::string& key, Value value, std::uint64_t lease = 0);
  Transaction& erase(const std::string& key);
  int change_count() const {
    return change_count_;
  }
  int condition_count() const {
    return static_cast<int>(body_["if"].size());
  }
  Value take() {
    return std::move(body_);
  }

 private:
  Value body_ = Value{{"if", Value::array()}, {"apply", Value::array()}};
  int change_count_ = 0;
};
// Whether the record is of a job that waits for others.
bool has_dependencies(const Value& record);
std::optional<std::uint64_t> revision(const Value& v);
std::vector<std::string> failed_keys(const Value& v);  // of a transaction whose comparison failed
std::optional<std::uint64_t> lease_id(const Value& v);
Value lease_body(int ttl_ms);
Result<Item> parse_item(const Value& v);
Result<Range> parse_range(const Value& v);
Result<Changes> parse_changes(const Value& v);
std::string key_path(const std::string& key);
std::string range_path(const std::string& prefix, const std::string& after, int limit);
std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms);
std::string renew_path(std::uint64_t lease);

}  // namespace wingtrail::wire
