// The machines: renting, noticing those that are lost, returning those that are not needed or not sound.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduling/scheduler.hpp"
#include "store/state_client.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::autoscaling {

using jobs::JobIndex;
using jobs::kNoIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::ZoneIndex;
using ports::Seconds;
using workers::Machine;

class Autoscaler {
 public:
  struct LeadershipView {
    std::function<std::uint64_t()> fencing_token;
    std::function<bool()> may_act;
    std::function<Seconds()> lease_expires_at;
  };
  Autoscaler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
             workers::WorkerManager& agents, scheduling::Scheduler& scheduler, LeadershipView link);

  void begin_leadership();
  void end_leadership();
  void set_catalog(std::vector<wire::MachineType> catalog);
  const std::vector<wire::MachineType>& catalog() const {
    return catalog_;
  }
  void tick();
  // Cores that could be asked for at once, as far as the cloud has refused nothing lately.
  double rentable_cores() const;
  Seconds typical_boot_s() const;
  std::uint64_t machines_rented() const {
    return machines_rented_;
  }
  std::uint64_t machines_returned() const {
    return machines_returned_;
  }

 private:
  struct Pool {  // where machines can be had
    MachineTypeIndex type;
    ZoneIndex zone;
    bool spot;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for a pointer.
    auto operator<=>(const Pool&) const = default;
  };
  struct RentalRequest {
    std::string name;
    Pool pool;
    int count;
    bool in_flight = false;
    Seconds retry_at = 0;
    Seconds asked_at = 0;
  };
  struct Listing {
    bool listed = false;
    Seconds missing_since = 0;
    wire::ListedMachine::State state = wire::ListedMachine::State::booting;
  };
  // What there is of a pool that is, or will soon be, of use to new work; hires under way included.
  struct PoolStock {
    double cores = 0;
    int machines = 0;
  };
  bool take_cloud_call(bool urgent);
  void list_machines(const std::string& after);
  void on_list_page(const wire::MachineList& page, const std::string& after);
  void on_list_complete();
  void update_stock();
  void scale_out();
  void scale_out_for_job(const jobs::Job& job);
  bool request_for_job(const jobs::Job& job, double tasks);
  double request_cores(bool spot, double cores, const char* why, ZoneIndex zone = jobs::kNoIndex);
  void scale_out_restricted_jobs();
  bool recently_refused(const Pool& pool) const;
  double spare_cores() const;
  const wire::MachineType* machine_type(MachineTypeIndex type) const;
  void request_machines(const Pool& pool, int count, const char* why);
  void send_rental_request(RentalRequest& hire);
  void schedule_return(const std::vector<MachineIndex>& machines, const char* why);
  void send_returns();
  void watch_health();
  void scale_in();
  bool drain_one_replica(Machine& m);  // false: none can move now
  int replica_count(const Machine& m);
  double price(const Pool& pool) const;
  double available_cores(bool spot) const;
  std::vector<std::vector<Pool>> pools(bool spot) const;
  bool counts_as_capacity(const Machine& m) const;
  bool zone_unreachable(ZoneIndex zone) const {
    return workers_.zones().is_unreachable(zone, out_.now());
  }
  bool zone_abandoned(ZoneIndex zone) const;
  double retained_cores(ZoneIndex zone);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::JobRegistry& registry_;
  workers::WorkerManager& workers_;
  scheduling::Scheduler& scheduler_;
  LeadershipView leadership_;
  std::vector<wire::MachineType> catalog_;
  std::vector<wire::MachineType> type_by_index_;  // the same by type index; no cores: unknown
  std::map<Pool, PoolStock> stock_;               // as of the last reckoning, and what was asked for since
  double largest_machine_cores_ = 0;              // cores of the largest machine
  std::vector<double>
      free_ordinary_cores_by_zone_;  // by zone, of ordinary machines that services may use, booting ones too
  std::vector<MachineIndex> draining_machines_, faulty_machines_, never_reported_;
  std::map<Pool, Seconds> refused_until_;
  std::vector<RentalRequest> rental_requests_;
  std::map<JobIndex, Seconds>
      restricted_job_requested_at_;  // by job that only some machines may run: when some were last asked for
  std::map<MachineIndex, Listing> listings_;
  std::set<MachineIndex> seen_in_list_;
  std::set<MachineIndex> to_return_;
  store::TokenBucket cloud_calls_;
  bool active_ = false, listing_ = false, returning_ = false;
  Seconds ticked_at_ = 0, judge_after_ = 0;
  Seconds next_list_at_ = 0, next_scale_out_at_ = 0, excess_since_ = 0;
  double smooth_flexible_ = -1, smooth_ordinary_ = -1;
  std::uint64_t counter_ = 0, term_ = 0, machines_rented_ = 0, machines_returned_ = 0;
};

}  // namespace wingtrail::autoscaling
