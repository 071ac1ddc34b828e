/// @file
/// Forecast of the cores that running and waiting jobs need, by which the autoscaler rents and
/// returns machines.
#pragma once

#include "filters/filter_chain.hpp"
#include "scheduling/run_time_estimates.hpp"
#include "scheduling/service_objectives.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::scheduling {

/// Cores needed, by kind of job. Ordinary: jobs that should run on ordinary machines. Flexible: jobs that may
/// run on spot machines.
struct Demand {
  /// Cores of placed tasks, and cores that waiting jobs need in addition to be in time.
  double ordinary = 0, flexible = 0;
  /// Cores of all waiting tasks that additional machines would help.
  double waiting_ordinary = 0, waiting_flexible = 0;
  std::size_t replicas = 0;  ///< placed replicas of services
};

/// Computes the demand for machines. References given to the constructor must outlive it.
class DemandForecast {
 public:
  DemandForecast(const ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                 const workers::WorkerManager& workers, const filters::FilterChain& filters,
                 const RunTimeEstimates& estimates, const ServiceObjectives& objectives)
      : out_(out),
        settings_(settings),
        registry_(registry),
        workers_(workers),
        filters_(filters),
        estimates_(estimates),
        objectives_(objectives) {}

  /// Discards the rate of arrival.
  void clear();
  /// Counts a newly submitted job in the rate of arrival.
  void record_arrival(const jobs::Job& job);
  /// The current demand. Visits all jobs. `boot_s`: seconds that a machine rented now takes to boot.
  Demand demand(ports::Seconds boot_s);
  /// The share of the job's pending tasks, 0 to 1, that need additional machines to be in time.
  double urgent_fraction(const jobs::Job& job, ports::Seconds boot_s) const;

 private:
  /// Cores of the job's pending tasks that additional machines would help to start. `within_quota`: cores
  /// that the team's quota still allows.
  double helpable_waiting_cores(const jobs::Job& job, bool zones_unstable, double within_quota) const;
  /// Cores that the quota still allows, by team.
  std::vector<double> quota_left() const;
  bool prefers_spot(const jobs::Job& job) const;
  double offered_cores() const;

  const ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::JobRegistry& registry_;
  const workers::WorkerManager& workers_;
  const filters::FilterChain& filters_;
  const RunTimeEstimates& estimates_;
  const ServiceObjectives& objectives_;
  /// Cores that flexible jobs occupy on average at their recent rate of arrival, as of `offered_updated_at_`.
  double offered_cores_ = 0;
  ports::Seconds offered_updated_at_ = 0;
};

}  // namespace wingtrail::scheduling
