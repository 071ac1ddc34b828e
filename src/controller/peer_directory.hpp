/// @file
/// What a controller knows of its peers from the frames that they send.
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

/// What a peer last said of itself. Values without default are absent until it has been heard of.
struct PeerState {
  Seconds last_heard_at = -1e9;
  bool state_service_healthy = false;                    ///< the state service answers it
  std::uint32_t rejected_heartbeats = 0;                 ///< worker heartbeats that it turned away lately
  std::optional<std::uint32_t> level;                    ///< of the peer protocol, see peer::kProtocolLevel
  bool answers_heartbeats = false;                       ///< it answers worker heartbeats as the leader
  Seconds all_support_delegation_since = ports::kNever;  ///< as it sees all controllers
  std::optional<Seconds>
      max_delegation_s;                  ///< how long it reckons with grants; absent also if it does not say
  std::optional<bool> supports_batches;  ///< it creates jobs in batches and keeps to budget shares
};

/// The peers of this controller, numbered as in the settings: who leads, who can be reached, what all of them
/// support. Times are of this controller's clock.
class PeerDirectory {
 public:
  /// @param out tells the time; must outlive the directory, as must `settings`
  PeerDirectory(const ports::Outbox& out, const settings::Settings& settings);

  /// Records what a peer says of itself.
  void on_frame(std::size_t peer, const peer::Frame& frame);
  /// A call that was sent to the peer at `sent` got no reply. The peer counts as unreachable until it is
  /// heard of again, unless it was heard of since: then it is only slow with this call.
  void on_no_reply(std::size_t peer, Seconds sent);

  /// In the order of the settings.
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
  /// The peer of that name, if there is one.
  std::optional<std::size_t> find(const std::string& name) const;
  /// Whether the peer has been heard of within the last seconds.
  bool is_reachable(std::size_t peer) const;
  /// The named leader, if it is a peer that can be reached.
  std::optional<std::size_t> reachable_leader(const std::string& leader) const;
  /// A reachable peer that the state service answers, the leader before others.
  /// @param level the least protocol level that it must have
  std::optional<std::size_t> served_peer(const std::string& leader, std::uint32_t level = 0) const;
  /// Whether peers can be reached and the state service answers none of them.
  bool none_served() const;
  /// Whether a reachable peer has turned worker heartbeats away lately.
  bool any_rejects_heartbeats() const;
  /// Whether every peer has been heard of and has at least that protocol level.
  bool all_have_level(std::uint32_t level) const;
  /// Whether every peer has been heard of and supports job batches and budget shares.
  bool all_support_batches() const;
  /// Whether some peer is known not to support job batches and budget shares.
  bool any_lacks_batches() const;
  /// Whether some peer may create job batches, going by its version if it does not say.
  bool any_may_create_batches() const;

 private:
  const ports::Outbox& out_;
  const settings::Settings& settings_;
  std::vector<PeerState> peers_;
};

}  // namespace wingtrail::controller
