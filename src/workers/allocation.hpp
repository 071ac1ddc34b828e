/// @file
/// A task on a machine, and the evidence that none of its start commands can still take effect.
///
/// The leader sends commands to a worker by direct calls, or in the replies to the worker's heartbeats.
/// Either message may be lost or delayed, so the worker may act on a start at any time until there is
/// proof that it will not. Starting the task elsewhere before that could run it twice. The following
/// counts as proof:
///  - Heartbeat: a worker has one heartbeat in flight at a time. When it sends the next one, it has acted on
///    the reply to the previous one, or never will. So the next heartbeat that the worker sends on its own
///    confirms or rules out a start that was sent in a reply. Elapsed time alone proves nothing: the worker
///    may have acted on the reply and become unresponsive afterwards.
///  - Reply to a direct call: it lists the worker's tasks after the commands have been carried out. A copy
///    of a call that was delivered may arrive at any time within the incarnation, answered or not. Only a
///    refusal excludes that, because the reason of a refusal does not pass.
///  - Incarnation: the period in which a worker process holds its lease without interruption. Commands name
///    the incarnation that they are for, and a worker refuses commands for any other.
///  - Lease: a worker whose lease expires kills its tasks and begins a new incarnation. So once the lease has
///    certainly expired, no task of the incarnation is left or can be started.
///  - Fencing token: a worker refuses commands with a lower token than the highest that it has seen. So once
///    it has seen this leader's token (the machine is fenced), no command of an earlier leader takes effect.
#pragma once

#include <cstdint>
#include <string>

#include "jobs/job_registry.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::workers {

using jobs::JobIndex;
using jobs::kNoIndex;
using ports::Seconds;

/// A task on a machine. It counts against the capacity of its machine, its team's quota and its job's rules
/// on zones from the moment its start may have been sent until it is proved to be gone. Times are seconds of
/// this controller's clock.
struct Allocation {
  enum class Phase : std::uint8_t {
    requested,  ///< No heartbeat has listed the task yet.
    fetching,   ///< The worker is fetching the task's image.
    running,
    saving,  ///< The task is writing its last checkpoint before it stops.
    exited
  };

  JobIndex job;  ///< kNoIndex for a stray instance, or a task of a job that is over or unknown.
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;  ///< Distinguishes this start of the task from all its other starts.
  std::string name;           ///< wire::task_name: the job's reference, a slash and the task's number.
  Phase phase = Phase::requested;
  wire::ExitCause cause = wire::ExitCause::none;  ///< Set once `phase` is `exited`.
  wire::Resources resources;                      ///< Empty while `job` is kNoIndex.
  Seconds requested_at = 0;                       ///< When this leader placed the task, or first saw it.
  Seconds running_since = 0;

  /// The task is to stop. The worker kills it `grace_s` seconds after signalling it.
  bool stop_requested = false;
  double grace_s = 0;

  /// A direct call with a start of this attempt is in flight.
  bool start_call_in_flight = false;
  /// Until when the worker may receive a start of this attempt that was sent in the reply to a heartbeat.
  Seconds start_in_reply_until = 0;
  /// A start of this attempt was sent in the reply to a heartbeat. Reset by the worker's next heartbeat.
  bool start_in_reply_unconfirmed = false;
  /// Fencing token of the newest direct call with a start of this attempt that was delivered and not refused;
  /// 0: there was none. A copy of that call may still arrive. The worker ignores it as long as it remembers
  /// the attempt or has seen a higher token. By the worker protocol, a start that arrives after the command
  /// `reap` starts the attempt again.
  std::uint64_t direct_start_token = 0;

  /// Whether the worker may be commanded to forget the exited task: its completion is persisted, or it ended
  /// without a result and nothing needs to be persisted.
  bool may_acknowledge = false;
  bool occupies_machine = true;  ///< False once the task has ended.
  bool adopted = false;          ///< First seen in a heartbeat, so the task's run time is not known.

  /// Whether this is a task of the job with this reference.
  bool belongs_to(const std::string& ref) const {
    return name.size() > ref.size() && name[ref.size()] == '/' && name.compare(0, ref.size(), ref) == 0;
  }
  /// Whether the task ends as soon as its stop arrives. A start that follows the stop in the same message
  /// can use the task's resources, so they count as free.
  bool stops_immediately() const {
    return stop_requested && grace_s == 0;
  }
  /// Whether a worker that has seen this fencing token may still accept a direct start of this attempt.
  bool late_start_possible(std::uint64_t fencing_token) const {
    return direct_start_token > 0 && direct_start_token >= fencing_token;
  }
  /// Whether a first start of this attempt is under way to the worker.
  bool start_in_flight(Seconds now) const {
    return start_call_in_flight || now < start_in_reply_until;
  }
  /// Whether the worker may be commanded to forget the attempt, in a message with this fencing token.
  bool may_be_forgotten(std::uint64_t fencing_token, Seconds now) const {
    return phase == Phase::exited && may_acknowledge && !start_in_flight(now) &&
           !late_start_possible(fencing_token);
  }
  /// Whether it is proved that no start of this attempt has reached the worker or can still reach it.
  bool certainly_not_started(Seconds now) const {
    return phase == Phase::requested && !start_in_reply_unconfirmed && !start_in_flight(now) &&
           direct_start_token == 0;
  }
};

}  // namespace wingtrail::workers
