// What the units of the simulated cluster share: its components' state, and the worker settings of the
// platform.
#pragma once

#include "simulation/simulated_cluster.hpp"

namespace wingtrail::simulation {

inline constexpr double kSpan = 5;  // over which changes are counted against the budget
inline constexpr double kSeenWithin =
    20;  // of a zone's end of contact, with as few machines as some tests have
inline constexpr double kReport = 3, kLease = 20, kCancel = 30, kGangWait = 25, kGangPeer = 8;
inline constexpr double kFreeCheckEvery = 0.25;  // of what is free to start; a walk over all machines
inline constexpr double kUnanswered = 75;        // after which a job counts as forgotten, faults being over
inline constexpr double kForgotten = 90;         // the same at any time, while most others are answered
inline std::string node_name(std::size_t i) {
  return "node-" + std::to_string(i);
}

struct SimulatedCluster::TaskOn {
  std::string name;
  std::uint64_t attempt = 0;
  std::string phase;  // pulling, running, exited
  std::string cause;
  UserJob* job = nullptr;
  std::uint32_t index = 0;
  bool on() const {
    return phase == "running" || phase == "gathering";
  }
};

struct SimulatedCluster::WorkerMachine {
  std::string name, addr;
  std::size_t type = 0, zone = 0;
  bool spot = false, up = false, gone = false, dead = false, never = false, sick = false;
  double hired = 0, hung_until = -1, deaf_until = -1, mute_until = -1, slow = 1, rate = 1;
  std::uint64_t session = 1, seq = 0, token = 0;
  double lease_from = 0;
  std::size_t node = 0;
  bool reporting = false;
  double next_beat = 0, last_beat = -1;
  std::uint64_t beat_serial = 0;
  std::vector<TaskOn> tasks;
  std::set<std::string> images;
};

struct SimulatedCluster::UserJob {
  wire::JobSpec spec;
  Value body;
  double run_s = 10;
  bool bad = false;
  bool submitted = false, accepted = false, given_up = false;
  bool want_abort = false, aborted = false;
  double told_cancelled = -1;
  bool told_done = false;
  std::set<std::uint32_t> done, begun;
  std::map<std::uint32_t, std::uint64_t>
      done_heard;  // by task, the token of the leader that heard of its end
  std::vector<UserJob*> needs, needed_by;
  double came = 0, accepted_at = -1, began_at = -1, over_at = -1;
  double beside_room_since = -1;  // a task of it waits though some machine could take it
  double answered_at = -1;        // its user's last question that was
  double doomed_at = -1;          // since when a job that it needs, or itself, is known to be cancelled
  bool over() const {
    return done.size() >= spec.tasks;
  }
};

struct SimulatedCluster::Controller {
  std::unique_ptr<controller::Controller> node;
  std::uint64_t life = 0;
  double rate = 1, paused_until = -1, wake = -1;
  std::uint64_t requests = 0;
  std::map<std::uint64_t, OnAnswer> open;
  bool led = false;
  bool former = false;  // runs with the settings, and so the layout, of before the upgrade
};

struct SimulatedCluster::Link {
  double cut_until = -1;
  bool hold = false;
};

}  // namespace wingtrail::simulation
