/// @file
/// Order in which job creations are sent to the state service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::admission {

using jobs::ClassIndex;
using jobs::TeamIndex;
using ports::Seconds;

/// A two-level fair queue (start-time fair queueing at both levels). Teams share the throughput by weight and
/// the classes of a team evenly; what one leaves unused goes to the others. Within a class the oldest entry
/// comes first. A flood of one class makes that class wait and no other.
class FairQueue {
 public:
  using Id = std::uint64_t;
  /// @param weights by team; a team without a positive weight gets the smallest positive one
  explicit FairQueue(std::vector<double> weights);

  /// @param first_attempt_at when the creation was first attempted; determines its position within the class
  void push(TeamIndex team, ClassIndex job_class, Id id, Seconds first_attempt_at);
  /// Removes and returns the next entry; nothing if the queue is empty.
  std::optional<Id> pop();
  /// Removes the entries for which `predicate(id)` is true.
  template <typename Predicate>
  void remove_if(Predicate predicate) {
    for (auto& [team_index, team] : teams_) {
      for (auto& [class_index, job_class] : team.classes) {
        const std::size_t removed =
            std::erase_if(job_class.waiting, [&](const auto& entry) { return predicate(entry.second); });
        team.size -= removed;
        size_ -= removed;
      }
    }
  }
  std::size_t size() const {
    return size_;
  }
  /// Estimates how many entries would be popped before one of that class with that first attempt, counting
  /// those that other teams and classes push meanwhile.
  double jobs_ahead(TeamIndex team, ClassIndex job_class, Seconds first_attempt_at) const;

 private:
  struct ClassQueue {
    std::multimap<Seconds, Id> waiting;  // by first attempt
    double virtual_time = 0;             // start tag of its next entry
  };
  struct TeamQueue {
    std::map<ClassIndex, ClassQueue> classes;
    std::size_t size = 0;
    double virtual_time = 0;  // start tag of its next entry
    double class_clock = 0;   // start tag of the class served last
  };
  double weight(TeamIndex team) const;

  std::vector<double> weights_;
  double min_weight_ = 1;  // smallest positive weight
  std::map<TeamIndex, TeamQueue> teams_;
  double team_clock_ = 0;  // start tag of the team served last
  std::size_t size_ = 0;
};

}  // namespace wingtrail::admission
