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
  for (const Migration& m : migrations_)
    on_finished(m, false);  // its task, if it lives, is found where it is
  migrations_.clear();
  last_migration_at_.clear();
}

bool Migrations::may_begin(JobIndex job, std::uint32_t task, std::size_t at_once, Seconds now) const {
  if (migrations_.size() >= at_once)
    return false;
  const auto it = last_migration_at_.find(key(job, task));
  return it == last_migration_at_.end() || now - it->second > kRestBetweenMigrations;
}

void Migrations::begin(const Migration& move) {
  Counts& c = counts_[static_cast<std::size_t>(move.cause)];
  ++c.begun;
  c.lost_work_s += move.lost_work_s;
  last_migration_at_[key(move.job, move.task)] = move.began_at;
  migrations_.push_back(move);
}

template <typename F>
std::vector<Migration> Migrations::take(F wanted) {
  const auto kept = std::stable_partition(migrations_.begin(), migrations_.end(),
                                          [&](const Migration& m) { return !wanted(m); });
  std::vector<Migration> taken(kept, migrations_.end());
  migrations_.erase(kept, migrations_.end());
  return taken;
}

std::optional<Migration> Migrations::on_task_gone(JobIndex job, std::uint32_t task) {
  const auto taken = take([&](const Migration& m) { return m.job == job && m.task == task; });
  if (taken.empty())
    return std::nullopt;
  return taken.front();
}

void Migrations::on_finished(const Migration& move, bool started) {
  Counts& c = counts_[static_cast<std::size_t>(move.cause)];
  ++(started ? c.done : c.failed);
}

std::vector<Migration> Migrations::take_expired(Seconds now) {
  std::erase_if(last_migration_at_, [now](const auto& l) { return now - l.second > kRestBetweenMigrations; });
  return take([now](const Migration& m) { return now - m.began_at > kMigrationTimeout; });
}

std::vector<Migration> Migrations::take_of_machine(MachineIndex machine) {
  return take([machine](const Migration& m) { return m.target == machine; });
}

}  // namespace wingtrail::balancing
