/// @file
/// Processing of heartbeats: discards outdated ones, and updates the machine's incarnation, lease and tasks.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "delegation/strict_cancellation.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {
// Heartbeats that a network partition has delayed arrive within this time after its end.
constexpr Seconds kDelayedHeartbeatWindow = 1.0;
}  // namespace

std::optional<wire::Value> WorkerManager::handle_heartbeat(const wire::Heartbeat& heartbeat,
                                                           CommandsInReply commands_in_reply) {
  if (!active_)
    return std::nullopt;
  if (heartbeat.fencing_token > leadership_.fencing_token()) {
    events_.on_higher_token(heartbeat.host, heartbeat.fencing_token);
    return std::nullopt;
  }
  Machine& machine =
      add_machine(heartbeat.host, heartbeat.address, heartbeat.type, heartbeat.zone, heartbeat.spot);
  if (machine.gone)
    return std::nullopt;
  // The worker's reply to a direct call, which includes a newer heartbeat, has overtaken this heartbeat.
  // There is nothing new in it, but without an answer the worker would switch to another controller.
  if (machine.has_incarnation && heartbeat.incarnation == machine.incarnation &&
      heartbeat.sequence <= machine.sequence) {
    machine.lease_expires_at = worker_lease_expiry(out_.now());
    return wire::heartbeat_reply(leadership_.fencing_token(), {});
  }
  if (!is_newer(machine, heartbeat))
    return std::nullopt;
  const bool new_incarnation = !machine.has_incarnation;
  machine.address = heartbeat.address;
  // A heartbeat that a network partition delayed arrives at the end of the partition, when the worker no
  // longer waits for the reply, so it does not update last_heartbeat_at.
  if (zones_.flap_count(machine.zone) == 0 ||
      out_.now() > zones_.reachable_since(machine.zone) + kDelayedHeartbeatWindow)
    machine.last_heartbeat_at = out_.now();
  apply_heartbeat(machine, heartbeat, HeartbeatSource::worker);
  if (!active_)
    return std::nullopt;
  machine.lease_expires_at = worker_lease_expiry(out_.now());
  add_to_inventory(machine);
  if (machine.unreachable)
    schedule_check(machine, out_.now());
  // Until the worker has this leader's fencing token, an earlier leader's commands could still
  // take effect. The reply carries the token; a direct call follows only if no heartbeat confirms
  // it within kResendInterval.
  if (!machine.fenced) {
    machine.delivery.last_sent_at = out_.now();
    schedule_check(machine, out_.now() + kResendInterval);
  } else if (new_incarnation && heartbeat.fencing_token < leadership_.fencing_token()) {
    schedule_check(machine, out_.now() + kResendInterval);
  }
  if (!machine.fenced || !machine.in_inventory || commands_in_reply == CommandsInReply::withheld)
    return wire::heartbeat_reply(leadership_.fencing_token(), {});
  drop_unsent_starts(machine);
  return wire::heartbeat_reply(leadership_.fencing_token(),
                               build_commands(machine, Delivery::heartbeat_reply));
}

void WorkerManager::on_unknown_token(const std::string& host, std::uint64_t token) {
  Machine* machine = find(host);
  if (!active_ || !machine || machine->gone)
    return;
  ++unknown_tokens_;
  ++machine->unknown_token_reports;
  spdlog::warn("workers: token that no leader held host={} token={} leader_token={} reports={}", host, token,
               leadership_.fencing_token(), machine->unknown_token_reports);
}

// Whether the heartbeat is newer than the newest one received from the machine, by incarnation and sequence
// number. A heartbeat of an incarnation that is over (its lease has expired, or a newer incarnation is
// known) proves nothing and is never newer.
bool WorkerManager::is_newer(const Machine& machine, const wire::Heartbeat& heartbeat) {
  if (!machine.has_incarnation && machine.incarnation > 0)
    return heartbeat.incarnation > machine.incarnation;
  return std::pair(heartbeat.incarnation, heartbeat.sequence) >
         std::pair(machine.incarnation, machine.sequence);
}

void WorkerManager::apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat,
                                    HeartbeatSource source) {
  const bool had_incarnation = machine.has_incarnation;
  record_contact(machine, heartbeat, source);
  if (!had_incarnation)
    schedule_check(machine, out_.now() + kLateHeartbeatFactor * settings_.heartbeat_interval_s);
  const bool capacity_freed = reconcile_tasks(machine, heartbeat, source);
  update_idle_since(machine);
  mark_changed(machine);
  if (!notify_ended(machine))
    return;
  // The machine is fenced only after all its tasks are recorded: fencing allows pending tasks to start
  // elsewhere, and a task that runs on this machine must not be started a second time.
  if (heartbeat.fencing_token == leadership_.fencing_token())
    mark_fenced(machine);
  if (!had_incarnation)
    events_.on_available(machine);
  if (capacity_freed)
    events_.on_capacity_freed(machine);
}

// Updates the machine's incarnation, lease, liveness and preemption notice.
void WorkerManager::record_contact(Machine& machine, const wire::Heartbeat& heartbeat,
                                   HeartbeatSource source) {
  // A worker that begins a new incarnation has killed all tasks of the previous one.
  if (machine.has_incarnation && heartbeat.incarnation > machine.incarnation)
    end_incarnation(machine);
  if (source == HeartbeatSource::command_reply && heartbeat.incarnation != machine.incarnation)
    machine.last_heartbeat_at = kNeverContacted;
  // An incarnation that is first seen now began before this message, and none of its heartbeats has been
  // answered after it, so its lease has certainly expired at the time computed here. With the lease expiry
  // of the previous incarnation, the new one would be declared over while its worker is alive.
  if (heartbeat.incarnation != machine.incarnation)
    machine.lease_expires_at = std::max(machine.lease_expires_at, worker_lease_expiry(out_.now()));
  machine.has_incarnation = true;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.last_contact_at = out_.now();
  machine.unknown_token_reports = 0;
  machine.delivery.failed_calls = 0;
  machine.delivery.unanswered_since = ports::kNever;
  if (zones_.on_contact(machine.zone, out_.now()))
    probe_recovering_zone(machine.zone);
  update_heartbeat_expected(machine);
  machine.preemption_at = heartbeat.preemption_in_s
                              ? std::optional<Seconds>(out_.now() + *heartbeat.preemption_in_s)
                              : std::nullopt;
  unresponsive_machines_.erase(machine.index);
}

// Updates the machine's allocations from the tasks that the heartbeat lists. Returns whether
// resources were freed.
bool WorkerManager::reconcile_tasks(Machine& machine, const wire::Heartbeat& heartbeat,
                                    HeartbeatSource source) {
  const std::size_t known = machine.allocations.size();
  std::vector<bool> listed(known, false);
  bool capacity_freed = false;
  // A worker sends its next heartbeat only after it has processed the reply to the previous one or has given
  // up waiting for it. So no start in an earlier reply can take effect any more.
  if (source == HeartbeatSource::worker) {
    for (Allocation& allocation : machine.allocations) {
      allocation.start_in_reply_until = 0;
      allocation.start_in_reply_unconfirmed = false;
    }
  }
  std::size_t hint = 0;  // heartbeats list tasks in the order of their starts, as `allocations` does
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    const std::optional<std::size_t> found = find_allocation(machine, status, known, hint);
    if (!found) {
      adopt_task(machine, status);
      continue;
    }
    hint = *found + 1;
    listed[*found] = true;
    const bool occupied = machine.allocations[*found].occupies_machine;
    update_allocation(machine, machine.allocations[*found], status);
    capacity_freed |= occupied && !machine.allocations[*found].occupies_machine;
  }
  for (std::size_t i = known; i-- > 0;) {
    // A task in phase `requested` has never been listed, and its start may still take effect. Any other task
    // that is not listed any more has been forgotten by the worker.
    if (listed[i] || machine.allocations[i].phase == Allocation::Phase::requested)
      continue;
    capacity_freed |= machine.allocations[i].occupies_machine;
    drop_allocation(machine, i);
  }
  machine.tasks_listed = true;
  return capacity_freed;
}

// Returns the position of the allocation that the listed task refers to. Searches the first `known`
// allocations, beginning at `hint`.
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

// Calls on_task_exited for the allocations that have ended. The callbacks may start other tasks at once,
// perhaps on this machine, which invalidates references to its allocations. So they are called only after
// the whole heartbeat has been processed. Returns false if the leadership has ended.
bool WorkerManager::notify_ended(Machine& machine) {
  const std::uint64_t term = term_;
  for (const Allocation& allocation : std::exchange(ended_allocations_, {})) {
    events_.on_task_exited(machine, allocation);
    if (term != term_)
      return false;
  }
  return true;
}

// Adds an allocation for a task that the heartbeat lists and that is not known on the machine.
void WorkerManager::adopt_task(Machine& machine, const wire::TaskStatus& status) {
  Allocation allocation;
  allocation.task = status.task;
  allocation.attempt = status.attempt;
  allocation.requested_at = out_.now();
  allocation.name = wire::task_name(status.ref, status.task);
  allocation.adopted = true;
  allocation.direct_start_token = delegation::fencing_token_of(status.attempt);
  report_if_unexpected(machine, status);
  const bool exited = status.phase == wire::TaskPhase::exited;
  if (exited && status.cause != wire::ExitCause::done) {
    allocation.occupies_machine = false;
    allocation.phase = Allocation::Phase::exited;
    allocation.may_acknowledge = true;
    machine.allocations.push_back(std::move(allocation));
    return;
  }
  jobs::Job* job = registry_.find(status.ref);
  const bool known = job && job->is_open() && status.task < job->tasks.size();
  const bool pending = known && job->tasks[status.task].state == jobs::TaskState::pending;
  // The allocation is first recorded as a stray instance. If the task has completed, update_allocation()
  // counts its result, whichever machine the task is placed on.
  machine.allocations.push_back(std::move(allocation));
  Allocation& added = machine.allocations.back();
  add_stray(machine, added);
  if (pending) {
    adopt_stray_instance(*job, status.task);
    if (job->cancelling)
      stop_task(machine, added, 0);  // cancel_job() did not know this instance
  } else if (!exited && !(known && placement_uncertain(job->tasks[status.task]))) {
    // The task is done, its job is over or unknown, or the task is certainly placed on another machine. A
    // task must not run twice, so this instance is stopped.
    if (!job || !job->is_open())
      spdlog::info("workers: stopping task of finished or unknown job host={} task={}", machine.host,
                   added.name);
    stop_task(machine, added, 0);
  }
  update_allocation(machine, added, status);
}

// Reports an attempt that is new on a fenced machine and that no current command has started there: a copy of
// an earlier start has arrived, after the worker was commanded to forget the attempt.
void WorkerManager::report_if_unexpected(const Machine& machine, const wire::TaskStatus& status) {
  if (!machine.fenced || !machine.tasks_listed)
    return;
  ++unexpected_attempts_;
  spdlog::warn(
      "workers: attempt began without a current start host={} task={}/{} attempt={} attempt_token={} "
      "leader_token={}",
      machine.host, status.ref, status.task, status.attempt, delegation::fencing_token_of(status.attempt),
      leadership_.fencing_token());
}

void WorkerManager::update_allocation(Machine& machine, Allocation& allocation,
                                      const wire::TaskStatus& status) {
  using TaskPhase = wire::TaskPhase;
  // An attempt that has exited does not run again, whatever phase its worker reports: a phase that is missing
  // or unknown here reads as fetching.
  if (allocation.phase == Allocation::Phase::exited)
    return;
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
      record_image_use(machine, job->image);
    }
    return;
  }
  allocation.phase = Allocation::Phase::exited;
  allocation.cause = status.cause;
  release_allocation(machine, allocation);
  // A result counts even if the job is being cancelled, since the task may have completed before the stop
  // arrived. It also counts if the task is placed on another machine: otherwise the task would run again.
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
  allocation.may_acknowledge = true;
  if (!job)
    return;
  unplace_task(*job, allocation.task, machine);
  ended_allocations_.push_back(allocation);
}

}  // namespace wingtrail::workers
