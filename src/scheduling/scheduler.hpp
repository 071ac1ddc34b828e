/// \file
/// Hawk's placement of tasks: reservations with late binding and stealing for short tasks, least-waiting
/// placement for long ones, and a partition that long tasks may not use. docs/design.md explains the changes.
#pragma once

#include <array>
#include <pcg_random.hpp>
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

/// Places the tasks of waiting jobs on machines. Owns what is learned for that: run times, machine speeds,
/// reservations, migrations. References given to the constructor must outlive it.
class Scheduler {
 public:
  /// `token`: the current fencing token. `seed`: of the random draws of machines.
  Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
            workers::WorkerManager& workers, std::function<std::uint64_t()> token, std::uint64_t seed);
  void set_catalog(const std::vector<wire::MachineType>& catalog);
  /// Forgets everything about jobs and machines, at the begin and end of a leadership.
  void clear();

  /// The job has tasks to place: places or reserves for them at once.
  void on_job_ready(Job& job);
  /// The same, to be placed in the next pass.
  void enqueue(Job& job);
  /// A task has ended on the machine, or it is new.
  void on_capacity_available(Machine& machine);
  void on_machine_gone(Machine& machine);
  void on_job_over(const Job& job);
  void on_task_exited(Machine& machine, const Allocation& allocation);
  /// Does what no event triggers: retries, lost reservations, preemption, migration. Called every tick.
  void run_pass();

  /// Whether `a` is served before `b`.
  bool precedes(const Job& a, const Job& b) const;
  bool is_long(const Job& job) const;
  /// Seconds: the owner's estimate, corrected by the ratio observed in the job's class.
  double estimated_run_time(const Job& job) const;
  /// From when the job may start until it is over, if it finds free machines at once.
  Seconds expected_duration(const Job& job) const;
  /// The demand for machines; read by the autoscaler.
  DemandForecast& demand_forecast() {
    return demand_forecast_;
  }
  using ZoneLossImpact = scheduling::ZoneLossImpact;
  /// Walks over all jobs and machines.
  ZoneLossImpact zone_loss_impact(ZoneIndex zone) const;
  /// Load balancing is on, and guaranteed capacity may be idle.
  bool balancing_enabled() const {
    return balancing_enabled_;
  }
  /// Begins to migrate a running task to another machine where it can continue sooner; false: there is none,
  /// or too many migrations are in progress.
  bool migrate(Machine& from, Allocation& allocation, balancing::MigrationCause cause);
  const balancing::Migrations& migrations() const {
    return migrations_;
  }
  std::size_t slow_machines() const {
    return slow_machines_;
  }
  /// The job is new to the service.
  void record_arrival(const Job& job);
  /// Whether another machine with the job's image could take a task over from this one.
  bool can_migrate(const Job& job, const Machine& from);
  const filters::FilterChain& filters() const {
    return filters_;
  }
  const balancing::LoadSnapshot& load() const {
    return load_;
  }
  /// Jobs with tasks that wait for a machine.
  const std::vector<JobIndex>& waiting_jobs() const {
    return waiting_jobs_;
  }
  /// Machines and jobs examined so far, to compare with the tasks started: neither may grow with the fleet.
  std::uint64_t machines_examined() const {
    return machines_examined_;
  }
  std::uint64_t jobs_examined() const {
    return jobs_examined_;
  }
  std::uint64_t tasks_started() const {
    return tasks_started_;
  }
  std::uint64_t tasks_preempted() const {
    return tasks_preempted_;
  }
  std::uint64_t tasks_reclaimed() const {
    return tasks_reclaimed_;
  }

 private:
  /// The machine on which a task could start once its victims, positions of allocations, are stopped.
  struct PreemptionPlan {
    Machine* machine = nullptr;
    double cost = 0;
    std::vector<std::size_t> victims;
  };
  void on_task_completed(Machine& machine, Job& job, const Allocation& allocation);
  void on_task_failed(Machine& machine, Job& job);
  void record_own_waiting_work();
  std::vector<Job*> classify_waiting_jobs();
  void place_long_jobs();
  void place_short_jobs(std::vector<Job*> short_jobs);
  bool has_startable_task(const Job& job) const;
  bool can_start_on(const Machine& machine, const Job& job, bool ignore_capacity = false) const;
  bool within_guarantee(const Job& job) const;
  bool gang_fits(const Job& job);
  bool fails_everywhere(const Job& job) const;
  std::unordered_map<MachineIndex, std::uint32_t> sample_machines(const Job& job, std::uint32_t probes);
  void reserve(Job& job, std::uint32_t tasks);
  Job* first_long(const Machine& machine);
  // Whether the array has waited so long to begin that its first task goes before the order by cost.
  bool is_overdue(const Job& job) const;
  Job* first_overdue(const Machine& machine);
  void start_overdue_jobs();
  void start_task(Machine& machine, Job& job);
  bool serve_next(Machine& machine);
  void serve_queue(Machine& machine);
  bool steal(const Machine& thief);
  void place_long(Job& job);
  void place_short(Job& job);
  // The machine where the job could begin soonest, of some that have its image and some others; null: none.
  Machine* least_waiting(const Job& job, bool cached_only = false);
  // The machine with the least share of services, for a service; null: none.
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
  // Seconds until a task of the job could begin on the machine.
  double start_delay_s(const Machine& machine, const Job& job) const;
  double spot_risk_s(const Machine& machine, const Job& job) const;
  // `saves_s`: the wait in seconds that the preemption saves; nothing: the task can start nowhere else.
  // `other_cells_only`: only tasks of jobs offloaded from other cells are stopped.
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
  std::vector<JobIndex> waiting_jobs_;  // jobs with tasks to place
  std::vector<bool> is_waiting_;        // by job
  std::vector<JobIndex> long_jobs_;     // of these the long ones, in the order of the last pass
  std::vector<JobIndex> overdue_jobs_;  // of these the overdue ones, those that wait longest first
  bool zones_unstable_ = false;         // a zone is lost or on its way back, as of this pass
  Seconds last_update_at_ = 0;
  // Failed searches for a preemption in this pass, by priority: arrays that find nothing of lower priority to
  // stop must not use up the searches of services.
  std::array<int, 4> failed_preemptions_{};
  std::uint64_t machines_examined_ = 0, jobs_examined_ = 0, tasks_started_ = 0, tasks_preempted_ = 0,
                tasks_reclaimed_ = 0;
};

}  // namespace wingtrail::scheduling
