#include "controller/peer_directory.hpp"

#include <algorithm>

namespace wingtrail::controller {
namespace {
constexpr Seconds kReachableWindow = 2.5;  // a peer counts as reachable for this long after its last frame
}  // namespace

PeerDirectory::PeerDirectory(const ports::Outbox& out, const settings::Settings& settings)
    : out_(out), settings_(settings), peers_(settings.peers.size()) {}

void PeerDirectory::on_frame(std::size_t index, const peer::Frame& frame) {
  PeerState& peer = peers_[index];
  peer.last_frame_at = out_.now();
  peer.state_service_healthy = frame.state_service_healthy;
  peer.rejected_heartbeats = frame.rejected_heartbeats;
  peer.level = frame.level;
  peer.answers_heartbeats = frame.answers_heartbeats;
  peer.all_support_delegation_since = ports::kNever;
  if (frame.all_support_delegation_s >= 0)
    peer.all_support_delegation_since = out_.now() - frame.all_support_delegation_s;
  if (frame.level >= peer::kLevelPeerAgreement)
    peer.max_delegation_s = frame.max_delegation_s;
  peer.supports_batches = frame.supports_batches;
}

// A peer that has sent a frame since `sent` is reachable and merely slow with this call, such as a
// cancellation that waits for the job's tasks. If it counted as unreachable, each query would read the state
// service instead of asking the leader, which would soon use up the budget.
void PeerDirectory::on_no_reply(std::size_t peer, Seconds sent) {
  if (peers_[peer].last_frame_at <= sent)
    peers_[peer].last_frame_at = -1e9;
}

std::optional<std::size_t> PeerDirectory::find(const std::string& name) const {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (settings_.peers[i].name == name)
      return i;
  }
  return std::nullopt;
}

bool PeerDirectory::is_reachable(std::size_t peer) const {
  return out_.now() - peers_[peer].last_frame_at < kReachableWindow;
}

std::optional<std::size_t> PeerDirectory::reachable_leader(const std::string& leader) const {
  const auto peer = find(leader);
  return peer && is_reachable(*peer) ? peer : std::nullopt;
}

std::optional<std::size_t> PeerDirectory::peer_with_state_service(const std::string& leader,
                                                                  std::uint32_t level) const {
  const auto is_served = [this, level](std::size_t i) {
    return is_reachable(i) && peers_[i].state_service_healthy && peers_[i].level.value_or(0) >= level;
  };
  if (const auto peer = reachable_leader(leader); peer && is_served(*peer))
    return peer;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (is_served(i))
      return i;
  }
  return std::nullopt;
}

bool PeerDirectory::none_has_state_service() const {
  bool any_reachable = false;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (!is_reachable(i))
      continue;
    if (peers_[i].state_service_healthy)
      return false;
    any_reachable = true;
  }
  return any_reachable;
}

bool PeerDirectory::any_rejects_heartbeats() const {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (is_reachable(i) && peers_[i].rejected_heartbeats > 0)
      return true;
  }
  return false;
}

bool PeerDirectory::all_have_level(std::uint32_t level) const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [level](const PeerState& peer) { return peer.level.value_or(0) >= level; });
}

bool PeerDirectory::all_support_batches() const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const PeerState& peer) { return peer.supports_batches.value_or(false); });
}

bool PeerDirectory::any_lacks_batches() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [](const PeerState& peer) { return peer.supports_batches && !*peer.supports_batches; });
}

bool PeerDirectory::any_may_create_batches() const {
  return std::any_of(peers_.begin(), peers_.end(), [](const PeerState& peer) {
    const bool version_has_batches = peer.level.value_or(peer::kLevelBatches) >= peer::kLevelBatches;
    return peer.supports_batches.value_or(version_has_batches);
  });
}

}  // namespace wingtrail::controller
