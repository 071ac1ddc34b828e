/// @file
/// Scaling of the cluster: rents machines, and returns those that are lost, faulty or not needed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "autoscaling/machine_listing.hpp"
#include "autoscaling/pool_capacity.hpp"
#include "autoscaling/rental_requests.hpp"
#include "autoscaling/room_plan.hpp"
#include "scheduling/scheduler.hpp"
#include "wire/cloud_messages.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::autoscaling {

using jobs::JobIndex;
using jobs::kNoIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::ZoneIndex;
using ports::Seconds;
using workers::Machine;

/// Scales the cluster out and in by the demand forecast. Acts only while this controller is the leader.
/// References given to the constructor must outlive it.
class Autoscaler {
 public:
  using LeadershipView = autoscaling::LeadershipView;
  Autoscaler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
             workers::WorkerManager& workers, scheduling::Scheduler& scheduler, LeadershipView leadership);

  /// Starts scaling; discards the state of an earlier leadership.
  void begin_leadership();
  /// Stops scaling; later replies of the cloud are ignored.
  void end_leadership();
  /// Sets the machine types that the cloud offers.
  void set_catalog(std::vector<wire::MachineType> catalog);
  const std::vector<wire::MachineType>& catalog() const {
    return catalog_.types();
  }
  /// Reads the cloud's list, rents and returns machines, each when it is due.
  void tick();
  /// Cores of one largest request to each pool that is available; see RentalRequests::is_unavailable().
  double rentable_cores() const;
  /// Boot time in seconds of the machine type that boots fastest.
  Seconds typical_boot_s() const {
    return catalog_.typical_boot_s();
  }
  /// Machines rented since the start of the process.
  std::uint64_t machines_rented() const {
    return rentals_.machines_rented();
  }
  /// Machines returned since the start of the process.
  std::uint64_t machines_returned() const {
    return returns_.returned();
  }

 private:
  void update_capacity();
  void classify_machine(const Machine& machine);
  void scale_out();
  void scale_out_for_job(const jobs::Job& job);
  // Requests machines for `tasks` tasks of the job in the cheapest pool that it may use; returns false if no
  // pool can be used now.
  bool request_for_job(const jobs::Job& job, double tasks);
  // Requests machines of the pool for that many tasks of the job, at least one.
  void request_for_tasks(const jobs::Job& job, const Pool& pool, double tasks, const char* reason);
  // Requests machines with `missing` cores in total, in the given zone or in all zones. Returns the number of
  // cores for which no pool was left to request them in.
  double request_cores(bool spot, double missing, const char* reason, ZoneIndex zone = jobs::kNoIndex);
  void scale_out_restricted_jobs();
  void scale_out_for_room();
  bool waits_for_machine(const jobs::Job& job) const;
  std::vector<const jobs::Job*> jobs_waiting_for_machines() const;
  wire::Resources room_of(const Machine& machine) const;
  RoomPlan plan_of_rented_machines() const;
  bool may_run_on(const jobs::Job& job, const MachineRoom& room) const;
  bool plan_task(const jobs::Job& job, RoomPlan& plan, std::map<Pool, int>& to_request);
  void use_again(MachineIndex index);
  // The cheapest pool that is available and whose machines the job may use.
  std::optional<Pool> cheapest_pool(const jobs::Job& job) const;
  double spare_share() const;
  void request_machines(const Pool& pool, int count, const char* reason);
  void return_unhealthy();
  void scale_in();
  // Cores in excess of what the load needs; negative if cores are missing.
  struct Excess {
    double total = 0;
    double ordinary = 0;
  };
  // Limits on the migrations of replicas from draining machines.
  struct ReplicaMigrations {
    int allowed = 0;          // replicas that may still begin to migrate in this tick
    int max_in_progress = 0;  // limit of in_progress
    int in_progress = 0;      // replicas on draining machines
  };
  void continue_draining(Excess& excess, ReplicaMigrations& migrations);
  std::vector<Machine*> emptiest_first();
  void remove_excess(Excess excess, ReplicaMigrations migrations);
  // Returns false if no replica can migrate now.
  bool drain_one_replica(Machine& machine);
  int replica_count(const Machine& machine);
  bool counts_as_capacity(const Machine& machine) const;
  bool zone_unreachable(ZoneIndex zone) const {
    return workers_.zones().is_unreachable(zone, out_.now());
  }
  bool zone_abandoned(ZoneIndex zone) const;
  double retained_share(ZoneIndex zone);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::JobRegistry& registry_;
  workers::WorkerManager& workers_;
  scheduling::Scheduler& scheduler_;
  LeadershipView leadership_;
  MachineCatalog catalog_;
  CloudCallBudget cloud_calls_;
  RentalRequests rentals_;
  MachineReturns returns_;
  MachineListing listing_;
  PoolCapacity capacity_;
  // As of the last `update_capacity`.
  std::vector<MachineIndex> draining_machines_, faulty_machines_, refusing_machines_, never_started_machines_;
  // Formerly draining machines on which waiting tasks are to be placed, as of the last `scale_out_for_room`.
  std::set<MachineIndex> machines_used_again_;
  // When machines were last requested for a job that only some machine types or zones may run.
  std::map<JobIndex, Seconds> restricted_job_requested_at_;
  bool active_ = false;
  Seconds last_tick_at_ = 0;
  // After a stall of this process heartbeats may be unread in its sockets, so that machines
  // seem unresponsive.
  Seconds ignore_timeouts_until_ = 0;
  Seconds next_scaling_at_ = 0;
  Seconds excess_since_ = 0;                            // 0: no excess
  double smooth_flexible_ = -1, smooth_ordinary_ = -1;  // cores, smoothed demand; negative: none yet
};

}  // namespace wingtrail::autoscaling
