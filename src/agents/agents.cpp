#include "agents/agents.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace wingtrail::agents {
namespace {
constexpr double kDrift = 0.001;  // both clocks may be off by 0.05%, in opposite directions
constexpr Seconds kMargin = 0.5;  // a worker acts on the end of its lease within its own timers' steps
constexpr Seconds kSoonest = 0.02;
constexpr Seconds kProbeTimeout = 1.0;
constexpr Seconds kResend = 1.0;
constexpr Seconds kAlarm = 3.0;
constexpr Seconds kAskCut = 0.25;
constexpr Seconds kHeldBack = 1.0;      // after a cut, what it held back has come in
constexpr double kAboutToReport = 0.6;  // of the report interval
constexpr double kLateReport = 1.3;     // reports are up to a quarter late

void add(wire::Resources& to, const wire::Resources& n, double sign) {
  to.cpus += sign * n.cpus;
  to.gpus += sign * n.gpus;
  to.memory_gb += sign * n.memory_gb;
}
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
  alarm_from_ = -kAlarm;
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

// ---------------------------------------------------------------- what workers say

std::optional<wire::Value> Agents::report(const wire::Report& r, bool may_order) {
  if (!active_)
    return std::nullopt;
  if (r.token > link_.token()) {
    events_.superseded();
    return std::nullopt;
  }
  Machine& m = learn(r.host, r.addr, r.type, r.zone, r.spot);
  if (m.gone)
    return std::nullopt;
  // Overtaken by the worker's own answer to orders: there is nothing new in it, but its sender still waits,
  // and would turn to another node.
  if (m.reporting && r.session == m.session && r.seq <= m.seq) {
    m.lease_until = lease_end(out_.now());
    return wire::report_answer(link_.token(), {});
  }
  if (!is_newer(m, r))
    return std::nullopt;
  const bool fresh = !m.reporting;
  m.addr = r.addr;
  // A report that was held back during a cut comes at its end, and its sender has long given it up.
  if (zones_.flaps(m.zone) == 0 || out_.now() > zones_.back_at(m.zone) + kHeldBack)
    m.beat_at = out_.now();
  apply(m, r, true);
  if (!active_)
    return std::nullopt;
  m.lease_until = lease_end(out_.now());
  enlist(m);
  if (m.unreachable)
    look_again(m, out_.now());
  // Push the token of a new leadership at once: until then an earlier leader's orders could still take
  // effect. One that just had an answer with it is given the time to say so in its next report.
  if (!m.settled) {
    m.pushed_at = out_.now();
    look_again(m, out_.now() + kResend);
  } else if (fresh && r.token < link_.token()) {
    look_again(m, out_.now() + kResend);
  }
  if (!m.settled || !m.enlisted || !may_order)
    return wire::report_answer(link_.token(), {});
  prune(m);
  return wire::report_answer(link_.token(), orders(m, false));
}

// Reports are ordered by session and counter, and nothing that was learned goes back. A session that is over,
// by its lease or by a newer one, shows nothing that is there.
bool Agents::is_newer(const Machine& m, const wire::Report& r) {
  if (!m.reporting && m.session > 0)
    return r.session > m.session;
  return std::pair(r.session, r.seq) > std::pair(m.session, m.seq);
}

void Agents::apply(Machine& m, const wire::Report& r, bool beat) {
  const bool was_up = m.reporting;
  // Another session: everything of the earlier one was killed when that ended.
  if (m.reporting && r.session > m.session)
    end_session(m);
  if (!beat && r.session != m.session)
    m.beat_at = -1e9;
  // A session that is news here began before this message, and no report of it was answered after it: so its
  // lease lasts at most this long. Keeping the end of the session before it would declare this one over while
  // it lives.
  if (r.session != m.session)
    m.lease_until = std::max(m.lease_until, lease_end(out_.now()));
  m.reporting = true;
  m.session = r.session;
  m.seq = r.seq;
  m.last_contact = out_.now();
  m.failures = 0;
  m.unanswered_since = ports::kNever;
  if (zones_.heard(m.zone, out_.now()))
    ask_again(m.zone);
  expect(m);
  m.reclaim_at = r.reclaim_in_s ? std::optional<Seconds>(out_.now() + *r.reclaim_in_s) : std::nullopt;
  silent_.erase(m.ix);
  if (!was_up)
    look_again(m, out_.now() + kLateReport * settings_.report_s);

  std::vector<bool> listed(m.slots.size(), false);
  const std::size_t known = m.slots.size();
  bool room = false;
  const std::uint64_t term = term_;
  // A worker has one report under way at a time: this one says that it has acted on the answer to the one
  // before, or never will.
  if (beat) {
    for (Slot& s : m.slots)
      s.in_answer_until = 0, s.unproven = false;
  }
  std::size_t hint = 0;  // reports list tasks in the order in which they came
  for (const wire::TaskReport& t : r.tasks) {
    std::size_t found = known;
    for (std::size_t k = 0; k < known; ++k) {
      const std::size_t i = (hint + k) % known;
      const Slot& s = m.slots[i];
      if (s.attempt != t.attempt || s.task != t.index || !s.of(t.ref))
        continue;
      found = i;
      hint = i + 1;
      break;
    }
    if (found == known) {
      adopt(m, t);
    } else {
      listed[found] = true;
      const bool counted = m.slots[found].counted;
      update(m, m.slots[found], t);
      room |= counted && !m.slots[found].counted;
    }
  }
  for (std::size_t i = known; i-- > 0;) {
    // A start that has not arrived yet is missing from the report and stays in doubt. Anything else that was
    // seen before and is missing now was forgotten by the worker.
    if (listed[i] || m.slots[i].phase == Slot::Phase::ordered)
      continue;
    room |= m.slots[i].counted;
    drop_slot(m, i);
  }
  if (std::none_of(m.slots.begin(), m.slots.end(), [](const Slot& s) { return s.counted; })) {
    if (m.idle_since == 0)
      m.idle_since = out_.now();
  } else {
    m.idle_since = 0;
  }
  changed(m);
  // What ended makes room, and whoever hears of it starts tasks at once, here too: so not before the report
  // has been taken in whole. Told half-way, a start grew `slots` under the references in use above.
  for (const Slot& s : std::exchange(ended_, {})) {
    events_.exited(m, s);
    if (term != term_)
      return;
  }
  // Only now that everything on the machine is known: settling may let tasks start, and one that runs here
  // must not be among them.
  if (r.token == link_.token())
    settle(m);
  if (!was_up)
    events_.up(m);
  if (room)
    events_.room(m);
}

void Agents::adopt(Machine& m, const wire::TaskReport& t) {
  Slot s;
  s.task = t.index;
  s.attempt = t.attempt;
  s.ordered_at = out_.now();
  s.name = wire::task_name(t.ref, t.index);
  s.adopted = true;
  s.counted = t.phase != wire::TaskPhase::exited;
  jobs::Job* job = registry_.find(t.ref);
  const bool known = job && job->open() && t.index < job->tasks.size();
  const bool pending = known && job->tasks[t.index].state == jobs::TaskState::pending;
  if (!s.counted && t.cause != wire::Cause::done) {
    s.phase = Slot::Phase::exited;
    s.forget = true;
    m.slots.push_back(std::move(s));
    return;
  }
  // Every one begins as a copy beside what is placed. One that has exited ends as such in update(), so that
  // its result counts wherever the task seems to be.
  s.counted = true;
  m.slots.push_back(std::move(s));
  Slot& slot = m.slots.back();
  add_copy(m, slot);
  if (pending) {
    claim(*job, t.index);
    if (job->aborting)
      stop(m, slot, 0);  // found only now, of a job whose cancellation is under way
  } else if (t.phase != wire::TaskPhase::exited && !(known && place_in_doubt(job->tasks[t.index]))) {
    // Done already, or (which the rules forbid, and so must not be made worse) on another machine.
    if (!job || !job->open())
      spdlog::info("{} holds {} of a job that is over: stopping it", m.host, slot.name);
    stop(m, slot, 0);
  }
  update(m, slot, t);
}

void Agents::update(Machine& m, Slot& s, const wire::TaskReport& t) {
  using P = wire::TaskPhase;
  jobs::Job* job = registry_.at(s.job);
  if (t.phase != P::exited) {
    const bool ran = s.phase == Slot::Phase::running || s.phase == Slot::Phase::saving;
    s.phase = t.phase == P::running  ? Slot::Phase::running
              : t.phase == P::saving ? Slot::Phase::saving
                                     : Slot::Phase::fetching;
    if (!ran && s.phase == Slot::Phase::running && job) {
      s.running_since = out_.now();
      registry_.set_running(*job, s.task, true);
      touch_image(m, job->image);
    }
    return;
  }
  if (s.phase == Slot::Phase::exited)
    return;
  s.phase = Slot::Phase::exited;
  s.cause = t.cause;
  release(m, s);
  // A result that came in is kept even if the job is being cancelled, since a stop may have crossed with it;
  // and also if another machine seems to have the task: forgotten, it would have to run again.
  if (t.cause == wire::Cause::done) {
    jobs::Job* whose = job ? job : registry_.find(t.ref);
    if (whose && whose->open() && !whose->service() && s.task < whose->tasks.size() &&
        whose->tasks[s.task].state != jobs::TaskState::done) {
      complete(m, s, *whose);
      ended_.push_back(s);
      return;
    }
  }
  s.forget = true;
  if (!job)
    return;
  unplace(*job, s.task, m);
  ended_.push_back(s);
}

// ---------------------------------------------------------------- places, and copies beside them

void Agents::add_copy(Machine& m, const Slot& s) {
  ++m.unknown;
  copies_[s.name.substr(0, s.name.rfind('/'))].push_back({m.ix, s.task});
  account(m);
}

void Agents::remove_copy(Machine& m, const Slot& s) {
  --m.unknown;
  const auto it = copies_.find(s.name.substr(0, s.name.rfind('/')));
  const auto copy = std::find_if(it->second.begin(), it->second.end(),
                                 [&](const Copy& c) { return c.machine == m.ix && c.task == s.task; });
  it->second.erase(copy);
  if (it->second.empty())
    copies_.erase(it);
  account(m);
}

bool Agents::holds_unplaced(const std::string& ref, std::uint32_t task) const {
  const auto it = copies_.find(ref);
  return it != copies_.end() &&
         std::any_of(it->second.begin(), it->second.end(), [task](const Copy& c) { return c.task == task; });
}

Slot* Agents::copy_on(Ix machine, const std::string& ref, std::uint32_t task) {
  for (Slot& s : machines_[machine].slots) {
    if (s.job == kNone && s.counted && s.task == task && s.of(ref))
      return &s;
  }
  return nullptr;
}

bool Agents::place_in_doubt(const jobs::Task& task) const {
  return task.state == jobs::TaskState::placed && !machines_[task.machine].settled;
}

// Of one task, or of all.
void Agents::stop_copies(const std::string& ref, std::optional<std::uint32_t> task) {
  const auto it = copies_.find(ref);
  if (it == copies_.end())
    return;
  for (const Copy& c : it->second) {
    if (task && c.task != *task)
      continue;
    if (Slot* slot = copy_on(c.machine, ref, c.task))
      stop(machines_[c.machine], *slot, 0);
  }
}

// The task is not on that machine any more. If another shows it, that is where it is: an old report that
// reached a new leader first may have given its place to a machine that had it before (AgentsTest). Waiting,
// it would be started a second time while that one is still to be told to stop.
void Agents::unplace(jobs::Job& job, std::uint32_t task, const Machine& m) {
  registry_.unplace(job, task, m.zone);
  claim(job, task);
}

// Gives a pending task its place on a machine that shows it; false if none does.
bool Agents::claim(jobs::Job& job, std::uint32_t task) {
  const auto it = copies_.find(job.spec.ref);
  if (it == copies_.end() || !job.open())
    return false;
  const auto copy =
      std::find_if(it->second.begin(), it->second.end(), [task](const Copy& c) { return c.task == task; });
  if (copy == it->second.end())
    return false;
  Machine& m = machines_[copy->machine];
  Slot& s = *copy_on(m.ix, job.spec.ref, task);
  remove_copy(m, s);
  s.job = job.ix;
  s.need = job.spec.need;
  if (!s.ends_at_once())
    add(m.used, s.need, 1);
  add(team_use_[job.team], s.need, 1);
  registry_.place(job, task, m.ix, m.zone);
  if (s.phase == Slot::Phase::running) {
    s.running_since = out_.now();
    registry_.set_running(job, task, true);
    touch_image(m, job.image);
  }
  changed(m);
  return true;
}

void Agents::claim(jobs::Job& job) {
  if (!copies_.contains(job.spec.ref))
    return;
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (job.tasks[task].state == jobs::TaskState::pending)
      claim(job, task);
  }
}

// The worker has the task's result. Whoever else seems to have the task is told to stop.
void Agents::complete(Machine& m, Slot& s, jobs::Job& job) {
  if (s.job == kNone) {
    give_up_place(job, s.task);
    s.job = job.ix;
    s.need = job.spec.need;
  }
  const Ix placed_on = job.tasks[s.task].machine;
  registry_.complete(job, s.task, placed_on == kNone ? kNone : machines_[placed_on].zone);
  stop_copies(job.spec.ref, s.task);
  ledger_.progress(job, s.task, m.ix, s.attempt);
}

// The machine that has the task's place keeps it as a copy, until it proves that it is gone.
void Agents::give_up_place(jobs::Job& job, std::uint32_t task) {
  if (job.tasks[task].state != jobs::TaskState::placed)
    return;
  Machine& m = machines_[job.tasks[task].machine];
  for (Slot& s : m.slots) {
    if (s.job != job.ix || s.task != task || !s.counted)
      continue;
    if (!s.ends_at_once())
      add(m.used, s.need, -1);
    add(team_use_[job.team], s.need, -1);
    s.job = kNone;
    s.need = {};
    add_copy(m, s);
    changed(m);
    return;
  }
}

void Agents::release(Machine& m, Slot& s) {
  if (!s.counted)
    return;
  s.counted = false;
  changed(m);
  if (s.job == kNone)
    return remove_copy(m, s);
  // A slot that ends at once has given its room to its successor already (see stop()).
  if (!s.ends_at_once())
    add(m.used, s.need, -1);
  add(team_use_[registry_.at(s.job)->team], s.need, -1);
}

// The worker no longer has it, whatever it was.
void Agents::drop_slot(Machine& m, std::size_t i) {
  Slot& s = m.slots[i];
  jobs::Job* job = registry_.at(s.job);
  if (s.counted) {
    release(m, s);
    // It must not be found again where it has just ended.
    const std::uint32_t task = s.task;
    m.slots.erase(m.slots.begin() + static_cast<std::ptrdiff_t>(i));
    if (job)
      unplace(*job, task, m);
    if (job)
      registry_.drop_if_over(*job);
    return;
  }
  m.slots.erase(m.slots.begin() + static_cast<std::ptrdiff_t>(i));
  if (job)
    registry_.drop_if_over(*job);
}

void Agents::end_session(Machine& m) {
  for (std::size_t i = m.slots.size(); i-- > 0;)
    drop_slot(m, i);
  m.reporting = false;
  m.idle_since = out_.now();
  expect(m);
  changed(m);
}

void Agents::settle(Machine& m) {
  if (m.settled)
    return;
  m.settled = true;
  expect(m);
  account(m);
  changed(m);
  // What it shows is so. Whoever else shows the same was left alone until now.
  if (!copies_.empty()) {
    for (const Slot& s : m.slots) {
      if (const jobs::Job* job = registry_.at(s.job); job && s.counted)
        stop_copies(job->spec.ref, s.task);
    }
  }
  if (m.reporting && m.enlisted)
    events_.up(m);
}

// Machines that are up, or were when an earlier leader last said so, report; those that boot do not yet.
void Agents::expect(Machine& m) {
  const bool expected = !m.gone && (m.reporting || !m.settled);
  if (expected == m.expected)
    return;
  m.expected = expected;
  zones_.expected(m.zone, expected ? 1 : -1);
}

// The zone is within reach again: all of it is asked at once what lives, instead of waiting for its reports.
void Agents::ask_again(Ix zone) {
  spdlog::info("{} is within reach again", registry_.zones[zone]);
  for (const Ix ix : live_) {
    Machine& m = machines_[ix];
    if (m.zone != zone || !m.expected)
      continue;
    // What failed before says only that the zone was out of reach (a day on which the first answer after a
    // cut made 238 sound machines look lost alone).
    m.failures = 0;
    m.unanswered_since = ports::kNever;
    m.retry_at = out_.now();
    look_again(m, out_.now());
    if (!m.settled)
      want(m);
  }
}

Agents::Doubt& Agents::doubt(const Machine& m) {
  for (Doubt& d : doubts_) {
    if (d.type == m.type && d.zone == m.zone && d.spot == m.spot)
      return d;
  }
  doubts_.push_back({m.type, m.zone, m.spot, 0});
  return doubts_.back();
}

// Keeps the sums over machines that may hold what this leader does not know of.
void Agents::account(Machine& m) {
  const bool unsettled = !m.gone && !m.settled;
  if (unsettled != m.counted_unsettled) {
    m.counted_unsettled = unsettled;
    doubt(m).unsettled += unsettled ? 1 : -1;
  }
  const bool in_doubt = !m.gone && (!m.settled || m.unknown > 0);
  if (m.in_doubt) {
    --in_doubt_;
    unsized_ -= m.doubt_cpus <= 0;
    doubt_sum_.cpus -= m.doubt_cpus;
    doubt_sum_.gpus -= m.doubt_gpus;
  }
  m.in_doubt = in_doubt;
  if (in_doubt) {
    m.doubt_cpus = m.cpus;
    m.doubt_gpus = m.gpus;
    ++in_doubt_;
    unsized_ += m.doubt_cpus <= 0;
    doubt_sum_.cpus += m.doubt_cpus;
    doubt_sum_.gpus += m.doubt_gpus;
  } else if (in_doubt_ == 0 && active_ && cleared_after_ == 0) {
    cleared_after_ = std::max(1e-3, out_.now() - began_);
    spdlog::info("every machine of the roster is accounted for after {:.2f} s", cleared_after_);
  }
}

std::optional<wire::Resources> Agents::unaccounted() const {
  if (unsized_ > 0)
    return std::nullopt;
  if (in_doubt_ == 0)
    return wire::Resources{};
  return doubt_sum_;
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

// ---------------------------------------------------------------- deadlines

void Agents::look_again(Machine& m, Seconds at) {
  at = std::max(at, out_.now() + kSoonest);  // a deadline that has passed must not be looked at in circles
  if (at >= m.check_at)
    return;
  m.check_at = at;
  due_.push({at, m.ix});
}

void Agents::tick() {
  const Seconds now = out_.now();
  // Past its authority a leader knows nothing of the workers' leases: another one may be renewing them.
  if (!active_ || now >= link_.authority_until())
    return;
  while (!due_.empty() && due_.top().at <= now) {
    const Due due = due_.top();
    due_.pop();
    Machine& m = machines_[due.ix];
    if (m.check_at != due.at)
      continue;  // an earlier look replaced this one
    m.check_at = ports::kNever;
    ++checks_;
    check(m);
  }
}

// An ordinary machine does not answer. Machines seldom hang alone, and waiting until each should have
// reported costs its replicas seconds, so all are asked now, once: those that answer are not asked again.
void Agents::raise_alarm() {
  const Seconds now = out_.now();
  alarm_until_ = now + kAlarm;
  if (now < alarm_from_ + kAlarm)
    return;
  alarm_from_ = now;
  sweep_.clear();
  for (const Ix ix : live_) {
    if (machines_[ix].reporting)
      sweep_.push_back(ix);
  }
  // The longest silent first: they are the likeliest, and need no second call to be sure of.
  std::sort(sweep_.begin(), sweep_.end(), [this](Ix a, Ix b) {
    const Seconds la = machines_[a].last_contact, lb = machines_[b].last_contact;
    return la != lb ? la < lb : a < b;
  });
  ++sweeps_;
}

void Agents::sweep() {
  while (!sweep_.empty() && calls_ < call_limit()) {
    Machine& m = machines_[sweep_.front()];
    sweep_.pop_front();
    if (m.gone || !m.reporting || m.in_flight || m.addr.empty() || m.last_contact >= alarm_from_ ||
        zones_.cut(m.zone, out_.now()))
      continue;
    send_direct(m, {}, {}, kProbeTimeout);
  }
}

// What time alone brings about on a machine, and when to look at it next.
void Agents::check(Machine& m) {
  const Seconds now = out_.now();
  if (m.gone)
    return;
  if (now >= m.lease_until && (m.reporting || !m.settled)) {
    // A peer may have renewed it in custody; only its word, or the end of what it was granted, rules that
    // out.
    if (now >= link_.lease_end(m.lease_until)) {
      // Nobody can have renewed the worker's lease since, so it has killed everything it had.
      if (m.reporting)
        spdlog::warn("{}: its lease has run out", m.host);
      // A machine that died long before says nothing of its zone.
      if (m.last_contact >= zones_.heard_at(m.zone) - 2 * settings_.report_s)
        zones_.lease_over(m.zone, now);
      end_session(m);
      m.settled = true;
      expect(m);
      account(m);
    } else {
      look_again(m, now + kResend);
    }
  }
  changed(m);
  if ((m.reporting || !m.settled) && now < m.lease_until)
    look_again(m, m.lease_until);
  // Of a zone out of reach one machine now and then is asked; when it answers, all are (ask_again).
  if ((m.reporting || !m.settled) && zones_.cut(m.zone, now)) {
    if (ask_at_.size() <= m.zone)
      ask_at_.resize(m.zone + 1);
    if (now >= ask_at_[m.zone] && !m.in_flight && !m.addr.empty() && calls_ < call_limit()) {
      ask_at_[m.zone] = now + kAskCut;
      send_direct(m, {}, {}, kProbeTimeout);
    }
    if (silence(m) > silent_s())
      silent_.insert(m.ix);
    return look_again(m, now + kResend);
  }
  if (m.doubt_until > now)
    look_again(m, m.doubt_until);
  if (wants_orders(m)) {
    if (!m.in_flight && now >= m.pushed_at + kResend) {
      m.news = true;
      want(m);
    }
    look_again(m, std::max(now + 0.25, std::max(m.pushed_at, m.retry_at) + kResend));
  }
  // Amid others that fail, one that answers neither of two calls, or one when it should be about to report,
  // is as good as silent for longer.
  const bool amid =
      now < alarm_until_ && m.reporting &&
      (m.failures >= 2 || (m.failures == 1 && silence(m) > kAboutToReport * settings_.report_s));
  // After a take-over the others have answered within a moment; one that does not answer two calls is lost.
  const bool missing = !m.settled && m.failures >= 2;
  if ((amid || missing || silence(m) > silent_s()) && (m.reporting || !m.settled))
    silent_.insert(m.ix);
  if (!m.settled && silence(m) <= silent_s())
    look_again(m, m.last_contact + silent_s() + kSoonest);
  if (!m.reporting)
    return;
  // One that failed to answer is asked again at once.
  const Seconds late = m.failures > 0 ? 0 : kLateReport * settings_.report_s;
  // It reports, but was not there when it was last called: without another call it would never get orders
  // again.
  const bool back = m.unreachable && m.failures == 0 && silence(m) <= late;
  if (back && !m.in_flight && now >= m.retry_at && !m.addr.empty() && calls_ < call_limit())
    send_direct(m, {}, {}, kProbeTimeout);
  if (silence(m) <= late)
    return look_again(m, back ? now + kResend : m.last_contact + late + kSoonest);
  // Ask a machine that should have reported by now; the answer to an empty list of orders is its report.
  if (!m.in_flight && (now >= m.retry_at || now < alarm_until_) && !m.addr.empty() && calls_ < call_limit()) {
    send_direct(m, {}, {}, kProbeTimeout);
  }
  look_again(m, silence(m) > silent_s()
                    ? now + kResend / 2
                    : std::min(now + kResend / 2, m.last_contact + silent_s() + kSoonest));
}

}  // namespace wingtrail::agents
