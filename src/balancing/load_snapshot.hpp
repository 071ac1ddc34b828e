/// \file
/// The fleet's load: by team and class, what arrives, is in use and was served; by zone, what is in use; why
/// jobs wait. Kept up to date by events. Decisions, metrics and the log read the same figures. They decide
/// what is better, never what is allowed.
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
  /// The load of one class of one team.
  struct ClassLoad {
    bool service = false;                         ///< the class is one of services
    double cores_in_use = 0;                      ///< on all zones
    std::vector<double> cores_by_zone;            ///< in use
    double cores_waiting = 0;                     ///< of pending tasks, as of the last update
    Seconds oldest_wait = 0;                      ///< the longest wait among these jobs
    std::uint64_t served_jobs = 0;                ///< done
    std::uint64_t late_jobs = 0;                  ///< waiting, with every deadline passed
    DecayingRate recent_arrivals{kRecentWindow};  ///< core-seconds per second
    DecayingRate usual_arrivals{kUsualWindow};    ///< core-seconds per second
    /// Of the jobs that are done or late, the share that is done.
    double served_share() const {
      return served_jobs + late_jobs == 0
                 ? 1.0
                 : static_cast<double>(served_jobs) / static_cast<double>(served_jobs + late_jobs);
    }
    /// The largest share of the cores in use that the loss of one zone takes.
    double largest_zone_share() const {
      const double most =
          cores_by_zone.empty() ? 0 : *std::max_element(cores_by_zone.begin(), cores_by_zone.end());
      return cores_in_use > 0 ? most / cores_in_use : 0;
    }
    /// The recent rate of arrival divided by the usual one.
    double surge(Seconds now) const {
      const double usual = usual_arrivals.per_s(now);
      return usual > 0 ? recent_arrivals.per_s(now) / usual : 1.0;
    }
  };
  using ClassKey = std::pair<TeamIndex, ClassIndex>;

  void clear();
  /// The job is new. `core_s`: estimated core-seconds; ignored for a service.
  void on_arrival(const Job& job, double core_s, Seconds now);
  /// Tasks were placed in the zone; a negative number: they left it.
  void on_placed(const Job& job, ZoneIndex zone, int tasks);
  void on_job_over(const Job& job);
  /// Begins a new count of waiting jobs; `add_waiting` follows for each of them.
  void begin_waiting_update();
  /// `reason` must outlive the snapshot. `late`: every deadline has passed.
  void add_waiting(const Job& job, std::string_view reason, Seconds waited, bool late);

  const std::map<ClassKey, ClassLoad>& loads() const {
    return loads_;
  }
  /// Null: the team has had no job of the class.
  const ClassLoad* find(TeamIndex team, ClassIndex job_class) const;
  /// Cores in use.
  const std::vector<double>& cores_by_zone() const {
    return cores_by_zone_;
  }
  const std::map<std::string_view, double>& waiting_cores_by_reason() const {
    return waiting_cores_by_reason_;
  }
  /// The cores that the team's services may request within that time, judging by the arrivals so far: at
  /// least one service as large as any that arrived.
  double expected_service_cores(TeamIndex team, Seconds within, Seconds now) const;

 private:
  static constexpr Seconds kRecentWindow = 20, kUsualWindow = 600;
  struct TeamLoad {
    double largest_service = 0;
    DecayingRate services{kUsualWindow};
  };
  TeamLoad& team(TeamIndex index);
  std::map<ClassKey, ClassLoad> loads_;  // few entries
  std::vector<TeamLoad> teams_;
  std::vector<double> cores_by_zone_;
  std::map<std::string_view, double> waiting_cores_by_reason_;
};

}  // namespace wingtrail::balancing
