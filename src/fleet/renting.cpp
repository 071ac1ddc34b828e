// Renting: how much of what, and the requests for it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "fleet/fleet.hpp"

namespace wingtrail::fleet {
namespace {
constexpr Seconds kRefusedPause = 15;  // capacity comes back when others return machines
constexpr Seconds kCallTimeout = 4;
constexpr int kMostPerHire = 50;
}  // namespace

bool Fleet::refused(const Pool& pool) const {
  auto until = refused_until_.find(pool);
  if (cut(pool.zone)) {
    const auto there = [&pool](const Hire& h) {
      return h.pool.zone == pool.zone;
    };
    if (!agents_.zones().scout(pool.zone) || std::any_of(hires_.begin(), hires_.end(), there))
      return true;
  }
  return until != refused_until_.end() && out_.now() < until->second;
}

double Fleet::rentable() const {
  double cores = 0;
  for (const bool spot : {true, false}) {
    for (const auto& tier : pools(spot)) {
      for (const Pool& p : tier)
        cores += refused(p) ? 0 : kMostPerHire * type(p.type)->cpus;
    }
  }
  return cores;
}

// The pools of a kind, cheapest first; those that cost about the same stand together.
std::vector<std::vector<Fleet::Pool>> Fleet::pools(bool spot) const {
  std::vector<Pool> all;
  for (const auto& t : catalog_) {
    for (const auto& z : t.zones)
      all.push_back({registry_.types.find(t.name), registry_.zones.add(z), spot});
  }
  std::stable_sort(all.begin(), all.end(),
                   [this](const Pool& a, const Pool& b) { return price(a) < price(b); });
  std::vector<std::vector<Pool>> tiers;
  for (const Pool& p : all) {
    constexpr double kAboutTheSame = 1.02;
    if (tiers.empty() || price(p) > price(tiers.back().front()) * kAboutTheSame)
      tiers.emplace_back();
    tiers.back().push_back(p);
  }
  return tiers;
}

// Asks for that many cores of a kind, in the zone if one is named; returns how many could not even be asked
// for.
double Fleet::fill(bool spot, double missing, const char* why, Ix zone) {
  for (const auto& tier : pools(spot)) {
    std::vector<Pool> open;
    for (const Pool& p : tier) {
      if (!refused(p) && (zone == jobs::kNone || zone == p.zone))
        open.push_back(p);
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
      for (; n > 0; n -= kMostPerHire)
        ask(open[i], std::min(n, kMostPerHire), why);
      if (missing <= 0)
        return 0;
    }
  }
  return missing;
}

// What is kept beyond the load of arrays. A team that is guaranteed room may ask for it at once, and a surge
// that meets a fleet of the usual load's size waits for boots.
double Fleet::spare() const {
  const settings::Tunables& t = settings_.tunables;
  return scheduler_.roomy() ? std::max(t.headroom, t.surge_spare) : t.headroom;
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
  const double flexible = std::max(smooth_flexible_ * (1 + spare()), flexible_now);
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
    if (missing <= 0 || m.gone || m.returning || !m.draining)
      continue;
    m.draining = false;
    agents_.changed(m);
    missing -= m.cpus;
  }
  if (missing > 0) {
    const double left = fill(true, missing, "load");
    if (left > 0 && d.waiting_flexible > 0)
      fill(false, std::min(left, d.waiting_flexible), "load, no spot to be had");
  }
  if (settings_.tunables.zones)
    rent_where_only();
  for (const Ix ix : scheduler_.waiting()) {
    if (const jobs::Job* job = registry_.at(ix))
      rent_for(*job);
  }
}

// Replicas that only one zone may take, since the others hold their half already, need room in that one. Room
// as such does not help them: after a zone had come back, with machines missing, some waited for minutes
// beside a fleet that was large enough (LostZone.WithTheLeaderInside).
void Fleet::rent_where_only() {
  std::vector<double> need(registry_.zones.size(), 0);
  for (const Ix ix : scheduler_.waiting()) {
    const jobs::Job* job = registry_.at(ix);
    if (!job || !job->open() || job->held() || !job->service() || !job->spec.spread || job->spec.spot ||
        job->pending.empty() || out_.now() - job->since < 1 || !scheduler_.gates().open(*job))
      continue;
    Ix only = jobs::kNone;
    std::size_t open = 0;
    for (Ix zone = 0; zone < need.size(); ++zone) {
      if (cut(zone) || !scheduler_.gates().zones().open_in(zone, *job))
        continue;
      ++open;
      only = zone;
    }
    if (open != 1)
      continue;
    const std::uint32_t here = only < job->in_zone.size() ? job->in_zone[only] : 0;
    const std::size_t most = (job->spec.tasks + 1) / 2 - here;
    need[only] += job->spec.need.cpus * static_cast<double>(std::min(job->pending.size(), most));
  }
  for (Ix zone = 0; zone < need.size(); ++zone) {
    if (need[zone] > free_[zone])
      fill(false, need[zone] - free_[zone], "replicas that no other zone may take", zone);
  }
}

// Work that no present or coming machine may run asks for a machine of its own.
void Fleet::rent_for(const jobs::Job& job) {
  if (!job.open() || job.pending.empty() || out_.now() - job.since < 1 || out_.now() < job.not_before)
    return;
  auto holds = [&](Ix type_ix) {
    const wire::MachineType* t = type(type_ix);
    if (!t)
      return 0.0;
    const wire::Resources& n = job.spec.need;
    double tasks = job.spec.tasks;
    if (n.cpus > 0)
      tasks = std::min(tasks, std::floor(t->cpus / n.cpus + 1e-9));
    if (n.gpus > 0)
      tasks = std::min(tasks, std::floor(t->gpus / n.gpus + 1e-9));
    if (n.memory_gb > 0)
      tasks = std::min(tasks, std::floor(t->memory_gb / n.memory_gb + 1e-9));
    return tasks;
  };
  // A gang needs room for all its tasks at once, and in one zone if it must stay together.
  const double needed = job.gang() ? static_cast<double>(job.pending.size()) : 1;
  auto present = [&](std::optional<Ix> zone) {
    double tasks = 0;
    for (const auto& [pool, stock] : stock_) {
      if (zone && pool.zone != *zone)
        continue;
      if (gates::allowed(job, pool.type, pool.zone, pool.spot))
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
    if (ask_for(job, static_cast<double>(job.pending.size()) * scheduler_.pressing(job, boot_s())))
      return;
  }
  if (!together && present({}) >= needed)
    return;
  for (Ix zone = 0; together && zone < registry_.zones.size(); ++zone) {
    if (present(zone) >= needed)
      return;
  }
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : pools(as_spot)) {
      for (const Pool& p : tier) {
        const double each = holds(p.type);
        if (refused(p) || each < 1 || !gates::allowed(job, p.type, p.zone, p.spot))
          continue;
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
        if (refused(p) || !t || !gates::allowed(job, p.type, p.zone, p.spot))
          continue;
        const wire::Resources& n = job.spec.need;
        if (n.cpus > t->cpus || n.gpus > t->gpus || n.memory_gb > t->memory_gb)
          continue;
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
  // Of a zone that is lost with all its machines, one is to find out whether it is back.
  if (cut(pool.zone) && refused(pool))
    return;
  if (cut(pool.zone))
    count = 1;
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
  if (!pool.spot && t && pool.zone < free_.size())
    free_[pool.zone] += t->cpus * count;
  stock_[pool].cores += t ? t->cpus * count : 0;
  stock_[pool].machines += count;
}

void Fleet::send(Hire& hire) {
  if (!take_call(true))
    return;
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
    if (term != term_)
      return;
    auto it = std::find_if(hires_.begin(), hires_.end(), [&](const Hire& h) { return h.name == name; });
    if (it == hires_.end())
      return;
    it->in_flight = false;
    it->retry_at = out_.now() + 1;
    const bool refused = r.status == 503 && wire::text(r.body, "error").value_or("") == "no capacity";
    if (r.status == 200) {
      auto hosts = wire::parse_hired(r.body);
      const std::size_t got = hosts ? hosts->size() : 0;
      if (got < static_cast<std::size_t>(it->count))
        refused_until_[it->pool] = out_.now() + kRefusedPause;
      hired_ += got;
      if (hosts) {
        for (const std::string& host : *hosts) {
          Machine& m = agents_.learn(host, "", registry_.types[it->pool.type], registry_.zones[it->pool.zone],
                                     it->pool.spot);
          if (!m.reporting)
            m.hired_at = it->asked_at;
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

}  // namespace wingtrail::fleet
