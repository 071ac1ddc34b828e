/// @file
/// The table of machines and their inventory records, from the beginning of a leadership to its end.
#include "workers/worker_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "ports/clock_drift.hpp"
#include "workers/resources.hpp"

namespace wingtrail::workers {
namespace {
// A worker notices the end of its lease with a delay, as its timers advance in steps.
constexpr Seconds kWorkerTimerMargin = 0.5;
}  // namespace

WorkerManager::WorkerManager(ports::Outbox& out, const settings::Settings& settings,
                             jobs::JobRegistry& registry, jobs::StateWriter& state_writer,
                             LeadershipView leadership, Events events)
    : out_(out),
      settings_(settings),
      registry_(registry),
      state_writer_(state_writer),
      leadership_(std::move(leadership)),
      events_(std::move(events)),
      zones_(settings.heartbeat_interval_s, settings.worker_lease_s, settings.tunables.zone_tracking != 0) {}

// ---------------------------------------------------------------- leadership

void WorkerManager::begin_leadership() {
  end_leadership();
  active_ = true;
  unreconciled_.begin_leadership(out_.now());
  // All worker leases of earlier leaders were granted before this moment.
  inherited_leases_end_at_ = worker_lease_expiry(out_.now());
  zones_.begin_leadership(out_.now());
}

Seconds WorkerManager::worker_lease_expiry(Seconds renewed_at) const {
  return renewed_at + settings_.worker_lease_s * (1 + ports::kMaxClockDrift) + kWorkerTimerMargin;
}

void WorkerManager::end_leadership() {
  active_ = false;
  ++term_;
  machines_.clear();
  live_machines_.clear();
  unresponsive_machines_.clear();
  zone_probe_at_.clear();
  by_host_.clear();
  placement_index_.clear();
  stale_index_entries_.clear();
  command_queue_.clear();
  fencing_queue_.clear();
  liveness_sweep_.clear();
  checks_.clear();
  unreconciled_.clear();
  calls_in_flight_ = 0;
  strays_.clear();
  team_usage_.clear();
}

void WorkerManager::set_catalog(const std::vector<wire::MachineType>& catalog) {
  for (const auto& type : catalog) {
    const MachineTypeIndex index = registry_.types.add(type.name);
    if (catalog_.size() <= index)
      catalog_.resize(index + 1);
    catalog_[index] = type;
  }
  for (const MachineIndex index : live_machines_) {
    Machine& machine = machines_[index];
    if (machine.type >= catalog_.size())
      continue;
    machine.cpus = catalog_[machine.type].cpus;
    machine.gpus = catalog_[machine.type].gpus;
    machine.memory_gb = catalog_[machine.type].memory_gb;
    update_unreconciled(machine);
    mark_changed(machine);
  }
}

Machine* WorkerManager::find(const std::string& host) {
  const auto entry = by_host_.find(host);
  return entry == by_host_.end() ? nullptr : &machines_[entry->second];
}

Machine& WorkerManager::add_machine(const std::string& host, const std::string& address,
                                    const std::string& type, const std::string& zone, bool spot) {
  if (Machine* known = find(host)) {
    if (known->address.empty())
      known->address = address;
    return *known;
  }
  Machine machine;
  machine.index = MachineIndex(machines_.size());
  machine.host = host;
  machine.address = address;
  machine.type = registry_.types.add(type);
  machine.zone = registry_.zones.add(zone);
  machine.spot = spot;
  machine.first_seen_at = out_.now();
  machine.rented_at = out_.now();
  machine.idle_since = out_.now();
  if (machine.type < catalog_.size()) {
    machine.cpus = catalog_[machine.type].cpus;
    machine.gpus = catalog_[machine.type].gpus;
    machine.memory_gb = catalog_[machine.type].memory_gb;
  }
  by_host_.emplace(host, machine.index);
  live_machines_.push_back(machine.index);
  zones_.add_machines(machine.zone, 1);
  machines_.push_back(std::move(machine));
  // A machine that is not in the machine inventory has never received a command from any leader.
  machines_.back().fenced = true;
  return machines_.back();
}

// Contains what the next leader needs to know of a machine before its first heartbeat: its location and its
// cached images. A replica that migrates to a machine without its image is down until the image is fetched.
wire::Value WorkerManager::inventory_record(MachineIndex index) const {
  const Machine& machine = machines_[index];
  wire::Value images = wire::Value::array();
  for (const auto& image : machine.images)
    images.push_back(registry_.images[image.first]);
  return {{"host", machine.host},
          {"addr", machine.address},
          {"type", registry_.types[machine.type]},
          {"zone", registry_.zones[machine.zone]},
          {"spot", machine.spot},
          {"images", std::move(images)}};
}

Machine& WorkerManager::add_from_inventory(const wire::Value& record) {
  const auto text_field = [&record](const char* key) {
    return wire::text(record, key).value_or("");
  };
  Machine& machine = add_machine(text_field("host"), text_field("addr"), text_field("type"),
                                 text_field("zone"), wire::flag(record, "spot").value_or(false));
  machine.in_inventory = true;
  machine.fenced = false;
  if (const wire::Value* images = wire::find(record, "images"); images && images->is_array()) {
    for (const wire::Value& image : *images) {
      if (image.is_string())
        machine.images.emplace_back(registry_.images.add(image.get<std::string>()), out_.now());
    }
  }
  machine.lease_expires_at = inherited_leases_end_at_;
  machine.last_contact_at = out_.now();
  update_heartbeat_expected(machine);
  update_unreconciled(machine);
  queue_call(machine);
  schedule_check(machine, inherited_leases_end_at_);
  return machine;
}

void WorkerManager::add_to_inventory(Machine& machine) {
  if (machine.in_inventory || machine.inventory_write_pending || machine.gone)
    return;
  machine.inventory_write_pending = true;
  state_writer_.add_machine(machine.index);
}

void WorkerManager::on_inventory_written(MachineIndex index) {
  Machine& machine = machines_[index];
  machine.in_inventory = true;
  machine.inventory_write_pending = false;
  if (machine.gone)
    return state_writer_.remove_machine(index);
  mark_changed(machine);
  events_.on_available(machine);
}

Unavailability WorkerManager::unavailability(const Machine& machine) const {
  if (machine.gone || machine.being_returned || machine.draining || machine.preemption_at)
    return Unavailability::leaving;
  if (!machine.has_incarnation || !machine.in_inventory || machine.cpus <= 0)
    return Unavailability::starting;
  if (!machine.fenced || machine.stray_instance_count > 0)
    return Unavailability::not_reconciled;
  if (machine.is_quarantined(out_.now()))
    return Unavailability::quarantined;
  if (out_.now() < machine.avoid_until)
    return Unavailability::recent_failure;
  if (machine.unreachable || time_since_contact(machine) >= unresponsive_threshold() ||
      zones_.is_unresponsive(machine.zone, out_.now()) || lease_near_expiry(machine))
    return Unavailability::unresponsive;
  return Unavailability::none;
}

// Whether an idle worker's lease may be about to expire. Direct calls do not renew a worker's lease, and a
// worker that answers them may still be searching for the leader, because delegated lease renewal does not
// cover idle workers. Tasks started on such machines the moment their zone is reachable again would be
// killed seconds later, when the leases expire.
bool WorkerManager::lease_near_expiry(const Machine& machine) const {
  return settings_.tunables.zone_tracking && !machine.busy() &&
         out_.now() - machine.last_heartbeat_at >
             settings_.worker_lease_s -
                 std::min(2 * settings_.heartbeat_interval_s, settings_.worker_lease_s / 3);
}

void WorkerManager::mark_changed(Machine& machine) {
  if (machine.index_position.stale)
    return;
  machine.index_position.stale = true;
  stale_index_entries_.push_back(machine.index);
}

void WorkerManager::quarantine(Machine& machine, Seconds until) {
  machine.quarantined_until = until;
  ++machine.quarantines;
  mark_changed(machine);
  schedule_check(machine, until);
}

void WorkerManager::end_quarantine(Machine& machine) {
  machine.failed_jobs.clear();
  machine.quarantines = 0;
  if (machine.is_quarantined(out_.now()))
    mark_changed(machine);
  machine.quarantined_until = 0;
}

void WorkerManager::avoid_until(Machine& machine, Seconds until) {
  machine.avoid_until = until;
  mark_changed(machine);
  schedule_check(machine, until);
}

const PlacementIndex& WorkerManager::placement_index() {
  for (const MachineIndex index : std::exchange(stale_index_entries_, {})) {
    Machine& machine = machines_[index];
    machine.index_position.stale = false;
    placement_index_.update(machine, accepts_tasks(machine));
  }
  return placement_index_;
}

void WorkerManager::observe_spot_time(Seconds elapsed) {
  for (const MachineIndex index : live_machines_) {
    if (machines_[index].spot && machines_[index].has_incarnation)
      spot_preemption_rate_.observe_time(elapsed);
  }
}

const wire::Resources& WorkerManager::team_usage(TeamIndex team) const {
  static const wire::Resources kNone;
  return team < team_usage_.size() ? team_usage_[team] : kNone;
}

void WorkerManager::add_team_usage(TeamIndex team, const wire::Resources& resources, double sign) {
  if (team_usage_.size() <= team)
    team_usage_.resize(team + 1);
  add_resources(team_usage_[team], resources, sign);
}

void WorkerManager::reserve_resources(Machine& machine, const wire::Resources& need, double sign) {
  add_resources(machine.used, need, sign);
  mark_changed(machine);
}

void WorkerManager::mark_gone(Machine& machine) {
  if (machine.gone)
    return;
  // A spot machine that is returned because it is unresponsive counts as preempted: most spot machines that
  // become unresponsive without a preemption notice have been preempted.
  if (machine.spot && machine.has_incarnation &&
      (machine.preemption_at || !machine.being_returned ||
       time_since_contact(machine) > unresponsive_threshold()))
    spot_preemption_rate_.observe_preemption();
  end_incarnation(machine);
  zones_.add_machines(machine.zone, -1);
  machine.gone = true;
  machine.fenced = true;
  update_heartbeat_expected(machine);
  update_unreconciled(machine);
  unresponsive_machines_.erase(machine.index);
  const auto position = std::lower_bound(live_machines_.begin(), live_machines_.end(), machine.index);
  if (position != live_machines_.end() && *position == machine.index)
    live_machines_.erase(position);
  if (machine.in_inventory)
    state_writer_.remove_machine(machine.index);
  machine.in_inventory = false;
  events_.on_machine_gone(machine);
}

// Records that the machine has the image in its cache and uses it now, and predicts which images the worker
// evicts for it.
void WorkerManager::record_image_use(Machine& machine, ImageIndex image) {
  for (auto& cached_image : machine.images) {
    if (cached_image.first == image) {
      cached_image.second = out_.now();
      return;
    }
  }
  machine.images.emplace_back(image, out_.now());
  mark_changed(machine);
  // The worker evicts the least recently used images. Image sizes come from the job specifications; a wrong
  // prediction costs one fetch of an image.
  double cached_gb = 0;
  for (const auto& cached_image : machine.images)
    cached_gb += registry_.image_gb(cached_image.first);
  const double cache_gb = machine.type < catalog_.size() ? catalog_[machine.type].cache_gb : 0;
  while (machine.images.size() > 1 && cached_gb > cache_gb) {
    const auto oldest = std::min_element(machine.images.begin(), machine.images.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    cached_gb -= registry_.image_gb(oldest->first);
    machine.images.erase(oldest);
  }
  if (machine.in_inventory)
    state_writer_.refresh_machine(machine.index);
}

void WorkerManager::on_completions_persisted(const std::vector<jobs::StateWriter::CompletedTask>& ended) {
  for (const auto& completed : ended) {
    for (Allocation& allocation : machines_[completed.machine].allocations) {
      if (allocation.attempt == completed.attempt && allocation.task == completed.task &&
          allocation.phase == Allocation::Phase::exited)
        allocation.may_acknowledge = true;
    }
  }
}

}  // namespace wingtrail::workers
