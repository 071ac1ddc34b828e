// The network between components: delays, cuts, packets held back.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

SimulatedCluster::Link& SimulatedCluster::link(const std::string& a, const std::string& b) {
  return links_[std::minmax(a, b)];
}

double SimulatedCluster::latency() {
  if (t_ < slow_links_until_)
    return between(0.05, 0.5);
  return odds(0.01) ? between(0.05, 0.6) : between(0.0003, 0.003);
}

bool SimulatedCluster::send(const std::string& a, const std::string& b, std::function<void()> fn) {
  Link l = link(a, b);
  if (const auto [until, hold] = zone_cut(a, b); until > l.cut_until)
    l.cut_until = until, l.hold = hold;
  if (t_ >= l.cut_until)
    return later(latency(), std::move(fn)), true;
  if (!l.hold || odds(0.4))
    return !l.hold && odds(0.5);  // lost on its way, or no connection could be made
  at(l.cut_until + latency(), std::move(fn));
  return true;
}

std::optional<std::size_t> SimulatedCluster::zone_of(const std::string& who) const {
  if (who.starts_with("node-"))
    return static_cast<std::size_t>(who.back() - '0') % settings_.zones.size();
  const auto host = machines_.find(who);
  return host == machines_.end() ? std::nullopt : std::optional(host->second->zone);
}

std::pair<double, bool> SimulatedCluster::zone_cut(const std::string& a, const std::string& b) const {
  std::pair<double, bool> most{-1, false};
  if (std::none_of(zone_cuts_.begin(), zone_cuts_.end(), [this](const ZoneCut& c) { return t_ < c.until; }))
    return most;
  const auto za = zone_of(a), zb = zone_of(b);
  if (za == zb)
    return most;
  for (const auto& z : {za, zb}) {
    if (z && zone_cuts_[*z].until > most.first)
      most = {zone_cuts_[*z].until, zone_cuts_[*z].hold};
  }
  return most;
}

void SimulatedCluster::cut_zone(std::size_t zone, double for_s, bool hold) {
  spdlog::debug("{:.3f} {} is cut off for {:.1f} s", t_, settings_.zones[zone], for_s);
  fault_lasts(for_s);
  ZoneCut& cut = zone_cuts_[zone];
  if (t_ >= cut.until)
    cut.from = t_;
  cut.until = std::max(cut.until, t_ + for_s);
  cut.hold = hold;
}

void SimulatedCluster::cut(const std::string& a, const std::string& b, double for_s, bool hold) {
  fault_lasts(for_s);
  Link& l = link(a, b);
  l.cut_until = std::max(l.cut_until, t_ + for_s);
  l.hold = hold;
}

}  // namespace wingtrail::simulation
