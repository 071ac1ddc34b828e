#include "zones/zone_tracker.hpp"

#include <algorithm>

namespace wingtrail::zones {

std::string_view name(ZoneState life) {
  switch (life) {
    case ZoneState::healthy:
      return "sound";
    case ZoneState::silent:
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
    zones_.back().last_contact_at = zones_.back().returned_at = leadership_began_at_;
  }
  return zones_[zone];
}

bool ZoneTracker::on_contact(std::size_t zone, Seconds now) {
  const bool was_cut = is_unreachable(zone, now);
  Zone& z = zone_at(zone);
  z.last_contact_at = now;
  if (!was_cut)
    return false;
  z.returned_at = now;
  z.lost_at = -1;
  if (!whole_)
    return true;
  // Two rounds of reports tell what is left of it. A zone that was cut off again before it had rested for as
  // long as it last took to settle is given twice that, up to a lease.
  const Seconds round = 2 * heartbeat_interval_s_;
  const Seconds last = std::min(worker_lease_s_, round * (1 << std::min(z.flaps, 10)));
  z.flaps = z.flaps > 0 && now < z.stable_at + last ? z.flaps + 1 : 1;
  z.stable_at = now + std::min(std::max(worker_lease_s_, round), round * (1 << std::min(z.flaps - 1, 10)));
  return true;
}

void ZoneTracker::set_expected(std::size_t zone, int more) {
  zone_at(zone).workers += more;
}

void ZoneTracker::on_lease_expired(std::size_t zone, Seconds now) {
  // Of a zone within reach it is that machine's own end.
  if (whole_ && !is_lost(zone) && is_unreachable(zone, now))
    zone_at(zone).lost_at = now;
}

ZoneState ZoneTracker::state(std::size_t zone, Seconds now) const {
  if (is_lost(zone))
    return ZoneState::lost;
  if (is_unreachable(zone, now))
    return ZoneState::unreachable;
  if (is_silent(zone, now))
    return ZoneState::silent;
  return zone < zones_.size() && now < zones_[zone].stable_at ? ZoneState::recovering : ZoneState::healthy;
}

bool ZoneTracker::any_unstable(Seconds now) const {
  if (!whole_)
    return false;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    if (is_lost(z) || now < zones_[z].stable_at)
      return true;
  }
  return false;
}

bool ZoneTracker::silent_for(std::size_t zone, Seconds now, Seconds least, double reports) const {
  if (zone >= zones_.size() || zones_[zone].workers == 0)
    return false;
  return now - zones_[zone].last_contact_at >
         std::max(least, reports * heartbeat_interval_s_ / zones_[zone].workers);
}

int missed(std::uint32_t replicas, std::uint32_t left) {
  if (left == 0)
    return 0;
  if (2 * left < replicas)
    return 1;
  return left < replicas ? 2 : 3;
}

}  // namespace wingtrail::zones
