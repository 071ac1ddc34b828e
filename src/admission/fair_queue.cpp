#include "admission/fair_queue.hpp"

#include <algorithm>

namespace wingtrail::admission {

FairQueue::FairQueue(std::vector<double> weights) : weights_(std::move(weights)) {
  double least = 0;
  for (const double w : weights_) {
    if (w > 0)
      least = least > 0 ? std::min(least, w) : w;
  }
  if (least > 0)
    min_weight_ = least;
}

double FairQueue::weight(TeamIndex team) const {
  return team < weights_.size() && weights_[team] > 0 ? weights_[team] : min_weight_;
}

void FairQueue::push(TeamIndex team, ClassIndex job_class, Id id, Seconds since) {
  TeamQueue& t = teams_[team];
  ClassQueue& line = t.classes[job_class];
  // Who comes after a pause begins now; what it did not use before is gone.
  if (t.size == 0)
    t.virtual_time = std::max(t.virtual_time, team_clock_);
  if (line.waiting.empty())
    line.virtual_time = std::max(line.virtual_time, t.class_clock);
  line.waiting.emplace(since, id);
  ++t.size, ++size_;
}

std::optional<FairQueue::Id> FairQueue::pop() {
  TeamQueue* team = nullptr;
  TeamIndex which;
  for (auto& [ix, t] : teams_) {
    if (t.size > 0 && (!team || t.virtual_time < team->virtual_time))
      team = &t, which = ix;
  }
  if (!team)
    return std::nullopt;
  ClassQueue* line = nullptr;
  for (auto& [c, l] : team->classes) {
    if (!l.waiting.empty() && (!line || l.virtual_time < line->virtual_time))
      line = &l;
  }
  team_clock_ = team->virtual_time;
  team->class_clock = line->virtual_time;
  team->virtual_time += 1 / weight(which);
  line->virtual_time += 1;
  const Id id = line->waiting.begin()->second;
  line->waiting.erase(line->waiting.begin());
  --team->size, --size_;
  return id;
}

double FairQueue::jobs_ahead(TeamIndex team, ClassIndex job_class, Seconds since) const {
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
