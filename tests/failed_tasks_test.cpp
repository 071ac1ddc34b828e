// Tasks that fail, by a fault of the machine or of the job, on as few machines as a quiet cluster has.
#include <gtest/gtest.h>

#include "scenarios.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

class FailedTasks : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override {
    configure_logging();
  }
};

// Guards against a job that is never started again on the only machine, which failed it once.
TEST_P(FailedTasks, AServiceStartsAgainOnTheOnlyMachineAfterItsFault) {
  SimulatedCluster cluster(scripted(GetParam(), 1));
  cluster.begin();
  cluster.step(10);
  ASSERT_EQ(cluster.fail_machines(SimulatedCluster::MachineFault::fails_tasks, 1, 7), 1U);
  cluster.submit_job(service_of(1, 1), 0);
  cluster.step(18 + kLongestWait);
  EXPECT_EQ(cluster.replicas_up("req-1"), 1U);
  expect_rules_kept(cluster);
}

// Guards against a faulty job that is restarted without a back-off while only one machine fits.
TEST_P(FailedTasks, AFaultyJobBacksOffOnTheOnlyMachine) {
  SimulatedCluster cluster(scripted(GetParam(), 1));
  cluster.begin();
  cluster.step(10);
  cluster.submit_job(job_of(1, 1, "red"), 5);
  cluster.make_job_fail("req-1");
  cluster.step(310);
  EXPECT_GE(cluster.run_report().started, 4U) << "expected retries";
  EXPECT_LE(cluster.run_report().started, 12U) << "expected at least 25 s between two starts on average";
  cluster.cancel("req-1");
  cluster.step(340);
  expect_rules_kept(cluster);
}

// Guards against machines that take no work again after two faulty jobs, as the services on them never end.
TEST_P(FailedTasks, MachinesWithServicesTakeTasksAgainAfterFaultyJobsAreCancelled) {
  SimulatedCluster cluster(scripted(GetParam(), 2));
  cluster.begin();
  cluster.step(5);
  cluster.submit_job(service_of(1, 2), 0);
  cluster.step(15);
  ASSERT_EQ(cluster.replicas_up("req-1"), 2U);
  for (const int n : {2, 3}) {
    cluster.submit_job(job_of(n, 1, "red"), 5, 32);
    cluster.make_job_fail("req-" + std::to_string(n));
  }
  cluster.step(34);
  cluster.submit_job(job_of(4, 1, "red"), 5);
  cluster.step(34 + kLongestWait);
  EXPECT_TRUE(cluster.is_done("req-4"));
  EXPECT_EQ(cluster.replicas_up("req-1"), 2U) << "expected the machines to stay";
  expect_rules_kept(cluster);
}

// Guards against machines that stay closed for as long as the faulty jobs are retried.
TEST_P(FailedTasks, MachinesWithServicesTakeTasksBesideFaultyJobs) {
  SimulatedCluster cluster(scripted(GetParam(), 2));
  cluster.begin();
  cluster.step(5);
  cluster.submit_job(service_of(1, 2), 0);
  cluster.step(15);
  for (int n = 2; n <= 7; ++n) {
    cluster.submit_job(job_of(n, 1, "red"), 5, 290);
    cluster.make_job_fail("req-" + std::to_string(n));
  }
  for (int n = 10; n <= 12; ++n) {
    const double submitted_at = 34 + 90.0 * (n - 10);
    cluster.step(submitted_at);
    cluster.submit_job(job_of(n, 1, "red"), 5);
    cluster.step(submitted_at + kLongestWait);
    EXPECT_TRUE(cluster.is_done("req-" + std::to_string(n))) << "submitted at " << submitted_at;
  }
  EXPECT_EQ(cluster.replicas_up("req-1"), 2U) << "expected the machines to stay";
  cluster.step(330);
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FailedTasks, ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace wingtrail::simulation
