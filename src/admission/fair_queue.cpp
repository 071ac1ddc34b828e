#include "admission/fair_queue.hpp"

#include <algorithm>

namespace wingtrail::admission {

FairQueue::FairQueue(std::vector<double> weights) : weights_(std::move(weights)) {
  double smallest = 0;
  for (const double weight : weights_) {
    if (weight > 0)
      smallest = smallest > 0 ? std::min(smallest, weight) : weight;
  }
  if (smallest > 0)
    min_weight_ = smallest;
}

double FairQueue::weight(TeamIndex team) const {
  return team < weights_.size() && weights_[team] > 0 ? weights_[team] : min_weight_;
}

void FairQueue::push(TeamIndex team, ClassIndex job_class, Id id, Seconds first_attempt_at) {
  TeamQueue& team_queue = teams_[team];
  ClassQueue& class_queue = team_queue.classes[job_class];
  // A team or class that was idle starts at the current virtual time: it gets no credit for the time before.
  if (team_queue.size == 0)
    team_queue.virtual_time = std::max(team_queue.virtual_time, team_clock_);
  if (class_queue.waiting.empty())
    class_queue.virtual_time = std::max(class_queue.virtual_time, team_queue.class_clock);
  class_queue.waiting.emplace(first_attempt_at, id);
  ++team_queue.size;
  ++size_;
}

std::optional<FairQueue::Id> FairQueue::pop() {
  TeamQueue* team = nullptr;
  TeamIndex team_index;
  for (auto& [index, candidate] : teams_) {
    if (candidate.size > 0 && (!team || candidate.virtual_time < team->virtual_time)) {
      team = &candidate;
      team_index = index;
    }
  }
  if (!team)
    return std::nullopt;
  ClassQueue* job_class = nullptr;
  for (auto& [index, candidate] : team->classes) {
    if (!candidate.waiting.empty() && (!job_class || candidate.virtual_time < job_class->virtual_time))
      job_class = &candidate;
  }
  team_clock_ = team->virtual_time;
  team->class_clock = job_class->virtual_time;
  team->virtual_time += 1 / weight(team_index);
  job_class->virtual_time += 1;
  const Id id = job_class->waiting.begin()->second;
  job_class->waiting.erase(job_class->waiting.begin());
  --team->size;
  --size_;
  return id;
}

double FairQueue::jobs_ahead(TeamIndex team, ClassIndex job_class, Seconds first_attempt_at) const {
  double total_weight = weight(team);
  double ahead_in_class = 0;
  double waiting_classes = 1;
  for (const auto& [team_index, team_queue] : teams_) {
    if (team_index != team) {
      if (team_queue.size > 0)
        total_weight += weight(team_index);
      continue;
    }
    for (const auto& [class_index, class_queue] : team_queue.classes) {
      const auto& waiting = class_queue.waiting;
      // The position is counted from the end of the class, since most entries are added there.
      if (class_index == job_class)
        ahead_in_class =
            static_cast<double>(waiting.size()) -
            static_cast<double>(std::distance(waiting.upper_bound(first_attempt_at), waiting.end()));
      else if (!waiting.empty())
        waiting_classes += 1;
    }
  }
  const double class_share = weight(team) / total_weight / waiting_classes;
  return std::min(static_cast<double>(size_), ahead_in_class / class_share);
}

}  // namespace wingtrail::admission
