// The controllers in the simulated cluster: random faults for a number of seeds, and single scenarios. The
// simulated cluster checks the rules after every step.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "scenarios.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

class Seeds : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override {
    spdlog::set_level(spdlog::level::off);
  }
};

// To repeat one seed: random_fault_search SEED 1
TEST_P(Seeds, RulesHoldUnderRandomFaults) {
  const SimulationPlan plan = plan_of(static_cast<std::uint64_t>(GetParam()));
  const RunReport report = SimulatedCluster(plan).run();
  for (const auto& b : report.broken_rules)
    ADD_FAILURE() << b;
  EXPECT_GT(report.started, 20U);
  EXPECT_GT(report.accepted, 20U);
  EXPECT_GT(report.finished, 5U);
  EXPECT_GT(report.elections, 0U);
  EXPECT_EQ(report.with_dependencies > 5U, plan.dependencies);
  // Once the faults are over, every accepted job is done.
  EXPECT_EQ(report.unfinished, 0U) << "unfinished of " << report.accepted << " accepted jobs, seed "
                                   << plan.seed;
}
INSTANTIATE_TEST_SUITE_P(SimulatedCluster, Seeds, ::testing::Range(1, 25));

// Without faults one leader gets every job done. Seed 4 guards against a leader that assumes it is cut off
// because the first heartbeat of the only machine went to another controller.
TEST(SimulatedCluster, WithoutFaultsOneLeaderGetsEverythingDone) {
  spdlog::set_level(spdlog::level::off);
  for (const std::uint64_t seed : {4U, 8U, 18U, 28U}) {
    SimulationPlan plan;
    plan.seed = seed;
    plan.fault_every_s = 0;
    const RunReport report = SimulatedCluster(plan).run();
    EXPECT_TRUE(report.broken_rules.empty()) << "seed " << seed;
    EXPECT_EQ(report.unfinished, 0U) << "seed " << seed;
    EXPECT_EQ(report.elections, 1U) << "seed " << seed;
    // Guards against an answer that is built before the controller has stored the recorded final state in
    // memory: the user is then answered only on the retry.
    EXPECT_GT(report.cancelled, 3U) << "seed " << seed;
    EXPECT_EQ(report.cancellations_deferred, 0U)
        << "expected every cancellation to be confirmed at once; seed " << seed;
  }
}

// Without other faults, an upgrade causes as many elections as leaders were stopped for it.
// Controllers that know the new, smaller limits keep to them (the simulated cluster reports anything
// beyond them as a broken rule).
TEST(SimulatedCluster, AnUpgradeCausesNoExtraElections) {
  spdlog::set_level(spdlog::level::off);
  std::size_t orphaned = 0;
  for (const std::uint64_t seed : {9U, 15U, 21U}) {
    SimulationPlan plan = plan_of(seed);
    plan.fault_every_s = 0;
    const RunReport report = SimulatedCluster(plan).run();
    for (const auto& b : report.broken_rules)
      ADD_FAILURE() << b;
    EXPECT_EQ(report.unfinished, 0U) << "seed " << seed;
    EXPECT_LE(report.elections, 4U) << "seed " << seed;
    EXPECT_EQ(report.over_limits, 0U) << "expected no request beyond the limits; seed " << seed;
    orphaned += report.orphaned;
  }
  EXPECT_GT(orphaned, 5U) << "expected orphaned jobs during the upgrades";
}

// The state service has smaller limits than the settings say: a refused transaction is sent again in smaller
// parts, and every job is still done.
TEST(SimulatedCluster, LimitsBelowThoseOfTheSettingsAreDetected) {
  spdlog::set_level(spdlog::level::off);
  std::size_t over_limits = 0;
  for (const std::uint64_t seed : {3U, 9U, 21U}) {
    SimulationPlan plan = plan_of(seed);
    plan.granted_limits_share = 0.4;
    plan.machines = 12;
    plan.fault_every_s = 40;
    const RunReport report = SimulatedCluster(plan).run();
    for (const auto& b : report.broken_rules)
      ADD_FAILURE() << b;
    EXPECT_EQ(report.unfinished, 0U) << "seed " << seed;
    over_limits += report.over_limits;
  }
  EXPECT_GT(over_limits, 3U) << "expected requests beyond the undeclared limits";
}

// A zone, the leader's or another, is cut off for longer than a lease: no machine is returned, no task is
// lost and none is started twice. Guards against returning the zone's machines as silent, which ends all
// tasks there (simulated run of the deployment cub-meterlink-fleet with zone failures: 231
// machines within 6 s).
TEST(SimulatedCluster, AZoneThatIsCutOffLosesNothing) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    for (const bool hold : {false, true}) {
      for (const bool leaders_zone : {false, true}) {
        SCOPED_TRACE("seed " + std::to_string(seed) +
                     (hold ? ", messages held back" : ", connections reset") +
                     (leaders_zone ? ", the leader's zone" : ""));
        expect_nothing_lost(run_through_fault(
            seed, 12,
            [&](SimulatedCluster& cluster) {
              cluster.cut_zone((cluster.leader().value_or(0) + (leaders_zone ? 0 : 1)) % 2, 45, hold);
            },
            60));
      }
    }
  }
}

TEST(SimulatedCluster, ACutAtAThousandMachinesLosesNothing) {
  expect_nothing_lost(run_through_fault(
      5, 1000, [](SimulatedCluster& cluster) { cluster.cut_zone(1, 40, true); }, 50));
}

// The state service is down for longer than a lease, and all controllers crash at its end.
TEST(SimulatedCluster, AnOutageThenACrashOfAllLosesNothing) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    SCOPED_TRACE(seed);
    expect_nothing_lost(run_through_fault(
        seed, 12,
        [](SimulatedCluster& cluster) {
          cluster.state_outage(35);
          cluster.schedule_after(34, [&cluster] {
            for (std::size_t i = 0; i < 3; ++i)
              cluster.crash(i);
          });
        },
        60));
  }
}

// A team reclaims its guarantee by preempting other teams' tasks only for jobs whose deadline does not allow
// waiting until tasks finish.
TEST(SimulatedCluster, OnlyJobsWithANearDeadlineReclaimAGuarantee) {
  spdlog::set_level(spdlog::level::off);
  const auto tasks_reclaimed = [](double deadline_s) {
    SimulationPlan plan;
    plan.fault_every_s = 0;
    plan.budget_limits = false;
    plan.machines = 4;
    plan.max_machines = 4;
    plan.scripted = true;
    SimulatedCluster cluster(plan);
    cluster.begin();
    cluster.step(10);
    wire::JobSpec red = job_of(1, 100, "red");  // far beyond its guarantee, on all machines
    red.estimate_s = 30;
    cluster.submit_job(red, 30);
    cluster.step(40);
    wire::JobSpec blue = job_of(2, 4, "blue");
    blue.estimate_s = 10;
    blue.deadline_s = deadline_s;
    cluster.submit_job(blue, 10);
    cluster.step(400);
    EXPECT_TRUE(cluster.is_done("req-2"));
    EXPECT_TRUE(cluster.run_report().broken_rules.empty());
    const auto stats = cluster.leader_stats();
    return stats ? stats->tasks_reclaimed : 999;
  };
  EXPECT_EQ(tasks_reclaimed(600), 0U);
  EXPECT_GT(tasks_reclaimed(20), 0U);
}

// A fleet that is too large shrinks to what its services need. Guards against services that are spread
// evenly over both zones and can move to neither, so that one machine that is drained of them blocks the
// return of all others.
TEST(SimulatedCluster, AFleetThatIsTooLargeShrinksToWhatItsServicesNeed) {
  spdlog::set_level(spdlog::level::off);
  SimulationPlan plan;
  plan.fault_every_s = 0;
  plan.budget_limits = false;
  plan.machines = 24;
  plan.scripted = true;
  SimulatedCluster cluster(plan);
  cluster.begin();
  cluster.step(5);
  wire::JobSpec spec = job_of(0, 4, "red");
  spec.shape = wire::Shape::service;
  spec.priority = wire::Priority::production;
  spec.spread_zones = true;
  for (int i = 1; i <= 36; ++i) {  // eight cores each; three of four are cancelled at 100 s
    spec.ref = "req-" + std::to_string(i);
    cluster.submit_job(spec, 0, i % 4 == 0 ? -1 : 100);
  }
  cluster.step(400);
  const auto stats = cluster.leader_stats();
  ASSERT_TRUE(stats);
  EXPECT_TRUE(cluster.run_report().broken_rules.empty());
  EXPECT_EQ(stats->live_jobs, 9U);
  EXPECT_LE(stats->machines, 9U);
}

// Guards against a job that fails on every machine and, by its team's guarantee, preempts a
// longer job every minute.
TEST(SimulatedCluster, AFailingJobDoesNotKeepPreemptingOtherJobs) {
  spdlog::set_level(spdlog::level::off);
  SimulationPlan plan;
  plan.seed = 68;
  plan.budget_limits = false;
  const RunReport report = SimulatedCluster(plan).run();
  EXPECT_TRUE(report.broken_rules.empty());
  EXPECT_EQ(report.unfinished, 0U);
}

SimulationPlan large_fleet(std::uint64_t seed, int machines) {
  SimulationPlan plan;
  plan.seed = seed;
  plan.budget_limits = false;
  plan.machines = machines;
  plan.max_machines = static_cast<std::size_t>(machines) * 5 / 4;
  plan.job_size = 8;
  plan.arrival_s = 1.5;
  plan.duration_s = 60;
  plan.settle_s = 60;
  plan.fault_every_s = 0;
  return plan;
}

// Controllers crash, the state service fails, and machines hang and die, with a thousand machines to
// reconcile and to record, all of which send heartbeats.
TEST(SimulatedCluster, RulesHoldAtAThousandMachines) {
  spdlog::set_level(spdlog::level::off);
  for (const std::uint64_t seed : {1U, 2U}) {
    SimulationPlan plan = large_fleet(seed, 1000);
    plan.fault_every_s = 8;
    const RunReport report = SimulatedCluster(plan).run();
    for (const auto& b : report.broken_rules)
      ADD_FAILURE() << b;
    EXPECT_GT(report.started, 300U);
    EXPECT_GT(report.elections, 0U);
  }
}

// The numbers of machines and jobs examined per started task, and of writes per finished job, must not grow
// with the fleet. Counts are compared, not times.
TEST(SimulatedCluster, CostPerEventDoesNotGrowWithTheFleet) {
  spdlog::set_level(spdlog::level::off);
  struct Cost {
    double machines_per_start, jobs_per_start, writes_per_job;
  };
  const auto cost = [](int machines) {
    SimulatedCluster cluster(large_fleet(3, machines));
    cluster.begin();
    // By then all machines have joined; writing each one's record once is not counted.
    cluster.step(50);
    const auto before = cluster.leader_stats();
    cluster.step(100);
    const auto after = cluster.leader_stats();
    EXPECT_TRUE(before && after && after->tasks_started > 200) << "expected a leader that started 200 tasks";
    if (!before || !after)
      return Cost{0, 0, 0};
    const auto per = [](std::uint64_t count, std::uint64_t events) {
      return static_cast<double>(count) / std::max(1.0, static_cast<double>(events));
    };
    const std::uint64_t finished =
        after->jobs_done + after->jobs_cancelled - before->jobs_done - before->jobs_cancelled;
    return Cost{per(after->machines_examined, after->tasks_started),
                per(after->jobs_examined, after->tasks_started),
                per(after->state_writes - before->state_writes, finished)};
  };
  const Cost small = cost(150), big = cost(1200);
  EXPECT_GT(small.machines_per_start, 0);
  EXPECT_LT(big.machines_per_start, 2 * small.machines_per_start + 5);
  EXPECT_LT(big.jobs_per_start, 2 * small.jobs_per_start + 5);
  EXPECT_GT(small.writes_per_job, 0);
  EXPECT_LT(big.writes_per_job, 2 * small.writes_per_job + 5);
}

// A fleet with load balancing (docs/load-balancing.md) and service-level objectives for two job classes.
SimulationPlan load_balanced(std::uint64_t seed, int machines, bool load_balancing = true) {
  SimulationPlan plan = scripted(seed, machines);
  plan.load_balancing = load_balancing;
  plan.objectives = {{"finished", "batch", 120, 0.9, 1}, {"wait", "live", 2, 0.9, 1}};
  return plan;
}

wire::JobSpec live_service(int n, std::uint32_t tasks, int image) {
  wire::JobSpec spec = job_of(n, tasks, "red");
  spec.shape = wire::Shape::service;
  spec.job_class = "live";
  spec.priority = wire::Priority::production;
  spec.image = "live-" + std::to_string(image);
  spec.image_gb = 2.2;  // the fetch takes longer than the objective of 2 s
  spec.spread_zones = true;
  spec.allows_spot = false;
  return spec;
}

// The fleet is full of job arrays, with more waiting; then services are submitted whose images other services
// already use. Guards against every machine with such an image being full of services, so that each new
// service has to fetch its image (seen on a busy day of the deployment roamkvitto-core-fleet).
TEST(LoadBalancing, ServicesStartWithoutAnImageFetchOnAFullFleet) {
  spdlog::set_level(spdlog::level::off);
  const auto late_services = [](std::uint64_t seed, bool load_balancing) {
    SimulatedCluster cluster(load_balanced(seed, 60, load_balancing));
    cluster.begin();
    cluster.step(10);
    int n = 0;
    for (int i = 0; i < 60; ++i)
      cluster.submit_job(live_service(++n, 2, i % 10), 0);
    cluster.step(30);
    for (int i = 0; i < 30; ++i) {
      wire::JobSpec spec = job_of(++n, 40, "blue");
      spec.estimate_s = 40;
      cluster.submit_job(spec, 40);
    }
    cluster.step(60);
    const std::size_t before = cluster.run_report().services_late;
    for (int i = 0; i < 24; ++i)
      cluster.submit_job(live_service(++n, 2, i % 10), 0);
    cluster.step(70);
    for (const auto& b : cluster.run_report().broken_rules)
      ADD_FAILURE() << b;
    return cluster.run_report().services_late - before;
  };
  std::size_t late_with = 0, late_without = 0;
  for (const std::uint64_t seed : {1U, 2U, 3U})
    late_with += late_services(seed, true), late_without += late_services(seed, false);
  EXPECT_LT(late_with, 12U) << "late of 144 replicas with load balancing";
  EXPECT_GT(late_without, 2 * late_with) << "expected more late replicas without load balancing";
}

// Some machines run at a quarter of their speed: tasks with a long time left there migrate whatever fails
// meanwhile, and no task ever runs on two machines (the simulated cluster checks every start).
TEST(LoadBalancing, TasksMigrateFromSlowMachinesUnderCrashesCutsAndCancellations) {
  spdlog::set_level(spdlog::level::off);
  std::uint64_t migrated = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    SimulatedCluster cluster(load_balanced(seed, 48));
    cluster.begin();
    cluster.step(10);
    int n = 0;
    const auto submit_until = [&](double until) {
      while (cluster.next() < until && n < 400) {
        ++n;
        wire::JobSpec spec = job_of(n, 24, n % 2 == 0 ? "red" : "blue");
        spec.estimate_s = 20;
        cluster.submit_job(spec, 20, n % 9 == 0 ? until + 6 : -1);
        cluster.step(std::min(until, 10 + 2.5 * n));
      }
      cluster.step(until);
    };
    submit_until(150);
    cluster.slow_machines(8, 4);
    submit_until(200);
    const auto stats = cluster.leader_stats();
    migrated += stats ? stats->migrations_done : 0;
    // During the migrations the leader crashes, a zone is cut off, machines die or the state service is down.
    if (seed % 4 == 0)
      cluster.crash(cluster.leader().value_or(0));
    if (seed % 4 == 1)
      cluster.cut_zone(seed % 2, 20, true);
    if (seed % 4 == 2)
      cluster.kill_machines(10);
    if (seed % 4 == 3)
      cluster.state_outage(8);
    submit_until(240);
    cluster.step(900);
    EXPECT_EQ(cluster.close().unfinished, 0U) << "seed " << seed;
    for (const auto& b : cluster.run_report().broken_rules)
      ADD_FAILURE() << b;
  }
  EXPECT_GT(migrated, 20U) << "expected migrations from the slow machines";
}

// One team submits eight times its usual load; machines die and all controllers crash during the burst. The
// served share of the other team's load never falls below a half.
TEST(LoadBalancing, ABurstOfOneTeamDoesNotStarveAnother) {
  spdlog::set_level(spdlog::level::off);
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SimulatedCluster cluster(load_balanced(seed, 100));
    cluster.begin();
    cluster.step(10);
    int n = 0;
    for (double t = 10; t < 200; t += 2) {
      const bool burst = t > 60 && t < 120;
      for (int i = 0; i < (burst ? 8 : 1); ++i) {
        wire::JobSpec spec = job_of(++n, 30, "red");
        spec.estimate_s = 30;
        // One user keeps cancelling and submitting again.
        cluster.submit_job(spec, 30, burst && i == 7 ? t + 20 : -1);
      }
      wire::JobSpec spec = job_of(++n, 15, "blue");
      spec.estimate_s = 30;
      cluster.submit_job(spec, 30);
      if (t == 90)
        cluster.kill_machines(10);
      if (t == 100) {
        for (std::size_t c = 0; c < 3; ++c)
          cluster.crash(c);
      }
      cluster.step(t + 2);
      if (t > 100) {
        EXPECT_GE(cluster.served_share("blue", 90), 0.5) << "seed " << seed << " at " << t;
      }
    }
    const auto stats = cluster.leader_stats();
    ASSERT_TRUE(stats);
    EXPECT_GT(stats->loads.size(), 1U);
    cluster.step(1500);
    EXPECT_EQ(cluster.served_share("red", 300), 1.0) << "seed " << seed;
    for (const auto& b : cluster.run_report().broken_rules)
      ADD_FAILURE() << b;
  }
}

// A job that can no longer finish in time on any machine is placed on a slow one if there is no other. Guards
// against such a job waiting beside an empty machine (seed 800994, and seed 2037 of several cells).
TEST(SimulatedCluster, AJobThatIsLateAnywayIsPlacedOnASlowMachine) {
  configure_logging();
  const RunReport report = SimulatedCluster(plan_of(800994)).run();
  EXPECT_EQ(report.unfinished, 0U);
  for (const auto& b : report.broken_rules)
    ADD_FAILURE() << b;
}

}  // namespace
}  // namespace wingtrail::simulation
