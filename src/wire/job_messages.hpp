/// @file
/// What users exchange with the scheduler about jobs, and the records of jobs that the state service holds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// How a job's tasks belong together: independent ones, replicas that run until cancelled, or tasks that run
/// only all together. The protocol page of today's users has no gang; its aims and settings do.
enum class Shape : std::uint8_t { array, service, gang };
/// A job's priority, from the lowest to the highest.
enum class Priority : std::uint8_t { low, normal, high, production };
/// A job's phase as users see it. Done and cancelled are final.
enum class Phase : std::uint8_t { queued, running, done, cancelled };

/// The most tasks that one job may have.
inline constexpr std::uint32_t kMaxTasks = 100'000;

/// An amount of each resource.
struct Resources {
  /// CPUs.
  double cpus = 0;
  /// GPUs.
  double gpus = 0;
  /// Memory, in GB.
  double memory_gb = 0;
};

/// A job as it was submitted.
struct JobSpec {
  /// The user's reference; unique, and the same when a submission is repeated.
  std::string ref;
  /// The class of jobs that it belongs to.
  std::string job_class;
  /// The team that the job is charged to.
  std::string team;
  /// The image that every task runs.
  std::string image;
  /// How its tasks belong together.
  Shape shape = Shape::array;
  /// Its priority.
  Priority priority = Priority::normal;
  /// The number of tasks, from 1 to kMaxTasks.
  std::uint32_t tasks = 0;
  /// What each task takes.
  Resources task_resources;
  /// The image's size, in GB.
  double image_gb = 0;
  /// The machine types it may run on; empty: any.
  std::vector<std::string> types;
  /// The zone it must run in; none: any.
  std::optional<std::string> zone;
  /// All tasks run in one zone.
  bool same_zone = false;
  /// Tasks are spread over zones.
  bool spread_zones = false;
  /// Tasks may run on spot machines.
  bool allows_spot = false;
  /// The run time of a task that the user expects, in seconds.
  double estimate_s = 0;
  /// The time between two checkpoints, in seconds; 0: no checkpoints.
  double checkpoint_interval_s = 0;
  /// What a checkpoint takes, in seconds.
  double checkpoint_cost_s = 0;
  /// The time within which the user needs the job done, in seconds from its submission.
  std::optional<double> deadline_s;
  /// Jobs that must be done before any of its tasks starts; sorted, each once.
  std::vector<std::string> depends_on;
};

/// Whether the text has the form of a job's reference.
bool valid_ref(std::string_view ref);
/// Reads a submission or a job's record.
Result<JobSpec> parse_job(const Value& map);
/// The submission as a message.
Value job_value(const JobSpec& spec);
/// A live job's record: its submission, and the time of day at which it was accepted, in seconds since 1970.
Value job_record(const JobSpec& spec, double submitted_at);
/// The time of day at which a live job was accepted.
std::optional<double> submitted_at(const Value& record);
/// Whether the record is of a job that depends on others.
bool has_dependencies(const Value& record);

/// The record of a job that is over.
struct FinalState {
  /// Done or cancelled.
  Phase phase = Phase::done;
  /// The number of the job's tasks.
  std::uint32_t tasks = 0;
  /// The time of day of its end, in seconds since 1970; records of versions before dependencies have none.
  std::optional<double> ended_at;
};
/// The final state as a record.
Value final_state_record(const FinalState& ended);
/// Reads a final state; none if the record is not one.
std::optional<FinalState> parse_final_state(const Value& record);

/// The answer to a submission or a cancellation.
Value job_state(const std::string& ref, Phase phase);
/// The answer to a question about a job, with how many of its tasks are done and are running.
Value job_progress(const std::string& ref, Phase phase, std::uint32_t done, std::uint32_t running);
/// The phase in such an answer.
std::optional<Phase> parse_phase(const Value& job_state_value);
/// The phase's name in the protocol.
const char* phase_name(Phase phase);

/// The job and the number of a task.
struct TaskName {
  /// The job's reference.
  std::string ref;
  /// The task's number in it, from 0.
  std::uint32_t task = 0;
};
/// Reads a name such as `req-000412/3`.
std::optional<TaskName> parse_task_name(std::string_view name);
/// The name of a job's task.
std::string task_name(const std::string& ref, std::uint32_t index);

/// Where users submit jobs and ask about them.
inline constexpr const char* kJobsPath = "/api/jobs";
/// After a job's path: where users cancel it.
inline constexpr const char* kAbortSuffix = "/abort";
/// The health check.
inline constexpr const char* kReadyPath = "/ready";

}  // namespace wingtrail::wire
