/// @file
/// The load of the cluster: arrivals, cores in use and jobs served, by team and class; cores in use, by
/// zone; and cores of waiting jobs, by the reason why they wait. Scheduling decisions, metrics and logs
/// read the same figures. They are used to choose the better of several allowed actions, never to decide
/// what is allowed.
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
using jobs::Job;
using jobs::TeamIndex;
using jobs::ZoneIndex;

/// The current load, kept up to date by events of jobs and tasks.
class LoadSnapshot {
 public:
  /// The load of one class of one team.
  struct ClassLoad {
    bool service = false;               ///< whether the jobs of the class are services
    double cores_in_use = 0;            ///< in all zones
    std::vector<double> cores_by_zone;  ///< in use
    double cores_waiting = 0;           ///< of pending tasks, as of the last update
    Seconds oldest_wait = 0;            ///< longest wait of a waiting job, as of the last update
    std::uint64_t served_jobs = 0;      ///< jobs done; services that had running replicas at the end
    std::uint64_t late_jobs = 0;        ///< waiting arrays whose deadlines have all passed
    DecayingRate recent_arrivals{kRecentWindow};  ///< core-seconds per second
    DecayingRate usual_arrivals{kUsualWindow};    ///< core-seconds per second
    /// The share of served jobs among served and late jobs; 1 if there are none.
    double served_share() const {
      return served_jobs + late_jobs == 0
                 ? 1.0
                 : static_cast<double>(served_jobs) / static_cast<double>(served_jobs + late_jobs);
    }
    /// The largest share of the cores in use that is in one zone, and so would be lost with it.
    double largest_zone_share() const {
      const double largest =
          cores_by_zone.empty() ? 0 : *std::max_element(cores_by_zone.begin(), cores_by_zone.end());
      return cores_in_use > 0 ? largest / cores_in_use : 0;
    }
    /// The recent rate of arrival divided by the usual one; 1 if nothing has arrived.
    double surge(Seconds now) const {
      const double usual = usual_arrivals.per_s(now);
      return usual > 0 ? recent_arrivals.per_s(now) / usual : 1.0;
    }
  };
  using ClassKey = std::pair<TeamIndex, ClassIndex>;

  /// Discards all figures.
  void clear();
  /// Counts a newly submitted job. `core_s`: its estimated core-seconds; ignored for a service.
  void on_arrival(const Job& job, double core_s, Seconds now);
  /// Records that tasks of the job were placed in the zone, or, if `tasks` is negative, that they
  /// ended there.
  void on_placed(const Job& job, ZoneIndex zone, int tasks);
  /// Counts a job that is done or cancelled among the served jobs if it was served.
  void on_job_over(const Job& job);
  /// Resets the figures of waiting jobs; the caller then calls `add_waiting` for each of them.
  void begin_waiting_update();
  /// Counts a waiting job. `reason`: why it waits; the text must outlive the snapshot. `waited`: for how many
  /// seconds. `late`: all its deadlines have passed.
  void add_waiting(const Job& job, std::string_view reason, Seconds waited, bool late);

  const std::map<ClassKey, ClassLoad>& loads() const {
    return loads_;
  }
  /// The load of one class of the team; null if the team has had no job of the class.
  const ClassLoad* find(TeamIndex team, ClassIndex job_class) const;
  /// Cores in use, by zone.
  const std::vector<double>& cores_by_zone() const {
    return cores_by_zone_;
  }
  /// Cores of pending tasks, by the reason why their jobs wait.
  const std::map<std::string_view, double>& waiting_cores_by_reason() const {
    return waiting_cores_by_reason_;
  }
  /// The cores that new services of the team are expected to request within `within` seconds, from the
  /// arrivals so far: the largest service that has arrived, plus the usual rate of arrival.
  double expected_service_cores(TeamIndex team, Seconds within, Seconds now) const;

 private:
  static constexpr Seconds kRecentWindow = 20;  // time constant of the recent rate of arrival
  static constexpr Seconds kUsualWindow = 600;  // time constant of the usual rate of arrival
  struct TeamLoad {
    double largest_service = 0;           // cores
    DecayingRate services{kUsualWindow};  // cores per second
  };
  TeamLoad& team(TeamIndex index);
  std::map<ClassKey, ClassLoad> loads_;  // few entries: teams times classes
  std::vector<TeamLoad> teams_;
  std::vector<double> cores_by_zone_;
  std::map<std::string_view, double> waiting_cores_by_reason_;
};

}  // namespace wingtrail::balancing
