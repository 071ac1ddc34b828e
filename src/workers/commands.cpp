/// @file
/// Sending of commands to workers, in the reply to a heartbeat or by a direct call, and processing of the
/// replies to direct calls.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "delegation/strict_cancellation.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"
#include "workers/resources.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {
constexpr Seconds kCommandTimeout = 2.0;
// Shorter than kCommandTimeout: a fencing call starts no task, so a missing reply leaves nothing uncertain.
constexpr Seconds kFencingTimeout = 1.0;
// A call without a reply for this long is overdue: a worker replies within milliseconds, and a lost packet
// is usually retransmitted sooner.
constexpr Seconds kOverdueCallDelay = 0.75;
// By the worker protocol, a worker stops waiting for the reply to its heartbeat after 4 s. The other 0.5 s
// cover the drift and the timer steps of both clocks.
constexpr Seconds kWorkerReplyWait = 4.5;
constexpr std::size_t kMaxCommandsPerCall = 200;  // keeps a body far below its limit of 64 KiB
// Limit on concurrent calls to workers, as a share of max_connections: each call occupies a connection until
// it is answered.
constexpr double kConnectionShare = 0.08;
constexpr int kMinConcurrentCalls = 8;
// Limit on the attempts of a machine that were started directly and cannot be forgotten yet. Its heartbeats
// list all of them. Beyond the limit, starts are sent in replies to heartbeats only.
constexpr std::size_t kMaxRetainedAttempts = 64;
constexpr int kStatusConflict = 409;

// Whether a copy of the answered or unanswered call may still be carried out.
bool may_be_carried_out_later(const ports::Reply& reply) {
  return reply.delivered && reply.status != kStatusConflict;
}
}  // namespace

bool WorkerManager::start_task(Machine& machine, jobs::Job& job, std::uint32_t task) {
  Allocation allocation;
  allocation.job = job.index;
  allocation.task = task;
  // The attempt number is unique without a write to the state service: no other leadership has the same
  // fencing token, and the counter only grows within a leadership.
  allocation.attempt = (leadership_.strict_cancellations() ? delegation::kStrictCancellationFlag : 0) +
                       (leadership_.fencing_token() << delegation::kFencingTokenShift) + ++attempt_counter_;
  // The tasks of a gang recognize each other by their attempt, so all tasks that start together share one.
  if (job.is_gang()) {
    if (job.placed_tasks == 0)
      job.gang_attempt = allocation.attempt;
    allocation.attempt = job.gang_attempt;
  }
  allocation.name = wire::task_name(job.spec.ref, task);
  allocation.resources = job.spec.task_resources;
  allocation.requested_at = out_.now();
  add_resources(machine.used, allocation.resources, 1);
  add_team_usage(job.team, allocation.resources, 1);
  registry_.place_task(job, task, machine.index, machine.zone);
  machine.allocations.push_back(std::move(allocation));
  machine.idle_since = 0;
  machine.delivery.has_new_commands = true;
  mark_changed(machine);
  queue_call(machine);
  return true;
}

bool WorkerManager::ignores_next_start(const Machine& machine, const jobs::Job& job) {
  if (!job.is_gang() || job.placed_tasks == 0 || job.pending_tasks.empty())
    return false;
  return std::any_of(
      machine.allocations.begin(), machine.allocations.end(), [&job](const Allocation& allocation) {
        return allocation.attempt == job.gang_attempt && allocation.task == job.pending_tasks.back() &&
               allocation.belongs_to(job.spec.ref);
      });
}

void WorkerManager::stop_task(Machine& machine, Allocation& allocation, double grace_s) {
  if (!allocation.occupies_machine || (allocation.stop_requested && allocation.grace_s <= grace_s))
    return;
  const bool already_released = allocation.stops_immediately();
  allocation.stop_requested = true;
  allocation.grace_s = grace_s;
  if (!already_released && allocation.stops_immediately() && allocation.job != kNoIndex)
    add_resources(machine.used, allocation.resources, -1);
  machine.delivery.has_new_commands = true;
  mark_changed(machine);
  queue_call(machine);
}

void WorkerManager::cancel_job(jobs::Job& job) {
  for (const jobs::Task& task : job.tasks) {
    if (task.state != jobs::TaskState::placed)
      continue;
    Machine& machine = machines_[task.machine];
    for (Allocation& allocation : machine.allocations) {
      if (allocation.job == job.index && allocation.occupies_machine)
        stop_task(machine, allocation, 0);
    }
  }
  stop_strays(job.spec.ref);
}

// Drops allocations that are to stop and whose start has certainly not reached the worker, so that no
// command is needed for them.
void WorkerManager::drop_unsent_starts(Machine& machine) {
  for (std::size_t i = machine.allocations.size(); i-- > 0;) {
    const Allocation& allocation = machine.allocations[i];
    // Elapsed time alone does not prove that a start had no effect: the worker may have acted on the reply
    // to its heartbeat and become unresponsive afterwards. Dropping such a task would let it run twice.
    if (allocation.stop_requested && allocation.certainly_not_started(out_.now()))
      drop_allocation(machine, i);
  }
}

// Returns the commands that the worker has not confirmed yet. Acknowledgements and starts are limited to
// kMaxCommandsPerCall commands in total, and starts are left out while they might overtake a stop.
std::vector<wire::Command> WorkerManager::build_commands(Machine& machine, Delivery delivery) {
  using Verb = wire::Command::Verb;
  std::vector<wire::Command> commands;
  // Stops come first because the starts that follow may need the resources that they free.
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.occupies_machine && allocation.stop_requested)
      commands.push_back({Verb::stop, allocation.name, allocation.attempt, allocation.grace_s});
  }
  for (const Allocation& allocation : machine.allocations) {
    if (commands.size() >= kMaxCommandsPerCall)
      break;
    if (!allocation.may_be_forgotten(leadership_.fencing_token(), out_.now()))
      continue;
    commands.push_back({Verb::forget, allocation.name, allocation.attempt});
    ++(allocation.direct_start_token > 0 ? forgets_.by_higher_token : forgets_.without_direct_start);
  }
  machine.delivery.last_sent_at = out_.now();
  // The reply to a heartbeat may overtake a direct call that is in flight, and a start must not overtake the
  // stops in that call. So the reply contains no starts while a call is in flight.
  const bool may_overtake_call = delivery == Delivery::heartbeat_reply && machine.delivery.call_in_flight;
  if (!may_overtake_call) {
    machine.delivery.has_new_commands = false;
    append_starts(machine, delivery, commands);
    if (!commands.empty())
      schedule_check(machine, out_.now() + kResendInterval);
  }
  commands_sent_ += commands.size();
  log_commands(machine, delivery, commands);
  return commands;
}

void WorkerManager::log_commands(const Machine& machine, Delivery delivery,
                                 const std::vector<wire::Command>& commands) const {
  if (!spdlog::should_log(spdlog::level::debug))
    return;
  for (const wire::Command& command : commands) {
    spdlog::debug("workers: command host={} incarnation={} token={} direct={} verb={} task={} attempt={}",
                  machine.host, machine.incarnation, leadership_.fencing_token(),
                  delivery == Delivery::direct_call, wire::verb_name(command.verb), command.task,
                  command.attempt);
  }
}

std::size_t WorkerManager::retained_attempts(const Machine& machine) const {
  const std::uint64_t token = leadership_.fencing_token();
  return static_cast<std::size_t>(std::count_if(
      machine.allocations.begin(), machine.allocations.end(), [token](const Allocation& allocation) {
        return allocation.start_call_in_flight || allocation.late_start_possible(token);
      }));
}

WorkerManager::RetainedAttempts WorkerManager::retained_attempts() const {
  RetainedAttempts retained;
  for (const MachineIndex index : live_machines_) {
    const std::size_t on_machine = retained_attempts(machines_[index]);
    retained.total += on_machine;
    retained.most_on_a_machine = std::max(retained.most_on_a_machine, on_machine);
  }
  return retained;
}

void WorkerManager::append_starts(Machine& machine, Delivery delivery, std::vector<wire::Command>& commands) {
  std::size_t retained = delivery == Delivery::direct_call ? retained_attempts(machine) : 0;
  for (Allocation& allocation : machine.allocations) {
    if (allocation.phase != Allocation::Phase::requested || commands.size() >= kMaxCommandsPerCall)
      continue;
    // A task that is to stop and has certainly not been started needs no start.
    if (allocation.stop_requested && allocation.certainly_not_started(out_.now()))
      continue;
    const jobs::Job* job = registry_.job_at(allocation.job);
    if (!job || !job->is_open())
      continue;
    const bool is_repetition = allocation.late_start_possible(leadership_.fencing_token());
    if (delivery == Delivery::direct_call && !is_repetition && retained >= kMaxRetainedAttempts)
      continue;
    commands.push_back({wire::Command::Verb::start, allocation.name, allocation.attempt});
    if (delivery == Delivery::direct_call) {
      retained += is_repetition ? 0 : 1;
      allocation.start_call_in_flight = true;
    } else {
      allocation.start_in_reply_until = out_.now() + kWorkerReplyWait;
      allocation.start_in_reply_unconfirmed = true;
    }
  }
}

int WorkerManager::max_concurrent_calls() const {
  return std::max(kMinConcurrentCalls, static_cast<int>(settings_.max_connections * kConnectionShare));
}

void WorkerManager::queue_call(Machine& machine) {
  if (machine.delivery.queued || machine.gone)
    return;
  machine.delivery.queued = true;
  (machine.fenced ? command_queue_ : fencing_queue_).push_back(machine.index);
}

void WorkerManager::flush_commands() {
  if (!active_)
    return;
  for (auto* queue : {&command_queue_, &fencing_queue_}) {
    // After a failover hundreds of machines must be fenced. Fencing calls use at most half of the concurrent
    // calls, so that commands are not delayed.
    const int limit = queue == &command_queue_ ? max_concurrent_calls() : max_concurrent_calls() / 2;
    while (!queue->empty() && calls_in_flight_ < limit) {
      Machine& machine = machines_[queue->front()];
      queue->pop_front();
      machine.delivery.queued = false;
      if (machine.delivery.call_in_flight || (machine.fenced && !machine.delivery.has_new_commands))
        continue;
      send_queued_commands(machine);
    }
  }
  continue_liveness_sweep();
}

void WorkerManager::send_queued_commands(Machine& machine) {
  // A machine from the inventory is called even before its first heartbeat. A worker refuses a call for
  // another incarnation with status 409, but that reply contains its heartbeat, too.
  if (machine.gone || machine.address.empty() || (!machine.has_incarnation && machine.fenced))
    return;
  if (out_.now() < machine.delivery.retry_at)
    return schedule_check(machine, machine.delivery.retry_at);
  if (zones_.is_unreachable(machine.zone, out_.now()))
    return schedule_check(machine, out_.now() + kResendInterval);
  if (out_.now() >= leadership_.lease_expires_at())
    return schedule_check(machine, out_.now() + kResendInterval);
  if (!machine.fenced) {
    // The fencing token was sent less than kResendInterval ago; the worker's next heartbeat may confirm it.
    if (machine.has_incarnation && out_.now() < machine.delivery.last_sent_at + kResendInterval)
      return schedule_check(machine, machine.delivery.last_sent_at + kResendInterval);
    // A call without commands delivers the fencing token. Commands follow once the machine is fenced.
    return send_direct(machine, {}, {}, kFencingTimeout);
  }
  // A machine gets no commands before its inventory record is persisted: the next leader would not know that
  // it has to reconcile this machine.
  if (!machine.in_inventory)
    return;
  drop_unsent_starts(machine);
  const auto commands = build_commands(machine, Delivery::direct_call);
  if (commands.empty())
    return;
  std::vector<std::uint64_t> started_attempts;
  for (const Allocation& allocation : machine.allocations) {
    if (allocation.start_call_in_flight)
      started_attempts.push_back(allocation.attempt);
  }
  send_direct(machine, commands, std::move(started_attempts), kCommandTimeout);
}

void WorkerManager::send_direct(Machine& machine, const std::vector<wire::Command>& commands,
                                std::vector<std::uint64_t> started_attempts, Seconds timeout) {
  machine.delivery.call_in_flight = true;
  machine.delivery.last_call_at = out_.now();
  machine.delivery.last_sent_at = machine.delivery.last_call_at;
  ++calls_in_flight_;
  ++direct_calls_;
  if (timeout > kOverdueCallDelay && !machine.spot)
    sweep_if_overdue(machine);
  ports::Call call;
  call.target = ports::Target::worker;
  call.address = machine.address;
  call.method = "POST";
  call.path = wire::kCommandsPath;
  call.body = wire::commands_body(leadership_.fencing_token(),
                                  std::max<std::uint64_t>(1, machine.incarnation), commands);
  call.timeout_s = timeout;
  call.not_after = leadership_.lease_expires_at();
  out_.call(std::move(call), [this, index = machine.index, incarnation = machine.incarnation, term = term_,
                              token = leadership_.fencing_token(),
                              started_attempts = std::move(started_attempts)](const ports::Reply& reply) {
    if (term != term_)
      return;
    --calls_in_flight_;
    if (machines_[index].incarnation == incarnation)
      record_start_call(machines_[index], token, started_attempts, reply);
    on_commands_reply(index, reply);
  });
}

// Starts a liveness sweep if the call just sent is overdue although there is contact with the machine's
// zone. Waiting for the call to time out would delay the sweep, as a call with commands has a longer timeout
// than a probe.
void WorkerManager::sweep_if_overdue(const Machine& machine) {
  const Seconds called_at = machine.delivery.last_call_at;
  out_.after(kOverdueCallDelay, [this, index = machine.index, term = term_, called_at] {
    if (term != term_)
      return;
    const Machine& called = machines_[index];
    if (called.delivery.call_in_flight && called.delivery.last_call_at == called_at &&
        called.has_incarnation && !zones_.is_unresponsive(called.zone, out_.now()))
      start_liveness_sweep();
  });
}

// Records what the outcome of a direct call, sent with this fencing token, says about the starts in it.
void WorkerManager::record_start_call(Machine& machine, std::uint64_t fencing_token,
                                      const std::vector<std::uint64_t>& started_attempts,
                                      const ports::Reply& reply) {
  for (Allocation& allocation : machine.allocations) {
    if (!allocation.start_call_in_flight || std::find(started_attempts.begin(), started_attempts.end(),
                                                      allocation.attempt) == started_attempts.end())
      continue;
    allocation.start_call_in_flight = false;
    if (may_be_carried_out_later(reply))
      allocation.direct_start_token = std::max(allocation.direct_start_token, fencing_token);
  }
}

void WorkerManager::on_commands_reply(MachineIndex index, const ports::Reply& reply) {
  Machine& machine = machines_[index];
  machine.delivery.call_in_flight = false;
  if (machine.gone)
    return;
  if (reply.status == 200 || reply.status == kStatusConflict) {
    if (!apply_commands_reply(machine, reply))
      return;
  } else {
    on_call_failed(machine, reply);
  }
  if (!active_ || machine.gone)
    return;
  if (machine.delivery.has_new_commands && !machine.unreachable) {
    queue_call(machine);
  } else if (has_commands(machine)) {
    schedule_check(machine, out_.now() + kResendInterval);
  }
}

// Processes a worker's reply to a direct call, which contains its heartbeat. Returns false if the
// leadership is over.
bool WorkerManager::apply_commands_reply(Machine& machine, const ports::Reply& reply) {
  if (machine.unreachable)
    mark_changed(machine);
  machine.unreachable = false;
  const auto heartbeat = wire::parse_heartbeat(reply.heartbeat);
  if (!heartbeat)
    refused_replies_.count(heartbeat.error());
  if (!heartbeat || heartbeat->host != machine.host) {
    spdlog::warn("workers: malformed command reply host={}", machine.host);
    return true;
  }
  if (heartbeat->fencing_token > leadership_.fencing_token()) {
    machine.unreachable = true;
    mark_changed(machine);
    machine.delivery.retry_at = out_.now() + kResendInterval;
    events_.on_higher_token(machine.host, heartbeat->fencing_token);
    return active_;
  }
  const std::uint64_t term = term_;
  if (is_newer(machine, *heartbeat))
    apply_heartbeat(machine, *heartbeat, HeartbeatSource::command_reply);
  if (term != term_)
    return false;
  if (reply.status == 200)
    mark_fenced(machine);
  return true;
}

// Handles a direct call that got no reply or an error status.
void WorkerManager::on_call_failed(Machine& machine, const ports::Reply& reply) {
  if (!machine.unreachable) {
    spdlog::debug("workers: command call failed host={}", machine.host);
    mark_changed(machine);
  }
  machine.unreachable = true;
  machine.delivery.retry_at = out_.now() + kResendInterval;
  // A call that was sent while the zone was unreachable does not show that the machine has failed.
  if (machine.delivery.last_call_at >= zones_.reachable_since(machine.zone) &&
      machine.delivery.failed_calls++ == 0)
    machine.delivery.unanswered_since = machine.delivery.last_call_at;
  // Spot machines are often preempted one by one without notice, so the failure of one does not suggest that
  // others have failed.
  const bool unanswered = reply.status == 0;
  if (unanswered && machine.has_incarnation && !machine.spot)
    start_liveness_sweep();
  if (machine.has_incarnation)
    schedule_check(machine, out_.now());
}

// Whether the worker has yet to confirm the fencing token, a start or a stop.
bool WorkerManager::has_commands(const Machine& machine) const {
  if (!machine.fenced)
    return true;
  return std::any_of(machine.allocations.begin(), machine.allocations.end(),
                     [](const Allocation& allocation) {
                       return allocation.phase == Allocation::Phase::requested ||
                              (allocation.occupies_machine && allocation.stop_requested);
                     });
}

}  // namespace wingtrail::workers
