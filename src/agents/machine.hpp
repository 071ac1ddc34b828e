// A machine as the leader knows it, and the tasks on it.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "jobs/registry.hpp"
#include "wire/messages.hpp"

namespace wingtrail::agents {

using jobs::Ix;
using jobs::kNone;
using ports::Seconds;

// A task on a machine. From the moment its start may have left this node until a report proves it gone, it
// occupies its machine, its team's quota and its job's zones.
struct Slot {
  enum class Phase : std::uint8_t { ordered, fetching, running, saving, exited };
  Ix job = kNone;  // kNone: a task of a job that is over or was never known
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string name;  // as the worker calls it
  Phase phase = Phase::ordered;
  wire::Cause cause = wire::Cause::none;
  wire::Resources need;
  Seconds ordered_at = 0, running_since = 0;
  bool stop = false;  // wanted
  double grace_s = 0;
  bool in_flight = false;  // a start of this attempt is under way
  // A start of this attempt went out in the answer to a report. The worker acts on it before it sends its
  // next report, or drops it: then no copy is left.
  Seconds in_answer_until = 0;
  // That start may have been acted on: only the worker's next report can deny it, however late that comes.
  bool unproven = false;
  // A start of this attempt got no answer, so a copy may still arrive. It is harmless as long as the worker
  // knows the attempt, so the attempt must not be forgotten (PROTOCOL: after `reap` a repeated start starts
  // it again).
  bool late_copy = false;
  bool forget = false;   // its end is persisted
  bool counted = true;   // it still occupies its machine
  bool adopted = false;  // found running, so its run time is not known here
  bool of(const std::string& ref) const {
    return name.size() > ref.size() && name[ref.size()] == '/' && name.compare(0, ref.size(), ref) == 0;
  }
  // Ends the moment its stop arrives, so a start behind that stop in the same message finds the room.
  bool ends_at_once() const {
    return stop && grace_s == 0;
  }
  // Whether a start of it may still reach the worker.
  bool start_under_way(Seconds now) const {
    return in_flight || late_copy || now < in_answer_until;
  }
  // Whether it is certain that no start of it has left, or ever arrived.
  bool never_there(Seconds now) const {
    return phase == Phase::ordered && !unproven && !start_under_way(now);
  }
};

enum class Health : std::uint8_t { good, doubtful, bad };

struct Machine {
  Ix ix = kNone;
  std::string host, addr;
  Ix type = kNone, zone = kNone;
  bool spot = false;
  bool enlisted = false, enlisting = false;  // in the persisted roster
  bool reporting = false;                    // a session is known
  bool settled = false;  // it knows our token, so no earlier leader's order can take effect any more
  bool gone = false;
  bool returning = false, draining = false;
  bool short_only = false;  // Hawk: of the partition that refuses long tasks
  std::uint64_t session = 0, seq = 0;
  Seconds first_seen = 0, last_contact = -1e9, beat_at = -1e9, lease_until = 0, hired_at = 0, idle_since = 0;
  std::optional<Seconds> reclaim_at;
  std::vector<Slot> slots;
  double cpus = 0, gpus = 0, memory_gb = 0;    // of the machine
  wire::Resources used;                        // by counted slots, and kept for tasks that move here
  int unknown = 0;                             // counted slots whose needs are not known
  std::vector<std::pair<Ix, Seconds>> images;  // seen here, with the last use
  // direct orders
  bool in_flight = false, unreachable = false;
  bool news = false;   // it has yet to be told something for the first time
  bool dirty = false;  // it waits for its turn to be called
  Seconds retry_at = 0, pushed_at = 0;
  int failures = 0;                          // calls without an answer since it was last heard of
  Seconds called_at = 0;                     // when the last call was sent
  Seconds unanswered_since = ports::kNever;  // when the first of those failures was sent
  bool expected = false;                     // it counts among those of its zone that should report
  Seconds check_at = ports::kNever;          // when its next deadline is looked at
  // health
  Health health = Health::good;
  Seconds doubt_until = 0;
  std::vector<Ix> failed_jobs;  // since the last success
  double slowness = 1;          // observed run time against its jobs' mean
  int slow_samples = 0;
  double slow = 1;  // how many times as long tasks take, once the evidence is beyond doubt
  // how the index holds it
  bool stale = false;
  Ix pool = kNone;  // kNone: it takes no work
  double indexed_free = 0;
  std::vector<Ix> indexed_images;
  // counted among those that may hold what nobody knows of, as of this size
  bool in_doubt = false, counted_unsettled = false;
  double doubt_cpus = 0, doubt_gpus = 0;

  bool busy() const {
    return std::any_of(slots.begin(), slots.end(), [](const Slot& s) { return s.counted; });
  }
  bool has_image(Ix image) const {
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

}  // namespace wingtrail::agents
