#include "zones/zone_tracker.hpp"

#include <algorithm>

namespace wingtrail::zones {
namespace {
constexpr int kMaxDoublings = 10;  // of the recovery time; keeps the factor 2^n within the range of int
}

std::string_view name(ZoneState state) {
  switch (state) {
    case ZoneState::healthy:
      return "sound";
    case ZoneState::unresponsive:
      return "quiet";
    case ZoneState::unreachable:
      return "cut";
    case ZoneState::lost:
      return "lost";
    case ZoneState::recovering:
      return "returning";
  }
  return "";
}

void ZoneTracker::begin_leadership(Seconds now) {
  leadership_began_at_ = now;
  zones_.clear();
}

ZoneTracker::Zone& ZoneTracker::zone_at(std::size_t zone) {
  while (zones_.size() <= zone) {
    zones_.emplace_back();
    zones_.back().last_contact_at = zones_.back().reachable_since = leadership_began_at_;
  }
  return zones_[zone];
}

bool ZoneTracker::on_contact(std::size_t zone, Seconds now) {
  const bool was_unreachable = is_unreachable(zone, now);
  Zone& contacted = zone_at(zone);
  contacted.last_contact_at = now;
  if (!was_unreachable)
    return false;
  contacted.reachable_since = now;
  contacted.lost_at = -1;
  if (!track_loss_)
    return true;
  // Within two heartbeat intervals every machine that still runs has sent a heartbeat. If the zone becomes
  // reachable again within required_stable_time after its last recovery, this recovery takes twice as long,
  // up to the duration of a lease.
  const Seconds min_recovery = 2 * heartbeat_interval_s_;
  const Seconds required_stable_time =
      std::min(worker_lease_s_, min_recovery * (1 << std::min(contacted.flaps, kMaxDoublings)));
  const bool flapping = contacted.flaps > 0 && now < contacted.stable_at + required_stable_time;
  contacted.flaps = flapping ? contacted.flaps + 1 : 1;
  contacted.stable_at = now + std::min(std::max(worker_lease_s_, min_recovery),
                                       min_recovery * (1 << std::min(contacted.flaps - 1, kMaxDoublings)));
  return true;
}

void ZoneTracker::add_expected_workers(std::size_t zone, int change) {
  zone_at(zone).expected_workers += change;
}

void ZoneTracker::on_lease_expired(std::size_t zone, Seconds now) {
  // In a reachable zone, the expiry shows only that this one machine has failed.
  if (track_loss_ && !is_lost(zone) && is_unreachable(zone, now))
    zone_at(zone).lost_at = now;
}

ZoneState ZoneTracker::state(std::size_t zone, Seconds now) const {
  if (is_lost(zone))
    return ZoneState::lost;
  if (is_unreachable(zone, now))
    return ZoneState::unreachable;
  if (is_unresponsive(zone, now))
    return ZoneState::unresponsive;
  return zone < zones_.size() && now < zones_[zone].stable_at ? ZoneState::recovering : ZoneState::healthy;
}

bool ZoneTracker::any_unstable(Seconds now) const {
  if (!track_loss_)
    return false;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    if (is_lost(zone) || now < zones_[zone].stable_at)
      return true;
  }
  return false;
}

bool ZoneTracker::no_contact_for(std::size_t zone, Seconds now, Seconds min_time, double heartbeats) const {
  if (zone >= zones_.size() || zones_[zone].expected_workers == 0)
    return false;
  return now - zones_[zone].last_contact_at >
         std::max(min_time, heartbeats * heartbeat_interval_s_ / zones_[zone].expected_workers);
}

int replica_loss_rank(std::uint32_t replicas, std::uint32_t left) {
  if (left == 0)
    return 0;
  if (2 * left < replicas)
    return 1;
  return left < replicas ? 2 : 3;
}

}  // namespace wingtrail::zones
