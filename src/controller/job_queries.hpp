/// @file
/// Answers queries of jobs: from memory, through the leader, or from a fresh read of the state service.
#pragma once

#include <array>
#include <functional>
#include <string>

#include "cells/remote_placements.hpp"
#include "controller/deferral_reason.hpp"
#include "controller/final_state_cache.hpp"
#include "controller/job_lookup.hpp"
#include "controller/peer_calls.hpp"
#include "controller/query_lookup_queue.hpp"
#include "controller/unanswered_queries.hpp"
#include "jobs/dependency_graph.hpp"
#include "jobs/job_registry.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// What a reply contains about a job.
enum class ReplyDetail : std::uint8_t {
  state,     ///< its phase, in reply to a submission or a cancellation
  progress,  ///< its phase and the numbers of done and running tasks, in reply to a query
};

/// Answers queries of jobs. A job is answered as unknown (404) only after a fresh read of the state service.
class JobQueries {
 public:
  /// The references must outlive this object.
  struct Collaborators {
    const ports::Outbox& outbox;
    const store::StateClient& store;
    const settings::Settings& settings;
    const FinalStateCache& final_states;
    jobs::JobRegistry& registry;
    const jobs::DependencyGraph& dependencies;
    const cells::RemotePlacements& remote_placements;
    JobLookup& lookup;
    QueryLookupQueue& lookup_queue;
    PeerCalls& peer_calls;
    Responder& responder;
  };
  struct Callbacks {
    std::function<bool()> is_active_leader;
    std::function<void(const LiveRecord&)> on_live_job_read;  ///< the leader has read a live job's record
    /// Every job orphaned by a cancellation before this time has its final state recorded, as far as this
    /// controller knows from the leader.
    std::function<Seconds()> final_states_recorded_until;
  };
  /// Deferred replies, indexed by DeferralReason.
  using DeferralCounts = std::array<std::uint64_t, kDeferralReasonCount>;

  JobQueries(Collaborators collaborators, Callbacks callbacks);

  /// Answers a user's query, or one that a peer forwarded, with the job's progress.
  void answer_query(const RequestOrigin& origin, const std::string& ref);
  /// Answers from memory if the job's final state is known; returns false otherwise.
  bool answer_final(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail);
  /// As the leader: answers from the job in memory.
  void answer_live(const RequestOrigin& origin, const jobs::Job& job, ReplyDetail detail);
  /// Answers after a fresh read of the state service.
  /// @param leader_deferred the leader deferred the query, so a job that depends on others may be orphaned
  void answer_fresh(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail,
                    bool leader_deferred = false);
  /// Answers a repeated submission of an accepted job.
  void answer_accepted(const RequestOrigin& origin, const wire::JobSpec& spec);

  /// Reports jobs that stay unanswered. Must be called periodically.
  void update();

  const DeferralCounts& deferral_counts() const {
    return deferral_counts_;
  }
  const UnansweredQueries& unanswered() const {
    return unanswered_;
  }
  /// Number of queries that were not forwarded because too many others were waiting for the leader.
  std::uint64_t not_forwarded_count() const {
    return not_forwarded_count_;
  }

 private:
  void ask_leader(const RequestOrigin& origin, const std::string& ref);
  std::size_t max_forwarded() const;
  void respond(const RequestOrigin& origin, const std::string& ref, int status, wire::Value body = nullptr);
  void on_looked_up(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail,
                    bool leader_overdue, bool leader_deferred, const LookupResult& result);
  bool may_be_orphaned(const jobs::Job& job) const;
  void defer(const RequestOrigin& origin, const std::string& ref, DeferralReason reason);
  void defer_undecided(const RequestOrigin& origin, const jobs::Job& job);
  wire::Value remote_progress(const jobs::Job& job) const;

  Collaborators collaborators_;
  Callbacks callbacks_;
  DeferralCounts deferral_counts_{};
  UnansweredQueries unanswered_;
  std::size_t forwarded_in_flight_ = 0;
  std::uint64_t not_forwarded_count_ = 0;
};

}  // namespace wingtrail::controller
