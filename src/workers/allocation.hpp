/// \file
/// A task on a machine, and what proves that none of its start commands can still take effect.
///
/// The leader sends a worker its commands directly, or in the reply to one of the worker's heartbeats. Either
/// message may be lost or delayed, so a start that went out may be acted on at any time until there is a
/// proof that it will not be. Starting the task elsewhere before that could run it twice. What counts as a
/// proof:
///  - Heartbeat: a worker has one heartbeat under way at a time. When it sends the next one, it has acted on
///    the reply to the one before, or never will. So the next heartbeat that the worker sends by itself
///    confirms or denies a start that went out in a reply. Time alone proves nothing: the worker may have
///    acted on the reply and become unresponsive then.
///  - Reply to a direct command: it lists the worker's tasks after the command was carried out. A command
///  that
///    was delivered and not answered may still arrive, at any time within the incarnation.
///  - Incarnation: one life of the worker process, from obtaining a lease to losing it. Commands name the
///    incarnation that they are for, and a worker refuses those for another.
///  - Lease: a worker whose lease runs out kills its tasks and begins a new incarnation. So once the lease
///  has
///    certainly expired, nothing of the incarnation is left or can be started.
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

/// A task on a machine. From the moment its start may have left this node until it is proved to be gone, it
/// occupies its machine, its team's quota and its job's zones. Times are those of this node's clock.
struct Allocation {
  enum class Phase : std::uint8_t {
    requested,  ///< The worker has not shown it yet.
    fetching,   ///< The worker fetches its image.
    running,
    saving,  ///< It writes its last checkpoint before it stops.
    exited
  };

  JobIndex job;  ///< kNoIndex: a stray instance, or a task of a job that is over or unknown.
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;  ///< Distinguishes this start of the task from all others.
  std::string name;           ///< The job's reference, a slash and the task's number, as the worker names it.
  Phase phase = Phase::requested;
  wire::ExitCause cause = wire::ExitCause::none;  ///< Set once `phase` is `exited`.
  wire::Resources resources;                      ///< Empty while `job` is kNoIndex.
  Seconds requested_at = 0;                       ///< When the leader decided on it, or first saw it.
  Seconds running_since = 0;

  /// The task is to stop, `grace_s` seconds after it has been signalled.
  bool stop_requested = false;
  double grace_s = 0;

  /// A direct call with a start of this attempt is under way.
  bool start_call_in_flight = false;
  /// Until when the worker may receive a start of this attempt that went out in the reply to a heartbeat.
  Seconds start_in_reply_until = 0;
  /// A start of this attempt went out in the reply to a heartbeat, and the worker has sent no heartbeat
  /// since.
  bool start_in_reply_unconfirmed = false;
  /// A direct call with a start of this attempt was delivered and not answered, so the start may still
  /// arrive. The worker ignores it as long as it remembers the attempt, so it must not be commanded to forget
  /// the attempt (PROTOCOL: after `reap`, a repeated start starts it again).
  bool late_start_possible = false;

  bool end_persisted = false;    ///< Its end is recorded, so the worker may forget it.
  bool occupies_machine = true;  ///< False once it has ended.
  bool adopted = false;          ///< First seen in a heartbeat, so its run time is not known.

  /// Whether it is a task of the job with this reference.
  bool belongs_to(const std::string& ref) const {
    return name.size() > ref.size() && name[ref.size()] == '/' && name.compare(0, ref.size(), ref) == 0;
  }
  /// Whether it ends the moment its stop arrives. A start behind that stop in the same message can use its
  /// resources, so they count as free.
  bool stops_immediately() const {
    return stop_requested && grace_s == 0;
  }
  /// Whether a start of it may still reach the worker.
  bool start_in_flight(Seconds now) const {
    return start_call_in_flight || late_start_possible || now < start_in_reply_until;
  }
  /// Whether it is proved that no start of it has reached the worker or can still reach it.
  bool certainly_not_started(Seconds now) const {
    return phase == Phase::requested && !start_in_reply_unconfirmed && !start_in_flight(now);
  }
};

}  // namespace wingtrail::workers
