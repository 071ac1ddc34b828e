/// \file
/// The filter for the teams' quotas.
#pragma once

#include "balancing/load_snapshot.hpp"
#include "filters/filter.hpp"
#include "settings/settings.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::filters {

/// Refuses a task that would take its team beyond its quota of CPUs or GPUs. Resources that tasks of an
/// earlier leader may still use on machines that are not reconciled count at their maximum, against every
/// team; while not even that maximum is known, teams with a quota start nothing.
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
  /// Whether the team's quota allows that many more tasks of the job at once.
  bool admits_tasks(const Job& job, double tasks) const;

 private:
  double reserved_for_services(const Job& job) const;

  const ports::Outbox& out_;
  const settings::Settings& settings_;
  const workers::WorkerManager& workers_;
  const balancing::LoadSnapshot& load_;
};

}  // namespace wingtrail::filters
