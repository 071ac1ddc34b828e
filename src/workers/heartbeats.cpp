/// \file
/// Workers' heartbeats: which of them count, and what they say of incarnations and tasks.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {
// By then heartbeats that were delayed by a network partition have arrived after its end.
constexpr Seconds kDelayedHeartbeatWindow = 1.0;
constexpr Seconds kNeverContacted = -1e9;
}  // namespace

std::optional<wire::Value> WorkerManager::handle_heartbeat(const wire::Heartbeat& report,
                                                           CommandsInReply commands_in_reply) {
  if (!active_)
    return std::nullopt;
  if (report.fencing_token > leadership_.fencing_token()) {
    events_.on_superseded();
    return std::nullopt;
  }
  Machine& machine = add_machine(report.host, report.address, report.type, report.zone, report.spot);
  if (machine.gone)
    return std::nullopt;
  // The worker's reply to a command has overtaken it. There is nothing new in it, but the worker still waits
  // for the reply, and would turn to another node without it.
  if (machine.has_incarnation && report.incarnation == machine.incarnation &&
      report.sequence <= machine.sequence) {
    machine.lease_expires_at = worker_lease_expiry(out_.now());
    return wire::heartbeat_reply(leadership_.fencing_token(), {});
  }
  if (!is_newer(machine, report))
    return std::nullopt;
  const bool new_incarnation = !machine.has_incarnation;
  machine.address = report.address;
  // A heartbeat that was delayed by a network partition arrives at its end, when the worker does not wait for
  // the reply any more.
  if (zones_.flap_count(machine.zone) == 0 ||
      out_.now() > zones_.returned_at(machine.zone) + kDelayedHeartbeatWindow)
    machine.last_heartbeat_at = out_.now();
  apply_heartbeat(machine, report, HeartbeatSource::worker);
  if (!active_)
    return std::nullopt;
  machine.lease_expires_at = worker_lease_expiry(out_.now());
  add_to_inventory(machine);
  if (machine.unreachable)
    schedule_check(machine, out_.now());
  // Until the worker has our token, an earlier leader's commands could still take effect. It is in the reply,
  // so the worker has the time to confirm it with its next heartbeat before it is called for that.
  if (!machine.fenced) {
    machine.delivery.last_sent_at = out_.now();
    schedule_check(machine, out_.now() + kResendInterval);
  } else if (new_incarnation && report.fencing_token < leadership_.fencing_token()) {
    schedule_check(machine, out_.now() + kResendInterval);
  }
  if (!machine.fenced || !machine.in_inventory || commands_in_reply == CommandsInReply::withheld)
    return wire::heartbeat_reply(leadership_.fencing_token(), {});
  drop_unsent_starts(machine);
  return wire::heartbeat_reply(leadership_.fencing_token(),
                               build_commands(machine, Delivery::heartbeat_reply));
}

// Whether the heartbeat is newer than what is known of its machine. Heartbeats are ordered by incarnation and
// sequence number. One of an incarnation that is over, by its lease or by a newer one, proves nothing.
bool WorkerManager::is_newer(const Machine& machine, const wire::Heartbeat& report) {
  if (!machine.has_incarnation && machine.incarnation > 0)
    return report.incarnation > machine.incarnation;
  return std::pair(report.incarnation, report.sequence) > std::pair(machine.incarnation, machine.sequence);
}

void WorkerManager::apply_heartbeat(Machine& machine, const wire::Heartbeat& report, HeartbeatSource source) {
  const bool had_incarnation = machine.has_incarnation;
  note_contact(machine, report, source);
  if (!had_incarnation)
    schedule_check(machine, out_.now() + kLateHeartbeatFactor * settings_.heartbeat_interval_s);
  const bool capacity_freed = reconcile_tasks(machine, report, source);
  update_idle_since(machine);
  mark_changed(machine);
  if (!notify_ended(machine))
    return;
  // Only now that everything on the machine is known: once it is fenced, tasks may start elsewhere, and one
  // that runs here must not be among them.
  if (report.fencing_token == leadership_.fencing_token())
    mark_fenced(machine);
  if (!had_incarnation)
    events_.on_available(machine);
  if (capacity_freed)
    events_.on_capacity_freed(machine);
}

// Takes in what contact as such says of the machine: its incarnation, its lease, and that it is responsive.
void WorkerManager::note_contact(Machine& machine, const wire::Heartbeat& report, HeartbeatSource source) {
  // A new incarnation: the worker has killed everything of the earlier one.
  if (machine.has_incarnation && report.incarnation > machine.incarnation)
    end_incarnation(machine);
  if (source == HeartbeatSource::command_reply && report.incarnation != machine.incarnation)
    machine.last_heartbeat_at = kNeverContacted;
  // An incarnation that is new here began before this message, and none of its heartbeats was answered after
  // it, so its lease lasts at most this long. With the expiry of the incarnation before, this one would be
  // declared over while it lives.
  if (report.incarnation != machine.incarnation)
    machine.lease_expires_at = std::max(machine.lease_expires_at, worker_lease_expiry(out_.now()));
  machine.has_incarnation = true;
  machine.incarnation = report.incarnation;
  machine.sequence = report.sequence;
  machine.last_contact_at = out_.now();
  machine.delivery.failed_calls = 0;
  machine.delivery.unanswered_since = ports::kNever;
  if (zones_.on_contact(machine.zone, out_.now()))
    probe_returned_zone(machine.zone);
  update_expected(machine);
  machine.preemption_at =
      report.preemption_in_s ? std::optional<Seconds>(out_.now() + *report.preemption_in_s) : std::nullopt;
  unresponsive_machines_.erase(machine.index);
}

// Takes in what the heartbeat says of each task; returns whether resources were freed.
bool WorkerManager::reconcile_tasks(Machine& machine, const wire::Heartbeat& report, HeartbeatSource source) {
  const std::size_t known = machine.allocations.size();
  std::vector<bool> listed(known, false);
  bool capacity_freed = false;
  // A worker has one heartbeat under way at a time: this one proves that it has acted on the reply to the one
  // before, or never will.
  if (source == HeartbeatSource::worker) {
    for (Allocation& allocation : machine.allocations) {
      allocation.start_in_reply_until = 0;
      allocation.start_in_reply_unconfirmed = false;
    }
  }
  std::size_t hint = 0;  // heartbeats list tasks in the order in which they were started
  for (const wire::TaskStatus& status : report.tasks) {
    const std::optional<std::size_t> found = find_allocation(machine, status, known, hint);
    if (!found) {
      adopt_task(machine, status);
      continue;
    }
    hint = *found + 1;
    listed[*found] = true;
    const bool counted = machine.allocations[*found].occupies_machine;
    update_allocation(machine, machine.allocations[*found], status);
    capacity_freed |= counted && !machine.allocations[*found].occupies_machine;
  }
  for (std::size_t i = known; i-- > 0;) {
    // A start that may still arrive is not listed, and stays uncertain. Anything else that was listed before
    // and is not now was forgotten by the worker.
    if (listed[i] || machine.allocations[i].phase == Allocation::Phase::requested)
      continue;
    capacity_freed |= machine.allocations[i].occupies_machine;
    drop_allocation(machine, i);
  }
  return capacity_freed;
}

// The position of the allocation that the entry is about, among the first `known`; the search begins at
// `hint`.
std::optional<std::size_t> WorkerManager::find_allocation(const Machine& machine,
                                                          const wire::TaskStatus& status, std::size_t known,
                                                          std::size_t hint) {
  for (std::size_t offset = 0; offset < known; ++offset) {
    const std::size_t i = (hint + offset) % known;
    const Allocation& allocation = machine.allocations[i];
    if (allocation.attempt == status.attempt && allocation.task == status.task &&
        allocation.belongs_to(status.ref))
      return i;
  }
  return std::nullopt;
}

void WorkerManager::update_idle_since(Machine& machine) {
  if (machine.busy()) {
    machine.idle_since = 0;
  } else if (machine.idle_since == 0) {
    machine.idle_since = out_.now();
  }
}

// Reports the allocations that have ended. The receivers start other tasks at once, perhaps on this machine,
// which would invalidate references into its allocations; so this happens only after the whole heartbeat has
// been taken in. False: the leadership has ended.
bool WorkerManager::notify_ended(Machine& machine) {
  const std::uint64_t term = term_;
  for (const Allocation& allocation : std::exchange(ended_allocations_, {})) {
    events_.on_task_exited(machine, allocation);
    if (term != term_)
      return false;
  }
  return true;
}

// Adds a task that the heartbeat lists and that is not known on the machine.
void WorkerManager::adopt_task(Machine& machine, const wire::TaskStatus& status) {
  Allocation allocation;
  allocation.task = status.task;
  allocation.attempt = status.attempt;
  allocation.requested_at = out_.now();
  allocation.name = wire::task_name(status.ref, status.task);
  allocation.adopted = true;
  const bool exited = status.phase == wire::TaskPhase::exited;
  if (exited && status.cause != wire::ExitCause::done) {
    allocation.occupies_machine = false;
    allocation.phase = Allocation::Phase::exited;
    allocation.end_persisted = true;
    machine.allocations.push_back(std::move(allocation));
    return;
  }
  jobs::Job* job = registry_.find(status.ref);
  const bool known = job && job->is_open() && status.task < job->tasks.size();
  const bool pending = known && job->tasks[status.task].state == jobs::TaskState::pending;
  // Every other one begins as a stray instance. One that has exited ends as such in update_allocation(), so
  // that its result counts wherever the task is placed.
  machine.allocations.push_back(std::move(allocation));
  Allocation& added = machine.allocations.back();
  add_stray(machine, added);
  if (pending) {
    adopt_stray_instance(*job, status.task);
    if (job->cancelling)
      stop_task(machine, added, 0);  // first seen after its job's cancellation began
  } else if (!exited && !(known && placement_uncertain(job->tasks[status.task]))) {
    // The task is done, its job is over, or it is certainly placed on another machine, which the protocol
    // forbids: this instance is stopped.
    if (!job || !job->is_open())
      spdlog::info("workers: stopping task of finished or unknown job host={} task={}", machine.host,
                   added.name);
    stop_task(machine, added, 0);
  }
  update_allocation(machine, added, status);
}

void WorkerManager::update_allocation(Machine& machine, Allocation& allocation,
                                      const wire::TaskStatus& status) {
  using TaskPhase = wire::TaskPhase;
  jobs::Job* job = registry_.job_at(allocation.job);
  if (status.phase != TaskPhase::exited) {
    const bool ran =
        allocation.phase == Allocation::Phase::running || allocation.phase == Allocation::Phase::saving;
    allocation.phase = status.phase == TaskPhase::running  ? Allocation::Phase::running
                       : status.phase == TaskPhase::saving ? Allocation::Phase::saving
                                                           : Allocation::Phase::fetching;
    if (!ran && allocation.phase == Allocation::Phase::running && job) {
      allocation.running_since = out_.now();
      registry_.set_task_running(*job, allocation.task, true);
      touch_image(machine, job->image);
    }
    return;
  }
  if (allocation.phase == Allocation::Phase::exited)
    return;
  allocation.phase = Allocation::Phase::exited;
  allocation.cause = status.cause;
  release_allocation(machine, allocation);
  // A result counts even if the job is being cancelled, since it may have crossed with the stop; and even if
  // the task is placed on another machine: without it, the task would have to run again.
  if (status.cause == wire::ExitCause::done) {
    jobs::Job* job_with_result = job ? job : registry_.find(status.ref);
    if (job_with_result && job_with_result->is_open() && !job_with_result->is_service() &&
        allocation.task < job_with_result->tasks.size() &&
        job_with_result->tasks[allocation.task].state != jobs::TaskState::done) {
      complete_task(machine, allocation, *job_with_result);
      ended_allocations_.push_back(allocation);
      return;
    }
  }
  allocation.end_persisted = true;
  if (!job)
    return;
  unplace_task(*job, allocation.task, machine);
  ended_allocations_.push_back(allocation);
}

}  // namespace wingtrail::workers
