/// @file
/// Looks up the jobs of many queries in the state service with few requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/batch_index_follower.hpp"
#include "controller/job_lookup.hpp"
#include "settings/settings.hpp"
#include "store/state_client.hpp"

namespace wingtrail::controller {

/// Lookups for queries, which wait for the request budget of the state service. One transaction compares the
/// keys of as many jobs as its conditions allow, those first that have been unanswered for longest. So the
/// number of queries that can be answered without the leader does not end with the requests per second.
///
/// The collaborators passed to the constructor must outlive the queue.
class QueryLookupQueue {
 public:
  /// Counters since the start of the process.
  struct Counts {
    std::uint64_t comparisons = 0;    ///< transactions sent
    std::uint64_t jobs_compared = 0;  ///< jobs in them
    std::uint64_t expired = 0;        ///< lookups given up before the budget allowed them
  };

  QueryLookupQueue(ports::Outbox& outbox, store::StateClient& store, const settings::Settings& settings,
                   BatchIndexFollower& batches, JobLookup& lookup);

  /// Calls `then` with the job's state as of some moment between this call and the callback, or with
  /// LookupOutcome::throttled at `give_up_at`.
  /// @param unanswered_since lookups with the earliest time are sent first
  void look_up(const std::string& ref, LookupDetail detail, Seconds unanswered_since, Seconds give_up_at,
               JobLookup::OnResult then);

  std::size_t waiting_count() const {
    return to_compare_.size() + to_read_.size();
  }
  const Counts& counts() const {
    return counts_;
  }

 private:
  struct Entry {
    PendingLookup lookup;
    Seconds unanswered_since;
    Seconds give_up_at;
  };
  using EntryPtr = std::shared_ptr<const Entry>;
  using Group = std::vector<EntryPtr>;
  using BatchKeys = std::unordered_map<std::string, std::string>;  // by job reference
  using Queue = std::multimap<Seconds, EntryPtr>;                  // by Entry::unanswered_since

  void send_waiting();
  bool may_send();
  void expire();
  void schedule_wakeup();
  void retry_later(const Group& group);
  Group take_group();
  void send_group(const Group& group);
  void compare(const Group& group);
  void on_compared(const Group& group, const BatchKeys& batch_keys, const store::Reply& reply);
  void read_next_final_state();

  ports::Outbox& outbox_;
  store::StateClient& store_;
  const settings::Settings& settings_;
  BatchIndexFollower& batches_;
  JobLookup& lookup_;
  Queue to_compare_;
  Queue to_read_;  // their jobs have final states
  std::size_t groups_in_flight_ = 0;
  bool reads_next_ = false;
  bool wakeup_scheduled_ = false;
  Seconds paused_until_ = 0;
  Counts counts_;
};

}  // namespace wingtrail::controller
