/// Final states that are decided and not yet recorded, and the choice of those that go into a transaction.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jobs/job_registry.hpp"
#include "jobs/write_shares.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::jobs {

/// Changes that recording the job's final state takes: the final state is put, and the job's own key and its
/// cancellation marker are deleted in the same transaction.
int final_state_changes(const Job& job);

/// The queue of final states to be recorded, one line per kind and the oldest first in each, together with
/// the fair shares by which all kinds of records divide the changes of a transaction.
///
/// A final state is unrecorded from its decision until on_recorded(), also while a transaction that holds it
/// is under way. The state of the queue belongs to one leadership; the counters are kept across leaderships.
class FinalStateQueue {
 public:
  /// Final states of one kind that are decided and not recorded.
  struct Backlog {
    std::size_t waiting = 0;
    Seconds oldest_s = 0;        ///< age of the oldest one, 0 if none waits
    std::uint64_t recorded = 0;  ///< recorded since the process started
    std::uint64_t deferred = 0;  ///< delivered transactions that had to leave some of them out
  };
  using Backlogs = std::array<Backlog, kFinalStateKinds>;

  /// What waits beside final states, and how many changes there are to divide.
  struct Demand {
    int changes = 0;  ///< at most, in the transaction
    int inventory_pages = 0;
    int completion_pages = 0;
  };
  /// How the changes of one transaction are divided.
  struct Selection {
    std::vector<JobIndex> final_states;  ///< taken out of the queue, in the order in which they are written
    int inventory_changes = 0;
    int completion_changes = 0;
    int unassigned_changes = 0;
    std::array<bool, kFinalStateKinds> left_out{};  ///< kinds of which some did not fit
    WriteShares shares_before;
  };

  FinalStateQueue(JobRegistry& registry, const settings::Settings& settings)
      : registry_(registry), settings_(settings) {}

  /// Forgets everything but the counters: a leadership begins or ends.
  void clear();
  bool empty() const;

  /// Decides the job's final state and queues it. `decided_at` is the time from which its age counts.
  void decide(Job& job, wire::Phase phase, RecordKind kind, Seconds decided_at);
  /// `then` is called by whoever takes the waiters once the final state is recorded.
  void add_waiter(JobIndex job, std::function<void()> then);
  std::vector<std::function<void()>> take_waiters(JobIndex job);

  /// Divides the changes by the kinds' shares and takes the final states that fit out of the queue.
  ///
  /// Each kind has its share. When final states of one kind went first and the others got what was left,
  /// those got nothing for as long as the first kind kept coming: jobs whose dependency was cancelled stayed
  /// without a final state.
  Selection select(const Demand& demand, Seconds now);
  /// Puts a selection back whose transaction was not applied, or may not have been.
  void restore(const Selection& selection);
  /// Counts the kinds that a delivered transaction left out.
  void count_deferred(const Selection& selection);
  /// Lets the others of its kind go first: the state service refuses this one.
  void move_to_back(Job& job, Seconds now);
  /// The job's final state is recorded.
  void on_recorded(const Job& job);

  Backlogs backlogs(Seconds now) const;
  /// Since when the oldest unrecorded final state of that kind has been decided; nothing if all are recorded.
  std::optional<Seconds> oldest_unrecorded(RecordKind kind) const;

 private:
  struct Entry {
    Seconds order = 0;
    JobIndex job;
    friend bool operator<(const Entry& left, const Entry& right) {
      return left.order != right.order ? left.order < right.order : left.job < right.job;
    }
  };
  void enqueue(const Job& job);
  bool near_limit(RecordKind kind, Seconds now) const;

  JobRegistry& registry_;
  const settings::Settings& settings_;
  std::array<std::set<Entry>, kFinalStateKinds> queues_;
  std::array<std::multiset<Seconds>, kFinalStateKinds> unrecorded_since_;
  std::array<std::uint64_t, kFinalStateKinds> recorded_{};
  std::array<std::uint64_t, kFinalStateKinds> deferred_{};
  std::map<JobIndex, std::vector<std::function<void()>>> waiters_;
  WriteShares shares_;
};

}  // namespace wingtrail::jobs
