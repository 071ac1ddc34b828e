/// \file
/// The cores that running and waiting work needs, by which machines are rented and returned.
#pragma once

#include "filters/filter_chain.hpp"
#include "scheduling/run_time_estimates.hpp"
#include "scheduling/service_objectives.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::scheduling {

/// Cores needed, by kind of machine. Ordinary: for work that is better off on ordinary machines. Flexible:
/// for work that may use spot machines.
struct Demand {
  double ordinary = 0, flexible = 0;  ///< in use, and what waiting work needs besides to be in time
  double waiting_ordinary = 0, waiting_flexible = 0;  ///< all that waits
  std::size_t replicas = 0;                           ///< of services, that are placed
};

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

  void clear();
  /// The job is new to the service.
  void record_arrival(const jobs::Job& job);
  /// Walks over all jobs. `boot_s`: seconds that a machine rented now takes to boot.
  Demand demand(ports::Seconds boot_s);
  /// The part of the job's waiting tasks, 0 to 1, that need machines of their own to be in time.
  double urgent_fraction(const jobs::Job& job, ports::Seconds boot_s) const;

 private:
  /// Cores of the job that waits that additional machines would help; 0 if none would.
  double helpable_waiting_cores(const jobs::Job& job, bool zones_unstable, double within_quota) const;
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
  /// Cores that flexible work would occupy at its recent rate of arrival, as of `offered_updated_at_`.
  double offered_cores_ = 0;
  ports::Seconds offered_updated_at_ = 0;
};

}  // namespace wingtrail::scheduling
