#include "fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::fleet {
namespace {
constexpr double kBootOverrun = 2.5;  // times the catalog's boot time: then another machine is sought
constexpr Seconds kCallTimeout = 4;
constexpr double kBootVaries = 1.5;    // PROTOCOL: 0.6 to 1.5 times the catalog's
constexpr Seconds kLeastCharged = 60;  // PROTOCOL: a machine that is deleted costs at least that
constexpr Seconds kStalled = 1;        // between two ticks: this process stood still
}  // namespace

Fleet::Fleet(ports::Outbox& out, const settings::Settings& settings, jobs::Registry& registry,
             agents::Agents& agents, sched::Scheduler& scheduler, Link link)
    : out_(out),
      settings_(settings),
      registry_(registry),
      agents_(agents),
      scheduler_(scheduler),
      link_(std::move(link)) {
  calls_.configure(settings.cloud_rps * 0.8);
}

void Fleet::begin() {
  end();
  active_ = true;
  list_at_ = 0;
  rent_at_ = out_.now() + 1;
}

void Fleet::end() {
  active_ = listing_ = returning_ = false;
  ++term_;
  hires_.clear();
  listings_.clear();
  to_return_.clear();
  refused_until_.clear();
  tied_asked_.clear();
  // What the last reckoning found names machines of a leadership that is over (seed 201: used after it was
  // freed).
  stock_.clear();
  draining_.clear();
  faulty_.clear();
  unborn_.clear();
  excess_since_ = 0;
  smooth_flexible_ = smooth_ordinary_ = -1;
}

void Fleet::set_catalog(std::vector<wire::MachineType> catalog) {
  catalog_ = std::move(catalog);
  for (const auto& t : catalog_) {
    const Ix ix = registry_.types.add(t.name);
    if (types_.size() <= ix)
      types_.resize(ix + 1);
    types_[ix] = t;
  }
}

bool Fleet::take_call(bool urgent) {
  return calls_.take(out_.now(), 1, urgent ? 0.0 : 0.3);
}

void Fleet::tick() {
  if (!active_ || !link_.entitled())
    return;
  // Calls given up by a process that stood still say nothing: their answers may lie in its sockets.
  if (out_.now() > ticked_at_ + kStalled)
    judge_after_ = out_.now() + 2 * kStalled;
  ticked_at_ = out_.now();
  if (!listing_ && out_.now() >= list_at_ && take_call(false)) {
    listing_ = true;
    seen_in_list_.clear();
    list_machines("");
  }
  watch_health();
  if (out_.now() >= rent_at_ && !catalog_.empty()) {
    rent_at_ = out_.now() + 1;
    reckon();
    rent();
    shed();
  }
  for (Hire& h : hires_) {
    if (!h.in_flight && out_.now() >= h.retry_at)
      send(h);
  }
  if (!to_return_.empty())
    send_returns();
}

void Fleet::list_machines(const std::string& after) {
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "GET";
  call.path = wire::machine_list_path(after, 500);
  call.timeout_s = kCallTimeout;
  out_.call(std::move(call), [this, after, term = term_](const ports::Reply& r) {
    if (term != term_)
      return;
    auto page = r.status == 200 ? wire::parse_machine_list(r.body)
                                : wire::Result<wire::MachineList>::fail("status " + std::to_string(r.status));
    if (!page) {
      listing_ = false;
      list_at_ = out_.now() + 1;
      return;
    }
    listed(*page, after);
  });
}

void Fleet::listed(const wire::MachineList& page, const std::string&) {
  for (const wire::ListedMachine& l : page.machines) {
    Machine* known = agents_.find(l.host);
    const bool fresh = !known;
    Machine& m = known ? *known : agents_.learn(l.host, l.addr, l.type, l.zone, l.spot);
    if (m.gone)
      continue;
    if (m.addr.empty())
      m.addr = l.addr;
    if (fresh)
      m.hired_at = out_.now() - l.age_s;
    Listing& listing = listings_[m.ix];
    listing.listed = true;
    listing.state = l.state;
    seen_in_list_.insert(m.ix);
    if (l.state == wire::ListedMachine::State::failed) {
      // It stopped on its own; deleting it only clears the list.
      spdlog::warn("{}: failed", m.host);
      agents_.gone(m);
      to_return_.insert(m.ix);
    }
  }
  if (page.more && !page.machines.empty())
    return list_machines(page.machines.back().host);
  finish_list();
}

void Fleet::finish_list() {
  listing_ = false;
  list_at_ = out_.now() + std::max(1.0, settings_.list_lag_s / 2);
  // Once listed, a machine stays listed until it is gone; but a list may be older than the one before it, so
  // only a lasting absence counts.
  for (auto& [ix, listing] : listings_) {
    Machine& m = agents_.at(ix);
    if (m.gone || !listing.listed)
      continue;
    if (seen_in_list_.contains(ix)) {
      listing.missing_since = 0;
    } else if (listing.missing_since == 0) {
      listing.missing_since = out_.now();
    } else if (out_.now() - listing.missing_since > 2 * settings_.list_lag_s + 1 &&
               agents_.silence(m) > settings_.report_s * 1.5) {
      spdlog::info("{}: no longer listed, gone", m.host);
      agents_.gone(m);
    }
  }
  // A machine of the roster that neither reports nor was ever listed has been gone since before this
  // leadership.
  for (const Ix ix : std::vector<Ix>(agents_.live())) {
    Machine& m = agents_.at(ix);
    if (m.reporting || listings_.contains(ix) || seen_in_list_.contains(ix))
      continue;
    if (out_.now() - m.first_seen > settings_.lease_s + 3 * settings_.list_lag_s + 5)
      agents_.gone(m);
  }
}

const wire::MachineType* Fleet::type(Ix type) const {
  return type < types_.size() && types_[type].cpus > 0 ? &types_[type] : nullptr;
}

double Fleet::price(const Pool& p) const {
  const wire::MachineType* t = type(p.type);
  return t ? (p.spot ? t->spot_price : t->price) / t->cpus : 1e9;
}

// Whether the machine is, or will soon be, of use to new work.
bool Fleet::counts(const Machine& m) const {
  if (m.gone || m.returning || m.draining || m.health == agents::Health::bad || m.reclaim_at)
    return false;
  if (m.reporting)
    return true;
  const wire::MachineType* t = type(m.type);
  return out_.now() - m.hired_at < kBootOverrun * (t ? t->boot_s : 60.0);
}

Seconds Fleet::boot_s() const {
  Seconds least = 600;
  for (const auto& t : catalog_)
    least = std::min(least, t.boot_s);
  return least;
}

// The machines of a lost zone are kept until custody would be over, had any of the zone's controllers had it
// to give, and then for as long as renting others would take and cost at most, boots that overrun included.
// After that they are returned.
bool Fleet::given_up(Ix zone) const {
  const Seconds over =
      agents_.zones().heard_at(zone) + (settings_.tunables.custody_leases + 1) * settings_.lease_s;
  return agents_.zones().lost(zone) && out_.now() > over + std::max(kLeastCharged, kBootOverrun * boot_s());
}

// The share of what runs in a zone out of reach that need not be made room for elsewhere: all of it, until
// its leases end so soon that a machine rented now is up just then; then what may run nowhere else.
double Fleet::stays(Ix zone) {
  if (!settings_.tunables.zones || !cut(zone) || agents_.zones().lost(zone) ||
      out_.now() + kBootVaries * boot_s() < agents_.zone_ends(zone))
    return 1;
  const auto loss = scheduler_.loss_of(zone);
  return loss.cores > 0 ? 1 - loss.elsewhere / loss.cores : 1;
}

// The one walk over the machines, once a second: what there is, and which of them need attention.
void Fleet::reckon() {
  stock_.clear();
  draining_.clear();
  faulty_.clear();
  unborn_.clear();
  largest_ = 0;
  free_.assign(registry_.zones.size(), 0);
  std::vector<double> staying;
  for (Ix zone = 0; zone < registry_.zones.size(); ++zone)
    staying.push_back(stays(zone));
  for (const Ix ix : agents_.live()) {
    const Machine& m = agents_.at(ix);
    if (counts(m)) {
      Stock& stock = stock_[{m.type, m.zone, m.spot}];
      // What runs in a zone out of reach goes on, but nothing more can be started there.
      stock.cores += cut(m.zone) ? m.used.cpus * staying[m.zone] : m.cpus / m.slow;
      ++stock.machines;
      if (!m.spot && !m.short_only && !cut(m.zone))
        free_[m.zone] += m.cpus - m.used.cpus;
      largest_ = std::max(largest_, m.cpus);
    }
    if (m.returning)
      continue;
    if (m.draining)
      draining_.push_back(ix);
    if (m.health == agents::Health::bad && m.reporting && !m.busy())
      faulty_.push_back(ix);
    // One that boots in a zone out of reach cannot say that it is up; that it did not is known later.
    if (!m.reporting && m.settled && !counts(m) && (!cut(m.zone) || given_up(m.zone)) &&
        out_.now() > agents_.zones().back_at(m.zone) + 2 * settings_.report_s)
      unborn_.push_back(ix);
  }
  for (const Hire& h : hires_) {
    const wire::MachineType* t = type(h.pool.type);
    stock_[h.pool].cores += t ? t->cpus * h.count : 0;
    stock_[h.pool].machines += h.count;
    if (!h.pool.spot && t)
      free_[h.pool.zone] += t->cpus * h.count;
  }
}

double Fleet::cores(bool spot) const {
  double sum = 0;
  for (const auto& [pool, stock] : stock_)
    sum += pool.spot == spot ? stock.cores : 0;
  return sum;
}

}  // namespace wingtrail::fleet
