/// @file
/// Creates accepted jobs in the state service, within this controller's share of the write budget.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/fair_queue.hpp"
#include "admission/first_attempts.hpp"
#include "jobs/job_batches.hpp"
#include "store/state_client.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::admission {

/// Creates jobs, in the order of FairQueue.
///
/// A single creation is sent at once and gets a key of its own. Creations that arrive while others are in
/// flight, or while the budget allows no write, are sent together as one job batch, which costs one write. No
/// creation is delayed only to fill a batch. One that could not be sent within a second is deferred at once,
/// with the time until its turn.
class CreationQueue {
 public:
  enum class Outcome : std::uint8_t {
    created,
    exists,       ///< the job was created before; it is live or over
    deferred,     ///< the budget allows no creation now; to be retried after Result::retry_after_s
    unavailable,  ///< the state service failed or did not answer; the job may or may not have been created
  };
  struct Result {
    Outcome outcome = Outcome::unavailable;
    std::uint64_t revision = 0;  ///< of the creation, if created
    std::string batch_key = {};  ///< of the job's batch; empty if the job has a key of its own
    Seconds retry_after_s = 1;   ///< if deferred: until its turn
  };
  using Callback = std::function<void(const Result&)>;

  /// @param process_id part of the batch keys; must be new in every process of this controller
  CreationQueue(ports::Outbox& outbox, store::StateClient& store, const settings::Settings& settings,
                std::string process_id);

  /// Whether every controller supports job batches; if empty, none is written.
  std::function<bool()> batches_allowed;
  /// Whether a peer does not support budget shares, as during an upgrade. Each controller then has a fixed
  /// share, which it may exceed for some seconds, and sends creations as they arrive. With queueing, 0.975
  /// instead of 0.998 of the submissions were accepted in time (upgrade of cub-meterlink-next).
  std::function<bool()> fixed_shares;

  /// Creates the job and calls `then` with the result. If a creation of the same job is pending, waits for
  /// its result instead.
  /// @param record what is stored of the job
  void enqueue(const wire::JobSpec& spec, const wire::Value& record, Callback then);
  /// Whether the job's creation is queued and not sent, so that a delay is not due to the state service.
  bool is_waiting(const std::string& ref) const;

  struct Counts {
    std::uint64_t batches = 0;       ///< sent
    std::uint64_t batched_jobs = 0;  ///< created in batches
    std::uint64_t deferred = 0;
    std::uint64_t conflicts = 0;  ///< the job existed
  };
  const Counts& counts() const {
    return counts_;
  }
  /// First attempts of deferred jobs, at any controller.
  FirstAttempts& first_attempts() {
    return first_attempts_;
  }
  const FirstAttempts& first_attempts() const {
    return first_attempts_;
  }
  std::size_t waiting_count() const {
    return queue_.size();
  }
  /// Writes needed for the queued creations, if all batches are full.
  double backlog_changes() const {
    return static_cast<double>(queue_.size()) / static_cast<double>(max_batch_jobs_);
  }
  /// Number of deferred creations, by team and class.
  const std::map<std::pair<std::string, std::string>, std::uint64_t>& deferred_by_class() const {
    return deferred_by_class_;
  }

 private:
  struct PendingCreation {
    std::string ref;
    std::string team;
    std::string job_class;
    wire::Value record;
    std::size_t bytes = 0;  // of the record within a batch
    TeamIndex team_index;
    ClassIndex class_index;
    Seconds arrived_at = 0;        // at this controller
    Seconds first_attempt_at = 0;  // at any controller
    bool sent = false;
    bool immediate = false;  // sent on arrival, without queueing
    std::vector<Callback> callbacks;
  };
  using CreationIds = std::vector<FairQueue::Id>;
  Seconds time_until_turn(TeamIndex team, ClassIndex job_class, Seconds first_attempt_at) const;
  void expire_overdue();
  void dispatch();
  void schedule_dispatch(Seconds delay);
  bool send_next();
  void send_single(FairQueue::Id id);
  void send_batch(CreationIds batch, const std::string& key);
  void on_reply(const CreationIds& batch, const std::string& key, const store::Reply& reply);
  void requeue(FairQueue::Id id);
  void finish(FairQueue::Id id, const Result& result);
  void defer(FairQueue::Id id);

  ports::Outbox& outbox_;
  store::StateClient& store_;
  const settings::Settings& settings_;
  const std::string process_id_;
  const bool fair_queueing_;
  FairQueue queue_;
  FirstAttempts first_attempts_;
  jobs::NameTable<jobs::TeamIndex> teams_;
  jobs::NameTable<jobs::ClassIndex> classes_;
  std::unordered_map<FairQueue::Id, PendingCreation> pending_;
  std::unordered_map<std::string, FairQueue::Id> by_ref_;
  FairQueue::Id last_id_ = 0;
  std::size_t max_batch_jobs_;  // lowered when the state service refuses a batch as malformed
  std::uint64_t last_batch_number_ = 0;
  int in_flight_ = 0;
  Seconds expiry_checked_at_ = 0;
  Seconds last_sent_at_ = -1e9;
  Seconds dispatch_at_ = ports::kNever;  // when the next dispatch is scheduled
  Seconds throttled_until_ = -1e9;
  Counts counts_;
  std::map<std::pair<std::string, std::string>, std::uint64_t> deferred_by_class_;
};

}  // namespace wingtrail::admission
