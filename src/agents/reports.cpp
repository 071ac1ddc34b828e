// Workers' reports: which of them prove something, and what they say of sessions and tasks.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "agents/agents.hpp"

namespace wingtrail::agents {
namespace {
constexpr Seconds kHeldBack = 1.0;  // after a cut, what it held back has come in
constexpr Seconds kLongAgo = -1e9;
}  // namespace

std::optional<wire::Value> Agents::report(const wire::Report& r, OrdersInAnswer orders_in_answer) {
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
  apply(m, r, ReportSource::worker);
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
  if (!m.settled || !m.enlisted || orders_in_answer == OrdersInAnswer::withheld)
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

void Agents::apply(Machine& m, const wire::Report& r, ReportSource source) {
  const bool was_up = m.reporting;
  note_contact(m, r, source);
  if (!was_up)
    look_again(m, out_.now() + kLateReport * settings_.report_s);
  const bool room = take_tasks(m, r, source);
  note_idleness(m);
  changed(m);
  if (!tell_ended(m))
    return;
  // Only now that everything on the machine is known: settling may let tasks start, and one that runs here
  // must not be among them.
  if (r.token == link_.token())
    settle(m);
  if (!was_up)
    events_.up(m);
  if (room)
    events_.room(m);
}

// The machine was heard of: its session, its lease, and that it is neither silent nor unreachable.
void Agents::note_contact(Machine& m, const wire::Report& r, ReportSource source) {
  // Another session: everything of the earlier one was killed when that ended.
  if (m.reporting && r.session > m.session)
    end_session(m);
  if (source == ReportSource::command_answer && r.session != m.session)
    m.beat_at = kLongAgo;
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
}

// Takes in what the report says of each task; whether room came free.
bool Agents::take_tasks(Machine& m, const wire::Report& r, ReportSource source) {
  const std::size_t known = m.slots.size();
  std::vector<bool> listed(known, false);
  bool room = false;
  // A worker has one report under way at a time: this one says that it has acted on the answer to the one
  // before, or never will.
  if (source == ReportSource::worker) {
    for (Slot& s : m.slots) {
      s.in_answer_until = 0;
      s.unproven = false;
    }
  }
  std::size_t hint = 0;  // reports list tasks in the order in which they came
  for (const wire::TaskReport& t : r.tasks) {
    const std::optional<std::size_t> found = find_slot(m, t, known, hint);
    if (!found) {
      adopt(m, t);
      continue;
    }
    hint = *found + 1;
    listed[*found] = true;
    const bool counted = m.slots[*found].counted;
    update(m, m.slots[*found], t);
    room |= counted && !m.slots[*found].counted;
  }
  for (std::size_t i = known; i-- > 0;) {
    // A start that has not arrived yet is missing from the report and stays in doubt. Anything else that was
    // seen before and is missing now was forgotten by the worker.
    if (listed[i] || m.slots[i].phase == Slot::Phase::ordered)
      continue;
    room |= m.slots[i].counted;
    drop_slot(m, i);
  }
  return room;
}

// The slot that the report's entry is about, among the first `known`, beginning at `hint`.
std::optional<std::size_t> Agents::find_slot(const Machine& m, const wire::TaskReport& t, std::size_t known,
                                             std::size_t hint) {
  for (std::size_t k = 0; k < known; ++k) {
    const std::size_t i = (hint + k) % known;
    const Slot& s = m.slots[i];
    if (s.attempt == t.attempt && s.task == t.index && s.of(t.ref))
      return i;
  }
  return std::nullopt;
}

void Agents::note_idleness(Machine& m) {
  if (m.busy()) {
    m.idle_since = 0;
  } else if (m.idle_since == 0) {
    m.idle_since = out_.now();
  }
}

// What ended makes room, and whoever hears of it starts tasks at once, here too: so not before the report has
// been taken in whole. Told half-way, a start grew `slots` under the references in use. False: the leadership
// has ended.
bool Agents::tell_ended(Machine& m) {
  const std::uint64_t term = term_;
  for (const Slot& s : std::exchange(ended_, {})) {
    events_.exited(m, s);
    if (term != term_)
      return false;
  }
  return true;
}

void Agents::adopt(Machine& m, const wire::TaskReport& t) {
  Slot s;
  s.task = t.index;
  s.attempt = t.attempt;
  s.ordered_at = out_.now();
  s.name = wire::task_name(t.ref, t.index);
  s.adopted = true;
  const bool exited = t.phase == wire::TaskPhase::exited;
  if (exited && t.cause != wire::Cause::done) {
    s.counted = false;
    s.phase = Slot::Phase::exited;
    s.forget = true;
    m.slots.push_back(std::move(s));
    return;
  }
  jobs::Job* job = registry_.find(t.ref);
  const bool known = job && job->open() && t.index < job->tasks.size();
  const bool pending = known && job->tasks[t.index].state == jobs::TaskState::pending;
  // Every other one begins as a copy beside what is placed. One that has exited ends as such in update(), so
  // that its result counts wherever the task seems to be.
  m.slots.push_back(std::move(s));
  Slot& slot = m.slots.back();
  add_copy(m, slot);
  if (pending) {
    claim(*job, t.index);
    if (job->aborting)
      stop(m, slot, 0);  // found only now, of a job whose cancellation is under way
  } else if (!exited && !(known && place_in_doubt(job->tasks[t.index]))) {
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

}  // namespace wingtrail::agents
