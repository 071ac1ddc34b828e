/// @file
/// Messages between users and the scheduler about jobs, and the records of jobs in the state service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// The kind of a job: independent tasks, replicas that run until they are cancelled, or tasks that run only
/// all at once. Today's protocol page for users has no gang; its service-level objectives and settings do.
enum class Shape : std::uint8_t { array, service, gang };
/// A job's priority, from the lowest to the highest.
enum class Priority : std::uint8_t { low, normal, high, production };
/// A job's phase as users see it. Done and cancelled are final.
enum class Phase : std::uint8_t { queued, running, done, cancelled };

/// The most tasks that one job may have.
inline constexpr std::uint32_t kMaxTasks = 100'000;

/// Amounts of the resources that are scheduled.
struct Resources {
  /// The number of CPUs; may be a fraction.
  double cpus = 0;
  /// The number of GPUs; may be a fraction.
  double gpus = 0;
  /// The amount of memory, in GB.
  double memory_gb = 0;
};

/// A job as it was submitted.
struct JobSpec {
  /// The user's unique reference for the job. A repeated submission has the same one.
  std::string ref;
  /// The job class. Service-level objectives and the correction of run-time estimates are kept per class.
  std::string job_class;
  /// The team that the job is charged to.
  std::string team;
  /// The image that every task runs.
  std::string image;
  /// The kind of the job.
  Shape shape = Shape::array;
  /// Its priority.
  Priority priority = Priority::normal;
  /// The number of tasks, from 1 to kMaxTasks.
  std::uint32_t tasks = 0;
  /// The resources of each task.
  Resources task_resources;
  /// The image's size, in GB.
  double image_gb = 0;
  /// The machine types that its tasks may run on; empty: any.
  std::vector<std::string> types;
  /// The zone that its tasks must run in; none: any.
  std::optional<std::string> zone;
  /// Whether all its tasks must run in one zone.
  bool same_zone = false;
  /// Whether its tasks are spread over zones.
  bool spread_zones = false;
  /// Whether its tasks may run on spot machines.
  bool allows_spot = false;
  /// The run time of a task that the user expects, in seconds.
  double estimate_s = 0;
  /// The time between two checkpoints, in seconds; 0: no checkpoints.
  double checkpoint_interval_s = 0;
  /// The time that one checkpoint takes, in seconds.
  double checkpoint_cost_s = 0;
  /// The time within which the user needs the job done, in seconds from its submission.
  std::optional<double> deadline_s;
  /// The references of the jobs that must be done before any of its tasks starts; sorted, without duplicates.
  std::vector<std::string> depends_on;
};

/// Whether the text has the form of a job's reference: `req-` and digits.
bool valid_ref(std::string_view ref);
/// Reads a submission or a job's record. The error names the first malformed field.
Result<JobSpec> parse_job(const Value& map);
/// The submission in its protocol form, which parse_job() reads.
Value job_value(const JobSpec& spec);
/// The record of an unfinished job: its submission and the time of its acceptance, in seconds since 1970.
Value job_record(const JobSpec& spec, double submitted_at);
/// The time at which the record's job was accepted, in seconds since 1970; none if the record lacks it.
std::optional<double> submitted_at(const Value& record);
/// Whether the record belongs to a job that depends on others.
bool has_dependencies(const Value& record);

/// The final state of a job.
struct FinalState {
  /// Done or cancelled.
  Phase phase = Phase::done;
  /// The number of the job's tasks.
  std::uint32_t tasks = 0;
  /// The time of its end, in seconds since 1970. Versions without job dependencies did not record it.
  std::optional<double> ended_at;
};
/// The final state in the form of a record.
Value final_state_record(const FinalState& ended);
/// Reads a final state; none if the record is not one.
std::optional<FinalState> parse_final_state(const Value& record);

/// The answer to a submission or a cancellation.
Value job_state(const std::string& ref, Phase phase);
/// The answer to a query: the job's phase, and the numbers of its tasks that are done and that are running.
Value job_progress(const std::string& ref, Phase phase, std::uint32_t done, std::uint32_t running);
/// The phase in job_state(), job_progress() or a final state's record; none if it is missing or unknown.
std::optional<Phase> parse_phase(const Value& job_state_value);
/// The phase's name in the protocol.
const char* phase_name(Phase phase);

/// The parts of a task's name: its job and its number.
struct TaskName {
  /// The job's reference.
  std::string ref;
  /// The task's number in the job, from 0.
  std::uint32_t task = 0;
};
/// Reads a task's name, such as `req-000412/3`; none if it is malformed.
std::optional<TaskName> parse_task_name(std::string_view name);
/// The name of the task with that number in the job.
std::string task_name(const std::string& ref, std::uint32_t index);

/// The path at which users submit jobs; a job's own path is this, a slash and its reference.
inline constexpr const char* kJobsPath = "/api/jobs";
/// The suffix of a job's path at which users cancel it.
inline constexpr const char* kAbortSuffix = "/abort";
/// The path of the health check.
inline constexpr const char* kReadyPath = "/ready";

}  // namespace wingtrail::wire
