/// @file
/// Placement of tasks as in the Hawk paper (hybrid scheduling by estimated run time): reservations with late
/// binding and stealing for short tasks, least-waiting placement for long ones, and a short partition that
/// long tasks may not use. docs/design.md explains where the scheduler differs from the paper.
#pragma once

#include <array>
#include <pcg_random.hpp>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancing/load_snapshot.hpp"
#include "balancing/migrations.hpp"
#include "balancing/speed_estimator.hpp"
#include "filters/filter_chain.hpp"
#include "scheduling/demand_forecast.hpp"
#include "scheduling/reservation_queues.hpp"
#include "scheduling/run_time_estimates.hpp"
#include "scheduling/service_objectives.hpp"
#include "scheduling/zone_loss.hpp"
#include "wire/cloud_messages.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::scheduling {

using jobs::ClassIndex;
using jobs::Job;
using jobs::JobIndex;
using jobs::kNoIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::TeamIndex;
using jobs::ZoneIndex;
using ports::Seconds;
using workers::Allocation;
using workers::Machine;
using workers::PlacementIndex;

/// Places the tasks of waiting jobs on machines. Owns the run-time estimates, the estimates of machine
/// speeds, the reservations and the migrations in progress. References given to the constructor must
/// outlive it.
class Scheduler {
 public:
  /// `token` returns the current fencing token. `seed` seeds the random sampling of machines.
  Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
            workers::WorkerManager& workers, std::function<std::uint64_t()> token, std::uint64_t seed);
  /// Sets the machine types that the cloud offers, with their fetch rates.
  void set_catalog(const std::vector<wire::MachineType>& catalog);
  /// Discards the state of all jobs and machines, at the beginning and the end of a leadership.
  void clear();

  /// Places the job's pending tasks at once, or makes reservations for them.
  void on_job_ready(Job& job);
  /// Adds the job to the waiting jobs, whose tasks are placed in the next pass.
  void enqueue(Job& job);
  /// Starts tasks on a machine that is new or on which a task has ended.
  void on_capacity_available(Machine& machine);
  /// Drops the machine's reservations and the migrations to it.
  void on_machine_gone(Machine& machine);
  /// Removes a job that is done or cancelled from the reservations, and learns from its run times.
  void on_job_over(const Job& job);
  /// Handles the end of a task: learns from its run time, or backs off after a failure, and finishes the
  /// task's migration if there is one.
  void on_task_exited(Machine& machine, const Allocation& allocation);
  /// Runs the periodic work: retries, renewal of lost reservations, preemption, migration. Called every tick.
  void run_pass();

  /// Whether `a` is served before `b`.
  bool precedes(const Job& a, const Job& b) const;
  /// Whether the job is scheduled as a long one; see RunTimeEstimates::is_long.
  bool is_long(const Job& job) const;
  /// The owner's estimate in seconds, corrected by the ratio observed in the job's class.
  double estimated_run_time(const Job& job) const;
  /// Seconds from when the job may start until it is done, if it finds free machines at once: its estimated
  /// run time and its image fetch on the slowest machine type.
  Seconds expected_duration(const Job& job) const;
  /// The demand for machines, which the autoscaler reads.
  DemandForecast& demand_forecast() {
    return demand_forecast_;
  }
  using ZoneLossImpact = scheduling::ZoneLossImpact;
  /// What the loss of the zone would take. Visits all jobs and machines.
  ZoneLossImpact zone_loss_impact(ZoneIndex zone) const;
  /// Whether load balancing is enabled and the cluster has guaranteed capacity, part of which may be idle.
  bool balancing_enabled() const {
    return balancing_enabled_;
  }
  /// Begins to migrate a running task to another machine. Returns false if no machine can take it, if the
  /// task must not migrate now, or if too many migrations are in progress.
  bool migrate(Machine& from, Allocation& allocation, balancing::MigrationCause cause);
  const balancing::Migrations& migrations() const {
    return migrations_;
  }
  /// Number of machines that are slow, as of the last update.
  std::size_t slow_machines() const {
    return slow_machines_;
  }
  /// Counts a newly submitted job in the rates of arrival.
  void record_arrival(const Job& job);
  /// Whether another machine that has the job's image has free capacity for a task that runs on `from`.
  bool can_migrate(const Job& job, const Machine& from);
  const filters::FilterChain& filters() const {
    return filters_;
  }
  const balancing::LoadSnapshot& load() const {
    return load_;
  }
  /// Jobs with pending tasks.
  const std::vector<JobIndex>& waiting_jobs() const {
    return waiting_jobs_;
  }
  /// Machines and jobs examined so far. Divided by the tasks started, neither may grow with the number
  /// of machines.
  std::uint64_t machines_examined() const {
    return machines_examined_;
  }
  std::uint64_t jobs_examined() const {
    return jobs_examined_;
  }
  std::uint64_t tasks_started() const {
    return tasks_started_;
  }
  /// Tasks stopped in favour of jobs of higher priority, or of the cell's own jobs.
  std::uint64_t tasks_preempted() const {
    return tasks_preempted_;
  }
  /// Tasks stopped in favour of jobs within their team's guarantee.
  std::uint64_t tasks_reclaimed() const {
    return tasks_reclaimed_;
  }

 private:
  /// A machine on which a task could start once the tasks listed in `victims` are stopped.
  struct PreemptionPlan {
    Machine* machine = nullptr;        // null: none found
    double cost = 0;                   // seconds, with the weights of consider_preempting
    std::vector<std::size_t> victims;  // positions in the machine's allocations
  };
  void on_task_completed(Machine& machine, Job& job, const Allocation& allocation);
  void on_task_failed(Machine& machine, Job& job);
  void quarantine(Machine& machine);
  // No longer counts the job's failures against the machines on which it failed.
  void withdraw_evidence(const Job& job);
  void record_own_waiting_work();
  std::vector<Job*> classify_waiting_jobs();
  void place_long_jobs();
  void place_short_jobs(std::vector<Job*> short_jobs);
  bool has_startable_task(const Job& job) const;
  bool can_start_on(const Machine& machine, const Job& job, bool ignore_capacity = false) const;
  std::string_view refusal(const Machine& machine, const Job& job, bool ignore_capacity = false) const;
  const Job* longest_waiting_for_room() const;
  void report_longest_wait();
  bool within_guarantee(const Job& job) const;
  bool exceeds_guarantee(const Job& job) const;
  bool gang_fits(const Job& job);
  bool fails_everywhere(const Job& job) const;
  std::unordered_map<MachineIndex, std::uint32_t> sample_machines(const Job& job, std::uint32_t probes);
  void reserve(Job& job, std::uint32_t tasks);
  Job* first_long(const Machine& machine);
  // Whether the job array has waited so long for its first task that the task is placed ahead of the order
  // of job_order.cpp.
  bool is_overdue(const Job& job) const;
  Job* first_overdue(const Machine& machine);
  void start_overdue_jobs();
  void start_task(Machine& machine, Job& job);
  bool serve_next(Machine& machine);
  void serve_queue(Machine& machine);
  bool steal(const Machine& thief);
  void place_long(Job& job);
  void place_short(Job& job);
  // The machine with the shortest start delay for the job, of some that have its image and some others; null
  // if the job can start on none of them. `cached_only`: only machines that have the image.
  Machine* least_waiting(const Job& job, bool cached_only = false);
  // The machine with the lowest service_placement_cost of those examined; null if none can take the service.
  Machine* least_crowded(const Job& job);
  double service_placement_cost(const Machine& machine, const Job& job) const;
  Seconds fetch_s(MachineTypeIndex type, const Job& job) const;
  static bool zone_allows_migration(ZoneIndex zone, const Job& job, const Machine& from);
  void update_waiting_load();
  std::optional<RunTimeEstimates::TypicalRunTime> typical_run_time(const Job& job) const;
  void update_machine_speeds();
  void plan_migrations();
  Machine* migration_target(const Job& job, const Machine& from);
  bool finish_migration(const balancing::Migration& migration);
  void abandon_migration(const balancing::Migration& migration);
  bool fast_enough(const Machine& machine, const Job& job) const;
  double start_delay_s(const Machine& machine, const Job& job) const;
  double spot_risk_s(const Machine& machine, const Job& job) const;
  // `saves_s`: the wait in seconds that the preemption saves; empty if the task cannot start on any machine
  // without preemption. `other_cells_only`: only tasks of foreign jobs are stopped.
  bool preempt_for_job(Job& job, std::optional<double> saves_s, bool other_cells_only = false);
  void consider_preempting(const PlacementIndex::Group& group, const Job& job, double most_lost_s,
                           bool other_cells_only, PreemptionPlan& best);
  bool can_restart_in_time(const Allocation& allocation) const;
  void reclaim_guarantees();
  std::size_t reclaim_from(Job& victim, Job& job);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::JobRegistry& registry_;
  workers::WorkerManager& workers_;
  bool balancing_enabled_;
  RunTimeEstimates estimates_;
  ServiceObjectives objectives_;
  balancing::LoadSnapshot load_;
  balancing::SpeedEstimator speeds_;
  balancing::Migrations migrations_;
  std::size_t slow_machines_ = 0;
  filters::FilterChain filters_;
  DemandForecast demand_forecast_;
  pcg32 rng_;
  std::vector<wire::MachineType> catalog_;
  ReservationQueues reservations_;
  std::vector<JobIndex> waiting_jobs_;  // jobs with pending tasks
  std::vector<bool> is_waiting_;        // by job: whether waiting_jobs_ lists it
  std::vector<JobIndex> long_jobs_;     // the long ones of waiting_jobs_, in the order of the last pass
  std::vector<JobIndex> overdue_jobs_;  // the overdue ones of waiting_jobs_, longest wait first
  bool zones_unstable_ = false;         // a zone is lost or recovering, as of this pass
  Seconds last_update_at_ = 0;          // when the work that is due once a second was last done
  Seconds next_wait_report_at_ = 0;     // when report_longest_wait() may log again
  // Failed searches for a preemption in this pass, by priority. They are counted separately so that job
  // arrays that find nothing of lower priority to stop do not use up the searches of services.
  std::array<int, 4> failed_preemptions_{};
  std::uint64_t machines_examined_ = 0, jobs_examined_ = 0, tasks_started_ = 0, tasks_preempted_ = 0,
                tasks_reclaimed_ = 0;
};

}  // namespace wingtrail::scheduling
