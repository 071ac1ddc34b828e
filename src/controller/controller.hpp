/// @file
/// One controller without its I/O: it is passed requests, replies and the time, and returns actions.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "admission/budget_shares.hpp"
#include "admission/creation_queue.hpp"
#include "autoscaling/autoscaler.hpp"
#include "cells/offload_planner.hpp"
#include "cells/remote_placements.hpp"
#include "controller/batch_index_follower.hpp"
#include "controller/deferral_reason.hpp"
#include "controller/delegated_renewal.hpp"
#include "controller/delegation_support.hpp"
#include "controller/final_state_cache.hpp"
#include "controller/final_state_query.hpp"
#include "controller/heartbeat_handler.hpp"
#include "controller/job_cancellation.hpp"
#include "controller/job_lookup.hpp"
#include "controller/job_queries.hpp"
#include "controller/job_submission.hpp"
#include "controller/leader_absence_reporter.hpp"
#include "controller/leader_clock.hpp"
#include "controller/machine_catalog.hpp"
#include "controller/overload_monitor.hpp"
#include "controller/peer_calls.hpp"
#include "controller/peer_directory.hpp"
#include "controller/recording_delay_reporter.hpp"
#include "controller/responder.hpp"
#include "controller/zone_reporter.hpp"
#include "jobs/dependency_graph.hpp"
#include "jobs/job_registry.hpp"
#include "jobs/state_writer.hpp"
#include "leadership/leader_election.hpp"
#include "ports/outbox.hpp"
#include "scheduling/scheduler.hpp"
#include "settings/settings.hpp"
#include "store/state_client.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// An HTTP request of a user or a worker.
struct IncomingRequest {
  std::uint64_t id = 0;  ///< repeated in the ports::Answer
  std::string method;
  std::string path;
  std::string body;  ///< encoded, as received
};

/// A snapshot of the controller's counters and gauges. The daemon publishes them as metrics.
struct Stats {
  struct ClassLoad {  ///< the load of one job class of one team; see balancing/load_snapshot.hpp
    std::string team;
    std::string job_class;
    double cores_in_use = 0;
    double cores_waiting = 0;
    double oldest_wait_s = 0;
    double arriving_cores = 0;      ///< recent arrivals, in core-seconds per second
    double surge = 1;               ///< the recent rate of arrivals divided by the usual one
    double served_share = 1;        ///< of the jobs that are done or late, the share that is done
    double largest_zone_share = 0;  ///< of the cores in use
  };
  struct CellLoad {  ///< the state of offloading to one neighbouring cell
    std::string name;
    double remote_jobs = 0;    ///< jobs of this cell that the neighbour holds
    double digest_age_s = 0;   ///< since the neighbour's last capacity digest
    double accepts_cores = 0;  ///< by that digest
    double wait_s = 0;         ///< by that digest
  };

  struct RefusedMessages {  ///< by one reader
    const char* reader;
    wire::RefusalCounts counts;
  };

  // Requests.
  std::vector<RefusedMessages> refused_messages;  ///< one for each reader
  std::uint64_t submissions = 0;
  std::uint64_t jobs_accepted = 0;
  std::uint64_t submissions_refused = 0;  ///< refused for good; deferred ones are not counted
  std::uint64_t heartbeats = 0;
  std::uint64_t forwarded_requests = 0;
  std::uint64_t jobs_done = 0;
  std::uint64_t jobs_cancelled = 0;
  std::uint64_t cancellations_deferred = 0;  ///< because a task is on an unreachable machine
  std::array<std::uint64_t, kDeferralReasonCount> queries_deferred{};  ///< by reason
  std::uint64_t queries_not_forwarded = 0;  ///< because too many others were waiting for the leader
  std::size_t unanswered_jobs = 0;          ///< jobs without an answer since a deferred query
  double longest_unanswered_s = 0;
  std::uint64_t overdue_jobs = 0;     ///< unanswered for too long while the state service replied
  std::size_t lookups_waiting = 0;    ///< lookups for queries that wait for the request budget
  std::uint64_t lookups_expired = 0;  ///< given up before the request budget allowed them
  std::uint64_t comparisons = 0;      ///< requests that compare the keys of queried jobs
  std::uint64_t jobs_compared = 0;    ///< jobs in these requests

  // Leadership and the state service.
  bool leading = false;
  std::uint64_t leader_fencing_token = 0;  ///< the highest known
  double leaderless_s = 0;                 ///< for how long no active leader has been known
  bool leader_key_without_lease = false;   ///< the leader key was last read without a lease
  double reconciled_after_s = 0;           ///< duration of the reconciliation; 0: not finished
  std::uint64_t delegated_renewals = 0;
  std::uint64_t delegations_granted = 0;
  std::uint64_t state_requests = 0;
  std::uint64_t state_throttled = 0;  ///< requests not sent because the budget share was used up
  double state_share = 0;             ///< part of the write budget that this controller may use
  double state_demand = 0;            ///< part of the write budget that it has recently requested
  double loan_age_s = 0;              ///< since the leader last set this controller's budget share

  // Records.
  std::uint64_t commits = 0;
  std::uint64_t malformed_commits = 0;  ///< refused by the state service as malformed
  std::uint64_t state_writes = 0;       ///< the sum of the next three
  std::uint64_t final_states_written = 0;
  std::uint64_t inventory_written = 0;
  std::uint64_t completions_written = 0;
  std::uint64_t records_deleted = 0;
  std::uint64_t pages_split = 0;
  std::size_t record_pages = 0;
  jobs::StateWriter::Backlogs final_state_backlogs{};  ///< by kind

  // Jobs.
  std::size_t live_jobs = 0;
  std::size_t held_jobs = 0;           ///< jobs that wait for their dependencies
  std::uint64_t dependencies_met = 0;  ///< jobs whose dependencies are all done
  std::uint64_t orphaned = 0;          ///< jobs cancelled because a dependency was cancelled
  std::uint64_t batches_created = 0;
  std::uint64_t batched_jobs = 0;  ///< jobs created in batches
  std::size_t live_batches = 0;
  std::uint64_t creations_deferred = 0;
  std::size_t admissions_waiting = 0;
  /// Deferred submissions by team and class.
  std::vector<std::pair<std::pair<std::string, std::string>, std::uint64_t>> deferred_by_class;

  // Machines and tasks.
  std::size_t machines = 0;
  std::size_t slow_machines = 0;
  std::uint64_t machines_rented = 0;
  std::uint64_t machines_returned = 0;
  std::uint64_t commands_sent = 0;
  workers::WorkerManager::ForgetCommands forgets;
  workers::WorkerManager::RetainedAttempts retained_attempts;
  std::uint64_t unexpected_attempts = 0;  ///< attempts that began without a current start
  std::uint64_t unknown_tokens = 0;       ///< reports of workers with a token that no leader has held
  std::uint64_t direct_calls = 0;
  std::uint64_t deadline_checks = 0;
  std::uint64_t liveness_sweeps = 0;
  std::uint64_t tasks_started = 0;
  std::uint64_t tasks_preempted = 0;
  std::uint64_t tasks_reclaimed = 0;
  std::uint64_t machines_examined = 0;
  std::uint64_t jobs_examined = 0;
  std::uint64_t migrations_begun = 0;
  std::uint64_t migrations_done = 0;
  std::uint64_t migrations_failed = 0;
  double migrations_lost_work_s = 0;

  // Load.
  std::vector<ClassLoad> loads;
  std::vector<std::pair<std::string, std::string>> zone_states;  ///< zone and state
  std::uint64_t zones_lost = 0;
  std::uint64_t zones_returned = 0;
  std::vector<std::pair<std::string, double>> cores_by_zone;            ///< zone and cores in use
  std::vector<std::pair<std::string, double>> waiting_cores_by_reason;  ///< filter and cores waiting for it

  // Other cells.
  std::vector<CellLoad> cells;  ///< one for each neighbour
  std::uint64_t jobs_offloaded = 0;
  std::uint64_t remote_jobs_returned = 0;  ///< offloaded jobs that this cell schedules itself again
  std::uint64_t remote_jobs_done = 0;
  std::uint64_t offers_accepted = 0;
  std::uint64_t offers_refused = 0;
  std::uint64_t offered_jobs_ended = 0;  ///< foreign jobs that have a final state
  std::uint64_t tombstones = 0;
};

/// Returns the largest allowed size, in bytes, of a remote placement page.
std::size_t page_bytes(const settings::Settings& settings);

/// One controller: connects its components, routes requests to them, and runs leaderships from the election
/// to the loss. It uses no sockets and no clocks: the caller passes in the time, calls drain() after every
/// other call, and carries out the returned actions. All times are in seconds of a steady clock.
class Controller {
 public:
  /// @param seed for random numbers; it also names this process, so it must differ between processes
  Controller(settings::Settings settings, std::uint64_t seed);

  /// Must be called once, before anything else.
  void start(Seconds now);
  /// Handles a request of a user or a worker.
  void on_request(Seconds now, const IncomingRequest& request);
  /// Handles a frame of a peer or of a controller of another cell.
  /// @param id repeated in the ports::Answer
  void on_frame(Seconds now, std::uint64_t id, const peer::Frame& frame);
  /// Handles the reply to the call with that id, or its failure.
  void on_reply(Seconds now, std::uint64_t call, const ports::Reply& reply);
  /// Runs the timers that are due. Must be called at next_wake().
  void tick(Seconds now);
  /// Sets the difference between the time of day (seconds since 1970) and the steady clock.
  void set_day_offset(double offset) {
    out_.set_day_offset(offset);
  }
  /// Returns the time of the next timer; kNever if there is none.
  Seconds next_wake() const {
    return out_.next_wake();
  }
  /// Returns the actions to carry out, in order.
  std::vector<ports::Action> drain();

  /// Whether this controller leads, its lease has not expired, and it has read its jobs and machines.
  bool is_active_leader() const {
    return election_.may_act() && loaded_;
  }
  Seconds leader_lease_expires_at() const {
    return election_.lease_expires_at();
  }
  Stats stats() const;

  // Access to components, for tests.
  const leadership::LeaderElection& leader_election() const {
    return election_;
  }
  workers::WorkerManager& workers() {
    return workers_;
  }
  jobs::JobRegistry& registry() {
    return registry_;
  }
  const scheduling::Scheduler& scheduler() const {
    return scheduler_;
  }

 private:
  void route(const RequestOrigin& origin, const std::string& method, const std::string& path,
             const std::string& body);
  bool is_ready() const;
  void on_live_job_read(const LiveRecord& live);
  // Job batches and the budget share (batches.cpp).
  bool may_create_batches() const;
  bool shares_are_fixed() const;
  store::StateClient::BudgetShare budget_share() const;
  void drop_jobs_with_final_state(std::function<void()> then);
  void on_batch_read(const std::string& key, const wire::Value& value, std::uint64_t version,
                     const std::set<std::string>& with_final_state = {});
  void reread_jobs(std::uint64_t term);
  struct Rereading;
  void reread_next_page(const std::shared_ptr<Rereading>& reading);
  void apply_reread_jobs(const std::shared_ptr<Rereading>& reading);
  void on_final_state(const std::string& ref, const wire::FinalState& state);

  void send_status_to_peers();
  // Handles a peer's request, or its reply to a request that was sent at `request_sent`.
  void on_peer_frame(std::size_t peer, const peer::Frame& frame, std::optional<Seconds> request_sent);
  peer::Frame make_frame() const;
  void probe_state_service();
  bool knows_active_leader() const;
  void run_periodic_tasks();
  void log_stats();

  // A leadership (leadership.cpp).
  void on_elected();
  void on_leadership_lost();
  void load_records(const char* prefix, const std::string& after, std::uint64_t term);
  void load_item(const char* prefix, const wire::Item& item);
  void on_load_finished();
  void watch_jobs(std::uint64_t after, std::uint64_t term);
  void on_live_key_read(const std::string& key, const wire::Value& value, std::uint64_t version);
  void on_job_read(const wire::Value& value, std::uint64_t version, const std::string& batch_key = {});
  jobs::Job* add_job(const wire::Value& value, std::uint64_t version);
  // Returns the steady-clock time of a time of day, at most now.
  Seconds to_steady_time(double time_of_day) const;

  // Dependencies and final states (dependency_lookup.cpp, final_states.cpp).
  void process_dependencies();
  void look_up_unknown_dependencies();
  void look_up_dependency(const std::string& ref);
  void update_final_states_recorded_until();
  void follow_recorded_final_states(const peer::Frame& received, std::optional<Seconds> request_sent);
  void on_job_final(jobs::Job& job);
  void complete_if_done(jobs::Job& job);

  // Offloading between cells (offloading.cpp, offload_planning.cpp, remote_jobs.cpp).

  // What this leader knows of a neighbouring cell.
  struct NeighbourState {
    std::size_t controller = 0;  // index of the neighbour's controller that is queried
    bool query_in_flight = false;
    Seconds digest_sent_at = -1e9;  // when this cell's digest was last sent to the neighbour
    Seconds last_digest_at = -1e9;  // when the neighbour's digest was last received
    std::optional<peer::CapacityDigest> digest;
    std::deque<std::pair<Seconds, double>> offered;  // time and cores of the latest offers to the neighbour
    double promised = 0;  // cores in the last digest sent to the neighbour, minus its offers since then
    Seconds promised_at = -1e9;
    bool reachable = false;  // as last logged
  };
  void on_digest(NeighbourState& neighbour, const peer::CapacityDigest& digest);
  peer::Frame make_cell_frame(const std::string& cell, std::string cell_message) const;
  bool peers_support_cells() const;
  void update_cells();
  void query_cell(std::size_t cell);
  void on_cell_reply(std::size_t cell, const peer::Frame& frame);
  void on_job_message(std::size_t cell, const peer::JobMessage& message);
  void log_reachability(std::size_t cell);
  struct WaitingWork;
  void plan_offloading();
  void release_selected_jobs();
  WaitingWork collect_waiting_work();
  cells::LocalCapacity measure_local_capacity();
  std::vector<cells::NeighbourCapacity> neighbour_capacities(const cells::LocalCapacity& here,
                                                             bool starts_at_once);
  cells::WaitingJob describe_for_offloading(const jobs::Job& job) const;
  double core_seconds(const jobs::Job& job) const;
  void offload_jobs(const cells::OffloadPlan& plan, const std::vector<jobs::Job*>& waiting,
                    const std::vector<cells::WaitingJob>& candidates, double cores);
  void hold_for_offloading(jobs::Job& job);
  bool may_be_offloaded(const jobs::Job& job) const;
  void read_uncertain_pages();
  void write_remote_placements();
  void on_remote_placements_reply(const store::Reply& reply);
  void schedule_locally(const std::vector<std::string>& refs);
  void load_remote_placements();
  peer::CapacityDigest make_digest(std::size_t to);
  void on_cell_message(std::uint64_t id, const peer::Frame& frame);
  void answer_cell(std::uint64_t id, int status, const peer::CellMessage& message);
  void relay_to_leader(std::uint64_t id, const peer::Frame& frame);
  struct CellReply;
  void answer_job_message(const std::shared_ptr<CellReply>& reply, std::size_t i, const std::string& from);
  void on_offer(const std::shared_ptr<CellReply>& reply, std::size_t i, const std::string& from);
  bool accepts_offer(const wire::JobSpec& spec, const std::string& from);
  void create_offered_job(const std::shared_ptr<CellReply>& reply, std::size_t i, const wire::JobSpec& spec,
                          const wire::Value& record, const std::string& from);
  void on_recall(const std::shared_ptr<CellReply>& reply, std::size_t i, const std::string& from);
  void put_tombstone(const std::string& ref);
  void write_tombstone(const std::string& ref);

  settings::Settings settings_;
  ports::Outbox out_;
  store::StateClient store_;
  jobs::JobRegistry registry_;
  leadership::LeaderElection election_;
  PeerDirectory peers_;
  DelegationSupport delegation_support_;
  DelegatedRenewal delegated_renewal_;
  admission::BudgetShares write_shares_, request_shares_;
  admission::CreationQueue creation_queue_;
  BatchIndexFollower batches_;
  JobLookup lookup_;
  QueryLookupQueue query_lookups_;
  FinalStateQuery final_state_query_;
  OverloadMonitor overload_;
  RecordingDelayReporter recording_delays_;
  LeaderAbsenceReporter leader_absence_;
  jobs::DependencyGraph dependencies_;
  jobs::StateWriter state_writer_;
  workers::WorkerManager workers_;
  scheduling::Scheduler scheduler_;
  autoscaling::Autoscaler autoscaler_;

  MachineCatalog catalog_;
  ZoneReporter zone_reporter_;
  FinalStateCache final_states_;
  // Incremented when a leadership begins or ends. Replies to requests of an earlier term are ignored.
  std::uint64_t term_ = 0;
  bool loaded_ = false;                            // this controller leads and has read its jobs and machines
  Seconds last_load_reply_at_ = 0;                 // when the last records were read, while not loaded
  std::vector<std::string> cancellation_markers_;  // keys of the markers that were read while loading
  std::deque<std::string> dependencies_to_look_up_;  // dependencies that are not known to this controller
  int dependency_lookups_in_flight_ = 0;
  Seconds started_at_ = 0;
  // If a job was cancelled before this time, the final states of the jobs that depend on it are recorded too,
  // as far as this controller knows.
  Seconds final_states_recorded_until_ = -1e9;
  LeaderClock leader_clock_;
  Seconds loaded_at_ = 0;
  std::deque<std::pair<Seconds, std::string>> unknown_dependencies_;  // since when, oldest first
  std::uint64_t jobs_revision_ = 0;  // of the state service, from which the jobs are watched
  cells::RemotePlacements remote_placements_;
  std::vector<NeighbourState> neighbours_;
  std::vector<wire::Item> remote_placement_pages_;  // read while loading
  std::set<std::string> tombstones_in_progress_;    // foreign jobs whose tombstones are being written
  wire::RefusalCounts refused_offers_;              // records in offers that could not be read
  // Capacity for foreign jobs, computed once a second.
  cells::ForeignJobCapacity foreign_job_capacity_;
  bool foreign_job_capacity_known_ = false;  // whether it was computed in this leadership
  Seconds foreign_job_wait_s_ = 0;           // expected wait of a foreign job, in seconds
  // Jobs that must not start here because they are selected for offloading.
  std::vector<jobs::JobIndex> selected_for_offload_;
  bool offloading_expected_ = false;  // by the last plan, new jobs would start sooner in another cell
  Seconds offloading_planned_at_ = -1e9;
  std::set<std::string> pages_being_read_;  // keys of remote placement pages with an unknown write outcome
  Seconds unknown_cells_logged_at_ = -1e9;

  Responder responder_;
  PeerCalls peer_calls_;
  JobQueries queries_;
  JobCancellation cancellation_;
  JobSubmission submission_;
  HeartbeatHandler heartbeats_;
  Stats stats_;
};

}  // namespace wingtrail::controller
