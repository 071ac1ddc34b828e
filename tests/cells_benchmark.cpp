// Measures what several cells do for each other, in virtual time: a surge in the first of them, with and
// without its neighbour, against one cell of both sizes; a cell whose controllers are away; a cell that is
// drained.
//   cells_lab [--machines N] [--cells N] [--factor F] [--seed N]
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>

#include "simulation/simulated_cells.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

struct Lab {
  int machines = 300;  // of each cell
  std::size_t cells = 2;
  double factor = 5;  // of the surge in the first
  std::uint64_t seed = 1;

  double cores() const {
    return machines * 12.0;
  }  // half have 16 and half have 8
  // Arrays like those of the fleet sites: some dozens of tasks of 2 cores and 25 s.
  static constexpr std::uint32_t kTasks = 60;
  static constexpr double kRun = 25, kInTime = 70, kFrom = 60, kTo = 120, kEnd = 240;
  double usual() const {
    return 0.5 * cores() / (kTasks * 2 * kRun);
  }  // arrays a second: half of the cell

  SimulationPlan plan(double times) const {
    SimulationPlan p;
    p.seed = seed;
    p.fault_every_s = 0;
    p.budget_limits = false;
    p.machines = static_cast<int>(machines * times);
    p.max_machines = static_cast<std::size_t>(p.machines);
    p.scripted = true;
    p.idle_return_s = 1e4;
    p.headroom = 5;
    p.peer_agreement = p.fair_admission = true;
    p.write_rps = 35;
    return p;
  }
  wire::JobSpec job(std::size_t cell, int n) const {
    wire::JobSpec s;
    s.ref = "req-" + std::to_string(100000 * (cell + 1) + static_cast<std::size_t>(n));
    s.job_class = "batch";
    s.team = n % 2 == 0 ? "red" : "blue";
    s.image = "img-0";
    s.image_gb = 0.5;
    s.task_resources = {2, 0, 2};
    s.tasks = kTasks;
    s.allows_spot = true;
    s.estimate_s = kRun;
    return s;
  }

  bool trace = false;
  static void trace_line(SimulatedCells& all, double t) {
    std::cout << std::setw(6) << t;
    for (std::size_t c = 0; c < all.size(); ++c) {
      const auto s = all[c].leader_stats();
      if (!s)
        continue;
      double held = 0, waiting = 0;
      for (const auto& l : s->loads)
        held += l.cores_in_use, waiting += l.cores_waiting;
      std::cout << " | " << held << " cores in use, " << waiting << " wait, " << all[c].startable_here()
                << " jobs not begun";
      for (const auto& n : s->cells)
        std::cout << "; " << n.remote_jobs << " at " << n.name << ", which takes " << n.accepts_cores
                  << " after " << n.wait_s;
    }
    std::cout << "\n";
  }
  struct Result {
    double first = 0, others = 0;
    std::size_t guests = 0, undone = 0, broken = 0;
    double writes = 0;
  };
  // `others`: whether the other cells have their usual load; `away_at`: the second one's controllers are away
  // for a minute from then.
  Result surge(std::vector<SimulationPlan> plans, double with, double away_at = -1) const {
    SimulatedCells all(std::move(plans), seed);
    all.begin();
    std::vector<double> due(all.size());
    int n = 0;
    for (double t = 0; t < kEnd; t += 0.1) {
      for (std::size_t c = 0; c < all.size(); ++c) {
        const bool surges = c == 0 && t >= kFrom && t < kTo;
        const double per_s = usual() * (surges ? with + factor - 1 : c == 0 ? with : 1);
        for (due[c] += 0.1 * per_s; due[c] >= 1; --due[c])
          all[c].submit_job(job(c, ++n), kRun);
      }
      if (away_at >= 0 && t >= away_at && t < away_at + 0.05 + 0.1 / 2)
        all.down(1, 60);
      all.step(t + 0.1);
      if (trace && std::fmod(t + 1e-6, 5) < 0.05)
        trace_line(all, t);
    }
    Result r;
    for (double t = kEnd + 60; t < 2000; t += 60) {
      all.step(t);
      r.undone = 0;
      for (std::size_t c = 0; c < all.size(); ++c)
        r.undone += all[c].unfinished_jobs();
      if (r.undone == 0)
        break;
    }
    r.first = all[0].completed_within_share("batch", kInTime, kFrom, kTo + 20);
    r.others = 1;
    for (std::size_t c = 1; c < all.size(); ++c)
      r.others = std::min(r.others, all[c].completed_within_share("batch", kInTime, kFrom, kTo + 60));
    for (std::size_t c = 0; c < all.size(); ++c) {
      r.guests += all[c].run_report().remote_tasks_started;
      r.writes = std::max(r.writes, all[c].run_report().max_writes);
    }
    r.broken = all.broken_rules().size();
    for (const auto& b : all.broken_rules())
      std::cout << b << "\n";
    return r;
  }
  // Seconds until a drained cell has handed on `jobs` that wait.
  double drained(int jobs) const {
    SimulatedCells all(std::vector<SimulationPlan>(2, plan(1)), seed);
    all.begin();
    all.step(20);
    for (int n = 1; n <= jobs; ++n) {
      wire::JobSpec s = job(0, n);
      s.tasks = 20;
      all[0].submit_job(s, 120);
      if (n % 20 == 0)
        all.step(20 + n / 20 * 0.5);
    }
    all.step(60);
    const std::size_t waiting = all[0].unstarted_jobs();
    for (std::size_t i = 0; i < all[0].nodes(); ++i)
      all[0].restart_with([](settings::Settings& s) { s.cells.drain = true; }, i);
    double t = 60;
    while (t < 600 && all[0].startable_here() > 0)
      all.step(t += 1);
    std::cout << "drained: " << waiting << " jobs waited; all of them were handed on or had begun after "
              << t - 60 << " s; " << all.broken_rules().size() << " rules broken\n";
    return t - 60;
  }
  void tell(const char* what, const Result& r) const {
    std::cout << std::left << std::setw(44) << what << std::fixed << std::setprecision(3) << r.first << "  "
              << r.others << "  " << std::setw(7) << r.guests << std::setprecision(2) << r.writes << "  "
              << r.undone << " undone, " << r.broken << " rules broken" << std::endl;
  }
};

}  // namespace
}  // namespace wingtrail::simulation

int main(int argc, char** argv) {
  using namespace wingtrail::simulation;
  Lab lab;
  CLI::App app("What several cells do for each other, in virtual time");
  app.add_option("--machines", lab.machines, "of each cell");
  app.add_option("--cells", lab.cells, "how many")->check(CLI::Range(2, 5));
  app.add_option("--factor", lab.factor, "how many times the usual load comes in the surge");
  app.add_option("--seed", lab.seed, "what happens");
  app.add_flag("--trace", lab.trace, "tell every five seconds");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  const auto others = static_cast<double>(lab.cells);
  std::cout << "arrays of the surge done in " << Lab::kInTime
            << " s; the others' own, least of all cells; tasks elsewhere; most changes of the budget\n";
  lab.tell("alone", lab.surge({lab.plan(1)}, 1));
  lab.tell("with its neighbours", lab.surge(std::vector<SimulationPlan>(lab.cells, lab.plan(1)), 1));
  lab.tell("one cell of all sizes", lab.surge({lab.plan(others)}, others));
  lab.tell("the second's controllers away for 60 s amid it",
           lab.surge(std::vector<SimulationPlan>(lab.cells, lab.plan(1)), 1, 80));
  lab.drained(500);
}
