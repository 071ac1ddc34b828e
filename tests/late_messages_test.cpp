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
    FaultRun day(deployed(seed, 8));
    day.long_arrays(8, 20);
    day.stream(120, 0.4, 0.4, 2, 5);
    day.cluster.delay_commands(0.4, 85);
    day.cancel(10, 5, 60, 1.1);
    for (double t = 52 + 0.7 * static_cast<double>(seed); t < 125; t += 13)
      day.at(t, [&] { day.crash_leader(); });
    day.cluster.step(130);
    EXPECT_GT(day.elections(), 4U) << "expected the leader to change";
    return day.finish().late_commands;
  });
}

// The same for a leader that keeps running without the state service and the other controllers,
// until another is elected.
TEST(LateMessages, CommandsOfAReplacedLeaderArriveAfterTheNextLeadersCommands) {
  run_seeds(8, 100, [](std::uint64_t seed) {
    FaultRun day(deployed(seed, 8));
    day.long_arrays(8, 40);
    day.stream(120, 0.5, 0.4, 2, 5);
    day.cluster.delay_commands(0.5, 80);
    for (double t = 55; t < 110; t += 18) {
      day.at(t + 0.2 * static_cast<double>(seed), [&day, seed] {
        day.cluster.cut_node(day.cluster.leader().value_or(0), true, true, 9, seed % 2 == 0);
      });
    }
    day.cancel(10, 6, 56 + 0.3 * static_cast<double>(seed), 3);
    day.cluster.step(130);
    EXPECT_GT(day.elections(), 2U) << "expected the leader to change";
    return day.finish().late_commands;
  });
}

// A command is delayed while its machine hangs, receives nothing, can send nothing or is unreachable;
// the machine then continues.
TEST(LateMessages, CommandsDelayedToMachinesThatFailAndContinue) {
  run_seeds(12, 100, [](std::uint64_t seed) {
    FaultRun day(deployed(seed, 7));
    constexpr SimulatedCluster::MachineFault kinds[] = {
        SimulatedCluster::MachineFault::hung, SimulatedCluster::MachineFault::incoming_lost,
        SimulatedCluster::MachineFault::outgoing_lost, SimulatedCluster::MachineFault::unreachable};
    day.long_arrays(8, 25);
    day.stream(120, 0.4, 0.5, 2, 4);
    day.cluster.delay_commands(0.4, 80);
    for (double t = 50; t < 110; t += 9) {
      day.at(t, [&day, seed, t, &kinds] {
        const auto kind = static_cast<std::size_t>(t) + seed;
        day.cluster.fail_machines(kinds[kind % 4], 2, 3 + std::fmod(t * static_cast<double>(seed), 20.0));
      });
    }
    day.cancel(10, 5, 53, 4.3);
    if (seed % 2 == 0)
      day.at(75, [&] { day.crash_leader(); });
    day.cluster.step(130);
    return day.finish().late_commands;
  });
}

// Machines were silent for longer than a lease, so their tasks were placed elsewhere. Then the
// leader crashes, and the next one first gets heartbeats from before that, in any order,
// while commands are delayed.
TEST(LateMessages, OldHeartbeatsReachANewLeaderBeforeCurrentOnes) {
  run_seeds(12, 1000, [](std::uint64_t seed) {
    FaultRun day(deployed(seed, 8));
    day.cluster.duplicate_heartbeats_late(0.7, 120, SimulatedCluster::DuplicateArrival::at_election);
    day.long_arrays(8, 70, 4);
    day.stream(150, 1, 0.3, 2, 8);
    day.at(48, [&] {
      day.cluster.fail_machines(SimulatedCluster::MachineFault::hung, 3, 23 + static_cast<double>(seed % 5));
    });
    day.at(70, [&] { day.cluster.delay_commands(0.5, 80); });
    for (double t = 78 + 0.4 * static_cast<double>(seed); t < 150; t += 16) {
      day.at(t - 1, [&day, seed] {
        day.cluster.fail_machines(seed % 2 == 0 ? SimulatedCluster::MachineFault::hung
                                                : SimulatedCluster::MachineFault::incoming_lost,
                                  2, 6);
      });
      day.at(t, [&] { day.crash_leader(); });
    }
    day.cancel(10, 3, 95, 7);
    day.cluster.step(160);
    EXPECT_GT(day.elections(), 3U) << "expected the leader to change";
    return day.finish().held_heartbeats;
  });
}

// Workers can open no connection to any controller but receive commands, while the leader changes.
TEST(LateMessages, MachinesThatCanSendNothingAndAChangeOfLeader) {
  run_seeds(8, 100, [](std::uint64_t seed) {
    FaultRun day(deployed(seed, 8));
    day.long_arrays(8, 50);
    day.stream(110, 0.7, 0.4, 2, 5);
    day.cluster.step(55);
    day.cluster.fail_machines(SimulatedCluster::MachineFault::outgoing_lost, 4, seed % 2 == 0 ? 14 : 40,
                              "req-10");
    day.at(56 + static_cast<double>(seed % 4), [&] { day.crash_leader(); });
    day.cancel(10, 4, 57, 2);
    day.cluster.step(120);
    EXPECT_GT(day.elections(), 1U) << "expected the leader to change";
    return day.finish().undelivered;
  });
}

// Leaders crash shortly after one another and restart within a second; then all controllers crash, and only
// one restarts for good at first.
TEST(LateMessages, LeadersCrashAndRestartWithinASecond) {
  run_seeds(8, 24, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 8);
    plan.back_from = 0.1;
    plan.back_to = 0.6;
    FaultRun day(plan);
    day.cluster.delay_commands(0.3, 90);
    day.long_arrays(8, 30);
    day.stream(120, 0.5, 0.4, 2, 5);
    const double at = 60 + 0.1 * static_cast<double>(seed);
    for (int k = 0; k < 4; ++k) {
      day.at(at + 8 * k, [&] { day.crash_leader(); });
      day.at(at + 8 * k + 3.2, [&] { day.crash_leader(); });  // the new leader, just elected
    }
    day.at(at + 40, [&] {
      for (std::size_t i = 0; i < 3; ++i)
        day.cluster.crash(i);
    });
    // One controller keeps running; the others crash again and again.
    const std::size_t survivor = seed % 3;
    for (double t = at + 40.3; t < at + 52; t += 0.4) {
      day.at(t, [&day, survivor] {
        for (std::size_t i = 0; i < 3; ++i) {
          if (i != survivor)
            day.cluster.crash(i);
        }
      });
    }
    day.cancel(10, 6, at - 0.5, 7);
    day.cluster.step(at + 60);
    const std::size_t n = day.elections();
    day.finish();
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
      FaultRun day(deployed(seed));
      day.long_arrays(9, 110);
      day.cluster.step(kRefusedAt);
      const double down_at = kRefusedAt + 1 + 0.1 * static_cast<double>(seed % 5);
      day.cluster.refuse_state_service(day.cluster.leader().value_or(0), 14);
      day.cancel(10, kCancelled, kRefusedAt + after, 0.01);
      day.at(down_at, [&] { day.cluster.state_outage(kDownFor); });
      if (seed % 2 == 0)
        day.cluster.delay_commands(0.5, 60);
      day.cluster.step(down_at + kDownFor);
      for (int n = 10; n < 10 + kCancelled; ++n)
        deferred += day.cluster.cancelled_at(FaultRun::ref(n)) < 0;
      day.finish();
      for (int n = 10; n < 10 + kCancelled; ++n)
        EXPECT_GE(day.cluster.cancelled_at(FaultRun::ref(n)), 0)
            << "expected " << FaultRun::ref(n) << " to be confirmed";
      if (HasFailure())
        return;
    }
  }
  EXPECT_GT(deferred, 150U) << "of 210 cancellations, deferred until the end of the outage";
}

}  // namespace
}  // namespace wingtrail::simulation
