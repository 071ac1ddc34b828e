// What the leader persists: final states, completed tasks, and the roster of machines. One transaction is
// under way at a time; what gathers meanwhile goes into the next one (group commit). Every one is conditioned
// on the leader's key, so a copy that is applied late fails once somebody else leads.
//
// Keys: j/REF the job while it is not over, j/REF/abort that its user wants it cancelled, f/REF its final
// state. Progress and roster are kept in pages, many jobs or machines to a value, since the state service
// counts writes: p/N the completed tasks of some jobs, r/N some machines that may hold tasks.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/completion_pages.hpp"
#include "jobs/final_state_queue.hpp"
#include "jobs/inventory_pages.hpp"
#include "jobs/job_batches.hpp"
#include "jobs/job_registry.hpp"
#include "jobs/write_limits.hpp"
#include "store/state_client.hpp"

namespace wingtrail::jobs {

inline constexpr const char* kLiveJobPrefix = "j/";
inline constexpr const char* kFinalStatePrefix = "f/";
inline constexpr const char* kCancellationSuffix = "/abort";
// In the record of a job that another cell handed on: that cell.
inline constexpr const char* kOriginCellField = "guest";

class StateWriter {
 public:
  struct LeadershipView {
    std::function<std::uint64_t()> fencing_token;
    std::function<Seconds()> lease_expires_at;
    std::function<void()> on_superseded;
    std::string leader_key;
  };
  using CompletedTask = jobs::CompletedTask;
  struct Events {
    std::function<void(Job&)> on_final_state;
    std::function<void(const std::vector<CompletedTask>&)> on_completions_persisted;
    std::function<void(MachineIndex)> on_machine_recorded;    // the machine is in the persisted roster
    std::function<wire::Value(MachineIndex)> machine_record;  // what the roster holds of a machine
  };
  StateWriter(ports::Outbox& out, store::StateClient& store, JobRegistry& registry,
              const settings::Settings& settings, LeadershipView link);
  void set_events(Events events);

  void begin_leadership();  // a leadership begins: nothing is pending
  void end_leadership();
  // What an earlier leader persisted, and at which revision; both return false if the record makes no sense.
  bool load_completion_page(const std::string& key, const wire::Value& value, std::uint64_t version);
  bool load_inventory_page(const std::string& key, const wire::Value& value, std::uint64_t version,
                           const std::function<MachineIndex(const wire::Value&)>& learn);

  // Persist the job's final state; `then` runs when that is certain. More than one may wait for it.
  void record_final_state(Job& job, wire::Phase phase, std::function<void()> then);
  // The same for one that can never start, since a job that it needs is cancelled.
  void record_orphan(Job& job);
  void record_completion(Job& job, std::uint32_t task, MachineIndex machine,
                         std::uint64_t attempt);  // a task was completed
  void add_machine(MachineIndex machine);
  void refresh_machine(MachineIndex machine);  // its record has changed; written in passing
  void remove_machine(MachineIndex machine);

  // The records of jobs on sheets. Whoever reads one says what it holds.
  JobBatches& batches() {
    return batches_;
  }
  void delete_empty_batches();         // deleted in passing
  void delete_later(std::string key);  // the same, of any key that is of no use any more
  // Gives the job a key of its own, so that its sheets can go; for when sheets are no longer wanted.
  void move_to_own_key(Job& job);

  const CompletionCodec& codec() const {
    return completion_pages_.codec();
  }
  std::uint64_t commits() const {
    return commits_;
  }
  struct Writes {  // puts and deletes, by what they were for
    std::uint64_t final_states = 0, inventory = 0, completions = 0, deletions = 0;
  };
  const Writes& writes() const {
    return writes_;
  }
  std::uint64_t pages_split() const {
    return completion_pages_.splits() + inventory_pages_.splits();
  }  // pages found too large
  std::uint64_t malformed_commits() const {
    return malformed_commits_;
  }  // transactions called malformed
  std::size_t page_count() const {
    return completion_pages_.page_count() + inventory_pages_.page_count();
  }
  std::uint64_t page_lookups() const {
    return page_lookups_;
  }  // pages that a write without an answer had changed
  using Backlog = FinalStateQueue::Backlog;
  using Backlogs = FinalStateQueue::Backlogs;
  Backlogs backlogs() const;
  // Since when the oldest end of that kind has been decided; nothing: all are recorded.
  std::optional<Seconds> oldest_unrecorded(RecordKind kind) const;

 private:
  struct Commit {
    FinalStateQueue::Selection selection;
    std::vector<CompletionPages::Write> completions;
    std::vector<InventoryPages::Write> inventory;
    std::vector<std::string> deletions;
    std::vector<JobIndex> moved_to_own_key;
    std::size_t record_count() const {
      return selection.final_states.size() + completions.size() + inventory.size() + deletions.size() +
             moved_to_own_key.size();
    }
  };
  void schedule_flush(Seconds delay);
  void flush();
  void add_final_state(wire::Transaction& txn, const Job& job);
  void add_inventory_pages(wire::Transaction& txn, Commit& c, TransactionSpace& space, PageUrgency least);
  void add_deletions(wire::Transaction& txn, Commit& c, TransactionSpace& space);
  void add_moves_to_own_key(wire::Transaction& txn, Commit& c, TransactionSpace& space);
  void reschedule_flush();
  bool conflicts_with_newer(const wire::Value& refusal, const Commit& c);
  template <typename Pages>
  void look_up_version(Pages& pages, std::size_t page);
  void on_commit_failed(Commit& c);
  void on_commit_malformed(const Commit& c, int ops);
  void on_committed(const Commit& c, std::uint64_t revision);

  ports::Outbox& out_;
  store::StateClient& store_;
  JobRegistry& registry_;
  const settings::Settings& settings_;
  LeadershipView leadership_;
  Events events_;
  WriteLimits limits_;
  FinalStateQueue final_states_;
  JobBatches batches_;
  std::deque<std::string> deletions_;
  std::deque<JobIndex> moves_to_own_key_;
  Seconds deleted_at_ = 0;
  CompletionPages completion_pages_;
  InventoryPages inventory_pages_;
  bool active_ = false, in_flight_ = false, flush_scheduled_ = false;
  Seconds flush_scheduled_at_ = 0;
  std::uint64_t term_ = 0, commits_ = 0, malformed_commits_ = 0, page_lookups_ = 0;
  Writes writes_;
};

}  // namespace wingtrail::jobs
