// Moves of running tasks, each a small state machine: a place is kept at the target, the task is told to
// stop, its end is proved, it starts at the target. Until the proof the task counts where it is, and nothing
// starts anywhere. Whatever goes wrong ends the move, never the task: it is then placed like any other that
// waits. Nothing is persisted; a new leader finds tasks where they are.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::balancing {

using jobs::JobIndex;
using jobs::MachineIndex;
using ports::Seconds;

enum class MigrationCause : std::uint8_t { slow_machine, draining };
inline constexpr std::size_t kMigrationCauses = 2;
std::string_view name(MigrationCause cause);

struct Migration {
  JobIndex job;
  MachineIndex target;
  std::uint32_t task = 0;
  MigrationCause cause{};
  Seconds began_at = 0;
  wire::Resources resources;  // kept at the target
  double lost_work_s = 0;     // work that the stop throws away
};

class Migrations {
 public:
  struct Counts {
    std::uint64_t begun = 0, done = 0, failed = 0;
    double lost_work_s = 0;
  };
  // At most `at_once` are under way; a task is not moved again within `rest`, so no two moves undo each
  // other.
  static constexpr Seconds kRestBetweenMigrations = 120, kMigrationTimeout = 15;

  void clear();
  bool may_begin(JobIndex job, std::uint32_t task, std::size_t at_once, Seconds now) const;
  void begin(const Migration& move);
  // Its task is proved to be gone from where it was: the move, which is over for this account; nothing: none
  // is under way.
  std::optional<Migration> on_task_gone(JobIndex job, std::uint32_t task);
  // The task started at the target, or it did not.
  void on_finished(const Migration& move, bool started);
  // Moves that took too long, or that involve a machine which is no longer fit: given up.
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
  std::vector<Migration> take(F wanted);
  static std::uint64_t key(JobIndex job, std::uint32_t task) {
    return (std::uint64_t{job} << 32) | task;
  }
  std::vector<Migration> migrations_;                             // a few
  std::unordered_map<std::uint64_t, Seconds> last_migration_at_;  // when a task was last moved
  Counts counts_[kMigrationCauses];
};

}  // namespace wingtrail::balancing
