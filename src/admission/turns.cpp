#include "admission/turns.hpp"

#include <algorithm>

namespace wingtrail::admission {

Turns::Turns(std::vector<double> weights) : weights_(std::move(weights)) {
  double least = 0;
  for (const double w : weights_) {
    if (w > 0)
      least = least > 0 ? std::min(least, w) : w;
  }
  if (least > 0)
    least_ = least;
}

double Turns::weight(Ix team) const {
  return team < weights_.size() && weights_[team] > 0 ? weights_[team] : least_;
}

void Turns::add(Ix team, Ix job_class, Id id, Seconds since) {
  Team& t = teams_[team];
  Line& line = t.classes[job_class];
  // Who comes after a pause begins now; what it did not use before is gone.
  if (t.size == 0)
    t.at = std::max(t.at, clock_);
  if (line.waiting.empty())
    line.at = std::max(line.at, t.clock);
  line.waiting.emplace(since, id);
  ++t.size, ++size_;
}

std::optional<Turns::Id> Turns::take() {
  Team* team = nullptr;
  Ix which = 0;
  for (auto& [ix, t] : teams_) {
    if (t.size > 0 && (!team || t.at < team->at))
      team = &t, which = ix;
  }
  if (!team)
    return std::nullopt;
  Line* line = nullptr;
  for (auto& [c, l] : team->classes) {
    if (!l.waiting.empty() && (!line || l.at < line->at))
      line = &l;
  }
  clock_ = team->at;
  team->clock = line->at;
  team->at += 1 / weight(which);
  line->at += 1;
  const Id id = line->waiting.begin()->second;
  line->waiting.erase(line->waiting.begin());
  --team->size, --size_;
  return id;
}

double Turns::ahead(Ix team, Ix job_class, Seconds since) const {
  double weights = weight(team), own = 0, lines = 1;
  for (const auto& [ix, t] : teams_) {
    if (ix != team) {
      if (t.size > 0)
        weights += weight(ix);
      continue;
    }
    for (const auto& [c, l] : t.classes) {
      // Most are new, so this looks from the end.
      if (c == job_class)
        own = static_cast<double>(l.waiting.size()) -
              static_cast<double>(std::distance(l.waiting.upper_bound(since), l.waiting.end()));
      else if (!l.waiting.empty())
        lines += 1;
    }
  }
  // Of all turns, its class has this part.
  const double part = weight(team) / weights / lines;
  return std::min(static_cast<double>(size_), own / part);
}

}  // namespace wingtrail::admission
