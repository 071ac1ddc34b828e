// The table of machines: what is known of each, from the beginning of a leadership to its end.
#include "workers/worker_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "workers/resources.hpp"

namespace wingtrail::workers {
namespace {
constexpr double kDrift = 0.001;  // both clocks may be off by 0.05%, in opposite directions
constexpr Seconds kMargin = 0.5;  // a worker acts on the end of its lease within its own timers' steps
}  // namespace

WorkerManager::WorkerManager(ports::Outbox& out, const settings::Settings& settings,
                             jobs::JobRegistry& registry, jobs::StateWriter& ledger, LeadershipView link,
                             Events events)
    : out_(out),
      settings_(settings),
      registry_(registry),
      state_writer_(ledger),
      leadership_(std::move(link)),
      events_(std::move(events)),
      zones_(settings.heartbeat_interval_s, settings.worker_lease_s, settings.tunables.zone_tracking != 0) {
  team_usage_.resize(settings.teams.size());
}

// ---------------------------------------------------------------- leadership

void WorkerManager::begin_leadership() {
  end_leadership();
  active_ = true;
  leadership_began_at_ = out_.now();
  reconciled_after_ = 0;
  // Whatever an earlier leader granted was granted before this moment.
  fence_until_ = worker_lease_expiry(out_.now());
  zones_.begin_leadership(out_.now());
}

Seconds WorkerManager::worker_lease_expiry(Seconds from) const {
  return from + settings_.worker_lease_s * (1 + kDrift) + kMargin;
}

void WorkerManager::end_leadership() {
  active_ = false;
  ++term_;
  machines_.clear();
  live_machines_.clear();
  silent_machines_.clear();
  zone_probe_at_.clear();
  by_host_.clear();
  placement_index_.clear();
  index_stale_.clear();
  command_queue_.clear();
  token_queue_.clear();
  sweep_queue_.clear();
  sweep_from_ = -kSweepDuration;
  sweep_until_ = 0;
  deadlines_ = {};
  unreconciled_groups_.clear();
  unreconciled_count_ = unsized_allocations_ = calls_in_flight_ = 0;
  strays_.clear();
  unreconciled_resources_ = {};
  team_usage_.assign(settings_.teams.size(), {});
}

void WorkerManager::set_catalog(const std::vector<wire::MachineType>& catalog) {
  for (const auto& t : catalog) {
    const MachineTypeIndex ix = registry_.types.add(t.name);
    if (catalog_.size() <= ix)
      catalog_.resize(ix + 1);
    catalog_[ix] = t;
  }
  for (const MachineIndex ix : live_machines_) {
    Machine& m = machines_[ix];
    if (m.type >= catalog_.size())
      continue;
    m.cpus = catalog_[m.type].cpus;
    m.gpus = catalog_[m.type].gpus;
    m.memory_gb = catalog_[m.type].memory_gb;
    update_unreconciled(m);
    mark_changed(m);
  }
}

Machine* WorkerManager::find(const std::string& host) {
  auto it = by_host_.find(host);
  return it == by_host_.end() ? nullptr : &machines_[it->second];
}

Machine& WorkerManager::add_machine(const std::string& host, const std::string& addr, const std::string& type,
                                    const std::string& zone, bool spot) {
  if (Machine* known = find(host)) {
    if (known->address.empty())
      known->address = addr;
    return *known;
  }
  Machine m;
  m.index = MachineIndex(machines_.size());
  m.host = host;
  m.address = addr;
  m.type = registry_.types.add(type);
  m.zone = registry_.zones.add(zone);
  m.spot = spot;
  m.first_seen_at = m.rented_at = m.idle_since = out_.now();
  if (m.type < catalog_.size()) {
    m.cpus = catalog_[m.type].cpus;
    m.gpus = catalog_[m.type].gpus;
    m.memory_gb = catalog_[m.type].memory_gb;
  }
  by_host_.emplace(host, m.index);
  live_machines_.push_back(m.index);
  zones_.add_member(m.zone, 1);
  machines_.push_back(std::move(m));
  // Not in the roster, so no leader has ever sent it an order.
  machines_.back().fenced = true;
  return machines_.back();
}

// What the next leader needs to know of a machine before it reports: where it is, and which images it has
// seen, since a replica moved to a machine without its image is down for the whole fetch.
wire::Value WorkerManager::inventory_record(MachineIndex ix) const {
  const Machine& m = machines_[ix];
  wire::Value images = wire::Value::array();
  for (const auto& i : m.images)
    images.push_back(registry_.images[i.first]);
  return {{"host", m.host},
          {"addr", m.address},
          {"type", registry_.types[m.type]},
          {"zone", registry_.zones[m.zone]},
          {"spot", m.spot},
          {"images", std::move(images)}};
}

Machine& WorkerManager::add_from_inventory(const wire::Value& record) {
  const auto field = [&record](const char* key) {
    return wire::text(record, key).value_or("");
  };
  Machine& m = add_machine(field("host"), field("addr"), field("type"), field("zone"),
                           wire::flag(record, "spot").value_or(false));
  m.in_inventory = true;
  m.fenced = false;
  if (const wire::Value* images = wire::find(record, "images"); images && images->is_array()) {
    for (const wire::Value& i : *images) {
      if (i.is_string())
        m.images.emplace_back(registry_.images.add(i.get<std::string>()), out_.now());
    }
  }
  m.lease_expires_at = fence_until_;
  m.last_contact_at = out_.now();
  update_expected(m);
  update_unreconciled(m);
  queue_call(m);
  schedule_check(m, fence_until_);
  return m;
}

void WorkerManager::add_to_inventory(Machine& m) {
  if (m.in_inventory || m.inventory_write_pending || m.gone)
    return;
  m.inventory_write_pending = true;
  state_writer_.add_machine(m.index);
}

void WorkerManager::on_inventory_written(MachineIndex ix) {
  Machine& m = machines_[ix];
  m.in_inventory = true;
  m.inventory_write_pending = false;
  if (m.gone)
    return state_writer_.remove_machine(ix);
  mark_changed(m);
  events_.on_available(m);
}

bool WorkerManager::accepts_tasks(const Machine& m) const {
  return !m.gone && !m.being_returned && !m.draining && m.has_incarnation && m.in_inventory && m.fenced &&
         m.unsized_allocations == 0 && m.health == Health::healthy && out_.now() >= m.avoid_until &&
         !m.preemption_at && m.cpus > 0 && !m.unreachable && silence_of(m) < silence_threshold() &&
         !zones_.is_silent(m.zone, out_.now()) && !lease_near_expiry(m);
}

// An idle worker that answers calls may still be looking for the leader (in custody it is turned away), and
// orders do not renew its lease: what was started on idle machines the moment their zone was back died with
// their leases three seconds later (LostZone.AtEighteenHundredMachines).
bool WorkerManager::lease_near_expiry(const Machine& m) const {
  return settings_.tunables.zone_tracking && !m.busy() &&
         out_.now() - m.last_heartbeat_at >
             settings_.worker_lease_s -
                 std::min(2 * settings_.heartbeat_interval_s, settings_.worker_lease_s / 3);
}

void WorkerManager::mark_changed(Machine& m) {
  if (m.index_stale)
    return;
  m.index_stale = true;
  index_stale_.push_back(m.index);
}

void WorkerManager::avoid_until(Machine& m, Seconds until) {
  m.avoid_until = until;
  mark_changed(m);
  schedule_check(m, until);
}

const PlacementIndex& WorkerManager::placement_index() {
  for (const MachineIndex ix : std::exchange(index_stale_, {})) {
    Machine& m = machines_[ix];
    m.index_stale = false;
    placement_index_.update(m, accepts_tasks(m));
  }
  return placement_index_;
}

void WorkerManager::observe_spot_time(Seconds span) {
  for (const MachineIndex ix : live_machines_)
    spot_seconds_ += machines_[ix].spot && machines_[ix].has_incarnation ? span : 0;
}

void WorkerManager::reserve_resources(Machine& m, const wire::Resources& need, double sign) {
  add_resources(m.used, need, sign);
  mark_changed(m);
}

void WorkerManager::mark_gone(Machine& m) {
  if (m.gone)
    return;
  // Returned for silence counts as taken: most that fall silent without a notice were.
  if (m.spot && m.has_incarnation &&
      (m.preemption_at || !m.being_returned || silence_of(m) > silence_threshold()))
    ++spot_lost_;
  end_incarnation(m);
  zones_.add_member(m.zone, -1);
  m.gone = true;
  m.fenced = true;
  update_expected(m);
  update_unreconciled(m);
  silent_machines_.erase(m.index);
  const auto it = std::lower_bound(live_machines_.begin(), live_machines_.end(), m.index);
  if (it != live_machines_.end() && *it == m.index)
    live_machines_.erase(it);
  if (m.in_inventory)
    state_writer_.remove_machine(m.index);
  m.in_inventory = false;
  events_.on_machine_gone(m);
}

void WorkerManager::touch_image(Machine& m, ImageIndex image) {
  for (auto& i : m.images) {
    if (i.first == image) {
      i.second = out_.now();
      return;
    }
  }
  m.images.emplace_back(image, out_.now());
  mark_changed(m);
  // The worker keeps the most recently used. Sizes come with the jobs; a wrong guess costs a fetch, no more.
  double cached = 0;
  for (const auto& i : m.images)
    cached += registry_.image_gb(i.first);
  const double cache = m.type < catalog_.size() ? catalog_[m.type].cache_gb : 0;
  while (m.images.size() > 1 && cached > cache) {
    const auto oldest = std::min_element(m.images.begin(), m.images.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    cached -= registry_.image_gb(oldest->first);
    m.images.erase(oldest);
  }
  if (m.in_inventory)
    state_writer_.refresh_machine(m.index);
}

void WorkerManager::acknowledge_ends(const std::vector<jobs::StateWriter::CompletedTask>& ended) {
  for (const auto& e : ended) {
    for (Allocation& s : machines_[e.machine].allocations) {
      if (s.attempt == e.attempt && s.task == e.task && s.phase == Allocation::Phase::exited)
        s.end_persisted = true;
    }
  }
}

}  // namespace wingtrail::workers
