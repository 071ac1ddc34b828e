// The cloud: machines rented and returned, its lagging list.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

void SimulatedCluster::keep_listing() {
  snapshot_list();
  later(0.5, [this] { keep_listing(); });
}

SimulatedCluster::WorkerMachine& SimulatedCluster::add_host(std::size_t type, std::size_t zone, bool spot,
                                                            double boot) {
  auto h = std::make_unique<WorkerMachine>();
  char name[16];
  std::snprintf(name, sizeof name, "i-%06zu", ++hosts_made_);
  h->name = name;
  h->addr = outside_.address ? outside_.address(h->name) : "10.1.0." + std::to_string(hosts_made_) + ":9000";
  h->type = type;
  h->zone = zone;
  h->spot = spot;
  h->hired = t_;
  h->rate = 1 + between(-0.0005, 0.0005);
  h->never = boot > 0 && odds(0.05);
  h->sick = boot > 0 && odds(0.05);
  WorkerMachine& out = *h;
  machines_[h->name] = std::move(h);
  if (t_ < quick_boots_until_ && boot > 0)
    boot = between(0.2, 1.5), out.never = false;
  if (!out.never)
    later(boot + between(0, 0.5), [this, n = out.name] { worker_up(*machines_.at(n)); });
  return out;
}

void SimulatedCluster::remove_host(WorkerMachine& h) {
  spdlog::debug("{:.3f} {} of {}: returned with {} tasks", t_, h.name, settings_.zones[h.zone],
                h.tasks.size());
  run_report_.returned_in_cut +=
      t_ < zone_cuts_[h.zone].until &&
      std::any_of(h.tasks.begin(), h.tasks.end(), [](const TaskOn& x) { return x.phase != "exited"; });
  h.gone = true;
  h.tasks.clear();
}

void SimulatedCluster::snapshot_list() {
  Value hosts = Value::array();
  for (auto& [name, h] : machines_) {
    if (h->gone)
      continue;
    hosts.push_back({{"ref", name},
                     {"addr", h->addr},
                     {"flavour", catalog_[h->type].name},
                     {"hall", settings_.zones[h->zone]},
                     {"standby", h->spot},
                     {"phase", h->up ? "running" : "starting"},
                     {"ageS", t_ - h->hired}});
  }
  lists_.emplace_back(t_, std::move(hosts));
  if (lists_.size() > 40)
    lists_.erase(lists_.begin());
}

void SimulatedCluster::cloud(const std::string& method, const std::string& path, const Value& body,
                             const Reply& reply) {
  if (t_ < cloud_down_until_)
    return reply(503, {{"error", "trouble"}});
  if (path == "/catalog") {
    Value list = Value::array();
    for (const auto& c : catalog_) {
      list.push_back({{"name", c.name},
                      {"cores", c.cpus},
                      {"accelerators", c.gpus},
                      {"memGb", c.memory_gb},
                      {"cacheGb", c.cache_gb},
                      {"fetchGbPerS", c.fetch_gb_per_s},
                      {"rate", c.price},
                      {"marketPrice", c.spot_price},
                      {"bootS", c.boot_s},
                      {"halls", c.zones}});
    }
    return reply(200, {{"flavours", list}});
  }
  if (method == "GET") {
    // A list describes some moment of the past, not always a later one than the list before it.
    const double when = t_ - settings_.cloud_list_lag_s * between(1, 2);
    Value hosts = Value::array();
    for (const auto& [at_time, list] : lists_) {
      if (at_time <= when)
        hosts = list;
    }
    return reply(200, {{"hosts", hosts}, {"more", false}});
  }
  if (path == "/machines") {
    const auto name = body["hire"].get<std::string>();
    if (auto it = hires_.find(name); it != hires_.end())
      return reply(200, it->second);
    std::size_t live = 0;
    for (auto& [n, h] : machines_)
      live += !h->gone;
    if (t_ < no_capacity_until_ || live >= plan_.most_machines)
      return reply(503, {{"error", "no capacity"}});
    Value names = Value::array();
    const std::size_t type = body["flavour"] == catalog_[0].name ? 0 : 1;
    const auto hall =
        std::find(settings_.zones.begin(), settings_.zones.end(), body["hall"].get<std::string>());
    const auto zone = static_cast<std::size_t>(hall - settings_.zones.begin());
    // Nobody can tell a cut from silence at once, and a request may have been on its way.
    const bool long_cut = cut_off(zone) && t_ > zone_cuts_[zone].from + kSeenWithin;
    for (std::size_t k = 0; k < body["howMany"].get<std::size_t>() && live < plan_.most_machines;
         ++k, ++live) {
      run_report_.rented_in_cut += long_cut;
      names.push_back(
          add_host(type, zone, body["standby"].get<bool>(), catalog_[type].boot_s * between(0.3, 2.5)).name);
    }
    hires_[name] = {{"hosts", names}};
    return reply(200, hires_[name]);
  }
  for (const Value& n : body["hosts"]) {
    auto it = machines_.find(n.get<std::string>());
    if (it != machines_.end())
      remove_host(*it->second);
  }
  reply(200, Value::object());
}

}  // namespace wingtrail::simulation
