/// \file
/// A machine as the leader knows it.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_registry.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"
#include "workers/allocation.hpp"

namespace wingtrail::workers {

using jobs::ImageIndex;
using jobs::JobIndex;
using jobs::kNoIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::PoolIndex;
using jobs::ZoneIndex;
using ports::Seconds;

/// Whether a machine does its work: judged by the failures and run times of its tasks.
enum class Health : std::uint8_t { healthy, suspect, unhealthy };

/// The state of the direct calls to a worker.
struct CommandDelivery {
  bool call_in_flight = false;
  bool has_new_commands = false;  ///< There is a command that has never been sent.
  bool queued = false;            ///< The machine is in a command queue.
  Seconds retry_at = 0;           ///< No call before this time: the last one failed.
  Seconds last_sent_at = 0;       ///< When commands or our token last went out, by call or in a reply.
  Seconds last_call_at = 0;       ///< When the last direct call was sent.
  int failed_calls = 0;           ///< Calls without an answer since the last contact.
  Seconds unanswered_since = ports::kNever;  ///< When the first of these was sent.
};

/// Where the PlacementIndex holds a machine. Only the index writes it, except `stale`.
struct IndexPosition {
  bool stale = false;              ///< The machine has changed since.
  PoolIndex pool;                  ///< kNoIndex: it accepts no tasks.
  double free_cores = 0;           ///< Its free cores then.
  std::vector<ImageIndex> images;  ///< Its images then.
};

/// What UnreconciledMachines has counted of a machine, to subtract it again. Only that class writes it.
struct UnreconciledAccount {
  bool counted = false;           ///< Counted as a machine that may hold tasks this leader does not know.
  bool counted_unfenced = false;  ///< Counted in its group as not fenced.
  double cpus = 0, gpus = 0;      ///< Capacity as counted.
};

/// A machine that the leader knows. Times are those of this node's clock, in seconds.
struct Machine {
  // ---- identity and capacity
  MachineIndex index = kNoIndex;  ///< Position in WorkerManager::machines().
  std::string host;               ///< Its unique name.
  std::string address;            ///< Where the worker accepts commands; empty: not known yet.
  MachineTypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  bool short_only = false;                   ///< In Hawk's partition for short tasks; refuses long ones.
  double cpus = 0, gpus = 0, memory_gb = 0;  ///< Capacity; 0: its type is not in the catalog yet.

  // ---- life of the machine
  bool in_inventory = false;             ///< In the persisted inventory, where the next leader finds it.
  bool inventory_write_pending = false;  ///< Its inventory record is being written.
  bool gone = false;                     ///< Returned or preempted. The entry stays, as indices refer to it.
  bool being_returned = false;           ///< Its return to the cloud is requested.
  bool draining = false;                 ///< It gets no new tasks, and is returned when idle.
  Seconds first_seen_at = 0;
  Seconds rented_at = 0;
  Seconds idle_since = 0;                ///< 0: it is busy.
  std::optional<Seconds> preemption_at;  ///< When the cloud has announced to take it.

  // ---- incarnation and lease (see allocation.hpp)
  bool has_incarnation = false;   ///< Its worker is up: it has reported, and its lease has not run out since.
  bool fenced = false;            ///< No command of an earlier leader can take effect any more.
  std::uint64_t incarnation = 0;  ///< The newest one known, over or not.
  std::uint64_t sequence = 0;     ///< Of the newest heartbeat of this incarnation.
  Seconds lease_expires_at = 0;   ///< No lease that this node granted lasts longer.
  Seconds last_contact_at = -1e9;    ///< The last heartbeat or answered command.
  Seconds last_heartbeat_at = -1e9;  ///< The last heartbeat that the worker sent by itself.

  // ---- liveness
  bool unreachable = false;               ///< It did not answer the last direct call.
  bool expected_to_report = false;        ///< Counted among those of its zone that send heartbeats.
  Seconds next_check_at = ports::kNever;  ///< When its next deadline is due.
  CommandDelivery delivery;

  // ---- tasks
  std::vector<Allocation> allocations;
  wire::Resources used;         ///< By allocations with a job, and reserved for tasks that move here.
  int unsized_allocations = 0;  ///< Allocations that occupy it with unknown resources: stray instances.
  std::vector<std::pair<ImageIndex, Seconds>> images;  ///< In its cache as far as known, with the last use.

  // ---- health
  Health health = Health::healthy;
  Seconds avoid_until = 0;            ///< It gets no new tasks before.
  std::vector<JobIndex> failed_jobs;  ///< Jobs that failed on it since the last success.
  double observed_slowdown = 1;       ///< Run times here relative to the jobs' means.
  int slowdown_samples = 0;           ///< Number of run times in it.
  double slowdown = 1;                ///< The same, 1 until there are enough samples.

  // ---- bookkeeping of other classes
  IndexPosition index_position;
  UnreconciledAccount unreconciled;

  /// Whether any allocation occupies it.
  bool busy() const {
    return std::any_of(allocations.begin(), allocations.end(),
                       [](const Allocation& allocation) { return allocation.occupies_machine; });
  }
  /// Whether the image is in its cache, as far as known.
  bool has_image(ImageIndex image) const {
    return std::any_of(images.begin(), images.end(),
                       [image](const auto& cached) { return cached.first == image; });
  }
  /// Whether that much is free.
  bool fits(const wire::Resources& need) const {
    constexpr double kRoundingTolerance = 1e-6;
    return used.cpus + need.cpus <= cpus + kRoundingTolerance &&
           used.gpus + need.gpus <= gpus + kRoundingTolerance &&
           used.memory_gb + need.memory_gb <= memory_gb + kRoundingTolerance;
  }
};

}  // namespace wingtrail::workers
