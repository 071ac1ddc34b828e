#include "sched/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace wingtrail::sched {
namespace {
constexpr double kEps = 1e-6;
constexpr Seconds kOfferedOver = 60;  // what has come lately
}  // namespace

Scheduler::Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::Registry& registry,
                     agents::Agents& agents, std::function<std::uint64_t()> token, std::uint64_t seed)
    : out_(out),
      settings_(settings),
      registry_(registry),
      agents_(agents),
      token_(std::move(token)),
      rng_(seed) {}

void Scheduler::set_catalog(const std::vector<wire::MachineType>& catalog) {
  for (const auto& t : catalog) {
    const Ix ix = registry_.types.add(t.name);
    if (catalog_.size() <= ix) catalog_.resize(ix + 1);
    catalog_[ix] = t;
  }
}

void Scheduler::clear() {
  queues_.clear();
  queued_.clear();
  in_queued_.clear();
  reserved_.clear();
  waiting_.clear();
  in_waiting_.clear();
  long_.clear();
  job_times_.clear();
  offered_ = 0;
}

// ---------------------------------------------------------------- what may go where

double Scheduler::estimate(const Job& job) const {
  const double ratio = job.job_class < classes_.size() ? classes_[job.job_class].ratio : 1.0;
  return job.spec.estimate_s * ratio;
}

Seconds Scheduler::span(const Job& job) const {
  double rate = 0;
  for (const auto& t : catalog_) rate = rate <= 0 ? t.fetch_gb_per_s : std::min(rate, t.fetch_gb_per_s);
  return estimate(job) + (rate > 0 ? job.spec.image_gb / rate : 0);
}

bool Scheduler::is_long(const Job& job) const {
  return job.service() || job.gang() || estimate(job) > settings_.tunables.cutoff_s;
}

bool Scheduler::allowed(const Job& job, Ix type, Ix zone, bool spot) const {
  if (spot && !job.spec.spot) return false;
  if (job.zone != jobs::kNone && job.zone != zone) return false;
  return job.types.empty() || std::find(job.types.begin(), job.types.end(), type) != job.types.end();
}

bool Scheduler::allowed(const Machine& m, const Job& job) const {
  return allowed(job, m.type, m.zone, m.spot);
}

bool Scheduler::zone_allows(Ix zone, const Job& job) const {
  const std::uint32_t here = zone < job.in_zone.size() ? job.in_zone[zone] : 0;
  // All that is placed must be here. Late reports of machines that are gone can make tasks seem to be in two
  // zones at once; as long as they do, neither is certain (seed 30320 placed some in each).
  if (job.spec.one_zone && here != job.placed) return false;
  return !job.spec.spread || here + 1 <= (job.spec.tasks + 1) / 2;
}

bool Scheduler::quota_allows(const Job& job, double tasks) const {
  const settings::Team& team = settings_.teams[job.team];
  if (team.cpus_max <= 0 && team.gpus_max <= 0) return true;
  // Until every machine is accounted for, an earlier leader's tasks may use quota that is not known here: at
  // most all that these machines have.
  const auto unknown = agents_.unaccounted();
  if (!unknown) return false;
  const wire::Resources& use = agents_.team_use(job.team);
  return (team.cpus_max <= 0 ||
          use.cpus + unknown->cpus + tasks * job.spec.need.cpus <= team.cpus_max + kEps) &&
         (team.gpus_max <= 0 ||
          use.gpus + unknown->gpus + tasks * job.spec.need.gpus <= team.gpus_max + kEps);
}

// Whether the job's next task would still be within its team's guarantee.
bool Scheduler::under_guarantee(const Job& job) const {
  const settings::Team& team = settings_.teams[job.team];
  const wire::Resources& use = agents_.team_use(job.team);
  return use.cpus + job.spec.need.cpus <= team.cpus + kEps &&
         use.gpus + job.spec.need.gpus <= team.gpus + kEps;
}

// A task that an earlier leader could have started waits until it is known not to run: until every machine
// that it was allowed on is settled.
bool Scheduler::accounted(const Job& job) const {
  if (job.created > token_() || agents_.clear()) return true;
  return std::none_of(agents_.doubts().begin(), agents_.doubts().end(), [&](const agents::Agents::Doubt& d) {
    return d.unsettled > 0 && allowed(job, d.type, d.zone, d.spot);
  });
}

bool Scheduler::startable(const Job& job) const {
  return job.open() && !job.held() && !job.pending.empty() && out_.now() >= job.not_before && accounted(job);
}

bool Scheduler::can_start(const Machine& m, const Job& job, bool ignore_room) const {
  if (!startable(job) || !agents_.may_start(m) || !allowed(m, job)) return false;
  if (!ignore_room && !m.fits(job.spec.need)) return false;
  if (m.short_only && is_long(job)) return false;
  if (std::find(job.failed_on.begin(), job.failed_on.end(), m.ix) != job.failed_on.end()) return false;
  return quota_allows(job) && zone_allows(m.zone, job);
}

// What the settings aim at for the class's arrays.
const std::vector<Scheduler::Aim>& Scheduler::aims(Ix job_class) const {
  if (aims_.size() <= job_class) aims_.resize(job_class + 1);
  auto& aims = aims_[job_class];
  if (!aims) {
    aims.emplace();
    for (const auto& o : settings_.objectives) {
      if (o.job_class != registry_.classes[job_class]) continue;
      if (o.kind == "finished") aims->push_back({Aim::Kind::finished, o.within_s});
      if (o.kind == "deadline") aims->push_back({Aim::Kind::deadline, o.times});
      if (o.kind == "wait") aims->push_back({Aim::Kind::wait, o.within_s});
    }
  }
  return *aims;
}

// Deadlines count from the submission, however long the job waited for others; everything else from when it
// could start.
Seconds Scheduler::by(const Job& job, const Aim& aim) const {
  switch (aim.kind) {
    case Aim::Kind::finished:
      return job.since + aim.value;
    case Aim::Kind::deadline:
      return job.spec.deadline_s ? job.submitted + aim.value * *job.spec.deadline_s : ports::kNever;
    case Aim::Kind::wait:  // of a service every second counts, and it goes first anyway
      return job.service() ? ports::kNever : job.since + aim.value + estimate(job);
  }
  return ports::kNever;
}

// By its class's aims, by what needs it, or, without any of these, by its own deadline.
template <typename F>
void Scheduler::each_due(const Job& job, F f) const {
  bool any = false;
  for (const Aim& aim : aims(job.job_class)) {
    const Seconds at = by(job, aim);
    if (at != ports::kNever) f(at), any = true;
  }
  if (job.latest != ports::kNever) f(job.latest), any = true;
  if (!any && job.spec.deadline_s) f(job.submitted + *job.spec.deadline_s);
}

// How many of the times it should be over by the job cannot meet any more.
int Scheduler::lateness(const Job& job, Seconds later) const {
  const Seconds over = out_.now() + later + estimate(job);
  int missed = 0;
  each_due(job, [&](Seconds at) { missed += over > at; });
  return missed;
}

// When the job should be done: the first of these times that it can still meet if it begins `later` than now.
Seconds Scheduler::due(const Job& job, Seconds later) const {
  const double rest = estimate(job);
  const Seconds over = out_.now() + later + rest;
  Seconds next = ports::kNever, last = -ports::kNever;
  each_due(job, [&](Seconds at) {
    if (over <= at) next = std::min(next, at);
    last = std::max(last, at);
  });
  if (next != ports::kNever) return next;
  return last > -ports::kNever ? job.since + 10 * std::max(1.0, last - job.since)
                               : job.since + 10 * rest + 60;
}

double Scheduler::work_left(const Job& job) const {
  return (job.spec.tasks - job.done) * job.spec.need.cpus * std::max(1.0, estimate(job));
}

bool Scheduler::could_move(const Job& job, const Machine& from) {
  for (const Index::Pool& p : agents_.index().pools()) {
    if (p.short_only || !allowed(job, p.type, p.zone, p.spot)) continue;
    // The task that moves no longer counts in its zone. With it, a service spread evenly over two zones could
    // move to neither, and the first machine to be emptied of it kept all others waiting to the end.
    const std::uint32_t here =
        (p.zone < job.in_zone.size() ? job.in_zone[p.zone] : 0) - (p.zone == from.zone ? 1 : 0);
    if (job.spec.spread && here + 1 > (job.spec.tasks + 1) / 2) continue;
    const Index::Group* cached = p.with(job.image);
    if (!cached) continue;
    auto it = cached->room.lower_bound({job.spec.need.cpus - kEps, 0});
    for (int n = 0; it != cached->room.end() && n < settings_.tunables.steal_sample; ++it, ++n) {
      const Machine& m = agents_.at(it->second);
      if (m.ix != from.ix && agents_.may_start(m) && m.fits(job.spec.need)) return true;
    }
  }
  return false;
}

// Guarantees come first (DESIGN names this weakness: a swarming team's reservations queue ahead of
// everyone's), then priority, then what can still be in time.
bool Scheduler::before(const Job& a, const Job& b) const {
  const bool ga = under_guarantee(a), gb = under_guarantee(b);
  if (ga != gb) return ga;
  if (a.priority != b.priority) return a.priority > b.priority;
  // Among those, one that can still meet its class's first objective goes first, and of these the one with
  // the least work left: that serves the most users in time when not all can be.
  const int la = lateness(a), lb = lateness(b);
  if (la != lb) return la < lb;
  const double wa = work_left(a), wb = work_left(b);
  return wa != wb ? wa < wb : a.ix < b.ix;
}

// Whether all of a gang's missing tasks find room now: part of a gang would hold its machines for nothing.
bool Scheduler::gang_fits(const Job& job) {
  const auto n = static_cast<double>(job.pending.size());
  if (!quota_allows(job, n)) return false;
  std::unordered_map<Ix, double> zones;
  for (const Index::Pool& p : agents_.index().pools()) {
    if (p.short_only || !allowed(job, p.type, p.zone, p.spot)) continue;
    double& found = zones[job.spec.one_zone ? p.zone : 0];
    for (auto it = p.all.room.lower_bound({job.spec.need.cpus - kEps, 0});
         it != p.all.room.end() && found < n; ++it) {
      const Machine& m = agents_.at(it->second);
      ++machines_examined_;
      if (!can_start(m, job)) continue;
      double room = n;
      auto bound = [&room](double free, double need) {
        if (need > 0) room = std::min(room, std::floor((free + kEps) / need));
      };
      bound(m.cpus - m.used.cpus, job.spec.need.cpus);
      bound(m.gpus - m.used.gpus, job.spec.need.gpus);
      bound(m.memory_gb - m.used.memory_gb, job.spec.need.memory_gb);
      found += room;
    }
  }
  return std::any_of(zones.begin(), zones.end(), [n](const auto& z) { return z.second >= n; });
}

// Hawk's short partition: some machines refuse long tasks. Spot machines take no services anyway and so are
// its natural part; ordinary ones make up the rest, the longest known first.
void Scheduler::partition() {
  std::size_t spot = 0, all = 0;
  for (const Ix ix : agents_.live()) {
    const Machine& m = agents_.at(ix);
    all += m.reporting;
    spot += m.reporting && m.spot;
  }
  const auto wanted = static_cast<std::size_t>(settings_.tunables.short_partition * static_cast<double>(all));
  std::size_t ordinary = spot < wanted ? wanted - spot : 0;
  for (const Ix ix : agents_.live()) {
    Machine& m = agents_.at(ix);
    bool refuses = m.spot && wanted > 0 && spot <= wanted;
    if (!m.spot && m.reporting && ordinary > 0) refuses = true, --ordinary;
    if (refuses == m.short_only) continue;
    m.short_only = refuses;
    agents_.changed(m);
  }
}

// ---------------------------------------------------------------- short tasks

void Scheduler::waits(Job& job) {
  if (in_waiting_.size() <= job.ix) in_waiting_.resize(job.ix + 1);
  if (in_waiting_[job.ix]) return;
  in_waiting_[job.ix] = true;
  waiting_.push_back(job.ix);
  if (is_long(job)) long_.push_back(job.ix);
}

void Scheduler::arrived(Job& job) {
  if (job.pending.empty() || job.held()) return;
  waits(job);
  if (!startable(job)) return;
  if (is_long(job)) return place_long(job);
  const auto missing = static_cast<std::uint32_t>(job.pending.size());
  if (reserved_[job.ix] < missing) reserve(job, missing);
}

void Scheduler::cancel_reservation(Ix job, std::uint32_t tasks) {
  auto it = reserved_.find(job);
  if (it != reserved_.end()) it->second -= std::min(it->second, tasks);
}

void Scheduler::reserve(Job& job, std::uint32_t tasks) {
  // Members of the pools that the job may use, as one list to draw from.
  std::vector<const std::vector<Ix>*> lists;
  std::size_t total = 0;
  for (const Index::Pool& p : agents_.index().pools()) {
    if (!allowed(job, p.type, p.zone, p.spot) || !zone_allows(p.zone, job) || p.all.members.empty()) continue;
    lists.push_back(&p.all.members);
    total += p.all.members.size();
  }
  if (total == 0) return;
  const auto probes = static_cast<std::uint32_t>(std::ceil(tasks * settings_.tunables.reservations_per_task));
  std::unordered_map<Ix, std::uint32_t> sample;
  for (std::uint32_t i = 0; i < probes; ++i) {
    std::size_t at = rng_(static_cast<std::uint32_t>(total));
    for (const auto* list : lists) {
      if (at < list->size()) {
        ++sample[(*list)[at]];
        break;
      }
      at -= list->size();
    }
  }
  struct Probe {
    double wait;
    Ix machine;
  };
  std::vector<Probe> order;
  for (const auto& [ix, n] : sample) {
    if (queues_.size() <= ix) queues_.resize(ix + 1), in_queued_.resize(ix + 1);
    queues_[ix].push_back({job.ix, n});
    if (!in_queued_[ix]) in_queued_[ix] = true, queued_.push_back(ix);
    reserved_[job.ix] += n;
    ++machines_examined_;
    const Machine& m = agents_.at(ix);
    if (m.fits(job.spec.need)) order.push_back({waiting(m, job), ix});
  }
  // All queues are in this process, so the sampled machines are asked in the order in which they could begin.
  std::sort(order.begin(), order.end(), [](const Probe& a, const Probe& b) {
    return a.wait != b.wait ? a.wait < b.wait : a.machine < b.machine;
  });
  for (const Probe& p : order) {
    if (job.pending.empty()) break;
    serve(agents_.at(p.machine));
  }
}

// The waiting long job that comes first among those that could start here.
Job* Scheduler::first_long(const Machine& m) {
  if (m.short_only) return nullptr;
  for (const Ix ix : long_) {
    Job* job = registry_.at(ix);
    if (!job || job->pending.empty() || job->gang()) continue;
    ++jobs_examined_;
    if (can_start(m, *job)) return job;
  }
  return nullptr;
}

void Scheduler::start(Machine& m, Job& job) {
  ++started_;
  job.last_start = out_.now();
  agents_.start(m, job, job.pending.back());
}

// Starts the task that comes first of those that wait for room here: in the machine's queue, or long.
bool Scheduler::serve_once(Machine& m) {
  Job* first = first_long(m);
  if (queues_.size() <= m.ix) queues_.resize(m.ix + 1), in_queued_.resize(m.ix + 1);
  auto& queue = queues_[m.ix];
  // Late binding: a reservation whose job has nothing left to start is dropped.
  std::erase_if(queue, [&](const Reservation& r) {
    const Job* job = registry_.at(r.job);
    const bool over = !job || !job->open() || job->pending.empty();
    if (over) cancel_reservation(r.job, r.tasks);
    return over;
  });
  std::size_t best = queue.size();
  for (std::size_t i = 0; i < queue.size(); ++i) {
    Job& job = *registry_.at(queue[i].job);
    ++jobs_examined_;
    if (!can_start(m, job) || (first && !before(job, *first))) continue;
    first = &job;
    best = i;
  }
  if (!first) return false;
  start(m, *first);
  if (best == queue.size()) return true;
  cancel_reservation(first->ix, 1);
  if (--queue[best].tasks == 0) queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(best));
  return true;
}

void Scheduler::serve(Machine& m) {
  ++machines_examined_;
  if (!agents_.may_start(m)) return;
  while (m.cpus - m.used.cpus > kEps) {
    if (!serve_once(m) && !steal(m)) return;
  }
}

// An idle machine looks at some others and takes the first short group that waits there and could run here.
bool Scheduler::steal(Machine& m) {
  for (int i = 0; i < settings_.tunables.steal_sample && !queued_.empty(); ++i) {
    const std::size_t at = rng_(static_cast<std::uint32_t>(queued_.size()));
    const Ix victim = queued_[at];
    auto& queue = queues_[victim];
    if (queue.empty()) {
      in_queued_[victim] = false;
      queued_[at] = queued_.back();
      queued_.pop_back();
      continue;
    }
    if (victim == m.ix) continue;
    for (std::size_t q = 0; q < queue.size(); ++q) {
      const Job* job = registry_.at(queue[q].job);
      ++jobs_examined_;
      if (!job || !can_start(m, *job)) continue;
      const Reservation group = queue[q];
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(q));
      queues_[m.ix].push_back(group);
      if (!in_queued_[m.ix]) in_queued_[m.ix] = true, queued_.push_back(m.ix);
      return true;
    }
  }
  return false;
}

// Stealing seen from the other side: tasks whose sampled machines are full go where there is room. Sampling
// alone leaves much of it unused, since only a few of so many machines have any.
void Scheduler::place_short(Job& job) {
  while (startable(job)) {
    Machine* m = least_waiting(job);
    if (!m) return;
    start(*m, job);
  }
}

// ---------------------------------------------------------------- long tasks

// Seconds until a task of the job could begin here: the fetch, and what is queued ahead of it. Between
// machines that could begin equally soon, the fuller one is taken, so that others become empty and can be
// returned.
double Scheduler::waiting(const Machine& m, const Job& job) const {
  double s = 0;
  double same_job = 0;
  bool fetching = false;
  for (const Slot& slot : m.slots) {
    if (slot.job != job.ix || !slot.counted) continue;
    ++same_job;
    fetching |= slot.phase == Slot::Phase::fetching;
  }
  if (!m.has_image(job.image) && m.type < catalog_.size() && catalog_[m.type].fetch_gb_per_s > 0) {
    s += job.spec.image_gb / catalog_[m.type].fetch_gb_per_s;
    if (fetching) s *= 0.5;  // on its way already
  }
  if (job.service()) s += same_job * 2.0;
  s *= std::max(1.0, m.slowness);
  if (m.spot) s += spot_risk_s(m, job);
  return s + 0.2 * (1 - m.used.cpus / std::max(m.cpus, 1.0));
}

// What a spot machine costs an array in time: one machine taken means that the array waits for a task's whole
// run once more, and it is on as many machines as its tasks fill.
double Scheduler::spot_risk_s(const Machine& m, const Job& job) const {
  const double run = estimate(job);
  const double machines =
      std::max(1.0, (job.spec.tasks - job.done) * job.spec.need.cpus / std::max(m.cpus, 1.0));
  return run * (1 - std::exp(-agents_.spot_loss_rate() * run * machines));
}

Machine* Scheduler::least_waiting(const Job& job, bool cached_only) {
  Machine* best = nullptr;
  double best_wait = 0;
  const bool is_long_job = is_long(job);
  auto look = [&](const Index::Group& group) {
    auto it = group.room.lower_bound({job.spec.need.cpus - kEps, 0});
    for (int n = 0; it != group.room.end() && n < settings_.tunables.steal_sample; ++it) {
      Machine& m = agents_.at(it->second);
      ++machines_examined_;
      ++n;
      if (!can_start(m, job)) continue;
      const double wait = waiting(m, job);
      if (!best || wait < best_wait) best = &m, best_wait = wait;
    }
  };
  for (const bool cached : {true, false}) {
    for (const Index::Pool& p : agents_.index().pools()) {
      if ((p.short_only && is_long_job) || !allowed(job, p.type, p.zone, p.spot) || !zone_allows(p.zone, job))
        continue;
      const Index::Group* with = p.with(job.image);
      if (cached && with) look(*with);
      if (!cached) look(p.all);
    }
    // Nothing is won by a fetch unless all that have the image are a worse choice for another reason.
    constexpr double kGoodEnough = 1.0;
    if (cached_only || (best && best_wait < kGoodEnough)) break;
  }
  return best;
}

void Scheduler::place_long(Job& job) {
  // A gang that lost a task starts again as a whole, once the others have noticed and ended.
  if (job.gang() && (job.placed > 0 || !gang_fits(job))) return;
  while (startable(job)) {
    Machine* m = least_waiting(job);
    if (!m) {
      if (!preempt_for(job, {})) return;
      continue;
    }
    // A service need not wait for a fetch if a lower task holds its place on a machine that has the image,
    // and has not run for longer than the fetch takes: its job waits for that once more.
    constexpr double kFetchWorthPreempting = 1.0;
    const double wait = waiting(*m, job);
    if (job.service() && wait > kFetchWorthPreempting && preempt_for(job, wait)) continue;
    start(*m, job);
  }
}

void Scheduler::consider_preempting(const Index::Group& group, const Job& job, double most_lost_s,
                                    Preemption& best) {
  if (group.members.empty()) return;
  const Seconds now = out_.now();
  for (int i = 0; i < 2 * settings_.tunables.steal_sample; ++i) {
    Machine& m = agents_.at(group.members[rng_(static_cast<std::uint32_t>(group.members.size()))]);
    ++machines_examined_;
    if (!can_start(m, job, true)) continue;
    // Youngest first: that loses the least work.
    std::vector<std::size_t> order;
    for (std::size_t s = 0; s < m.slots.size(); ++s) {
      const Slot& slot = m.slots[s];
      const Job* other = registry_.at(slot.job);
      if (!other || !slot.counted || slot.stop || other->priority >= job.priority) continue;
      if (other->spec.checkpoint_s > 0 && other->spec.save_s > 0)
        continue;  // its saving would take too long here
      order.push_back(s);
    }
    auto age = [&](std::size_t s) {
      return m.slots[s].running_since > 0 ? now - m.slots[s].running_since : 0.0;
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return age(a) < age(b); });
    Machine after;  // only its sizes matter
    after.cpus = m.cpus, after.gpus = m.gpus, after.memory_gb = m.memory_gb, after.used = m.used;
    std::vector<std::size_t> victims;
    double cost = waiting(m, job) * 5, lost = 0;
    for (const std::size_t s : order) {
      if (after.fits(job.spec.need)) break;
      after.used.cpus -= m.slots[s].need.cpus;
      after.used.gpus -= m.slots[s].need.gpus;
      after.used.memory_gb -= m.slots[s].need.memory_gb;
      cost += 1 + age(s);
      lost += age(s);
      victims.push_back(s);
    }
    if (lost > most_lost_s || victims.empty() || !after.fits(job.spec.need)) continue;
    if (!best.where || cost < best.cost) best = {&m, cost, victims};
  }
}

// Makes room for a task of higher priority by stopping lower ones on one machine, and starts it there.
bool Scheduler::preempt_for(Job& job, std::optional<double> saves_s) {
  const double most_lost_s = saves_s.value_or(1e9);
  // When all that runs is as important, every search is in vain; a few a pass notice when that changes.
  if (vain_ >= settings_.tunables.steal_sample || !startable(job) || fails_everywhere(job)) return false;
  Preemption best;
  for (const bool cached : {true, false}) {
    for (const Index::Pool& p : agents_.index().pools()) {
      if ((p.short_only && is_long(job)) || !allowed(job, p.type, p.zone, p.spot) ||
          !zone_allows(p.zone, job)) {
        continue;
      }
      const Index::Group* with = p.with(job.image);
      if (cached && with) consider_preempting(*with, job, most_lost_s, best);
      if (!cached) consider_preempting(p.all, job, most_lost_s, best);
    }
    if (best.where || saves_s) break;
  }
  if (!best.where) {
    ++vain_;
    return false;
  }
  preempted_ += best.victims.size();
  for (const std::size_t s : best.victims) agents_.stop(*best.where, best.where->slots[s], 0);
  start(*best.where, job);
  return true;
}

// A job submitted with a mistake: it is tried again now and then, but nobody's work is stopped for that. Such
// jobs, trying every minute, once kept a job whose tasks take longer from ever finishing (seed 68).
bool Scheduler::fails_everywhere(const Job& job) const {
  return !job.service() && !job.ever_ok && job.errors >= 3;
}

// Stops the victim's youngest tasks whose room the job can use; returns how many.
std::size_t Scheduler::reclaim_from(Job& victim, Job& job) {
  struct Found {
    Seconds since;
    Ix machine;
    std::uint32_t task;
  };
  std::vector<Found> found;
  for (std::uint32_t i = 0; i < victim.tasks.size(); ++i) {
    if (victim.tasks[i].state != jobs::TaskState::placed) continue;
    Machine& m = agents_.at(victim.tasks[i].machine);
    ++machines_examined_;
    if (!can_start(m, job, true) || m.fits(job.spec.need)) continue;
    for (const Slot& s : m.slots) {
      if (s.job == victim.ix && s.task == i && s.counted && !s.stop)
        found.push_back({s.running_since, m.ix, i});
    }
  }
  std::sort(found.begin(), found.end(), [](const Found& a, const Found& b) { return a.since > b.since; });
  std::size_t stopped = 0;
  const settings::Team& team = settings_.teams[victim.team];
  for (const Found& f : found) {
    if (!under_guarantee(job) || !startable(job)) break;
    if (agents_.team_use(victim.team).cpus <= team.cpus + kEps) break;
    Machine& m = agents_.at(f.machine);
    if (!can_start(m, job, true)) continue;
    const bool saves = victim.spec.checkpoint_s > 0;
    for (Slot& s : m.slots) {
      if (s.job == victim.ix && s.task == f.task && s.counted) {
        agents_.stop(m, s, saves ? victim.spec.save_s + 1 : 0);
        ++stopped;
        ++reclaimed_;
        break;
      }
    }
    if (!saves) start(m, job);
  }
  return stopped;
}

// A team below its guarantee gets it from those that run beyond theirs.
void Scheduler::reclaim_guarantees() {
  // Tasks end all the time, and what comes free goes to those within their guarantee first; stopping one
  // throws its work away. So a job that can spare the time waits for a part of it.
  constexpr Seconds kPatience = 3;
  constexpr double kPart = 0.1;
  // Jobs of teams beyond their guarantee, the one that comes last first.
  std::optional<std::vector<Job*>> victims;
  for (const Ix ix : std::vector<Ix>(waiting_)) {
    Job* job = registry_.at(ix);
    if (!job || !under_guarantee(*job) || !startable(*job) || out_.now() - job->since < kPatience) continue;
    const Seconds spare = due(*job, 0) - job->since - estimate(*job);
    if (!job->service() && out_.now() - job->since < kPart * spare) continue;
    if (fails_everywhere(*job)) continue;
    if (settings_.teams[job->team].cpus <= 0 && settings_.teams[job->team].gpus <= 0) continue;
    if (!victims) {
      victims.emplace();
      registry_.each([&](Job& other) {
        if (other.placed > 0 && !other.service() &&
            agents_.team_use(other.team).cpus > settings_.teams[other.team].cpus + kEps)
          victims->push_back(&other);
      });
      std::sort(victims->begin(), victims->end(),
                [this](const Job* a, const Job* b) { return before(*b, *a); });
    }
    // Over all machines a task of the job that comes last, and of these the youngest. Going by machine
    // instead hit a small job that sat together on the first one again and again.
    for (Job* victim : *victims) {
      if (!under_guarantee(*job) || !startable(*job)) break;
      const wire::Resources &has = victim->spec.need, &needs = job->spec.need;
      if (victim->team == job->team || has.cpus + kEps < needs.cpus || has.gpus + kEps < needs.gpus ||
          has.memory_gb + kEps < needs.memory_gb)
        continue;
      reclaim_from(*victim, *job);
    }
  }
}

// ---------------------------------------------------------------- events

void Scheduler::room(Machine& m) {
  if (waiting_.empty() || !agents_.may_start(m)) return;
  serve(m);
}

void Scheduler::gone(Machine& m) {
  if (queues_.size() <= m.ix) return;
  for (const Reservation& r : std::exchange(queues_[m.ix], {})) cancel_reservation(r.job, r.tasks);
}

void Scheduler::over(const Job& job) {
  reserved_.erase(job.ix);
  job_times_.erase(job.ix);
}

void Scheduler::exited(Machine& m, const Slot& slot) {
  Job* job = registry_.at(slot.job);
  if (!job) return;
  const Seconds now = out_.now();
  if (slot.cause == wire::Cause::done) {
    m.failed_jobs.clear();
    if (m.health != agents::Health::good) agents_.changed(m);
    m.health = agents::Health::good;
    job->ever_ok = true;
    const double took = now - slot.running_since;
    if (slot.running_since <= 0 || took < 0.5) return;  // it was seen only at its end
    auto& [mean, n] = job_times_[job->ix];
    if (n >= 3) {
      const double ratio = std::clamp(took / mean, 0.2, 10.0);
      m.slowness += (ratio - m.slowness) * 0.15;
      ++m.slow_samples;
    }
    mean = (mean * n + took) / (n + 1);
    ++n;
    if (classes_.size() <= job->job_class) classes_.resize(job->job_class + 1);
    ClassStats& c = classes_[job->job_class];
    if (job->spec.estimate_s > 0) {
      const double ratio = std::clamp(took / job->spec.estimate_s, 0.1, 10.0);
      const double weight = std::max(0.01, 1.0 / (++c.samples + 4));
      c.ratio += (ratio - c.ratio) * weight;
    }
    return;
  }
  if (slot.cause == wire::Cause::error) {
    ++job->errors;
    if (std::find(job->failed_on.begin(), job->failed_on.end(), m.ix) == job->failed_on.end()) {
      job->failed_on.push_back(m.ix);
    }
    // A job that failed on three machines and succeeded on none is at fault itself: it backs off, and its
    // machines are not blamed.
    if (!job->ever_ok && job->failed_on.size() >= 3) {
      job->not_before = now + std::min(60.0, std::pow(2.0, std::min(job->errors, 6U)));
      for (const Ix ix : job->failed_on) std::erase(agents_.at(ix).failed_jobs, job->ix);
      job->failed_on.clear();
    } else {
      if (std::find(m.failed_jobs.begin(), m.failed_jobs.end(), job->ix) == m.failed_jobs.end()) {
        m.failed_jobs.push_back(job->ix);
      }
      // One failure may be the job's; until more is known the machine gets nothing new.
      agents_.doubt_until(m, now + 15);
      if (m.failed_jobs.size() >= 2 || (job->ever_ok && job->errors >= 1)) {
        if (m.health != agents::Health::bad) spdlog::warn("{}: suspected to be faulty", m.host);
        m.health = agents::Health::bad;
      }
    }
  } else if (slot.cause == wire::Cause::no_room || slot.cause == wire::Cause::unknown ||
             slot.cause == wire::Cause::busy) {
    // Refused: the machine holds something unknown here, or the job's description is not there yet.
    job->not_before = now + 0.5;
  }
  agents_.changed(m);
  arrived(*job);
}

void Scheduler::pass() {
  vain_ = 0;
  const bool second = out_.now() - last_second_ >= 1;
  if (second) {
    agents_.watch_spot(std::min(2.0, out_.now() - last_second_));
    last_second_ = out_.now();
    partition();
  }
  std::erase_if(waiting_, [this](Ix ix) {
    const Job* job = registry_.at(ix);
    const bool over = !job || !job->open() || job->pending.empty();
    if (over) in_waiting_[ix] = false;
    return over;
  });
  long_.clear();
  std::vector<Job*> short_jobs;
  for (const Ix ix : waiting_) {
    Job* job = registry_.at(ix);
    ++jobs_examined_;
    if (is_long(*job)) {
      long_.push_back(ix);
    } else if (startable(*job)) {
      short_jobs.push_back(job);
    }
  }
  std::sort(long_.begin(), long_.end(),
            [this](Ix a, Ix b) { return before(*registry_.at(a), *registry_.at(b)); });
  for (const Ix ix : std::vector<Ix>(long_)) {
    Job* job = registry_.at(ix);
    if (job && startable(*job)) place_long(*job);
  }
  std::sort(short_jobs.begin(), short_jobs.end(),
            [this](const Job* a, const Job* b) { return before(*a, *b); });
  for (Job* job : short_jobs) {
    place_short(*job);
    const auto missing = static_cast<std::uint32_t>(job->pending.size());
    if (missing > 0 && reserved_[job->ix] < missing) reserve(*job, missing - reserved_[job->ix]);
  }
  if (second && !waiting_.empty()) reclaim_guarantees();
}

// What room comes free within the time that the job can spare needs no machine: its tasks run one after
// another. A machine that is rented for it now comes after a boot, so what counts is the first time it can
// still meet then; and one that would be of use for less than a boot's time is not worth one.
double Scheduler::pressing(const Job& job, Seconds boot_s) const {
  const double est = std::max(1.0, estimate(job));
  return std::min(1.0, est / std::max(boot_s, due(job, boot_s) - out_.now() - est - boot_s));
}

// Whether spot machines do for it. A long array that could not be in time if it had to run a task once more
// is worth ordinary machines.
bool Scheduler::flexible(const Job& job) const {
  if (!job.spec.spot) return false;
  return job.gang() || !is_long(job) || job.since + 2 * estimate(job) <= due(job, 0);
}

void Scheduler::offered(const Job& job) {
  if (job.service() || !flexible(job)) return;
  const Seconds now = out_.now();
  offered_ *= std::exp(-(now - offered_at_) / kOfferedOver);
  offered_ += job.spec.tasks * job.spec.need.cpus * std::max(1.0, estimate(job)) / kOfferedOver;
  offered_at_ = now;
}

Scheduler::Demand Scheduler::demand(Seconds boot_s) {
  Demand d;
  double placed_flexible = 0;
  std::vector<double> left(settings_.teams.size());
  for (std::size_t i = 0; i < left.size(); ++i) {
    const settings::Team& t = settings_.teams[i];
    left[i] = t.cpus_max > 0 ? std::max(0.0, t.cpus_max - agents_.team_use(static_cast<Ix>(i)).cpus) : 1e12;
  }
  registry_.each([&](Job& job) {
    if (!job.open() || (job.held() && job.placed == 0)) return;
    const double per = job.spec.need.cpus;
    const double placed = per * job.placed;
    if (job.service()) d.replicas += job.placed;
    double wait = job.held() ? 0 : per * static_cast<double>(job.pending.size());
    // What its team's limit holds back needs no machine, and neither does a job that fails wherever it runs.
    // Neither does what may run unseen on machines that a take-over has yet to hear of.
    wait = out_.now() < job.not_before || !accounted(job) ? 0 : std::min(wait, left[job.team]);
    left[job.team] -= wait;
    const bool on_spot = flexible(job);
    (on_spot ? d.waiting_flexible : d.waiting_ordinary) += wait;
    const double pressed = job.spec.spot ? wait * pressing(job, boot_s) : wait;
    (on_spot ? d.flexible : d.ordinary) += pressed;
    (on_spot ? placed_flexible : d.ordinary) += placed;
  });
  // Machines must keep up with what comes, too, while what waits is worked off: after a start, or when
  // machines were lost, little is placed yet.
  d.flexible += std::max(placed_flexible, offered_ * std::exp(-(out_.now() - offered_at_) / kOfferedOver));
  return d;
}

}  // namespace wingtrail::sched
