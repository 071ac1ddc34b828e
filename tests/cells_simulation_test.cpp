// Simulations of several cells, each with real controllers: offloading in a surge and its cost to the
// neighbour's own jobs, faults while jobs are offloaded, cancellation of remote jobs, and draining of a cell.
#include "scenarios.hpp"
#include "simulation/simulated_cells.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

SimulationPlan cell_plan(std::uint64_t seed, int machines) {
  SimulationPlan plan = scripted(seed, machines);
  plan.peer_agreement = true;
  plan.back_from = 0.05, plan.back_to = 0.3;
  plan.headroom = 5;  // idle machines are not returned
  return plan;
}

wire::JobSpec job_in_cell(std::size_t c, int n, std::uint32_t tasks, double run_s) {
  wire::JobSpec spec = job_of(static_cast<int>(100000 * (c + 1)) + n, tasks, n % 2 == 0 ? "red" : "blue");
  spec.estimate_s = run_s;
  return spec;
}

// Expects that all jobs of all cells have ended and no rule was broken.
void expect_finished(SimulatedCells& cells) {
  for (std::size_t c = 0; c < cells.size(); ++c)
    EXPECT_EQ(cells[c].close().unfinished, 0U) << "expected no unfinished job in cell " << c;
  for (const auto& rule : cells.broken_rules())
    ADD_FAILURE() << rule;
}

// Shares of the job arrays submitted around the surge that are done in time.
struct SurgeResult {
  double in_time = 0, others_in_time = 0;  // of the first cell and of the second
  std::size_t foreign_tasks = 0;           // started in all cells
};
// Runs a surge of six and a half times the usual load in the first cell, with the usual load in the others.
SurgeResult run_surge(std::vector<SimulationPlan> plans, double others_per_s) {
  configure_logging();
  SimulatedCells cells(std::move(plans), 5);
  cells.begin();
  // Jobs are submitted from the start, since the machines of a cluster without load are returned.
  int n = 0;
  double due = 0;
  std::vector<double> others(cells.size());
  for (double t = 0; t < 160; t += 0.1) {
    const double per_s = t >= 40 && t < 80 ? 2.6 : 0.4;
    // A single cell, as large as both, also has the load of both.
    const double other_load_per_s = cells.size() == 1 ? others_per_s : 0;
    for (due += 0.1 * (per_s + other_load_per_s); due >= 1; --due)
      cells[0].submit_job(job_in_cell(0, ++n, 4, 8), 8);
    for (std::size_t c = 1; c < cells.size(); ++c) {
      for (others[c] += 0.1 * others_per_s; others[c] >= 1; --others[c])
        cells[c].submit_job(job_in_cell(c, ++n, 4, 8), 8);
    }
    cells.step(t + 0.1);
  }
  cells.step(700);
  SurgeResult result;
  result.in_time = cells[0].completed_within_share("batch", 25, 40, 85);
  for (std::size_t c = 0; c < cells.size(); ++c)
    result.foreign_tasks += cells[c].run_report().remote_tasks_started;
  if (cells.size() > 1)
    result.others_in_time = cells[1].completed_within_share("batch", 25, 40, 100);
  expect_finished(cells);
  return result;
}

TEST(Cells, ASurgeInOneCellIsServedNearlyAsByASingleCellOfBothSizes) {
  const SurgeResult offloading = run_surge({cell_plan(1, 8), cell_plan(2, 8)}, 0.4);
  const SurgeResult one = run_surge({cell_plan(1, 16)}, 0.4);
  const SurgeResult alone = run_surge({cell_plan(1, 8)}, 0);
  const SurgeResult quiet = [] {
    configure_logging();
    SimulatedCells cells({cell_plan(1, 8), cell_plan(2, 8)}, 5);
    cells.begin();
    int n = 0;
    double due = 0;
    for (double t = 0; t < 160; t += 0.1) {
      for (due += 0.1 * 0.4; due >= 1; --due)
        cells[1].submit_job(job_in_cell(1, ++n, 4, 8), 8);
      cells.step(t + 0.1);
    }
    cells.step(300);
    SurgeResult result;
    result.others_in_time = cells[1].completed_within_share("batch", 25, 40, 100);
    return result;
  }();
  std::cout << "done in time: alone " << alone.in_time << ", with offloading " << offloading.in_time
            << ", single cell " << one.in_time << "; the neighbour's own jobs " << offloading.others_in_time
            << " (without the surge " << quiet.others_in_time << "); " << offloading.foreign_tasks
            << " foreign tasks started\n";
  EXPECT_GT(offloading.foreign_tasks, 40U);
  EXPECT_GE(offloading.in_time, 0.9 * one.in_time);
  EXPECT_GT(offloading.in_time, alone.in_time + 0.1);
  EXPECT_GE(offloading.others_in_time, quiet.others_in_time - 0.03);
}

// Offloads some jobs and injects one of these faults, at a different moment of the transfer in each round.
enum class Fault {
  origin_leader,    // the leader of the origin cell crashes
  holding_leader,   // the leader of the holding cell crashes
  both_leaders,     // both leaders crash
  link_to_holding,  // messages to the holding cell are lost
  link_to_origin,   // messages to the origin cell are lost
  origin_down,      // all controllers of the origin cell are down
  holding_down,     // all controllers of the holding cell are down
  delayed,          // all messages between the cells are held back for a while
  count
};
class HandOver : public testing::TestWithParam<int> {};

TEST_P(HandOver, NoJobIsLostOrRunsTwiceUnderAFaultAtAnyMoment) {
  const auto fault = static_cast<Fault>(GetParam());
  configure_logging();
  std::size_t foreign_tasks = 0;
  for (int moment = 0; moment < 12; ++moment) {
    SCOPED_TRACE("moment " + std::to_string(moment));
    SimulatedCells cells({cell_plan(3, 2), cell_plan(4, 6)}, 9 + static_cast<std::uint64_t>(moment));
    cells.duplicate_share = 0.1;
    cells.begin();
    cells.step(15);
    // The first job fills the origin cell's machines for a minute. Later jobs are offloaded, and some are
    // cancelled.
    cells[0].submit_job(job_in_cell(0, 1, 12, 60), 60);
    cells.step(18);
    for (int n = 2; n < 14; ++n)
      cells[0].submit_job(job_in_cell(0, n, 3, 10), 10, n % 4 == 0 ? 24 + n * 0.3 : -1);
    cells.step(18.4 + 0.25 * moment);
    SimulatedCluster &origin = cells[0], &holding = cells[1];
    switch (fault) {
      case Fault::origin_leader:
        origin.crash(origin.leader().value_or(0));
        break;
      case Fault::holding_leader:
        holding.crash(holding.leader().value_or(0));
        break;
      case Fault::both_leaders:
        origin.crash(origin.leader().value_or(0));
        holding.crash(holding.leader().value_or(0));
        break;
      case Fault::link_to_holding:
        cells.cut(0, 1, 20, false);
        break;
      case Fault::link_to_origin:
        cells.cut(1, 0, 20, false);
        break;
      case Fault::delayed:
        cells.cut(0, 1, 20, true);
        cells.cut(1, 0, 20, true);
        break;
      case Fault::origin_down:
        cells.down(0, 25);
        break;
      default:
        cells.down(1, 25);
    }
    cells.step(400);
    foreign_tasks += cells[1].run_report().remote_tasks_started;
    expect_finished(cells);
    if (HasFailure())
      return;
  }
  EXPECT_GT(foreign_tasks, 20U) << "expected more tasks to start in the holding cell";
}
constexpr const char* kFaultNames[] = {"origin_leader",  "holding_leader", "both_leaders", "link_to_holding",
                                       "link_to_origin", "origin_down",    "holding_down", "delayed"};
INSTANTIATE_TEST_SUITE_P(Each, HandOver, testing::Range(0, static_cast<int>(Fault::count)),
                         [](const auto& instance) { return std::string(kFaultNames[instance.param]); });

// While the holding cell cannot be reached, the cancellation of a remote job is deferred and not confirmed to
// the user. Once the cell is reachable, the job ends there and its final state is recorded.
TEST(Cells, ACancellationIsRecordedOnlyAfterTheRemoteJobHasEnded) {
  configure_logging();
  SimulatedCells cells({cell_plan(5, 2), cell_plan(6, 6)}, 3);
  cells.begin();
  cells.step(15);
  cells[0].submit_job(job_in_cell(0, 1, 12, 200), 200);
  cells.step(18);
  for (int n = 2; n < 6; ++n)
    cells[0].submit_job(job_in_cell(0, n, 3, 150), 150, 40);
  cells.step(35);
  EXPECT_GT(cells[1].run_report().remote_tasks_started, 0U);
  cells.cut(0, 1, 30, false);
  cells.step(60);
  const std::size_t cancelled_before = cells[0].run_report().cancelled;
  EXPECT_GT(cells[0].run_report().cancellations_deferred, 0U);
  cells.step(75);
  EXPECT_EQ(cells[0].run_report().cancelled, 4U);
  EXPECT_LT(cancelled_before, 4U)
      << "expected some cancellations to be deferred while the holding cell is unreachable";
  cells.step(400);
  expect_finished(cells);
}

// A draining cell offloads its waiting jobs and finishes the running ones, until it has no job left.
TEST(Cells, ADrainedCellHasNoJobsLeft) {
  configure_logging();
  SimulatedCells cells({cell_plan(7, 4), cell_plan(8, 12)}, 3);
  cells.begin();
  cells.step(15);
  for (int n = 1; n <= 60; ++n)
    cells[0].submit_job(job_in_cell(0, n, 4, 10), 10);
  cells.step(20);
  const std::size_t waiting = cells[0].unstarted_jobs();
  EXPECT_GT(waiting, 30U);
  for (std::size_t i = 0; i < cells[0].nodes(); ++i)
    cells[0].restart_with([](settings::Settings& settings) { settings.cells.drain = true; }, i);
  cells.step(80);
  EXPECT_EQ(cells[0].unstarted_jobs(), 0U);
  EXPECT_GT(cells[1].run_report().remote_tasks_started, 100U);
  cells.step(120);
  EXPECT_EQ(cells[0].completed_jobs(), 60U);
  expect_finished(cells);
}

// All controllers of the holding cell crash again and again for a minute. It keeps its foreign jobs, the
// origin cell waits for it, and no task is lost or started again.
TEST(Cells, ANeighbourWhoseControllersAreDownKeepsItsForeignJobs) {
  configure_logging();
  SimulatedCells cells({cell_plan(9, 2), cell_plan(10, 6)}, 4);
  cells.begin();
  cells.step(55);  // lease delegation has begun
  cells[0].submit_job(job_in_cell(0, 1, 12, 100), 100);
  cells.step(58);
  for (int n = 2; n < 10; ++n)
    cells[0].submit_job(job_in_cell(0, n, 3, 40), 40);
  cells.step(70);
  const auto foreign_tasks = cells[1].run_report().remote_tasks_started;
  EXPECT_GT(foreign_tasks, 5U);
  cells.down(1, 60);
  cells.step(135);
  cells.step(400);
  EXPECT_EQ(cells[1].run_report().started_again, 0U);
  expect_finished(cells);
}

TEST(Cells, RandomRunsOfSeveralCellsWithAllFaults) {
  configure_logging();
  std::size_t foreign_tasks = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const CellsRunReport report = run_random_cells(seed);
    for (const auto& rule : report.broken_rules)
      ADD_FAILURE() << rule << " (cells, seed " << seed << ")";
    EXPECT_EQ(report.unfinished, 0U) << "expected no unfinished job, seed " << seed;
    foreign_tasks += report.remote_tasks_started;
  }
  EXPECT_GT(foreign_tasks, 300U);
}

}  // namespace
}  // namespace wingtrail::simulation
