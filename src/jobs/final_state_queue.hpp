/// @file
/// Queues final states that are decided but not yet recorded, and selects those that go into the next
/// transaction.
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

/// Number of changes that recording the job's final state takes: the final state is put, and the job's own
/// key and its cancellation marker, if it has them, are deleted in the same transaction.
int final_state_changes(const Job& job);

/// Final states to be recorded, in one queue per kind with the oldest first, and the fair shares by which all
/// kinds of records divide the changes of a transaction.
///
/// A final state counts as unrecorded from its decision until on_recorded(), also while a transaction that
/// holds it is in flight. The queues belong to one leadership; the counters are kept across leaderships.
class FinalStateQueue {
 public:
  /// Statistics of one kind of final states.
  struct Backlog {
    std::size_t waiting = 0;     ///< decided and not recorded
    Seconds oldest_s = 0;        ///< age of the oldest waiting one, 0 if none waits
    std::uint64_t recorded = 0;  ///< recorded since the process started
    std::uint64_t deferred = 0;  ///< delivered transactions that had no capacity for some of them
  };
  using Backlogs = std::array<Backlog, kFinalStateKinds>;

  /// The capacity of a transaction and the due pages that compete with final states for it.
  struct Demand {
    int changes = 0;           ///< maximum number of changes in the transaction
    int inventory_pages = 0;   ///< due pages of the machine inventory
    int completion_pages = 0;  ///< due completion pages
  };
  /// The division of one transaction's changes.
  struct Selection {
    std::vector<JobIndex> final_states;  ///< removed from the queue, in the order of writing
    int inventory_changes = 0;
    int completion_changes = 0;
    int unassigned_changes = 0;
    std::array<bool, kFinalStateKinds> left_out{};  ///< kinds of which some did not fit
    WriteShares shares_before;                      ///< restored if the transaction fails
  };

  FinalStateQueue(JobRegistry& registry, const settings::Settings& settings)
      : registry_(registry), settings_(settings) {}

  /// Discards everything except the counters. Called when a leadership begins or ends.
  void clear();
  /// True if no final state is queued; some may still be in flight.
  bool empty() const;

  /// Sets the job's final state and queues it. Its age counts from `decided_at`.
  void decide(Job& job, wire::Phase phase, RecordKind kind, Seconds decided_at);
  /// Registers a callback for the time when the job's final state is recorded.
  void add_waiter(JobIndex job, std::function<void()> then);
  /// Removes and returns the job's callbacks; the caller runs them.
  std::vector<std::function<void()>> take_waiters(JobIndex job);

  /// Divides the changes among the kinds by their shares and removes the final states that fit from the
  /// queue.
  ///
  /// With a fixed order of kinds instead, the first kind would starve the others for as long as it keeps
  /// arriving: jobs whose dependency was cancelled would stay without a final state.
  Selection select(const Demand& demand, Seconds now);
  /// Puts back a selection whose transaction was not applied, or whose outcome is unknown.
  void restore(const Selection& selection);
  /// Counts the kinds of which a delivered transaction left some final states out.
  void count_deferred(const Selection& selection);
  /// Moves a final state that the state service refuses behind the others of its kind.
  void move_to_back(Job& job, Seconds now);
  /// Counts the job's final state as recorded.
  void on_recorded(const Job& job);

  Backlogs backlogs(Seconds now) const;
  /// When the oldest unrecorded final state of this kind was decided; nothing if all are recorded.
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
