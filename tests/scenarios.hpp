// Days of a test's own in the simulated cluster: what users submit and what goes wrong is ordered by the
// test.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "simulation/simulated_cluster.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

// LOG_LEVEL=debug tells a test's day in detail.
inline void hush() {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
}

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

// Without faults of its own and of a fixed size: what happens is what the test orders.
inline SimulationPlan scripted(std::uint64_t seed, int machines) {
  SimulationPlan plan;
  plan.seed = seed;
  plan.fault_every_s = 0;
  plan.budget_limits = false;
  plan.machines = machines;
  plan.max_machines = static_cast<std::size_t>(machines);
  plan.scripted = true;
  plan.idle_return_s = 1e4;  // replicas move only because of the fault
  return plan;
}

struct Ride {
  RunReport verdict;
  std::size_t before = 0,
              again = 0;  // tasks started before the fault; those started once more because of it
  bool over = false;
};

// Services and one long array over all zones; then the fault; then time for everything to be over.
inline Ride ride_through(const SimulationPlan& plan, const std::function<void(SimulatedCluster&)>& trouble,
                         double lasts) {
  hush();
  const auto machines = static_cast<std::uint32_t>(plan.machines);
  SimulatedCluster world(plan);
  world.begin();
  world.step(5);
  for (int n = 1; n <= 3; ++n) {
    wire::JobSpec service = job_of(n, machines, "red");
    service.shape = wire::Shape::service;
    service.spread_zones = true;
    service.allows_spot = false;
    world.submit_job(service, 0);
  }
  wire::JobSpec array = job_of(9, machines, "blue");
  array.estimate_s = 70;
  world.step(45);  // custody begins once no node of an older version can have led for cancel_s
  world.submit_job(array, 70);
  world.step(50);
  Ride r;
  r.before = world.run_report().started;
  const std::size_t moved = world.run_report().started_again;
  trouble(world);
  world.step(50 + lasts);
  r.again = world.run_report().started_again - moved;
  world.step(250);
  r.over = world.is_done("req-9");
  r.verdict = world.run_report();
  return r;
}

inline Ride ride_through(std::uint64_t seed, int machines,
                         const std::function<void(SimulatedCluster&)>& trouble, double lasts) {
  return ride_through(scripted(seed, machines), trouble, lasts);
}

inline void lost_nothing(const Ride& r) {
  for (const auto& b : r.verdict.broken_rules)
    ADD_FAILURE() << b;
  EXPECT_GT(r.before, 20U);
  EXPECT_EQ(r.again, 0U) << "what ran on unseen was started again";
  EXPECT_EQ(r.verdict.returned_in_cut, 0U);
  EXPECT_EQ(r.verdict.lost_by_lease_expiry, 0U);
  EXPECT_GT(r.verdict.renewed_by_delegates, 0U);
  EXPECT_TRUE(r.over);
}

}  // namespace wingtrail::simulation
