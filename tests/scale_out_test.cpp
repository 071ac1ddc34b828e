// Scaling out for tasks that the rented machines have free cores for, but no room.
#include <gtest/gtest.h>

#include "autoscaling/room_plan.hpp"
#include "scenarios.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {
namespace {

SimulationPlan growing_cluster(std::uint64_t seed) {
  SimulationPlan plan = scripted(seed, 4);
  plan.max_machines = 12;
  plan.idle_return_s = 20;
  return plan;
}

class ScaleOut : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  ScaleOut() : cluster_(growing_cluster(GetParam())) {
    configure_logging();
    cluster_.begin();
    cluster_.boot_quickly(300);
    cluster_.step(10);
  }
  void TearDown() override {
    expect_rules_kept(cluster_);
  }

  SimulatedCluster cluster_;
};

// Guards against free cores that count as room for services which need more memory than the machines have
// left.
TEST_P(ScaleOut, MachinesAreRentedForServicesThatLackMemory) {
  constexpr int kServices = 6;  // the two big machines have room for one each
  for (int n = 1; n <= kServices; ++n)
    cluster_.submit_job(service_of(n, 1, 60), 0);
  cluster_.step(10 + kLongestWait);
  for (int n = 1; n <= kServices; ++n)
    EXPECT_EQ(cluster_.replicas_up("req-" + std::to_string(n)), 1U) << "service req-" << n;
}

// Guards against free cores of a zone that may not take the lost replica of a spread service on spot
// machines.
TEST_P(ScaleOut, AMachineIsRentedInTheZoneThatALostReplicaNeeds) {
  wire::JobSpec spec = service_of(1, 2, 2);
  spec.spread_zones = true;
  spec.allows_spot = true;
  cluster_.submit_job(spec, 0);
  cluster_.step(20);
  ASSERT_EQ(cluster_.replicas_up("req-1"), 2U);
  cluster_.kill_in_zone(0, cluster_.machines_in_zone(0));
  cluster_.step(20 + kLongestWait);
  EXPECT_EQ(cluster_.replicas_up("req-1"), 2U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ScaleOut, ::testing::Range<std::uint64_t>(1, 6));

// Guards against tasks that are planned on a machine without the memory, or twice into the same room.
TEST(RoomPlan, CountsEveryResourceOnce) {
  autoscaling::RoomPlan plan;
  plan.add({{}, nullptr, {16, 0, 4}});
  plan.add({{}, nullptr, {4, 0, 64}});
  const auto admit = [](const autoscaling::MachineRoom&) {
    return true;
  };
  EXPECT_EQ(plan.take({2, 1, 2}, admit), nullptr) << "expected no room without a GPU";
  EXPECT_NE(plan.find({2, 0, 40}, admit), nullptr);
  const autoscaling::MachineRoom* room = plan.take({2, 0, 40}, admit);
  ASSERT_NE(room, nullptr);
  EXPECT_EQ(room->free.memory_gb, 24);
  EXPECT_EQ(plan.take({2, 0, 40}, admit), nullptr);
  EXPECT_EQ(plan.take({2, 0, 1}, [](const autoscaling::MachineRoom&) { return false; }), nullptr);
}

}  // namespace
}  // namespace wingtrail::simulation
