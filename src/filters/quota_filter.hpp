/// @file
/// The filter for the teams' quotas.
#pragma once

#include "balancing/load_snapshot.hpp"
#include "filters/filter.hpp"
#include "settings/settings.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::filters {

/// Refuses a task that would exceed its team's quota of CPUs or GPUs. Tasks of an earlier leader on machines
/// that are not reconciled may belong to any team, so the whole capacity of these machines counts against
/// every team. While that capacity is not known, no task of a team with a quota starts.
class QuotaFilter : public Filter {
 public:
  QuotaFilter(const ports::Outbox& out, const settings::Settings& settings,
              const workers::WorkerManager& workers, const balancing::LoadSnapshot& load)
      : out_(out), settings_(settings), workers_(workers), load_(load) {}
  std::string_view name() const override {
    return "limits";
  }
  bool admits(const Machine& /*machine*/, const Job& job) const override {
    return admits_tasks(job, 1);
  }
  /// Whether the team's quota allows `tasks` more tasks of the job to run at the same time.
  bool admits_tasks(const Job& job, double tasks) const;

 private:
  double reserved_for_services(const Job& job, const settings::Team& team) const;

  const ports::Outbox& out_;
  const settings::Settings& settings_;
  const workers::WorkerManager& workers_;
  const balancing::LoadSnapshot& load_;
};

}  // namespace wingtrail::filters
