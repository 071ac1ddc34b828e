// Orders to workers: in the answer to a report where one is at hand, else straight to the worker's address.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "delegation/strict_cancellation.hpp"
#include "workers/resources.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
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

bool WorkerManager::start_task(Machine& m, jobs::Job& job, std::uint32_t task) {
  Allocation s;
  s.job = job.index;
  s.task = task;
  // Unique without a write: the token is this leadership's alone, and the counter never goes back within it.
  s.attempt = (leadership_.strict_cancellations() ? delegation::kStrictCancellationFlag : 0) +
              (leadership_.fencing_token() << delegation::kFencingTokenShift) + ++attempt_counter_;
  // A gang's tasks find each other by their attempt: all that start together share it.
  if (job.is_gang()) {
    if (job.placed_tasks == 0)
      job.gang_attempt = s.attempt;
    s.attempt = job.gang_attempt;
  }
  s.name = wire::task_name(job.spec.ref, task);
  s.resources = job.spec.task_resources;
  s.ordered_at = out_.now();
  add_resources(m.used, s.resources, 1);
  add_resources(team_usage_[job.team], s.resources, 1);
  registry_.place_task(job, task, m.index, m.zone);
  m.allocations.push_back(std::move(s));
  m.idle_since = 0;
  m.has_new_commands = true;
  mark_changed(m);
  queue_call(m);
  return true;
}

void WorkerManager::stop_task(Machine& m, Allocation& s, double grace_s) {
  if (!s.occupies_machine || (s.stop_requested && s.grace_s <= grace_s))
    return;
  const bool before = s.stops_immediately();
  s.stop_requested = true;
  s.grace_s = grace_s;
  if (!before && s.stops_immediately() && s.job != kNoIndex)
    add_resources(m.used, s.resources, -1);
  m.has_new_commands = true;
  mark_changed(m);
  queue_call(m);
}

void WorkerManager::cancel_job(jobs::Job& job) {
  for (const jobs::Task& t : job.tasks) {
    if (t.state != jobs::TaskState::placed)
      continue;
    Machine& m = machines_[t.machine];
    for (Allocation& s : m.allocations) {
      if (s.job == job.index && s.occupies_machine)
        stop_task(m, s, 0);
    }
  }
  stop_strays(job.spec.ref);
}

// Stopped tasks whose start never left this node: nothing to tell the worker.
void WorkerManager::prune(Machine& m) {
  for (std::size_t i = m.allocations.size(); i-- > 0;) {
    const Allocation& s = m.allocations[i];
    // Time alone proves nothing: a worker may have acted on the answer to its report and fallen silent then.
    // Taking such a task for one that never left ran it twice on a day of roamkvitto-core-grown.
    if (s.stop_requested && s.certainly_not_started(out_.now()))
      drop_allocation(m, i);
  }
}

std::vector<wire::Command> WorkerManager::build_commands(Machine& m, bool direct) {
  using V = wire::Command::Verb;
  std::vector<wire::Command> list;
  // Stops come first: a start behind them may need their room.
  for (const Allocation& s : m.allocations) {
    if (s.occupies_machine && s.stop_requested)
      list.push_back({V::stop, s.name, s.attempt, s.grace_s});
  }
  for (const Allocation& s : m.allocations) {
    if (list.size() >= kOrdersPerCall)
      break;
    if (s.phase == Allocation::Phase::exited && s.end_persisted && !s.start_in_flight(out_.now())) {
      list.push_back({V::forget, s.name, s.attempt});
    }
  }
  m.last_push_at = out_.now();
  // The answer to a report may overtake a call that is under way, and its starts the stops in that call.
  if (!direct && m.call_in_flight) {
    commands_sent_ += list.size();
    return list;
  }
  m.has_new_commands = false;
  for (Allocation& s : m.allocations) {
    // A start and its stop at once need no start; the slot stays until the session tells that it never
    // arrived.
    if (s.phase != Allocation::Phase::ordered || list.size() >= kOrdersPerCall)
      continue;
    if (s.stop_requested && s.certainly_not_started(out_.now()))
      continue;
    jobs::Job* job = registry_.job_at(s.job);
    if (!job || !job->is_open())
      continue;
    list.push_back({V::start, s.name, s.attempt});
    if (direct) {
      s.start_call_in_flight = true;
    } else {
      s.start_in_reply_until = out_.now() + kWorkerWaits;
      s.start_unproven = true;
    }
  }
  commands_sent_ += list.size();
  if (!list.empty())
    schedule_check(m, out_.now() + kResendInterval);
  return list;
}

int WorkerManager::max_concurrent_calls() const {
  return std::max(8, static_cast<int>(settings_.max_connections * kCallShare));
}

void WorkerManager::queue_call(Machine& m) {
  if (m.queued_for_call || m.gone)
    return;
  m.queued_for_call = true;
  (m.fenced ? command_queue_ : token_queue_).push_back(m.index);
}

void WorkerManager::flush_commands() {
  if (!active_)
    return;
  for (auto* queue : {&command_queue_, &token_queue_}) {
    // Tokens are pushed by the hundred after a take-over; half of the calls stay free for orders meanwhile.
    const int limit = queue == &command_queue_ ? max_concurrent_calls() : max_concurrent_calls() / 2;
    while (!queue->empty() && calls_in_flight_ < limit) {
      Machine& m = machines_[queue->front()];
      queue->pop_front();
      m.queued_for_call = false;
      if (m.call_in_flight || (m.fenced && !m.has_new_commands))
        continue;
      send_queued_commands(m);
    }
  }
  continue_liveness_sweep();
}

void WorkerManager::send_queued_commands(Machine& m) {
  // A machine of the roster is asked before its first report: a wrong session gets 409 with its report.
  if (m.gone || m.address.empty() || (!m.has_incarnation && m.fenced))
    return;
  if (out_.now() < m.retry_at)
    return schedule_check(m, m.retry_at);
  if (zones_.is_unreachable(m.zone, out_.now()))
    return schedule_check(m, out_.now() + kResendInterval);
  if (out_.now() >= leadership_.lease_expires_at())
    return schedule_check(m, out_.now() + kResendInterval);
  if (!m.fenced) {
    // A report's answer has told it our token a moment ago; its next report says so.
    if (m.has_incarnation && out_.now() < m.last_push_at + kResendInterval)
      return schedule_check(m, m.last_push_at + kResendInterval);
    // This only makes our token known; the orders proper follow it.
    return send_direct(m, {}, {}, kTokenTimeout);
  }
  // Before a machine is in the persisted roster the next leader would not know to ask it, so it gets no
  // start.
  if (!m.in_inventory)
    return;
  prune(m);
  const auto list = build_commands(m, true);
  if (list.empty())
    return;
  std::vector<std::uint64_t> starts;
  for (const Allocation& s : m.allocations) {
    if (s.start_call_in_flight)
      starts.push_back(s.attempt);
  }
  send_direct(m, list, std::move(starts), kCommandTimeout);
}

void WorkerManager::send_direct(Machine& m, const std::vector<wire::Command>& list,
                                std::vector<std::uint64_t> starts, Seconds timeout) {
  m.call_in_flight = true;
  m.last_push_at = m.last_call_at = out_.now();
  ++calls_in_flight_;
  ++direct_calls_;
  // A worker answers within milliseconds. Orders wait longer before they are given up, but one of them
  // overdue while its zone is heard is reason enough to look at the others.
  if (timeout > kOverdue && !m.spot) {
    out_.after(kOverdue, [this, ix = m.index, term = term_, sent = m.last_call_at] {
      if (term != term_)
        return;
      const Machine& late = machines_[ix];
      if (late.call_in_flight && late.last_call_at == sent && late.has_incarnation &&
          !zones_.is_silent(late.zone, out_.now()))
        start_liveness_sweep();
    });
  }
  ports::Call call;
  call.target = ports::Target::worker;
  call.address = m.address;
  call.method = "POST";
  call.path = wire::kCommandsPath;
  call.body =
      wire::commands_body(leadership_.fencing_token(), std::max<std::uint64_t>(1, m.incarnation), list);
  call.timeout_s = timeout;
  call.not_after = leadership_.lease_expires_at();
  out_.call(std::move(call), [this, ix = m.index, session = m.incarnation, term = term_,
                              starts = std::move(starts)](const ports::Reply& reply) {
    if (term != term_)
      return;
    --calls_in_flight_;
    on_commands_reply(ix, session, starts, reply);
  });
}

void WorkerManager::on_commands_reply(MachineIndex ix, std::uint64_t session,
                                      const std::vector<std::uint64_t>& starts, const ports::Reply& reply) {
  Machine& m = machines_[ix];
  m.call_in_flight = false;
  if (m.gone)
    return;
  const bool unanswered = reply.status == 0;
  if (m.incarnation == session) {
    for (Allocation& s : m.allocations) {
      if (!s.start_call_in_flight || std::find(starts.begin(), starts.end(), s.attempt) == starts.end())
        continue;
      s.start_call_in_flight = false;
      s.late_start_possible |= unanswered && reply.delivered;
    }
  }
  if (reply.status == 200 || reply.status == 409) {
    if (m.unreachable)
      mark_changed(m);
    m.unreachable = false;
    auto r = wire::parse_heartbeat(reply.heartbeat);
    if (!r || r->host != m.host) {
      spdlog::warn("{}: a malformed answer to orders", m.host);
    } else {
      if (r->fencing_token > leadership_.fencing_token())
        return events_.on_superseded();
      const std::uint64_t term = term_;
      if (is_newer(m, *r))
        apply_heartbeat(m, *r, HeartbeatSource::command_reply);
      if (term != term_)
        return;
      if (reply.status == 200)
        mark_fenced(m);
    }
  } else {
    if (!m.unreachable) {
      spdlog::debug("{}: no answer to orders", m.host);
      mark_changed(m);
    }
    m.unreachable = true;
    m.retry_at = out_.now() + kResendInterval;
    if (m.last_call_at >= zones_.returned_at(m.zone) && m.failed_calls++ == 0)
      m.unanswered_since = m.last_call_at;
    // Spot machines vanish one by one all the time; that says nothing about the others.
    if (unanswered && m.has_incarnation && !m.spot)
      start_liveness_sweep();
    if (m.has_incarnation)
      schedule_check(m, out_.now());
  }
  if (!active_ || m.gone)
    return;
  if (m.has_new_commands && !m.unreachable) {
    queue_call(m);
  } else if (has_commands(m)) {
    schedule_check(m, out_.now() + kResendInterval);  // what is still wanted is repeated
  }
}

// Whether the worker has yet to do something that it may have been told already.
bool WorkerManager::has_commands(const Machine& m) const {
  if (!m.fenced)
    return true;
  return std::any_of(m.allocations.begin(), m.allocations.end(), [](const Allocation& s) {
    return s.phase == Allocation::Phase::ordered || (s.occupies_machine && s.stop_requested);
  });
}

}  // namespace wingtrail::workers
