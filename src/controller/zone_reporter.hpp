/// @file
/// Log lines and counters on the states of zones.
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

/// Writes one log line for each change of a zone's state that operators should know of, and counts losses.
/// Used while this controller leads.
class ZoneReporter {
 public:
  struct Counts {
    std::uint64_t lost = 0;       ///< zones whose leases ran out while they were unreachable
    std::uint64_t recovered = 0;  ///< zones that came back
  };

  /// The references must outlive the reporter.
  ZoneReporter(const ports::Outbox& out, const jobs::JobRegistry& registry,
               const workers::WorkerManager& workers, scheduling::Scheduler& scheduler);

  /// To be called periodically.
  void update();
  /// A leadership begins: what was reported before is forgotten.
  void reset() {
    reported_.clear();
  }

  /// Each zone's name and its state as last reported.
  std::vector<std::pair<std::string, std::string>> states() const;
  const Counts& counts() const {
    return counts_;
  }

 private:
  struct ReportedZone {
    zones::ZoneState state = zones::ZoneState::healthy;
    Seconds since = 0;
    Seconds impact_assessed_at = 0;
    scheduling::Scheduler::ZoneLossImpact impact;  // of an unreachable zone, while its leases last
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
