// A simulated cluster in virtual time: state service, cloud, workers, users and the network between them,
// with three real controllers (the decision code as it runs in production) in the middle. After every step
// the rules of the protocol are checked against what really is on the machines.
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
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

using wire::Value;

struct SimulationPlan {
  std::uint64_t seed = 1;
  double duration_s = 240;  // faults end here; what follows must become quiet
  double settle_s = 600;
  double fault_every_s = 12;  // mean distance of faults; 0: none
  bool budget_limits = true;  // teams have limits
  int machines = 6;           // at the start
  std::size_t max_machines = 24;
  std::uint32_t job_size = 1;  // jobs have that many times the tasks
  double arrival_s = 6;        // longest time between two jobs
  double idle_return_s = 20;
  double begin_within_s = 0;
  double headroom = 0.15;     // spare capacity, as a share of the load
  bool dependencies = false;  // half of the jobs wait for others
  // The state service lowers its limits at some moment; nodes that were not restarted since the beginning do
  // not know that, and write under the limits, and so in the layout, of before.
  bool upgrade = false;
  bool scripted = false;  // users submit only what `user` is told
  // Besides the other faults: zones cut off, outages and stalls longer than a worker's lease, waves of
  // machines that hang, a slow state service.
  bool cuts = false;
  double late_writes = 0;  // of transactions, what gets no answer and is carried out 2 to 12 s later
  double undeclared_limits =
      1;  // the share of the limits in the settings that the state service really grants
  bool load_balancing = false;  // the decisions of docs/spread.md
  std::size_t zone_tracking = 2;
  std::size_t nodes = 3;  // controllers
  double write_rps = 0;   // changes a second that the state service grants; 0: as many as such a fleet has
  bool one_without_shares = false;     // the last node has admission switched off, as one of an older version
  bool short_lived_processes = false;  // the decisions of docs/zones.md
  bool fair_admission = false;         // sheets, turns and shares, see docs/admission.md
  bool peer_agreement = false;         // custody by agreement, see docs/custody.md
  double delegation_leases = 2;        // how long a custodian may go on
  double back_from = 1, back_to = 6;   // within what time a controller that ended is back
  std::vector<settings::Objective> objectives;
  // One of several cells, numbered from 0; see cells_world.hpp.
  std::size_t cell = 0, cells = 1;
  bool drain = false;  // it is to be emptied
  // At random among the others: transactions without an answer, late reports, deaf and mute machines, jobs
  // called off in numbers and at their ends, odd requests, close looks, machines up at once, slow links.
  bool combined_faults = false;
  // Among those faults also direct commands that are held up on their way, and old reports that reach a new
  // leader before any worker does.
  bool late_commands = false;
  // A fault planted on purpose, to show that a check can fail. See docs/safety.md.
  std::string planted_fault;
};

// What world_hunt and the suite play for a seed: every other one with chains, every third with an upgrade,
// those from a million on with the faults of combined faults.
SimulationPlan plan_of(std::uint64_t seed);

struct RunReport {
  std::vector<std::string> broken_rules;  // rule and circumstances
  std::size_t started = 0, accepted = 0, finished = 0, cancelled = 0, elections = 0, unfinished = 0;
  std::size_t with_dependencies = 0, orphaned = 0, over_limits = 0, cancellations_deferred = 0;
  std::size_t started_in_cut = 0;  // tasks that a worker began amid a cut of its zone, ordered after it began
  std::size_t rented_in_cut = 0;   // machines rented in a zone that was cut off for longer than 5 s
  std::size_t returned_in_cut = 0;       // machines with tasks on them, of a zone that was cut off then
  std::size_t started_again = 0;         // tasks that had been started before and did not fail
  std::size_t batched = 0;               // jobs whose records came to the state service on sheets
  std::size_t deferred = 0;              // submissions answered 429
  std::size_t cancellation_markers = 0;  // that nodes left in the state service for the leader
  double max_writes = 0;                 // changes asked for in any five seconds, in terms of the budget
  std::size_t lost_by_lease_expiry = 0;  // tasks that sound workers killed when their lease ran out
  std::size_t services_late = 0;  // first starts of services later than two seconds after they were submitted
  std::size_t remote_tasks_started = 0;  // tasks of jobs of other cells
  std::size_t renewed_by_delegates = 0;  // reports that a node answered without being entitled to give orders
  // What the faults of combined faults came to.
  std::size_t late_writes = 0, lost_replies = 0;  // transactions carried out late, or at once unheard
  std::size_t late_heartbeats = 0,
              held_heartbeats = 0;  // copies that arrived again; of these, after a new leader
  std::size_t late_commands = 0;    // direct commands held up on their way
  // Tasks that an answered report had shown as done to an earlier leader, and that started once more.
  std::size_t again_after_done = 0;
  std::size_t undelivered = 0;  // answers and orders that deaf machines lost, reports that mute ones did
  std::size_t cancelled_together = 0;  // running jobs cancelled together
  std::size_t cancelled_at_end = 0;    // jobs cancelled at the end of their last task
  std::size_t malformed_requests = 0;  // to odd requests
  std::size_t close_polls = 0;         // questions within milliseconds after something was told
  std::size_t told_gone = 0;           // cancellations confirmed
  double longest_wait_beside_capacity =
      0;                          // a job's longest wait beside a machine with room for it, all being calm
  double longest_unanswered = 0;  // a job's longest spell without an answered question, faults being over
  // The same at any time, while most questions were answered.
  double longest_unanswered_alone = 0;
};

class SimulatedCluster;

// The way between cells: carries `fn` to the cell, as an event of its own there; or loses it, or delays it.
struct CellNetwork {
  std::vector<SimulatedCluster*> cells;
  std::function<void(std::size_t from, std::size_t to, std::function<void()>)> send;
};

class SimulatedCluster {
 public:
  using ReplyCallback = std::function<void(int, Value)>;
  using AnswerCallback = std::function<void(const ports::Answer&)>;
  // Controllers that are processes of their own: whoever runs them carries requests to them, gives each
  // worker an address, and brings what they ask of the services and the workers. Time is then told from
  // outside too.
  struct ExternalProcesses {
    std::function<void(std::size_t, controller::IncomingRequest, AnswerCallback)> deliver;
    std::function<std::string(const std::string&)> address;
    std::function<void(std::size_t)> boot, crash;
  };
  explicit SimulatedCluster(SimulationPlan plan, ExternalProcesses outside = {});
  ~SimulatedCluster();
  RunReport run();

  void begin();
  void step(double until);  // plays what is due by then
  double next() const {
    return events_.empty() ? now_ + 1 : events_.begin()->first;
  }
  const RunReport& close();  // counts what is left undone
  // A user submits the job now, and cancels it at that time if there is one.
  void submit_job(const wire::JobSpec& spec, double run_s, double cancel_at = -1);
  // So many more users ask about the job, again and again, as its own does.
  void poll_closely(const std::string& ref, int users);
  bool is_done(const std::string& ref) const;  // all its tasks have completed
  // Of the team's accepted arrays that came at least so long ago and were not cancelled, the share that is
  // over.
  double served_share(const std::string& team, double older_than) const;
  // Of the class's jobs that came within that time, the share accepted within `s` of their first try.
  double accepted_within_share(const std::string& job_class, double s, double from, double to) const;
  std::size_t batch_count() const;  // that the state service holds
  // The node ends and comes back with other settings, as will the others when they do.
  void restart_with(const std::function<void(settings::Settings&)>& change, std::size_t node);
  // Faults that a test orders: for so long, from now.
  void cut_zone(std::size_t zone, double for_s, bool hold);
  void state_outage(double for_s);
  void state_slow(double for_s);
  void cut_node(std::size_t i, bool from_state, bool from_peers, double for_s, bool hold);
  void freeze(std::size_t i, double for_s);
  void refuse_state_service(std::size_t node, double for_s);  // that node alone
  // That share of transactions gets no answer: carried out 2 to 12 s later, or at once.
  void delay_writes(double share, double for_s, bool at_once);
  // Of that share of reports a copy arrives again at every node: up to well over a lease later, spread over
  // the first seconds of the next leadership, or just as that begins.
  enum class DuplicateArrival : std::uint8_t { later, after_election, at_election };
  void duplicate_heartbeats_late(double share, double for_s, DuplicateArrival when);
  // That share of direct commands gets no answer and is carried out once, 2 to 16 s late, if token and
  // session still match.
  void delay_commands(double share, double for_s);
  enum class MachineFault : std::uint8_t {
    hung,         // does nothing, and goes on afterwards
    deaf,         // its reports arrive; answers to them and orders are lost
    mute,         // reaches no controller; orders arrive
    unreachable,  // neither, but it works
  };
  // So many machines that are up, first those with tasks of that job; returns how many.
  std::size_t fail_machines(MachineFault what, std::size_t n, double for_s, const std::string& ref = {});
  // Users call off so many jobs that run and have long to go, within a fifth of a second; up to eight of
  // their machines hang for so long.
  void cancel_running_jobs(std::size_t n, double hang_s);
  void cancel_at_completion(double share, double for_s);
  void send_malformed_requests(double for_s);
  void poll_all_nodes(double for_s);
  void boot_quickly(double for_s);  // machines that are rented are up within two seconds
  void slow_down_links(double for_s);
  void cancel(const std::string& ref);                // its user wants that from now on
  double began_at(const std::string& ref) const;      // its first start; negative: nothing of it has begun
  double cancelled_at(const std::string& ref) const;  // when its user was told so; negative: not yet
  // Accepted jobs whose users want them cancelled, and have not heard how that ended.
  std::size_t open_cancellations() const;
  bool told_done(const std::string& ref) const;
  bool accepted(const std::string& ref) const;
  std::size_t on_machines(const std::string& ref) const;   // its tasks that are there, as far as leases go
  std::size_t key_count(const std::string& prefix) const;  // that the state service holds
  // The node whose name is in the leader's key; for controllers that cannot be asked.
  std::optional<std::size_t> leader_key_holder() const;
  std::size_t nodes() const {
    return plan_.nodes;
  }
  bool is_cut_off(std::size_t zone) const {
    return now_ < zone_cuts_[zone].until;
  }
  // Of a service's replicas, how many are on machines that can go on with them.
  std::size_t replicas_up(const std::string& ref) const;
  std::size_t machines_in_zone(std::size_t zone) const;  // that are there and not gone
  // Of the machines there, so many die with what is on them, unseen until they are asked.
  void kill_in_zone(std::size_t zone, std::size_t n);
  void crash(std::size_t i);
  void slow_machines(std::size_t n, double factor);  // some of those that are up
  void kill_machines(std::size_t n);
  std::size_t tasks_on_slow_machines(double factor) const;  // tasks on machines as slow as that
  void schedule_after(double delay, std::function<void()> fn) {
    add_event_after(delay, std::move(fn));
  }
  // ---- several cells
  void join_network(std::shared_ptr<CellNetwork> reach) {
    cell_network_ = std::move(reach);
  }
  double now() const {
    return now_;
  }
  void schedule_at(double when, std::function<void()> fn) {
    add_event(when, std::move(fn));
  }
  // A frame of another cell arrives at one of the controllers.
  void deliver_frame(std::size_t node, const peer::Frame& frame, AnswerCallback then);
  std::size_t unfinished_jobs() const;  // accepted arrays that are to be done and are not
  std::size_t startable_here()
      const;  // of what waits, jobs that the leader may start here; all, without a leader
  std::size_t completed_jobs()
      const;  // accepted arrays, of those not cancelled, whose tasks have all completed
  std::size_t unrecorded_final_states()
      const;                           // accepted jobs that are over, of which the state service holds no end
  std::size_t unstarted_jobs() const;  // accepted arrays that nothing has been begun of
  double completed_within_share(const std::string& job_class, double s, double from, double to) const;
  std::optional<std::size_t> leader() const;  // the node that may give orders now
  const RunReport& run_report() const {
    return run_report_;
  }
  // What the leader counted; nothing if nobody leads.
  std::optional<controller::Stats> leader_stats() const;
  const settings::Settings& settings() const {
    return settings_;
  }
  // What held before the upgrade, and whether the node has not had it yet.
  const settings::Settings& settings_before_upgrade() const {
    return settings_before_upgrade_;
  }
  bool runs_former_version(std::size_t node) const;
  void state_service_request(std::size_t node, const std::string& method, const std::string& path,
                             const Value& body, ReplyCallback reply);
  void cloud_request(const std::string& method, const std::string& path, const Value& body,
                     const ReplyCallback& reply);
  // What a worker answers to /commands; nothing if it does not answer.
  std::optional<std::pair<int, Value>> worker_commands(const std::string& host, const Value& body);

 private:
  struct WorkerMachine;
  struct WorkerTask;
  struct UserJob;
  struct SimulatedController;
  struct NetworkLink;
  struct StoredValue {
    Value value;
    std::uint64_t version = 0, lease = 0;
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
  bool send(const std::string& a, const std::string& b,
            std::function<void()> fn);  // false: nothing can get there
  double latency();
  std::optional<std::size_t> zone_of(const std::string& who) const;
  // Until when the zone of one of the two, but not of both, is cut off; and whether packets are held.
  std::pair<double, bool> zone_cut(const std::string& a, const std::string& b) const;

  // controllers
  void boot(std::size_t i);
  void wake_controller(std::size_t i);
  double node_time(const SimulatedController& c) const;
  void run_controller(std::size_t i);
  void execute_call(std::size_t i, const ports::Call& call);
  void deliver(std::size_t i, controller::IncomingRequest in, AnswerCallback then);

  // state service
  void record_change(const std::string& key, Value value, bool erased);
  void expire_leases();
  void execute_write_late(std::size_t node, const Value& body);
  bool exceeds_limits(const Value& body, const settings::Settings& s, double share) const;
  void serve_watches();
  void end_watch(const std::shared_ptr<Watch>& w);

  // cloud
  WorkerMachine& add_machine(std::size_t type, std::size_t zone, bool spot, double boot);
  void remove_machine(WorkerMachine& h);
  void snapshot_list();
  void keep_listing();

  // workers
  void start_worker(WorkerMachine& h);
  void check_lease(WorkerMachine& h);
  void send_heartbeat(WorkerMachine& h);
  void schedule_heartbeat(WorkerMachine& h, double delay);
  Value heartbeat_value(WorkerMachine& h);
  bool delay_command(const WorkerMachine& machine, const Value& body);
  int execute_commands(WorkerMachine& h, const Value& body, bool direct);
  void execute_command(WorkerMachine& h, const Value& o);
  void start_gang_if_complete(UserJob& job, std::uint64_t attempt, double run);
  UserJob* find_job_in_any_cell(const std::string& ref);  // wherever it was submitted
  void check_other_cells(const WorkerTask& task, const UserJob& job);
  void fail_gang(UserJob& job, std::uint64_t attempt);
  void for_each_gang_member(const UserJob& job, std::uint64_t attempt,
                            const std::function<void(WorkerMachine&, WorkerTask&)>& f);
  void on_image_ready(WorkerMachine& h, std::uint64_t attempt, const std::string& name);
  void finish_task(WorkerMachine& h, std::uint64_t attempt, const std::string& name,
                   const std::string& cause);

  // users
  void schedule_submissions();
  void submit_random_job();
  void submit(UserJob& job, double since);
  void poll(UserJob& job);
  void cancel_job(UserJob& job);
  void on_job_state(UserJob& job, int status, const Value& body, const char* how);
  void submit_at(UserJob& job, double since, std::size_t node);
  void query_at_node(UserJob& job, std::size_t node, const char* how);
  void cancel_at_node(UserJob& job, std::size_t node);
  void poll_every_node(UserJob& job);
  void send_malformed_request();
  void start_stray_copy(const UserJob& job);
  void release_held_heartbeats(std::size_t node);
  void record_question();  // a user's question is sent
  void record_answer(UserJob& job);
  void check_answered(UserJob& job);
  bool most_are_answered();
  void check_waiting();
  bool has_capacity_beside(const UserJob& job) const;
  void extend_fault_period(double for_s);  // a fault that lasts for so long begins now
  double faults_end_at() const;            // from when no fault is left

  // faults
  void random_fault();
  void combined_fault();
  void cut(const std::string& a, const std::string& b, double for_s, bool hold);

  // rules
  void report_violation(const std::string& rule, const std::string& how);
  void check_start(WorkerMachine& h, WorkerTask& task, UserJob& job);
  void check_cancelled();
  // No task that is on a machine may be free to start for the leader.
  void check_free_to_start();
  // A report that showed these tasks as done was answered by a leader.
  void record_done_seen(WorkerMachine& h, const Value& report, const ports::Answer& answer);
  void check_after_done(const WorkerTask& task, const UserJob& job);
  void check_capacity();
  void mark_doomed(UserJob& job, double since);
  bool may_be_cancelled(const UserJob& job) const;
  bool hopeless(const UserJob& job) const;
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
  std::uint64_t revision_ = 0, leases_made_ = 0;
  std::map<std::uint64_t, std::pair<double, double>> leases_;  // ttl, end
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
  std::deque<std::pair<double, double>> write_requests_;  // when, how many
  double writes_in_window_ = 0;
  double state_level_ = 0, write_level_ = 0, state_at_ = 0;
  settings::Settings settings_before_upgrade_;  // what nodes that were not restarted yet go by
  bool limits_lowered_ = false;
  double dependencies_from_ = 0;  // a version that does not know them must not meet any

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
  bool late_at_once_ = false, writing_late_ = false;
  DuplicateArrival duplicate_arrival_ = DuplicateArrival::later;
  double late_command_share_ = 0, late_commands_until_ = -1;
  std::vector<controller::IncomingRequest> held_heartbeats_;
  double cancel_at_end_share_ = 0, cancel_at_end_until_ = -1, malformed_requests_until_ = -1,
         close_polls_until_ = -1;
  std::deque<double> asked_at_, answered_at_;  // users' questions, within kForgotten
  double quick_boots_until_ = -1, slow_links_until_ = -1, faults_until_ = 0;
  RunReport run_report_;
};

}  // namespace wingtrail::simulation
