/// @file
/// Heartbeats of workers as they arrive at this controller, and whether workers can reach it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "controller/delegated_renewal.hpp"
#include "controller/responder.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::controller {

/// Passes heartbeats on to the worker manager while this controller leads. Otherwise it renews the worker's
/// lease on the leader's behalf if it may, or redirects the worker to the leader.
class HeartbeatHandler {
 public:
  /// The references must outlive the handler.
  struct Collaborators {
    const ports::Outbox& out;
    const settings::Settings& settings;
    leadership::LeaderElection& election;
    const PeerDirectory& peers;
    DelegatedRenewal& delegated_renewal;
    workers::WorkerManager& workers;
    Responder& responder;
  };
  HeartbeatHandler(Collaborators collaborators, std::function<bool()> is_active_leader);

  /// @param bytes the heartbeat as it came
  void handle(const RequestOrigin& origin, const std::string& bytes);
  /// The leader has read its jobs and machines: from now on workers are expected to reach it.
  void on_loaded();
  /// Resigns if peers turn heartbeats away and none come here: a leader that workers cannot reach lets their
  /// leases run out, so one of the peers should lead. To be called periodically while this controller leads.
  void check_reachability();

  /// Forgets heartbeats that were rejected longer ago than peers need to know.
  void forget_old_rejections();
  /// Heartbeats turned away lately.
  std::size_t recent_rejections() const {
    return rejected_at_.size();
  }
  /// Heartbeats that came in so far.
  std::uint64_t count() const {
    return count_;
  }

 private:
  void reject(const RequestOrigin& origin);

  Collaborators with_;
  std::function<bool()> is_active_leader_;
  std::deque<Seconds> rejected_at_;
  Seconds last_heartbeat_at_ = 0;  // as the leader
  Seconds expected_since_ = 0;
  Seconds unreachable_since_ = 0;  // 0: reachable, as far as is known
  std::uint64_t count_ = 0;
};

}  // namespace wingtrail::controller
