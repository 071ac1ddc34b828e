// The table of machines: what is known of each, from the beginning of a leadership to its end.
#include "agents/agents.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "agents/resources.hpp"

namespace wingtrail::agents {
namespace {
constexpr double kDrift = 0.001;  // both clocks may be off by 0.05%, in opposite directions
constexpr Seconds kMargin = 0.5;  // a worker acts on the end of its lease within its own timers' steps
}  // namespace

Agents::Agents(ports::Outbox& out, const settings::Settings& settings, jobs::Registry& registry,
               jobs::Ledger& ledger, Link link, Events events)
    : out_(out),
      settings_(settings),
      registry_(registry),
      ledger_(ledger),
      link_(std::move(link)),
      events_(std::move(events)),
      zones_(settings.report_s, settings.lease_s, settings.tunables.zones != 0) {
  team_use_.resize(settings.teams.size());
}

// ---------------------------------------------------------------- leadership

void Agents::begin() {
  end();
  active_ = true;
  began_ = out_.now();
  cleared_after_ = 0;
  // Whatever an earlier leader granted was granted before this moment.
  fence_until_ = lease_end(out_.now());
  zones_.begin(out_.now());
}

Seconds Agents::lease_end(Seconds from) const {
  return from + settings_.lease_s * (1 + kDrift) + kMargin;
}

void Agents::end() {
  active_ = false;
  ++term_;
  machines_.clear();
  live_.clear();
  silent_.clear();
  ask_at_.clear();
  by_host_.clear();
  index_.clear();
  stale_.clear();
  orders_due_.clear();
  tokens_due_.clear();
  sweep_.clear();
  alarm_from_ = -kAlarmLasts;
  alarm_until_ = 0;
  due_ = {};
  doubts_.clear();
  in_doubt_ = unsized_ = calls_ = 0;
  copies_.clear();
  doubt_sum_ = {};
  team_use_.assign(settings_.teams.size(), {});
}

void Agents::set_catalog(const std::vector<wire::MachineType>& catalog) {
  for (const auto& t : catalog) {
    const Ix ix = registry_.types.add(t.name);
    if (catalog_.size() <= ix)
      catalog_.resize(ix + 1);
    catalog_[ix] = t;
  }
  for (const Ix ix : live_) {
    Machine& m = machines_[ix];
    if (m.type >= catalog_.size())
      continue;
    m.cpus = catalog_[m.type].cpus;
    m.gpus = catalog_[m.type].gpus;
    m.memory_gb = catalog_[m.type].memory_gb;
    account(m);
    changed(m);
  }
}

Machine* Agents::find(const std::string& host) {
  auto it = by_host_.find(host);
  return it == by_host_.end() ? nullptr : &machines_[it->second];
}

Machine& Agents::learn(const std::string& host, const std::string& addr, const std::string& type,
                       const std::string& zone, bool spot) {
  if (Machine* known = find(host)) {
    if (known->addr.empty())
      known->addr = addr;
    return *known;
  }
  Machine m;
  m.ix = static_cast<Ix>(machines_.size());
  m.host = host;
  m.addr = addr;
  m.type = registry_.types.add(type);
  m.zone = registry_.zones.add(zone);
  m.spot = spot;
  m.first_seen = m.hired_at = m.idle_since = out_.now();
  if (m.type < catalog_.size()) {
    m.cpus = catalog_[m.type].cpus;
    m.gpus = catalog_[m.type].gpus;
    m.memory_gb = catalog_[m.type].memory_gb;
  }
  by_host_.emplace(host, m.ix);
  live_.push_back(m.ix);
  zones_.member(m.zone, 1);
  machines_.push_back(std::move(m));
  // Not in the roster, so no leader has ever sent it an order.
  machines_.back().settled = true;
  return machines_.back();
}

// What the next leader needs to know of a machine before it reports: where it is, and which images it has
// seen, since a replica moved to a machine without its image is down for the whole fetch.
wire::Value Agents::record(Ix ix) const {
  const Machine& m = machines_[ix];
  wire::Value images = wire::Value::array();
  for (const auto& i : m.images)
    images.push_back(registry_.images[i.first]);
  return {{"host", m.host},
          {"addr", m.addr},
          {"type", registry_.types[m.type]},
          {"zone", registry_.zones[m.zone]},
          {"spot", m.spot},
          {"images", std::move(images)}};
}

Machine& Agents::roster(const wire::Value& record) {
  const auto field = [&record](const char* key) {
    return wire::text(record, key).value_or("");
  };
  Machine& m = learn(field("host"), field("addr"), field("type"), field("zone"),
                     wire::flag(record, "spot").value_or(false));
  m.enlisted = true;
  m.settled = false;
  if (const wire::Value* images = wire::find(record, "images"); images && images->is_array()) {
    for (const wire::Value& i : *images) {
      if (i.is_string())
        m.images.emplace_back(registry_.images.add(i.get<std::string>()), out_.now());
    }
  }
  m.lease_until = fence_until_;
  m.last_contact = out_.now();
  expect(m);
  account(m);
  want(m);
  look_again(m, fence_until_);
  return m;
}

void Agents::enlist(Machine& m) {
  if (m.enlisted || m.enlisting || m.gone)
    return;
  m.enlisting = true;
  ledger_.enlist(m.ix);
}

void Agents::enlisted(Ix ix) {
  Machine& m = machines_[ix];
  m.enlisted = true;
  m.enlisting = false;
  if (m.gone)
    return ledger_.delist(ix);
  changed(m);
  events_.up(m);
}

bool Agents::may_start(const Machine& m) const {
  return !m.gone && !m.returning && !m.draining && m.reporting && m.enlisted && m.settled && m.unknown == 0 &&
         m.health == Health::good && out_.now() >= m.doubt_until && !m.reclaim_at && m.cpus > 0 &&
         !m.unreachable && silence(m) < silent_s() && !zones_.quiet(m.zone, out_.now()) && !near_its_end(m);
}

// An idle worker that answers calls may still be looking for the leader (in custody it is turned away), and
// orders do not renew its lease: what was started on idle machines the moment their zone was back died with
// their leases three seconds later (LostZone.AtEighteenHundredMachines).
bool Agents::near_its_end(const Machine& m) const {
  return settings_.tunables.zones && !m.busy() &&
         out_.now() - m.beat_at > settings_.lease_s - std::min(2 * settings_.report_s, settings_.lease_s / 3);
}

void Agents::changed(Machine& m) {
  if (m.stale)
    return;
  m.stale = true;
  stale_.push_back(m.ix);
}

void Agents::doubt_until(Machine& m, Seconds until) {
  m.doubt_until = until;
  changed(m);
  look_again(m, until);
}

const Index& Agents::index() {
  for (const Ix ix : std::exchange(stale_, {})) {
    Machine& m = machines_[ix];
    m.stale = false;
    index_.update(m, may_start(m));
  }
  return index_;
}

void Agents::watch_spot(Seconds span) {
  for (const Ix ix : live_)
    spot_seconds_ += machines_[ix].spot && machines_[ix].reporting ? span : 0;
}

void Agents::keep(Machine& m, const wire::Resources& need, double sign) {
  add(m.used, need, sign);
  changed(m);
}

void Agents::gone(Machine& m) {
  if (m.gone)
    return;
  // Returned for silence counts as taken: most that fall silent without a notice were.
  if (m.spot && m.reporting && (m.reclaim_at || !m.returning || silence(m) > silent_s()))
    ++spot_lost_;
  end_session(m);
  zones_.member(m.zone, -1);
  m.gone = true;
  m.settled = true;
  expect(m);
  account(m);
  silent_.erase(m.ix);
  const auto it = std::lower_bound(live_.begin(), live_.end(), m.ix);
  if (it != live_.end() && *it == m.ix)
    live_.erase(it);
  if (m.enlisted)
    ledger_.delist(m.ix);
  m.enlisted = false;
  events_.gone(m);
}

void Agents::touch_image(Machine& m, Ix image) {
  for (auto& i : m.images) {
    if (i.first == image) {
      i.second = out_.now();
      return;
    }
  }
  m.images.emplace_back(image, out_.now());
  changed(m);
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
  if (m.enlisted)
    ledger_.refresh(m.ix);
}

void Agents::forget(const std::vector<jobs::Ledger::Ended>& ended) {
  for (const auto& e : ended) {
    for (Slot& s : machines_[e.machine].slots) {
      if (s.attempt == e.attempt && s.task == e.task && s.phase == Slot::Phase::exited)
        s.forget = true;
    }
  }
}

}  // namespace wingtrail::agents
