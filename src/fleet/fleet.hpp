// The machines: renting, noticing those that are lost, returning those that are not needed or not sound.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agents/agents.hpp"
#include "sched/scheduler.hpp"
#include "store/client.hpp"

namespace wingtrail::fleet {

using agents::Machine;
using jobs::Ix;
using ports::Seconds;

class Fleet {
 public:
  struct Link {
    std::function<std::uint64_t()> token;
    std::function<bool()> entitled;
    std::function<Seconds()> authority_until;
  };
  Fleet(ports::Outbox& out, const settings::Settings& settings, jobs::Registry& registry,
        agents::Agents& agents, sched::Scheduler& scheduler, Link link);

  void begin();
  void end();
  void set_catalog(std::vector<wire::MachineType> catalog);
  const std::vector<wire::MachineType>& catalog() const {
    return catalog_;
  }
  void tick();
  // Cores that could be asked for at once, as far as the cloud has refused nothing lately.
  double rentable() const;
  Seconds boot_s() const;
  std::uint64_t hired() const {
    return hired_;
  }
  std::uint64_t returned() const {
    return returned_;
  }

 private:
  struct Pool {  // where machines can be had
    Ix type, zone;
    bool spot;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for a pointer.
    auto operator<=>(const Pool&) const = default;
  };
  struct Hire {
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
  struct Stock {
    double cores = 0;
    int machines = 0;
  };
  bool take_call(bool urgent);
  void list_machines(const std::string& after);
  void listed(const wire::MachineList& page, const std::string& after);
  void finish_list();
  void reckon();
  void rent();
  void rent_for(const jobs::Job& job);
  bool ask_for(const jobs::Job& job, double tasks);
  double fill(bool spot, double cores, const char* why, Ix zone = jobs::kNone);
  void rent_where_only();
  bool refused(const Pool& pool) const;
  double spare() const;
  const wire::MachineType* type(Ix type) const;
  void ask(const Pool& pool, int count, const char* why);
  void send(Hire& hire);
  void give_back(const std::vector<Ix>& machines, const char* why);
  void send_returns();
  void watch_health();
  void shed();
  bool move_replica(Machine& m);  // false: none can move now
  int replicas(const Machine& m);
  double price(const Pool& pool) const;
  double cores(bool spot) const;
  std::vector<std::vector<Pool>> pools(bool spot) const;
  bool counts(const Machine& m) const;
  bool cut(Ix zone) const {
    return agents_.zones().cut(zone, out_.now());
  }
  bool given_up(Ix zone) const;
  double stays(Ix zone);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::Registry& registry_;
  agents::Agents& agents_;
  sched::Scheduler& scheduler_;
  Link link_;
  std::vector<wire::MachineType> catalog_;
  std::vector<wire::MachineType> types_;  // the same by type index; no cores: unknown
  std::map<Pool, Stock> stock_;           // as of the last reckoning, and what was asked for since
  double largest_ = 0;                    // cores of the largest machine
  std::vector<double> free_;  // by zone, of ordinary machines that services may use, booting ones too
  std::vector<Ix> draining_, faulty_, unborn_;
  std::map<Pool, Seconds> refused_until_;
  std::vector<Hire> hires_;
  std::map<Ix, Seconds> tied_asked_;  // by job that only some machines may run: when some were last asked for
  std::map<Ix, Listing> listings_;
  std::set<Ix> seen_in_list_;
  std::set<Ix> to_return_;
  store::Bucket calls_;
  bool active_ = false, listing_ = false, returning_ = false;
  Seconds ticked_at_ = 0, judge_after_ = 0;
  Seconds list_at_ = 0, rent_at_ = 0, excess_since_ = 0;
  double smooth_flexible_ = -1, smooth_ordinary_ = -1;
  std::uint64_t counter_ = 0, term_ = 0, hired_ = 0, returned_ = 0;
};

}  // namespace wingtrail::fleet
