/// @file
/// Hawk's reservations: for each machine a queue of short jobs that wait for capacity on it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::scheduling {

/// The queues of reservations of all machines. A reservation names the job, not a task: which task starts is
/// decided when the machine has free capacity (late binding). Reservations of jobs that have no pending tasks
/// left are dropped when their machine's queue is served.
class ReservationQueues {
 public:
  /// Up to `tasks` tasks of the job may start from this reservation.
  struct Reservation {
    jobs::JobIndex job;
    std::uint32_t tasks;
  };
  using JobPredicate = std::function<bool(jobs::JobIndex)>;

  /// Drops all reservations.
  void clear();
  /// Adds a reservation for `tasks` of the job's tasks at the end of the machine's queue.
  void add(jobs::MachineIndex machine, jobs::JobIndex job, std::uint32_t tasks);
  /// Number of tasks that the job has reservations for, on all machines.
  std::uint32_t reserved_tasks(jobs::JobIndex job) const;
  /// The machine's queue, oldest reservation first.
  const std::vector<Reservation>& queue(jobs::MachineIndex machine);
  /// Drops the machine's reservations of jobs for which `is_obsolete` holds.
  void drop_obsolete(jobs::MachineIndex machine, const JobPredicate& is_obsolete);
  /// Takes one task off the reservation at `position` of the machine's queue, for a task that was started.
  void consume_task(jobs::MachineIndex machine, std::size_t position);
  /// Drops the reservations of a machine that is gone.
  void drop_machine(jobs::MachineIndex machine);
  /// Drops the count of reserved tasks of a job that is done or cancelled.
  void remove_job(jobs::JobIndex job);
  /// Samples up to `attempts` machines with reservations and moves the first reservation for which
  /// `can_start` holds to the queue of `thief`. Returns false if none was found.
  bool steal(jobs::MachineIndex thief, int attempts, pcg32& rng, const JobPredicate& can_start);

 private:
  std::vector<Reservation>& queue_of(jobs::MachineIndex machine);
  void list_machine(jobs::MachineIndex machine);
  void subtract_reserved(jobs::JobIndex job, std::uint32_t tasks);

  std::vector<std::vector<Reservation>> queues_;  ///< by machine
  /// All machines with reservations, and possibly machines whose queue has become empty; `steal`
  /// removes these.
  std::vector<jobs::MachineIndex> machines_with_queue_;
  std::vector<bool> is_listed_;  ///< by machine: whether machines_with_queue_ lists it
  std::unordered_map<jobs::JobIndex, std::uint32_t> reserved_;  ///< tasks with reservations, by job
};

}  // namespace wingtrail::scheduling
