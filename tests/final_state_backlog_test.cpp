// More jobs complete than the state service can record, while jobs with dependents are cancelled.
//
// The tests guard against two failures. `forgotten`: for more than 90 s every query of an accepted job was
// answered 503 or 429 while queries of other jobs succeeded; state_writer_backlog_test.cpp gives its cause.
// `orphaned`: queries returned `queued` for a job for longer than `cancel_s` after its dependency had been
// reported cancelled. Its cause was that a controller without a reply from its leader assumed that a leader
// that could write recently had recorded all consequences of the cancellation.
//
// Both came about with job chains beside a stream of jobs of one task. Dependencies were cancelled and
// reported so at once, final states waited for half a minute to be recorded, the leader was ended, its
// successor was frozen, and then all controllers were ended.
#include "combined_faults.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

constexpr double kLoadBeginS = 50, kLoadEndS = 260;
constexpr double kJobIntervalS = 0.2, kChainIntervalS = 2;

enum class Faults : std::uint8_t {
  none,
  incident,        // the faults of the failure described above
  leader_crashes,  // repeated crashes of the leader during the backlog
};

// A stream of short jobs of one task, and chains of three jobs whose first job is cancelled after 3 s.
class BacklogScenario : public FaultRun {
 public:
  BacklogScenario(std::uint64_t seed, Faults faults) : FaultRun(plan_of_backlog(seed)) {
    for (double time = kLoadBeginS; time < kLoadEndS; time += kJobIntervalS)
      at(time, [this] { cluster.submit_job(small_job(++jobs_created_), 1); });
    for (double time = kLoadBeginS + 5; time < kLoadEndS; time += kChainIntervalS)
      at(time, [this] { submit_chain(); });
    for (double time = kLoadBeginS; time < kLoadEndS; time += 1)
      at(time, [this] { max_unrecorded_ = std::max(max_unrecorded_, cluster.unrecorded_final_states()); });
    if (faults == Faults::incident)
      schedule_incident();
    if (faults == Faults::leader_crashes)
      schedule_leader_crashes();
  }
  // Maximum number of final states that were decided and not recorded at any time.
  std::size_t max_unrecorded() const {
    return max_unrecorded_;
  }

 private:
  static SimulationPlan plan_of_backlog(std::uint64_t seed) {
    SimulationPlan plan = deployed(seed, 60);
    plan.write_rps = 12;
    return plan;
  }
  static wire::JobSpec small_job(int number) {
    wire::JobSpec spec = job_of(number, 1, "red");
    spec.task_resources = {0.5, 0, 0.5};
    spec.estimate_s = 1;
    return spec;
  }
  void submit_chain() {
    wire::JobSpec first = small_job(++jobs_created_);
    first.tasks = 2;
    cluster.submit_job(first, 200, cluster.now() + 3);
    std::string dependency = first.ref;
    for (int link = 1; link <= 2; ++link) {
      wire::JobSpec dependent = small_job(++jobs_created_);
      dependent.depends_on = {dependency};
      dependency = dependent.ref;
      at(cluster.now() + link, [this, dependent] { cluster.submit_job(dependent, 1); });
    }
  }
  // The leader crashes, its successor is frozen for 14 s, and then all controllers crash.
  void schedule_incident() {
    at(kLoadBeginS + 50, [this] { crash_leader(); });
    at(kLoadBeginS + 75, [this] { cluster.freeze(cluster.leader().value_or(0), 14); });
    at(kLoadBeginS + 110, [this] {
      for (std::size_t i = 0; i < cluster.nodes(); ++i)
        cluster.crash(i);
    });
  }

  void schedule_leader_crashes() {
    for (double time = kLoadBeginS + 60; time < kLoadEndS; time += 37)
      at(time, [this] { crash_leader(); });
  }

  int jobs_created_ = 1000;
  std::size_t max_unrecorded_ = 0;
};

// A run with at most this many unrecorded final states had no backlog.
constexpr std::size_t kBacklog = 40;

// Runs the scenario with seeds from 1 on. COMBINED_FAULTS_WIDE=N multiplies the number of seeds by N.
void run_seeds(Faults faults, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds * static_cast<std::uint64_t>(seed_factor()); ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    BacklogScenario scenario(seed, faults);
    scenario.cluster.step(kLoadEndS);
    EXPECT_GT(scenario.max_unrecorded(), kBacklog) << "expected a backlog of final states";
    const RunReport& report = scenario.finish();
    EXPECT_GT(report.orphaned, 100U) << "expected more orphaned jobs";
    EXPECT_LE(report.longest_unanswered_beside_answers, 75)
        << "a job's queries failed for longer than 75 s while others succeeded";
    if (::testing::Test::HasFailure())
      return;
  }
}

TEST(FinalStateBacklog, QueriesOfOrphanedJobsAreAnswered) {
  run_seeds(Faults::none, 1);
  run_seeds(Faults::incident, 1);
}

TEST(FinalStateBacklog, OrphanedJobsAreNotReportedQueuedForLong) {
  run_seeds(Faults::leader_crashes, 2);
}

// Users repeat cancellations that are recorded late. While the leader can be reached, the repetitions must
// cost no changes of the state service. When each of them wrote a cancellation marker, the markers increased
// the backlog that had delayed the cancellations: in the incident about seven of thirty changes a second were
// markers.
TEST(FinalStateBacklog, RepeatedCancellationsCostNoChangesWhileTheLeaderIsReachable) {
  BacklogScenario scenario(1, Faults::none);
  scenario.cluster.step(kLoadEndS);
  EXPECT_GT(scenario.max_unrecorded(), kBacklog) << "expected a backlog of final states";
  EXPECT_GT(scenario.cluster.run_report().cancellations_deferred, 20U) << "expected late cancellations";
  EXPECT_EQ(scenario.cluster.run_report().cancellation_markers, 0U) << "expected no cancellation marker";
  EXPECT_TRUE(scenario.cluster.run_report().broken_rules.empty());
}

// With a planted fault, the check of forgotten jobs must report a job whose queries all fail while those of
// others succeed, even during other faults.
TEST(FinalStateBacklog, CheckOfForgottenJobsDetectsAPlantedFault) {
  SimulationPlan plan = deployed(3, 6);
  plan.planted_fault = "one_unanswered";
  FaultRun fault_run(plan);
  constexpr double kFaultDurationS = 200;
  fault_run.cluster.delay_writes(0, kFaultDurationS, true);
  fault_run.long_arrays(4, 150);
  fault_run.cluster.step(kFaultDurationS);
  ASSERT_EQ(fault_run.cluster.run_report().broken_rules.size(), 1U);
  EXPECT_TRUE(fault_run.cluster.run_report().broken_rules.front().starts_with("forgotten"));
}

}  // namespace
}  // namespace wingtrail::simulation
