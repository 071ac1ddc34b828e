#include "fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace wingtrail::fleet {
namespace {
constexpr Seconds kRefusedPause = 15;  // capacity comes back when others return machines
constexpr double kBootOverrun = 2.5;   // times the catalog's boot time: then another machine is sought
constexpr Seconds kCallTimeout = 4;
constexpr Seconds kStalled = 1;  // between two ticks: this process stood still
constexpr int kMostPerHire = 50;
constexpr std::size_t kMostPerReturn = 100;

bool busy(const Machine& m) {
  return std::any_of(m.slots.begin(), m.slots.end(), [](const agents::Slot& s) { return s.counted; });
}
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
    if (types_.size() <= ix) types_.resize(ix + 1);
    types_[ix] = t;
  }
}

bool Fleet::take_call(bool urgent) { return calls_.take(out_.now(), 1, urgent ? 0.0 : 0.3); }

void Fleet::tick() {
  if (!active_ || !link_.entitled()) return;
  // Calls given up by a process that stood still say nothing: their answers may lie in its sockets.
  if (out_.now() > ticked_at_ + kStalled) judge_after_ = out_.now() + 2 * kStalled;
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
    if (!h.in_flight && out_.now() >= h.retry_at) send(h);
  }
  if (!to_return_.empty()) send_returns();
}

// ---------------------------------------------------------------- the machine list

void Fleet::list_machines(const std::string& after) {
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "GET";
  call.path = wire::machine_list_path(after, 500);
  call.timeout_s = kCallTimeout;
  out_.call(std::move(call), [this, after, term = term_](const ports::Reply& r) {
    if (term != term_) return;
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
    if (m.gone) continue;
    if (m.addr.empty()) m.addr = l.addr;
    if (fresh) m.hired_at = out_.now() - l.age_s;
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
  if (page.more && !page.machines.empty()) return list_machines(page.machines.back().host);
  finish_list();
}

void Fleet::finish_list() {
  listing_ = false;
  list_at_ = out_.now() + std::max(1.0, settings_.list_lag_s / 2);
  // Once listed, a machine stays listed until it is gone; but a list may be older than the one before it, so
  // only a lasting absence counts.
  for (auto& [ix, listing] : listings_) {
    Machine& m = agents_.at(ix);
    if (m.gone || !listing.listed) continue;
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
    if (m.reporting || listings_.contains(ix) || seen_in_list_.contains(ix)) continue;
    if (out_.now() - m.first_seen > settings_.lease_s + 3 * settings_.list_lag_s + 5) agents_.gone(m);
  }
}

// ---------------------------------------------------------------- renting

const wire::MachineType* Fleet::type(Ix type) const {
  return type < types_.size() && types_[type].cpus > 0 ? &types_[type] : nullptr;
}

double Fleet::price(const Pool& p) const {
  const wire::MachineType* t = type(p.type);
  return t ? (p.spot ? t->spot_price : t->price) / t->cpus : 1e9;
}

bool Fleet::refused(const Pool& pool) const {
  auto until = refused_until_.find(pool);
  if (cut(pool.zone)) return true;
  return until != refused_until_.end() && out_.now() < until->second;
}

// The pools of a kind, cheapest first; those that cost about the same stand together.
std::vector<std::vector<Fleet::Pool>> Fleet::pools(bool spot) const {
  std::vector<Pool> all;
  for (const auto& t : catalog_) {
    for (const auto& z : t.zones) all.push_back({registry_.types.find(t.name), registry_.zones.add(z), spot});
  }
  std::stable_sort(all.begin(), all.end(),
                   [this](const Pool& a, const Pool& b) { return price(a) < price(b); });
  std::vector<std::vector<Pool>> tiers;
  for (const Pool& p : all) {
    constexpr double kAboutTheSame = 1.02;
    if (tiers.empty() || price(p) > price(tiers.back().front()) * kAboutTheSame) tiers.emplace_back();
    tiers.back().push_back(p);
  }
  return tiers;
}

// Whether the machine is, or will soon be, of use to new work.
bool Fleet::counts(const Machine& m) const {
  if (m.gone || m.returning || m.draining || m.health == agents::Health::bad || m.reclaim_at) return false;
  if (m.reporting) return true;
  const wire::MachineType* t = type(m.type);
  return out_.now() - m.hired_at < kBootOverrun * (t ? t->boot_s : 60.0);
}

Seconds Fleet::boot_s() const {
  Seconds least = 600;
  for (const auto& t : catalog_) least = std::min(least, t.boot_s);
  return least;
}

// The one walk over the machines, once a second: what there is, and which of them need attention.
void Fleet::reckon() {
  stock_.clear();
  draining_.clear();
  faulty_.clear();
  unborn_.clear();
  largest_ = 0;
  for (const Ix ix : agents_.live()) {
    const Machine& m = agents_.at(ix);
    if (counts(m)) {
      Stock& stock = stock_[{m.type, m.zone, m.spot}];
      // What runs in a zone out of reach goes on, but nothing more can be started there.
      stock.cores += cut(m.zone) ? m.used.cpus : m.cpus;
      ++stock.machines;
      largest_ = std::max(largest_, m.cpus);
    }
    if (m.returning) continue;
    if (m.draining) draining_.push_back(ix);
    if (m.health == agents::Health::bad && m.reporting && !busy(m)) faulty_.push_back(ix);
    // One that boots in a zone out of reach cannot say that it is up; that it did not is known later.
    if (!m.reporting && m.settled && !counts(m) && !cut(m.zone) &&
        out_.now() > agents_.links().back_at(m.zone) + 2 * settings_.report_s)
      unborn_.push_back(ix);
  }
  for (const Hire& h : hires_) {
    const wire::MachineType* t = type(h.pool.type);
    stock_[h.pool].cores += t ? t->cpus * h.count : 0;
    stock_[h.pool].machines += h.count;
  }
}

double Fleet::cores(bool spot) const {
  double sum = 0;
  for (const auto& [pool, stock] : stock_) sum += pool.spot == spot ? stock.cores : 0;
  return sum;
}

// Asks for that many cores of a kind; returns how many could not even be asked for.
double Fleet::fill(bool spot, double missing, const char* why) {
  for (const auto& tier : pools(spot)) {
    std::vector<Pool> open;
    for (const Pool& p : tier) {
      if (!refused(p)) open.push_back(p);
    }
    // Spreading over zones limits what a zone can take away: the one with the fewest cores comes first.
    auto zone_cores = [this](const Pool& p) {
      double sum = 0;
      for (const auto& [pool, stock] : stock_)
        sum += pool.zone == p.zone && pool.spot == p.spot ? stock.cores : 0;
      return sum;
    };
    std::stable_sort(open.begin(), open.end(),
                     [&](const Pool& a, const Pool& b) { return zone_cores(a) < zone_cores(b); });
    for (std::size_t i = 0; i < open.size(); ++i) {
      const double each = type(open[i].type)->cpus;
      int n = static_cast<int>(std::ceil(missing / static_cast<double>(open.size() - i) / each - 1e-9));
      missing -= n * each;
      for (; n > 0; n -= kMostPerHire) ask(open[i], std::min(n, kMostPerHire), why);
      if (missing <= 0) return 0;
    }
  }
  return missing;
}

void Fleet::rent() {
  const auto d = scheduler_.demand(boot_s());
  // Short swings are not worth a boot: the load counts as its recent mean, and beyond that what waits and
  // would be late otherwise.
  const double flexible_now = d.flexible;
  smooth_flexible_ =
      smooth_flexible_ < 0 ? flexible_now : smooth_flexible_ + (flexible_now - smooth_flexible_) * 0.03;
  smooth_ordinary_ = std::max(d.ordinary, smooth_ordinary_ < 0 ? d.ordinary : smooth_ordinary_ * 0.995);
  double ordinary = cores(false);
  const double spot = cores(true);
  const double headroom = settings_.tunables.headroom;
  const double flexible = std::max(smooth_flexible_ * (1 + headroom), flexible_now);
  // Services keep the loss of one machine in reserve.
  const double want_ordinary = d.ordinary > 0 ? d.ordinary * (1 + headroom / 2) + largest_ / 2 : 0;
  const double want_total = d.ordinary * (1 + headroom / 2) + flexible;
  spdlog::debug(
      "load: ordinary {:.0f} ({:.0f} waiting), flexible {:.0f} ({:.0f} waiting, mean {:.0f}); machines: "
      "ordinary {:.0f}, spot {:.0f}; wanted: ordinary {:.0f}, in all {:.0f}",
      d.ordinary, d.waiting_ordinary, d.flexible, d.waiting_flexible, smooth_flexible_, ordinary, spot,
      want_ordinary, want_total);
  // A missing part of a machine is not worth one, except for work that waits.
  double missing = want_ordinary - ordinary;
  if (missing > 0) {
    fill(false, missing, "ordinary work");
    ordinary += missing;
  }
  missing = want_total - ordinary - spot;
  for (const Ix ix : draining_) {  // what is being drained comes back before anything is rented
    Machine& m = agents_.at(ix);
    if (missing <= 0 || m.gone || m.returning || !m.draining) continue;
    m.draining = false;
    agents_.changed(m);
    missing -= m.cpus;
  }
  if (missing > 0) {
    const double left = fill(true, missing, "load");
    if (left > 0 && d.waiting_flexible > 0)
      fill(false, std::min(left, d.waiting_flexible), "load, no spot to be had");
  }
  for (const Ix ix : scheduler_.waiting()) {
    if (const jobs::Job* job = registry_.at(ix)) rent_for(*job);
  }
}

// Work that no present or coming machine may run asks for a machine of its own.
void Fleet::rent_for(const jobs::Job& job) {
  if (!job.open() || job.pending.empty() || out_.now() - job.since < 1 || out_.now() < job.not_before) return;
  auto holds = [&](Ix type_ix) {
    const wire::MachineType* t = type(type_ix);
    if (!t) return 0.0;
    const wire::Resources& n = job.spec.need;
    double tasks = job.spec.tasks;
    if (n.cpus > 0) tasks = std::min(tasks, std::floor(t->cpus / n.cpus + 1e-9));
    if (n.gpus > 0) tasks = std::min(tasks, std::floor(t->gpus / n.gpus + 1e-9));
    if (n.memory_gb > 0) tasks = std::min(tasks, std::floor(t->memory_gb / n.memory_gb + 1e-9));
    return tasks;
  };
  // A gang needs room for all its tasks at once, and in one zone if it must stay together.
  const double needed = job.gang() ? static_cast<double>(job.pending.size()) : 1;
  auto present = [&](std::optional<Ix> zone) {
    double tasks = 0;
    for (const auto& [pool, stock] : stock_) {
      if (zone && pool.zone != *zone) continue;
      if (scheduler_.allowed(job, pool.type, pool.zone, pool.spot))
        tasks += stock.machines * holds(pool.type);
    }
    return tasks;
  };
  const bool together = job.gang() && job.spec.one_zone;
  // Renting by load takes any idle machine for room. A job that only some types or zones may run, and that
  // still waits after the time of a boot, gets machines of its own; once in that time, so that they can come
  // up.
  const bool tied = !job.gang() && (!job.types.empty() || job.zone != jobs::kNone);
  if (tied && out_.now() - job.since > boot_s() && out_.now() - tied_asked_[job.ix] > boot_s()) {
    tied_asked_[job.ix] = out_.now();
    if (ask_for(job, static_cast<double>(job.pending.size()) * scheduler_.pressing(job, boot_s()))) return;
  }
  if (!together && present({}) >= needed) return;
  for (Ix zone = 0; together && zone < registry_.zones.size(); ++zone) {
    if (present(zone) >= needed) return;
  }
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : pools(as_spot)) {
      for (const Pool& p : tier) {
        const double each = holds(p.type);
        if (refused(p) || each < 1 || !scheduler_.allowed(job, p.type, p.zone, p.spot)) continue;
        const double lacking = needed - present(together ? std::optional<Ix>(p.zone) : std::nullopt);
        return ask(p, std::clamp(static_cast<int>(std::ceil(lacking / each)), 1, kMostPerHire),
                   "a job that fits no other machine");
      }
    }
  }
}

// Machines for that many of the job's tasks, in the cheapest pool that it may use.
bool Fleet::ask_for(const jobs::Job& job, double tasks) {
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : pools(as_spot)) {
      for (const Pool& p : tier) {
        const wire::MachineType* t = type(p.type);
        if (refused(p) || !t || !scheduler_.allowed(job, p.type, p.zone, p.spot)) continue;
        const wire::Resources& n = job.spec.need;
        if (n.cpus > t->cpus || n.gpus > t->gpus || n.memory_gb > t->memory_gb) continue;
        const double each = std::max(1.0, std::floor(std::min(t->cpus / std::max(n.cpus, 1e-9),
                                                              t->memory_gb / std::max(n.memory_gb, 1e-9))));
        ask(p, std::clamp(static_cast<int>(std::ceil(tasks / each)), 1, kMostPerHire),
            "a job that few machines may run");
        return true;
      }
    }
  }
  return false;
}

void Fleet::ask(const Pool& pool, int count, const char* why) {
  Hire h;
  // The token is this leadership's alone, so no other node can ever use the name.
  h.name = "r-" + std::to_string(link_.token()) + "-" + std::to_string(++counter_);
  h.pool = pool;
  h.count = count;
  h.asked_at = out_.now();
  spdlog::info("renting {} of {} {} in {} for {}", count, pool.spot ? "spot" : "ordinary",
               registry_.types[pool.type], registry_.zones[pool.zone], why);
  hires_.push_back(std::move(h));
  const wire::MachineType* t = type(pool.type);
  stock_[pool].cores += t ? t->cpus * count : 0;
  stock_[pool].machines += count;
}

void Fleet::send(Hire& hire) {
  if (!take_call(true)) return;
  hire.in_flight = true;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "POST";
  call.path = wire::kMachinesPath;
  call.body = wire::hire_body(hire.name, registry_.types[hire.pool.type], registry_.zones[hire.pool.zone],
                              hire.pool.spot, hire.count);
  call.timeout_s = kCallTimeout;
  call.not_after = link_.authority_until();
  out_.call(std::move(call), [this, name = hire.name, term = term_](const ports::Reply& r) {
    if (term != term_) return;
    auto it = std::find_if(hires_.begin(), hires_.end(), [&](const Hire& h) { return h.name == name; });
    if (it == hires_.end()) return;
    it->in_flight = false;
    it->retry_at = out_.now() + 1;
    const bool refused = r.status == 503 && wire::text(r.body, "error").value_or("") == "no capacity";
    if (r.status == 200) {
      auto hosts = wire::parse_hired(r.body);
      const std::size_t got = hosts ? hosts->size() : 0;
      if (got < static_cast<std::size_t>(it->count)) refused_until_[it->pool] = out_.now() + kRefusedPause;
      hired_ += got;
      if (hosts) {
        for (const std::string& host : *hosts) {
          Machine& m = agents_.learn(host, "", registry_.types[it->pool.type], registry_.zones[it->pool.zone],
                                     it->pool.spot);
          if (!m.reporting) m.hired_at = it->asked_at;
        }
      }
      hires_.erase(it);
    } else if (refused || r.status == 400) {
      refused_until_[it->pool] = out_.now() + kRefusedPause;
      spdlog::info("no capacity for {} {} in {}", it->pool.spot ? "spot" : "ordinary",
                   registry_.types[it->pool.type], registry_.zones[it->pool.zone]);
      hires_.erase(it);
    } else if (r.status != 0 && r.status != 429 && out_.now() - it->asked_at > 60) {
      hires_.erase(it);
    }
    // Anything else: the same name again, which rents nothing twice.
  });
}

// ---------------------------------------------------------------- returning

void Fleet::give_back(const std::vector<Ix>& machines, const char* why) {
  for (const Ix ix : machines) {
    Machine& m = agents_.at(ix);
    if (m.gone || m.returning) continue;
    m.returning = true;
    agents_.changed(m);
    to_return_.insert(ix);
    spdlog::info("returning {}: {}", m.host, why);
  }
}

void Fleet::send_returns() {
  if (returning_ || !take_call(true)) return;
  std::vector<std::string> hosts;
  std::vector<Ix> batch;
  for (const Ix ix : to_return_) {
    if (hosts.size() >= kMostPerReturn) break;
    hosts.push_back(agents_.at(ix).host);
    batch.push_back(ix);
  }
  returning_ = true;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "POST";
  call.path = wire::kReturnPath;
  call.body = wire::return_body(hosts);
  call.timeout_s = kCallTimeout;
  call.not_after = link_.authority_until();
  out_.call(std::move(call), [this, batch, term = term_](const ports::Reply& r) {
    if (term != term_) return;
    returning_ = false;
    if (r.status != 200) return;  // still in to_return_: asked again
    for (const Ix ix : batch) {
      to_return_.erase(ix);
      ++returned_;
      agents_.gone(agents_.at(ix));
    }
  });
}

// Machines that do not do their work are replaced; a return also ends whatever is on them, so their tasks can
// be started elsewhere at once instead of when a lease has run out.
void Fleet::watch_health() {
  // A machine of a zone out of reach goes on unseen, and a return would end what runs on it; one that is lost
  // while its zone is heard has nothing left to lose. Counting the silent ones instead returned 231 sound
  // machines of a zone whose machines fell silent one after the other.
  if (out_.now() >= judge_after_ && !agents_.silent().empty()) {
    std::vector<Ix> lost;
    for (const Ix ix : agents_.silent()) {
      const Machine& m = agents_.at(ix);
      if (!m.returning && (m.unreachable || !m.reporting) && agents_.lost_alone(m)) lost.push_back(ix);
    }
    give_back(lost, "silent");
  }
  give_back(std::exchange(faulty_, {}), "faulty");
  give_back(std::exchange(unborn_, {}), "never came up");
}

// Returns what is not needed: idle machines, and after a while the emptiest ones, which are drained first.
// Short tasks on a drained machine run to their end; replicas move to machines that have their image.
void Fleet::shed() {
  const auto d = scheduler_.demand(boot_s());
  const double ordinary = cores(false), spot = cores(true);
  const double headroom = settings_.tunables.headroom;
  const double services = std::max(d.ordinary, smooth_ordinary_) * (1 + headroom / 2);
  const double keep_ordinary = services + largest_ / 2;
  const double keep_total = services + std::max(smooth_flexible_, d.flexible) * (1 + headroom);
  double excess = ordinary + spot - keep_total, excess_ordinary = ordinary - keep_ordinary;
  const Seconds now = out_.now();
  // A move costs a replica a moment, so only some move at a time; but of a thousand more than of ten, or a
  // fleet that has become too large stays so for an hour.
  int moves =
      std::max(1, static_cast<int>(settings_.tunables.replica_moves * static_cast<double>(d.replicas)));
  const int most_moving = 2 * moves;
  int moving = 0;
  for (const Ix ix : draining_) {
    Machine& m = agents_.at(ix);
    if (m.gone || !m.draining || m.returning || cut(m.zone)) continue;
    if (!busy(m)) {
      give_back({ix}, "drained");
    } else if (excess < 0) {
      m.draining = false;
      agents_.changed(m);
      excess += m.cpus;
    } else {
      moving += replicas(m);
      while (moves > 0 && move_replica(m)) --moves;
    }
  }
  if (excess <= 0) {
    excess_since_ = 0;
    return;
  }
  if (excess_since_ == 0) excess_since_ = now;
  std::vector<Machine*> order;
  for (const Ix ix : agents_.live()) {
    Machine& m = agents_.at(ix);
    if (m.reporting && counts(m) && !cut(m.zone)) order.push_back(&m);
  }
  std::stable_sort(order.begin(), order.end(), [](const Machine* a, const Machine* b) {
    return a->used.cpus / std::max(1.0, a->cpus) < b->used.cpus / std::max(1.0, b->cpus);
  });
  // A machine is worth keeping idle for as long as another one would boot for nothing.
  const Seconds patience = std::min(settings_.tunables.idle_return_s, boot_s());
  const bool lasting = now - excess_since_ > settings_.tunables.idle_return_s;
  for (Machine* m : order) {
    if (m->cpus > excess || (!m->spot && m->cpus > excess_ordinary)) continue;
    if (!busy(*m)) {
      if (m->idle_since == 0 || now - m->idle_since < patience) continue;
      give_back({m->ix}, "idle");
    } else {
      if (!lasting) continue;
      const int n = replicas(*m);
      if (n > 0 && moving > 0 && moving + n > most_moving) continue;
      moving += n;
      m->draining = true;
      agents_.changed(*m);
      spdlog::info("draining {}", m->host);
    }
    excess -= m->cpus;
    if (!m->spot) excess_ordinary -= m->cpus;
  }
}

// Replicas on the machine, and tasks that may be some.
int Fleet::replicas(const Machine& m) {
  return static_cast<int>(std::count_if(m.slots.begin(), m.slots.end(), [this](const agents::Slot& s) {
    const jobs::Job* job = registry_.at(s.job);
    return s.counted && (!job || job->service());
  }));
}

// Stops one replica on a machine being drained if another machine could take it over without a fetch.
bool Fleet::move_replica(Machine& m) {
  for (agents::Slot& s : m.slots) {
    const jobs::Job* job = registry_.at(s.job);
    if (!job || !job->service() || s.phase != agents::Slot::Phase::running || s.stop) continue;
    if (!scheduler_.could_move(*job, m)) continue;
    agents_.stop(m, s, 0);
    return true;
  }
  return false;
}

}  // namespace wingtrail::fleet
