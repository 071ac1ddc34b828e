#include "zones/zones.hpp"

#include <algorithm>

namespace wingtrail::zones {

std::string_view name(Life life) {
  switch (life) {
    case Life::sound:
      return "sound";
    case Life::quiet:
      return "quiet";
    case Life::cut:
      return "cut";
    case Life::lost:
      return "lost";
    case Life::returning:
      return "returning";
  }
  return "";
}

void Zones::begin(Seconds now) {
  began_ = now;
  zones_.clear();
}

Zones::Zone& Zones::at(std::size_t zone) {
  while (zones_.size() <= zone) {
    zones_.emplace_back();
    zones_.back().heard = zones_.back().back = began_;
  }
  return zones_[zone];
}

bool Zones::heard(std::size_t zone, Seconds now) {
  const bool was_cut = cut(zone, now);
  Zone& z = at(zone);
  z.heard = now;
  if (!was_cut)
    return false;
  z.back = now;
  z.lost_at = -1;
  if (!whole_)
    return true;
  // Two rounds of reports tell what is left of it. A zone that was cut off again before it had rested for as
  // long as it last took to settle is given twice that, up to a lease.
  const Seconds round = 2 * report_s_;
  const Seconds last = std::min(lease_s_, round * (1 << std::min(z.flaps, 10)));
  z.flaps = z.flaps > 0 && now < z.settles_at + last ? z.flaps + 1 : 1;
  z.settles_at = now + std::min(std::max(lease_s_, round), round * (1 << std::min(z.flaps - 1, 10)));
  return true;
}

void Zones::expected(std::size_t zone, int more) {
  at(zone).workers += more;
}

void Zones::lease_over(std::size_t zone, Seconds now) {
  // Of a zone within reach it is that machine's own end.
  if (whole_ && !lost(zone) && cut(zone, now))
    at(zone).lost_at = now;
}

Life Zones::life(std::size_t zone, Seconds now) const {
  if (lost(zone))
    return Life::lost;
  if (cut(zone, now))
    return Life::cut;
  if (quiet(zone, now))
    return Life::quiet;
  return zone < zones_.size() && now < zones_[zone].settles_at ? Life::returning : Life::sound;
}

bool Zones::restless(Seconds now) const {
  if (!whole_)
    return false;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    if (lost(z) || now < zones_[z].settles_at)
      return true;
  }
  return false;
}

bool Zones::silent_for(std::size_t zone, Seconds now, Seconds least, double reports) const {
  if (zone >= zones_.size() || zones_[zone].workers == 0)
    return false;
  return now - zones_[zone].heard > std::max(least, reports * report_s_ / zones_[zone].workers);
}

int missed(std::uint32_t replicas, std::uint32_t left) {
  if (left == 0)
    return 0;
  if (2 * left < replicas)
    return 1;
  return left < replicas ? 2 : 3;
}

}  // namespace wingtrail::zones
