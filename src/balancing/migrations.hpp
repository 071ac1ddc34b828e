/// \file
/// Migrations of running tasks, each a small state machine: resources are reserved at the target, the task is
/// stopped, its end is proved, it starts at the target. Until the proof the task counts where it is, and
/// nothing starts anywhere. Whatever goes wrong ends the migration, never the task: it is then placed like
/// any other that waits. Nothing is persisted; a new leader finds tasks where they are.
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

enum class MigrationCause : std::uint8_t { slow_machine, draining };
inline constexpr std::size_t kMigrationCauses = 2;
/// Label value of the metrics.
std::string_view name(MigrationCause cause);

struct Migration {
  JobIndex job;
  MachineIndex target;
  std::uint32_t task = 0;
  MigrationCause cause{};
  Seconds began_at = 0;
  wire::Resources resources;  ///< reserved at the target
  double lost_work_s = 0;     ///< work that the stop throws away
};

/// The migrations in progress and their counts. Does not act on tasks or machines itself.
class Migrations {
 public:
  struct Counts {
    std::uint64_t begun = 0, done = 0, failed = 0;
    double lost_work_s = 0;
  };
  /// A task is not migrated again within this time, so no two migrations undo each other.
  static constexpr Seconds kMigrationCooldown = 120;
  static constexpr Seconds kMigrationTimeout = 15;

  void clear();
  /// Whether the task may migrate now, with at most `max_in_progress` at a time.
  bool may_begin(JobIndex job, std::uint32_t task, std::size_t max_in_progress, Seconds now) const;
  void begin(const Migration& migration);
  /// The task is proved to have ended where it was: returns its migration, which is no longer in progress;
  /// nothing: it is not migrating.
  std::optional<Migration> take_of_task(JobIndex job, std::uint32_t task);
  /// Counts a migration that is over. `started`: the task was started at the target.
  void on_finished(const Migration& migration, bool started);
  /// Removes and returns the migrations that took too long, or whose target is the machine.
  std::vector<Migration> take_expired(Seconds now);
  std::vector<Migration> take_of_machine(MachineIndex machine);
  std::size_t in_progress() const {
    return migrations_.size();
  }
  const Counts& counts(MigrationCause cause) const {
    return counts_[static_cast<std::size_t>(cause)];
  }

 private:
  template <typename F>
  std::vector<Migration> take(F selected);
  static std::uint64_t key(JobIndex job, std::uint32_t task) {
    return (std::uint64_t{job} << 32) | task;
  }
  std::vector<Migration> migrations_;                             // few entries
  std::unordered_map<std::uint64_t, Seconds> last_migration_at_;  // by task: when its last migration began
  Counts counts_[kMigrationCauses];
};

}  // namespace wingtrail::balancing
