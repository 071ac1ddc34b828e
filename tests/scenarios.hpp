/// @file
/// Scripted runs of the simulated cluster: the test chooses the jobs that users submit and the faults.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "simulation/simulated_cluster.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

/// Switches logging off, or to the level in LOG_LEVEL; `debug` logs every event of a simulated run.
inline void configure_logging() {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
}

/// Returns an array `req-<n>` of `tasks` tasks with 2 CPUs each, which may run on spot machines.
inline wire::JobSpec job_of(int n, std::uint32_t tasks, const std::string& team) {
  wire::JobSpec s;
  s.ref = std::string("req-").append(std::to_string(n));
  s.job_class = "batch";
  s.team = team;
  s.image = "img-0";
  s.image_gb = 0.2;
  s.task_resources = {2, 0, 2};
  s.tasks = tasks;
  s.allows_spot = true;
  return s;
}

/// Longest wait of a job beside a machine that fits, or while the cloud has one, once the faults are over;
/// seconds.
inline constexpr double kLongestWait = 90;

/// Returns a service `req-<n>` of replicas with 2 CPUs each, which may not run on spot machines.
inline wire::JobSpec service_of(int n, std::uint32_t replicas, double memory_gb = 2) {
  wire::JobSpec s = job_of(n, replicas, "red");
  s.shape = wire::Shape::service;
  s.priority = wire::Priority::production;
  s.task_resources.memory_gb = memory_gb;
  s.allows_spot = false;
  return s;
}

/// Returns a plan without random faults and random jobs, with a fixed number of machines.
inline SimulationPlan scripted(std::uint64_t seed, int machines) {
  SimulationPlan plan;
  plan.seed = seed;
  plan.fault_every_s = 0;
  plan.budget_limits = false;
  plan.machines = machines;
  plan.max_machines = static_cast<std::size_t>(machines);
  plan.scripted = true;
  plan.idle_return_s = 1e4;  // replicas migrate only because of the fault
  return plan;
}

/// Ends the run and fails the test for each rule that was broken in it.
inline void expect_rules_kept(SimulatedCluster& cluster) {
  for (const auto& broken : cluster.close().broken_rules)
    ADD_FAILURE() << broken;
}

/// Result of a run with one fault.
struct FaultOutcome {
  RunReport verdict;
  /// Tasks started before the fault.
  std::size_t before = 0;
  /// Tasks started again during the fault.
  std::size_t again = 0;
  /// The long array completed.
  bool over = false;
};

/// Runs three services and one long array over all zones, triggers the fault at 50 s, counts restarts for
/// `lasts` seconds, and continues until 250 s, by which the array has to be done.
inline FaultOutcome run_through_fault(const SimulationPlan& plan,
                                      const std::function<void(SimulatedCluster&)>& trigger_fault,
                                      double lasts) {
  configure_logging();
  const auto machines = static_cast<std::uint32_t>(plan.machines);
  SimulatedCluster cluster(plan);
  cluster.begin();
  cluster.step(5);
  for (int n = 1; n <= 3; ++n) {
    wire::JobSpec service = job_of(n, machines, "red");
    service.shape = wire::Shape::service;
    service.spread_zones = true;
    service.allows_spot = false;
    cluster.submit_job(service, 0);
  }
  wire::JobSpec array = job_of(9, machines, "blue");
  array.estimate_s = 70;
  // Leases are delegated once no controller of an older version can have led for `cancel_s`.
  cluster.step(45);
  cluster.submit_job(array, 70);
  cluster.step(50);
  FaultOutcome r;
  r.before = cluster.run_report().started;
  const std::size_t moved = cluster.run_report().started_again;
  trigger_fault(cluster);
  cluster.step(50 + lasts);
  r.again = cluster.run_report().started_again - moved;
  cluster.step(250);
  r.over = cluster.is_done("req-9");
  r.verdict = cluster.run_report();
  return r;
}

inline FaultOutcome run_through_fault(std::uint64_t seed, int machines,
                                      const std::function<void(SimulatedCluster&)>& trigger_fault,
                                      double lasts) {
  return run_through_fault(scripted(seed, machines), trigger_fault, lasts);
}

/// Expects that the fault restarted no task, that no machine was returned during the cut and no worker's
/// lease expired, and that delegates renewed leases.
inline void expect_nothing_lost(const FaultOutcome& r) {
  for (const auto& b : r.verdict.broken_rules)
    ADD_FAILURE() << b;
  EXPECT_GT(r.before, 20U) << "too few tasks were started before the fault";
  EXPECT_EQ(r.again, 0U) << "tasks that kept running during the fault were started again";
  EXPECT_EQ(r.verdict.returned_in_cut, 0U) << "machines with tasks were returned during the cut";
  EXPECT_EQ(r.verdict.lost_by_lease_expiry, 0U) << "workers killed tasks because their lease expired";
  EXPECT_GT(r.verdict.renewed_by_delegates, 0U) << "no delegate renewed a lease";
  EXPECT_TRUE(r.over) << "the long array did not complete";
}

}  // namespace wingtrail::simulation
