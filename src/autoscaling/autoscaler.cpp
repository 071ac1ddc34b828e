#include "autoscaling/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::autoscaling {
namespace {
constexpr double kBootOverrun = 2.5;  // times the catalog's boot time: then another machine is sought
constexpr Seconds kCallTimeout = 4;
constexpr double kBootVaries = 1.5;    // PROTOCOL: 0.6 to 1.5 times the catalog's
constexpr Seconds kLeastCharged = 60;  // PROTOCOL: a machine that is deleted costs at least that
constexpr Seconds kStalled = 1;        // between two ticks: this process stood still
}  // namespace

Autoscaler::Autoscaler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                       workers::WorkerManager& agents, scheduling::Scheduler& scheduler, LeadershipView link)
    : out_(out),
      settings_(settings),
      registry_(registry),
      workers_(agents),
      scheduler_(scheduler),
      leadership_(std::move(link)) {
  cloud_calls_.configure(settings.cloud_requests_per_s * 0.8);
}

void Autoscaler::begin_leadership() {
  end_leadership();
  active_ = true;
  next_list_at_ = 0;
  next_scale_out_at_ = out_.now() + 1;
}

void Autoscaler::end_leadership() {
  active_ = listing_ = returning_ = false;
  ++term_;
  rental_requests_.clear();
  listings_.clear();
  to_return_.clear();
  refused_until_.clear();
  restricted_job_requested_at_.clear();
  // What the last reckoning found names machines of a leadership that is over (seed 201: used after it was
  // freed).
  stock_.clear();
  draining_machines_.clear();
  faulty_machines_.clear();
  never_reported_.clear();
  excess_since_ = 0;
  smooth_flexible_ = smooth_ordinary_ = -1;
}

void Autoscaler::set_catalog(std::vector<wire::MachineType> catalog) {
  catalog_ = std::move(catalog);
  for (const auto& t : catalog_) {
    const MachineTypeIndex ix = registry_.types.add(t.name);
    if (type_by_index_.size() <= ix)
      type_by_index_.resize(ix + 1);
    type_by_index_[ix] = t;
  }
}

bool Autoscaler::take_cloud_call(bool urgent) {
  return cloud_calls_.try_take(out_.now(), 1, urgent ? 0.0 : 0.3);
}

void Autoscaler::tick() {
  if (!active_ || !leadership_.may_act())
    return;
  // Calls given up by a process that stood still say nothing: their answers may lie in its sockets.
  if (out_.now() > ticked_at_ + kStalled)
    judge_after_ = out_.now() + 2 * kStalled;
  ticked_at_ = out_.now();
  if (!listing_ && out_.now() >= next_list_at_ && take_cloud_call(false)) {
    listing_ = true;
    seen_in_list_.clear();
    list_machines("");
  }
  watch_health();
  if (out_.now() >= next_scale_out_at_ && !catalog_.empty()) {
    next_scale_out_at_ = out_.now() + 1;
    update_stock();
    scale_out();
    scale_in();
  }
  for (RentalRequest& h : rental_requests_) {
    if (!h.in_flight && out_.now() >= h.retry_at)
      send_rental_request(h);
  }
  if (!to_return_.empty())
    send_returns();
}

void Autoscaler::list_machines(const std::string& after) {
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "GET";
  call.path = wire::machine_list_path(after, 500);
  call.timeout_s = kCallTimeout;
  out_.call(std::move(call), [this, after, term = term_](const ports::Reply& r) {
    if (term != term_)
      return;
    auto page = r.status == 200 ? wire::parse_machine_list(r.body)
                                : wire::malformed("status " + std::to_string(r.status));
    if (!page) {
      listing_ = false;
      next_list_at_ = out_.now() + 1;
      return;
    }
    on_list_page(*page, after);
  });
}

void Autoscaler::on_list_page(const wire::MachineList& page, const std::string&) {
  for (const wire::ListedMachine& l : page.machines) {
    Machine* known = workers_.find(l.host);
    const bool fresh = !known;
    Machine& m = known ? *known : workers_.add_machine(l.host, l.address, l.type, l.zone, l.spot);
    if (m.gone)
      continue;
    if (m.address.empty())
      m.address = l.address;
    if (fresh)
      m.rented_at = out_.now() - l.age_s;
    Listing& listing = listings_[m.index];
    listing.listed = true;
    listing.state = l.state;
    seen_in_list_.insert(m.index);
    if (l.state == wire::ListedMachine::State::failed) {
      // It stopped on its own; deleting it only clears the list.
      spdlog::warn("{}: failed", m.host);
      workers_.mark_gone(m);
      to_return_.insert(m.index);
    }
  }
  if (page.more && !page.machines.empty())
    return list_machines(page.machines.back().host);
  on_list_complete();
}

void Autoscaler::on_list_complete() {
  listing_ = false;
  next_list_at_ = out_.now() + std::max(1.0, settings_.cloud_list_lag_s / 2);
  // Once listed, a machine stays listed until it is gone; but a list may be older than the one before it, so
  // only a lasting absence counts.
  for (auto& [ix, listing] : listings_) {
    Machine& m = workers_.machine_at(ix);
    if (m.gone || !listing.listed)
      continue;
    if (seen_in_list_.contains(ix)) {
      listing.missing_since = 0;
    } else if (listing.missing_since == 0) {
      listing.missing_since = out_.now();
    } else if (out_.now() - listing.missing_since > 2 * settings_.cloud_list_lag_s + 1 &&
               workers_.time_since_contact(m) > settings_.heartbeat_interval_s * 1.5) {
      spdlog::info("{}: no longer listed, gone", m.host);
      workers_.mark_gone(m);
    }
  }
  // A machine of the roster that neither reports nor was ever listed has been gone since before this
  // leadership.
  for (const MachineIndex ix : std::vector<MachineIndex>(workers_.live_machines())) {
    Machine& m = workers_.machine_at(ix);
    if (m.has_incarnation || listings_.contains(ix) || seen_in_list_.contains(ix))
      continue;
    if (out_.now() - m.first_seen_at > settings_.worker_lease_s + 3 * settings_.cloud_list_lag_s + 5)
      workers_.mark_gone(m);
  }
}

const wire::MachineType* Autoscaler::machine_type(MachineTypeIndex type) const {
  return type < type_by_index_.size() && type_by_index_[type].cpus > 0 ? &type_by_index_[type] : nullptr;
}

double Autoscaler::price(const Pool& p) const {
  const wire::MachineType* t = machine_type(p.type);
  return t ? (p.spot ? t->spot_price : t->price) / t->cpus : 1e9;
}

// Whether the machine is, or will soon be, of use to new work.
bool Autoscaler::counts_as_capacity(const Machine& m) const {
  if (m.gone || m.being_returned || m.draining || m.health == workers::Health::unhealthy || m.preemption_at)
    return false;
  if (m.has_incarnation)
    return true;
  const wire::MachineType* t = machine_type(m.type);
  return out_.now() - m.rented_at < kBootOverrun * (t ? t->boot_s : 60.0);
}

Seconds Autoscaler::typical_boot_s() const {
  Seconds least = 600;
  for (const auto& t : catalog_)
    least = std::min(least, t.boot_s);
  return least;
}

// The machines of a lost zone are kept until custody would be over, had any of the zone's controllers had it
// to give, and then for as long as renting others would take and cost at most, boots that overrun included.
// After that they are returned.
bool Autoscaler::zone_abandoned(ZoneIndex zone) const {
  const Seconds over = workers_.zones().last_contact_at(zone) +
                       (settings_.tunables.delegation_leases + 1) * settings_.worker_lease_s;
  return workers_.zones().is_lost(zone) &&
         out_.now() > over + std::max(kLeastCharged, kBootOverrun * typical_boot_s());
}

// The share of what runs in a zone out of reach that need not be made room for elsewhere: all of it, until
// its leases end so soon that a machine rented now is up just then; then what may run nowhere else.
double Autoscaler::retained_cores(ZoneIndex zone) {
  if (!settings_.tunables.zone_tracking || !zone_unreachable(zone) || workers_.zones().is_lost(zone) ||
      out_.now() + kBootVaries * typical_boot_s() < workers_.zone_leases_expire_at(zone))
    return 1;
  const auto loss = scheduler_.zone_loss_impact(zone);
  return loss.cores_in_use > 0 ? 1 - loss.cores_movable / loss.cores_in_use : 1;
}

// The one walk over the machines, once a second: what there is, and which of them need attention.
void Autoscaler::update_stock() {
  stock_.clear();
  draining_machines_.clear();
  faulty_machines_.clear();
  never_reported_.clear();
  largest_machine_cores_ = 0;
  free_ordinary_cores_by_zone_.assign(registry_.zones.size(), 0);
  std::vector<double> staying;
  for (ZoneIndex zone{0}; zone < registry_.zones.size(); ++zone)
    staying.push_back(retained_cores(zone));
  for (const MachineIndex ix : workers_.live_machines()) {
    const Machine& m = workers_.machine_at(ix);
    if (counts_as_capacity(m)) {
      PoolStock& stock = stock_[{m.type, m.zone, m.spot}];
      // What runs in a zone out of reach goes on, but nothing more can be started there.
      stock.cores += zone_unreachable(m.zone) ? m.used.cpus * staying[m.zone] : m.cpus / m.slowdown;
      ++stock.machines;
      if (!m.spot && !m.short_only && !zone_unreachable(m.zone))
        free_ordinary_cores_by_zone_[m.zone] += m.cpus - m.used.cpus;
      largest_machine_cores_ = std::max(largest_machine_cores_, m.cpus);
    }
    if (m.being_returned)
      continue;
    if (m.draining)
      draining_machines_.push_back(ix);
    if (m.health == workers::Health::unhealthy && m.has_incarnation && !m.busy())
      faulty_machines_.push_back(ix);
    // One that boots in a zone out of reach cannot say that it is up; that it did not is known later.
    if (!m.has_incarnation && m.fenced && !counts_as_capacity(m) &&
        (!zone_unreachable(m.zone) || zone_abandoned(m.zone)) &&
        out_.now() > workers_.zones().returned_at(m.zone) + 2 * settings_.heartbeat_interval_s)
      never_reported_.push_back(ix);
  }
  for (const RentalRequest& h : rental_requests_) {
    const wire::MachineType* t = machine_type(h.pool.type);
    stock_[h.pool].cores += t ? t->cpus * h.count : 0;
    stock_[h.pool].machines += h.count;
    if (!h.pool.spot && t)
      free_ordinary_cores_by_zone_[h.pool.zone] += t->cpus * h.count;
  }
}

double Autoscaler::available_cores(bool spot) const {
  double sum = 0;
  for (const auto& [pool, stock] : stock_)
    sum += pool.spot == spot ? stock.cores : 0;
  return sum;
}

}  // namespace wingtrail::autoscaling
