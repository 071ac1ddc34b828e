#include "controller/zone_reporter.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::controller {
namespace {
using zones::ZoneState;
constexpr Seconds kImpactInterval = 1;  // between assessments of the loss of an unreachable zone
}  // namespace

ZoneReporter::ZoneReporter(const ports::Outbox& out, const jobs::JobRegistry& registry,
                           const workers::WorkerManager& workers, scheduling::Scheduler& scheduler)
    : out_(out), registry_(registry), workers_(workers), scheduler_(scheduler) {}

void ZoneReporter::update() {
  reported_.resize(registry_.zones.size());
  for (jobs::ZoneIndex zone{0}; zone < reported_.size(); ++zone) {
    ReportedZone& reported = reported_[zone];
    const ZoneState state = workers_.zones().state(zone, out_.now());
    // The worker leases of an unreachable zone expire together and their tasks are given up then, so the
    // impact of the loss is assessed before.
    if (state == ZoneState::unreachable && out_.now() >= reported.impact_assessed_at + kImpactInterval) {
      reported.impact = scheduler_.zone_loss_impact(zone);
      reported.impact_assessed_at = out_.now();
    }
    if (state == reported.state || state == ZoneState::unresponsive)
      continue;
    report(zone, state);
    reported.state = state;
    reported.since = out_.now();
  }
}

void ZoneReporter::report(jobs::ZoneIndex zone, ZoneState state) {
  const ReportedZone& reported = reported_[zone];
  const std::string& name = registry_.zones[zone];
  if (state == ZoneState::unreachable) {
    spdlog::info("zones: unreachable zone={} cores_in_use={:.0f} services={}", name,
                 reported.impact.cores_in_use, reported.impact.services_affected);
  }
  if (state == ZoneState::lost)
    report_lost(zone);
  if (state == ZoneState::recovering) {
    ++counts_.recovered;
    spdlog::info("zones: recovering zone={} after_s={:.0f} flap_count={}", name, out_.now() - reported.since,
                 workers_.zones().flap_count(zone));
  }
  if (state == ZoneState::healthy)
    spdlog::info("zones: healthy zone={}", name);
}

void ZoneReporter::report_lost(jobs::ZoneIndex zone) {
  ++counts_.lost;
  const scheduling::Scheduler::ZoneLossImpact& impact = reported_[zone].impact;
  const double replaceable_share =
      impact.cores_movable > 0 ? std::min(1.0, impact.cores_free_elsewhere / impact.cores_movable) : 1.0;
  spdlog::warn(
      "zones: lost zone={} after_s={:.0f} services_affected={} services_without_replicas={} "
      "cores_movable={:.0f} cores_in_use={:.0f} replaceable_percent={:.0f}",
      registry_.zones[zone], out_.now() - workers_.zones().last_contact_at(zone), impact.services_affected,
      impact.services_without_replicas, impact.cores_movable, impact.cores_in_use, 100 * replaceable_share);
}

std::vector<std::pair<std::string, std::string>> ZoneReporter::states() const {
  std::vector<std::pair<std::string, std::string>> states;
  for (jobs::ZoneIndex zone{0}; zone < reported_.size(); ++zone)
    states.emplace_back(registry_.zones[zone], zones::name(reported_[zone].state));
  return states;
}

}  // namespace wingtrail::controller
