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

#include "balancing/decaying_rate.hpp"
#include "jobs/job_registry.hpp"

namespace wingtrail::balancing {

using jobs::ClassIndex;
using jobs::TeamIndex;
using jobs::ZoneIndex;

using jobs::Job;

class LoadSnapshot {
 public:
  struct ClassLoad {                    // of one class of one team; cores are CPUs
    bool service = false;               // of services
    double cores_in_use = 0;            // cores in use
    std::vector<double> cores_by_zone;  // of these
    double cores_waiting = 0;           // cores that wait, as of the last look
    Seconds oldest_wait = 0;            // the longest wait of a job among them
    std::uint64_t served_jobs = 0,
                  late_jobs = 0;  // done; open and past every time that they should be over by
    DecayingRate recent_arrivals{kRecentWindow},
        usual_arrivals{kUsualWindow};  // core-seconds that came, a second
    // Of those that came and are no longer expected to be in time by themselves, the share that got its work
    // done.
    double served_share() const {
      return served_jobs + late_jobs == 0
                 ? 1.0
                 : static_cast<double>(served_jobs) / static_cast<double>(served_jobs + late_jobs);
    }
    // The largest part of it that the loss of one zone takes.
    double largest_zone_share() const {
      const double most =
          cores_by_zone.empty() ? 0 : *std::max_element(cores_by_zone.begin(), cores_by_zone.end());
      return cores_in_use > 0 ? most / cores_in_use : 0;
    }
    // How many times the usual load has come lately.
    double surge(Seconds now) const {
      const double usual = usual_arrivals.per_s(now);
      return usual > 0 ? recent_arrivals.per_s(now) / usual : 1.0;
    }
  };
  using ClassKey = std::pair<TeamIndex, ClassIndex>;

  void clear();
  // ---- events
  // `core_s`: what it will take, by its estimate; of a service nothing can be said.
  void on_arrival(const Job& job, double core_s, Seconds now);
  void on_placed(const Job& job, ZoneIndex zone, int tasks);  // less than 0: they left
  void on_ended(const Job& job);
  // Why jobs wait, told anew once a second for the jobs that do.
  void begin_waiting_update();
  void add_waiting(const Job& job, std::string_view why, Seconds waited, bool late);

  // ---- what it shows
  const std::map<ClassKey, ClassLoad>& loads() const {
    return loads_;
  }
  const ClassLoad* find(TeamIndex team, ClassIndex job_class) const;
  const std::vector<double>& cores_by_zone() const {
    return cores_by_zone_;
  }  // cores in use
  const std::map<std::string_view, double>& waiting_cores_by_reason() const {
    return waiting_cores_by_reason_;
  }  // cores by why they wait
  // The cores that the team's services may ask for within that time, by what came so far: at least one
  // service as large as any that came.
  double expected_service_cores(TeamIndex team, Seconds within, Seconds now) const;

 private:
  static constexpr Seconds kRecentWindow = 20, kUsualWindow = 600;
  struct TeamLoad {
    double largest_service = 0;
    DecayingRate services{kUsualWindow};
  };
  TeamLoad& team(TeamIndex ix);
  std::map<ClassKey, ClassLoad> loads_;  // a handful
  std::vector<TeamLoad> teams_;
  std::vector<double> cores_by_zone_;
  std::map<std::string_view, double> waiting_cores_by_reason_;
};

}  // namespace wingtrail::balancing
