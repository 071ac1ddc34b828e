/// @file
/// The state of this controller's peers, as reported in the frames that they send.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peer/frame.hpp"
#include "ports/outbox.hpp"
#include "settings/settings.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// The latest state that a peer has reported. Optional values are absent until its first frame.
struct PeerState {
  Seconds last_frame_at = -1e9;
  bool state_service_healthy = false;     ///< the state service replies to it
  std::uint32_t rejected_heartbeats = 0;  ///< worker heartbeats that it has redirected in the last seconds
  std::optional<std::uint32_t> level;     ///< its protocol level, see peer::kProtocolLevel
  bool answers_heartbeats = false;        ///< it answers worker heartbeats as the leader
  /// Since when it has known that all controllers support delegated lease renewal.
  Seconds all_support_delegation_since = ports::kNever;
  /// The longest delegation that it accounts for; also absent if its version does not report it.
  std::optional<Seconds> max_delegation_s;
  std::optional<bool> supports_batches;  ///< it creates jobs in batches and keeps to budget shares
};

/// The peers of this controller, numbered as in the settings: which of them can be reached, and what they
/// support. All times are in seconds of this controller's steady clock.
class PeerDirectory {
 public:
  /// @param out source of the time; must outlive the directory, as must `settings`
  PeerDirectory(const ports::Outbox& out, const settings::Settings& settings);

  /// Records the state that a peer reports in a frame.
  void on_frame(std::size_t peer, const peer::Frame& frame);
  /// Records that a call sent to the peer at `sent` got no reply. The peer counts as unreachable until its
  /// next frame, unless it has sent one since `sent`: then it is only slow with this call.
  void on_no_reply(std::size_t peer, Seconds sent);

  /// Returns all peers in the order of the settings.
  const std::vector<PeerState>& all() const {
    return peers_;
  }
  const PeerState& operator[](std::size_t peer) const {
    return peers_[peer];
  }
  std::size_t size() const {
    return peers_.size();
  }
  const std::string& name(std::size_t peer) const {
    return settings_.peers[peer].name;
  }
  /// Returns the index of the peer with that name, if there is one.
  std::optional<std::size_t> find(const std::string& name) const;
  /// Whether the peer has sent a frame within the last seconds.
  bool is_reachable(std::size_t peer) const;
  /// Returns the named leader if it is a reachable peer.
  std::optional<std::size_t> reachable_leader(const std::string& leader) const;
  /// Returns a reachable peer to which the state service replies, preferably the leader.
  /// @param level the lowest protocol level that it may have
  std::optional<std::size_t> peer_with_state_service(const std::string& leader,
                                                     std::uint32_t level = 0) const;
  /// Whether at least one peer is reachable and the state service replies to none of the reachable ones.
  bool none_has_state_service() const;
  /// Whether a reachable peer has redirected worker heartbeats in the last seconds.
  bool any_rejects_heartbeats() const;
  /// Whether every peer is known to have at least that protocol level.
  bool all_have_level(std::uint32_t level) const;
  /// Whether every peer is known to support job batches and budget shares.
  bool all_support_batches() const;
  /// Whether some peer is known not to support job batches and budget shares.
  bool any_lacks_batches() const;
  /// Whether some peer may create job batches. A peer that has sent no frame yet may.
  bool any_may_create_batches() const;

 private:
  const ports::Outbox& out_;
  const settings::Settings& settings_;
  std::vector<PeerState> peers_;
};

}  // namespace wingtrail::controller
