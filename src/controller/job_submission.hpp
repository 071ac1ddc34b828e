/// @file
/// Submissions of jobs: validation, the check of dependencies, and creation.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admission/creation_queue.hpp"
#include "controller/job_queries.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// Accepts or refuses submissions. A job that was accepted stays accepted: a repeated submission is answered
/// with the job's state, whatever a new one would be told.
class JobSubmission {
 public:
  /// The references must outlive this object.
  struct Collaborators {
    ports::Outbox& out;
    store::StateClient& store;
    const settings::Settings& settings;
    const std::vector<wire::MachineType>& catalog;  ///< empty: not known yet
    const leadership::LeaderElection& election;
    const PeerDirectory& peers;
    const FinalStateCache& final_states;
    jobs::JobRegistry& registry;
    const BatchIndexFollower& batches;
    admission::CreationQueue& creation_queue;
    JobLookup& lookup;
    JobQueries& queries;
    PeerCalls& peer_calls;
    Responder& responder;
  };
  struct Callbacks {
    std::function<bool()> is_active_leader;
    std::function<std::uint64_t()> term;  ///< changes whenever a leadership begins or ends
    std::function<bool()> fixed_shares;   ///< a peer keeps to no shares of the budget
    /// The leader has created a job. The batch key is empty if the job has a key of its own.
    std::function<void(const wire::Value& record, std::uint64_t revision, const std::string& batch_key)>
        on_created;
  };
  struct Counts {
    std::uint64_t submitted = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;  ///< for good
  };

  JobSubmission(Collaborators collaborators, Callbacks callbacks);

  /// @param bytes the submission as it came, in CBOR
  void submit(const RequestOrigin& origin, const std::string& bytes);

  const Counts& counts() const {
    return counts_;
  }

 private:
  struct DependencyCheck;
  struct Creation;

  void refuse_unless_accepted(const RequestOrigin& origin, const std::string& ref, const std::string& reason);

  // Dependencies.
  bool leader_lacks_dependencies() const;
  void check_dependencies(const RequestOrigin& origin, const wire::JobSpec& spec, const std::string& bytes);
  void check_next(const std::shared_ptr<DependencyCheck>& check);
  void on_compared(const std::shared_ptr<DependencyCheck>& check, const std::vector<std::string>& asked,
                   const store::Reply& reply);
  void look_up_without_key(const std::shared_ptr<DependencyCheck>& check, std::vector<std::string> refs);

  // Creation.
  void create(const RequestOrigin& origin, const wire::JobSpec& spec);
  void create_here(const std::shared_ptr<Creation>& creation);
  void on_created_here(const std::shared_ptr<Creation>& creation, std::uint64_t term,
                       const admission::CreationQueue::Result& result);
  void hedge(const std::shared_ptr<Creation>& creation);
  void create_at_peer(const std::shared_ptr<Creation>& creation);
  void on_peer_reply(const std::shared_ptr<Creation>& creation, const PeerReply& reply);
  void fail_if_nothing_open(const std::shared_ptr<Creation>& creation);

  Collaborators with_;
  Callbacks callbacks_;
  Counts counts_;
};

}  // namespace wingtrail::controller
