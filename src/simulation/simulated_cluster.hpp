/// @file
/// A simulated cluster in virtual time: state service, cloud, workers, users and the network between them,
/// with real controllers (the decision code that runs in production). After every event the rules of the
/// protocol are checked against what actually runs on the machines.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "simulation/message_corruption.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

using wire::Value;

/// Parameters of a simulated run. Durations are in seconds of virtual time.
struct SimulationPlan {
  std::uint64_t seed = 1;
  /// No random fault and no random submission starts after this time.
  double duration_s = 240;
  /// Time after `duration_s` in which all jobs have to complete.
  double settle_s = 600;
  /// Mean time between random faults; 0: no random faults.
  double fault_every_s = 12;
  /// Teams have a CPU quota.
  bool budget_limits = true;
  /// Machines at the start.
  int machines = 6;
  std::size_t max_machines = 24;
  /// Factor on the number of tasks of every random job except gangs.
  std::uint32_t job_size = 1;
  /// Longest time between two random submissions.
  double arrival_s = 6;
  double idle_return_s = 20;
  double begin_within_s = 0;
  /// Spare capacity as a share of the load.
  double headroom = 0.15;
  /// Half of the random jobs that are not services depend on other jobs.
  bool dependencies = false;
  /// The state service lowers its limits during the run. Controllers that have not been restarted by then do
  /// not know the lower limits: they write under the earlier limits, and so in the earlier layout.
  bool upgrade = false;
  /// Users submit only the jobs passed to `submit_job`.
  bool scripted = false;
  /// Adds further random faults: zones cut off, outages and stalls longer than a worker's lease, many
  /// machines that hang at the same time, a slow state service.
  bool cuts = false;
  /// Share of transactions that get no answer and are executed 2 to 12 s later.
  double late_writes = 0;
  /// Share of the limits in the settings that the state service really grants.
  double granted_limits_share = 1;
  /// Enables load balancing over machines and zones.
  bool load_balancing = false;
  /// Number of zones.
  std::size_t zones = 2;
  /// Number of controllers.
  std::size_t nodes = 3;
  /// Changes per second that the state service grants; 0: the default for the number of machines.
  double write_rps = 0;
  /// The last controller has fair admission switched off, like one of an older version.
  bool one_without_fair_admission = false;
  /// Enables the tracking of zone states.
  bool zone_tracking = false;
  /// Enables fair admission: job batches, the fair queue and budget shares.
  bool fair_admission = false;
  /// Enables lease delegation by peer agreement.
  bool peer_agreement = false;
  /// How long a delegate may go on renewing leases, in worker leases.
  double delegation_leases = 2;
  /// A controller that ended restarts after a time between these two, in seconds.
  double back_from = 1, back_to = 6;
  std::vector<settings::Objective> objectives;
  /// Number of this cell, from 0, and the number of cells; see simulated_cells.hpp.
  std::size_t cell = 0, cells = 1;
  /// The cell is drained: its waiting jobs are offloaded.
  bool drain = false;
  /// Half of the random faults are combined faults: transactions without an answer, late heartbeats, machines
  /// that lose what is sent to them or what they send, many cancellations at once and cancellations at a
  /// job's completion, malformed requests, bursts of queries, machines that boot quickly, slow links.
  bool combined_faults = false;
  /// The combined faults include direct commands that arrive late, and old heartbeats that reach a new leader
  /// before any worker does.
  bool late_commands = false;
  /// The combined faults include copies of requests that were carried out and answered.
  bool repeated_requests = false;
  /// Longest time without an answer to the queries of a job, after the end of all faults; seconds.
  double unanswered_limit_s = 75;
  /// Name of a fault that is planted on purpose, to show that a check can fail.
  std::string planted_fault;
};

/// Returns the plan that random_fault_search and the tests run for a seed: odd seeds with dependencies, every
/// third one with an upgrade, from 1 000 000 on with combined faults, from 2 000 000 on with late commands,
/// from 3 000 000 on with repeated requests.
SimulationPlan plan_of(std::uint64_t seed);

/// What happened in a simulated run.
struct RunReport {
  /// One entry for each violation: rule, time, seed and circumstances.
  std::vector<std::string> broken_rules;
  std::size_t started = 0, accepted = 0, finished = 0, cancelled = 0, elections = 0, unfinished = 0;
  std::size_t with_dependencies = 0, orphaned = 0, over_limits = 0, cancellations_deferred = 0;
  /// Tasks started on a machine of a zone that had been cut off for longer than `kCutNoticedWithin`.
  std::size_t started_in_cut = 0;
  /// Machines rented in a zone that had been cut off for longer than `kCutNoticedWithin`.
  std::size_t rented_in_cut = 0;
  /// Machines returned with tasks on them while their zone was cut off.
  std::size_t returned_in_cut = 0;
  /// Tasks started again although their earlier start did not fail.
  std::size_t started_again = 0;
  /// Jobs whose records were written to the state service in job batches.
  std::size_t batched = 0;
  /// Submissions answered 429.
  std::size_t deferred = 0;
  /// Cancellation markers that controllers left in the state service for the leader.
  std::size_t cancellation_markers = 0;
  /// Highest number of changes requested within `kWriteWindow`, as a multiple of the write budget.
  double max_writes = 0;
  /// Tasks killed by healthy workers because their lease had expired.
  std::size_t lost_by_lease_expiry = 0;
  /// Service tasks whose first start came more than 2 s after submission.
  std::size_t services_late = 0;
  /// Tasks started here for jobs submitted in other cells.
  std::size_t remote_tasks_started = 0;
  /// Heartbeats that a controller answered while it was not the leader.
  std::size_t renewed_by_delegates = 0;

  // Effects of the combined faults.

  /// Transactions executed late; transactions executed at once whose answer was lost.
  std::size_t late_writes = 0, lost_replies = 0;
  /// Copies of heartbeats delivered late; copies held back until a new leader was elected.
  std::size_t late_heartbeats = 0, held_heartbeats = 0;
  /// Direct commands delivered late.
  std::size_t late_commands = 0;
  /// Copies of answered direct commands, and of other answered requests.
  std::size_t repeated_commands = 0, repeated_requests = 0;
  /// Most tasks in a heartbeat, and the size of that heartbeat as JSON, in bytes.
  std::size_t most_tasks_listed = 0, largest_heartbeat = 0;
  /// Tasks started again after an answered heartbeat had reported them as done to an earlier leader.
  std::size_t again_after_done = 0;
  /// Answers and commands lost on the way to machines, and heartbeats lost on the way from them.
  std::size_t undelivered = 0;
  /// Running jobs cancelled at about the same time.
  std::size_t cancelled_together = 0;
  /// Jobs cancelled at the completion of their last task.
  std::size_t cancelled_at_end = 0;
  /// Malformed or out-of-place requests sent by users.
  std::size_t malformed_requests = 0;
  /// Queries sent in bursts, within milliseconds after a user received a job's state.
  std::size_t burst_queries = 0;
  /// Cancellations confirmed to users.
  std::size_t cancellations_confirmed = 0;
  /// Longest time that a job waited although a machine had free capacity for it, without faults; seconds.
  double longest_wait_beside_capacity = 0;
  /// Longest time for which no query of a job was answered, after the end of all faults; seconds.
  double longest_unanswered = 0;
  /// The same at any time at which most queries were answered; seconds.
  double longest_unanswered_beside_answers = 0;
};

class SimulatedCluster;

/// The network between cells.
struct CellNetwork {
  std::vector<SimulatedCluster*> cells;
  /// Schedules `fn` as an event of the receiving cell; may lose, delay or duplicate it.
  std::function<void(std::size_t from, std::size_t to, std::function<void()>)> send;
};

/// One simulated cell. All randomness comes from the plan's seed, so that a run can be repeated exactly.
class SimulatedCluster {
 public:
  using ReplyCallback = std::function<void(int, Value)>;
  using AnswerCallback = std::function<void(const ports::Answer&)>;
  /// Hooks for controllers that run as processes of their own. Their owner delivers requests to them, gives
  /// each worker an address, and forwards their calls to the simulated services and workers. The owner also
  /// advances the time.
  struct ExternalProcesses {
    std::function<void(std::size_t, controller::IncomingRequest, AnswerCallback)> deliver;
    std::function<std::string(const std::string&)> address;
    std::function<void(std::size_t)> boot, crash;
    /// Returns the controller to which the load balancer sends a user.
    std::function<std::size_t()> choose_node;
  };
  explicit SimulatedCluster(SimulationPlan plan, ExternalProcesses external_processes = {});
  ~SimulatedCluster();
  /// Runs the whole plan.
  RunReport run();

  /// Schedules the first events.
  void begin();
  /// Executes all events due before `until`, in seconds; stops after the first violation.
  void step(double until);
  /// Returns the time of the next event.
  double next() const {
    return events_.empty() ? now_ + 1 : events_.begin()->first;
  }
  /// Ends the run and counts the unfinished jobs.
  const RunReport& close();
  /// A user submits the job now and, unless `cancel_at` is negative, cancels it at that time.
  void submit_job(const wire::JobSpec& spec, double run_s, double cancel_at = -1);
  /// From now on every task of the job fails, as if it had been submitted with a mistake.
  void make_job_fail(const std::string& ref);
  /// Adds users who query the job every few seconds, besides its own user.
  void add_pollers(const std::string& ref, int users);
  /// Returns whether all tasks of the job have completed.
  bool is_done(const std::string& ref) const;
  /// Returns the share of done jobs among the team's accepted arrays and gangs that were submitted at least
  /// `older_than` seconds ago and not cancelled.
  double served_share(const std::string& team, double older_than) const;
  /// Returns the share of the class's jobs submitted between `from` and `to` that were accepted within `s`
  /// seconds of their first attempt.
  double accepted_within_share(const std::string& job_class, double s, double from, double to) const;
  /// Number of job batches in the state service.
  std::size_t batch_count() const;
  /// Restarts the controller with changed settings; the others get them at their next restart.
  void restart_with(const std::function<void(settings::Settings&)>& change, std::size_t node);

  // Faults that a test triggers; each begins now and lasts `for_s` seconds. `hold`: packets are held back
  // until the fault ends, and some of them are delivered then; otherwise they are lost.

  void cut_zone(std::size_t zone, double for_s, bool hold);
  void state_outage(double for_s);
  void state_slow(double for_s);
  void cut_node(std::size_t i, bool from_state, bool from_peers, double for_s, bool hold);
  /// Stalls the controller process.
  void freeze(std::size_t i, double for_s);
  /// The controller handles every request of users and peers `delay_s` late, as on a processor that has more
  /// work than it can do; users go to the other controllers. Counts as normal operation, not as a fault.
  void delay_requests(std::size_t i, double delay_s, double for_s);
  /// The state service refuses the requests of this controller only.
  void refuse_state_service(std::size_t node, double for_s);
  /// This share of transactions gets no answer; they are executed at once or 2 to 12 s later.
  void delay_writes(double share, double for_s, bool at_once);
  /// When the copy of a heartbeat arrives: after up to 2.5 worker leases, within the first 5 s of the next
  /// leadership, or within its first half millisecond.
  enum class DuplicateArrival : std::uint8_t { later, after_election, at_election };
  /// A copy of this share of heartbeats arrives once more at every controller.
  void duplicate_heartbeats_late(double share, double for_s, DuplicateArrival when);
  /// This share of direct commands gets no answer and is executed once, 2 to 16 s later, if fencing token and
  /// incarnation still match.
  void delay_commands(double share, double for_s);
  /// Of this share of the requests that are carried out and answered, a copy arrives once more, up to
  /// `longest_delay_s` later or at the next election: direct commands, calls to the state service and the
  /// cloud, frames between controllers, users' submissions and cancellations.
  void repeat_requests(double share, double for_s, double longest_delay_s = 60);
  enum class MachineFault : std::uint8_t {
    hung,           // executes nothing until the fault ends, then continues
    incoming_lost,  // its heartbeats arrive; answers to them and direct commands are lost
    outgoing_lost,  // its heartbeats reach no controller; direct commands arrive
    fails_tasks,    // every task that it starts fails
    unreachable,    // cut off from all controllers in both directions; its tasks continue
  };
  /// Applies the fault to up to `n` machines that are up, first to those with tasks of job `ref`. Returns how
  /// many.
  std::size_t fail_machines(MachineFault what, std::size_t n, double for_s, const std::string& ref = {});
  /// Users cancel up to `n` running jobs, longest first, within 0.2 s; up to eight machines with their tasks
  /// hang for `hang_s`.
  void cancel_running_jobs(std::size_t n, double hang_s);
  /// Users cancel this share of jobs just after the completion of their last task.
  void cancel_at_completion(double share, double for_s);
  void send_malformed_requests(double for_s);
  /// Users who receive a job's state query all controllers within milliseconds.
  void poll_all_nodes(double for_s);
  /// Machines rented during this time are up within 2 s.
  void boot_quickly(double for_s);
  void slow_down_links(double for_s);
  /// This share of the messages that controllers read is mutated: requests, frames, and replies of the state
  /// service, the cloud, workers and peers. From then on the rules are not checked, as what controllers are
  /// told is wrong.
  void corrupt_messages(double share, double for_s);
  /// Number of messages mutated so far.
  std::size_t corrupted_messages() const {
    return corrupted_messages_;
  }
  /// Records that a fault lasting `for_s` seconds begins now.
  void extend_fault_period(double for_s);
  /// Whether the link between two endpoints is cut.
  bool is_cut(const std::string& a, const std::string& b);

  /// The job's user cancels it now, and repeats the request until it is answered.
  void cancel(const std::string& ref);
  /// Time of the job's first task start; negative: none has started.
  double began_at(const std::string& ref) const;
  /// Time at which the cancellation was confirmed to the job's user; negative: not confirmed.
  double cancelled_at(const std::string& ref) const;
  /// Number of accepted jobs whose users want them cancelled and have received no final state yet.
  std::size_t open_cancellations() const;
  /// Returns whether a user received an answer that the job is done.
  bool reported_done(const std::string& ref) const;
  bool accepted(const std::string& ref) const;
  /// Number of the job's tasks that are on machines whose lease has not expired.
  std::size_t on_machines(const std::string& ref) const;
  /// Number of keys with this prefix in the state service.
  std::size_t key_count(const std::string& prefix) const;
  /// Returns the controller named by the leader key; for controllers that run as external processes.
  std::optional<std::size_t> leader_key_holder() const;
  std::size_t nodes() const {
    return plan_.nodes;
  }
  bool is_cut_off(std::size_t zone) const {
    return now_ < zone_cuts_[zone].until;
  }
  /// Number of the service's tasks that run on machines that are not dead.
  std::size_t replicas_up(const std::string& ref) const;
  /// Number of the zone's machines that have been neither returned nor killed.
  std::size_t machines_in_zone(std::size_t zone) const;
  /// Kills up to `n` machines of the zone with their tasks; controllers notice by missing heartbeats.
  void kill_in_zone(std::size_t zone, std::size_t n);
  /// Ends the controller's process; it restarts after the plan's `back_from` to `back_to`.
  void crash(std::size_t i);
  /// Multiplies the run time of tasks on up to `n` machines that are up by `factor`.
  void slow_machines(std::size_t n, double factor);
  void kill_machines(std::size_t n);
  /// Makes up to `n` workers that are up accept commands with this fencing token or a higher one only.
  void raise_worker_tokens(std::size_t n, std::uint64_t token);
  /// Number of workers that are up and accept no commands with a lower fencing token than this.
  std::size_t workers_with_token(std::uint64_t token) const;
  /// Number of running tasks on machines that are slower by at least `factor`.
  std::size_t tasks_on_slow_machines(double factor) const;
  void schedule_after(double delay, std::function<void()> fn) {
    add_event_after(delay, std::move(fn));
  }

  // Several cells.

  void join_network(std::shared_ptr<CellNetwork> network) {
    cell_network_ = std::move(network);
  }
  double now() const {
    return now_;
  }
  void schedule_at(double when, std::function<void()> fn) {
    add_event(when, std::move(fn));
  }
  /// Delivers a frame of another cell to one of the controllers.
  void deliver_frame(std::size_t node, const peer::Frame& frame, AnswerCallback then);
  /// Number of accepted arrays and gangs that have to complete and have not.
  std::size_t unfinished_jobs() const;
  /// Number of waiting jobs that the leader may start in this cell; without a leader, of all unstarted jobs.
  std::size_t startable_here() const;
  /// Number of accepted jobs, except cancelled ones, whose tasks have all completed.
  std::size_t completed_jobs() const;
  /// Number of accepted jobs whose tasks have all completed and whose final state is not in the state
  /// service.
  std::size_t unrecorded_final_states() const;
  /// Number of accepted arrays and gangs of which no task has started.
  std::size_t unstarted_jobs() const;
  /// Returns the share of the class's jobs submitted between `from` and `to` and not cancelled that completed
  /// within `s` seconds of their submission.
  double completed_within_share(const std::string& job_class, double s, double from, double to) const;
  /// Returns the controller that is the active leader now.
  std::optional<std::size_t> leader() const;
  const RunReport& run_report() const {
    return run_report_;
  }
  /// Returns the leader's counters; nothing without a leader.
  std::optional<controller::Stats> leader_stats() const;
  const settings::Settings& settings() const {
    return settings_;
  }
  /// Settings of controllers that have not been upgraded yet.
  const settings::Settings& settings_before_upgrade() const {
    return settings_before_upgrade_;
  }
  /// Returns whether the controller has not been upgraded yet.
  bool runs_former_version(std::size_t node) const;
  void state_service_request(std::size_t node, const std::string& method, const std::string& path,
                             const Value& body, ReplyCallback reply);
  void cloud_request(const std::string& method, const std::string& path, const Value& body,
                     const ReplyCallback& reply);
  /// Delivers direct commands to a worker. Returns status and body of its answer; nothing if it gives none.
  std::optional<std::pair<int, Value>> worker_commands(const std::string& host, const Value& body);

 private:
  struct WorkerMachine;
  struct WorkerTask;
  struct UserJob;
  struct SimulatedController;
  struct NetworkLink;
  struct StoredValue {
    Value value;
    std::uint64_t version = 0;
    std::optional<std::uint64_t> lease;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    Value value;
    bool erased;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after;
    std::function<void(int, Value)> reply;
    std::size_t node;
    bool open = true;
  };

  // time
  void add_event(double when, std::function<void()> fn);
  void add_event_after(double delay, std::function<void()> fn) {
    add_event(now_ + delay, std::move(fn));
  }
  double random_fraction() {
    return std::ldexp(static_cast<double>(rng_()), -32);
  }
  double random_between(double a, double b) {
    return a + (b - a) * random_fraction();
  }
  bool random_bool(double p) {
    return random_fraction() < p;
  }
  std::size_t random_index(std::size_t n) {
    return rng_(static_cast<std::uint32_t>(n));
  }

  // network
  NetworkLink& link(const std::string& a, const std::string& b);
  /// Schedules `fn` as the arrival of a packet. Returns false if no connection could be made.
  bool send(const std::string& a, const std::string& b, std::function<void()> fn);
  double latency();
  std::optional<std::size_t> zone_of(const std::string& endpoint) const;
  /// Returns until when a cut zone separates the two endpoints, and whether packets are held back.
  std::pair<double, bool> zone_cut(const std::string& a, const std::string& b) const;

  // controllers
  void boot(std::size_t i);
  void wake_controller(std::size_t i);
  double node_time(const SimulatedController& c) const;
  void run_controller(std::size_t i);
  void execute_call(std::size_t i, const ports::Call& call);
  void request_from_cloud(const ports::Call& call, const ReplyCallback& reply);
  void deliver(std::size_t i, controller::IncomingRequest request, AnswerCallback then);
  /// Delivers a request whose delay, if any, is over.
  void handle_request(std::size_t i, controller::IncomingRequest request, AnswerCallback then);
  void handle_frame(std::size_t i, const peer::Frame& frame, AnswerCallback then);
  double request_delay(std::size_t i) const;
  /// Whether the message that a controller is about to read is to be mutated.
  bool corrupts_message();
  /// A CBOR message as it arrives: mutated if the fault corrupt_messages() is on and chooses it.
  std::string received(const std::string& cbor);
  /// A frame as it arrives; nothing if it arrives malformed.
  std::optional<peer::Frame> received(const peer::Frame& frame);
  /// Calls `handle` after the controller's request delay, or at once if it has none.
  void after_request_delay(std::size_t i, std::function<void()> handle);

  // state service
  void record_change(const std::string& key, Value value, bool erased);
  void expire_leases();
  void execute_late(std::size_t node, const std::string& method, const std::string& path, const Value& body);
  bool exceeds_limits(const Value& body, const settings::Settings& s, double share) const;
  void serve_watches();
  void end_watch(const std::shared_ptr<Watch>& w);

  // cloud
  WorkerMachine& add_machine(std::size_t type, std::size_t zone, bool spot, double boot);
  void remove_machine(WorkerMachine& machine);
  void snapshot_list();
  void keep_listing();

  // workers
  void start_worker(WorkerMachine& machine);
  void check_lease(WorkerMachine& machine);
  void send_heartbeat(WorkerMachine& machine);
  void schedule_heartbeat(WorkerMachine& machine, double delay);
  Value heartbeat_value(WorkerMachine& machine);
  bool delay_command(const WorkerMachine& machine, const Value& body);
  int execute_commands(WorkerMachine& machine, const Value& body);
  int answer_commands(WorkerMachine& machine, const Value& body);
  void deliver_commands_late(const std::string& host, const Value& body);
  void execute_command(WorkerMachine& machine, const Value& command);
  void start_gang_if_complete(UserJob& job, std::uint64_t attempt, double run);
  UserJob* find_job_in_any_cell(const std::string& ref);
  void check_other_cells(const WorkerTask& task, const UserJob& job);
  void fail_gang(UserJob& job, std::uint64_t attempt);
  void for_each_gang_member(const UserJob& job, std::uint64_t attempt,
                            const std::function<void(WorkerMachine&, WorkerTask&)>& f);
  void on_image_ready(WorkerMachine& machine, std::uint64_t attempt, const std::string& name);
  void finish_task(WorkerMachine& machine, std::uint64_t attempt, const std::string& name,
                   const std::string& cause);

  // users
  void schedule_submissions();
  void submit_random_job();
  void submit(UserJob& job, double since);
  /// Returns the controller to which the load balancer sends a user.
  std::size_t node_for_user();
  void poll(UserJob& job);
  void cancel_job(UserJob& job);
  void on_job_state(UserJob& job, int status, const Value& body, const char* source);
  void submit_at(UserJob& job, double since, std::size_t node);
  void query_at_node(UserJob& job, std::size_t node, const char* source);
  void cancel_at_node(UserJob& job, std::size_t node);
  void poll_every_node(UserJob& job);
  void send_malformed_request();
  void start_uncommanded_task(const UserJob& job);
  void deliver_from_user(std::size_t node, const controller::IncomingRequest& request,
                         const AnswerCallback& then);
  void release_held_heartbeats(std::size_t node);
  void record_query();
  void record_answer(UserJob& job);
  void check_answered(UserJob& job);
  bool most_are_answered();
  void check_waiting();
  bool has_capacity_beside(const UserJob& job) const;
  /// Returns the time from which no fault is left.
  double faults_end_at() const;

  // repeated requests
  void may_arrive_again(std::function<void()> arrive);
  void release_held_copies();
  ReplyCallback repeat_if_executed(ReplyCallback reply, std::function<void()> arrive);

  // faults
  void random_fault();
  void combined_fault();
  void cut(const std::string& a, const std::string& b, double for_s, bool hold);

  // rules
  void report_violation(const std::string& rule, const std::string& details);
  void check_start(WorkerMachine& machine, WorkerTask& task, UserJob& job);
  void check_rules();
  /// Reports a task that is on a machine although the leader may start it.
  void check_free_to_start();
  /// Records that a leader answered a heartbeat that reported tasks as done.
  void record_done_seen(WorkerMachine& machine, const Value& report, const ports::Answer& answer);
  void check_after_done(const WorkerTask& task, const UserJob& job);
  void check_capacity();
  void mark_cancelled(UserJob& job, double since);
  bool may_be_cancelled(const UserJob& job) const;
  bool cannot_complete(const UserJob& job) const;
  void choose_dependencies(UserJob& job);
  void submit_impossible_job();

  SimulationPlan plan_;
  std::shared_ptr<CellNetwork> cell_network_;
  ExternalProcesses external_processes_;
  pcg32 rng_;
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  settings::Settings settings_;
  std::vector<wire::MachineType> catalog_;
  std::vector<std::unique_ptr<SimulatedController>> controllers_;
  std::map<std::pair<std::string, std::string>, NetworkLink> links_;

  std::map<std::string, StoredValue> store_;
  std::uint64_t revision_ = 0, next_lease_ = 0;
  std::map<std::uint64_t, std::pair<double, double>> leases_;  // time to live and end, in seconds
  std::vector<Change> changes_;
  std::vector<std::shared_ptr<Watch>> watches_;
  struct ZoneCut {
    double until = -1;
    bool holds_packets = false;
    double from = -1;
  };
  std::vector<ZoneCut> zone_cuts_;
  double state_down_until_ = -1, state_slow_until_ = -1;
  std::map<std::size_t, double> state_refuses_;
  std::deque<std::pair<double, double>> write_requests_;  // time, number of changes
  double writes_in_window_ = 0;
  double state_level_ = 0, write_level_ = 0, state_at_ = 0;
  settings::Settings settings_before_upgrade_;  // of controllers not restarted yet
  bool limits_lowered_ = false;
  double dependencies_from_ = 0;  // an older version must not receive any

  std::map<std::string, std::unique_ptr<WorkerMachine>> machines_;
  std::map<std::string, Value> rentals_;
  std::vector<std::pair<double, Value>> lists_;
  std::size_t machines_made_ = 0;
  double cloud_down_until_ = -1, checked_at_ = -1, free_to_start_checked_at_ = -1;
  double no_capacity_until_ = -1;

  std::map<std::string, std::unique_ptr<UserJob>> jobs_;
  std::size_t jobs_made_ = 0, malformed_requests_made_ = 0;
  double late_write_share_ = 0, late_writes_until_ = -1, late_heartbeat_share_ = 0,
         late_heartbeats_until_ = -1;
  bool late_writes_at_once_ = false, executing_late_write_ = false;
  DuplicateArrival duplicate_arrival_ = DuplicateArrival::later;
  double late_command_share_ = 0, late_commands_until_ = -1;
  double repeated_request_share_ = 0, requests_repeated_until_ = -1, longest_copy_delay_ = 0;
  std::vector<std::function<void()>> held_copies_;
  std::vector<controller::IncomingRequest> held_heartbeats_;
  double cancel_at_end_share_ = 0, cancel_at_end_until_ = -1, malformed_requests_until_ = -1,
         close_polls_until_ = -1;
  std::deque<double> asked_at_, answered_at_;  // times of users' queries, of the last kForgottenLimit
  MessageCorruption corruption_;
  double corruption_share_ = 0, corruption_until_ = -1;
  bool checks_rules_ = true;
  std::size_t corrupted_messages_ = 0;
  double quick_boots_until_ = -1, slow_links_until_ = -1, faults_until_ = 0;
  RunReport run_report_;
};

}  // namespace wingtrail::simulation
