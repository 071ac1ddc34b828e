/// @file
/// Handles job submissions: validates the specification, checks that the dependencies exist, creates the job.
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

/// Accepts or refuses submissions. Acceptance is final: a repeated submission of an accepted job is answered
/// with the job's state, even if a new job with this specification would be refused.
class JobSubmission {
 public:
  /// The references must outlive this object.
  struct Collaborators {
    ports::Outbox& outbox;
    store::StateClient& store;
    const settings::Settings& settings;
    const std::vector<wire::MachineType>& catalog;  ///< empty until the machine types are known
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
    std::function<bool()> fixed_shares;   ///< a peer does not support budget shares
    /// The leader has created a job at `revision`; `batch_key` is empty if the job has a key of its own.
    std::function<void(const wire::Value& record, std::uint64_t revision, const std::string& batch_key)>
        on_created;
  };
  struct Counts {
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;  ///< with 400 or 422, so that a retry cannot succeed
    wire::RefusalCounts refused_messages;
  };

  JobSubmission(Collaborators collaborators, Callbacks callbacks);

  /// Answers the submission once it is accepted, refused or deferred.
  /// @param bytes body of the request, in CBOR
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
  void on_compared(const std::shared_ptr<DependencyCheck>& check, const std::vector<std::string>& compared,
                   const store::Reply& reply);
  void look_up_without_key(const std::shared_ptr<DependencyCheck>& check, std::vector<std::string> refs);

  // Creation.
  void create(const RequestOrigin& origin, const wire::JobSpec& spec);
  void create_locally(const std::shared_ptr<Creation>& creation);
  void on_local_result(const std::shared_ptr<Creation>& creation, std::uint64_t term,
                       const admission::CreationQueue::Result& result);
  void hedge(const std::shared_ptr<Creation>& creation);
  void create_at_peer(const std::shared_ptr<Creation>& creation);
  void on_peer_reply(const std::shared_ptr<Creation>& creation, const PeerReply& reply);
  void fail_if_nothing_pending(const std::shared_ptr<Creation>& creation);

  Collaborators collaborators_;
  Callbacks callbacks_;
  Counts counts_;
};

}  // namespace wingtrail::controller
