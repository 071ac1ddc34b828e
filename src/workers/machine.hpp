/// @file
/// The leader's record of a machine.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jobs/job_registry.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"
#include "workers/allocation.hpp"
#include "workers/resources.hpp"

namespace wingtrail::workers {

using jobs::ImageIndex;
using jobs::JobIndex;
using jobs::kNoIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::PoolIndex;
using jobs::ZoneIndex;
using ports::Seconds;

/// Value of `Machine::last_contact_at` and `last_heartbeat_at` before the first contact, in s. Far enough in
/// the past to count as unresponsive.
inline constexpr Seconds kNeverContacted = -1e9;

/// Why a machine takes no new tasks.
enum class Unavailability : std::uint8_t {
  none,            ///< It takes new tasks.
  leaving,         ///< It is being drained, returned or preempted, or is gone.
  starting,        ///< Its worker is not up, or its inventory record is not persisted yet.
  not_reconciled,  ///< It may run tasks that this leader does not know.
  quarantined,     ///< It is presumed faulty for a while, since tasks of several jobs failed on it.
  recent_failure,  ///< A task failed on it a short time ago.
  unresponsive,    ///< It, or its zone, does not answer.
};

/// The name of the reason in logs.
inline std::string_view to_string(Unavailability reason) {
  switch (reason) {
    case Unavailability::none:
      return "none";
    case Unavailability::leaving:
      return "leaving";
    case Unavailability::starting:
      return "starting";
    case Unavailability::not_reconciled:
      return "not_reconciled";
    case Unavailability::quarantined:
      return "quarantined";
    case Unavailability::recent_failure:
      return "recent_failure";
    case Unavailability::unresponsive:
      return "unresponsive";
  }
  return "unknown";
}

/// The state of the delivery of commands to a worker. Times are seconds of this controller's clock.
struct CommandDelivery {
  bool call_in_flight = false;
  bool has_new_commands = false;  ///< There is a command that has never been sent.
  bool queued = false;            ///< The machine is in a command queue.
  Seconds retry_at = 0;           ///< No direct call before this time, as the last one failed.
  Seconds last_sent_at = 0;       ///< When commands or the token were last sent, by a call or in a reply.
  Seconds last_call_at = 0;       ///< When the last direct call was sent.
  int failed_calls = 0;           ///< Calls without an answer since the last contact.
  Seconds unanswered_since = ports::kNever;  ///< When the first of these was sent.
};

/// A machine's position in the PlacementIndex. Only the index writes it, except `stale`.
struct IndexPosition {
  bool stale = false;              ///< The machine has changed since the index was updated.
  PoolIndex pool;                  ///< kNoIndex if the machine accepted no tasks at the last update.
  double free_cores = 0;           ///< The machine's free cores at the last update.
  std::vector<ImageIndex> images;  ///< The machine's cached images at the last update.
};

/// The values that UnreconciledMachines has added to its totals for a machine, so that it can subtract them
/// again. Only that class writes it.
struct UnreconciledAccount {
  bool counted = false;           ///< Counted as a machine that may run tasks this leader does not know.
  bool counted_unfenced = false;  ///< Counted as unfenced in its group.
  double cpus = 0, gpus = 0;      ///< The capacity that was added.
};

/// The leader's record of a machine. Times are seconds of this controller's clock.
struct Machine {
  // ---- identity and capacity
  MachineIndex index = kNoIndex;  ///< Position in WorkerManager::machines().
  std::string host;               ///< Unique name of the machine.
  std::string address;            ///< Address at which the worker accepts commands; empty if not known yet.
  MachineTypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  bool short_only = false;                   ///< In the short partition (as in Hawk); accepts no long tasks.
  double cpus = 0, gpus = 0, memory_gb = 0;  ///< Capacity; 0 if its type is not in the catalog yet.

  // ---- life of the machine
  bool in_inventory = false;             ///< Its inventory record is persisted, so the next leader finds it.
  bool inventory_write_pending = false;  ///< Its inventory record is being written.
  bool gone = false;            ///< Returned or preempted. The record stays because indices refer to it.
  bool being_returned = false;  ///< Its return to the cloud has been requested.
  bool draining = false;        ///< It accepts no new tasks, and is returned when idle.
  Seconds first_seen_at = 0;
  Seconds rented_at = 0;
  Seconds idle_since = 0;                ///< 0 while it is busy.
  std::optional<Seconds> preemption_at;  ///< When it will be preempted, from the spot preemption notice.

  // ---- incarnation and lease (see allocation.hpp)
  bool has_incarnation = false;   ///< Its worker is up: there was a heartbeat, and its lease has not expired.
  bool fenced = false;            ///< No command of an earlier leader can take effect any more.
  std::uint64_t incarnation = 0;  ///< The newest incarnation known, which may be over.
  std::uint64_t sequence = 0;     ///< Sequence number of the newest heartbeat of this incarnation.
  bool tasks_listed = false;      ///< A heartbeat of this incarnation has been processed.
  Seconds lease_expires_at = 0;   ///< When the lease as granted by this controller has certainly expired.
  Seconds last_contact_at = kNeverContacted;  ///< When the last heartbeat or reply to a direct call arrived.
  Seconds last_heartbeat_at =
      kNeverContacted;  ///< When the last heartbeat arrived that the worker sent on its own.

  // ---- liveness
  bool unreachable = false;               ///< It did not answer the last direct call.
  int unknown_token_reports = 0;          ///< Successive messages with a token that no leader has held.
  bool heartbeat_expected = false;        ///< Counted among the machines of its zone that send heartbeats.
  Seconds next_check_at = ports::kNever;  ///< Time of the next check in the CheckSchedule.
  CommandDelivery delivery;

  // ---- tasks
  std::vector<Allocation> allocations;
  wire::Resources used;          ///< Used by allocations with a job, or reserved for tasks that migrate here.
  int stray_instance_count = 0;  ///< Number of stray instances on it; their resources are not known.
  std::vector<std::pair<ImageIndex, Seconds>> images;  ///< Presumed content of its cache, with last use.

  // ---- health
  Seconds avoid_until = 0;            ///< It gets no new tasks before this time.
  std::vector<JobIndex> failed_jobs;  ///< Jobs that failed on it since the last success.
  Seconds quarantined_until = 0;      ///< It is presumed faulty until then.
  unsigned quarantines = 0;           ///< How often it has been quarantined since the last success.
  double observed_slowdown = 1;       ///< Run times on it relative to the jobs' mean run times.
  int slowdown_samples = 0;           ///< Number of run times in observed_slowdown.
  double slowdown = 1;                ///< observed_slowdown, but 1 until there are enough samples.

  // ---- written by other classes: PlacementIndex, UnreconciledMachines
  IndexPosition index_position;
  UnreconciledAccount unreconciled;

  /// Whether its worker follows a token that no leader has held, so that it accepts no commands.
  bool refuses_commands() const {
    constexpr int kReportsThatProve = 3;  // a single one may be a corrupted message
    return unknown_token_reports >= kReportsThatProve;
  }
  /// Whether it is presumed faulty now.
  bool is_quarantined(Seconds now) const {
    return now < quarantined_until;
  }
  /// Whether any allocation occupies the machine.
  bool busy() const {
    return std::any_of(allocations.begin(), allocations.end(),
                       [](const Allocation& allocation) { return allocation.occupies_machine; });
  }
  /// Whether the image is presumed to be in the machine's cache.
  bool has_image(ImageIndex image) const {
    return std::any_of(images.begin(), images.end(),
                       [image](const auto& cached) { return cached.first == image; });
  }
  /// Whether the machine's free capacity is sufficient for `need`.
  bool fits(const wire::Resources& need) const {
    wire::Resources total = used;
    add_resources(total, need, 1);
    return is_within(total, {cpus, gpus, memory_gb});
  }
};

}  // namespace wingtrail::workers
