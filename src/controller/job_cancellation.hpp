/// @file
/// Cancels jobs at the request of users.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "controller/job_queries.hpp"
#include "jobs/state_writer.hpp"
#include "scheduling/scheduler.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::controller {

/// Cancels jobs. A cancellation is recorded, and confirmed to the user, only once no task of the job runs or
/// can still start; until then the user is asked to retry. Only the leader cancels. A controller that cannot
/// reach it writes a cancellation marker to the state service, which the leader reads.
class JobCancellation {
 public:
  /// The references must outlive this object.
  struct Collaborators {
    ports::Outbox& outbox;
    store::StateClient& store;
    jobs::JobRegistry& registry;
    jobs::StateWriter& state_writer;
    workers::WorkerManager& workers;
    const scheduling::Scheduler& scheduler;
    cells::RemotePlacements& remote_placements;
    const PeerDirectory& peers;
    JobLookup& lookup;
    JobQueries& queries;
    PeerCalls& peer_calls;
    Responder& responder;
  };
  struct Callbacks {
    std::function<bool()> is_active_leader;
    std::function<bool()> loaded;                             ///< the leader has read its jobs and machines
    std::function<void(const LiveRecord&)> on_live_job_read;  ///< the leader has read a job
  };
  JobCancellation(Collaborators collaborators, Callbacks callbacks);

  /// Handles a user's request to cancel the job.
  void request(const RequestOrigin& origin, const std::string& ref);
  /// As the leader: starts no further task of the job and stops those that run.
  void cancel(jobs::Job& job);
  /// As the leader: handles the cancellation marker with that key.
  void on_marker(const std::string& key);
  /// Records the cancellations whose tasks are gone, and asks users who have waited too long to retry.
  void process_pending();
  /// Asks all waiting users to retry, since the leadership has ended.
  void end_leadership();

  /// Users asked to retry because a task was not gone in time.
  std::uint64_t deferred_count() const {
    return deferred_count_;
  }

 private:
  // A cancellation that waits until the job's tasks are gone; `origin` is the user's request, if one waits.
  struct Pending {
    jobs::JobIndex job;
    std::optional<RequestOrigin> origin;
    Seconds defer_at = ports::kNever;
  };
  void forward_to_leader(const RequestOrigin& origin, const std::string& ref);
  void cancel_for(const RequestOrigin& origin, jobs::Job& job);
  void request_marker(const RequestOrigin& origin, const std::string& ref);
  void write_marker(const std::string& ref, const LiveRecord& live);
  bool has_no_instances(const jobs::Job& job) const;
  bool still_pending(const Pending& pending);
  void record_cancelled(jobs::Job& job, const std::optional<RequestOrigin>& origin);

  Collaborators collaborators_;
  Callbacks callbacks_;
  std::vector<Pending> pending_;
  std::uint64_t deferred_count_ = 0;
};

}  // namespace wingtrail::controller
