// Several cells with real controllers each: what spills over, what a hand-over survives, and what the
// neighbour's own work loses.
#include "scenarios.hpp"
#include "simulation/simulated_cells.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

SimulationPlan cell(std::uint64_t seed, int machines) {
  SimulationPlan p = scripted(seed, machines);
  p.peer_agreement = true;
  p.back_from = 0.05, p.back_to = 0.3;
  p.headroom = 5;  // its machines stay, busy or not
  return p;
}

wire::JobSpec work(std::size_t c, int n, std::uint32_t tasks, double run_s) {
  wire::JobSpec s = job_of(static_cast<int>(100000 * (c + 1)) + n, tasks, n % 2 == 0 ? "red" : "blue");
  s.estimate_s = run_s;
  return s;
}

void whole(SimulatedCells& cells) {
  for (std::size_t c = 0; c < cells.size(); ++c)
    EXPECT_EQ(cells[c].close().unfinished, 0U) << "cell " << c;
  for (const auto& b : cells.broken_rules())
    ADD_FAILURE() << b;
}

// A surge of six and a half times in the first of the cells, and the usual load in the others; the share of
// its arrays that are done in time.
struct Surge {
  double in_time = 0, others_in_time = 0;
  std::size_t guests = 0;
};
Surge surge(std::vector<SimulationPlan> plans, double others_per_s) {
  hush();
  SimulatedCells cells(std::move(plans), 5);
  cells.begin();
  // From the first second on, since a fleet without any load is returned.
  int n = 0;
  double due = 0;
  std::vector<double> others(cells.size());
  for (double t = 0; t < 160; t += 0.1) {
    const double per_s = t >= 40 && t < 80 ? 2.6 : 0.4;
    // One cell of both sizes has the load of both.
    const double both = cells.size() == 1 ? others_per_s : 0;
    for (due += 0.1 * (per_s + both); due >= 1; --due)
      cells[0].submit_job(work(0, ++n, 4, 8), 8);
    for (std::size_t c = 1; c < cells.size(); ++c) {
      for (others[c] += 0.1 * others_per_s; others[c] >= 1; --others[c])
        cells[c].submit_job(work(c, ++n, 4, 8), 8);
    }
    cells.step(t + 0.1);
  }
  cells.step(700);
  Surge s;
  s.in_time = cells[0].completed_within_share("batch", 25, 40, 85);
  for (std::size_t c = 0; c < cells.size(); ++c)
    s.guests += cells[c].run_report().remote_tasks_started;
  if (cells.size() > 1)
    s.others_in_time = cells[1].completed_within_share("batch", 25, 40, 100);
  whole(cells);
  return s;
}

TEST(Cells, ASurgeInOneIsServedNearlyAsByOneCellOfBothSizes) {
  const Surge spilled = surge({cell(1, 8), cell(2, 8)}, 0.4);
  const Surge one = surge({cell(1, 16)}, 0.4);
  const Surge alone = surge({cell(1, 8)}, 0);
  const Surge quiet = [] {
    hush();
    SimulatedCells cells({cell(1, 8), cell(2, 8)}, 5);
    cells.begin();
    int n = 0;
    double due = 0;
    for (double t = 0; t < 160; t += 0.1) {
      for (due += 0.1 * 0.4; due >= 1; --due)
        cells[1].submit_job(work(1, ++n, 4, 8), 8);
      cells.step(t + 0.1);
    }
    cells.step(300);
    Surge s;
    s.others_in_time = cells[1].completed_within_share("batch", 25, 40, 100);
    return s;
  }();
  std::cout << "in time: alone " << alone.in_time << ", spilled " << spilled.in_time << ", one cell of both "
            << one.in_time << "; the neighbour's own " << spilled.others_in_time << " (without the surge "
            << quiet.others_in_time << "); " << spilled.guests << " tasks of guests\n";
  EXPECT_GT(spilled.guests, 40U);
  EXPECT_GE(spilled.in_time, 0.9 * one.in_time);
  EXPECT_GT(spilled.in_time, alone.in_time + 0.1);
  EXPECT_GE(spilled.others_in_time, quiet.others_in_time - 0.03);
}

// The hand-over of some jobs, cut at every moment of it by each of these faults.
enum class Trouble {
  home_leader,
  taker_leader,
  both_leaders,
  link,
  link_back,
  home_down,
  taker_down,
  held,
  count
};
class HandOver : public testing::TestWithParam<int> {};

TEST_P(HandOver, IsCutAtEveryMoment) {
  const auto trouble = static_cast<Trouble>(GetParam());
  hush();
  std::size_t guests = 0;
  for (int k = 0; k < 12; ++k) {
    SCOPED_TRACE("moment " + std::to_string(k));
    SimulatedCells cells({cell(3, 2), cell(4, 6)}, 9 + static_cast<std::uint64_t>(k));
    cells.duplicate_share = 0.1;
    cells.begin();
    cells.step(15);
    // The home's machines are full for a minute; what comes behind that is handed on, and some is cancelled.
    cells[0].submit_job(work(0, 1, 12, 60), 60);
    cells.step(18);
    for (int n = 2; n < 14; ++n)
      cells[0].submit_job(work(0, n, 3, 10), 10, n % 4 == 0 ? 24 + n * 0.3 : -1);
    cells.step(18.4 + 0.25 * k);
    SimulatedCluster &home = cells[0], &taker = cells[1];
    switch (trouble) {
      case Trouble::home_leader:
        home.crash(home.leader().value_or(0));
        break;
      case Trouble::taker_leader:
        taker.crash(taker.leader().value_or(0));
        break;
      case Trouble::both_leaders:
        home.crash(home.leader().value_or(0));
        taker.crash(taker.leader().value_or(0));
        break;
      case Trouble::link:
        cells.cut(0, 1, 20, false);
        break;
      case Trouble::link_back:
        cells.cut(1, 0, 20, false);
        break;
      case Trouble::held:
        cells.cut(0, 1, 20, true);
        cells.cut(1, 0, 20, true);
        break;
      case Trouble::home_down:
        cells.down(0, 25);
        break;
      default:
        cells.down(1, 25);
    }
    cells.step(400);
    guests += cells[1].run_report().remote_tasks_started;
    whole(cells);
    if (HasFailure())
      return;
  }
  EXPECT_GT(guests, 20U) << "the hand-over must have come to something";
}
constexpr const char* kTroubles[] = {"home_leader", "taker_leader", "both_leaders", "link",
                                     "link_back",   "home_down",    "taker_down",   "held"};
INSTANTIATE_TEST_SUITE_P(Each, HandOver, testing::Range(0, static_cast<int>(Trouble::count)),
                         [](const auto& i) { return std::string(kTroubles[i.param]); });

// While the cell that holds a job cannot be asked, its cancellation is put off, honestly; once it can, the
// job ends there and its user hears so.
TEST(Cells, ACancellationIsToldWhenTheJobHasEndedElsewhere) {
  hush();
  SimulatedCells cells({cell(5, 2), cell(6, 6)}, 3);
  cells.begin();
  cells.step(15);
  cells[0].submit_job(work(0, 1, 12, 200), 200);
  cells.step(18);
  for (int n = 2; n < 6; ++n)
    cells[0].submit_job(work(0, n, 3, 150), 150, 40);
  cells.step(35);
  EXPECT_GT(cells[1].run_report().remote_tasks_started, 0U);
  cells.cut(0, 1, 30, false);
  cells.step(60);
  const std::size_t before = cells[0].run_report().cancelled;
  EXPECT_GT(cells[0].run_report().cancellations_deferred, 0U);
  cells.step(75);
  EXPECT_EQ(cells[0].run_report().cancelled, 4U);
  EXPECT_LT(before, 4U) << "nobody can know yet that they have ended";
  cells.step(400);
  whole(cells);
}

// A cell is emptied on purpose: what waits is handed on, what runs ends there, and it stands empty.
TEST(Cells, ADrainedCellStandsEmpty) {
  hush();
  SimulatedCells cells({cell(7, 4), cell(8, 12)}, 3);
  cells.begin();
  cells.step(15);
  for (int n = 1; n <= 60; ++n)
    cells[0].submit_job(work(0, n, 4, 10), 10);
  cells.step(20);
  const std::size_t waiting = cells[0].unstarted_jobs();
  EXPECT_GT(waiting, 30U);
  for (std::size_t i = 0; i < cells[0].nodes(); ++i)
    cells[0].restart_with([](settings::Settings& s) { s.cells.drain = true; }, i);
  cells.step(80);
  EXPECT_EQ(cells[0].unstarted_jobs(), 0U);
  EXPECT_GT(cells[1].run_report().remote_tasks_started, 100U);
  cells.step(120);
  EXPECT_EQ(cells[0].completed_jobs(), 60U);
  whole(cells);
}

// All controllers of the cell that holds jobs are away for a minute, over and over again: it keeps what it
// holds, the home waits, and nothing is lost.
TEST(Cells, ANeighbourThatIsAwayKeepsWhatItHolds) {
  hush();
  SimulatedCells cells({cell(9, 2), cell(10, 6)}, 4);
  cells.begin();
  cells.step(55);  // custody has begun
  cells[0].submit_job(work(0, 1, 12, 100), 100);
  cells.step(58);
  for (int n = 2; n < 10; ++n)
    cells[0].submit_job(work(0, n, 3, 40), 40);
  cells.step(70);
  const auto held = cells[1].run_report().remote_tasks_started;
  EXPECT_GT(held, 5U);
  cells.down(1, 60);
  cells.step(135);
  cells.step(400);
  EXPECT_EQ(cells[1].run_report().started_again, 0U);
  whole(cells);
}

TEST(Cells, RandomDaysOfSeveralWithAllTroubles) {
  hush();
  std::size_t guests = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const CellsRunReport day = run_random_cells(seed);
    for (const auto& b : day.broken_rules)
      ADD_FAILURE() << b << " (cells, seed " << seed << ")";
    EXPECT_EQ(day.unfinished, 0U) << "seed " << seed;
    guests += day.remote_tasks_started;
  }
  EXPECT_GT(guests, 300U);
}

}  // namespace
}  // namespace wingtrail::simulation
