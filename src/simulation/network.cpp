// The network between components: delays, cut links, packets that are held back.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

SimulatedCluster::NetworkLink& SimulatedCluster::link(const std::string& a, const std::string& b) {
  return links_[std::minmax(a, b)];
}

bool SimulatedCluster::is_cut(const std::string& a, const std::string& b) {
  return now_ < std::max(link(a, b).cut_until, zone_cut(a, b).first);
}

double SimulatedCluster::latency() {
  if (now_ < slow_links_until_)
    return random_between(0.05, 0.5);
  return random_bool(0.01) ? random_between(0.05, 0.6) : random_between(0.0003, 0.003);
}

bool SimulatedCluster::send(const std::string& a, const std::string& b, std::function<void()> fn) {
  NetworkLink l = link(a, b);
  if (const auto [until, hold] = zone_cut(a, b); until > l.cut_until)
    l.cut_until = until, l.holds_packets = hold;
  if (now_ >= l.cut_until)
    return add_event_after(latency(), std::move(fn)), true;
  if (!l.holds_packets || random_bool(0.4))
    return !l.holds_packets && random_bool(0.5);  // true: lost on its way; false: no connection could be made
  add_event(l.cut_until + latency(), std::move(fn));
  return true;
}

std::optional<std::size_t> SimulatedCluster::zone_of(const std::string& endpoint) const {
  if (endpoint.starts_with("node-"))
    return static_cast<std::size_t>(endpoint.back() - '0') % settings_.zones.size();
  const auto host = machines_.find(endpoint);
  return host == machines_.end() ? std::nullopt : std::optional(host->second->zone);
}

std::pair<double, bool> SimulatedCluster::zone_cut(const std::string& a, const std::string& b) const {
  std::pair<double, bool> longest{-1, false};
  if (std::none_of(zone_cuts_.begin(), zone_cuts_.end(), [this](const ZoneCut& c) { return now_ < c.until; }))
    return longest;
  const auto za = zone_of(a), zb = zone_of(b);
  if (za == zb)
    return longest;
  for (const auto& z : {za, zb}) {
    if (z && zone_cuts_[*z].until > longest.first)
      longest = {zone_cuts_[*z].until, zone_cuts_[*z].holds_packets};
  }
  return longest;
}

void SimulatedCluster::cut_zone(std::size_t zone, double for_s, bool hold) {
  spdlog::debug("simulation: zone_cut t={:.3f} zone={} for_s={:.1f}", now_, settings_.zones[zone], for_s);
  extend_fault_period(for_s);
  ZoneCut& cut = zone_cuts_[zone];
  if (now_ >= cut.until)
    cut.from = now_;
  cut.until = std::max(cut.until, now_ + for_s);
  cut.holds_packets = hold;
}

void SimulatedCluster::cut(const std::string& a, const std::string& b, double for_s, bool hold) {
  extend_fault_period(for_s);
  NetworkLink& l = link(a, b);
  l.cut_until = std::max(l.cut_until, now_ + for_s);
  l.holds_packets = hold;
}

}  // namespace wingtrail::simulation
