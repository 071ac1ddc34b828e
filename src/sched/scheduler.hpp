// Hawk, as far as it decides where tasks go: reservations with late binding and stealing for short tasks,
// least-waiting placement for long ones, and a partition that long tasks may not use. docs/design.md tells
// what was changed and why.
#pragma once

#include <array>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

#include "agents/agents.hpp"
#include "gates/gate.hpp"
#include "spread/moves.hpp"
#include "spread/picture.hpp"
#include "spread/speed.hpp"

namespace wingtrail::sched {

using agents::Index;
using agents::Machine;
using agents::Slot;
using jobs::Ix;
using jobs::Job;
using ports::Seconds;

class Scheduler {
 public:
  Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::Registry& registry,
            agents::Agents& agents, std::function<std::uint64_t()> token, std::uint64_t seed);
  void set_catalog(const std::vector<wire::MachineType>& catalog);
  void clear();

  void arrived(Job& job);  // it has tasks to place
  void waits(Job& job);    // the same, to be placed with the next pass
  void room(Machine& m);   // something ended on the machine, or it is new
  void gone(Machine& m);
  void over(const Job& job);
  void exited(Machine& m, const Slot& slot);
  void pass();  // what no event brings about: retries, lost reservations, preemption

  // Whether `a` is served before `b`.
  bool before(const Job& a, const Job& b) const;
  bool is_long(const Job& job) const;
  double estimate(const Job& job) const;  // the owner's, corrected by what was seen of the class
  Seconds span(const Job& job) const;     // from when it may start until it is over, if it finds room at once
  // Cores in use, and those that waiting work needs beside them to be in time: for work that is better off on
  // ordinary machines, and for work that may use spot machines. `waiting` is all that waits.
  struct Demand {
    double ordinary = 0, flexible = 0, waiting_ordinary = 0, waiting_flexible = 0;
    std::size_t replicas = 0;  // that are placed
  };
  Demand demand(Seconds boot_s);
  // What the loss of a zone takes, and what can be made good elsewhere; walks over all jobs and machines.
  struct Loss {
    std::size_t services = 0, none_left = 0;  // that lose replicas; that have none left then
    double cores = 0;                         // in use there
    double elsewhere = 0;                     // of these, what may run in zones within reach
    double room = 0;                          // free there now
  };
  Loss loss_of(Ix zone);
  // The part of its waiting tasks for which the job needs room of its own to be in time.
  double pressing(const Job& job, Seconds boot_s) const;
  bool roomy() const {
    return roomy_;
  }  // the spread is on, and room may stand idle
  // Moves a running task to another machine where it can go on sooner; false: there is none, or the budget is
  // used up.
  bool move(Machine& from, Slot& slot, spread::Cause cause);
  const spread::Moves& moves() const {
    return moves_;
  }
  std::size_t slow_machines() const {
    return slow_machines_;
  }
  void offered(const Job& job);  // it is new to the service
  // Whether another machine with the job's image could take a task over from this one.
  bool could_move(const Job& job, const Machine& from);
  const gates::Gates& gates() const {
    return gates_;
  }
  const spread::Picture& picture() const {
    return picture_;
  }
  // Jobs with tasks that wait for a machine.
  const std::vector<Ix>& waiting() const {
    return waiting_;
  }
  // How many machines and jobs were looked at, for what was started; to show that neither grows with the
  // fleet.
  std::uint64_t machines_examined() const {
    return machines_examined_;
  }
  std::uint64_t jobs_examined() const {
    return jobs_examined_;
  }
  std::uint64_t started() const {
    return started_;
  }
  std::uint64_t preempted() const {
    return preempted_;
  }
  std::uint64_t reclaimed() const {
    return reclaimed_;
  }

 private:
  struct Reservation {
    Ix job;
    std::uint32_t tasks;
  };
  struct Preemption {  // what a task could be started behind
    Machine* where = nullptr;
    double cost = 0;
    std::vector<std::size_t> victims;
  };
  bool startable(const Job& job) const;
  bool can_start(const Machine& m, const Job& job, bool ignore_room = false) const;
  bool under_guarantee(const Job& job) const;
  // How many more of the job's tasks zones within reach may take, if it has so many tasks to start;
  // `without`: a zone that counts as out of reach, with what it holds gone.
  std::uint32_t bearable(const Job& job, std::uint32_t wanted, Ix without = jobs::kNone) const;
  bool gang_fits(const Job& job);
  bool fails_everywhere(const Job& job) const;
  void reserve(Job& job, std::uint32_t tasks);
  void cancel_reservation(Ix job, std::uint32_t tasks);
  Job* first_long(const Machine& m);
  // Whether the array has waited so long to begin that its first task goes before the order of aims.
  bool must_begin(const Job& job) const;
  Job* first_overdue(const Machine& m);
  void begin_overdue();
  // By when a job should be over: so long after its times began, or that many times its own deadline.
  struct Aim {
    enum class Kind : std::uint8_t { finished, deadline, wait } kind;
    double value;
  };
  const std::vector<Aim>& aims(Ix job_class) const;
  Seconds by(const Job& job, const Aim& aim) const;
  // By its class's aims, by what needs it, or, without any of these, by its own deadline.
  template <typename F>
  void each_due(const Job& job, F f) const {
    bool any = false;
    for (const Aim& aim : aims(job.job_class)) {
      const Seconds at = by(job, aim);
      if (at != ports::kNever)
        f(at), any = true;
    }
    if (job.latest != ports::kNever)
      f(job.latest), any = true;
    if (!any && job.spec.deadline_s)
      f(job.submitted + *job.spec.deadline_s);
  }
  Seconds due(const Job& job, Seconds later) const;
  int lateness(const Job& job, Seconds later = 0) const;
  double work_left(const Job& job) const;
  double price_of_aims(const Job& job) const;
  void start(Machine& m, Job& job);
  bool serve_once(Machine& m);
  void serve(Machine& m);
  bool steal(Machine& m);
  void place_long(Job& job);
  void place_short(Job& job);
  // The machine where the job could begin soonest, of some that have its image and some others.
  Machine* least_waiting(const Job& job, bool cached_only = false);
  Machine* least_crowded(const Job& job);
  double crowding(const Machine& m, const Job& job) const;
  bool in_time(const Job& job, Seconds fetch) const;
  Seconds wait_aim(const Job& job) const;
  Seconds fetch_s(Ix type, const Job& job) const;
  static bool zone_bears_move(Ix zone, const Job& job, const Machine& from);
  void look_at_waiting();
  struct Usual {
    double run_s, unsure;  // `unsure`: of its logarithm, as a standard deviation
  };
  std::optional<Usual> usual(const Job& job) const;
  void watch_speeds();
  void plan_moves();
  Machine* target(const Job& job, const Machine& from);
  bool land(const spread::Move& move);
  void give_up(const spread::Move& move);
  bool fast_enough(const Machine& m, const Job& job) const;
  double waiting(const Machine& m, const Job& job) const;
  double spot_risk_s(const Machine& m, const Job& job) const;
  bool flexible(const Job& job) const;
  // `saves_s`: the wait that it is to spare the task; nothing: there is no other way.
  // `guests`: only what another cell handed on gives way.
  bool preempt_for(Job& job, std::optional<double> saves_s, bool guests = false);
  void consider_preempting(const Index::Group& group, const Job& job, double most_lost_s, bool guests,
                           Preemption& best);
  bool harmless(const Slot& slot) const;
  void reclaim_guarantees();
  std::size_t reclaim_from(Job& victim, Job& job);
  void partition();

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::Registry& registry_;
  agents::Agents& agents_;
  bool roomy_;
  spread::Picture picture_;
  spread::Speeds speeds_;
  spread::Moves moves_;
  std::size_t slow_machines_ = 0;
  double estimates_off_ = 1;  // variance of the logarithm of jobs' run times against their estimates
  gates::Gates gates_;
  pcg32 rng_;
  std::vector<wire::MachineType> catalog_;
  std::vector<std::vector<Reservation>> queues_;  // by machine
  std::vector<Ix> queued_;                        // machines with reservations, and some without
  std::vector<bool> in_queued_;
  std::unordered_map<Ix, std::uint32_t> reserved_;  // by job
  std::vector<Ix> waiting_;                         // jobs with tasks to place
  std::vector<bool> in_waiting_;                    // by job
  std::vector<Ix> long_;     // of these the long ones, in the order as of the last pass
  std::vector<Ix> overdue_;  // of these the ones that must begin, those that wait longest first
  struct ClassStats {
    double ratio = 1;
    int samples = 0;
  };
  std::vector<ClassStats> classes_;
  mutable std::vector<std::optional<std::vector<Aim>>> aims_;  // by class
  std::unordered_map<Ix, std::pair<double, int>> job_times_;   // mean run time of a job's completed tasks
  bool restless_ = false;  // a zone is lost or on its way back, as of this pass
  double offered_ = 0;     // cores that flexible work would keep busy at the rate at which it has been coming
  Seconds offered_at_ = 0;
  Seconds last_second_ = 0;
  // Preemptions sought in vain in this pass, by priority: arrays that find nothing lower to stop must not use
  // up what services may try (on busy days of roamkvitto-core-fleet they did, and services fetched instead).
  std::array<int, 4> vain_{};
  std::uint64_t machines_examined_ = 0, jobs_examined_ = 0, started_ = 0, preempted_ = 0, reclaimed_ = 0;
};

}  // namespace wingtrail::sched
