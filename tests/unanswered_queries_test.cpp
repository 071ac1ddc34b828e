#include "combined_faults.hpp"

namespace wingtrail::simulation {
namespace {

// Queries of `jobs` jobs while the leader answers no forwarded query in time. Returns the longest time in s
// without an answer.
double longest_unanswered_beside_a_slow_leader(std::uint64_t seed, int jobs) {
  constexpr double kSlowFromS = 100, kSlowForS = 120, kLeaderDelayS = 1.5;
  constexpr int kPollersPerJob = 2;
  SimulationPlan plan = deployed(seed, 20);
  FaultRun run(plan);
  for (int n = 0; n < jobs; ++n) {
    run.at(run.cluster.now() + n * 0.05, [&run, n] {
      wire::JobSpec spec = job_of(1000 + n, 1, "red");
      spec.task_resources = {0.1, 0, 0.1};
      spec.estimate_s = 2 * kSlowForS;
      run.cluster.submit_job(spec, 2 * kSlowForS);
      run.cluster.add_pollers(spec.ref, kPollersPerJob);
    });
  }
  run.cluster.step(kSlowFromS);
  const std::size_t leader = run.cluster.leader().value_or(0);
  run.cluster.delay_requests(leader, kLeaderDelayS, kSlowForS);
  run.cluster.step(kSlowFromS + kSlowForS);
  EXPECT_EQ(run.cluster.leader(), leader) << "expected the slow controller to lead throughout";
  for (const auto& violation : run.cluster.run_report().broken_rules)
    ADD_FAILURE() << violation;
  return run.cluster.run_report().longest_unanswered;
}

constexpr double kAnsweredWithinS = 15;  // three queries of a user

TEST(UnansweredQueries, JobsAreAnsweredWhileTheLeaderIsTooSlowForForwardedQueries) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    EXPECT_LE(longest_unanswered_beside_a_slow_leader(seed, 200), kAnsweredWithinS);
  }
}

TEST(UnansweredQueries, TimeWithoutAnAnswerDoesNotGrowWithTheNumberOfJobs) {
  EXPECT_LE(longest_unanswered_beside_a_slow_leader(3, 800), kAnsweredWithinS);
}

}  // namespace
}  // namespace wingtrail::simulation
