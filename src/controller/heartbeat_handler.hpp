/// @file
/// Handling of the heartbeats that workers send to this controller, and detection that they cannot reach it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "controller/delegated_renewal.hpp"
#include "controller/responder.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::controller {

/// Passes heartbeats to the worker manager while this controller is the active leader. Otherwise renews the
/// worker's lease by delegation if this controller may, or redirects the worker to the leader.
class HeartbeatHandler {
 public:
  /// The referenced objects must outlive the handler.
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

  /// Answers a heartbeat.
  /// @param bytes the encoded heartbeat
  void handle(const RequestOrigin& origin, const std::string& bytes);
  /// Must be called when the leader has read its jobs and machines: workers are expected to reach it then.
  void on_loaded();
  /// Resigns if peers reject heartbeats and none arrive here: worker leases expire under a leader that
  /// workers cannot reach, so one of the peers should lead. Must be called periodically by the active leader.
  void check_reachability();

  /// Drops rejections that are too old for recent_rejections().
  void forget_old_rejections();
  /// Returns the number of heartbeats rejected (redirected) in the last seconds.
  std::size_t recent_rejections() const {
    return rejected_at_.size();
  }
  /// Returns the number of heartbeats received so far.
  std::uint64_t count() const {
    return count_;
  }
  /// Heartbeats that could not be read.
  const wire::RefusalCounts& refused() const {
    return refused_;
  }

 private:
  void refuse(const RequestOrigin& origin, const wire::ParseError& error, std::size_t bytes);
  void reject(const RequestOrigin& origin);

  Collaborators collaborators_;
  std::function<bool()> is_active_leader_;
  std::deque<Seconds> rejected_at_;
  Seconds last_heartbeat_at_ = 0;  // while this controller is the active leader
  Seconds expected_since_ = 0;     // when the current leadership began to expect heartbeats
  Seconds unreachable_since_ = 0;  // 0: not known to be unreachable
  std::uint64_t count_ = 0;
  wire::RefusalCounts refused_;
};

}  // namespace wingtrail::controller
