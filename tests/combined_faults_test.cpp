// Simulated runs in which two faults coincide. docs/combined-faults.md has a row for each combination;
// the numbers below are the numbers of its rows.
#include "combined_faults.hpp"

#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

// The state service refuses the leader alone, jobs are cancelled, then the service is down for every
// controller. Sweeps the moment of the cancellations, the start of the outage and its length.
TEST(CombinedFaults, CancellationsWhileOnlyTheLeaderIsRefusedThenAnOutage) {
  std::size_t confirmed = 0;
  for (double a = -1; a <= 7; a += seed_factor() > 1 ? 0.5 : 2) {
    for (double b = 1; b <= 13; b += seed_factor() > 1 ? 1 : 3) {
      for (const double down : {12.0, 45.0, 100.0}) {
        SCOPED_TRACE("cancelled after " + std::to_string(a) + " s, down after " + std::to_string(b) +
                     " s for " + std::to_string(down));
        confirmed +=
            run_staged_outage(deployed(static_cast<std::uint64_t>(10 * a + b + 20)), {a, b, down, {}});
        if (HasFailure())
          return;
      }
    }
  }
  EXPECT_GT(confirmed, 100U) << "expected cancellations to be confirmed before the outage ends";
}

// The same sequence combined with one further fault each.
TEST(CombinedFaults, LeaderRefusedThenAnOutageBesideAThirdFault) {
  const std::vector<std::pair<std::string, std::function<void(FaultRun&)>>> third_faults = {
      {"all controllers crash during the outage",
       [](FaultRun& d) {
         d.at(75, [&d] {
           for (std::size_t i = 0; i < 3; ++i)
             d.cluster.crash(i);
         });
       }},
      {"machines hang",
       [](FaultRun& d) {
         d.at(62.1, [&d] { d.cluster.fail_machines(SimulatedCluster::MachineFault::hung, 3, 30, "req-10"); });
       }},
      {"machines unreachable",
       [](FaultRun& d) {
         d.at(61, [&d] {
           d.cluster.fail_machines(SimulatedCluster::MachineFault::unreachable, 3, 50, "req-11");
         });
       }},
      {"machines receive nothing",
       [](FaultRun& d) {
         d.at(61, [&d] {
           d.cluster.fail_machines(SimulatedCluster::MachineFault::incoming_lost, 3, 40, "req-10");
         });
       }},
      {"machines can send nothing",
       [](FaultRun& d) {
         d.at(61, [&d] {
           d.cluster.fail_machines(SimulatedCluster::MachineFault::outgoing_lost, 3, 40, "req-10");
         });
       }},
      {"answers of the state service lost",
       [](FaultRun& d) {
         d.at(58, [&d] { d.cluster.delay_writes(0.4, 20, true); });
       }},
      {"transactions carried out late",
       [](FaultRun& d) {
         d.at(58, [&d] { d.cluster.delay_writes(0.4, 20, false); });
       }},
      {"old heartbeats",
       [](FaultRun& d) {
         d.at(50, [&d] {
           d.cluster.duplicate_heartbeats_late(0.5, 12, SimulatedCluster::DuplicateArrival::after_election);
         });
       }},
      {"the old leader hangs",
       [](FaultRun& d) {
         d.at(61, [&d] { d.cluster.freeze(d.cluster.leader().value_or(0), 9); });
       }},
  };
  std::size_t confirmed = 0;
  for (const auto& [name, inject] : third_faults) {
    for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(2 * seed_factor()); ++seed) {
      SCOPED_TRACE(name + ", seed " + std::to_string(seed));
      confirmed += run_staged_outage(deployed(seed), {2.0 + static_cast<double>(seed % 3), 8, 50, inject});
      if (HasFailure())
        return;
    }
  }
  EXPECT_GT(confirmed, 30U) << "expected cancellations to be confirmed before the outage ends";
}

// The same sequence without and with delegation leases, peer agreement and a controller without admission.
TEST(CombinedFaults, LeaderRefusedThenAnOutageUnderOtherSettings) {
  std::size_t confirmed = 0;
  for (const double leases : {0.0, 2.0, 5.0}) {
    for (const bool agreement : {false, true}) {
      for (const bool one_without_admission : {false, true}) {
        SCOPED_TRACE(std::to_string(leases) + " delegation leases" + (agreement ? ", peer agreement" : "") +
                     (one_without_admission ? ", one controller without admission" : ""));
        SimulationPlan plan = deployed(7);
        plan.delegation_leases = leases;
        plan.peer_agreement = agreement;
        plan.one_without_fair_admission = one_without_admission;
        confirmed += run_staged_outage(plan, {2.5, 9, 45, {}});
        if (HasFailure())
          return;
      }
    }
  }
  EXPECT_GT(confirmed, 10U) << "expected cancellations to be confirmed before the outage ends";
}

// 1. Users query all controllers repeatedly and repeat the submission within milliseconds of an answer; some
// cancel at once. No controller may answer with an older state than one answered before.
TEST(CombinedFaults, QueriesAtAllControllersWithinMilliseconds) {
  run_seeds(4, 3000, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed));
    fault_run.cluster.poll_all_nodes(90);
    fault_run.long_arrays(4, 20);
    fault_run.stream(120, 0.4, 0.4);
    if (seed % 2 == 0)
      fault_run.at(60, [&] { fault_run.cluster.state_slow(20); });
    for (double t = 70; t < 120; t += 18)
      fault_run.at(t, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(130);
    return fault_run.finish(200).burst_queries;
  });
}

// 2. The state service carries a transaction out, but its answer is lost, while other controllers
// read what was written.
TEST(CombinedFaults, OnlyTheAnswerIsLost) {
  run_seeds(6, 100, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed));
    fault_run.cluster.poll_all_nodes(80);
    fault_run.cluster.delay_writes(seed % 2 == 0 ? 0.25 : 0.6, 60, true);
    fault_run.long_arrays(4, 20);
    fault_run.stream(110, 0.5, 0.4);
    fault_run.at(60 + static_cast<double>(seed), [&] { fault_run.crash_leader(); });
    fault_run.at(90, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(130);
    return fault_run.finish(240).lost_replies;
  });
}

// 3. Every team is at its limit; machines of cancelled jobs are unreachable or hang; the leader changes. The
// capacity is used again as soon as the tasks are proved to be gone.
TEST(CombinedFaults, TeamsAtTheirLimitsCancelJobsOnUnreachableMachines) {
  run_seeds(8, 8, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 14);
    plan.budget_limits = true;
    FaultRun fault_run(plan);
    for (int n = 0; n < 10; ++n) {
      wire::JobSpec spec = job_of(10 + n, 8, n % 2 == 0 ? "red" : "blue");
      spec.estimate_s = 50;
      fault_run.cluster.submit_job(spec, 50);
    }
    fault_run.cluster.step(55);
    const auto fault =
        seed % 2 == 0 ? SimulatedCluster::MachineFault::unreachable : SimulatedCluster::MachineFault::hung;
    fault_run.cluster.fail_machines(fault, 5, 12 + 7 * static_cast<double>(seed % 4), "req-10");
    fault_run.cancel(10, 6, 55.1, 0.2);
    fault_run.at(55 + 0.7 * static_cast<double>(seed), [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(60);
    const std::size_t elections = fault_run.elections();
    fault_run.finish();
    return elections;
  });
}

// 4. Jobs are cancelled in the seconds around a failover: the leader crashes, hangs or is cut off
// from the state service.
TEST(CombinedFaults, CancelledDuringAFailover) {
  run_seeds(12, 12, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed));
    fault_run.long_arrays(9, 70);
    fault_run.stream(80, 0.3, 0.5);
    fault_run.cluster.step(58);
    const std::size_t elections_before = fault_run.elections(), old = fault_run.cluster.leader().value_or(0);
    const double shift = 0.5 * static_cast<double>(seed % 12);
    if (seed % 3 == 0)
      fault_run.at(60, [&] { fault_run.cluster.crash(old); });
    if (seed % 3 == 1)
      fault_run.at(60, [&] { fault_run.cluster.freeze(old, 7); });
    if (seed % 3 == 2)
      fault_run.at(60, [&] { fault_run.cluster.cut_node(old, true, false, 12, seed % 2 == 0); });
    fault_run.cancel(10, 8, 59 + shift, 0.1);
    fault_run.cluster.step(80);
    const std::size_t changes = fault_run.elections() - elections_before;
    fault_run.finish();
    return changes;
  });
}

// 5. Machines that boot within two seconds get tasks at once while writes are delayed,
// and the leader crashes.
TEST(CombinedFaults, MachinesBootAtOnceWhileWritesAreDelayed) {
  run_seeds(8, 40, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 4);
    plan.max_machines = 24;
    FaultRun fault_run(plan);
    fault_run.cluster.boot_quickly(60);
    fault_run.cluster.delay_writes(seed % 2 == 0 ? 0.3 : 0.6, 40, seed % 4 < 2);
    for (int n = 0; n < 8; ++n) {
      wire::JobSpec spec = job_of(10 + n, 10, n % 2 == 0 ? "red" : "blue");
      spec.estimate_s = 40;
      fault_run.cluster.submit_job(spec, 40);
    }
    const std::size_t machines_before =
        fault_run.cluster.machines_in_zone(0) + fault_run.cluster.machines_in_zone(1);
    for (int k = 0; k < 3; ++k)
      fault_run.at(43 + 0.5 * static_cast<double>(seed) + 9 * k, [&] { fault_run.crash_leader(); });
    fault_run.cancel(10, 3, 50, 0.3);
    fault_run.cluster.step(80);
    const std::size_t rented =
        fault_run.cluster.machines_in_zone(0) + fault_run.cluster.machines_in_zone(1) - machines_before;
    const RunReport& report = fault_run.finish();
    EXPECT_GT(report.late_writes + report.lost_replies, 0U) << "expected delayed writes or lost answers";
    return rented;
  });
}

// 6. Old heartbeats arrive at every controller when a new leader begins, after it has acted, and after newer
// heartbeats; some are of an earlier incarnation or attempt. They must not count for reconciliation.
TEST(CombinedFaults, OldHeartbeatsReconcileNothing) {
  run_seeds(8, 400, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 8);
    plan.budget_limits = seed % 2 == 0;
    FaultRun fault_run(plan);
    fault_run.long_arrays(6, 25);
    fault_run.stream(150, 0.6, 0.3);
    fault_run.cluster.duplicate_heartbeats_late(0.4, 60,
                                                seed % 3 != 0
                                                    ? SimulatedCluster::DuplicateArrival::after_election
                                                    : SimulatedCluster::DuplicateArrival::later);
    fault_run.at(52, [&] {
      fault_run.cluster.fail_machines(SimulatedCluster::MachineFault::unreachable, 3, 26);
    });  // long enough for their incarnations to end
    fault_run.at(60 + 0.3 * static_cast<double>(seed), [&] { fault_run.crash_leader(); });
    fault_run.at(85, [&] {
      fault_run.cluster.duplicate_heartbeats_late(0.4, 50,
                                                  seed % 3 == 0
                                                      ? SimulatedCluster::DuplicateArrival::after_election
                                                      : SimulatedCluster::DuplicateArrival::later);
      fault_run.crash_leader();
    });
    fault_run.at(110, [&] { fault_run.crash_leader(); });
    fault_run.cancel(10, 3, 60.5, 1.5);
    fault_run.cluster.step(160);
    const RunReport& report = fault_run.finish();
    EXPECT_GT(report.held_heartbeats, 0U) << "expected heartbeats held back until an election";
    return report.late_heartbeats + report.held_heartbeats;
  });
}

// 7. Four one-task jobs per second for minutes, a quarter of them cancelled. The writes stay within the
// budget of the smallest site, and only the final states of these jobs remain stored.
TEST(CombinedFaults, OneTaskJobsFourASecond) {
  run_seeds(2, 800, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 12);
    plan.write_rps = 21;
    FaultRun fault_run(plan);
    fault_run.stream(160, 0.25, 0.25);
    if (seed % 2 == 0)
      fault_run.at(100, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(170);
    fault_run.cluster.cancel(FaultRun::ref(1)), fault_run.cluster.cancel(FaultRun::ref(2));
    const RunReport& report = fault_run.finish(120);
    EXPECT_LT(report.max_writes, 1.0) << "share of the write budget";
    EXPECT_EQ(fault_run.cluster.key_count("j/"), 0U)
        << "expected no job records, cancellation markers or job batches to remain";
    EXPECT_GT(report.cancelled, 80U);
    return report.accepted;
  });
}

// 8. A command or its answer is delayed for seconds because the machine hangs; the machine then continues.
TEST(CombinedFaults, CommandsDelayedAtMachinesThatHangAndContinue) {
  run_seeds(10, 10, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed, 6));
    for (double t = 45; t < 95; t += 3.1) {
      fault_run.at(t, [&fault_run, seed, t] {
        fault_run.cluster.fail_machines(SimulatedCluster::MachineFault::hung, 2,
                                        0.5 + std::fmod(t * static_cast<double>(seed), 7.0));
      });
    }
    fault_run.long_arrays(6, 15);
    fault_run.stream(100, 0.4, 0.5);
    fault_run.cancel(10, 4, 47, 2.3);
    if (seed % 2 == 0)
      fault_run.at(70, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(110);
    return fault_run.finish().cancellations_confirmed;
  });
}

// 9. Transactions that got no answer are carried out after newer ones of the same controller.
TEST(CombinedFaults, TransactionsCarriedOutLate) {
  run_seeds(8, 100, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 5);
    plan.max_machines = 14;
    FaultRun fault_run(plan);
    fault_run.cluster.poll_all_nodes(60);
    fault_run.cluster.delay_writes(0.3, 70, false);
    fault_run.cluster.boot_quickly(60);
    fault_run.long_arrays(8, 20, 6);
    fault_run.stream(110, 0.5, 0.3, 2);
    fault_run.at(75 + static_cast<double>(seed), [&] { fault_run.crash_leader(); });
    if (seed % 2 == 0)
      fault_run.at(100, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(120);
    return fault_run.finish().late_writes;
  });
}

// 10. The leader crashes while machines with long tasks are unreachable, receive nothing or can send nothing.
TEST(CombinedFaults, TheLeaderCrashesWhileMachinesAreUnreachable) {
  run_seeds(9, 9, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 8);
    plan.budget_limits = seed % 2 == 0;
    FaultRun fault_run(plan);
    fault_run.long_arrays(6, 80);
    fault_run.cluster.step(58);
    constexpr SimulatedCluster::MachineFault kinds[] = {SimulatedCluster::MachineFault::unreachable,
                                                        SimulatedCluster::MachineFault::incoming_lost,
                                                        SimulatedCluster::MachineFault::outgoing_lost};
    fault_run.cluster.fail_machines(kinds[seed % 3], 3, seed % 2 == 0 ? 15 : 45, "req-10");
    fault_run.at(58.5 + static_cast<double>(seed % 4), [&] { fault_run.crash_leader(); });
    fault_run.cancel(10, 3, 60, 1.7);
    fault_run.stream(90, 1, 0.3);
    fault_run.cluster.step(120);
    const std::size_t changes = fault_run.elections();
    fault_run.finish();
    return changes;
  });
}

// 11. The leader changes ten times in two minutes, for even seeds also during an outage of the state service.
TEST(CombinedFaults, LeadersChangeTenTimes) {
  run_seeds(4, 28, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed));
    fault_run.long_arrays(8, 40);
    fault_run.stream(170, 0.7, 0.4);
    for (int k = 0; k < 10; ++k)
      fault_run.at(50 + 12 * k, [&] { fault_run.crash_leader(); });
    if (seed % 2 == 0)
      fault_run.at(80, [&] { fault_run.cluster.state_outage(20); });
    fault_run.cancel(10, 6, 51, 9);
    fault_run.cluster.step(180);
    const std::size_t n = fault_run.elections();
    fault_run.finish();
    return n;
  });
}

// 11. All controllers crash, twice or three times; for every third seed they stay down for 24 to 30 s,
// longer than a lease.
TEST(CombinedFaults, AllControllersCrashAndRestart) {
  run_seeds(6, 12, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed);
    const bool down_long = seed % 3 == 0;
    plan.back_from = down_long ? 24 : 0.1;
    plan.back_to = down_long ? 30 : 1;
    FaultRun fault_run(plan);
    fault_run.long_arrays(6, 40);
    fault_run.stream(110, 0.7, 0.4);
    const auto crash_all = [&fault_run] {
      for (std::size_t i = 0; i < 3; ++i)
        fault_run.cluster.crash(i);
    };
    fault_run.at(60, crash_all);
    if (!down_long)
      fault_run.at(61 + 0.3 * static_cast<double>(seed), crash_all);
    fault_run.at(100, crash_all);
    fault_run.cancel(10, 4, 59.5, 0.4);
    fault_run.cluster.step(150);
    const std::size_t n = fault_run.elections();
    fault_run.finish();
    return n;
  });
}

// 11. A zone with workers and a controller is cut off for 35 s, longer than a lease.
TEST(CombinedFaults, AZoneWithAControllerIsCutOffForLongerThanALease) {
  run_seeds(6, 6, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed));
    fault_run.long_arrays(8, 60);
    fault_run.stream(140, 1, 0.4);
    fault_run.cluster.step(58);
    fault_run.cluster.cut_zone(seed % 2, 35, seed % 4 < 2);
    fault_run.cancel(10, 7, 57 + static_cast<double>(seed), 0.4);
    if (seed % 3 == 0)
      fault_run.at(70, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(150);
    const std::size_t n = fault_run.cluster.run_report().renewed_by_delegates;
    fault_run.finish();
    return std::min<std::size_t>(n, 1);
  });
}

// 12. A leader is cut off from the state service and the other controllers while workers and users still
// reach it; jobs are cancelled through the new one.
TEST(CombinedFaults, ALeaderCutOffFromStateAndPeers) {
  run_seeds(8, 8, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed));
    fault_run.cluster.poll_all_nodes(60);
    fault_run.long_arrays(8, 70);
    fault_run.stream(110, 0.6, 0.4);
    fault_run.cluster.step(60);
    const std::size_t old = fault_run.cluster.leader().value_or(0);
    fault_run.cluster.cut_node(old, true, true, 12 + 5 * static_cast<double>(seed % 5), seed % 2 == 0);
    fault_run.cancel(10, 7, 60 + 0.8 * static_cast<double>(seed), 0.5);
    fault_run.cluster.step(75);
    const std::size_t moved = fault_run.cluster.leader().value_or(old) != old;
    fault_run.cluster.step(120);
    fault_run.finish();
    return moved;
  });
}

// 13. The tasks of a job finish far apart, with a change of leader between them; a cancellation, query or
// repeated submission arrives just as the last task finishes.
TEST(CombinedFaults, TasksFinishFarApartAndJobsAreCancelledAtCompletion) {
  run_seeds(6, 60, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed, 8));
    fault_run.cluster.slow_machines(4, 5);  // one of two tasks takes five times as long
    fault_run.cluster.poll_all_nodes(100);
    fault_run.cluster.cancel_at_completion(0.5, 100);
    fault_run.cluster.send_malformed_requests(100);
    fault_run.stream(120, 0.5, 0.1, 2 + static_cast<std::uint32_t>(seed % 2), 4);
    if (seed % 3 != 0) {
      for (double t = 60; t < 130; t += 17)
        fault_run.at(t, [&] { fault_run.crash_leader(); });
    }
    fault_run.cluster.step(140);
    const RunReport& report = fault_run.finish();
    EXPECT_GT(report.malformed_requests, 50U) << "expected malformed requests to be sent";
    return report.cancelled_at_end;
  });
}

// 14. Jobs and job arrays that must run in one zone lose machines there. Teams are at their limits when the
// leader changes while some machines are unreachable, and jobs are cancelled meanwhile.
TEST(CombinedFaults, JobsBoundToAZoneThatLosesMachines) {
  run_seeds(6, 6, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 12);
    plan.budget_limits = true;
    plan.max_machines = 16;
    FaultRun fault_run(plan);
    for (int n = 0; n < 8; ++n) {
      wire::JobSpec spec = job_of(10 + n, 5, n % 2 == 0 ? "red" : "blue");
      spec.estimate_s = 40;
      if (n % 2 == 0)
        spec.zone = "z0";
      if (n % 4 == 1)
        spec.same_zone = true;
      fault_run.cluster.submit_job(spec, 40);
    }
    fault_run.cluster.step(56);
    fault_run.cluster.kill_in_zone(0, 2);
    fault_run.cluster.fail_machines(SimulatedCluster::MachineFault::unreachable, 2, 18);
    fault_run.at(56 + 0.8 * static_cast<double>(seed), [&] { fault_run.crash_leader(); });
    fault_run.cancel(10, 3, 57, 1.3);
    fault_run.stream(90, 1, 0.3);
    fault_run.cluster.step(100);
    const std::size_t n = fault_run.elections() - 1;
    fault_run.finish();
    return n;
  });
}

// 15. The state service is slow; for even seeds it also refuses the leader alone and then every controller
// for 40 s, longer than cancel_s. Users cancel and query meanwhile.
TEST(CombinedFaults, ASlowStateServiceWhileUsersCancelAndQuery) {
  run_seeds(4, 1000, [](std::uint64_t seed) {
    FaultRun fault_run(deployed(seed));
    fault_run.cluster.poll_all_nodes(140);
    fault_run.long_arrays(8, 60);
    fault_run.stream(150, 0.5, 0.5);
    fault_run.at(50, [&] { fault_run.cluster.state_slow(60); });
    fault_run.at(60, [&] {
      if (seed % 2 == 0)
        fault_run.cluster.refuse_state_service(fault_run.cluster.leader().value_or(0), 10);
    });
    fault_run.at(64 + static_cast<double>(seed), [&] {
      if (seed % 2 == 0)
        fault_run.cluster.state_outage(40);
    });
    fault_run.cancel(10, 7, 60, 0.8);
    fault_run.cluster.step(170);
    return fault_run.finish().burst_queries;
  });
}

// A job that depends on a cancelled one is orphaned, and the leader's writes of its final state get no answer
// for longer than cancel_s. A follower whose query the leader deferred must not read the stored record and
// answer that the job is queued (seed 1001007).
TEST(CombinedFaults, AnOrphanedJobWhoseFinalStateCannotBeWritten) {
  run_seeds(8, 3, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 6);
    plan.dependencies = true;
    FaultRun fault_run(plan);
    wire::JobSpec first = job_of(10, 2, "red");
    fault_run.cluster.submit_job(first, 100);
    fault_run.cluster.step(50);
    for (int n = 11; n < 14; ++n) {
      wire::JobSpec next = job_of(n, 1, "red");
      next.depends_on = {FaultRun::ref(n - 1)};
      fault_run.cluster.submit_job(next, 5);
      fault_run.cluster.step(fault_run.cluster.now() + 2);
    }
    fault_run.cluster.cancel("req-10");
    for (double t = fault_run.cluster.now(); fault_run.cluster.key_count("f/") == 0 && t < 80; t += 0.0002)
      fault_run.cluster.step(t);
    fault_run.cluster.state_outage(33);
    const double back = fault_run.cluster.now() + 33;
    for (int n = 11; n < 14; ++n)
      fault_run.cluster.add_pollers(FaultRun::ref(n), 60);
    fault_run.cluster.step(back);
    fault_run.cluster.delay_writes(0.7, 8,
                                   false);  // applies to reads for users too, so that some of these succeed
    fault_run.cluster.step(back + 1.4);
    const bool unconfirmed = fault_run.cluster.cancelled_at(FaultRun::ref(13)) < 0;
    fault_run.cluster.step(back + 10);
    const RunReport& report = fault_run.finish();
    EXPECT_EQ(report.orphaned, 3U);
    return static_cast<std::size_t>(unconfirmed);
  });
}

// A new leader reads in several concurrent transactions which jobs of job batches have a final state, and
// some of these get no answer. Guards against a leader that renews its lease without ever having read its
// jobs, because the last retry finds nothing left to read.
TEST(CombinedFaults, ANewLeaderReadsItsJobsThoughAnswersAreLost) {
  run_seeds(6, 12, [](std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 12);
    FaultRun fault_run(plan);
    for (int n = 0; n < 260; ++n) {
      fault_run.at(41 + 0.02 * (n / 20), [&fault_run, n] {
        wire::JobSpec spec = job_of(1000 + n, 1, n % 2 == 0 ? "red" : "blue");
        spec.estimate_s = 30;
        fault_run.cluster.submit_job(spec, 30);
      });
    }
    fault_run.cluster.step(50);
    fault_run.cluster.delay_writes(0.35, 40, true);
    for (int k = 0; k < 3; ++k)
      fault_run.at(52 + 12 * k, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(95);
    const std::size_t n = fault_run.elections();
    const RunReport& report = fault_run.finish(500);
    EXPECT_EQ(report.lost_by_lease_expiry, 0U);
    EXPECT_GT(report.batched, 100U) << "expected most jobs to be admitted in job batches";
    return n;
  });
}

// Each check of the combined faults fails when the fault that it looks for is planted.
TEST(CombinedFaults, TheChecksCanFail) {
  const auto broken_by = [](const std::string& planted_fault) {
    SimulationPlan plan = deployed(3, 6);
    plan.planted_fault = planted_fault;
    FaultRun fault_run(plan);
    fault_run.cluster.send_malformed_requests(20);
    fault_run.long_arrays(2, 30);
    fault_run.cluster.step(60);
    fault_run.cancel(11, 1, 61);
    fault_run.cluster.step(330);
    std::string rules;
    for (const auto& b : fault_run.cluster.run_report().broken_rules)
      rules += b.substr(0, b.find(' ')) + " ";
    if (fault_run.cluster.run_report().longest_wait_beside_capacity > 90)
      rules += "beside_room";
    return rules;
  };
  EXPECT_EQ(broken_by(""), "");
  EXPECT_EQ(broken_by("start_ignored"), "beside_room");
  EXPECT_EQ(broken_by("start_after_told"), "started_cancelled ");
  EXPECT_EQ(broken_by("questions_unanswered"), "unanswered ");
  EXPECT_EQ(broken_by("older_answer"), "went_back ");
  EXPECT_EQ(broken_by("odd_accepted"), "accepted_odd ");
  EXPECT_EQ(broken_by("task_hidden"), "free_to_start ");
  EXPECT_EQ(broken_by("again_after_done"), "again_after_done ");
}

// Large job arrays wait behind a stream of small ones, of equal and of higher priority, that exceeds the
// capacity; links are slow for a while and the leader crashes. Ordered by service-level objectives alone, the
// large arrays never begin.
TEST(CombinedFaults, LargeArraysBeginAlthoughSmallOnesExceedTheCapacity) {
  const auto arrays_begun = [](std::uint64_t seed, double within_s) {
    SimulationPlan plan = deployed(seed, 6);
    plan.begin_within_s = within_s;
    plan.objectives = {{"finished", "batch", 30, 0.9, 1}};
    FaultRun fault_run(plan);
    for (int n = 0; n < 200; ++n) {
      for (int k = 0; k < 3; ++k) {
        fault_run.at(45 + 2.0 * n, [&fault_run, n, k, seed] {
          wire::JobSpec spec = job_of(1000 + 3 * n + k, 10, k % 2 == 0 ? "red" : "blue");
          if (seed % 2 == 0)
            spec.priority = wire::Priority::high;
          spec.estimate_s = 10;
          fault_run.cluster.submit_job(spec, 10);
        });
      }
    }
    fault_run.cluster.step(60);
    for (int n = 10; n < 14; ++n) {
      wire::JobSpec spec = job_of(n, 150, n % 2 == 0 ? "red" : "blue");
      spec.estimate_s = 20;
      fault_run.cluster.submit_job(spec, 20);
    }
    fault_run.at(120, [&] { fault_run.cluster.slow_down_links(20); });
    fault_run.at(150, [&] { fault_run.crash_leader(); });
    fault_run.cluster.step(60 + 240);
    std::size_t n = 0;
    for (int ref = 10; ref < 14; ++ref)
      n += fault_run.cluster.began_at(FaultRun::ref(ref)) >= 0;
    for (const auto& b : fault_run.cluster.run_report().broken_rules)
      ADD_FAILURE() << b;
    return n;
  };
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    EXPECT_EQ(arrays_begun(seed, 240), 4U) << "seed " << seed;
    EXPECT_EQ(arrays_begun(seed, 0), 0U)
        << "expected the stream to fill the capacity without begin_within_s; seed " << seed;
  }
}

}  // namespace
}  // namespace wingtrail::simulation
