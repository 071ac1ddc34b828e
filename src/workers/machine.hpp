// A machine as the leader knows it, and the tasks on it.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job_registry.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::workers {

using jobs::ImageIndex;
using jobs::JobIndex;
using jobs::kNoIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::PoolIndex;
using jobs::ZoneIndex;
using ports::Seconds;

// A task on a machine. From the moment its start may have left this node until a report proves it gone, it
// occupies its machine, its team's quota and its job's zones.
struct Allocation {
  enum class Phase : std::uint8_t { ordered, fetching, running, saving, exited };
  JobIndex job;  // kNoIndex: a task of a job that is over or was never known
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string name;  // as the worker calls it
  Phase phase = Phase::ordered;
  wire::ExitCause cause = wire::ExitCause::none;
  wire::Resources resources;
  Seconds ordered_at = 0, running_since = 0;
  bool stop_requested = false;  // wanted
  double grace_s = 0;
  bool start_call_in_flight = false;  // a start of this attempt is under way
  // A start of this attempt went out in the answer to a report. The worker acts on it before it sends its
  // next report, or drops it: then no copy is left.
  Seconds start_in_reply_until = 0;
  // That start may have been acted on: only the worker's next report can deny it, however late that comes.
  bool start_unproven = false;
  // A start of this attempt got no answer, so a copy may still arrive. It is harmless as long as the worker
  // knows the attempt, so the attempt must not be forgotten (PROTOCOL: after `reap` a repeated start starts
  // it again).
  bool late_start_possible = false;
  bool end_persisted = false;    // its end is persisted
  bool occupies_machine = true;  // it still occupies its machine
  bool adopted = false;          // found running, so its run time is not known here
  bool belongs_to(const std::string& ref) const {
    return name.size() > ref.size() && name[ref.size()] == '/' && name.compare(0, ref.size(), ref) == 0;
  }
  // Ends the moment its stop arrives, so a start behind that stop in the same message finds the room.
  bool stops_immediately() const {
    return stop_requested && grace_s == 0;
  }
  // Whether a start of it may still reach the worker.
  bool start_in_flight(Seconds now) const {
    return start_call_in_flight || late_start_possible || now < start_in_reply_until;
  }
  // Whether it is certain that no start of it has left, or ever arrived.
  bool certainly_not_started(Seconds now) const {
    return phase == Phase::ordered && !start_unproven && !start_in_flight(now);
  }
};

enum class Health : std::uint8_t { healthy, suspect, unhealthy };

struct Machine {
  MachineIndex index = kNoIndex;
  std::string host, address;
  MachineTypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  bool in_inventory = false, inventory_write_pending = false;  // in the persisted roster
  bool has_incarnation = false;                                // a session is known
  bool fenced = false;  // it knows our token, so no earlier leader's order can take effect any more
  bool gone = false;
  bool being_returned = false, draining = false;
  bool short_only = false;  // Hawk: of the partition that refuses long tasks
  std::uint64_t incarnation = 0, sequence = 0;
  Seconds first_seen_at = 0, last_contact_at = -1e9, last_heartbeat_at = -1e9, lease_expires_at = 0,
          rented_at = 0, idle_since = 0;
  std::optional<Seconds> preemption_at;
  std::vector<Allocation> allocations;
  double cpus = 0, gpus = 0, memory_gb = 0;            // of the machine
  wire::Resources used;                                // by counted slots, and kept for tasks that move here
  int unsized_allocations = 0;                         // counted slots whose needs are not known
  std::vector<std::pair<ImageIndex, Seconds>> images;  // seen here, with the last use
  // direct orders
  bool call_in_flight = false, unreachable = false;
  bool has_new_commands = false;  // it has yet to be told something for the first time
  bool queued_for_call = false;   // it waits for its turn to be called
  Seconds retry_at = 0, last_push_at = 0;
  int failed_calls = 0;                      // calls without an answer since it was last heard of
  Seconds last_call_at = 0;                  // when the last call was sent
  Seconds unanswered_since = ports::kNever;  // when the first of those failures was sent
  bool expected_to_report = false;           // it counts among those of its zone that should report
  Seconds next_check_at = ports::kNever;     // when its next deadline is looked at
  // health
  Health health = Health::healthy;
  Seconds avoid_until = 0;
  std::vector<JobIndex> failed_jobs;  // since the last success
  double observed_slowdown = 1;       // observed run time against its jobs' mean
  int slowdown_samples = 0;
  double slowdown = 1;  // how many times as long tasks take, once the evidence is beyond doubt
  // how the index holds it
  bool index_stale = false;
  PoolIndex pool;  // kNoIndex: it takes no work
  double indexed_free = 0;
  std::vector<ImageIndex> indexed_images;
  // counted among those that may hold what nobody knows of, as of this size
  bool unreconciled = false, counted_unfenced = false;
  double unreconciled_cpus = 0, unreconciled_gpus = 0;

  bool busy() const {
    return std::any_of(allocations.begin(), allocations.end(),
                       [](const Allocation& s) { return s.occupies_machine; });
  }
  bool has_image(ImageIndex image) const {
    for (const auto& i : images) {
      if (i.first == image)
        return true;
    }
    return false;
  }
  bool fits(const wire::Resources& n) const {
    constexpr double eps = 1e-6;
    return used.cpus + n.cpus <= cpus + eps && used.gpus + n.gpus <= gpus + eps &&
           used.memory_gb + n.memory_gb <= memory_gb + eps;
  }
};

}  // namespace wingtrail::workers
