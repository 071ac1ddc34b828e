/// Group commit of what the leader persists: final states, completed tasks and the machine inventory.
///
/// Keys: j/REF is a job that has no final state, j/REF/abort its cancellation marker, f/REF its final state
/// (record_keys.hpp). Completed tasks and the inventory are kept in pages, many jobs or machines to a value,
/// since the state service counts writes: p/N (completion_pages.hpp) and r/N (inventory_pages.hpp).
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jobs/completion_pages.hpp"
#include "jobs/final_state_queue.hpp"
#include "jobs/inventory_pages.hpp"
#include "jobs/job_batches.hpp"
#include "jobs/job_registry.hpp"
#include "jobs/record_cleanup.hpp"
#include "jobs/record_keys.hpp"
#include "jobs/write_limits.hpp"
#include "store/state_client.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {

/// Joins what its parts have to write into compare-and-swap transactions and handles their outcomes.
///
/// One transaction is under way at a time; what gathers meanwhile goes into the next one. Each is conditioned
/// on the leader's key at the leader's fencing token, so a copy that is applied late fails once another node
/// leads, and each page on its last known version, so it cannot replace a newer value of the same leader.
/// Outcomes: applied; conflict (another leader, or an own transaction whose answer was lost); malformed,
/// which lowers the limits; no answer, after which the same records are written again, which is idempotent.
class StateWriter {
 public:
  /// What it needs to know of the leader election.
  struct LeadershipView {
    std::function<std::uint64_t()> fencing_token;
    std::function<Seconds()> lease_expires_at;
    std::function<void()> on_superseded;  ///< a conflict shows that another node leads
    std::string leader_key;
  };
  using CompletedTask = jobs::CompletedTask;
  struct Events {
    std::function<void(Job&)> on_final_state;  ///< the job's final state is persisted
    std::function<void(const std::vector<CompletedTask>&)> on_completions_persisted;
    std::function<void(MachineIndex)> on_machine_recorded;    ///< the machine is in the persisted inventory
    std::function<wire::Value(MachineIndex)> machine_record;  ///< what the inventory holds of a machine
  };
  /// Puts and deletes that were applied or sent, by what they were for.
  struct Writes {
    std::uint64_t final_states = 0;
    std::uint64_t inventory = 0;
    std::uint64_t completions = 0;
    std::uint64_t deletions = 0;
  };
  using Backlog = FinalStateQueue::Backlog;
  using Backlogs = FinalStateQueue::Backlogs;

  StateWriter(ports::Outbox& out, store::StateClient& store, JobRegistry& registry,
              const settings::Settings& settings, LeadershipView leadership);
  /// Must be called before anything else is.
  void set_events(Events events);

  /// Forgets whatever an earlier leadership left.
  void begin_leadership();
  /// Answers to transactions under way are ignored from now on.
  void end_leadership();
  /// Loads what an earlier leader persisted, at the revision of its last change; false if it is malformed.
  bool load_completion_page(const std::string& key, const wire::Value& value, std::uint64_t version);
  bool load_inventory_page(const std::string& key, const wire::Value& value, std::uint64_t version,
                           const InventoryPages::AddMachine& add_machine);

  /// Persists the job's final state; `then`, which may be empty, runs when that is certain. Several callers
  /// may wait for the same job; the first final state wins.
  void record_final_state(Job& job, wire::Phase phase, std::function<void()> then);
  /// The same for a job that can never start, since a job that it depends on is cancelled.
  void record_orphan(Job& job);
  /// The registry has completed the task.
  void record_completion(Job& job, std::uint32_t task, MachineIndex machine, std::uint64_t attempt);
  void add_machine(MachineIndex machine);
  /// The machine's record has changed; it is written when there is time.
  void refresh_machine(MachineIndex machine);
  void remove_machine(MachineIndex machine);

  /// Which live jobs each job batch holds. Whoever reads a batch says so here.
  JobBatches& batches() {
    return batches_;
  }
  /// Deletes the batches that have become empty, when there is time.
  void delete_empty_batches();
  /// Deletes any key that is of no use any more, when there is time.
  void delete_later(std::string key);
  /// Gives the job a key of its own, so that its batches can be deleted; for when batches are out of use.
  void move_to_own_key(Job& job);

  const CompletionCodec& codec() const {
    return completion_pages_.codec();
  }
  std::uint64_t commits() const {
    return commits_;
  }
  const Writes& writes() const {
    return writes_;
  }
  /// Pages that were found too large.
  std::uint64_t pages_split() const {
    return completion_pages_.splits() + inventory_pages_.splits();
  }
  /// Transactions that the state service called malformed.
  std::uint64_t malformed_commits() const {
    return malformed_commits_;
  }
  std::size_t page_count() const {
    return completion_pages_.page_count() + inventory_pages_.page_count();
  }
  /// Pages that a transaction without an answer had changed.
  std::uint64_t page_lookups() const {
    return page_lookups_;
  }
  Backlogs backlogs() const;
  /// Since when the oldest unrecorded final state of that kind has been decided; nothing if all are recorded.
  std::optional<Seconds> oldest_unrecorded(RecordKind kind) const;

 private:
  /// What one transaction holds.
  struct Commit {
    FinalStateQueue::Selection selection;
    std::vector<JobIndex> first_sent;  ///< jobs whose final state no earlier transaction held
    std::vector<CompletionPages::Write> completions;
    std::vector<InventoryPages::Write> inventory;
    RecordCleanup::Write cleanup;
    int change_count = 0;  ///< puts and deletes
    bool users_wait = false;
    std::size_t record_count() const {
      return selection.final_states.size() + completions.size() + inventory.size() + cleanup.record_count();
    }
  };
  void schedule_flush(Seconds delay);
  void reschedule_flush();
  void flush();
  Commit assemble(wire::Transaction& transaction);
  void add_final_state(wire::Transaction& transaction, const Job& job);
  void add_inventory_pages(wire::Transaction& transaction, Commit& commit, TransactionSpace& space,
                           PageUrgency least);
  void add_cleanup(wire::Transaction& transaction, Commit& commit, TransactionSpace& space);
  void on_reply(const store::Reply& reply, const Commit& commit);
  bool conflicts_with_own_write(const wire::Value& refusal, const Commit& commit);
  template <typename Pages>
  void look_up_version(Pages& pages, std::size_t page);
  void on_commit_failed(const Commit& commit);
  void on_commit_malformed(const Commit& commit);
  void on_committed(const Commit& commit, std::uint64_t revision);
  bool on_final_states_committed(const Commit& commit);
  void on_pages_committed(const Commit& commit, std::uint64_t revision);

  ports::Outbox& out_;
  store::StateClient& store_;
  JobRegistry& registry_;
  const settings::Settings& settings_;
  LeadershipView leadership_;
  Events events_;
  WriteLimits limits_;
  FinalStateQueue final_states_;
  JobBatches batches_;
  RecordCleanup cleanup_;
  CompletionPages completion_pages_;
  InventoryPages inventory_pages_;
  bool active_ = false;
  bool in_flight_ = false;
  bool flush_scheduled_ = false;
  Seconds flush_scheduled_at_ = 0;
  std::uint64_t term_ = 0;  // counts leaderships: callbacks of an earlier one do nothing
  std::uint64_t commits_ = 0;
  std::uint64_t malformed_commits_ = 0;
  std::uint64_t page_lookups_ = 0;
  Writes writes_;
};

}  // namespace wingtrail::jobs
