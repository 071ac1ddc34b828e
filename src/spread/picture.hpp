// One picture of the fleet's load: by team and class, what is offered, held and served; by zone
// and kind, what is in use; why jobs wait. Events and the time go in; every event costs what it touches.
// Decisions, metrics and the log read the same figures. Everything in it is learned: it decides what is
// better, never what is allowed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "jobs/registry.hpp"
#include "spread/rate.hpp"

namespace wingtrail::spread {

using jobs::Ix;
using jobs::Job;

class Picture {
 public:
  struct Load {                             // of one class of one team; cores are CPUs
    bool service = false;                   // of services
    double held = 0;                        // cores in use
    std::vector<double> by_zone;            // of these
    double waiting = 0;                     // cores that wait, as of the last look
    Seconds oldest = 0;                     // the longest wait of a job among them
    std::uint64_t served = 0, late = 0;     // done; open and past every time that they should be over by
    Rate lately{kLately}, long_run{kLong};  // core-seconds that came, a second
    // Of those that came and are no longer expected to be in time by themselves, the share that got its work
    // done.
    double served_share() const {
      return served + late == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(served + late);
    }
    // The largest part of it that the loss of one zone takes.
    double most_in_a_zone() const {
      const double most = by_zone.empty() ? 0 : *std::max_element(by_zone.begin(), by_zone.end());
      return held > 0 ? most / held : 0;
    }
    // How many times the usual load has come lately.
    double surge(Seconds now) const {
      const double usual = long_run.per_s(now);
      return usual > 0 ? lately.per_s(now) / usual : 1.0;
    }
  };
  using Key = std::pair<Ix, Ix>;  // team, class

  void clear();
  // ---- events
  // `core_s`: what it will take, by its estimate; of a service nothing can be said.
  void came(const Job& job, double core_s, Seconds now);
  void placed(const Job& job, Ix zone, int tasks);  // less than 0: they left
  void ended(const Job& job);
  // Why jobs wait, told anew once a second for the jobs that do.
  void look();
  void waits(const Job& job, std::string_view why, Seconds waited, bool late);

  // ---- what it shows
  const std::map<Key, Load>& loads() const {
    return loads_;
  }
  const Load* of(Ix team, Ix job_class) const;
  const std::vector<double>& zones() const {
    return zones_;
  }  // cores in use
  const std::map<std::string_view, double>& reasons() const {
    return reasons_;
  }  // cores by why they wait
  // The cores that the team's services may ask for within that time, by what came so far: at least one
  // service as large as any that came.
  double services_soon(Ix team, Seconds within, Seconds now) const;

 private:
  static constexpr Seconds kLately = 20, kLong = 600;
  struct Team {
    double largest_service = 0;
    Rate services{kLong};
  };
  Team& team(Ix ix);
  std::map<Key, Load> loads_;  // a handful
  std::vector<Team> teams_;
  std::vector<double> zones_;
  std::map<std::string_view, double> reasons_;
};

}  // namespace wingtrail::spread
