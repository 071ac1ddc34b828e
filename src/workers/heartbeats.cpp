// Workers' reports: which of them prove something, and what they say of sessions and tasks.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {
constexpr Seconds kHeldBack = 1.0;  // after a cut, what it held back has come in
constexpr Seconds kLongAgo = -1e9;
}  // namespace

std::optional<wire::Value> WorkerManager::handle_heartbeat(const wire::Heartbeat& r,
                                                           CommandsInReply orders_in_answer) {
  if (!active_)
    return std::nullopt;
  if (r.fencing_token > leadership_.fencing_token()) {
    events_.on_superseded();
    return std::nullopt;
  }
  Machine& m = add_machine(r.host, r.address, r.type, r.zone, r.spot);
  if (m.gone)
    return std::nullopt;
  // Overtaken by the worker's own answer to orders: there is nothing new in it, but its sender still waits,
  // and would turn to another node.
  if (m.has_incarnation && r.incarnation == m.incarnation && r.sequence <= m.sequence) {
    m.lease_expires_at = worker_lease_expiry(out_.now());
    return wire::heartbeat_reply(leadership_.fencing_token(), {});
  }
  if (!is_newer(m, r))
    return std::nullopt;
  const bool fresh = !m.has_incarnation;
  m.address = r.address;
  // A report that was held back during a cut comes at its end, and its sender has long given it up.
  if (zones_.flap_count(m.zone) == 0 || out_.now() > zones_.returned_at(m.zone) + kHeldBack)
    m.last_heartbeat_at = out_.now();
  apply_heartbeat(m, r, HeartbeatSource::worker);
  if (!active_)
    return std::nullopt;
  m.lease_expires_at = worker_lease_expiry(out_.now());
  add_to_inventory(m);
  if (m.unreachable)
    schedule_check(m, out_.now());
  // Push the token of a new leadership at once: until then an earlier leader's orders could still take
  // effect. One that just had an answer with it is given the time to say so in its next report.
  if (!m.fenced) {
    m.last_push_at = out_.now();
    schedule_check(m, out_.now() + kResendInterval);
  } else if (fresh && r.fencing_token < leadership_.fencing_token()) {
    schedule_check(m, out_.now() + kResendInterval);
  }
  if (!m.fenced || !m.in_inventory || orders_in_answer == CommandsInReply::withheld)
    return wire::heartbeat_reply(leadership_.fencing_token(), {});
  prune(m);
  return wire::heartbeat_reply(leadership_.fencing_token(), build_commands(m, false));
}

// Reports are ordered by session and counter, and nothing that was learned goes back. A session that is over,
// by its lease or by a newer one, shows nothing that is there.
bool WorkerManager::is_newer(const Machine& m, const wire::Heartbeat& r) {
  if (!m.has_incarnation && m.incarnation > 0)
    return r.incarnation > m.incarnation;
  return std::pair(r.incarnation, r.sequence) > std::pair(m.incarnation, m.sequence);
}

void WorkerManager::apply_heartbeat(Machine& m, const wire::Heartbeat& r, HeartbeatSource source) {
  const bool was_up = m.has_incarnation;
  note_contact(m, r, source);
  if (!was_up)
    schedule_check(m, out_.now() + kLateHeartbeatFactor * settings_.heartbeat_interval_s);
  const bool room = reconcile_tasks(m, r, source);
  update_idle_since(m);
  mark_changed(m);
  if (!notify_ended(m))
    return;
  // Only now that everything on the machine is known: settling may let tasks start, and one that runs here
  // must not be among them.
  if (r.fencing_token == leadership_.fencing_token())
    mark_fenced(m);
  if (!was_up)
    events_.on_available(m);
  if (room)
    events_.on_capacity_freed(m);
}

// The machine was heard of: its session, its lease, and that it is neither silent nor unreachable.
void WorkerManager::note_contact(Machine& m, const wire::Heartbeat& r, HeartbeatSource source) {
  // Another session: everything of the earlier one was killed when that ended.
  if (m.has_incarnation && r.incarnation > m.incarnation)
    end_incarnation(m);
  if (source == HeartbeatSource::command_reply && r.incarnation != m.incarnation)
    m.last_heartbeat_at = kLongAgo;
  // A session that is news here began before this message, and no report of it was answered after it: so its
  // lease lasts at most this long. Keeping the end of the session before it would declare this one over while
  // it lives.
  if (r.incarnation != m.incarnation)
    m.lease_expires_at = std::max(m.lease_expires_at, worker_lease_expiry(out_.now()));
  m.has_incarnation = true;
  m.incarnation = r.incarnation;
  m.sequence = r.sequence;
  m.last_contact_at = out_.now();
  m.failed_calls = 0;
  m.unanswered_since = ports::kNever;
  if (zones_.on_contact(m.zone, out_.now()))
    schedule_zone_probe(m.zone);
  update_expected(m);
  m.preemption_at =
      r.preemption_in_s ? std::optional<Seconds>(out_.now() + *r.preemption_in_s) : std::nullopt;
  silent_machines_.erase(m.index);
}

// Takes in what the report says of each task; whether room came free.
bool WorkerManager::reconcile_tasks(Machine& m, const wire::Heartbeat& r, HeartbeatSource source) {
  const std::size_t known = m.allocations.size();
  std::vector<bool> listed(known, false);
  bool room = false;
  // A worker has one report under way at a time: this one says that it has acted on the answer to the one
  // before, or never will.
  if (source == HeartbeatSource::worker) {
    for (Allocation& s : m.allocations) {
      s.start_in_reply_until = 0;
      s.start_unproven = false;
    }
  }
  std::size_t hint = 0;  // reports list tasks in the order in which they came
  for (const wire::TaskStatus& t : r.tasks) {
    const std::optional<std::size_t> found = find_allocation(m, t, known, hint);
    if (!found) {
      adopt_task(m, t);
      continue;
    }
    hint = *found + 1;
    listed[*found] = true;
    const bool counted = m.allocations[*found].occupies_machine;
    update_allocation(m, m.allocations[*found], t);
    room |= counted && !m.allocations[*found].occupies_machine;
  }
  for (std::size_t i = known; i-- > 0;) {
    // A start that has not arrived yet is missing from the report and stays in doubt. Anything else that was
    // seen before and is missing now was forgotten by the worker.
    if (listed[i] || m.allocations[i].phase == Allocation::Phase::ordered)
      continue;
    room |= m.allocations[i].occupies_machine;
    drop_allocation(m, i);
  }
  return room;
}

// The slot that the report's entry is about, among the first `known`, beginning at `hint`.
std::optional<std::size_t> WorkerManager::find_allocation(const Machine& m, const wire::TaskStatus& t,
                                                          std::size_t known, std::size_t hint) {
  for (std::size_t k = 0; k < known; ++k) {
    const std::size_t i = (hint + k) % known;
    const Allocation& s = m.allocations[i];
    if (s.attempt == t.attempt && s.task == t.task && s.belongs_to(t.ref))
      return i;
  }
  return std::nullopt;
}

void WorkerManager::update_idle_since(Machine& m) {
  if (m.busy()) {
    m.idle_since = 0;
  } else if (m.idle_since == 0) {
    m.idle_since = out_.now();
  }
}

// What ended makes room, and whoever hears of it starts tasks at once, here too: so not before the report has
// been taken in whole. Told half-way, a start grew `slots` under the references in use. False: the leadership
// has ended.
bool WorkerManager::notify_ended(Machine& m) {
  const std::uint64_t term = term_;
  for (const Allocation& s : std::exchange(ended_allocations_, {})) {
    events_.on_task_exited(m, s);
    if (term != term_)
      return false;
  }
  return true;
}

void WorkerManager::adopt_task(Machine& m, const wire::TaskStatus& t) {
  Allocation s;
  s.task = t.task;
  s.attempt = t.attempt;
  s.ordered_at = out_.now();
  s.name = wire::task_name(t.ref, t.task);
  s.adopted = true;
  const bool exited = t.phase == wire::TaskPhase::exited;
  if (exited && t.cause != wire::ExitCause::done) {
    s.occupies_machine = false;
    s.phase = Allocation::Phase::exited;
    s.end_persisted = true;
    m.allocations.push_back(std::move(s));
    return;
  }
  jobs::Job* job = registry_.find(t.ref);
  const bool known = job && job->is_open() && t.task < job->tasks.size();
  const bool pending = known && job->tasks[t.task].state == jobs::TaskState::pending;
  // Every other one begins as a copy beside what is placed. One that has exited ends as such in update(), so
  // that its result counts wherever the task seems to be.
  m.allocations.push_back(std::move(s));
  Allocation& slot = m.allocations.back();
  add_stray(m, slot);
  if (pending) {
    adopt_stray_instances(*job, t.task);
    if (job->cancelling)
      stop_task(m, slot, 0);  // found only now, of a job whose cancellation is under way
  } else if (!exited && !(known && placement_uncertain(job->tasks[t.task]))) {
    // Done already, or (which the rules forbid, and so must not be made worse) on another machine.
    if (!job || !job->is_open())
      spdlog::info("{} holds {} of a job that is over: stopping it", m.host, slot.name);
    stop_task(m, slot, 0);
  }
  update_allocation(m, slot, t);
}

void WorkerManager::update_allocation(Machine& m, Allocation& s, const wire::TaskStatus& t) {
  using P = wire::TaskPhase;
  jobs::Job* job = registry_.job_at(s.job);
  if (t.phase != P::exited) {
    const bool ran = s.phase == Allocation::Phase::running || s.phase == Allocation::Phase::saving;
    s.phase = t.phase == P::running  ? Allocation::Phase::running
              : t.phase == P::saving ? Allocation::Phase::saving
                                     : Allocation::Phase::fetching;
    if (!ran && s.phase == Allocation::Phase::running && job) {
      s.running_since = out_.now();
      registry_.set_task_running(*job, s.task, true);
      touch_image(m, job->image);
    }
    return;
  }
  if (s.phase == Allocation::Phase::exited)
    return;
  s.phase = Allocation::Phase::exited;
  s.cause = t.cause;
  release_allocation(m, s);
  // A result that came in is kept even if the job is being cancelled, since a stop may have crossed with it;
  // and also if another machine seems to have the task: forgotten, it would have to run again.
  if (t.cause == wire::ExitCause::done) {
    jobs::Job* whose = job ? job : registry_.find(t.ref);
    if (whose && whose->is_open() && !whose->is_service() && s.task < whose->tasks.size() &&
        whose->tasks[s.task].state != jobs::TaskState::done) {
      complete_task(m, s, *whose);
      ended_allocations_.push_back(s);
      return;
    }
  }
  s.end_persisted = true;
  if (!job)
    return;
  unplace_task(*job, s.task, m);
  ended_allocations_.push_back(s);
}

}  // namespace wingtrail::workers
