#include "balancing/migrations.hpp"

#include <algorithm>

namespace wingtrail::balancing {

std::string_view name(MigrationCause cause) {
  switch (cause) {
    case MigrationCause::slow_machine:
      return "slow";
    case MigrationCause::draining:
      return "emptied";
  }
  return "?";
}

void Migrations::clear() {
  for (const Migration& migration : migrations_)
    on_finished(migration, false);
  migrations_.clear();
  last_migration_at_.clear();
}

bool Migrations::may_begin(JobIndex job, std::uint32_t task, std::size_t max_in_progress, Seconds now) const {
  if (migrations_.size() >= max_in_progress)
    return false;
  const auto it = last_migration_at_.find(key(job, task));
  return it == last_migration_at_.end() || now - it->second > kMigrationCooldown;
}

void Migrations::begin(const Migration& migration) {
  Counts& counts = counts_[static_cast<std::size_t>(migration.cause)];
  ++counts.begun;
  counts.lost_work_s += migration.lost_work_s;
  last_migration_at_[key(migration.job, migration.task)] = migration.began_at;
  migrations_.push_back(migration);
}

template <typename F>
std::vector<Migration> Migrations::take(F is_taken) {
  const auto remaining =
      std::stable_partition(migrations_.begin(), migrations_.end(),
                            [&](const Migration& migration) { return !is_taken(migration); });
  std::vector<Migration> taken(remaining, migrations_.end());
  migrations_.erase(remaining, migrations_.end());
  return taken;
}

std::optional<Migration> Migrations::take_of_task(JobIndex job, std::uint32_t task) {
  const auto taken =
      take([&](const Migration& migration) { return migration.job == job && migration.task == task; });
  if (taken.empty())
    return std::nullopt;
  return taken.front();
}

void Migrations::on_finished(const Migration& migration, bool started) {
  Counts& counts = counts_[static_cast<std::size_t>(migration.cause)];
  ++(started ? counts.done : counts.failed);
}

std::vector<Migration> Migrations::take_expired(Seconds now) {
  std::erase_if(last_migration_at_,
                [now](const auto& entry) { return now - entry.second > kMigrationCooldown; });
  return take([now](const Migration& migration) { return now - migration.began_at > kMigrationTimeout; });
}

std::vector<Migration> Migrations::take_of_machine(MachineIndex machine) {
  return take([machine](const Migration& migration) { return migration.target == machine; });
}

}  // namespace wingtrail::balancing
