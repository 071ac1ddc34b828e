/// @file
/// Answers to questions about jobs: from memory, from the leader, or from a fresh read of the state service.
#pragma once

#include <array>
#include <functional>
#include <string>

#include "cells/remote_placements.hpp"
#include "controller/deferral_reason.hpp"
#include "controller/final_state_cache.hpp"
#include "controller/job_lookup.hpp"
#include "controller/peer_calls.hpp"
#include "jobs/dependency_graph.hpp"
#include "jobs/job_registry.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// How much a reply says of a job.
enum class ReplyDetail : std::uint8_t {
  state,     ///< its phase only, in reply to a submission or a cancellation
  progress,  ///< the numbers of its tasks too, in reply to a question
};

/// Answers questions about jobs. A job is called unknown only after a fresh read of the state service.
class JobQueries {
 public:
  /// What the answers rest on; the references must outlive the queries.
  struct Collaborators {
    const ports::Outbox& out;
    const store::StateClient& store;
    const settings::Settings& settings;
    const FinalStateCache& final_states;
    jobs::JobRegistry& registry;
    const jobs::DependencyGraph& dependencies;
    const cells::RemotePlacements& remote_placements;
    JobLookup& lookup;
    PeerCalls& peer_calls;
    Responder& responder;
  };
  struct Callbacks {
    std::function<bool()> is_active_leader;
    std::function<void(const LiveRecord&)> on_live_job_read;  ///< the leader has read a job
    /// Every final state that follows from a cancellation before this time is recorded, as far as is known.
    std::function<Seconds()> final_states_recorded_until;
  };
  /// Deferred answers by DeferralReason.
  using DeferralCounts = std::array<std::uint64_t, kDeferralReasons>;

  JobQueries(Collaborators collaborators, Callbacks callbacks);

  /// Answers the question what became of the job.
  void status(const RequestOrigin& origin, const std::string& ref);
  /// Answers from memory if the job's final state is known; returns false otherwise.
  bool answer_final(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail);
  /// Answers as the leader that has the job in memory.
  void answer_live(const RequestOrigin& origin, const jobs::Job& job, ReplyDetail detail);
  /// Answers after a fresh read of the state service.
  /// @param leader_deferred the leader was asked and deferred the question, so a job that depends on others
  /// may
  ///        be cancelled with one of them
  void answer_fresh(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail,
                    bool leader_deferred = false);
  /// Answers a submission of a job that was accepted before.
  void answer_accepted(const RequestOrigin& origin, const wire::JobSpec& spec);

  const DeferralCounts& deferral_counts() const {
    return deferral_counts_;
  }

 private:
  void on_looked_up(const RequestOrigin& origin, const std::string& ref, ReplyDetail detail,
                    bool leader_overdue, bool leader_deferred, const LookupResult& result);
  bool may_be_orphaned(const jobs::Job& job) const;
  void defer(const RequestOrigin& origin, const std::string& ref, DeferralReason reason);
  void defer_undecided(const RequestOrigin& origin, const jobs::Job& job);
  wire::Value remote_progress(const jobs::Job& job) const;

  Collaborators with_;
  Callbacks callbacks_;
  DeferralCounts deferral_counts_{};
};

}  // namespace wingtrail::controller
