// Creations of jobs at this node. One that comes alone gets a key of its own, at once. What comes while
// others are under way, or while the budget has no room, gathers and goes together: one sheet, one change.
// Nothing waits for company. In which order it goes is said by Turns; what cannot go within a second is
// refused at once, with the time of its turn.
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

class CreationQueue {
 public:
  enum class Outcome : std::uint8_t {
    created,
    exists,       // live, or over: a fresh read will tell
    deferred,     // the budget has no room; come back when its turn is
    unavailable,  // the state service does not serve this node, or it is unknown whether it did
  };
  struct Result {
    Outcome outcome = Outcome::unavailable;
    std::uint64_t revision = 0;
    std::string batch_key = {};  // that it is on; empty: it has a key of its own
    Seconds retry_after_s = 1;   // with `later`: until its turn
  };
  using Callback = std::function<void(const Result&)>;

  // `life`: what no other process of this node has written under.
  CreationQueue(ports::Outbox& out, store::StateClient& store, const settings::Settings& settings,
                std::string life);

  // Whether every node understands sheets, and says so.
  std::function<bool()> batches_allowed;
  // Whether a peer keeps to no shares. Then each node has the part that it always had, may overdraw it for
  // some seconds as ever, and lets creations out as they come (cub-meterlink-next during its upgrade:
  // submissions in time 0.975 instead of 0.998 otherwise).
  std::function<bool()> fixed_shares;

  void enqueue(const wire::JobSpec& spec, const wire::Value& record, Callback then);
  // Whether it waits here for its turn, so that it is not late because the state service is.
  bool is_waiting(const std::string& ref) const;

  struct Counts {
    std::uint64_t batches = 0, batched_jobs = 0, deferred = 0, conflicts = 0;
  };
  const Counts& counts() const {
    return counts_;
  }
  // When those put off were first tried, as all nodes know it.
  FirstAttempts& first_attempts() {
    return first_attempts_;
  }
  const FirstAttempts& first_attempts() const {
    return first_attempts_;
  }
  std::size_t waiting_count() const {
    return queue_.size();
  }
  // Changes that what waits now needs.
  double backlog_changes() const {
    return static_cast<double>(queue_.size()) / static_cast<double>(max_batch_jobs_);
  }
  // Put off so far, by team and class.
  const std::map<std::pair<std::string, std::string>, std::uint64_t>& deferred_by_class() const {
    return deferred_by_class_;
  }

 private:
  struct PendingCreation {
    std::string ref, team, job_class;
    wire::Value record;
    std::size_t bytes = 0;
    TeamIndex team_index;
    ClassIndex class_index;
    Seconds arrived_at = 0, first_attempt_at = 0;  // to this node now; first tried, wherever that was
    bool sent = false;
    bool immediate = false;  // as ever: sent at once, whatever else is under way
    std::vector<Callback> callbacks;
  };
  using CreationIds = std::vector<FairQueue::Id>;
  Seconds time_until_turn(TeamIndex team, ClassIndex job_class, Seconds since) const;
  void dispatch();
  void schedule_dispatch(Seconds delay);
  bool send_next();
  void send_single(FairQueue::Id id);
  void send_batch(CreationIds batch, const std::string& key);
  void on_batch_reply(const CreationIds& batch, const std::string& key, const store::Reply& r);
  void requeue(FairQueue::Id id);
  void finish(FairQueue::Id id, const Result& result);
  void deferred_by_class(FairQueue::Id id);

  ports::Outbox& out_;
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
  std::size_t max_batch_jobs_;  // on a sheet; less once the state service has refused one
  std::uint64_t last_batch_number_ = 0;
  int in_flight_ = 0;
  Seconds dropped_at_ = 0;
  Seconds sent_at_ = -1e9, dispatch_at_ = ports::kNever, refused_until_ = -1e9;
  Counts counts_;
  std::map<std::pair<std::string, std::string>, std::uint64_t> deferred_by_class_;
};

}  // namespace wingtrail::admission
