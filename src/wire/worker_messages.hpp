/// @file
/// What workers and the scheduler exchange: heartbeats with the state of tasks, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// A task's phase on its worker.
enum class TaskPhase : std::uint8_t { fetching, running, saving, exited };
/// Why a task exited; `none` while it has not.
enum class ExitCause : std::uint8_t { none, done, stopped, error, no_room, busy, unknown };

/// One task as its worker reports it.
struct TaskStatus {
  /// The task's job.
  std::string ref;
  /// The task's number in it, from 0.
  std::uint32_t task = 0;
  /// Which start of the task this is.
  std::uint64_t attempt = 0;
  /// Its phase.
  TaskPhase phase = TaskPhase::fetching;
  /// Why it exited, if it has.
  ExitCause cause = ExitCause::none;
};

/// A worker's report on its machine and all its tasks.
struct Heartbeat {
  /// The machine's name in the cloud.
  std::string host;
  /// Where the worker takes commands, as HOST:PORT.
  std::string address;
  /// The machine type.
  std::string type;
  /// The zone.
  std::string zone;
  /// Whether it is a spot machine.
  bool spot = false;
  /// At least 1; increases each time the worker's lease expires.
  std::uint64_t incarnation = 0;
  /// Increases with every report; of two, the one with the larger (incarnation, sequence) is the newer.
  std::uint64_t sequence = 0;
  /// The highest fencing token that the worker has seen.
  std::uint64_t fencing_token = 0;
  /// How soon the cloud takes the machine back, in seconds; none: nothing is announced.
  std::optional<double> preemption_in_s;
  /// All tasks of the worker.
  std::vector<TaskStatus> tasks;
};
/// Reads a heartbeat from its CBOR form (heartbeat_reader.cpp).
Result<Heartbeat> parse_heartbeat(std::string_view cbor);

/// What the leader commands a worker to do with a task.
struct Command {
  /// Start it; stop it; or drop an exited one from the reports.
  enum class Verb : std::uint8_t { start, stop, forget };
  /// What to do.
  Verb verb;
  /// The task's name, such as `req-000412/3`.
  std::string task;
  /// The start of the task that is meant.
  std::uint64_t attempt;
  /// With a stop: the time for a last checkpoint, in seconds.
  double grace_s = 0;
};
/// The leader's answer to a heartbeat.
Value heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
/// Commands sent to a worker without waiting for its heartbeat; `incarnation` is the one they are meant for.
Value commands_body(std::uint64_t token, std::uint64_t incarnation, const std::vector<Command>& commands);
/// The answer of a node that may not answer heartbeats; `node` is the leader, empty if none is known.
Value leader_redirect(const std::string& node);

/// Where workers send heartbeats.
inline constexpr const char* kHeartbeatPath = "/agent/beat";
/// Where a worker takes commands.
inline constexpr const char* kCommandsPath = "/commands";

}  // namespace wingtrail::wire
