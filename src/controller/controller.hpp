/// @file
/// The decisions of one controller. Requests, replies and the time come in; actions go out.
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

/// A request of a user or a worker.
struct IncomingRequest {
  std::uint64_t id = 0;  ///< to be named in the answer
  std::string method;
  std::string path;
  std::string body;  ///< as it came
};

/// Counters and gauges, as of one moment. The daemon publishes them as metrics.
struct Stats {
  struct ClassLoad {  ///< of one class of one team; see balancing/load_snapshot.hpp
    std::string team;
    std::string job_class;
    double cores_in_use = 0;
    double cores_waiting = 0;
    double oldest_wait_s = 0;
    double arriving_cores = 0;
    double surge = 1;
    double served_share = 1;
    double largest_zone_share = 0;
  };
  struct CellLoad {  ///< what is between this cell and a neighbour
    std::string name;
    double remote_jobs = 0;
    double digest_age_s = 0;
    double accepts_cores = 0;
    double wait_s = 0;
  };

  // Requests.
  std::uint64_t submissions = 0;
  std::uint64_t jobs_accepted = 0;
  std::uint64_t submissions_refused = 0;
  std::uint64_t heartbeats = 0;
  std::uint64_t forwarded_requests = 0;
  std::uint64_t jobs_done = 0;
  std::uint64_t jobs_cancelled = 0;
  std::uint64_t cancellations_deferred = 0;
  std::array<std::uint64_t, kDeferralReasonCount> queries_deferred{};  ///< by reason

  // Leadership and the state service.
  bool leading = false;
  std::uint64_t leader_fencing_token = 0;  ///< of the newest leadership known of
  double reconciled_after_s = 0;           ///< from the failover; 0: not yet
  std::uint64_t delegated_renewals = 0;
  std::uint64_t delegations_granted = 0;
  std::uint64_t state_requests = 0;
  std::uint64_t state_throttled = 0;
  double state_share = 0;   ///< of the budget: what this controller may use
  double state_demand = 0;  ///< of the budget: what it has asked for lately
  double loan_age_s = 0;    ///< since the leader last said what this controller may use

  // Records.
  std::uint64_t commits = 0;
  std::uint64_t malformed_commits = 0;
  std::uint64_t state_writes = 0;
  std::uint64_t final_states_written = 0;
  std::uint64_t inventory_written = 0;
  std::uint64_t completions_written = 0;
  std::uint64_t records_deleted = 0;
  std::uint64_t pages_split = 0;
  std::size_t record_pages = 0;
  jobs::StateWriter::Backlogs final_state_backlogs{};  ///< by kind

  // Jobs.
  std::size_t live_jobs = 0;
  std::size_t held_jobs = 0;
  std::uint64_t dependencies_met = 0;  ///< jobs whose dependencies are all done
  std::uint64_t orphaned = 0;
  std::uint64_t batches_created = 0;
  std::uint64_t batched_jobs = 0;
  std::size_t live_batches = 0;
  std::uint64_t creations_deferred = 0;
  std::size_t admissions_waiting = 0;
  std::vector<std::pair<std::pair<std::string, std::string>, std::uint64_t>>
      deferred_by_class;  ///< team, class

  // Machines and tasks.
  std::size_t machines = 0;
  std::size_t slow_machines = 0;
  std::uint64_t machines_rented = 0;
  std::uint64_t machines_returned = 0;
  std::uint64_t commands_sent = 0;
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
  std::vector<std::pair<std::string, std::string>> zone_states;  ///< zone, state
  std::uint64_t zones_lost = 0;
  std::uint64_t zones_returned = 0;
  std::vector<std::pair<std::string, double>> cores_by_zone;            ///< in use
  std::vector<std::pair<std::string, double>> waiting_cores_by_reason;  ///< filter, cores

  // Other cells.
  std::vector<CellLoad> cells;  ///< by neighbour
  std::uint64_t jobs_offloaded = 0;
  std::uint64_t jobs_returned_home = 0;
  std::uint64_t remote_jobs_done = 0;
  std::uint64_t offers_accepted = 0;
  std::uint64_t offers_refused = 0;
  std::uint64_t offered_jobs_ended = 0;
  std::uint64_t tombstones = 0;
};

/// The largest size, in bytes, of a page that records jobs held by other cells.
std::size_t page_bytes(const settings::Settings& settings);

/// One controller: wires its parts together, routes requests to them, and carries a leadership from its
/// beginning to its end. It touches neither sockets nor clocks: whoever drives it passes in the time, calls
/// drain() after every other call and carries the actions out. Times are of a steady clock, in seconds.
class Controller {
 public:
  /// @param seed of the random numbers; also names this process, so it must differ between processes
  Controller(settings::Settings settings, std::uint64_t seed);

  /// The process begins. To be called once, before anything else.
  void start(Seconds now);
  /// A user or a worker has sent a request.
  void request(Seconds now, const IncomingRequest& in);
  /// A peer, or a controller of another cell, has sent a frame.
  /// @param id to be named in the answer
  void peer(Seconds now, std::uint64_t id, const peer::Frame& frame);
  /// The call with that id has been replied to, or has failed.
  void reply(Seconds now, std::uint64_t call, const ports::Reply& reply);
  /// Runs the timers that are due; to be called when next_wake() has come.
  void tick(Seconds now);
  /// Sets the time of day less the steady time.
  void set_day_offset(double offset) {
    out_.set_day_offset(offset);
  }
  Seconds next_wake() const {
    return out_.next_wake();
  }
  /// Returns the actions to be carried out, in order.
  std::vector<ports::Action> drain();

  /// Whether this controller leads, its lease has not run out, and it has read its jobs and machines.
  bool is_active_leader() const {
    return election_.may_act() && loaded_;
  }
  Seconds leader_lease_expires_at() const {
    return election_.lease_expires_at();
  }
  Stats stats() const;
  // For tests.
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
  // Job batches, and this controller's share of the budget.
  bool may_create_batches() const;
  bool shares_are_fixed() const;
  store::StateClient::BudgetShare budget_share() const;
  void drop_jobs_with_final_state(std::function<void()> then);
  void on_batch_read(const std::string& key, const wire::Value& value, std::uint64_t version,
                     const std::set<std::string>& over = {});
  void reread_jobs(std::uint64_t term);
  struct Rereading;
  void reread_next_page(const std::shared_ptr<Rereading>& all);
  void apply_reread_jobs(const std::shared_ptr<Rereading>& all);
  void on_final_state(const std::string& ref, const wire::FinalState& ended);

  void greet_peers();
  void heard(std::size_t peer, const peer::Frame& frame);
  peer::Frame frame() const;
  void probe_store();
  void periodic();
  void log_stats();

  void elected();
  void lost();
  void load(const char* prefix, const std::string& after, std::uint64_t term);
  void load_item(const char* prefix, const wire::Item& item);
  void loaded();
  void follow_jobs(std::uint64_t after, std::uint64_t term);
  void on_live_key_read(const std::string& key, const wire::Value& value, std::uint64_t version);
  void on_job_read(const wire::Value& value, std::uint64_t version, const std::string& batch_key = {});
  jobs::Job* add_job(const wire::Value& value, std::uint64_t version);
  Seconds to_steady_time(double time_of_day) const;  // no later than now
  // What follows from jobs that were learnt of or that have ended.
  void process_dependencies();
  void look_up_unknown_dependencies();
  void look_up_dependency(const std::string& ref);
  void update_final_states_recorded_until();
  void on_job_final(jobs::Job& job);
  void complete_if_done(jobs::Job& job);

  // ---- other cells (offloading.cpp, remote_jobs.cpp)
  struct NeighbourState {           // a neighbouring cell as this leader sees it
    std::size_t controller = 0;     // which of its controllers is queried
    bool query_in_flight = false;   // a query is in flight
    Seconds digest_sent_at = -1e9;  // when it last was sent this cell's digest
    Seconds last_digest_at = -1e9;
    std::optional<peer::CapacityDigest> digest;
    std::deque<std::pair<Seconds, double>> offered;  // when, and how many cores
    double promised = 0;  // cores in the last digest sent to it, less what it has offered since
    Seconds promised_at = -1e9;
    bool reachable = false;  // as last logged
  };
  void on_digest(NeighbourState& v, const peer::CapacityDigest& digest);
  // What is said between cells, by this one or on a neighbour's behalf.
  peer::Frame make_cell_frame(const std::string& cell, std::string cell_message) const;
  bool peers_support_cells() const;
  void update_cells();
  void query_cell(std::size_t cell);
  void on_cell_reply(std::size_t cell, const peer::Frame& frame);
  void on_job_message(std::size_t cell, const peer::JobMessage& said);
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
  void return_home(const std::vector<std::string>& refs);
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
  FinalStateQuery final_state_query_;
  OverloadMonitor overload_;
  RecordingDelayReporter recording_delays_;
  jobs::DependencyGraph dependencies_;
  jobs::StateWriter state_writer_;
  workers::WorkerManager workers_;
  scheduling::Scheduler scheduler_;
  autoscaling::Autoscaler autoscaler_;

  MachineCatalog catalog_;
  ZoneReporter zone_reporter_;
  FinalStateCache final_states_;
  std::uint64_t term_ = 0;
  bool loaded_ = false;
  Seconds read_at_ = 0;                              // while not loaded: when something was last read
  std::vector<std::string> markers_read_;            // read while loading
  std::deque<std::string> dependencies_to_look_up_;  // needed jobs that nothing is known of
  int dependency_lookups_in_flight_ = 0;
  Seconds started_at_ = 0;
  // Every job that needs one cancelled before then is recorded as cancelled, as far as this node knows.
  Seconds final_states_recorded_until_ = -1e9;
  Seconds loaded_at_ = 0;
  std::deque<std::pair<Seconds, std::string>> unknown_dependencies_;  // since when, the oldest first
  std::uint64_t jobs_revision_ = 0;
  cells::RemotePlacements remote_placements_;
  std::vector<NeighbourState> neighbours_;
  std::vector<wire::Item> remote_placement_pages_;  // read while loading
  std::set<std::string> tombstones_in_progress_;    // jobs of other cells whose tombstones are being written
  cells::GuestCapacity guest_capacity_;             // as of the last second
  std::vector<jobs::JobIndex>
      selected_for_offload_;                // jobs not started, since they are selected for offloading
  bool offloading_expected_ = false;        // new jobs would start sooner elsewhere, as of the last plan
  bool guest_capacity_known_ = false;       // in this leadership
  std::set<std::string> pages_being_read_;  // pages being read
  Seconds guest_wait_s_ = 0, offloading_planned_at_ = -1e9, unknown_cells_logged_at_ = -1e9;
  Responder responder_;
  PeerCalls peer_calls_;
  JobQueries queries_;
  JobCancellation cancellation_;
  JobSubmission submission_;
  HeartbeatHandler heartbeats_;
  Stats stats_;
};

}  // namespace wingtrail::controller
