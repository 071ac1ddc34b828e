/// @file
/// Overlapping faults of a soak run on controller processes, from one seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

#include "controller_processes.hpp"
#include "simulation/simulated_cluster.hpp"

namespace wingtrail::simulation {

/// Schedules kills, pauses, cuts, delays, lost and late messages at random times, so that two or three
/// overlap.
class SoakFaults {
 public:
  /// @param end_s no fault lasts beyond this time of the simulated cluster
  SoakFaults(SimulatedCluster& cluster, ControllerProcesses& processes, std::uint64_t seed, double end_s)
      : cluster_(cluster), processes_(processes), random_(seed), end_s_(end_s) {}
  void schedule();

 private:
  double between(double low, double high);
  std::size_t any_controller();
  std::size_t leader();
  void begin_fault(double duration_s);
  /// Stops the process for a time.
  void pause(std::size_t controller, double duration_s);
  /// Stops the process for most of each tenth of a second, as on a processor with little time for it.
  void starve(std::size_t controller, double duration_s);
  /// Kills the leader several times in a row.
  void kill_leaders(double duration_s);

  SimulatedCluster& cluster_;
  ControllerProcesses& processes_;
  pcg32 random_;
  double end_s_;
};

}  // namespace wingtrail::simulation
