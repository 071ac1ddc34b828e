/// @file
/// State of the simulated cluster's components, and the worker settings and limits that its source files
/// share.
#pragma once

#include "simulation/simulated_cluster.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

// All durations are in seconds.

/// Window over which changes are counted against the write budget.
inline constexpr double kWriteWindow = 5;
/// Time within which controllers notice that a zone is cut off, with as few machines as some tests have.
inline constexpr double kCutNoticedWithin = 20;
inline constexpr double kHeartbeatInterval = 3, kWorkerLease = 20;
/// Time after the confirmation of a cancellation from which no task of the job may run.
inline constexpr double kCancellationLimit = 30;
/// Time for which a ready task of a gang waits for the others.
inline constexpr double kGangWait = 25;
/// Time within which a running task of a gang notices that another one is missing.
inline constexpr double kGangPeer = 8;
/// Interval of `check_free_to_start`, which walks over all machines.
inline constexpr double kFreeCheckEvery = 0.25;
/// Longest time without an answer to the queries of a job while most queries of other jobs are answered.
inline constexpr double kForgottenLimit = 90;

inline std::string node_name(std::size_t i) {
  return "node-" + std::to_string(i);
}

/// A task as its worker knows it.
struct SimulatedCluster::WorkerTask {
  std::string name;
  std::uint64_t attempt = 0;
  std::string phase;  // pulling, gathering (gangs only), running, exited
  std::string cause;
  UserJob* job = nullptr;
  std::uint32_t index = 0;
  bool occupies_machine() const {
    return phase == "running" || phase == "gathering";
  }
};

/// A machine and the worker on it. `gone`: returned to the cloud; `dead`: failed, with its tasks lost.
struct SimulatedCluster::WorkerMachine {
  std::string name, address;
  std::size_t type = 0, zone = 0;
  bool spot = false, up = false, gone = false, dead = false, never_boots = false, fails_tasks = false;
  double rented_at = 0, hung_until = -1, incoming_lost_until = -1, outgoing_lost_until = -1,
         fails_tasks_until = -1, slowdown = 1, clock_rate = 1;
  std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  double lease_renewed_at = 0;
  std::size_t node = 0;
  bool reporting = false;
  double next_heartbeat = 0, last_heartbeat = -1;
  std::uint64_t heartbeat_serial = 0;
  std::vector<WorkerTask> tasks;
  std::set<std::string> images;
};

/// A job as its user knows it, and what has actually run of it.
struct SimulatedCluster::UserJob {
  wire::JobSpec spec;
  Value body;
  double run_s = 10;
  bool always_fails = false;
  bool submitted = false, accepted = false, abandoned = false;
  bool cancellation_wanted = false, cancelled = false;
  double cancellation_confirmed_at = -1;
  bool reported_done = false;
  std::set<std::uint32_t> done_tasks, begun_tasks;
  /// By task: fencing token of the first leader that answered a heartbeat that reported the task as done.
  std::map<std::uint32_t, std::uint64_t> done_seen_by_token;
  std::vector<UserJob*> dependencies, dependents;
  double submitted_at = 0, accepted_at = -1, began_at = -1, done_at = -1;
  double waiting_beside_capacity_since = -1;  // since when a task waits although a machine could take it
  double answered_at = -1;                    // time of the last answer to a query
  double cancelled_since = -1;  // since when it, or a job it depends on, is known to be cancelled
  bool is_done() const {
    return done_tasks.size() >= spec.tasks;
  }
};

/// One controller process and its place in the simulated time.
struct SimulatedCluster::SimulatedController {
  std::unique_ptr<controller::Controller> controller;
  std::uint64_t process_number = 0;
  double clock_rate = 1, paused_until = -1, wake_at = -1;
  double request_delay_s = 0, requests_delayed_until = -1;
  std::uint64_t requests = 0;
  std::map<std::uint64_t, AnswerCallback> open_requests;
  bool was_leader = false;
  bool runs_former_version = false;  // uses the settings, and so the layout, from before the upgrade
};

/// Connection between two endpoints, in both directions.
struct SimulatedCluster::NetworkLink {
  double cut_until = -1;
  bool holds_packets = false;
};

}  // namespace wingtrail::simulation
