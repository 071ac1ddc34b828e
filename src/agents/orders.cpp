// Orders to workers: in the answer to a report where one is at hand, else straight to the worker's address.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "agents/agents.hpp"
#include "agents/resources.hpp"
#include "custody/custody.hpp"

namespace wingtrail::agents {
namespace {
constexpr Seconds kCommandTimeout = 2.0;
constexpr Seconds kTokenTimeout = 1.0;  // nothing is in doubt if it is given up
constexpr Seconds kOverdue = 0.75;      // a resent packet comes sooner, mostly
// PROTOCOL: a worker gives an answer to its report up after 4 s; the rest covers both clocks' drift and
// steps.
constexpr Seconds kWorkerWaits = 4.5;
constexpr std::size_t kOrdersPerCall = 200;  // far below the 64 KiB of a body
// Calls to workers under way at once, as a share of the sockets: each holds one until it is answered.
constexpr double kCallShare = 0.08;
}  // namespace

bool Agents::start(Machine& m, jobs::Job& job, std::uint32_t task) {
  Slot s;
  s.job = job.ix;
  s.task = task;
  // Unique without a write: the token is this leadership's alone, and the counter never goes back within it.
  s.attempt = (link_.honest() ? custody::kHonest : 0) + (link_.token() << custody::kTokenShift) + ++counter_;
  // A gang's tasks find each other by their attempt: all that start together share it.
  if (job.gang()) {
    if (job.placed == 0)
      job.gang_attempt = s.attempt;
    s.attempt = job.gang_attempt;
  }
  s.name = wire::task_name(job.spec.ref, task);
  s.need = job.spec.need;
  s.ordered_at = out_.now();
  add(m.used, s.need, 1);
  add(team_use_[job.team], s.need, 1);
  registry_.place(job, task, m.ix, m.zone);
  m.slots.push_back(std::move(s));
  m.idle_since = 0;
  m.news = true;
  changed(m);
  want(m);
  return true;
}

void Agents::stop(Machine& m, Slot& s, double grace_s) {
  if (!s.counted || (s.stop && s.grace_s <= grace_s))
    return;
  const bool before = s.ends_at_once();
  s.stop = true;
  s.grace_s = grace_s;
  if (!before && s.ends_at_once() && s.job != kNone)
    add(m.used, s.need, -1);
  m.news = true;
  changed(m);
  want(m);
}

void Agents::cancel(jobs::Job& job) {
  for (const jobs::Task& t : job.tasks) {
    if (t.state != jobs::TaskState::placed)
      continue;
    Machine& m = machines_[t.machine];
    for (Slot& s : m.slots) {
      if (s.job == job.ix && s.counted)
        stop(m, s, 0);
    }
  }
  stop_copies(job.spec.ref);
}

// Stopped tasks whose start never left this node: nothing to tell the worker.
void Agents::prune(Machine& m) {
  for (std::size_t i = m.slots.size(); i-- > 0;) {
    const Slot& s = m.slots[i];
    // Time alone proves nothing: a worker may have acted on the answer to its report and fallen silent then.
    // Taking such a task for one that never left ran it twice on a day of roamkvitto-core-grown.
    if (s.stop && s.never_there(out_.now()))
      drop_slot(m, i);
  }
}

std::vector<wire::Order> Agents::orders(Machine& m, bool direct) {
  using V = wire::Order::Verb;
  std::vector<wire::Order> list;
  // Stops come first: a start behind them may need their room.
  for (const Slot& s : m.slots) {
    if (s.counted && s.stop)
      list.push_back({V::stop, s.name, s.attempt, s.grace_s});
  }
  for (const Slot& s : m.slots) {
    if (list.size() >= kOrdersPerCall)
      break;
    if (s.phase == Slot::Phase::exited && s.forget && !s.start_under_way(out_.now())) {
      list.push_back({V::forget, s.name, s.attempt});
    }
  }
  m.pushed_at = out_.now();
  // The answer to a report may overtake a call that is under way, and its starts the stops in that call.
  if (!direct && m.in_flight) {
    orders_sent_ += list.size();
    return list;
  }
  m.news = false;
  for (Slot& s : m.slots) {
    // A start and its stop at once need no start; the slot stays until the session tells that it never
    // arrived.
    if (s.phase != Slot::Phase::ordered || list.size() >= kOrdersPerCall)
      continue;
    if (s.stop && s.never_there(out_.now()))
      continue;
    jobs::Job* job = registry_.at(s.job);
    if (!job || !job->open())
      continue;
    list.push_back({V::start, s.name, s.attempt});
    if (direct) {
      s.in_flight = true;
    } else {
      s.in_answer_until = out_.now() + kWorkerWaits;
      s.unproven = true;
    }
  }
  orders_sent_ += list.size();
  if (!list.empty())
    look_again(m, out_.now() + kResend);
  return list;
}

int Agents::call_limit() const {
  return std::max(8, static_cast<int>(settings_.max_connections * kCallShare));
}

void Agents::want(Machine& m) {
  if (m.dirty || m.gone)
    return;
  m.dirty = true;
  (m.settled ? orders_due_ : tokens_due_).push_back(m.ix);
}

void Agents::flush() {
  if (!active_)
    return;
  for (auto* queue : {&orders_due_, &tokens_due_}) {
    // Tokens are pushed by the hundred after a take-over; half of the calls stay free for orders meanwhile.
    const int limit = queue == &orders_due_ ? call_limit() : call_limit() / 2;
    while (!queue->empty() && calls_ < limit) {
      Machine& m = machines_[queue->front()];
      queue->pop_front();
      m.dirty = false;
      if (m.in_flight || (m.settled && !m.news))
        continue;
      push(m);
    }
  }
  sweep();
}

void Agents::push(Machine& m) {
  // A machine of the roster is asked before its first report: a wrong session gets 409 with its report.
  if (m.gone || m.addr.empty() || (!m.reporting && m.settled))
    return;
  if (out_.now() < m.retry_at)
    return look_again(m, m.retry_at);
  if (zones_.cut(m.zone, out_.now()))
    return look_again(m, out_.now() + kResend);
  if (out_.now() >= link_.authority_until())
    return look_again(m, out_.now() + kResend);
  if (!m.settled) {
    // A report's answer has told it our token a moment ago; its next report says so.
    if (m.reporting && out_.now() < m.pushed_at + kResend)
      return look_again(m, m.pushed_at + kResend);
    // This only makes our token known; the orders proper follow it.
    return send_direct(m, {}, {}, kTokenTimeout);
  }
  // Before a machine is in the persisted roster the next leader would not know to ask it, so it gets no
  // start.
  if (!m.enlisted)
    return;
  prune(m);
  const auto list = orders(m, true);
  if (list.empty())
    return;
  std::vector<std::uint64_t> starts;
  for (const Slot& s : m.slots) {
    if (s.in_flight)
      starts.push_back(s.attempt);
  }
  send_direct(m, list, std::move(starts), kCommandTimeout);
}

void Agents::send_direct(Machine& m, const std::vector<wire::Order>& list, std::vector<std::uint64_t> starts,
                         Seconds timeout) {
  m.in_flight = true;
  m.pushed_at = m.called_at = out_.now();
  ++calls_;
  ++direct_calls_;
  // A worker answers within milliseconds. Orders wait longer before they are given up, but one of them
  // overdue while its zone is heard is reason enough to look at the others.
  if (timeout > kOverdue && !m.spot) {
    out_.after(kOverdue, [this, ix = m.ix, term = term_, sent = m.called_at] {
      if (term != term_)
        return;
      const Machine& late = machines_[ix];
      if (late.in_flight && late.called_at == sent && late.reporting && !zones_.quiet(late.zone, out_.now()))
        raise_alarm();
    });
  }
  ports::Call call;
  call.target = ports::Target::worker;
  call.address = m.addr;
  call.method = "POST";
  call.path = wire::kCommandsPath;
  call.body = wire::commands_body(link_.token(), std::max<std::uint64_t>(1, m.session), list);
  call.timeout_s = timeout;
  call.not_after = link_.authority_until();
  out_.call(std::move(call), [this, ix = m.ix, session = m.session, term = term_,
                              starts = std::move(starts)](const ports::Reply& reply) {
    if (term != term_)
      return;
    --calls_;
    commands_answered(ix, session, starts, reply);
  });
}

void Agents::commands_answered(Ix ix, std::uint64_t session, const std::vector<std::uint64_t>& starts,
                               const ports::Reply& reply) {
  Machine& m = machines_[ix];
  m.in_flight = false;
  if (m.gone)
    return;
  const bool unanswered = reply.status == 0;
  if (m.session == session) {
    for (Slot& s : m.slots) {
      if (!s.in_flight || std::find(starts.begin(), starts.end(), s.attempt) == starts.end())
        continue;
      s.in_flight = false;
      s.late_copy |= unanswered && reply.delivered;
    }
  }
  if (reply.status == 200 || reply.status == 409) {
    if (m.unreachable)
      changed(m);
    m.unreachable = false;
    auto r = wire::parse_report(reply.report);
    if (!r || r->host != m.host) {
      spdlog::warn("{}: a malformed answer to orders", m.host);
    } else {
      if (r->token > link_.token())
        return events_.superseded();
      const std::uint64_t term = term_;
      if (is_newer(m, *r))
        apply(m, *r, ReportSource::command_answer);
      if (term != term_)
        return;
      if (reply.status == 200)
        settle(m);
    }
  } else {
    if (!m.unreachable) {
      spdlog::debug("{}: no answer to orders", m.host);
      changed(m);
    }
    m.unreachable = true;
    m.retry_at = out_.now() + kResend;
    if (m.called_at >= zones_.back_at(m.zone) && m.failures++ == 0)
      m.unanswered_since = m.called_at;
    // Spot machines vanish one by one all the time; that says nothing about the others.
    if (unanswered && m.reporting && !m.spot)
      raise_alarm();
    if (m.reporting)
      look_again(m, out_.now());
  }
  if (!active_ || m.gone)
    return;
  if (m.news && !m.unreachable) {
    want(m);
  } else if (wants_orders(m)) {
    look_again(m, out_.now() + kResend);  // what is still wanted is repeated
  }
}

// Whether the worker has yet to do something that it may have been told already.
bool Agents::wants_orders(const Machine& m) const {
  if (!m.settled)
    return true;
  return std::any_of(m.slots.begin(), m.slots.end(),
                     [](const Slot& s) { return s.phase == Slot::Phase::ordered || (s.counted && s.stop); });
}

}  // namespace wingtrail::agents
