// Direct commands and heartbeats that arrive late: after a newer leader's commands, before any current
// heartbeat, or after the machine has continued. Combined with changes of leader and with machines that hang,
// receive nothing, can send nothing or are unreachable.
#include "combined_faults.hpp"

namespace wingtrail::simulation {
namespace {

// A direct command to a healthy machine is delayed; its leader crashes, and the next
// leader's commands arrive first.
TEST(LateMessages, CommandsOfACrashedLeaderArriveAfterTheNextLeadersCommands) {
  run_seeds(10, 200, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed, 8));
    fault_run.long_arrays(8, 20);
    fault_run.stream(120, 0.4, 0.4, 2, 5);
    fault_run.cluster.delay_commands(0.4, 85);
    fault_run.cancel(10, 5, 60, 1.1);
    for (double t = 52 + 0.7 * static_cast<double>(seed); t < 125; t += 13)
      fault_run.at(t, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(130);
    EXPECT_GT(fault_run.elections(), 4U) << "expected the leader to change";
    return fault_run.finish().late_commands;
  });
}

// The same for a leader that keeps running without the state service and the other controllers,
// until another is elected.
TEST(LateMessages, CommandsOfAReplacedLeaderArriveAfterTheNextLeadersCommands) {
  run_seeds(8, 100, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed, 8));
    fault_run.long_arrays(8, 40);
    fault_run.stream(120, 0.5, 0.4, 2, 5);
    fault_run.cluster.delay_commands(0.5, 80);
    for (double t = 55; t < 110; t += 18) {
      fault_run.at(t + 0.2 * static_cast<double>(seed), [&fault_run, seed] {
        fault_run.cluster.cut_node(fault_run.cluster.leader().value_or(0), true, true, 9, seed % 2 == 0);
      });
    }
    fault_run.cancel(10, 6, 56 + 0.3 * static_cast<double>(seed), 3);
    fault_run.cluster.step(130);
    EXPECT_GT(fault_run.elections(), 2U) << "expected the leader to change";
    return fault_run.finish().late_commands;
  });
}

// A command is delayed while its machine hangs, receives nothing, can send nothing or is unreachable;
// the machine then continues.
TEST(LateMessages, CommandsDelayedToMachinesThatFailAndContinue) {
  run_seeds(12, 100, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed, 7));
    constexpr SimulatedCluster::MachineFault kinds[] = {
        SimulatedCluster::MachineFault::hung, SimulatedCluster::MachineFault::incoming_lost,
        SimulatedCluster::MachineFault::outgoing_lost, SimulatedCluster::MachineFault::unreachable};
    fault_run.long_arrays(8, 25);
    fault_run.stream(120, 0.4, 0.5, 2, 4);
    fault_run.cluster.delay_commands(0.4, 80);
    for (double t = 50; t < 110; t += 9) {
      fault_run.at(t, [&fault_run, seed, t, &kinds] {
        const auto kind = static_cast<std::size_t>(t) + seed;
        fault_run.cluster.fail_machines(kinds[kind % 4], 2,
                                        3 + std::fmod(t * static_cast<double>(seed), 20.0));
      });
    }
    fault_run.cancel(10, 5, 53, 4.3);
    if (seed % 2 == 0)
      fault_run.at(75, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(130);
    return fault_run.finish().late_commands;
  });
}

// Machines were silent for longer than a lease, so their tasks were placed elsewhere. Then the
// leader crashes, and the next one first gets heartbeats from before that, in any order,
// while commands are delayed.
TEST(LateMessages, OldHeartbeatsReachANewLeaderBeforeCurrentOnes) {
  run_seeds(12, 1000, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed, 8));
    fault_run.cluster.duplicate_heartbeats_late(0.7, 120, SimulatedCluster::DuplicateArrival::at_election);
    fault_run.long_arrays(8, 70, 4);
    fault_run.stream(150, 1, 0.3, 2, 8);
    fault_run.at(48, [&] {
      fault_run.cluster.fail_machines(SimulatedCluster::MachineFault::hung, 3,
                                      23 + static_cast<double>(seed % 5));
    });
    fault_run.at(70, [&] { fault_run.cluster.delay_commands(0.5, 80); });
    for (double t = 78 + 0.4 * static_cast<double>(seed); t < 150; t += 16) {
      fault_run.at(t - 1, [&fault_run, seed] {
        fault_run.cluster.fail_machines(seed % 2 == 0 ? SimulatedCluster::MachineFault::hung
                                                      : SimulatedCluster::MachineFault::incoming_lost,
                                        2, 6);
      });
      fault_run.at(t, [&] { fault_run.crash_leader(); });
    }
    fault_run.cancel(10, 3, 95, 7);
    fault_run.cluster.step(160);
    EXPECT_GT(fault_run.elections(), 3U) << "expected the leader to change";
    return fault_run.finish().held_heartbeats;
  });
}

// Workers can open no connection to any controller but receive commands, while the leader changes.
TEST(LateMessages, MachinesThatCanSendNothingAndAChangeOfLeader) {
  run_seeds(8, 100, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed, 8));
    fault_run.long_arrays(8, 50);
    fault_run.stream(110, 0.7, 0.4, 2, 5);
    fault_run.cluster.step(55);
    fault_run.cluster.fail_machines(SimulatedCluster::MachineFault::outgoing_lost, 4, seed % 2 == 0 ? 14 : 40,
                                    "req-10");
    fault_run.at(56 + static_cast<double>(seed % 4), [&] { fault_run.crash_leader(); });
    fault_run.cancel(10, 4, 57, 2);
    fault_run.cluster.step(120);
    EXPECT_GT(fault_run.elections(), 1U) << "expected the leader to change";
    return fault_run.finish().undelivered;
  });
}

// Machines fail, jobs are cancelled and leaders crash while copies of carried-out requests arrive.
TEST(LateMessages, ACopyOfAnAnsweredStartStartsNoTaskAgain) {
  run_seeds(6, 300, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 8);
    plan.back_from = 0.1;
    plan.back_to = 0.9;
    FaultRun fault_run(plan);
    fault_run.cluster.repeat_requests(0.3, 85);
    fault_run.long_arrays(8, 20);
    fault_run.stream(120, 0.4, 0.4, 2, 5);
    fault_run.cancel(10, 5, 60, 1.1);
    for (double t = 48 + static_cast<double>(seed % 10); t < 125; t += 17) {
      fault_run.at(t, [&] { fault_run.crash_leader(); });
      fault_run.at(t + 5, [&fault_run] {
        fault_run.cluster.fail_machines(SimulatedCluster::MachineFault::hung, 2, 0.8);
      });
    }
    fault_run.cluster.step(130);
    EXPECT_GT(fault_run.elections(), 4U) << "expected the leader to change";
    const RunReport& report = fault_run.finish();
    EXPECT_GT(report.repeated_requests, 50U);
    return report.repeated_commands;
  });
}

TEST(LateMessages, ACopyOfAnAnsweredStartStartsNothingBeyondTheQuota) {
  run_seeds(4, 100, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 12);
    plan.budget_limits = true;
    FaultRun fault_run(plan);
    fault_run.cluster.repeat_requests(0.5, 80);
    fault_run.long_arrays(12, 15, 4);
    fault_run.stream(115, 0.3, 0.4, 3, 4);
    fault_run.at(60, [&] { fault_run.cluster.cancel_running_jobs(5, 0); });
    fault_run.at(80 + static_cast<double>(seed), [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(120);
    return fault_run.finish().repeated_commands;
  });
}

TEST(LateMessages, HeartbeatsStaySmallWhileOneLeaderStartsFourTasksASecond) {
  constexpr std::size_t kMaxHeartbeat = 16 * 1024;  // bytes
  constexpr double kFrom = 40, kUntil = 340, kJobsPerS = 4;
  FaultRun fault_run(deployed(1, 8));
  fault_run.stream(kUntil, 1 / kJobsPerS, 0.25);
  fault_run.cluster.step(kUntil);
  EXPECT_EQ(fault_run.elections(), 1U);
  const RunReport& report = fault_run.finish();
  EXPECT_GT(report.finished, static_cast<std::size_t>((kUntil - kFrom) * kJobsPerS / 2));
  EXPECT_LE(report.largest_heartbeat, kMaxHeartbeat) << report.most_tasks_listed << " tasks in it";
}

// Leaders crash shortly after one another and restart within a second; then all controllers crash, and only
// one restarts for good at first.
TEST(LateMessages, LeadersCrashAndRestartWithinASecond) {
  run_seeds(8, 24, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 8);
    plan.back_from = 0.1;
    plan.back_to = 0.6;
    FaultRun fault_run(plan);
    fault_run.cluster.delay_commands(0.3, 90);
    fault_run.long_arrays(8, 30);
    fault_run.stream(120, 0.5, 0.4, 2, 5);
    const double at = 60 + 0.1 * static_cast<double>(seed);
    for (int k = 0; k < 4; ++k) {
      fault_run.at(at + 8 * k, [&] { fault_run.crash_leader(); });
      fault_run.at(at + 8 * k + 3.2, [&] { fault_run.crash_leader(); });  // the new leader, just elected
    }
    fault_run.at(at + 40, [&] {
      for (std::size_t i = 0; i < 3; ++i)
        fault_run.cluster.crash(i);
    });
    // One controller keeps running; the others crash again and again.
    const std::size_t survivor = seed % 3;
    for (double t = at + 40.3; t < at + 52; t += 0.4) {
      fault_run.at(t, [&fault_run, survivor] {
        for (std::size_t i = 0; i < 3; ++i) {
          if (i != survivor)
            fault_run.cluster.crash(i);
        }
      });
    }
    fault_run.cancel(10, 6, at - 0.5, 7);
    fault_run.cluster.step(at + 60);
    const std::size_t n = fault_run.elections();
    fault_run.finish();
    return n;
  });
}

// Jobs are cancelled at the moment at which the state service begins to refuse the leader alone; a
// second later it is down for every controller, for longer than `cancel_s`. No controller can
// record these cancellations before the service is back, so the users' requests are deferred until
// then and confirmed afterwards.
TEST(LateMessages, CancelledWhenTheStateServiceBeginsToRefuseTheLeader) {
  constexpr double kRefusedAt = 60, kDownFor = 45;
  constexpr int kCancelled = 7;
  std::size_t deferred = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double after : {0.0, 0.05, 0.2}) {
      SCOPED_TRACE(::testing::Message() << "seed " << seed << ", cancelled after " << after << " s");
      FaultRun fault_run(deployed(seed));
      fault_run.long_arrays(9, 110);
      fault_run.cluster.step(kRefusedAt);
      const double down_at = kRefusedAt + 1 + 0.1 * static_cast<double>(seed % 5);
      fault_run.cluster.refuse_state_service(fault_run.cluster.leader().value_or(0), 14);
      fault_run.cancel(10, kCancelled, kRefusedAt + after, 0.01);
      fault_run.at(down_at, [&] { fault_run.cluster.state_outage(kDownFor); });
      if (seed % 2 == 0)
        fault_run.cluster.delay_commands(0.5, 60);
      fault_run.cluster.step(down_at + kDownFor);
      for (int n = 10; n < 10 + kCancelled; ++n)
        deferred += fault_run.cluster.cancelled_at(FaultRun::ref(n)) < 0;
      fault_run.finish();
      for (int n = 10; n < 10 + kCancelled; ++n)
        EXPECT_GE(fault_run.cluster.cancelled_at(FaultRun::ref(n)), 0)
            << "expected " << FaultRun::ref(n) << " to be confirmed";
      if (HasFailure())
        return;
    }
  }
  EXPECT_GT(deferred, 150U) << "of 210 cancellations, deferred until the end of the outage";
}

}  // namespace
}  // namespace wingtrail::simulation
