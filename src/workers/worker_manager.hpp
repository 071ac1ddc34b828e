/// \file
/// The workers as the leader knows them: their incarnations and leases, the tasks on them, and the commands
/// under way to them.
///
/// The implementation is split by topic: worker_manager.cpp (the table of machines), heartbeats.cpp (what
/// workers report), allocations.cpp (placements and stray instances), commands.cpp (commands and their
/// replies), deadlines.cpp (leases, probes, resending) and reconciliation.cpp (fencing after a take-over).
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"
#include "jobs/state_writer.hpp"
#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"
#include "wire/value.hpp"
#include "wire/worker_messages.hpp"
#include "workers/check_schedule.hpp"
#include "workers/liveness_sweep.hpp"
#include "workers/machine.hpp"
#include "workers/placement_index.hpp"
#include "workers/spot_preemption_rate.hpp"
#include "workers/stray_instances.hpp"
#include "workers/unreconciled_machines.hpp"
#include "zones/zone_tracker.hpp"

namespace wingtrail::workers {

using jobs::ImageIndex;
using jobs::MachineIndex;
using jobs::MachineTypeIndex;
using jobs::TeamIndex;
using jobs::ZoneIndex;

/// The leader's view of all workers. It exists for as long as the process; everything in it that belongs to a
/// leadership is dropped at its end. References to machines stay valid until then.
class WorkerManager {
 public:
  /// Called on changes. The callbacks may call back into the manager, and may end the leadership.
  struct Events {
    std::function<void(Machine&)> on_available;       ///< The machine can take tasks.
    std::function<void(Machine&)> on_capacity_freed;  ///< An allocation on it has ended.
    std::function<void(Machine&)> on_machine_gone;    ///< The machine is gone, with all that was on it.
    /// A task has ended; the allocation's `cause` says how. The allocation is valid during the call only.
    std::function<void(Machine&, const Allocation&)> on_task_exited;
    std::function<void()> on_superseded;  ///< A worker has seen a higher fencing token.
  };
  /// The current leadership, as far as workers are concerned.
  struct LeadershipView {
    std::function<std::uint64_t()> fencing_token;
    /// When this node's own authority ends, unless it is renewed.
    std::function<Seconds()> lease_expires_at;
    /// When a worker's lease certainly ends that this node renewed until the given time: other nodes may have
    /// renewed it since, by delegation.
    std::function<Seconds(Seconds)> worker_lease_expiry;
    /// Whether attempts are to state that under this leadership a cancellation is reported to users only once
    /// the job's tasks are gone.
    std::function<bool()> strict_cancellations;
  };
  using UnreconciledGroup = workers::UnreconciledGroup;

  WorkerManager(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                jobs::StateWriter& state_writer, LeadershipView leadership, Events events);

  // ---- leadership

  void begin_leadership();
  void end_leadership();
  /// Sets or updates the capacities of machine types.
  void set_catalog(const std::vector<wire::MachineType>& catalog);

  // ---- the table of machines

  /// Adds a machine that an earlier leader recorded in the inventory. It may run tasks of that leader.
  Machine& add_from_inventory(const wire::Value& record);
  /// Adds a machine that no leader has sent commands to; returns the known one if there is one of the name.
  Machine& add_machine(const std::string& host, const std::string& address, const std::string& type,
                       const std::string& zone, bool spot);
  /// The machine of that name, gone or not; null if it is not known.
  Machine* find(const std::string& host);
  Machine& machine_at(MachineIndex index) {
    return machines_[index];
  }
  /// All machines of this leadership, gone ones included, by index.
  const std::deque<Machine>& machines() const {
    return machines_;
  }
  /// The machines that are not gone, in the order of their index.
  const std::vector<MachineIndex>& live_machines() const {
    return live_machines_;
  }
  /// Machines that should send heartbeats and have not for too long.
  const std::set<MachineIndex>& unresponsive_machines() const {
    return unresponsive_machines_;
  }
  /// The machine has been returned or preempted: ends its incarnation and removes it from the inventory.
  void mark_gone(Machine& machine);
  /// The machine's record in the persisted inventory.
  wire::Value inventory_record(MachineIndex index) const;
  /// That record has been written.
  void on_inventory_written(MachineIndex index);

  // ---- heartbeats

  /// Whether the reply to a heartbeat may hold commands. A leader past its authority replies without any.
  enum class CommandsInReply : std::uint8_t { allowed, withheld };
  /// Takes in a heartbeat. Returns the reply's body, or nothing if the heartbeat must not be answered: the
  /// leadership is over, the machine is gone, or the heartbeat is of an incarnation that is over.
  std::optional<wire::Value> handle_heartbeat(const wire::Heartbeat& report,
                                              CommandsInReply commands_in_reply = CommandsInReply::allowed);

  // ---- tasks

  /// Places the task on the machine, and queues its start.
  bool start_task(Machine& machine, jobs::Job& job, std::uint32_t task);
  /// Queues a stop, unless one with as short a grace period has been requested already.
  void stop_task(Machine& machine, Allocation& allocation, double grace_s);
  /// Reserves resources on the machine for a task that moves there (sign 1), or releases them (-1).
  void reserve_resources(Machine& machine, const wire::Resources& need, double sign);
  /// Stops all instances of the job's tasks at once, stray ones included.
  void cancel_job(jobs::Job& job);
  /// The ends of these tasks are persisted, so their workers need not report them any longer.
  void acknowledge_ends(const std::vector<jobs::StateWriter::CompletedTask>& ended);
  /// What the team's allocations use.
  const wire::Resources& team_usage(TeamIndex team) const {
    return team_usage_[team];
  }

  // ---- placement

  /// Whether the machine takes new tasks now.
  bool accepts_tasks(const Machine& machine) const;
  /// The machine gets no new tasks before that time.
  void avoid_until(Machine& machine, Seconds until);
  /// Something has changed that decides whether, or which, tasks the machine takes.
  void mark_changed(Machine& machine);
  /// The index of the machines that take tasks, brought up to date.
  const PlacementIndex& placement_index();

  // ---- progress

  /// Sends queued commands and probes, as far as the limit on concurrent calls allows.
  void flush_commands();
  /// Does what is due by now: checks leases, probes machines whose heartbeats are late, resends commands.
  void tick();

  // ---- liveness

  const zones::ZoneTracker& zones() const {
    return zones_;
  }
  /// When every lease of a zone out of reach has certainly expired, if there is no contact before.
  Seconds zone_leases_expire_at(ZoneIndex zone) const {
    return leadership_.worker_lease_expiry(worker_lease_expiry(zones_.last_contact_at(zone)));
  }
  /// Whether nothing is heard of the machine while other machines of its zone are heard.
  bool lost_alone(const Machine& machine) const {
    return zones_.machine_lost_alone(machine.zone, machine.address.empty()
                                                       ? machine.last_contact_at + unresponsive_threshold()
                                                       : machine.delivery.unanswered_since);
  }
  Seconds time_since_contact(const Machine& machine) const {
    return out_.now() - machine.last_contact_at;
  }
  /// A machine without contact for longer than this is unresponsive.
  Seconds unresponsive_threshold() const {
    return settings_.tunables.silent_heartbeats * settings_.heartbeat_interval_s;
  }

  // ---- reconciliation: what an earlier leader may have left

  /// Whether every task that an earlier leader may have started is known.
  bool reconciled() const {
    return unreconciled_.empty();
  }
  const std::vector<UnreconciledGroup>& unreconciled_groups() const {
    return unreconciled_.groups();
  }
  /// The most that unknown tasks can use; none if not even that is known.
  std::optional<wire::Resources> unreconciled_resources() const {
    return unreconciled_.resources();
  }
  /// Seconds from the take-over until all machines were reconciled; 0: not yet.
  Seconds reconciled_after() const {
    return unreconciled_.reconciled_after();
  }
  /// Whether there is a stray instance of any task of the job.
  bool has_stray_instance(const std::string& job_ref) const {
    return strays_.contains(job_ref);
  }
  /// Whether there is a stray instance of the task.
  bool has_stray_instance(const std::string& job_ref, std::uint32_t task) const {
    return strays_.contains(job_ref, task);
  }
  /// Places each pending task of the job that has a stray instance where that is. For jobs whose record is
  /// read only now; no pending task of any other job has a stray instance.
  void adopt_stray_instances(jobs::Job& job);

  // ---- statistics

  /// How often a spot machine is preempted, per second of its time, as observed so far.
  double spot_preemption_rate() const {
    return spot_preemption_rate_.per_second();
  }
  /// That much time has passed for every spot machine that is up.
  void observe_spot_time(Seconds elapsed);
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
  }

 private:
  /// A heartbeat that the worker sent by itself, or the one in its reply to a direct command. Only the former
  /// shows that it has acted on the reply to the heartbeat before, or never will.
  enum class HeartbeatSource : std::uint8_t { worker, command_reply };

  // ---- worker_manager.cpp
  void add_to_inventory(Machine& machine);
  void touch_image(Machine& machine, ImageIndex image);
  bool lease_near_expiry(const Machine& machine) const;
  /// When a worker's lease has certainly expired that was granted or renewed at `from` at the latest.
  Seconds worker_lease_expiry(Seconds from) const;

  // ---- heartbeats.cpp
  static bool is_newer(const Machine& machine, const wire::Heartbeat& report);
  void apply_heartbeat(Machine& machine, const wire::Heartbeat& report, HeartbeatSource source);
  void note_contact(Machine& machine, const wire::Heartbeat& report, HeartbeatSource source);
  bool reconcile_tasks(Machine& machine, const wire::Heartbeat& report, HeartbeatSource source);
  static std::optional<std::size_t> find_allocation(const Machine& machine, const wire::TaskStatus& status,
                                                    std::size_t known, std::size_t hint);
  void update_idle_since(Machine& machine);
  bool notify_ended(Machine& machine);
  void adopt_task(Machine& machine, const wire::TaskStatus& status);
  void update_allocation(Machine& machine, Allocation& allocation, const wire::TaskStatus& status);

  // ---- allocations.cpp
  void add_stray(Machine& machine, const Allocation& allocation);
  void remove_stray(Machine& machine, const Allocation& allocation);
  void stop_strays(const std::string& job_ref, std::optional<std::uint32_t> task = std::nullopt);
  Allocation* stray_on(MachineIndex machine, const std::string& job_ref, std::uint32_t task);
  bool placement_uncertain(const jobs::Task& task) const;
  bool adopt_stray_instance(jobs::Job& job, std::uint32_t task);
  void unplace_task(jobs::Job& job, std::uint32_t task, const Machine& machine);
  void complete_task(Machine& machine, Allocation& allocation, jobs::Job& job);
  void release_placement(jobs::Job& job, std::uint32_t task);
  void release_allocation(Machine& machine, Allocation& allocation);
  void drop_allocation(Machine& machine, std::size_t position);
  void end_incarnation(Machine& machine);

  // ---- commands.cpp
  enum class Delivery : std::uint8_t { direct_call, heartbeat_reply };
  void queue_call(Machine& machine);
  int max_concurrent_calls() const;
  void drop_unsent_starts(Machine& machine);
  std::vector<wire::Command> build_commands(Machine& machine, Delivery delivery);
  void append_starts(Machine& machine, Delivery delivery, std::vector<wire::Command>& commands);
  void send_queued_commands(Machine& machine);
  void send_direct(Machine& machine, const std::vector<wire::Command>& commands,
                   std::vector<std::uint64_t> started_attempts, Seconds timeout);
  void sweep_if_overdue(const Machine& machine);
  void on_commands_reply(MachineIndex index, std::uint64_t incarnation,
                         const std::vector<std::uint64_t>& started_attempts, const ports::Reply& reply);
  bool apply_commands_reply(Machine& machine, const ports::Reply& reply);
  void on_call_failed(Machine& machine, const ports::Reply& reply);
  bool has_commands(const Machine& machine) const;

  // ---- deadlines.cpp
  void update_expected(Machine& machine);
  void probe_returned_zone(ZoneIndex zone);
  void schedule_check(Machine& machine, Seconds at);
  void check_machine(Machine& machine);
  void check_lease(Machine& machine);
  void probe_unreachable_zone(Machine& machine);
  void resend_commands(Machine& machine);
  bool may_probe(const Machine& machine) const;
  void suspect_if_unresponsive(Machine& machine);
  void probe_if_late(Machine& machine);
  void start_liveness_sweep();
  void continue_liveness_sweep();

  // ---- reconciliation.cpp
  void mark_fenced(Machine& machine);
  void update_unreconciled(Machine& machine);

  /// Until a command without a reply is sent again.
  static constexpr Seconds kResendInterval = 1.0;
  /// A heartbeat is late after this many intervals; a worker's timer may be late by a quarter of one.
  static constexpr double kLateHeartbeatFactor = 1.3;

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::JobRegistry& registry_;
  jobs::StateWriter& state_writer_;
  LeadershipView leadership_;
  Events events_;

  bool active_ = false;     // whether this node leads
  std::uint64_t term_ = 0;  // counts leaderships: callbacks of an earlier one are recognized by it
  Seconds inherited_leases_end_at_ = 0;  // when all leases that earlier leaders granted have expired
  std::uint64_t attempt_counter_ = 0;

  std::vector<wire::MachineType> catalog_;  // by type index; name empty: unknown
  std::deque<Machine> machines_;            // references stay valid as it grows
  std::vector<MachineIndex> live_machines_;
  std::set<MachineIndex> unresponsive_machines_;
  std::unordered_map<std::string, MachineIndex> by_host_;
  PlacementIndex placement_index_;
  std::vector<MachineIndex> index_stale_;  // machines that have changed since the index was updated

  std::vector<Allocation> ended_allocations_;  // by the heartbeat that is being taken in
  std::vector<wire::Resources> team_usage_;
  StrayInstances strays_;
  UnreconciledMachines unreconciled_;

  zones::ZoneTracker zones_;
  std::vector<Seconds> zone_probe_at_;  // by zone out of reach: when to probe one of its machines again
  CheckSchedule checks_;
  LivenessSweep liveness_sweep_;
  SpotPreemptionRate spot_preemption_rate_;

  std::deque<MachineIndex> command_queue_;  // fenced machines to be called
  std::deque<MachineIndex> token_queue_;    // machines to be fenced; served after the others
  int calls_in_flight_ = 0;

  std::uint64_t commands_sent_ = 0;
  std::uint64_t direct_calls_ = 0;
  std::uint64_t deadline_checks_ = 0;
  std::uint64_t liveness_sweeps_ = 0;
};

}  // namespace wingtrail::workers
