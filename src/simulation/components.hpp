// What the units of the simulated cluster share: its components' state, and the worker settings of the
// platform.
#pragma once

#include "simulation/simulated_cluster.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

inline constexpr double kWriteWindow = 5;  // over which changes are counted against the budget
inline constexpr double kContactSeenWithin =
    20;  // of a zone's end of contact, with as few machines as some tests have
inline constexpr double kHeartbeatInterval = 3, kWorkerLease = 20, kCancellationLimit = 30, kGangWait = 25,
                        kGangPeer = 8;
inline constexpr double kFreeCheckEvery = 0.25;  // of what is free to start; a walk over all machines
inline constexpr double kUnansweredLimit = 75;   // after which a job counts as forgotten, faults being over
inline constexpr double kForgottenLimit = 90;    // the same at any time, while most others are answered
inline std::string node_name(std::size_t i) {
  return "node-" + std::to_string(i);
}

struct SimulatedCluster::WorkerTask {
  std::string name;
  std::uint64_t attempt = 0;
  std::string phase;  // pulling, running, exited
  std::string cause;
  UserJob* job = nullptr;
  std::uint32_t index = 0;
  bool occupies_machine() const {
    return phase == "running" || phase == "gathering";
  }
};

struct SimulatedCluster::WorkerMachine {
  std::string name, address;
  std::size_t type = 0, zone = 0;
  bool spot = false, up = false, gone = false, dead = false, never_boots = false, fails_tasks = false;
  double rented_at = 0, hung_until = -1, deaf_until = -1, mute_until = -1, slowdown = 1, clock_rate = 1;
  std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  double lease_renewed_at = 0;
  std::size_t node = 0;
  bool reporting = false;
  double next_heartbeat = 0, last_heartbeat = -1;
  std::uint64_t heartbeat_serial = 0;
  std::vector<WorkerTask> tasks;
  std::set<std::string> images;
};

struct SimulatedCluster::UserJob {
  wire::JobSpec spec;
  Value body;
  double run_s = 10;
  bool always_fails = false;
  bool submitted = false, accepted = false, abandoned = false;
  bool cancellation_wanted = false, cancelled = false;
  double told_cancelled_at = -1;
  bool told_done = false;
  std::set<std::uint32_t> done_tasks, begun_tasks;
  std::map<std::uint32_t, std::uint64_t>
      done_seen_by_token;  // by task, the token of the leader that heard of its end
  std::vector<UserJob*> dependencies, dependents;
  double submitted_at = 0, accepted_at = -1, began_at = -1, done_at = -1;
  double waiting_beside_capacity_since = -1;  // a task of it waits though some machine could take it
  double answered_at = -1;                    // its user's last question that was
  double doomed_since = -1;  // since when a job that it needs, or itself, is known to be cancelled
  bool is_done() const {
    return done_tasks.size() >= spec.tasks;
  }
};

struct SimulatedCluster::SimulatedController {
  std::unique_ptr<controller::Controller> controller;
  std::uint64_t process_number = 0;
  double clock_rate = 1, paused_until = -1, wake_at = -1;
  std::uint64_t requests = 0;
  std::map<std::uint64_t, AnswerCallback> open_requests;
  bool was_leader = false;
  bool runs_former_version = false;  // runs with the settings, and so the layout, of before the upgrade
};

struct SimulatedCluster::NetworkLink {
  double cut_until = -1;
  bool holds_packets = false;
};

}  // namespace wingtrail::simulation
