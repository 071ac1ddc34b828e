// The cloud: rents and returns machines, and lists them with a delay.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

void SimulatedCluster::keep_listing() {
  snapshot_list();
  add_event_after(0.5, [this] { keep_listing(); });
}

SimulatedCluster::WorkerMachine& SimulatedCluster::add_machine(std::size_t type, std::size_t zone, bool spot,
                                                               double boot) {
  auto machine = std::make_unique<WorkerMachine>();
  char name[16];
  std::snprintf(name, sizeof name, "i-%06zu", ++machines_made_);
  machine->name = name;
  machine->address = external_processes_.address ? external_processes_.address(machine->name)
                                                 : "10.1.0." + std::to_string(machines_made_) + ":9000";
  machine->type = type;
  machine->zone = zone;
  machine->spot = spot;
  machine->rented_at = now_;
  machine->clock_rate = 1 + random_between(-0.0005, 0.0005);
  machine->never_boots = boot > 0 && random_bool(0.05);
  machine->fails_tasks = boot > 0 && random_bool(0.05);
  WorkerMachine& added = *machine;
  machines_[machine->name] = std::move(machine);
  if (now_ < quick_boots_until_ && boot > 0)
    boot = random_between(0.2, 1.5), added.never_boots = false;
  if (!added.never_boots)
    add_event_after(boot + random_between(0, 0.5),
                    [this, host = added.name] { start_worker(*machines_.at(host)); });
  return added;
}

void SimulatedCluster::remove_machine(WorkerMachine& machine) {
  spdlog::debug("simulation: machine_returned t={:.3f} host={} zone={} tasks={}", now_, machine.name,
                settings_.zones[machine.zone], machine.tasks.size());
  run_report_.returned_in_cut += now_ < zone_cuts_[machine.zone].until &&
                                 std::any_of(machine.tasks.begin(), machine.tasks.end(),
                                             [](const WorkerTask& task) { return task.phase != "exited"; });
  machine.gone = true;
  machine.tasks.clear();
}

void SimulatedCluster::snapshot_list() {
  Value hosts = Value::array();
  for (auto& [name, machine] : machines_) {
    if (machine->gone)
      continue;
    hosts.push_back({{"ref", name},
                     {"addr", machine->address},
                     {"flavour", catalog_[machine->type].name},
                     {"hall", settings_.zones[machine->zone]},
                     {"standby", machine->spot},
                     {"phase", machine->up ? "running" : "starting"},
                     {"ageS", now_ - machine->rented_at}});
  }
  lists_.emplace_back(now_, std::move(hosts));
  if (lists_.size() > 40)
    lists_.erase(lists_.begin());
}

void SimulatedCluster::cloud_request(const std::string& method, const std::string& path, const Value& body,
                                     const ReplyCallback& reply) {
  if (now_ < cloud_down_until_)
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
    // A list describes a moment in the past, which may be earlier than that of the previous answer.
    const double when = now_ - settings_.cloud_list_lag_s * random_between(1, 2);
    Value hosts = Value::array();
    for (const auto& [at_time, list] : lists_) {
      if (at_time <= when)
        hosts = list;
    }
    return reply(200, {{"hosts", hosts}, {"more", false}});
  }
  if (path == "/machines") {
    const auto name = body["hire"].get<std::string>();
    if (auto it = rentals_.find(name); it != rentals_.end())
      return reply(200, it->second);
    std::size_t live = 0;
    for (auto& [host, machine] : machines_)
      live += !machine->gone;
    if (now_ < no_capacity_until_ || live >= plan_.max_machines)
      return reply(503, {{"error", "no capacity"}});
    Value names = Value::array();
    const auto listed = std::find_if(
        catalog_.begin(), catalog_.end(),
        [&body](const wire::MachineType& type) { return type.name == body["flavour"].get<std::string>(); });
    const auto hall =
        std::find(settings_.zones.begin(), settings_.zones.end(), body["hall"].get<std::string>());
    if (listed == catalog_.end() || hall == settings_.zones.end())
      return reply(400, {{"error", "malformed"}});
    const auto type = static_cast<std::size_t>(listed - catalog_.begin());
    const auto zone = static_cast<std::size_t>(hall - settings_.zones.begin());
    // A controller cannot tell a cut zone from late heartbeats at once, and its request may already have been
    // on the way; only rentals well after the start of the cut count.
    const bool long_cut = is_cut_off(zone) && now_ > zone_cuts_[zone].from + kCutNoticedWithin;
    for (std::size_t k = 0; k < body["howMany"].get<std::size_t>() && live < plan_.max_machines;
         ++k, ++live) {
      run_report_.rented_in_cut += long_cut;
      names.push_back(add_machine(type, zone, body["standby"].get<bool>(),
                                  catalog_[type].boot_s * random_between(0.3, 2.5))
                          .name);
    }
    rentals_[name] = {{"hosts", names}};
    return reply(200, rentals_[name]);
  }
  for (const Value& n : body["hosts"]) {
    auto it = machines_.find(n.get<std::string>());
    if (it != machines_.end())
      remove_machine(*it->second);
  }
  reply(200, Value::object());
}

}  // namespace wingtrail::simulation
