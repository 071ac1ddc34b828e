/// @file
/// Messages between workers and the scheduler: heartbeats with the states of tasks, and commands.
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

/// The state of one task in a heartbeat.
struct TaskStatus {
  /// The task's job.
  std::string ref;
  /// The task's number in the job, from 0.
  std::uint32_t task = 0;
  /// The attempt: which start of the task this is.
  std::uint64_t attempt = 0;
  /// The task's phase.
  TaskPhase phase = TaskPhase::fetching;
  /// Why the task exited.
  ExitCause cause = ExitCause::none;
};

/// A worker's periodic message about its machine and all its tasks.
struct Heartbeat {
  /// The machine's name in the cloud.
  std::string host;
  /// The HOST:PORT at which the worker accepts commands.
  std::string address;
  /// The name of the machine type.
  std::string type;
  /// The machine's zone.
  std::string zone;
  /// Whether the machine is a spot machine.
  bool spot = false;
  /// At least 1; increases each time the worker's lease expires.
  std::uint64_t incarnation = 0;
  /// Increases with every heartbeat. Of two heartbeats, the larger (incarnation, sequence) is newer.
  std::uint64_t sequence = 0;
  /// The highest fencing token that the worker has seen.
  std::uint64_t fencing_token = 0;
  /// The time until the cloud reclaims the spot machine, in seconds; none: no preemption notice.
  std::optional<double> preemption_in_s;
  /// All tasks of the worker, including exited ones that the leader has not acknowledged.
  std::vector<TaskStatus> tasks;
};
/// Reads a heartbeat from its CBOR form (implemented in heartbeat_reader.cpp).
Result<Heartbeat> parse_heartbeat(std::string_view cbor);

/// A command of the leader to a worker, for one attempt of a task.
struct Command {
  /// Start the task; stop it; or acknowledge its exit, after which heartbeats no longer contain it.
  enum class Verb : std::uint8_t { start, stop, forget };
  /// What the worker does.
  Verb verb;
  /// The task's name, such as `req-000412/3`.
  std::string task;
  /// The attempt that the command applies to.
  std::uint64_t attempt;
  /// For a stop: the time that the task has for a last checkpoint, in seconds.
  double grace_s = 0;
};
/// The protocol's name of a command.
const char* verb_name(Command::Verb verb);
/// The leader's answer to a heartbeat: its fencing token and commands.
Value heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
/// The body of commands sent to a worker without waiting for its heartbeat, for that incarnation only.
Value commands_body(std::uint64_t token, std::uint64_t incarnation, const std::vector<Command>& commands);
/// The answer of a controller that may not answer heartbeats; `node` names the leader, empty if unknown.
Value leader_redirect(const std::string& node);

/// The path to which workers send heartbeats.
inline constexpr const char* kHeartbeatPath = "/agent/beat";
/// The path at which a worker accepts commands.
inline constexpr const char* kCommandsPath = "/commands";

}  // namespace wingtrail::wire
