/// \file
/// Hawk's reservations: tasks of short jobs that wait, by machine.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::scheduling {

/// A reservation names the job, not a task: which task starts is decided when the machine has capacity (late
/// binding). Reservations of jobs that are over are dropped when their machine's queue is served.
class ReservationQueues {
 public:
  struct Reservation {
    jobs::JobIndex job;
    std::uint32_t tasks;
  };
  using JobPredicate = std::function<bool(jobs::JobIndex)>;

  void clear();
  /// Queues a reservation for that many of the job's tasks.
  void add(jobs::MachineIndex machine, jobs::JobIndex job, std::uint32_t tasks);
  /// Tasks that the job has reservations for, on all machines.
  std::uint32_t reserved_tasks(jobs::JobIndex job) const;
  /// The machine's queue, those that came first at the front.
  const std::vector<Reservation>& queue(jobs::MachineIndex machine);
  /// Drops the machine's reservations of jobs for which `is_over` holds.
  void drop_obsolete(jobs::MachineIndex machine, const JobPredicate& is_over);
  /// A task was started from the reservation at `position` of the machine's queue.
  void consume_task(jobs::MachineIndex machine, std::size_t position);
  void drop_machine(jobs::MachineIndex machine);
  void remove_job(jobs::JobIndex job);
  /// Looks at up to `attempts` machines with reservations, drawn from `rng`, and moves the first reservation
  /// for which `can_start` holds to the thief's queue; false: there is none.
  bool steal(jobs::MachineIndex thief, int attempts, pcg32& rng, const JobPredicate& can_start);

 private:
  std::vector<Reservation>& queue_of(jobs::MachineIndex machine);
  void list_machine(jobs::MachineIndex machine);
  void subtract_reserved(jobs::JobIndex job, std::uint32_t tasks);

  std::vector<std::vector<Reservation>> queues_;  ///< by machine
  /// Machines with reservations, and some whose queue has become empty since; `is_listed_` by machine.
  std::vector<jobs::MachineIndex> machines_with_queue_;
  std::vector<bool> is_listed_;
  std::unordered_map<jobs::JobIndex, std::uint32_t> reserved_;
};

}  // namespace wingtrail::scheduling
