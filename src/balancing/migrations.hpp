/// @file
/// Migrations of running tasks. A migration reserves resources on the target machine, stops the task, waits
/// for the proof that the task has ended, and starts it on the target. Until that proof the task still counts
/// on its old machine and is not started anywhere. If any step fails, only the migration ends: the task is
/// then placed like any other pending task. Migrations are not persisted; after a failover the new leader
/// finds each task on the machine where it runs.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::balancing {

using jobs::JobIndex;
using jobs::MachineIndex;
using ports::Seconds;

/// Why a task migrates: its machine is slow, or is being drained.
enum class MigrationCause : std::uint8_t { slow_machine, draining };
inline constexpr std::size_t kMigrationCauses = 2;  ///< number of values
/// The cause as a label value of metrics.
std::string_view name(MigrationCause cause);

/// A migration of one task that is in progress.
struct Migration {
  JobIndex job;
  MachineIndex target;
  std::uint32_t task = 0;
  MigrationCause cause{};
  Seconds began_at = 0;
  wire::Resources resources;  ///< reserved at the target
  double lost_work_s = 0;     ///< run time in seconds that stopping the task discards
};

/// Keeps the migrations in progress and counts them. The scheduler acts on tasks and machines.
class Migrations {
 public:
  /// Counts of migrations since the start of the process. `done`: the task was started on the target.
  struct Counts {
    std::uint64_t begun = 0, done = 0, failed = 0;
    double lost_work_s = 0;  ///< sum over migrations, in seconds
  };
  /// A task does not migrate again within this time, so that migrations do not undo each other.
  static constexpr Seconds kMigrationCooldown = 120;
  /// A migration that takes longer is given up.
  static constexpr Seconds kMigrationTimeout = 15;

  /// Counts all migrations in progress as failed and removes them.
  void clear();
  /// Whether the task may begin to migrate now, given a limit on the migrations in progress.
  bool may_begin(JobIndex job, std::uint32_t task, std::size_t max_in_progress, Seconds now) const;
  /// Adds a migration.
  void begin(const Migration& migration);
  /// Removes and returns the migration of a task that has ended on its old machine; empty if there is none.
  std::optional<Migration> take_of_task(JobIndex job, std::uint32_t task);
  /// Counts the outcome of a migration that was removed. `started`: the task was started on the target.
  void on_finished(const Migration& migration, bool started);
  /// Removes and returns the migrations that have taken longer than `kMigrationTimeout`.
  std::vector<Migration> take_expired(Seconds now);
  /// Removes and returns the migrations whose target is the machine.
  std::vector<Migration> take_of_machine(MachineIndex machine);
  std::size_t in_progress() const {
    return migrations_.size();
  }
  const Counts& counts(MigrationCause cause) const {
    return counts_[static_cast<std::size_t>(cause)];
  }

 private:
  template <typename F>
  std::vector<Migration> take(F is_taken);
  static std::uint64_t key(JobIndex job, std::uint32_t task) {
    return (std::uint64_t{job} << 32) | task;
  }
  std::vector<Migration> migrations_;  // in progress; few, so a linear search is fast enough
  std::unordered_map<std::uint64_t, Seconds> last_migration_at_;  // by `key`: when the last migration began
  Counts counts_[kMigrationCauses];
};

}  // namespace wingtrail::balancing
