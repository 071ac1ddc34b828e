// The workers as the leader knows them: their sessions, what is on them, and the orders under way to them.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"
#include "jobs/state_writer.hpp"
#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/worker_messages.hpp"
#include "workers/machine.hpp"
#include "workers/placement_index.hpp"
#include "zones/zone_tracker.hpp"

namespace wingtrail::workers {

using jobs::ImageIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::TeamIndex;
using jobs::ZoneIndex;

class WorkerManager {
 public:
  struct Events {
    std::function<void(Machine&)> on_available;                       // can take work
    std::function<void(Machine&)> on_capacity_freed;                  // something ended on it
    std::function<void(Machine&)> on_machine_gone;                    // it and all that was on it
    std::function<void(Machine&, const Allocation&)> on_task_exited;  // a copy; its cause tells how
    std::function<void()> on_superseded;                              // a worker knows a newer token
  };
  struct LeadershipView {
    std::function<std::uint64_t()> fencing_token;
    std::function<Seconds()> lease_expires_at;
    // When a lease is over that this node renewed so that it ends at the time given: others may have renewed
    // it.
    std::function<Seconds(Seconds)> worker_lease_expiry;
    // Whether attempts may say that this leadership tells no cancellation before its tasks are gone.
    std::function<bool()> strict_cancellations;
  };
  // Machines that may hold tasks this leader does not know of: not settled, or with unknown tasks.
  struct UnreconciledGroup {
    MachineTypeIndex type;
    ZoneIndex zone;
    bool spot = false;
    int unfenced = 0;
  };
  WorkerManager(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                jobs::StateWriter& ledger, LeadershipView link, Events events);

  // ---- leadership
  void begin_leadership();
  void end_leadership();
  void set_catalog(const std::vector<wire::MachineType>& catalog);

  Machine& add_from_inventory(const wire::Value& record);
  Machine& add_machine(const std::string& host, const std::string& addr, const std::string& type,
                       const std::string& zone, bool spot);
  Machine* find(const std::string& host);
  Machine& machine_at(MachineIndex ix) {
    return machines_[ix];
  }
  const std::deque<Machine>& machines() const {
    return machines_;
  }
  // Those that are not gone; for what is done once a second at most.
  const std::vector<MachineIndex>& live_machines() const {
    return live_machines_;
  }
  const std::set<MachineIndex>& silent_machines() const {
    return silent_machines_;
  }

  /// Whether the answer to a report may hold orders. A leader past its authority answers without any.
  enum class CommandsInReply : std::uint8_t { allowed, withheld };
  /// Takes in a report. Returns the answer's body, or nothing if the report must not be answered: the
  /// leadership is over, the machine is gone, or the report is of a session that is.
  std::optional<wire::Value> handle_heartbeat(const wire::Heartbeat& report,
                                              CommandsInReply orders_in_answer = CommandsInReply::allowed);
  bool start_task(Machine& m, jobs::Job& job, std::uint32_t task);
  void stop_task(Machine& m, Allocation& slot, double grace_s);
  // Keeps room for a task that moves here (sign 1), or gives it up (-1).
  void reserve_resources(Machine& m, const wire::Resources& need, double sign);
  void cancel_job(jobs::Job& job);
  // Ends of tasks that are persisted now: their workers need not report them any longer.
  void acknowledge_ends(const std::vector<jobs::StateWriter::CompletedTask>& ended);
  void mark_gone(Machine& m);
  void avoid_until(Machine& m, Seconds until);  // it takes nothing new before
  void mark_changed(Machine& m);                // something that decides whether, or for what, it takes work
  void flush_commands();                        // send the orders that have gathered
  void tick();
  const zones::ZoneTracker& zones() const {
    return zones_;
  }
  // When every lease of a zone out of reach is certainly over, if it is not heard before.
  Seconds zone_leases_expire_at(ZoneIndex zone) const {
    return leadership_.worker_lease_expiry(worker_lease_expiry(zones_.last_contact_at(zone)));
  }
  // A machine of which nothing is heard, while others of its zone are.
  bool lost_alone(const Machine& m) const {
    return zones_.machine_lost_alone(
        m.zone, m.address.empty() ? m.last_contact_at + silence_threshold() : m.unanswered_since);
  }
  Seconds silence_of(const Machine& m) const {
    return out_.now() - m.last_contact_at;
  }
  Seconds silence_threshold() const {
    return settings_.tunables.silent_heartbeats * settings_.heartbeat_interval_s;
  }
  wire::Value inventory_record(MachineIndex ix) const;  // for the roster
  void on_inventory_written(MachineIndex ix);

  // ---- what an earlier leader may have left
  // Whether every task it may have started is accounted for.
  bool reconciled() const {
    return unreconciled_count_ == 0;
  }
  const std::vector<UnreconciledGroup>& unreconciled_groups() const {
    return unreconciled_groups_;
  }
  // What tasks that are not known here can use at most; nothing if not even that is known.
  std::optional<wire::Resources> unreconciled_resources() const;

  // Whether a machine shows a task of the job beside those that are placed: one that can't be adopted there.
  bool has_stray_instance(const std::string& ref) const {
    return strays_.contains(ref);
  }
  // The same, of one task.
  bool has_stray_instance(const std::string& ref, std::uint32_t task) const;
  // Gives each pending task of a job that a machine shows its place there. For jobs whose record is read only
  // now; of the others no pending task is shown by any machine.
  void adopt_stray_instances(jobs::Job& job);

  const PlacementIndex& placement_index();  // up to date
  bool accepts_tasks(const Machine& m) const;
  // How often a spot machine is taken, per second of its time, as seen so far.
  double spot_preemption_rate() const {
    return (spot_lost_ + 1) / (spot_seconds_ + kSpotPriorSeconds);
  }
  void observe_spot_time(Seconds span);  // that much time has passed for all of them
  const wire::Resources& team_usage(TeamIndex team) const {
    return team_usage_[team];
  }
  std::uint64_t commands_sent() const {
    return commands_sent_;
  }
  std::uint64_t direct_calls() const {
    return direct_calls_;
  }
  std::uint64_t deadline_checks() const {
    return deadline_checks_;
  }
  std::uint64_t liveness_sweeps() const {
    return liveness_sweeps_;
  }  // alarms that asked every machine
  Seconds reconciled_after() const {
    return reconciled_after_;
  }  // since the take-over; 0: not yet

 private:
  // A machine that shows a task whose place is taken, or whose job is over or unknown.
  struct StrayInstance {
    MachineIndex machine;
    std::uint32_t task;
  };
  /// A report that the worker sent by itself, or the one in its answer to a direct command. Only the former
  /// shows that it has acted on the answer to the report before, or never will.
  enum class HeartbeatSource : std::uint8_t { worker, command_reply };
  void apply_heartbeat(Machine& m, const wire::Heartbeat& r, HeartbeatSource source);
  void note_contact(Machine& m, const wire::Heartbeat& r, HeartbeatSource source);
  bool reconcile_tasks(Machine& m, const wire::Heartbeat& r, HeartbeatSource source);
  static std::optional<std::size_t> find_allocation(const Machine& m, const wire::TaskStatus& t,
                                                    std::size_t known, std::size_t hint);
  void update_idle_since(Machine& m);
  bool notify_ended(Machine& m);
  void adopt_task(Machine& m, const wire::TaskStatus& t);
  void update_allocation(Machine& m, Allocation& s, const wire::TaskStatus& t);
  void release_allocation(Machine& m, Allocation& s);  // it no longer occupies anything
  // Whether the report tells more than what is known of its machine.
  static bool is_newer(const Machine& m, const wire::Heartbeat& r);
  void add_stray(Machine& m, const Allocation& s);
  void remove_stray(Machine& m, const Allocation& s);
  void stop_strays(const std::string& ref, std::optional<std::uint32_t> task = std::nullopt);
  Allocation* stray_on(MachineIndex machine, const std::string& ref, std::uint32_t task);
  // Whether the machine that has the task's place may show it there only because of an old report.
  bool placement_uncertain(const jobs::Task& task) const;
  void unplace_task(jobs::Job& job, std::uint32_t task, const Machine& m);
  bool adopt_stray_instances(jobs::Job& job, std::uint32_t task);
  void complete_task(Machine& m, Allocation& s, jobs::Job& job);
  void release_placement(jobs::Job& job, std::uint32_t task);
  void drop_allocation(Machine& m, std::size_t i);
  void end_incarnation(Machine& m);
  void touch_image(Machine& m, ImageIndex image);
  void mark_fenced(Machine& m);
  void update_unreconciled(Machine& m);  // whether it is in doubt
  void update_expected(Machine& m);      // whether it should report
  void schedule_zone_probe(ZoneIndex zone);
  bool lease_near_expiry(const Machine& m) const;
  UnreconciledGroup& unreconciled_group(const Machine& m);
  Seconds worker_lease_expiry(Seconds from) const;  // of a lease that starts then at the latest
  void check_machine(Machine& m);
  void check_lease(Machine& m);
  void probe_unreachable_zone(Machine& m);
  void resend_commands(Machine& m);
  bool may_probe(const Machine& m) const;
  void suspect_if_silent(Machine& m);
  void probe_if_late(Machine& m);
  void start_liveness_sweep();
  void continue_liveness_sweep();
  void schedule_check(Machine& m, Seconds at);
  void queue_call(Machine& m);
  int max_concurrent_calls() const;
  void prune(Machine& m);
  std::vector<wire::Command> build_commands(Machine& m, bool direct);
  void send_queued_commands(Machine& m);
  void send_direct(Machine& m, const std::vector<wire::Command>& list, std::vector<std::uint64_t> starts,
                   Seconds timeout);
  bool has_commands(const Machine& m) const;
  void on_commands_reply(MachineIndex ix, std::uint64_t session, const std::vector<std::uint64_t>& starts,
                         const ports::Reply& reply);
  void add_to_inventory(Machine& m);

  static constexpr Seconds kResendInterval = 1.0;  // until what had no answer is sent again
  static constexpr Seconds kSweepDuration = 3.0;   // see raise_alarm()
  static constexpr double kLateHeartbeatFactor =
      1.3;  // of the report interval; reports are up to a quarter late

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::JobRegistry& registry_;
  jobs::StateWriter& state_writer_;
  LeadershipView leadership_;
  Events events_;
  std::vector<wire::MachineType> catalog_;  // by type index; name empty: unknown
  std::deque<Machine> machines_;            // references stay valid as it grows
  std::vector<MachineIndex> live_machines_;
  std::set<MachineIndex> silent_machines_;
  std::unordered_map<std::string, MachineIndex> by_host_;
  PlacementIndex placement_index_;
  zones::ZoneTracker zones_;
  std::vector<Seconds> zone_probe_at_;  // by zone out of reach: when to ask one of its machines again
  std::vector<MachineIndex> index_stale_;
  std::deque<MachineIndex> command_queue_, token_queue_;  // machines to be called, those with orders first
  struct Deadline {
    Seconds at;
    MachineIndex ix;
    bool operator>(const Deadline& o) const {
      return at != o.at ? at > o.at : ix > o.ix;
    }
  };
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
  std::vector<Allocation> ended_allocations_;  // by the report being taken in
  std::vector<wire::Resources> team_usage_;
  std::vector<UnreconciledGroup> unreconciled_groups_;
  int unreconciled_count_ = 0, unsized_allocations_ = 0;
  std::unordered_map<std::string, std::vector<StrayInstance>> strays_;  // by the reference of their job
  wire::Resources unreconciled_resources_;
  bool active_ = false;
  static constexpr double kSpotPriorSeconds =
      3600;                                  // as if one had been taken in an hour, until more is known
  double spot_lost_ = 0, spot_seconds_ = 0;  // of all leaderships of this process
  int calls_in_flight_ = 0;
  Seconds sweep_from_ = -1e9, sweep_until_ = 0;
  std::deque<MachineIndex> sweep_queue_;  // machines to be asked whether they live
  Seconds fence_until_ = 0, leadership_began_at_ = 0, reconciled_after_ = 0;
  std::uint64_t attempt_counter_ = 0, term_ = 0, commands_sent_ = 0, direct_calls_ = 0, deadline_checks_ = 0,
                liveness_sweeps_ = 0;
};

}  // namespace wingtrail::workers
