/// @file
/// Cancellation of jobs at the request of users.
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
/// can start any more; until then the user is asked to come back. Only the leader cancels. While peers cannot
/// reach it, they leave a cancellation marker in the state service, which the leader reads.
class JobCancellation {
 public:
  /// The references must outlive this object.
  struct Collaborators {
    ports::Outbox& out;
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

  /// A user asks to cancel the job.
  void request(const RequestOrigin& origin, const std::string& ref);
  /// The leader cancels the job: nothing of it starts any more, and what runs is stopped.
  void cancel(jobs::Job& job);
  /// The leader has read the cancellation marker with that key.
  void on_marker(const std::string& key);
  /// Records cancellations whose tasks are gone, and asks users to come back that have waited long enough.
  void progress();
  /// The leadership is over: users that wait are asked to come back.
  void end_leadership();

  /// Users asked to come back because a task is out of reach.
  std::uint64_t deferred_count() const {
    return deferred_count_;
  }

 private:
  struct Pending {  // a cancellation that waits for its tasks to be gone, and who asked for it
    jobs::JobIndex job;
    std::optional<RequestOrigin> origin;
    Seconds defer_at = ports::kNever;
  };
  void forward_to_leader(const RequestOrigin& origin, const std::string& ref);
  void cancel_for(const RequestOrigin& origin, jobs::Job& job);
  void leave_marker(const RequestOrigin& origin, const std::string& ref);
  void write_marker(const std::string& ref, const LiveRecord& live);
  bool is_gone(const jobs::Job& job) const;
  bool keeps_waiting(const Pending& pending);
  void record(jobs::Job& job, const std::optional<RequestOrigin>& origin);

  Collaborators with_;
  Callbacks callbacks_;
  std::vector<Pending> pending_;
  std::uint64_t deferred_count_ = 0;
};

}  // namespace wingtrail::controller
