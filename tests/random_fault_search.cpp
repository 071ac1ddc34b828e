#include <spdlog/spdlog.h>

#include <cstdlib>
#include <cstring>
#include <iostream>

#include "simulation/corrupted_run.hpp"
#include "simulation/simulated_cells.hpp"

namespace {

int hunt_cells(int first, int count) {
  int broken = 0, unfinished = 0;
  std::size_t guests = 0;
  for (int seed = first; seed < first + count; ++seed) {
    const auto report = wingtrail::simulation::run_random_cells(static_cast<std::uint64_t>(seed));
    for (const auto& b : report.broken_rules)
      std::cout << b << " (cells, seed " << seed << ")\n";
    if (report.unfinished > 0)
      std::cout << "seed " << seed << ": " << report.unfinished << " unfinished\n";
    broken += !report.broken_rules.empty();
    unfinished += report.unfinished > 0;
    guests += report.remote_tasks_started;
  }
  std::cout << broken << " of " << count << " seeds of several cells broke a rule, " << unfinished
            << " left work undone; " << guests << " tasks began in another cell than their home\n";
  return broken || unfinished ? 1 : 0;
}

int search_corrupted(int first, int count) {
  int without_leader = 0;
  std::size_t corrupted = 0;
  for (int seed = first; seed < first + count; ++seed) {
    const auto report = wingtrail::simulation::run_with_corrupted_messages(static_cast<std::uint64_t>(seed));
    if (!report.leads_afterwards)
      std::cout << "seed " << seed << ": nobody leads afterwards\n";
    without_leader += !report.leads_afterwards;
    corrupted += report.corrupted_messages;
  }
  std::cout << corrupted << " mutated messages ended no controller; no leader afterwards in "
            << without_leader << " of " << count << " seeds\n";
  return without_leader ? 1 : 0;
}

}  // namespace

// Runs the simulated cluster with random faults for COUNT seeds from FIRST on, and reports violations and
// unfinished jobs. `quiet`: without faults; `cells`: several cells; `corrupted`: mutated messages,
// which must not end the program.
// Usage: random_fault_search FIRST COUNT [LOG_LEVEL [quiet | cells | corrupted]]
int main(int argc, char** argv) {
  const int first = argc > 1 ? std::atoi(argv[1]) : 1, count = argc > 2 ? std::atoi(argv[2]) : 100;
  spdlog::set_level(argc > 3 ? spdlog::level::from_str(argv[3]) : spdlog::level::off);
  if (argc > 4 && std::strcmp(argv[4], "cells") == 0)
    return hunt_cells(first, count);
  if (argc > 4 && std::strcmp(argv[4], "corrupted") == 0)
    return search_corrupted(first, count);
  int broken = 0, unfinished = 0;
  for (int seed = first; seed < first + count; ++seed) {
    wingtrail::simulation::SimulationPlan plan =
        wingtrail::simulation::plan_of(static_cast<std::uint64_t>(seed));
    if (argc > 4)
      plan.fault_every_s = 0;
    const auto v = wingtrail::simulation::SimulatedCluster(plan).run();
    for (const auto& b : v.broken_rules)
      std::cout << b << "\n";
    if (v.unfinished > 0)
      std::cout << "seed " << seed << ": " << v.unfinished << " unfinished\n";
    broken += !v.broken_rules.empty();
    unfinished += v.unfinished > 0;
    if (argc > 4 && v.elections > 1)
      std::cout << "seed " << seed << ": " << v.elections << " elections\n";
    if (count == 1) {
      std::cout << v.started << " started, " << v.accepted << " accepted, " << v.finished << " finished, "
                << v.cancelled << " cancelled, " << v.elections << " elections, " << v.with_dependencies
                << " chained, " << v.orphaned << " orphans, " << v.over_limits << " over limits, "
                << v.batched << " on sheets, " << v.deferred << " put off\n"
                << v.late_writes << " written late, " << v.lost_replies << " answers lost, "
                << v.late_heartbeats << " late reports, " << v.late_commands << " late commands, "
                << v.repeated_commands << " commands and " << v.repeated_requests
                << " other requests arrived again, " << v.again_after_done
                << " started again after they were done, " << v.held_heartbeats
                << " kept for the next leader, " << v.undelivered << " unheard, " << v.cancelled_together
                << " called off together, " << v.cancelled_at_end << " cancelled at the end, "
                << v.malformed_requests << " odd requests, " << v.burst_queries
                << " close looks, beside room for " << v.longest_wait_beside_capacity
                << " s at most, unanswered for " << v.longest_unanswered << " s at most\n";
    }
  }
  std::cout << broken << " of " << count << " seeds broke a rule, " << unfinished << " left work undone\n";
  return broken || unfinished ? 1 : 0;
}
