/// \file
/// Scaling of the fleet: renting machines, and returning those that are lost, faulty or not needed.
#pragma once

#include <map>
#include <vector>

#include "autoscaling/machine_listing.hpp"
#include "autoscaling/pool_capacity.hpp"
#include "autoscaling/rental_requests.hpp"
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

/// Acts only while this controller is the leader. References given to the constructor must outlive it.
class Autoscaler {
 public:
  using LeadershipView = autoscaling::LeadershipView;
  Autoscaler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
             workers::WorkerManager& workers, scheduling::Scheduler& scheduler, LeadershipView leadership);

  void begin_leadership();
  void end_leadership();
  void set_catalog(std::vector<wire::MachineType> catalog);
  const std::vector<wire::MachineType>& catalog() const {
    return catalog_.types();
  }
  /// Lists, rents and returns what is due.
  void tick();
  /// Cores that could be requested at once, in pools that have not refused lately.
  double rentable_cores() const;
  Seconds typical_boot_s() const {
    return catalog_.typical_boot_s();
  }
  std::uint64_t machines_rented() const {
    return rentals_.machines_rented();
  }
  std::uint64_t machines_returned() const {
    return returns_.returned();
  }

 private:
  void update_capacity();
  void classify_machine(const Machine& machine);
  void scale_out();
  void scale_out_for_job(const jobs::Job& job);
  // Requests machines for that many tasks in the cheapest pool that the job may use; false: there is none.
  bool request_for_job(const jobs::Job& job, double tasks);
  // Returns how many cores could not even be requested.
  double request_cores(bool spot, double cores, const char* reason, ZoneIndex zone = jobs::kNoIndex);
  void scale_out_restricted_jobs();
  double spare_share() const;
  void request_machines(const Pool& pool, int count, const char* reason);
  void return_unhealthy();
  void scale_in();
  // Cores that are more than the load needs; negative: cores that are missing.
  struct Excess {
    double total = 0;
    double ordinary = 0;
  };
  // Replicas that may still begin to migrate now, and that are migrating or waiting for it.
  struct ReplicaMigrations {
    int allowed = 0;
    int max_in_progress = 0;
    int in_progress = 0;
  };
  void continue_draining(Excess& excess, ReplicaMigrations& migrations);
  std::vector<Machine*> emptiest_first();
  void remove_excess(Excess excess, ReplicaMigrations migrations);
  bool drain_one_replica(Machine& machine);  // false: none can migrate now
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
  // As of the last walk over the machines.
  std::vector<MachineIndex> draining_machines_, faulty_machines_, never_started_machines_;
  // By job that only some machines may run: when machines were last requested for it.
  std::map<JobIndex, Seconds> restricted_job_requested_at_;
  bool active_ = false;
  Seconds ticked_at_ = 0;
  Seconds trust_silence_after_ = 0;  // after a stall of this process heartbeats may lie unread
  Seconds next_scaling_at_ = 0;
  Seconds excess_since_ = 0;                            // 0: there is none
  double smooth_flexible_ = -1, smooth_ordinary_ = -1;  // cores, moving averages; negative: none yet
};

}  // namespace wingtrail::autoscaling
