// Renting: how much of what, and the requests for it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "autoscaling/autoscaler.hpp"

namespace wingtrail::autoscaling {
namespace {
constexpr Seconds kRefusedPause = 15;  // capacity comes back when others return machines
constexpr Seconds kCallTimeout = 4;
constexpr int kMostPerHire = 50;
}  // namespace

bool Autoscaler::recently_refused(const Pool& pool) const {
  auto until = refused_until_.find(pool);
  if (zone_unreachable(pool.zone)) {
    const auto there = [&pool](const RentalRequest& h) {
      return h.pool.zone == pool.zone;
    };
    if (!workers_.zones().choose_probe(pool.zone) ||
        std::any_of(rental_requests_.begin(), rental_requests_.end(), there))
      return true;
  }
  return until != refused_until_.end() && out_.now() < until->second;
}

double Autoscaler::rentable_cores() const {
  double cores = 0;
  for (const bool spot : {true, false}) {
    for (const auto& tier : pools(spot)) {
      for (const Pool& p : tier)
        cores += recently_refused(p) ? 0 : kMostPerHire * machine_type(p.type)->cpus;
    }
  }
  return cores;
}

// The pools of a kind, cheapest first; those that cost about the same stand together.
std::vector<std::vector<Autoscaler::Pool>> Autoscaler::pools(bool spot) const {
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
double Autoscaler::request_cores(bool spot, double missing, const char* why, ZoneIndex zone) {
  for (const auto& tier : pools(spot)) {
    std::vector<Pool> open;
    for (const Pool& p : tier) {
      if (!recently_refused(p) && (zone == jobs::kNoIndex || zone == p.zone))
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
      const double each = machine_type(open[i].type)->cpus;
      int n = static_cast<int>(std::ceil(missing / static_cast<double>(open.size() - i) / each - 1e-9));
      missing -= n * each;
      for (; n > 0; n -= kMostPerHire)
        request_machines(open[i], std::min(n, kMostPerHire), why);
      if (missing <= 0)
        return 0;
    }
  }
  return missing;
}

// What is kept beyond the load of arrays. A team that is guaranteed room may ask for it at once, and a surge
// that meets a fleet of the usual load's size waits for boots.
double Autoscaler::spare_cores() const {
  const settings::Tunables& t = settings_.tunables;
  return scheduler_.balancing_enabled() ? std::max(t.headroom, t.surge_headroom) : t.headroom;
}

void Autoscaler::scale_out() {
  const auto d = scheduler_.demand_forecast().demand(typical_boot_s());
  // Short swings are not worth a boot: the load counts as its recent mean, and beyond that what waits and
  // would be late otherwise.
  const double flexible_now = d.flexible;
  smooth_flexible_ =
      smooth_flexible_ < 0 ? flexible_now : smooth_flexible_ + (flexible_now - smooth_flexible_) * 0.03;
  smooth_ordinary_ = std::max(d.ordinary, smooth_ordinary_ < 0 ? d.ordinary : smooth_ordinary_ * 0.995);
  double ordinary = available_cores(false);
  const double spot = available_cores(true);
  const double headroom = settings_.tunables.headroom;
  const double flexible = std::max(smooth_flexible_ * (1 + spare_cores()), flexible_now);
  // Services keep the loss of one machine in reserve.
  const double want_ordinary =
      d.ordinary > 0 ? d.ordinary * (1 + headroom / 2) + largest_machine_cores_ / 2 : 0;
  const double want_total = d.ordinary * (1 + headroom / 2) + flexible;
  spdlog::debug(
      "load: ordinary {:.0f} ({:.0f} waiting), flexible {:.0f} ({:.0f} waiting, mean {:.0f}); machines: "
      "ordinary {:.0f}, spot {:.0f}; wanted: ordinary {:.0f}, in all {:.0f}",
      d.ordinary, d.waiting_ordinary, d.flexible, d.waiting_flexible, smooth_flexible_, ordinary, spot,
      want_ordinary, want_total);
  // A missing part of a machine is not worth one, except for work that waits.
  double missing = want_ordinary - ordinary;
  if (missing > 0) {
    request_cores(false, missing, "ordinary work");
    ordinary += missing;
  }
  missing = want_total - ordinary - spot;
  for (const MachineIndex ix :
       draining_machines_) {  // what is being drained comes back before anything is rented
    Machine& m = workers_.machine_at(ix);
    if (missing <= 0 || m.gone || m.being_returned || !m.draining)
      continue;
    m.draining = false;
    workers_.mark_changed(m);
    missing -= m.cpus;
  }
  if (missing > 0) {
    const double left = request_cores(true, missing, "load");
    if (left > 0 && d.waiting_flexible > 0)
      request_cores(false, std::min(left, d.waiting_flexible), "load, no spot to be had");
  }
  if (settings_.tunables.zone_tracking)
    scale_out_restricted_jobs();
  for (const JobIndex ix : scheduler_.waiting_jobs()) {
    if (const jobs::Job* job = registry_.job_at(ix))
      scale_out_for_job(*job);
  }
}

// Replicas that only one zone may take, since the others hold their half already, need room in that one. Room
// as such does not help them: after a zone had come back, with machines missing, some waited for minutes
// beside a fleet that was large enough (LostZone.WithTheLeaderInside).
void Autoscaler::scale_out_restricted_jobs() {
  std::vector<double> need(registry_.zones.size(), 0);
  for (const JobIndex ix : scheduler_.waiting_jobs()) {
    const jobs::Job* job = registry_.job_at(ix);
    if (!job || !job->is_open() || job->is_held() || !job->is_service() || !job->spec.spread_zones ||
        job->spec.allows_spot || job->pending_tasks.empty() || out_.now() - job->eligible_since < 1 ||
        !scheduler_.filters().admits(*job))
      continue;
    ZoneIndex only = jobs::kNoIndex;
    std::size_t open = 0;
    for (ZoneIndex zone{0}; zone < need.size(); ++zone) {
      if (zone_unreachable(zone) || !scheduler_.filters().zones().admits_zone(zone, *job))
        continue;
      ++open;
      only = zone;
    }
    if (open != 1)
      continue;
    const std::uint32_t here = only < job->placed_by_zone.size() ? job->placed_by_zone[only] : 0;
    const std::size_t most = (job->spec.tasks + 1) / 2 - here;
    need[only] +=
        job->spec.task_resources.cpus * static_cast<double>(std::min(job->pending_tasks.size(), most));
  }
  for (ZoneIndex zone{0}; zone < need.size(); ++zone) {
    if (need[zone] > free_ordinary_cores_by_zone_[zone])
      request_cores(false, need[zone] - free_ordinary_cores_by_zone_[zone],
                    "replicas that no other zone may take", zone);
  }
}

// Work that no present or coming machine may run asks for a machine of its own.
void Autoscaler::scale_out_for_job(const jobs::Job& job) {
  if (!job.is_open() || job.pending_tasks.empty() || out_.now() - job.eligible_since < 1 ||
      out_.now() < job.not_before)
    return;
  auto holds = [&](MachineTypeIndex type_ix) {
    const wire::MachineType* t = machine_type(type_ix);
    if (!t)
      return 0.0;
    const wire::Resources& n = job.spec.task_resources;
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
  const double needed = job.is_gang() ? static_cast<double>(job.pending_tasks.size()) : 1;
  auto present = [&](std::optional<ZoneIndex> zone) {
    double tasks = 0;
    for (const auto& [pool, stock] : stock_) {
      if (zone && pool.zone != *zone)
        continue;
      if (filters::placement_allowed(job, pool.type, pool.zone, pool.spot))
        tasks += stock.machines * holds(pool.type);
    }
    return tasks;
  };
  const bool together = job.is_gang() && job.spec.same_zone;
  // Renting by load takes any idle machine for room. A job that only some types or zones may run, and that
  // still waits after the time of a boot, gets machines of its own; once in that time, so that they can come
  // up.
  const bool tied = !job.is_gang() && (!job.types.empty() || job.zone != jobs::kNoIndex);
  if (tied && out_.now() - job.eligible_since > typical_boot_s() &&
      out_.now() - restricted_job_requested_at_[job.index] > typical_boot_s()) {
    restricted_job_requested_at_[job.index] = out_.now();
    if (request_for_job(job, static_cast<double>(job.pending_tasks.size()) *
                                 scheduler_.demand_forecast().urgent_fraction(job, typical_boot_s())))
      return;
  }
  if (!together && present({}) >= needed)
    return;
  for (ZoneIndex zone{0}; together && zone < registry_.zones.size(); ++zone) {
    if (present(zone) >= needed)
      return;
  }
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : pools(as_spot)) {
      for (const Pool& p : tier) {
        const double each = holds(p.type);
        if (recently_refused(p) || each < 1 || !filters::placement_allowed(job, p.type, p.zone, p.spot))
          continue;
        const double lacking = needed - present(together ? std::optional<ZoneIndex>(p.zone) : std::nullopt);
        return request_machines(p, std::clamp(static_cast<int>(std::ceil(lacking / each)), 1, kMostPerHire),
                                "a job that fits no other machine");
      }
    }
  }
}

// Machines for that many of the job's tasks, in the cheapest pool that it may use.
bool Autoscaler::request_for_job(const jobs::Job& job, double tasks) {
  for (const bool as_spot : {true, false}) {
    for (const auto& tier : pools(as_spot)) {
      for (const Pool& p : tier) {
        const wire::MachineType* t = machine_type(p.type);
        if (recently_refused(p) || !t || !filters::placement_allowed(job, p.type, p.zone, p.spot))
          continue;
        const wire::Resources& n = job.spec.task_resources;
        if (n.cpus > t->cpus || n.gpus > t->gpus || n.memory_gb > t->memory_gb)
          continue;
        const double each = std::max(1.0, std::floor(std::min(t->cpus / std::max(n.cpus, 1e-9),
                                                              t->memory_gb / std::max(n.memory_gb, 1e-9))));
        request_machines(p, std::clamp(static_cast<int>(std::ceil(tasks / each)), 1, kMostPerHire),
                         "a job that few machines may run");
        return true;
      }
    }
  }
  return false;
}

void Autoscaler::request_machines(const Pool& pool, int count, const char* why) {
  // Of a zone that is lost with all its machines, one is to find out whether it is back.
  if (zone_unreachable(pool.zone) && recently_refused(pool))
    return;
  if (zone_unreachable(pool.zone))
    count = 1;
  RentalRequest h;
  // The token is this leadership's alone, so no other node can ever use the name.
  h.name = "r-" + std::to_string(leadership_.fencing_token()) + "-" + std::to_string(++counter_);
  h.pool = pool;
  h.count = count;
  h.asked_at = out_.now();
  spdlog::info("renting {} of {} {} in {} for {}", count, pool.spot ? "spot" : "ordinary",
               registry_.types[pool.type], registry_.zones[pool.zone], why);
  rental_requests_.push_back(std::move(h));
  const wire::MachineType* t = machine_type(pool.type);
  if (!pool.spot && t && pool.zone < free_ordinary_cores_by_zone_.size())
    free_ordinary_cores_by_zone_[pool.zone] += t->cpus * count;
  stock_[pool].cores += t ? t->cpus * count : 0;
  stock_[pool].machines += count;
}

void Autoscaler::send_rental_request(RentalRequest& hire) {
  if (!take_cloud_call(true))
    return;
  hire.in_flight = true;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "POST";
  call.path = wire::kMachinesPath;
  call.body = wire::rental_body(hire.name, registry_.types[hire.pool.type], registry_.zones[hire.pool.zone],
                                hire.pool.spot, hire.count);
  call.timeout_s = kCallTimeout;
  call.not_after = leadership_.lease_expires_at();
  out_.call(std::move(call), [this, name = hire.name, term = term_](const ports::Reply& r) {
    if (term != term_)
      return;
    auto it = std::find_if(rental_requests_.begin(), rental_requests_.end(),
                           [&](const RentalRequest& h) { return h.name == name; });
    if (it == rental_requests_.end())
      return;
    it->in_flight = false;
    it->retry_at = out_.now() + 1;
    const bool refused = r.status == 503 && wire::text(r.body, "error").value_or("") == "no capacity";
    if (r.status == 200) {
      auto hosts = wire::parse_rented(r.body);
      const std::size_t got = hosts ? hosts->size() : 0;
      if (got < static_cast<std::size_t>(it->count))
        refused_until_[it->pool] = out_.now() + kRefusedPause;
      machines_rented_ += got;
      if (hosts) {
        for (const std::string& host : *hosts) {
          Machine& m = workers_.add_machine(host, "", registry_.types[it->pool.type],
                                            registry_.zones[it->pool.zone], it->pool.spot);
          if (!m.has_incarnation)
            m.rented_at = it->asked_at;
        }
      }
      rental_requests_.erase(it);
    } else if (refused || r.status == 400) {
      refused_until_[it->pool] = out_.now() + kRefusedPause;
      spdlog::info("no capacity for {} {} in {}", it->pool.spot ? "spot" : "ordinary",
                   registry_.types[it->pool.type], registry_.zones[it->pool.zone]);
      rental_requests_.erase(it);
    } else if (r.status != 0 && r.status != 429 && out_.now() - it->asked_at > 60) {
      rental_requests_.erase(it);
    }
    // Anything else: the same name again, which rents nothing twice.
  });
}

}  // namespace wingtrail::autoscaling
