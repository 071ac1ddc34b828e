/// \file
/// Reconciliation after a take-over: from the workers' heartbeats, which machine a task is on, whether it may
/// run anywhere else, and whether it is done. The tests play the workers.
#include "workers/worker_manager.hpp"

#include <gtest/gtest.h>

#include <map>

#include "filters/reconciled_filter.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::workers {
namespace {

constexpr std::uint64_t kToken = 50;
constexpr std::uint64_t kEarlierToken = 40;
constexpr std::uint64_t kOldAttempt = 7, kNewAttempt = 8;

class WorkerManagerTest : public ::testing::Test {
 protected:
  WorkerManagerTest()
      : settings_(small_deployment()),
        store_(out_, settings_),
        registry_(settings_),
        state_writer_(out_, store_, registry_, settings_,
                      {[] { return kToken; }, [] { return ports::kNever; }, [] {}, "lead"}),
        workers_(out_, settings_, registry_, state_writer_,
                 {[] { return kToken; }, [] { return ports::kNever; }, [](Seconds own) { return own; },
                  [] {
                    return true;
                  }},
                 {[](Machine&) {}, [](Machine&) {}, [](Machine&) {},
                  [this](Machine&, const Allocation& allocation) { exits_.push_back(allocation.cause); },
                  [] {
                  }}) {
    state_writer_.set_events({[](jobs::Job&) {},
                              [this](const std::vector<jobs::StateWriter::CompletedTask>& ended) {
                                workers_.acknowledge_ends(ended);
                              },
                              [this](jobs::MachineIndex ix) { workers_.on_inventory_written(ix); },
                              [this](jobs::MachineIndex ix) {
                                return workers_.inventory_record(ix);
                              }});
    state_writer_.begin_leadership();
    workers_.begin_leadership();
    workers_.set_catalog({wire::MachineType{"small", 8, 0, 32, 50, 1.0, 0.6, 0.2, 8, settings_.zones}});
  }

  static settings::Settings small_deployment() {
    settings::Settings settings;
    settings.teams = {{"red"}};
    settings.zones = {"z0"};
    settings.heartbeat_interval_s = 3;
    settings.worker_lease_s = 20;
    settings.max_connections = 1000;
    settings.state_requests_per_s = 1e6;
    settings.state_writes_per_s = 1e6;
    return settings;
  }

  // A machine that an earlier leader recorded in the inventory.
  Machine& machine_from_inventory(const std::string& host) {
    return workers_.add_from_inventory(
        {{"host", host}, {"addr", host + ":1"}, {"type", "small"}, {"zone", "z0"}, {"spot", false}});
  }

  // A job of an earlier leadership.
  jobs::Job& earlier_job(const std::string& ref, std::uint32_t tasks = 1) {
    wire::JobSpec spec;
    spec.ref = ref;
    spec.team = "red";
    spec.image = "img";
    spec.task_resources = {2, 0, 2};
    spec.tasks = tasks;
    return registry_.add(spec, kEarlierToken, 0);
  }

  struct ShownTask {
    std::string ref;
    std::uint64_t attempt = kOldAttempt;
    wire::TaskPhase phase = wire::TaskPhase::running;
    wire::ExitCause cause = wire::ExitCause::none;
    std::uint32_t index = 0;
  };

  static wire::Heartbeat heartbeat_of(const std::string& host, std::uint64_t incarnation,
                                      std::uint64_t sequence, std::uint64_t token,
                                      const std::vector<ShownTask>& tasks) {
    wire::Heartbeat heartbeat;
    heartbeat.host = host;
    heartbeat.address = host + ":1";
    heartbeat.type = "small";
    heartbeat.zone = "z0";
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.fencing_token = token;
    for (const ShownTask& task : tasks) {
      wire::TaskStatus status;
      status.ref = task.ref;
      status.task = task.index;
      status.attempt = task.attempt;
      status.phase = task.phase;
      status.cause = task.cause;
      heartbeat.tasks.push_back(status);
    }
    return heartbeat;
  }

  // A heartbeat that was sent under an earlier leadership.
  void heartbeat_with_earlier_token(const std::string& host, std::uint64_t sequence,
                                    const std::vector<ShownTask>& tasks, std::uint64_t incarnation = 1) {
    workers_.handle_heartbeat(heartbeat_of(host, incarnation, sequence, kEarlierToken, tasks));
  }
  // A heartbeat of a worker that has this leader's token.
  void heartbeat_with_token(const std::string& host, std::uint64_t sequence,
                            const std::vector<ShownTask>& tasks, std::uint64_t incarnation = 1) {
    workers_.handle_heartbeat(heartbeat_of(host, incarnation, sequence, kToken, tasks));
  }

  // Whether the filter lets the task start now.
  bool may_start(const jobs::Job& job, std::uint32_t task = 0) {
    const filters::ReconciledFilter filter(workers_, [] { return kToken; });
    return job.tasks[task].state == jobs::TaskState::pending && filter.admits(job);
  }

  const Allocation* allocation_on(const Machine& machine, std::uint64_t attempt) {
    for (const Allocation& allocation : machine.allocations) {
      if (allocation.attempt == attempt)
        return &allocation;
    }
    return nullptr;
  }

  void advance(Seconds elapsed) {
    out_.set_now(out_.now() + elapsed);
    out_.run_timers();
    workers_.tick();
  }

  ports::Outbox out_;
  settings::Settings settings_;
  store::StateClient store_;
  jobs::JobRegistry registry_;
  jobs::StateWriter state_writer_;
  WorkerManager workers_;
  std::vector<wire::ExitCause> exits_;
};

// Given a task that was moved from m to n under an earlier leader, and an old heartbeat of m that arrives
// first and places the task on m: when m reports that it has nothing, the task is placed on n.
TEST_F(WorkerManagerTest, TaskPlacedByAnOldHeartbeatIsAdoptedWhereItRuns) {
  Machine& m = machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  ASSERT_EQ(job.tasks[0].machine, m.index);
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(workers_.has_stray_instance("req-1")) << "a cancellation cannot be completed either";
  heartbeat_with_token("m", 12, {});
  ASSERT_TRUE(workers_.reconciled() || n.unsized_allocations > 0);
  EXPECT_FALSE(may_start(job)) << "n still runs it";
  EXPECT_EQ(job.placed_tasks, 1U);
  EXPECT_EQ(job.tasks[0].machine, n.index);
  EXPECT_EQ(n.unsized_allocations, 0);
  EXPECT_DOUBLE_EQ(n.used.cpus, 2);
  EXPECT_DOUBLE_EQ(m.used.cpus, 0);
  EXPECT_DOUBLE_EQ(workers_.team_usage(jobs::TeamIndex(0)).cpus, 2);
  EXPECT_TRUE(workers_.reconciled());
}

// Until m is fenced, the stray instance on n is not stopped: it may be the only instance.
TEST_F(WorkerManagerTest, StrayInstanceIsNotStoppedWhileThePlacementIsUncertain) {
  machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  earlier_job("req-1");
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  ASSERT_NE(allocation_on(n, kNewAttempt), nullptr);
  EXPECT_FALSE(allocation_on(n, kNewAttempt)->stop_requested);
  heartbeat_with_token("m", 12, {});
  EXPECT_FALSE(allocation_on(n, kNewAttempt)->stop_requested) << "it was the only one";
}

// If both machines run the task, one instance is stopped, and nothing starts before it has ended.
TEST_F(WorkerManagerTest, OfTwoRunningInstancesOneIsStopped) {
  Machine& m = machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("m", 12, {{"req-1", kOldAttempt}});
  EXPECT_TRUE(allocation_on(n, kNewAttempt)->stop_requested);
  EXPECT_FALSE(allocation_on(m, kOldAttempt)->stop_requested);
  // The instance that was not stopped ends first: the task is placed where the other one is.
  heartbeat_with_token("m", 13, {{"req-1", kOldAttempt, wire::TaskPhase::exited, wire::ExitCause::error}});
  EXPECT_FALSE(may_start(job)) << "n has yet to say that it has stopped";
  EXPECT_EQ(job.tasks[0].machine, n.index);
  heartbeat_with_token("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_TRUE(may_start(job));
  EXPECT_DOUBLE_EQ(workers_.team_usage(jobs::TeamIndex(0)).cpus, 0);
}

// That a machine is gone proves nothing of another machine that shows the task.
TEST_F(WorkerManagerTest, StrayInstanceIsAdoptedWhenThePlacedMachineIsGone) {
  Machine& m = machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  workers_.mark_gone(m);
  EXPECT_FALSE(may_start(job));
  EXPECT_EQ(job.tasks[0].machine, n.index);
  workers_.mark_gone(n);
  EXPECT_TRUE(may_start(job));
}

TEST_F(WorkerManagerTest, AllThreeInstancesOfATaskAreWaitedFor) {
  Machine& m = machine_from_inventory("m");
  machine_from_inventory("n");
  machine_from_inventory("o");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("o", 9, {{"req-1", kNewAttempt + 1}});
  workers_.mark_gone(m);
  EXPECT_FALSE(may_start(job));
  heartbeat_with_token("n", 10, {});
  EXPECT_FALSE(may_start(job));
  EXPECT_TRUE(job.placed_tasks == 1);
  heartbeat_with_token("o", 10, {});
  EXPECT_TRUE(may_start(job));
}

// The machine that runs the task has completed it: that counts, wherever the task is placed.
TEST_F(WorkerManagerTest, CompletionCountsThoughAnOldHeartbeatPlacedTheTaskElsewhere) {
  Machine& m = machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  jobs::Job& job = earlier_job("req-1", 2);
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(allocation_on(n, kNewAttempt)->end_persisted) << "not before it is persisted";
  EXPECT_EQ(exits_, std::vector<wire::ExitCause>{wire::ExitCause::done});
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_TRUE(workers_.has_stray_instance("req-1")) << "m may have it";
  EXPECT_DOUBLE_EQ(workers_.team_usage(jobs::TeamIndex(0)).cpus, 0);
  heartbeat_with_token("m", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done_tasks, 1U);
  EXPECT_EQ(m.unsized_allocations, 0);
  EXPECT_FALSE(workers_.has_stray_instance("req-1"));
}

// The same if a stray instance completes that was seen running before.
TEST_F(WorkerManagerTest, CompletionOfAStrayInstanceCounts) {
  Machine& m = machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(allocation_on(n, kNewAttempt)->end_persisted);
  EXPECT_TRUE(allocation_on(m, kOldAttempt)->stop_requested) << "what it does is of no use any more";
  heartbeat_with_token("m", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done_tasks, 1U);
  EXPECT_FALSE(may_start(job));
}

// A cancelled job is gone only when no instance is left, and each is stopped.
TEST_F(WorkerManagerTest, CancellationStopsEveryStrayInstance) {
  machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  ASSERT_FALSE(allocation_on(n, kNewAttempt)->stop_requested);
  job.cancelling = true;
  workers_.cancel_job(job);
  EXPECT_TRUE(allocation_on(n, kNewAttempt)->stop_requested);
  heartbeat_with_token("m", 12, {});
  EXPECT_TRUE(job.placed_tasks > 0 || workers_.has_stray_instance("req-1"));
  heartbeat_with_token("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_FALSE(workers_.has_stray_instance("req-1"));
}

// Other tasks must not be placed by the zone of a placement that may be wrong.
TEST_F(WorkerManagerTest, ZonesOfTasksAreUncertainBesideAStrayInstance) {
  machine_from_inventory("m");
  Machine& n = machine_from_inventory("n");
  jobs::Job& job = earlier_job("req-1", 3);
  job.spec.spread_zones = true;
  heartbeat_with_earlier_token("m", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("m", 12, {{"req-1", kOldAttempt}});  // both have it
  EXPECT_EQ(n.unsized_allocations, 1);
  EXPECT_FALSE(may_start(job, 1));
  job.spec.spread_zones = false;
  job.spec.same_zone = true;
  EXPECT_FALSE(may_start(job, 1));
  job.spec.same_zone = false;
  EXPECT_TRUE(may_start(job, 1)) << "task 1 itself is nowhere";
}

// The job's record is read only after a heartbeat has shown its task.
TEST_F(WorkerManagerTest, JobReadLateAdoptsItsStrayInstance) {
  Machine& n = machine_from_inventory("n");
  heartbeat_with_token("n", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(allocation_on(n, kNewAttempt)->stop_requested) << "its job is not known";
  jobs::Job& job = earlier_job("req-1");
  workers_.adopt_stray_instances(job);
  EXPECT_FALSE(may_start(job));
  heartbeat_with_token("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_TRUE(may_start(job));
}

// A heartbeat of an incarnation that is over places nothing and renews no lease.
TEST_F(WorkerManagerTest, HeartbeatOfAnIncarnationThatIsOverProvesNothing) {
  Machine& m = machine_from_inventory("m");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_token("m", 9, {{"req-1", kOldAttempt}}, 3);
  ASSERT_EQ(job.placed_tasks, 1U);
  for (int i = 0; i < 60; ++i)
    advance(0.5);  // without contact for longer than its lease
  ASSERT_FALSE(m.has_incarnation);
  ASSERT_EQ(job.placed_tasks, 0U);
  const Seconds lease = m.lease_expires_at;
  heartbeat_with_token("m", 10, {{"req-1", kOldAttempt}}, 3);
  EXPECT_EQ(job.placed_tasks, 0U) << "a late heartbeat of the incarnation whose lease has expired";
  heartbeat_with_earlier_token("m", 200, {{"req-1", kOldAttempt}}, 2);
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_FALSE(m.has_incarnation);
  EXPECT_EQ(m.incarnation, 3U);
  EXPECT_EQ(m.lease_expires_at, lease);
  heartbeat_with_token("m", 11, {}, 4);
  EXPECT_TRUE(m.has_incarnation);
  EXPECT_EQ(m.incarnation, 4U);
}

}  // namespace
}  // namespace wingtrail::workers
