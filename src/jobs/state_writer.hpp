/// @file
/// Group commit of what the leader persists: final states, completed tasks and the machine inventory.
///
/// Keys: j/REF holds a job that has no final state, j/REF/abort its cancellation marker, f/REF its final
/// state (record_keys.hpp). Completed tasks and the inventory are kept in pages, many jobs or machines to a
/// value, since the state service counts writes: p/N (completion_pages.hpp) and r/N (inventory_pages.hpp).
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

/// Combines the pending records of its parts into compare-and-swap transactions and handles their outcomes.
///
/// One transaction is in flight at a time; records that become pending meanwhile go into the next one. Each
/// transaction requires that the leader's key is at this leader's fencing token, so a copy that is applied
/// late fails once another controller leads. Each page in it requires the page's last known version, so it
/// cannot replace a newer value that the same leader wrote.
///
/// Outcomes of a transaction: applied; conflict (another controller leads, or an earlier transaction of this
/// leader was applied although its reply was lost); malformed, after which the limits are lowered; no reply,
/// after which the same records are written again, which is idempotent.
class StateWriter {
 public:
  /// The part of the leader election that the state writer depends on.
  struct LeadershipView {
    std::function<std::uint64_t()> fencing_token;
    std::function<Seconds()> lease_expires_at;
    std::function<void()> on_superseded;  ///< called when a conflict shows that another controller leads
    std::string leader_key;
  };
  using CompletedTask = jobs::CompletedTask;
  struct Events {
    std::function<void(Job&)> on_final_state;  ///< called once the job's final state is persisted
    std::function<void(const std::vector<CompletedTask>&)> on_completions_persisted;
    /// Called once the persisted inventory holds the machine.
    std::function<void(MachineIndex)> on_machine_recorded;
    std::function<wire::Value(MachineIndex)> machine_record;  ///< returns the inventory record of a machine
  };
  /// Puts and deletes since the process started, by purpose.
  struct Writes {
    std::uint64_t final_states = 0;  ///< counted when applied; the other kinds when sent
    std::uint64_t inventory = 0;
    std::uint64_t completions = 0;
    std::uint64_t deletions = 0;
  };
  using Backlog = FinalStateQueue::Backlog;
  using Backlogs = FinalStateQueue::Backlogs;

  StateWriter(ports::Outbox& out, store::StateClient& store, JobRegistry& registry,
              const settings::Settings& settings, LeadershipView leadership);
  /// Sets the callbacks. Must be called before any other function.
  void set_events(Events events);

  /// Starts a leadership without any state of an earlier one.
  void begin_leadership();
  /// Discards all pending records and ignores the replies to transactions in flight.
  void end_leadership();
  /// Loads a page that an earlier leader persisted. `version` is the revision of its last change. Returns
  /// false if any part of the page is malformed.
  bool load_completion_page(const std::string& key, const wire::Value& value, std::uint64_t version);
  bool load_inventory_page(const std::string& key, const wire::Value& value, std::uint64_t version,
                           const InventoryPages::AddMachine& add_machine);

  /// Persists the job's final state. `then`, which may be empty, runs once the state is known to be
  /// persisted. Several callers may wait for the same job; the first final state that is decided wins.
  void record_final_state(Job& job, wire::Phase phase, std::function<void()> then);
  /// Persists `cancelled` as the final state of a job that can never start because a job that it depends on
  /// is cancelled.
  void record_orphan(Job& job);
  /// Persists that the task is completed. The registry must already have it as completed.
  void record_completion(Job& job, std::uint32_t task, MachineIndex machine, std::uint64_t attempt);
  /// Adds the machine to the persisted inventory.
  void add_machine(MachineIndex machine);
  /// Writes the machine's changed record again, at low priority.
  void refresh_machine(MachineIndex machine);
  /// Removes the machine from the persisted inventory.
  void remove_machine(MachineIndex machine);

  /// The live jobs of each job batch. Code that reads a batch must register it and its jobs here.
  JobBatches& batches() {
    return batches_;
  }
  /// Deletes the batches that have become empty, at low priority.
  void delete_empty_batches();
  /// Deletes a key that is no longer needed, at low priority.
  void delete_later(std::string key);
  /// Gives the job a key of its own, so that its batches can be deleted. Used when batches are switched off.
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
  /// Number of times that a page was split because it was too large.
  std::uint64_t pages_split() const {
    return completion_pages_.splits() + inventory_pages_.splits();
  }
  /// Transactions that the state service refused as malformed.
  std::uint64_t malformed_commits() const {
    return malformed_commits_;
  }
  std::size_t page_count() const {
    return completion_pages_.page_count() + inventory_pages_.page_count();
  }
  /// Version lookups of pages that a transaction whose reply was lost had changed.
  std::uint64_t page_lookups() const {
    return page_lookups_;
  }
  Backlogs backlogs() const;
  /// When the oldest unrecorded final state of this kind was decided; nothing if all are recorded.
  std::optional<Seconds> oldest_unrecorded(RecordKind kind) const;

 private:
  /// The content of one transaction.
  struct Commit {
    FinalStateQueue::Selection selection;
    std::vector<JobIndex> first_sent;  ///< jobs whose final state is sent for the first time
    std::vector<CompletionPages::Write> completions;
    std::vector<InventoryPages::Write> inventory;
    RecordCleanup::Write cleanup;
    int change_count = 0;     ///< puts and deletes
    bool users_wait = false;  ///< holds records whose absence delays users
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
  std::uint64_t term_ = 0;  // counts leaderships; callbacks of an earlier one are ignored
  std::uint64_t commits_ = 0;
  std::uint64_t malformed_commits_ = 0;
  std::uint64_t page_lookups_ = 0;
  Writes writes_;
};

}  // namespace wingtrail::jobs
