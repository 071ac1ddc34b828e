// More jobs end than the state service can record, while jobs are cancelled that others need.
//
// What users saw: for more than 90 s every question about an accepted job got 503 or 429, while others were
// answered (`forgotten`); others were called queued for longer than `cancel_s` after a job that they need was
// called cancelled (`orphaned`). In order: chains came beside a stream of jobs of one task, needs were
// cancelled and that was told at once; ends waited for half a minute to be recorded; the leader was ended,
// its successor stood still, then all controllers ended. The evidence and the cause of the first are told in
// ledger_backlog_test.cpp. The cause of the second: a controller that got no answer from its leader took it
// that a leader that could write lately had recorded by then whatever follows from a cancellation.
#include "combined_faults.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

constexpr double kFrom = 50, kUntil = 260;
constexpr double kStreamEvery = 0.2, kChainEvery = 2;

enum class Faults : std::uint8_t {
  none,
  of_the_incident,
  leader_ends,  // again and again, while ends wait
};

// Jobs of one task that end at once, and chains of three whose first is cancelled after some seconds.
class BacklogDay : public Day {
 public:
  BacklogDay(std::uint64_t seed, Faults faults) : Day(plan_of_backlog(seed)) {
    for (double t = kFrom; t < kUntil; t += kStreamEvery)
      at(t, [this] { world.submit_job(small(++jobs_made_), 1); });
    for (double t = kFrom + 5; t < kUntil; t += kChainEvery)
      at(t, [this] { submit_chain(); });
    for (double t = kFrom; t < kUntil; t += 1)
      at(t, [this] { most_unrecorded_ = std::max(most_unrecorded_, world.unrecorded_final_states()); });
    if (faults == Faults::of_the_incident)
      order_faults();
    if (faults == Faults::leader_ends)
      order_crashes();
  }
  std::size_t most_unrecorded() const {
    return most_unrecorded_;
  }

 private:
  static SimulationPlan plan_of_backlog(std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 60);
    plan.write_rps = 12;
    return plan;
  }
  static wire::JobSpec small(int n) {
    wire::JobSpec s = job_of(n, 1, "red");
    s.task_resources = {0.5, 0, 0.5};
    s.estimate_s = 1;
    return s;
  }
  void submit_chain() {
    wire::JobSpec first = small(++jobs_made_);
    first.tasks = 2;
    world.submit_job(first, 200, world.now() + 3);
    std::string needed = first.ref;
    for (int link = 1; link <= 2; ++link) {
      wire::JobSpec next = small(++jobs_made_);
      next.depends_on = {needed};
      needed = next.ref;
      at(world.now() + link, [this, next] { world.submit_job(next, 1); });
    }
  }
  // As in the incident.
  void order_faults() {
    at(kFrom + 50, [this] { crash_leader(); });
    at(kFrom + 75, [this] { world.freeze(world.leader().value_or(0), 14); });
    at(kFrom + 110, [this] {
      for (std::size_t i = 0; i < world.nodes(); ++i)
        world.crash(i);
    });
  }

  void order_crashes() {
    for (double t = kFrom + 60; t < kUntil; t += 37)
      at(t, [this] { crash_leader(); });
  }

  int jobs_made_ = 1000;
  std::size_t most_unrecorded_ = 0;
};

constexpr std::size_t kManyEnds = 40;

// COMBINED_FAULTS_WIDE=N plays N times as many seeds.
void play(Faults faults, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds * static_cast<std::uint64_t>(wide()); ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    BacklogDay day(seed, faults);
    day.world.step(kUntil);
    EXPECT_GT(day.most_unrecorded(), kManyEnds) << "there was no backlog";
    const RunReport& report = day.finish();
    EXPECT_GT(report.orphaned, 100U);
    EXPECT_LE(report.longest_unanswered_alone, 75);
    if (::testing::Test::HasFailure())
      return;
  }
}

TEST(FinalStateBacklog, JobsWhoseNeedIsCancelledAreAnswered) {
  play(Faults::none, 1);
  play(Faults::of_the_incident, 1);
}

TEST(FinalStateBacklog, NoJobIsCalledQueuedLongAfterItsNeedIsCancelled) {
  play(Faults::leader_ends, 2);
}

// Users repeat cancellations that are late to be recorded. As long as their leader can be reached, that costs
// the state service nothing: with a mark written for each, the backlog that made them late fed itself (some
// seven marks a second in the incident, of thirty changes).
TEST(FinalStateBacklog, RepeatedCancellationsOfALateLeaderCostNoChanges) {
  BacklogDay day(1, Faults::none);
  day.world.step(kUntil);
  EXPECT_GT(day.most_unrecorded(), kManyEnds) << "there was no backlog";
  EXPECT_GT(day.world.run_report().cancellations_deferred, 20U) << "cancellations were not late";
  EXPECT_EQ(day.world.run_report().cancellation_markers, 0U);
  EXPECT_TRUE(day.world.run_report().broken_rules.empty());
}

// A job that nobody answers about counts as forgotten amid faults too, if others are answered.
TEST(FinalStateBacklog, TheCheckOfForgottenJobsCanFail) {
  SimulationPlan plan = deployed(3, 6);
  plan.planted_fault = "one_unanswered";
  Day day(plan);
  constexpr double kFaultsFor = 200;
  day.world.delay_writes(0, kFaultsFor, true);
  day.long_arrays(4, 150);
  day.world.step(kFaultsFor);
  ASSERT_EQ(day.world.run_report().broken_rules.size(), 1U);
  EXPECT_TRUE(day.world.run_report().broken_rules.front().starts_with("forgotten"));
}

}  // namespace
}  // namespace wingtrail::simulation
