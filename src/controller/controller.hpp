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
  std::uint64_t submitted = 0, admitted = 0, refused = 0, reports = 0, forwarded = 0, completed = 0,
                cancelled = 0;
  std::uint64_t state_calls = 0, state_refused = 0, orders = 0, hired = 0, returned = 0, commits = 0;
  std::uint64_t direct_calls = 0, deadlines = 0, state_writes = 0, tasks_started = 0, machines_examined = 0,
                jobs_examined = 0, preempted = 0, reclaimed = 0;
  std::uint64_t ends_written = 0, roster_written = 0, progress_written = 0, pages_divided = 0, malformed = 0;
  std::uint64_t chains_ready = 0, orphaned = 0;
  std::size_t live_jobs = 0, held_jobs = 0, machines = 0, record_pages = 0;
  std::uint64_t sheets = 0, on_sheets = 0, put_off = 0, swept = 0;
  std::size_t admissions_waiting = 0, sheets_live = 0;
  double state_share = 0, state_asked = 0;  // of its budget: what this node may use, what it asks for
  double agreed_age_s = 0;                  // since the leader last said what this node may use
  std::vector<std::pair<std::pair<std::string, std::string>, std::uint64_t>> put_off_by;  // team, class
  std::array<std::uint64_t, kDeferralReasons> questions_put_off{};                        // by reason
  jobs::StateWriter::Backlogs ends{};  // to be recorded, by kind
  std::uint64_t leader_token = 0;      // of the newest leadership known of
  std::uint64_t custody_answers = 0, grants = 0, aborts_put_off = 0, alarms = 0;
  // The load by team and class (balancing/load_snapshot.hpp).
  struct ClassLoad {
    std::string team, job_class;
    double held = 0, waiting = 0, oldest_s = 0, offered = 0, surge = 1, served_share = 1, most_in_a_zone = 0;
  };
  std::vector<ClassLoad> loads;
  std::vector<std::pair<std::string, std::string>> zone_lives;  // zone and state
  std::uint64_t zones_lost = 0, zones_back = 0;
  std::vector<std::pair<std::string, double>> zones, reasons;  // cores in use; cores that wait, by why
  std::uint64_t moves_begun = 0, moves_done = 0, moves_failed = 0;
  double moves_lost_s = 0;  // work thrown away by them
  std::size_t slow_machines = 0;
  double settled_after_s = 0;
  bool leading = false;
  struct CellLoad {  // what is between this cell and a neighbour
    std::string name;
    double away = 0, heard_s = 0, takes = 0, wait_s = 0;
  };
  std::vector<CellLoad> cells;  // by neighbour
  std::uint64_t handed_on = 0, handed_back = 0, done_away = 0, guests_taken = 0, guests_refused = 0,
                guests_ended = 0, fences = 0;
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
  void on_job_read(const wire::Value& value, std::uint64_t version, const std::string& sheet = {});
  jobs::Job* add_job(const wire::Value& value, std::uint64_t version);
  Seconds to_steady_time(double time_of_day) const;  // no later than now
  // What follows from jobs that were learnt of or that have ended.
  void process_dependencies();
  void look_up_unknown_dependencies();
  void look_up_dependency(const std::string& ref);
  void update_final_states_recorded_until();
  void on_job_final(jobs::Job& job);
  void complete_if_done(jobs::Job& job);

  // ---- other cells (daemon/cells.cpp)
  struct CellView {          // a neighbour as this leader sees it
    std::size_t asks = 0;    // which of its controllers is asked
    bool busy = false;       // a question is under way
    Seconds told_at = -1e9;  // when it last was sent this cell's digest
    Seconds heard = -1e9;
    std::optional<peer::CapacityDigest> digest;
    std::deque<std::pair<Seconds, double>> offered;  // when, and how many cores
    double promised = 0;  // cores that it was told of, less what it has offered since
    Seconds promised_at = -1e9;
    bool there = false;  // as last logged
  };
  void told_by(CellView& v, const peer::CapacityDigest& digest);
  // What is said between cells, by this one or on a neighbour's behalf.
  peer::Frame cell_frame(const std::string& cell, std::string between) const;
  bool may_hand_on() const;
  void tick_cells();
  void ask_cell(std::size_t cell);
  void cell_said(std::size_t cell, const peer::Frame& frame);
  void heard_of_job(std::size_t cell, const peer::JobMessage& said);
  void watch_cell(std::size_t cell);
  void plan_spill();
  void hold_for_spill(jobs::Job& job);
  bool may_go(const jobs::Job& job) const;
  void write_away();
  void home_again(const std::vector<std::string>& refs);
  void load_away();
  peer::CapacityDigest digest(std::size_t to);
  void between(std::uint64_t id, const peer::Frame& frame);
  struct Answering;
  void answer_word(const std::shared_ptr<Answering>& a, std::size_t i, const std::string& from);
  void offered_guest(const std::shared_ptr<Answering>& a, std::size_t i, const std::string& from);
  void end_guest(const std::shared_ptr<Answering>& a, std::size_t i, const std::string& from);
  void fence(const std::string& ref);
  void write_fence(const std::string& ref);

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
  std::vector<CellView> cell_views_;
  std::vector<wire::Item> away_pages_;  // read while loading
  std::set<std::string> fenced_;        // jobs of others that are being recorded as never to run here
  cells::GuestCapacity room_;           // as of the last second
  std::vector<jobs::JobIndex> going_;   // jobs that are not begun, since they are to go
  bool spills_ = false;                 // what comes would begin sooner elsewhere, as of the last plan
  bool room_known_ = false;             // in this leadership
  std::set<std::string> looking_at_;    // pages being read
  Seconds guest_wait_s_ = 0, planned_at_ = -1e9, told_strange_ = -1e9;
  Responder responder_;
  PeerCalls peer_calls_;
  JobQueries queries_;
  JobCancellation cancellation_;
  JobSubmission submission_;
  HeartbeatHandler heartbeats_;
  Stats stats_;
};

}  // namespace wingtrail::controller
