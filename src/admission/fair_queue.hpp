// Whose turn it is: what waits to be admitted, by team, then class, then age. Teams share by weight and the
// classes of a team evenly; what one does not use the others have (start-time fair queueing at both levels).
// A class that floods lengthens its own queue and no other's.
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

class FairQueue {
 public:
  using Id = std::uint64_t;
  // `weights`: by team; a team that is not among them, or has none, counts as the least of them.
  explicit FairQueue(std::vector<double> weights);

  // `since`: when it was first tried; in its class the oldest comes first.
  void push(TeamIndex team, ClassIndex job_class, Id id, Seconds since);
  std::optional<Id> pop();
  // Those for which it is true wait no longer.
  template <typename F>
  void remove_if(F too_old) {
    for (auto& [t, team] : teams_) {
      for (auto& [c, line] : team.classes) {
        const std::size_t gone =
            std::erase_if(line.waiting, [&](const auto& w) { return too_old(w.second); });
        team.size -= gone, size_ -= gone;
      }
    }
  }
  std::size_t size() const {
    return size_;
  }
  // How many have their turn before one of that class first tried at `since`, others' new ones included.
  double jobs_ahead(TeamIndex team, ClassIndex job_class, Seconds since) const;

 private:
  struct ClassQueue {
    std::multimap<Seconds, Id> waiting;
    double virtual_time = 0;  // virtual time of its next turn
  };
  struct TeamQueue {
    std::map<ClassIndex, ClassQueue> classes;
    std::size_t size = 0;
    double virtual_time = 0, class_clock = 0;
  };
  double weight(TeamIndex team) const;

  std::vector<double> weights_;
  double min_weight_ = 1;
  std::map<TeamIndex, TeamQueue> teams_;
  double team_clock_ = 0;
  std::size_t size_ = 0;
};

}  // namespace wingtrail::admission
