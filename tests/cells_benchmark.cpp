// Measures offloading between cells in virtual time: a surge in the first cell without neighbours, with them,
// and in a single cell as large as all of them; a surge while the controllers of the second cell are down;
// the draining of a cell.
//   cells_benchmark [--machines N] [--cells N] [--factor F] [--seed N] [--trace]
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>

#include "simulation/simulated_cells.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

struct Benchmark {
  int machines = 300;  // in each cell
  std::size_t cells = 2;
  double factor = 5;  // load of the surge in the first cell, relative to the usual load
  std::uint64_t seed = 1;

  // Cores of one cell: half of its machines have 16 and half have 8.
  double cores() const {
    return machines * 12.0;
  }
  // Job arrays like those of the fleet sites: some dozens of tasks of 2 cores and 25 s. All times are in
  // seconds; the surge lasts from kSurgeStart to kSurgeEnd, and kInTime is the limit for an array.
  static constexpr std::uint32_t kTasks = 60;
  static constexpr double kRunTime = 25, kInTime = 70, kSurgeStart = 60, kSurgeEnd = 120, kSubmitEnd = 240;
  // The usual load of a cell in job arrays per second: half of its cores.
  double usual_arrays_per_s() const {
    return 0.5 * cores() / (kTasks * 2 * kRunTime);
  }

  // A cell `size` times as large as usual.
  SimulationPlan plan(double size) const {
    SimulationPlan plan;
    plan.seed = seed;
    plan.fault_every_s = 0;
    plan.budget_limits = false;
    plan.machines = static_cast<int>(machines * size);
    plan.max_machines = static_cast<std::size_t>(plan.machines);
    plan.scripted = true;
    plan.idle_return_s = 1e4;
    plan.headroom = 5;
    plan.peer_agreement = plan.fair_admission = true;
    plan.write_rps = 35;
    return plan;
  }
  wire::JobSpec job(std::size_t cell, int n) const {
    wire::JobSpec spec;
    spec.ref = "req-" + std::to_string(100000 * (cell + 1) + static_cast<std::size_t>(n));
    spec.job_class = "batch";
    spec.team = n % 2 == 0 ? "red" : "blue";
    spec.image = "img-0";
    spec.image_gb = 0.5;
    spec.task_resources = {2, 0, 2};
    spec.tasks = kTasks;
    spec.allows_spot = true;
    spec.estimate_s = kRunTime;
    return spec;
  }

  bool trace = false;  // print a line every 5 s
  static void print_trace(SimulatedCells& clusters, double t) {
    std::cout << std::setw(6) << t;
    for (std::size_t c = 0; c < clusters.size(); ++c) {
      const auto stats = clusters[c].leader_stats();
      if (!stats)
        continue;
      double cores_in_use = 0, cores_waiting = 0;
      for (const auto& load : stats->loads)
        cores_in_use += load.cores_in_use, cores_waiting += load.cores_waiting;
      std::cout << " | " << cores_in_use << " cores in use, " << cores_waiting << " cores waiting, "
                << clusters[c].startable_here() << " jobs not started";
      for (const auto& neighbour : stats->cells)
        std::cout << "; " << neighbour.remote_jobs << " jobs in " << neighbour.name << ", which accepts "
                  << neighbour.accepts_cores << " cores after " << neighbour.wait_s << " s";
    }
    std::cout << "\n";
  }
  struct Result {
    double first = 0, others = 0;  // share of arrays done in time: the first cell; the least of the others
    std::size_t foreign_tasks = 0, unfinished = 0, broken_rules = 0;
    double max_writes = 0;  // largest of all cells, as a share of the write budget
  };
  // `first_load`: the load of the first cell besides the surge, relative to the usual one; the others have
  // the usual load. `down_at`: the controllers of the second cell are down for a minute from then on;
  // negative: never.
  Result surge(std::vector<SimulationPlan> plans, double first_load, double down_at = -1) const {
    SimulatedCells clusters(std::move(plans), seed);
    clusters.begin();
    std::vector<double> due(clusters.size());
    int n = 0;
    for (double t = 0; t < kSubmitEnd; t += 0.1) {
      for (std::size_t c = 0; c < clusters.size(); ++c) {
        const bool surges = c == 0 && t >= kSurgeStart && t < kSurgeEnd;
        const double per_s = usual_arrays_per_s() * (surges   ? first_load + factor - 1
                                                     : c == 0 ? first_load
                                                              : 1);
        for (due[c] += 0.1 * per_s; due[c] >= 1; --due[c])
          clusters[c].submit_job(job(c, ++n), kRunTime);
      }
      if (down_at >= 0 && t >= down_at && t < down_at + 0.05 + 0.1 / 2)
        clusters.down(1, 60);
      clusters.step(t + 0.1);
      if (trace && std::fmod(t + 1e-6, 5) < 0.05)
        print_trace(clusters, t);
    }
    Result result;
    for (double t = kSubmitEnd + 60; t < 2000; t += 60) {
      clusters.step(t);
      result.unfinished = 0;
      for (std::size_t c = 0; c < clusters.size(); ++c)
        result.unfinished += clusters[c].unfinished_jobs();
      if (result.unfinished == 0)
        break;
    }
    result.first = clusters[0].completed_within_share("batch", kInTime, kSurgeStart, kSurgeEnd + 20);
    result.others = 1;
    for (std::size_t c = 1; c < clusters.size(); ++c)
      result.others = std::min(
          result.others, clusters[c].completed_within_share("batch", kInTime, kSurgeStart, kSurgeEnd + 60));
    for (std::size_t c = 0; c < clusters.size(); ++c) {
      result.foreign_tasks += clusters[c].run_report().remote_tasks_started;
      result.max_writes = std::max(result.max_writes, clusters[c].run_report().max_writes);
    }
    result.broken_rules = clusters.broken_rules().size();
    for (const auto& rule : clusters.broken_rules())
      std::cout << rule << "\n";
    return result;
  }
  // Measures the seconds until a draining cell with `jobs` waiting jobs has none left that could start there.
  double measure_drain(int jobs) const {
    SimulatedCells clusters(std::vector<SimulationPlan>(2, plan(1)), seed);
    clusters.begin();
    clusters.step(20);
    for (int n = 1; n <= jobs; ++n) {
      wire::JobSpec spec = job(0, n);
      spec.tasks = 20;
      clusters[0].submit_job(spec, 120);
      if (n % 20 == 0)
        clusters.step(20 + n / 20 * 0.5);
    }
    clusters.step(60);
    const std::size_t waiting = clusters[0].unstarted_jobs();
    for (std::size_t i = 0; i < clusters[0].nodes(); ++i)
      clusters[0].restart_with([](settings::Settings& settings) { settings.cells.drain = true; }, i);
    double t = 60;
    while (t < 600 && clusters[0].startable_here() > 0)
      clusters.step(t += 1);
    std::cout << "drained: " << waiting << " jobs waited; all of them were offloaded or had started after "
              << t - 60 << " s; " << clusters.broken_rules().size() << " rules broken\n";
    return t - 60;
  }
  void print(const char* scenario, const Result& result) const {
    std::cout << std::left << std::setw(44) << scenario << std::fixed << std::setprecision(3) << result.first
              << "  " << result.others << "  " << std::setw(7) << result.foreign_tasks << std::setprecision(2)
              << result.max_writes << "  " << result.unfinished << " unfinished, " << result.broken_rules
              << " rules broken" << std::endl;
  }
};

}  // namespace
}  // namespace wingtrail::simulation

int main(int argc, char** argv) {
  using namespace wingtrail::simulation;
  Benchmark benchmark;
  CLI::App app("Measures offloading between cells in virtual time");
  app.add_option("--machines", benchmark.machines, "machines in each cell");
  app.add_option("--cells", benchmark.cells, "number of cells")->check(CLI::Range(2, 5));
  app.add_option("--factor", benchmark.factor, "load of the surge, relative to the usual load");
  app.add_option("--seed", benchmark.seed, "seed of the simulation");
  app.add_flag("--trace", benchmark.trace, "print the state every 5 s");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  const auto all_cells = static_cast<double>(benchmark.cells);
  std::cout << "arrays of the surge done in " << Benchmark::kInTime
            << " s: first cell; least of the other cells; foreign tasks started; most writes as a share of "
               "the budget\n";
  benchmark.print("alone", benchmark.surge({benchmark.plan(1)}, 1));
  benchmark.print("with its neighbours",
                  benchmark.surge(std::vector<SimulationPlan>(benchmark.cells, benchmark.plan(1)), 1));
  benchmark.print("single cell as large as all", benchmark.surge({benchmark.plan(all_cells)}, all_cells));
  benchmark.print("second cell's controllers down for 60 s",
                  benchmark.surge(std::vector<SimulationPlan>(benchmark.cells, benchmark.plan(1)), 1, 80));
  benchmark.measure_drain(500);
}
