/// @file
/// The leader's records of all workers: their incarnations and leases, the tasks on them, and the commands
/// in flight to them.
///
/// The implementation is split by topic: worker_manager.cpp (the table of machines), heartbeats.cpp
/// (processing of heartbeats), allocations.cpp (placements and stray instances), commands.cpp
/// (commands and their replies), deadlines.cpp (leases, probes, resending) and reconciliation.cpp
/// (fencing after a failover).
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

/// Tracks all workers while this controller leads. The object lives as long as the process; end_leadership()
/// discards the machines and everything else that was learned during the leadership, and invalidates
/// references to machines. All times are seconds of this controller's clock.
class WorkerManager {
 public:
  /// Callbacks on changes. They may call back into the manager, and may end the leadership.
  struct Events {
    /// The machine may have begun to accept tasks: its worker is up, its inventory record is persisted, or
    /// it has been fenced.
    std::function<void(Machine&)> on_available;
    std::function<void(Machine&)> on_capacity_freed;  ///< An allocation on the machine has ended.
    std::function<void(Machine&)> on_machine_gone;    ///< The machine and all its allocations are gone.
    /// A task has ended; the allocation's `cause` is its exit cause. The allocation is valid only
    /// during the call.
    std::function<void(Machine&, const Allocation&)> on_task_exited;
    /// The worker of that machine has reported a higher fencing token than this leader's.
    std::function<void(const std::string& host, std::uint64_t token)> on_higher_token;
  };
  /// What the manager needs to know of the current leadership.
  struct LeadershipView {
    std::function<std::uint64_t()> fencing_token;
    /// When this controller's leader lease expires unless it is renewed.
    std::function<Seconds()> lease_expires_at;
    /// When a worker's lease has certainly expired, given the latest expiry that this controller granted.
    /// Later than that if other controllers may have renewed the lease by delegation.
    std::function<Seconds(Seconds)> worker_lease_expiry;
    /// Whether new attempts are marked with delegation::kStrictCancellationFlag: under such a leadership a
    /// cancellation is reported to users only once the job's tasks are gone.
    std::function<bool()> strict_cancellations;
  };
  using UnreconciledGroup = workers::UnreconciledGroup;

  WorkerManager(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                jobs::StateWriter& state_writer, LeadershipView leadership, Events events);

  // ---- leadership

  /// Starts a leadership without any machines.
  void begin_leadership();
  /// Discards all machines and commands, and ignores replies that arrive later.
  void end_leadership();
  /// Sets or updates the capacities of machine types.
  void set_catalog(const std::vector<wire::MachineType>& catalog);

  // ---- the table of machines

  /// Adds a machine from the machine inventory of an earlier leader. It may run tasks of that leader, so it
  /// starts out unfenced and unreconciled.
  Machine& add_from_inventory(const wire::Value& record);
  /// Adds a machine to which no leader has sent commands yet, or returns the known machine of that name.
  Machine& add_machine(const std::string& host, const std::string& address, const std::string& type,
                       const std::string& zone, bool spot);
  /// The machine of that name, including machines that are gone; null if it is not known.
  Machine* find(const std::string& host);
  Machine& machine_at(MachineIndex index) {
    return machines_[index];
  }
  /// All machines known under this leadership, by index, including machines that are gone.
  const std::deque<Machine>& machines() const {
    return machines_;
  }
  /// The machines that are not gone, in ascending order of their index.
  const std::vector<MachineIndex>& live_machines() const {
    return live_machines_;
  }
  /// The machines from which heartbeats are expected and that have been without contact for too long.
  const std::set<MachineIndex>& unresponsive_machines() const {
    return unresponsive_machines_;
  }
  /// Handles the return or preemption of the machine: ends its incarnation and removes it from
  /// the machine inventory.
  void mark_gone(Machine& machine);
  /// Builds the machine's record for the machine inventory.
  wire::Value inventory_record(MachineIndex index) const;
  /// Called when the machine's inventory record has been persisted; from then on it may accept tasks.
  void on_inventory_written(MachineIndex index);

  // ---- heartbeats

  /// Whether the reply to a heartbeat may contain commands. A leader whose lease has expired sends none.
  enum class CommandsInReply : std::uint8_t { allowed, withheld };
  /// Processes a heartbeat. Returns the body of the reply, or nothing if the heartbeat must not be answered:
  /// the leadership is over, the machine is gone, or the heartbeat belongs to an incarnation that is over.
  std::optional<wire::Value> handle_heartbeat(const wire::Heartbeat& heartbeat,
                                              CommandsInReply commands_in_reply = CommandsInReply::allowed);

  // ---- tasks

  /// Places the task on the machine and queues its start. Always returns true.
  bool start_task(Machine& machine, jobs::Job& job, std::uint32_t task);
  /// Whether the worker would ignore a start of the job's next task, because the task would get the attempt
  /// of its gang and the worker remembers that attempt of it.
  static bool ignores_next_start(const Machine& machine, const jobs::Job& job);
  /// Queues a stop, unless one with the same or a shorter grace period has been requested already.
  void stop_task(Machine& machine, Allocation& allocation, double grace_s);
  /// Reserves resources on the machine for a task that migrates to it (sign 1), or releases them (-1).
  void reserve_resources(Machine& machine, const wire::Resources& need, double sign);
  /// Stops all instances of the job's tasks without a grace period, including stray instances.
  void cancel_job(jobs::Job& job);
  /// Called when the completions of these tasks have been persisted. Their workers receive an
  /// acknowledgement and then stop listing the tasks in their heartbeats.
  void on_completions_persisted(const std::vector<jobs::StateWriter::CompletedTask>& ended);
  /// The resources that the team's allocations occupy.
  const wire::Resources& team_usage(TeamIndex team) const;

  // ---- placement

  /// Whether the machine accepts new tasks now.
  bool accepts_tasks(const Machine& machine) const {
    return unavailability(machine) == Unavailability::none;
  }
  /// Why the machine takes no new tasks, whatever the job.
  Unavailability unavailability(const Machine& machine) const;
  /// Places no new tasks on the machine before that time.
  void avoid_until(Machine& machine, Seconds until);
  /// Presumes the machine faulty until the given time: it gets no new tasks, and is returned if it is idle.
  void quarantine(Machine& machine, Seconds until);
  /// Presumes the machine sound, and forgets which jobs failed on it.
  void end_quarantine(Machine& machine);
  /// Marks the machine's entry in the placement index as stale. To be called after every change to the
  /// machine's free capacity, cached images or ability to accept tasks.
  void mark_changed(Machine& machine);
  /// Updates the stale entries and returns the index of the machines that accept tasks.
  const PlacementIndex& placement_index();

  // ---- periodic work

  /// Sends queued commands and probes, up to the limit on concurrent calls.
  void flush_commands();
  /// Performs the checks that are due: ends expired leases, probes machines whose heartbeats are late, and
  /// resends unconfirmed commands.
  void tick();

  // ---- liveness

  const zones::ZoneTracker& zones() const {
    return zones_;
  }
  /// When every worker lease in an unreachable zone has certainly expired, if there is no contact before.
  Seconds zone_leases_expire_at(ZoneIndex zone) const {
    return leadership_.worker_lease_expiry(worker_lease_expiry(zones_.last_contact_at(zone)));
  }
  /// Records that a worker has reported a higher fencing token, which no later leader can have given it: the
  /// report was wrong, or the worker accepts no leader's commands any more.
  void on_unknown_token(const std::string& host, std::uint64_t token);
  /// The number of such reports.
  std::uint64_t unknown_tokens() const {
    return unknown_tokens_;
  }
  /// Replies of workers to commands that could not be read.
  const wire::RefusalCounts& refused_replies() const {
    return refused_replies_;
  }
  /// Whether the machine does not respond although there is contact with other machines of its zone, so that
  /// the machine itself has failed and not the network to the zone.
  bool is_isolated_failure(const Machine& machine) const {
    return zones_.is_isolated_failure(machine.zone, machine.address.empty()
                                                        ? machine.last_contact_at + unresponsive_threshold()
                                                        : machine.delivery.unanswered_since);
  }
  Seconds time_since_contact(const Machine& machine) const {
    return out_.now() - machine.last_contact_at;
  }
  /// A machine without contact for longer than this, in s, is unresponsive.
  Seconds unresponsive_threshold() const {
    return settings_.tunables.silent_heartbeats * settings_.heartbeat_interval_s;
  }

  // ---- reconciliation: tasks that an earlier leader may have started

  /// Whether every task that an earlier leader may have started is known, on every machine.
  bool reconciled() const {
    return unreconciled_.empty();
  }
  const std::vector<UnreconciledGroup>& unreconciled_groups() const {
    return unreconciled_.groups();
  }
  /// The upper limit of the resources that unknown tasks can use; none if that limit is not known either.
  std::optional<wire::Resources> unreconciled_resources() const {
    return unreconciled_.resources();
  }
  /// Seconds from the failover until all machines were reconciled; 0 if they are not yet.
  Seconds reconciled_after() const {
    return unreconciled_.reconciled_after();
  }
  /// Whether there is a stray instance of any task of the job.
  bool has_stray_instance(const std::string& job_ref) const {
    return strays_.contains(job_ref);
  }
  /// Whether there is a stray instance of this task.
  bool has_stray_instance(const std::string& job_ref, std::uint32_t task) const {
    return strays_.contains(job_ref, task);
  }
  /// Places each pending task of the job that has a stray instance on the machine with that instance. Needed
  /// only for a job whose record is read after heartbeats have listed its tasks: for all other jobs a stray
  /// instance is adopted as soon as its task becomes pending.
  void adopt_stray_instances(jobs::Job& job);

  // ---- statistics

  /// Estimated preemptions per second of a spot machine's uptime.
  double spot_preemption_rate() const {
    return spot_preemption_rate_.per_second();
  }
  /// Adds that much uptime to the estimate for every spot machine that is up.
  void observe_spot_time(Seconds elapsed);
  std::uint64_t commands_sent() const {
    return commands_sent_;
  }
  /// Commands to forget an attempt, by the reason why no start of it can be carried out any more.
  struct ForgetCommands {
    std::uint64_t without_direct_start = 0;  ///< No direct call with its start was delivered.
    std::uint64_t by_higher_token = 0;       ///< The worker refuses the fencing token of its starts.
  };
  const ForgetCommands& forgets() const {
    return forgets_;
  }
  /// Attempts that workers must not forget yet, because a copy of a direct start may arrive.
  struct RetainedAttempts {
    std::size_t total = 0, most_on_a_machine = 0;
  };
  RetainedAttempts retained_attempts() const;
  /// Attempts that a heartbeat listed although this leader had not started them or had commanded the worker
  /// to forget them.
  std::uint64_t unexpected_attempts() const {
    return unexpected_attempts_;
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
  /// Whether a worker sent the heartbeat on its own, or as part of its reply to a direct call. Only a
  /// heartbeat sent on its own proves that the worker has acted on the reply to its previous heartbeat
  /// or never will.
  enum class HeartbeatSource : std::uint8_t { worker, command_reply };

  // ---- worker_manager.cpp
  void add_to_inventory(Machine& machine);
  void record_image_use(Machine& machine, ImageIndex image);
  bool lease_near_expiry(const Machine& machine) const;
  /// When a worker's lease that was last renewed at `renewed_at` or earlier has certainly expired.
  Seconds worker_lease_expiry(Seconds renewed_at) const;

  // ---- heartbeats.cpp
  static bool is_newer(const Machine& machine, const wire::Heartbeat& heartbeat);
  void apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, HeartbeatSource source);
  void record_contact(Machine& machine, const wire::Heartbeat& heartbeat, HeartbeatSource source);
  bool reconcile_tasks(Machine& machine, const wire::Heartbeat& heartbeat, HeartbeatSource source);
  static std::optional<std::size_t> find_allocation(const Machine& machine, const wire::TaskStatus& status,
                                                    std::size_t known, std::size_t hint);
  void update_idle_since(Machine& machine);
  bool notify_ended(Machine& machine);
  void adopt_task(Machine& machine, const wire::TaskStatus& status);
  void report_if_unexpected(const Machine& machine, const wire::TaskStatus& status);
  void update_allocation(Machine& machine, Allocation& allocation, const wire::TaskStatus& status);

  // ---- allocations.cpp
  void add_stray(Machine& machine, const Allocation& allocation);
  void remove_stray(Machine& machine, const Allocation& allocation);
  void stop_strays(const std::string& job_ref, std::optional<std::uint32_t> task = std::nullopt);
  Allocation* find_stray(MachineIndex machine, const std::string& job_ref, std::uint32_t task);
  bool placement_uncertain(const jobs::Task& task) const;
  bool adopt_stray_instance(jobs::Job& job, std::uint32_t task);
  void unplace_task(jobs::Job& job, std::uint32_t task, const Machine& machine);
  void complete_task(Machine& machine, Allocation& allocation, jobs::Job& job);
  void release_placement(jobs::Job& job, std::uint32_t task);
  void release_allocation(Machine& machine, Allocation& allocation);
  void add_team_usage(TeamIndex team, const wire::Resources& resources, double sign);
  void drop_allocation(Machine& machine, std::size_t position);
  void end_incarnation(Machine& machine);

  // ---- commands.cpp
  enum class Delivery : std::uint8_t { direct_call, heartbeat_reply };
  void queue_call(Machine& machine);
  int max_concurrent_calls() const;
  void drop_unsent_starts(Machine& machine);
  std::vector<wire::Command> build_commands(Machine& machine, Delivery delivery);
  void append_starts(Machine& machine, Delivery delivery, std::vector<wire::Command>& commands);
  void log_commands(const Machine& machine, Delivery delivery,
                    const std::vector<wire::Command>& commands) const;
  std::size_t retained_attempts(const Machine& machine) const;
  void send_queued_commands(Machine& machine);
  void send_direct(Machine& machine, const std::vector<wire::Command>& commands,
                   std::vector<std::uint64_t> started_attempts, Seconds timeout);
  void sweep_if_overdue(const Machine& machine);
  static void record_start_call(Machine& machine, std::uint64_t fencing_token,
                                const std::vector<std::uint64_t>& started_attempts,
                                const ports::Reply& reply);
  void on_commands_reply(MachineIndex index, const ports::Reply& reply);
  bool apply_commands_reply(Machine& machine, const ports::Reply& reply);
  void on_call_failed(Machine& machine, const ports::Reply& reply);
  bool has_commands(const Machine& machine) const;

  // ---- deadlines.cpp
  void update_heartbeat_expected(Machine& machine);
  void probe_recovering_zone(ZoneIndex zone);
  void schedule_check(Machine& machine, Seconds at);
  void check_machine(Machine& machine);
  void check_lease(Machine& machine);
  void probe_unreachable_zone(Machine& machine);
  void resend_commands(Machine& machine);
  bool may_probe(const Machine& machine) const;
  void mark_if_unresponsive(Machine& machine);
  void probe_if_late(Machine& machine);
  void start_liveness_sweep();
  void continue_liveness_sweep();

  // ---- reconciliation.cpp
  void mark_fenced(Machine& machine);
  void update_unreconciled(Machine& machine);

  /// After this time a command that the worker has not confirmed is sent again.
  static constexpr Seconds kResendInterval = 1.0;
  /// A heartbeat is late after this many heartbeat intervals. A worker's timer may be late by a quarter
  /// of an interval.
  static constexpr double kLateHeartbeatFactor = 1.3;

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::JobRegistry& registry_;
  jobs::StateWriter& state_writer_;
  LeadershipView leadership_;
  Events events_;

  bool active_ = false;                  // whether this controller leads
  std::uint64_t term_ = 0;               // counts leaderships; callbacks of an earlier term are ignored
  Seconds inherited_leases_end_at_ = 0;  // when all worker leases that earlier leaders granted have expired
  std::uint64_t attempt_counter_ = 0;

  std::vector<wire::MachineType> catalog_;  // by type index; the name of an unknown type is empty
  std::deque<Machine> machines_;            // a deque, so that references stay valid as it grows
  std::vector<MachineIndex> live_machines_;
  std::set<MachineIndex> unresponsive_machines_;
  std::unordered_map<std::string, MachineIndex> by_host_;
  PlacementIndex placement_index_;
  std::vector<MachineIndex> stale_index_entries_;  // machines that changed since the index was updated

  std::vector<Allocation> ended_allocations_;  // ended by the heartbeat that is being processed
  std::vector<wire::Resources> team_usage_;    // by team index; a team beyond its end uses nothing
  StrayInstances strays_;
  UnreconciledMachines unreconciled_;

  zones::ZoneTracker zones_;
  std::vector<Seconds> zone_probe_at_;  // by zone index: earliest time of the next probe while unreachable
  CheckSchedule checks_;
  LivenessSweep liveness_sweep_;
  SpotPreemptionRate spot_preemption_rate_;

  std::deque<MachineIndex> command_queue_;  // fenced machines with commands to send
  std::deque<MachineIndex> fencing_queue_;  // machines to be fenced; served after command_queue_
  int calls_in_flight_ = 0;

  std::uint64_t commands_sent_ = 0;
  ForgetCommands forgets_;
  std::uint64_t unexpected_attempts_ = 0;
  std::uint64_t unknown_tokens_ = 0;
  wire::RefusalCounts refused_replies_;
  std::uint64_t direct_calls_ = 0;
  std::uint64_t deadline_checks_ = 0;
  std::uint64_t liveness_sweeps_ = 0;
};

}  // namespace wingtrail::workers
