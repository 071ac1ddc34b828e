// Hawk, as far as it decides where tasks go: reservations with late binding and stealing for short tasks,
// least-waiting placement for long ones, and a partition that long tasks may not use. docs/design.md tells
// what was changed and why.
#pragma once

#include <array>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "balancing/load_snapshot.hpp"
#include "balancing/migrations.hpp"
#include "balancing/speed_estimator.hpp"
#include "filters/filter.hpp"
#include "scheduling/demand_forecast.hpp"
#include "scheduling/run_time_estimates.hpp"
#include "scheduling/service_objectives.hpp"
#include "scheduling/zone_loss.hpp"
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

class Scheduler {
 public:
  Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
            workers::WorkerManager& agents, std::function<std::uint64_t()> token, std::uint64_t seed);
  void set_catalog(const std::vector<wire::MachineType>& catalog);
  void clear();

  void on_job_ready(Job& job);             // it has tasks to place
  void enqueue(Job& job);                  // the same, to be placed with the next pass
  void on_capacity_available(Machine& m);  // something ended on the machine, or it is new
  void on_machine_gone(Machine& m);
  void on_job_over(const Job& job);
  void on_task_exited(Machine& m, const Allocation& slot);
  void run_pass();  // what no event brings about: retries, lost reservations, preemption

  // Whether `a` is served before `b`.
  bool precedes(const Job& a, const Job& b) const;
  bool is_long(const Job& job) const;
  double estimated_run_time(const Job& job) const;  // the owner's, corrected by what was seen of the class
  Seconds expected_duration(
      const Job& job) const;  // from when it may start until it is over, if it finds room at once
  /// What machines the work needs; read by the autoscaler.
  DemandForecast& demand_forecast() {
    return demand_forecast_;
  }
  using ZoneLossImpact = scheduling::ZoneLossImpact;
  ZoneLossImpact zone_loss_impact(ZoneIndex zone) const;
  bool balancing_enabled() const {
    return balancing_enabled_;
  }  // the spread is on, and room may stand idle
  // Moves a running task to another machine where it can go on sooner; false: there is none, or the budget is
  // used up.
  bool migrate(Machine& from, Allocation& slot, balancing::MigrationCause cause);
  const balancing::Migrations& migrations() const {
    return migrations_;
  }
  std::size_t slow_machines() const {
    return slow_machines_;
  }
  void record_arrival(const Job& job);  // it is new to the service
  // Whether another machine with the job's image could take a task over from this one.
  bool can_migrate(const Job& job, const Machine& from);
  const filters::FilterChain& filters() const {
    return filters_;
  }
  const balancing::LoadSnapshot& load() const {
    return load_;
  }
  // Jobs with tasks that wait for a machine.
  const std::vector<JobIndex>& waiting_jobs() const {
    return waiting_jobs_;
  }
  // How many machines and jobs were looked at, for what was started; to show that neither grows with the
  // fleet.
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
  struct Reservation {
    JobIndex job;
    std::uint32_t tasks;
  };
  struct PreemptionPlan {  // what a task could be started behind
    Machine* machine = nullptr;
    double cost = 0;
    std::vector<std::size_t> victims;
  };
  bool has_startable_task(const Job& job) const;
  bool can_start_on(const Machine& m, const Job& job, bool ignore_room = false) const;
  bool within_guarantee(const Job& job) const;
  bool gang_fits(const Job& job);
  bool fails_everywhere(const Job& job) const;
  void reserve(Job& job, std::uint32_t tasks);
  void cancel_reservation(JobIndex job, std::uint32_t tasks);
  Job* first_long(const Machine& m);
  // Whether the array has waited so long to begin that its first task goes before the order of aims.
  bool is_overdue(const Job& job) const;
  Job* first_overdue(const Machine& m);
  void start_overdue_jobs();
  void start_task(Machine& m, Job& job);
  bool serve_next(Machine& m);
  void serve_queue(Machine& m);
  bool steal(Machine& m);
  void place_long(Job& job);
  void place_short(Job& job);
  // The machine where the job could begin soonest, of some that have its image and some others.
  Machine* least_waiting(const Job& job, bool cached_only = false);
  Machine* least_crowded(const Job& job);
  double crowding(const Machine& m, const Job& job) const;
  Seconds fetch_s(MachineTypeIndex type, const Job& job) const;
  static bool zone_allows_migration(ZoneIndex zone, const Job& job, const Machine& from);
  void update_waiting_load();
  std::optional<RunTimeEstimates::TypicalRunTime> typical_run_time(const Job& job) const;
  void update_machine_speeds();
  void plan_migrations();
  Machine* migration_target(const Job& job, const Machine& from);
  bool finish_migration(const balancing::Migration& move);
  void abandon_migration(const balancing::Migration& move);
  bool fast_enough(const Machine& m, const Job& job) const;
  double waiting_jobs(const Machine& m, const Job& job) const;
  double spot_risk_s(const Machine& m, const Job& job) const;
  // `saves_s`: the wait that it is to spare the task; nothing: there is no other way.
  // `guests`: only what another cell handed on gives way.
  bool preempt_for_job(Job& job, std::optional<double> saves_s, bool guests = false);
  void consider_preempting(const PlacementIndex::Group& group, const Job& job, double most_lost_s,
                           bool guests, PreemptionPlan& best);
  bool stop_loses_nothing(const Allocation& slot) const;
  void reclaim_guarantees();
  std::size_t reclaim_from(Job& victim, Job& job);
  void update_short_partition();

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
  std::vector<std::vector<Reservation>> queues_;   // by machine
  std::vector<MachineIndex> machines_with_queue_;  // machines with reservations, and some without
  std::vector<bool> has_queue_;
  std::unordered_map<JobIndex, std::uint32_t> reserved_;  // by job
  std::vector<JobIndex> waiting_jobs_;                    // jobs with tasks to place
  std::vector<bool> is_waiting_;                          // by job
  std::vector<JobIndex> long_jobs_;     // of these the long ones, in the order as of the last pass
  std::vector<JobIndex> overdue_jobs_;  // of these the ones that must begin, those that wait longest first
  bool zones_unstable_ = false;         // a zone is lost or on its way back, as of this pass
  Seconds last_second_ = 0;
  // Preemptions sought in vain in this pass, by priority: arrays that find nothing lower to stop must not use
  // up what services may try (on busy days of roamkvitto-core-fleet they did, and services fetched instead).
  std::array<int, 4> failed_preemptions_{};
  std::uint64_t machines_examined_ = 0, jobs_examined_ = 0, tasks_started_ = 0, tasks_preempted_ = 0,
                tasks_reclaimed_ = 0;
};

}  // namespace wingtrail::scheduling
