// Combinations of two faults: docs/combined-faults.md has a row for each.
#include "combined_faults.hpp"

#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

TEST(CombinedFaults, TheGapSwept) {
  std::size_t confirmed = 0;
  for (double a = -1; a <= 7; a += wide() > 1 ? 0.5 : 2) {
    for (double b = 1; b <= 13; b += wide() > 1 ? 1 : 3) {
      for (const double down : {12.0, 45.0, 100.0}) {
        SCOPED_TRACE("cancelled after " + std::to_string(a) + " s, down after " + std::to_string(b) +
                     " s for " + std::to_string(down));
        confirmed += play_gap(deployed(static_cast<std::uint64_t>(10 * a + b + 20)), {a, b, down, {}});
        if (HasFailure())
          return;
      }
    }
  }
  EXPECT_GT(confirmed, 100U) << "cancellations were confirmed in the gap";
}

TEST(CombinedFaults, TheGapBesideOtherTroubles) {
  const std::vector<std::pair<std::string, std::function<void(Day&)>>> beside = {
      {"all controllers end amid it",
       [](Day& d) {
         d.at(75, [&d] {
           for (std::size_t i = 0; i < 3; ++i)
             d.world.crash(i);
         });
       }},
      {"machines hang",
       [](Day& d) {
         d.at(62.1, [&d] { d.world.fail_machines(SimulatedCluster::MachineFault::hung, 3, 30, "req-10"); });
       }},
      {"machines out of reach",
       [](Day& d) {
         d.at(61,
              [&d] { d.world.fail_machines(SimulatedCluster::MachineFault::unreachable, 3, 50, "req-11"); });
       }},
      {"deaf machines",
       [](Day& d) {
         d.at(61, [&d] { d.world.fail_machines(SimulatedCluster::MachineFault::deaf, 3, 40, "req-10"); });
       }},
      {"mute machines",
       [](Day& d) {
         d.at(61, [&d] { d.world.fail_machines(SimulatedCluster::MachineFault::mute, 3, 40, "req-10"); });
       }},
      {"answers lost",
       [](Day& d) {
         d.at(58, [&d] { d.world.delay_writes(0.4, 20, true); });
       }},
      {"late writes",
       [](Day& d) {
         d.at(58, [&d] { d.world.delay_writes(0.4, 20, false); });
       }},
      {"old reports",
       [](Day& d) {
         d.at(50, [&d] {
           d.world.duplicate_heartbeats_late(0.5, 12, SimulatedCluster::DuplicateArrival::after_election);
         });
       }},
      {"the old leader stands still",
       [](Day& d) {
         d.at(61, [&d] { d.world.freeze(d.world.leader().value_or(0), 9); });
       }},
  };
  std::size_t confirmed = 0;
  for (const auto& [name, trouble] : beside) {
    for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(2 * wide()); ++seed) {
      SCOPED_TRACE(name + ", seed " + std::to_string(seed));
      confirmed += play_gap(deployed(seed), {2.0 + static_cast<double>(seed % 3), 8, 50, trouble});
      if (HasFailure())
        return;
    }
  }
  EXPECT_GT(confirmed, 30U);
}

TEST(CombinedFaults, TheGapUnderOtherSettings) {
  std::size_t confirmed = 0;
  for (const double leases : {0.0, 2.0, 5.0}) {
    for (const bool consent : {false, true}) {
      for (const bool fixed : {false, true}) {
        SCOPED_TRACE(std::to_string(leases) + " leases" + (consent ? ", consent" : "") +
                     (fixed ? ", one node without admission" : ""));
        SimulationPlan plan = deployed(7);
        plan.delegation_leases = leases;
        plan.peer_agreement = consent;
        plan.one_without_shares = fixed;
        confirmed += play_gap(plan, {2.5, 9, 45, {}});
        if (HasFailure())
          return;
      }
    }
  }
  EXPECT_GT(confirmed, 10U);
}

// 1. Asked at all nodes again and again within milliseconds, the submission repeated, right after something
// was told; some cancel at once.
TEST(CombinedFaults, AskedAtAllNodesWithinMilliseconds) {
  meet(4, 3000, [](std::uint64_t seed) {
    Day day(deployed(seed));
    day.world.poll_all_nodes(90);
    day.long_arrays(4, 20);
    day.stream(120, 0.4, 0.4);
    if (seed % 2 == 0)
      day.at(60, [&] { day.world.state_slow(20); });
    for (double t = 70; t < 120; t += 18)
      day.at(t, [&] { day.crash_leader(); });
    day.world.step(130);
    return day.finish(200).close_polls;
  });
}

// 2. Carried out, only the answer lost, while others read what was written.
TEST(CombinedFaults, OnlyTheAnswerIsLost) {
  meet(6, 100, [](std::uint64_t seed) {
    Day day(deployed(seed));
    day.world.poll_all_nodes(80);
    day.world.delay_writes(seed % 2 == 0 ? 0.25 : 0.6, 60, true);
    day.long_arrays(4, 20);
    day.stream(110, 0.5, 0.4);
    day.at(60 + static_cast<double>(seed), [&] { day.crash_leader(); });
    day.at(90, [&] { day.crash_leader(); });
    day.world.step(130);
    return day.finish(240).lost_replies;
  });
}

// 3. Every team at its limit; cancelled jobs' machines are cut off or hang; the leader changes. Room is used
// again as soon as that is proved.
TEST(CombinedFaults, TeamsAtTheirLimitsCancelWhatIsOutOfReach) {
  meet(8, 8, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 14);
    plan.budget_limits = true;
    Day day(plan);
    for (int n = 0; n < 10; ++n) {
      wire::JobSpec s = job_of(10 + n, 8, n % 2 == 0 ? "red" : "blue");
      s.estimate_s = 50;
      day.world.submit_job(s, 50);
    }
    day.world.step(55);
    const auto what =
        seed % 2 == 0 ? SimulatedCluster::MachineFault::unreachable : SimulatedCluster::MachineFault::hung;
    day.world.fail_machines(what, 5, 12 + 7 * static_cast<double>(seed % 4), "req-10");
    day.cancel(10, 6, 55.1, 0.2);
    day.at(55 + 0.7 * static_cast<double>(seed), [&] { day.crash_leader(); });
    day.world.step(60);
    const std::size_t elections = day.elections();
    day.finish();
    return elections;
  });
}

// 4. Cancellations in the seconds in which one controller's work changes hands.
TEST(CombinedFaults, CancelledWhileTheWorkChangesHands) {
  meet(12, 12, [](std::uint64_t seed) {
    Day day(deployed(seed));
    day.long_arrays(9, 70);
    day.stream(80, 0.3, 0.5);
    day.world.step(58);
    const std::size_t before = day.elections(), old = day.world.leader().value_or(0);
    const double shift = 0.5 * static_cast<double>(seed % 12);
    if (seed % 3 == 0)
      day.at(60, [&] { day.world.crash(old); });
    if (seed % 3 == 1)
      day.at(60, [&] { day.world.freeze(old, 7); });
    if (seed % 3 == 2)
      day.at(60, [&] { day.world.cut_node(old, true, false, 12, seed % 2 == 0); });
    day.cancel(10, 8, 59 + shift, 0.1);
    day.world.step(80);
    const std::size_t changes = day.elections() - before;
    day.finish();
    return changes;
  });
}

// 5. Machines up within two seconds get work at once while writes lag, and the leader ends.
TEST(CombinedFaults, MachinesUpAtOnceWhileWritesLag) {
  meet(8, 40, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 4);
    plan.max_machines = 24;
    Day day(plan);
    day.world.boot_quickly(60);
    day.world.delay_writes(seed % 2 == 0 ? 0.3 : 0.6, 40, seed % 4 < 2);
    for (int n = 0; n < 8; ++n) {
      wire::JobSpec s = job_of(10 + n, 10, n % 2 == 0 ? "red" : "blue");
      s.estimate_s = 40;
      day.world.submit_job(s, 40);
    }
    const std::size_t before = day.world.machines_in_zone(0) + day.world.machines_in_zone(1);
    for (int k = 0; k < 3; ++k)
      day.at(43 + 0.5 * static_cast<double>(seed) + 9 * k, [&] { day.crash_leader(); });
    day.cancel(10, 3, 50, 0.3);
    day.world.step(80);
    const std::size_t rented = day.world.machines_in_zone(0) + day.world.machines_in_zone(1) - before;
    const RunReport& v = day.finish();
    EXPECT_GT(v.late_writes + v.lost_replies, 0U);
    return rented;
  });
}

// 6. Old reports at every node as a new leader begins, once it has acted, after newer ones, from an earlier
// session or attempt.
TEST(CombinedFaults, OldReportsSettleNothing) {
  meet(8, 400, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 8);
    plan.budget_limits = seed % 2 == 0;
    Day day(plan);
    day.long_arrays(6, 25);
    day.stream(150, 0.6, 0.3);
    day.world.duplicate_heartbeats_late(0.4, 60,
                                        seed % 3 != 0 ? SimulatedCluster::DuplicateArrival::after_election
                                                      : SimulatedCluster::DuplicateArrival::later);
    day.at(52, [&] {
      day.world.fail_machines(SimulatedCluster::MachineFault::unreachable, 3, 26);
    });  // their sessions end
    day.at(60 + 0.3 * static_cast<double>(seed), [&] { day.crash_leader(); });
    day.at(85, [&] {
      day.world.duplicate_heartbeats_late(0.4, 50,
                                          seed % 3 == 0 ? SimulatedCluster::DuplicateArrival::after_election
                                                        : SimulatedCluster::DuplicateArrival::later);
      day.crash_leader();
    });
    day.at(110, [&] { day.crash_leader(); });
    day.cancel(10, 3, 60.5, 1.5);
    day.world.step(160);
    const RunReport& v = day.finish();
    EXPECT_GT(v.held_heartbeats, 0U);
    return v.late_heartbeats + v.held_heartbeats;
  });
}

// 7. One-task jobs four a second for minutes, a quarter of them cancelled: within the budget of the smallest
// site, and nothing of them stays behind but their final states.
TEST(CombinedFaults, OneTaskJobsFourASecond) {
  meet(2, 800, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 12);
    plan.write_rps = 21;
    Day day(plan);
    day.stream(160, 0.25, 0.25);
    if (seed % 2 == 0)
      day.at(100, [&] { day.crash_leader(); });
    day.world.step(170);
    day.world.cancel(Day::ref(1)), day.world.cancel(Day::ref(2));
    const RunReport& v = day.finish(120);
    EXPECT_LT(v.max_writes, 1.0);
    EXPECT_EQ(day.world.key_count("j/"), 0U) << "live records, marks or sheets were left behind";
    EXPECT_GT(v.cancelled, 80U);
    return v.accepted;
  });
}

// 8. A command or its answer is held up for seconds, and the machine then goes on.
TEST(CombinedFaults, CommandsHeldUpAtMachinesThatGoOn) {
  meet(10, 10, [](std::uint64_t seed) {
    Day day(deployed(seed, 6));
    for (double t = 45; t < 95; t += 3.1) {
      day.at(t, [&day, seed, t] {
        day.world.fail_machines(SimulatedCluster::MachineFault::hung, 2,
                                0.5 + std::fmod(t * static_cast<double>(seed), 7.0));
      });
    }
    day.long_arrays(6, 15);
    day.stream(100, 0.4, 0.5);
    day.cancel(10, 4, 47, 2.3);
    if (seed % 2 == 0)
      day.at(70, [&] { day.crash_leader(); });
    day.world.step(110);
    return day.finish().told_gone;
  });
}

// 9. Transactions without an answer are carried out after newer ones of the same controller.
TEST(CombinedFaults, TransactionsCarriedOutLate) {
  meet(8, 100, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 5);
    plan.max_machines = 14;
    Day day(plan);
    day.world.poll_all_nodes(60);
    day.world.delay_writes(0.3, 70, false);
    day.world.boot_quickly(60);
    day.long_arrays(8, 20, 6);
    day.stream(110, 0.5, 0.3, 2);
    day.at(75 + static_cast<double>(seed), [&] { day.crash_leader(); });
    if (seed % 2 == 0)
      day.at(100, [&] { day.crash_leader(); });
    day.world.step(120);
    return day.finish().late_writes;
  });
}

// 10. A leader ends while machines with long tasks can't be reached, or don't hear the new one.
TEST(CombinedFaults, ALeaderEndsWhileMachinesAreOutOfReach) {
  meet(9, 9, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 8);
    plan.budget_limits = seed % 2 == 0;
    Day day(plan);
    day.long_arrays(6, 80);
    day.world.step(58);
    constexpr SimulatedCluster::MachineFault kinds[] = {SimulatedCluster::MachineFault::unreachable,
                                                        SimulatedCluster::MachineFault::deaf,
                                                        SimulatedCluster::MachineFault::mute};
    day.world.fail_machines(kinds[seed % 3], 3, seed % 2 == 0 ? 15 : 45, "req-10");
    day.at(58.5 + static_cast<double>(seed % 4), [&] { day.crash_leader(); });
    day.cancel(10, 3, 60, 1.7);
    day.stream(90, 1, 0.3);
    day.world.step(120);
    const std::size_t changes = day.elections();
    day.finish();
    return changes;
  });
}

// 11. Leaders change ten times in two minutes, also inside an outage; all end and one returns; all are away
// for longer than a lease; a zone with workers and a controller is cut off for longer than a lease.
TEST(CombinedFaults, LeadersChangeTenTimes) {
  meet(4, 28, [](std::uint64_t seed) {
    Day day(deployed(seed));
    day.long_arrays(8, 40);
    day.stream(170, 0.7, 0.4);
    for (int k = 0; k < 10; ++k)
      day.at(50 + 12 * k, [&] { day.crash_leader(); });
    if (seed % 2 == 0)
      day.at(80, [&] { day.world.state_outage(20); });
    day.cancel(10, 6, 51, 9);
    day.world.step(180);
    const std::size_t n = day.elections();
    day.finish();
    return n;
  });
}

TEST(CombinedFaults, AllControllersEndAndReturn) {
  meet(6, 12, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed);
    const bool long_away = seed % 3 == 0;
    plan.back_from = long_away ? 24 : 0.1;
    plan.back_to = long_away ? 30 : 1;
    Day day(plan);
    day.long_arrays(6, 40);
    day.stream(110, 0.7, 0.4);
    const auto all = [&day] {
      for (std::size_t i = 0; i < 3; ++i)
        day.world.crash(i);
    };
    day.at(60, all);
    if (!long_away)
      day.at(61 + 0.3 * static_cast<double>(seed), all);
    day.at(100, all);
    day.cancel(10, 4, 59.5, 0.4);
    day.world.step(150);
    const std::size_t n = day.elections();
    day.finish();
    return n;
  });
}

TEST(CombinedFaults, AZoneWithAControllerIsCutOffForLongerThanALease) {
  meet(6, 6, [](std::uint64_t seed) {
    Day day(deployed(seed));
    day.long_arrays(8, 60);
    day.stream(140, 1, 0.4);
    day.world.step(58);
    day.world.cut_zone(seed % 2, 35, seed % 4 < 2);
    day.cancel(10, 7, 57 + static_cast<double>(seed), 0.4);
    if (seed % 3 == 0)
      day.at(70, [&] { day.crash_leader(); });
    day.world.step(150);
    const std::size_t n = day.world.run_report().renewed_by_delegates;
    day.finish();
    return std::min<std::size_t>(n, 1);
  });
}

// 12. A leader is cut off from the state service and the other controllers while workers and users still
// reach it; jobs are cancelled through the new one.
TEST(CombinedFaults, ALeaderCutOffFromStateAndPeers) {
  meet(8, 8, [](std::uint64_t seed) {
    Day day(deployed(seed));
    day.world.poll_all_nodes(60);
    day.long_arrays(8, 70);
    day.stream(110, 0.6, 0.4);
    day.world.step(60);
    const std::size_t old = day.world.leader().value_or(0);
    day.world.cut_node(old, true, true, 12 + 5 * static_cast<double>(seed % 5), seed % 2 == 0);
    day.cancel(10, 7, 60 + 0.8 * static_cast<double>(seed), 0.5);
    day.world.step(75);
    const std::size_t moved = day.world.leader().value_or(old) != old;
    day.world.step(120);
    day.finish();
    return moved;
  });
}

// 13. Jobs of two or three tasks end far apart across a change of leader; a cancellation, question or
// repeated submission meets the end of a last task.
TEST(CombinedFaults, EndsFarApartAndCancelledAtTheEnd) {
  meet(6, 60, [](std::uint64_t seed) {
    Day day(deployed(seed, 8));
    day.world.slow_machines(4, 5);  // of two tasks one takes five times as long
    day.world.poll_all_nodes(100);
    day.world.cancel_at_completion(0.5, 100);
    day.world.send_malformed_requests(100);
    day.stream(120, 0.5, 0.1, 2 + static_cast<std::uint32_t>(seed % 2), 4);
    if (seed % 3 != 0) {
      for (double t = 60; t < 130; t += 17)
        day.at(t, [&] { day.crash_leader(); });
    }
    day.world.step(140);
    const RunReport& v = day.finish();
    EXPECT_GT(v.malformed_requests, 50U);
    return v.cancelled_at_end;
  });
}

// 14. Jobs bound to one zone, arrays too, lose machines; a team at its limit when the leader changes and some
// machines can't be asked, and a cancellation in that spell.
TEST(CombinedFaults, BoundToAZoneThatLosesMachines) {
  meet(6, 6, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 12);
    plan.budget_limits = true;
    plan.max_machines = 16;
    Day day(plan);
    for (int n = 0; n < 8; ++n) {
      wire::JobSpec s = job_of(10 + n, 5, n % 2 == 0 ? "red" : "blue");
      s.estimate_s = 40;
      if (n % 2 == 0)
        s.zone = "z0";
      if (n % 4 == 1)
        s.same_zone = true;
      day.world.submit_job(s, 40);
    }
    day.world.step(56);
    day.world.kill_in_zone(0, 2);
    day.world.fail_machines(SimulatedCluster::MachineFault::unreachable, 2, 18);
    day.at(56 + 0.8 * static_cast<double>(seed), [&] { day.crash_leader(); });
    day.cancel(10, 3, 57, 1.3);
    day.stream(90, 1, 0.3);
    day.world.step(100);
    const std::size_t n = day.elections() - 1;
    day.finish();
    return n;
  });
}

// 15. The service answers slowly, or refuses the leader alone and then everybody for longer than cancel_s,
// while users cancel and ask.
TEST(CombinedFaults, ASlowServiceWhileUsersCancelAndAsk) {
  meet(4, 1000, [](std::uint64_t seed) {
    Day day(deployed(seed));
    day.world.poll_all_nodes(140);
    day.long_arrays(8, 60);
    day.stream(150, 0.5, 0.5);
    day.at(50, [&] { day.world.state_slow(60); });
    day.at(60, [&] {
      if (seed % 2 == 0)
        day.world.refuse_state_service(day.world.leader().value_or(0), 10);
    });
    day.at(64 + static_cast<double>(seed), [&] {
      if (seed % 2 == 0)
        day.world.state_outage(40);
    });
    day.cancel(10, 7, 60, 0.8);
    day.world.step(170);
    return day.finish().close_polls;
  });
}

// A job that needs a cancelled one: its leader knows, but what it writes gets no answer for longer than
// cancel_s. A follower whose question the leader puts off once answered from a fresh read that it was queued
// (seed 1001007).
TEST(CombinedFaults, AnOrphanWhoseEndCanNotBeRecorded) {
  meet(8, 3, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 6);
    plan.dependencies = true;
    Day day(plan);
    wire::JobSpec first = job_of(10, 2, "red");
    day.world.submit_job(first, 100);
    day.world.step(50);
    for (int n = 11; n < 14; ++n) {
      wire::JobSpec next = job_of(n, 1, "red");
      next.depends_on = {Day::ref(n - 1)};
      day.world.submit_job(next, 5);
      day.world.step(day.world.now() + 2);
    }
    day.world.cancel("req-10");
    for (double t = day.world.now(); day.world.key_count("f/") == 0 && t < 80; t += 0.0002)
      day.world.step(t);
    day.world.state_outage(33);
    const double back = day.world.now() + 33;
    for (int n = 11; n < 14; ++n)
      day.world.poll_closely(Day::ref(n), 60);
    day.world.step(back);
    day.world.delay_writes(0.7, 8, false);  // of reads for users too, so some of them do get through
    day.world.step(back + 1.4);
    const bool open = day.world.cancelled_at(Day::ref(13)) < 0;
    day.world.step(back + 10);
    const RunReport& v = day.finish();
    EXPECT_EQ(v.orphaned, 3U);
    return static_cast<std::size_t>(open);
  });
}

// A new leader asks by several transactions at once which jobs on sheets are over, and some get no answer. It
// once renewed its lease without ever having read its jobs: the last to ask again found nothing to ask.
TEST(CombinedFaults, ANewLeaderReadsItsJobsThoughAnswersAreLost) {
  meet(6, 12, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 12);
    Day day(plan);
    for (int n = 0; n < 260; ++n) {
      day.at(41 + 0.02 * (n / 20), [&day, n] {
        wire::JobSpec s = job_of(1000 + n, 1, n % 2 == 0 ? "red" : "blue");
        s.estimate_s = 30;
        day.world.submit_job(s, 30);
      });
    }
    day.world.step(50);
    day.world.delay_writes(0.35, 40, true);
    for (int k = 0; k < 3; ++k)
      day.at(52 + 12 * k, [&] { day.crash_leader(); });
    day.world.step(95);
    const std::size_t n = day.elections();
    const RunReport& v = day.finish(500);
    EXPECT_EQ(v.lost_by_lease_expiry, 0U);
    EXPECT_GT(v.batched, 100U);
    return n;
  });
}

// Each check of the combined faults fails for a fault that is planted for it.
TEST(CombinedFaults, TheChecksCanFail) {
  const auto broken = [](const std::string& sabotage) {
    SimulationPlan plan = deployed(3, 6);
    plan.planted_fault = sabotage;
    Day day(plan);
    day.world.send_malformed_requests(20);
    day.long_arrays(2, 30);
    day.world.step(60);
    day.cancel(11, 1, 61);
    day.world.step(330);
    std::string rules;
    for (const auto& b : day.world.run_report().broken_rules)
      rules += b.substr(0, b.find(' ')) + " ";
    if (day.world.run_report().longest_wait_beside_capacity > 90)
      rules += "beside_room";
    return rules;
  };
  EXPECT_EQ(broken(""), "");
  EXPECT_EQ(broken("start_ignored"), "beside_room");
  EXPECT_EQ(broken("start_after_told"), "started_cancelled ");
  EXPECT_EQ(broken("questions_unanswered"), "unanswered ");
  EXPECT_EQ(broken("older_answer"), "went_back ");
  EXPECT_EQ(broken("odd_accepted"), "accepted_odd ");
  EXPECT_EQ(broken("task_hidden"), "free_to_start ");
  EXPECT_EQ(broken("again_after_done"), "again_after_done ");
}

// Large arrays behind a stream of small ones, of equal and of higher priority, that is more than there is
// room for; links are slow for a while and the leader ends. With the order of aims alone they never began.
TEST(CombinedFaults, LargeArraysBeginBesideMoreWorkThanRoom) {
  const auto begun = [](std::uint64_t seed, double within) {
    SimulationPlan plan = deployed(seed, 6);
    plan.begin_within_s = within;
    plan.objectives = {{"finished", "batch", 30, 0.9, 1}};
    Day day(plan);
    for (int n = 0; n < 200; ++n) {
      for (int k = 0; k < 3; ++k) {
        day.at(45 + 2.0 * n, [&day, n, k, seed] {
          wire::JobSpec s = job_of(1000 + 3 * n + k, 10, k % 2 == 0 ? "red" : "blue");
          if (seed % 2 == 0)
            s.priority = wire::Priority::high;
          s.estimate_s = 10;
          day.world.submit_job(s, 10);
        });
      }
    }
    day.world.step(60);
    for (int n = 10; n < 14; ++n) {
      wire::JobSpec s = job_of(n, 150, n % 2 == 0 ? "red" : "blue");
      s.estimate_s = 20;
      day.world.submit_job(s, 20);
    }
    day.at(120, [&] { day.world.slow_down_links(20); });
    day.at(150, [&] { day.crash_leader(); });
    day.world.step(60 + 240);
    std::size_t n = 0;
    for (int ref = 10; ref < 14; ++ref)
      n += day.world.began_at(Day::ref(ref)) >= 0;
    for (const auto& b : day.world.run_report().broken_rules)
      ADD_FAILURE() << b;
    return n;
  };
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    EXPECT_EQ(begun(seed, 240), 4U) << seed;
    EXPECT_EQ(begun(seed, 0), 0U) << "else there was room, and this shows nothing; seed " << seed;
  }
}

}  // namespace
}  // namespace wingtrail::simulation
