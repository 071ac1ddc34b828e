#include "health/links.hpp"

#include <algorithm>

namespace wingtrail::health {

void Links::begin(Seconds now) {
  began_ = now;
  zones_.clear();
}

Links::Zone& Links::at(std::size_t zone) {
  while (zones_.size() <= zone) zones_.push_back({began_, began_, 0});
  return zones_[zone];
}

bool Links::heard(std::size_t zone, Seconds now) {
  const bool was_cut = cut(zone, now);
  Zone& z = at(zone);
  z.heard = now;
  if (was_cut) z.back = now;
  return was_cut;
}

void Links::expected(std::size_t zone, int more) { at(zone).workers += more; }

bool Links::silent_for(std::size_t zone, Seconds now, Seconds least, double reports) const {
  if (zone >= zones_.size() || zones_[zone].workers == 0) return false;
  return now - zones_[zone].heard > std::max(least, reports * report_s_ / zones_[zone].workers);
}

}  // namespace wingtrail::health
