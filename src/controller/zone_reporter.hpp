/// @file
/// Logs and counts the changes of zones' states.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/scheduler.hpp"
#include "workers/worker_manager.hpp"
#include "zones/zone_tracker.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Writes one log line for each change of a zone's state except to `unresponsive`, and counts zones that are
/// lost or recover. Used while this controller leads.
class ZoneReporter {
 public:
  struct Counts {
    std::uint64_t lost = 0;       ///< zones whose worker leases expired while they were unreachable
    std::uint64_t recovered = 0;  ///< zones that became reachable again
  };

  /// The referenced objects must outlive the reporter.
  ZoneReporter(const ports::Outbox& out, const jobs::JobRegistry& registry,
               const workers::WorkerManager& workers, scheduling::Scheduler& scheduler);

  /// Must be called periodically.
  void update();
  /// Forgets the reported states, at the beginning of a leadership.
  void reset() {
    reported_.clear();
  }

  /// Returns the name and the last reported state of each zone.
  std::vector<std::pair<std::string, std::string>> states() const;
  const Counts& counts() const {
    return counts_;
  }

 private:
  struct ReportedZone {
    zones::ZoneState state = zones::ZoneState::healthy;
    Seconds since = 0;
    Seconds impact_assessed_at = 0;
    scheduling::Scheduler::ZoneLossImpact impact;  // assessed while the zone was unreachable
  };
  void report(jobs::ZoneIndex zone, zones::ZoneState state);
  void report_lost(jobs::ZoneIndex zone);

  const ports::Outbox& out_;
  const jobs::JobRegistry& registry_;
  const workers::WorkerManager& workers_;
  scheduling::Scheduler& scheduler_;
  std::vector<ReportedZone> reported_;
  Counts counts_;
};

}  // namespace wingtrail::controller
