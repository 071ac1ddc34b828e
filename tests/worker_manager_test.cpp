/// @file
/// Tests of the reconciliation after a failover: the leader concludes from the workers' heartbeats which
/// machine a task is placed on, whether it may run on another machine as well, and whether it is done. The
/// tests send the heartbeats in place of the workers.
#include "workers/worker_manager.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "delegation/strict_cancellation.hpp"
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
                  [this](const std::string& host, std::uint64_t token) {
                    higher_tokens_.emplace_back(host, token);
                  }}) {
    state_writer_.set_events({[](jobs::Job&) {},
                              [this](const std::vector<jobs::StateWriter::CompletedTask>& ended) {
                                workers_.on_completions_persisted(ended);
                              },
                              [this](jobs::MachineIndex index) { workers_.on_inventory_written(index); },
                              [this](jobs::MachineIndex index) {
                                return workers_.inventory_record(index);
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

  // Adds a machine that an earlier leader recorded in the machine inventory.
  Machine& machine_from_inventory(const std::string& host) {
    return workers_.add_from_inventory(
        {{"host", host}, {"addr", host + ":1"}, {"type", "small"}, {"zone", "z0"}, {"spot", false}});
  }

  // Adds a job that was submitted under an earlier leader.
  jobs::Job& earlier_job(const std::string& ref, std::uint32_t tasks = 1) {
    wire::JobSpec spec;
    spec.ref = ref;
    spec.team = "red";
    spec.image = "img";
    spec.task_resources = {2, 0, 2};
    spec.tasks = tasks;
    return registry_.add(spec, kEarlierToken, 0);
  }

  struct ListedTask {
    std::string ref;
    std::uint64_t attempt = kOldAttempt;
    wire::TaskPhase phase = wire::TaskPhase::running;
    wire::ExitCause cause = wire::ExitCause::none;
    std::uint32_t index = 0;
  };

  static wire::Heartbeat heartbeat_of(const std::string& host, std::uint64_t incarnation,
                                      std::uint64_t sequence, std::uint64_t token,
                                      const std::vector<ListedTask>& tasks) {
    wire::Heartbeat heartbeat;
    heartbeat.host = host;
    heartbeat.address = host + ":1";
    heartbeat.type = "small";
    heartbeat.zone = "z0";
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.fencing_token = token;
    for (const ListedTask& task : tasks) {
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

  // Delivers a heartbeat that carries an earlier leader's fencing token.
  void heartbeat_with_earlier_token(const std::string& host, std::uint64_t sequence,
                                    const std::vector<ListedTask>& tasks, std::uint64_t incarnation = 1) {
    workers_.handle_heartbeat(heartbeat_of(host, incarnation, sequence, kEarlierToken, tasks));
  }
  // Delivers a heartbeat that carries this leader's fencing token.
  void heartbeat_with_token(const std::string& host, std::uint64_t sequence,
                            const std::vector<ListedTask>& tasks, std::uint64_t incarnation = 1) {
    workers_.handle_heartbeat(heartbeat_of(host, incarnation, sequence, kToken, tasks));
  }

  // Whether the task is pending and the ReconciledFilter admits its job now.
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
  std::vector<std::pair<std::string, std::uint64_t>> higher_tokens_;
};

// Guards against a second start of a task that runs on machine B. The task migrated from machine A to machine
// B under an earlier leader. A delayed heartbeat of machine A arrives first, so the task is placed on machine
// A. When a heartbeat of machine A no longer lists the task, it must be placed on machine B.
TEST_F(WorkerManagerTest, TaskPlacedByADelayedHeartbeatIsAdoptedWhereItRuns) {
  Machine& machine_a = machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  ASSERT_EQ(job.tasks[0].machine, machine_a.index);
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(workers_.has_stray_instance("req-1"))
      << "expected a stray instance on machine B, which also prevents the completion of a cancellation";
  heartbeat_with_token("machine-a", 12, {});
  ASSERT_TRUE(workers_.reconciled() || machine_b.stray_instance_count > 0);
  EXPECT_FALSE(may_start(job)) << "expected no second start while machine B still runs the task";
  EXPECT_EQ(job.placed_tasks, 1U);
  EXPECT_EQ(job.tasks[0].machine, machine_b.index);
  EXPECT_EQ(machine_b.stray_instance_count, 0);
  EXPECT_DOUBLE_EQ(machine_b.used.cpus, 2);
  EXPECT_DOUBLE_EQ(machine_a.used.cpus, 0);
  EXPECT_DOUBLE_EQ(workers_.team_usage(jobs::TeamIndex(0)).cpus, 2);
  EXPECT_TRUE(workers_.reconciled());
}

// Guards against stopping the only instance of a task: as long as machine A is not fenced, the placement on
// machine A may be outdated, so the stray instance on machine B must not be stopped.
TEST_F(WorkerManagerTest, StrayInstanceIsNotStoppedWhileThePlacementIsUncertain) {
  machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  earlier_job("req-1");
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  ASSERT_NE(allocation_on(machine_b, kNewAttempt), nullptr);
  EXPECT_FALSE(allocation_on(machine_b, kNewAttempt)->stop_requested);
  heartbeat_with_token("machine-a", 12, {});
  EXPECT_FALSE(allocation_on(machine_b, kNewAttempt)->stop_requested)
      << "expected the only remaining instance not to be stopped";
}

// Guards against two running instances: if both machines run the task, one instance is stopped, and the task
// is not started again before both have ended.
TEST_F(WorkerManagerTest, OfTwoRunningInstancesOneIsStopped) {
  Machine& machine_a = machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("machine-a", 12, {{"req-1", kOldAttempt}});
  EXPECT_TRUE(allocation_on(machine_b, kNewAttempt)->stop_requested);
  EXPECT_FALSE(allocation_on(machine_a, kOldAttempt)->stop_requested);
  // The instance that was not stopped ends first, so the task is placed on the machine with the other
  // instance.
  heartbeat_with_token("machine-a", 13,
                       {{"req-1", kOldAttempt, wire::TaskPhase::exited, wire::ExitCause::error}});
  EXPECT_FALSE(may_start(job))
      << "expected no start before a heartbeat of machine B lists the task as exited";
  EXPECT_EQ(job.tasks[0].machine, machine_b.index);
  heartbeat_with_token("machine-b", 10,
                       {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_TRUE(may_start(job));
  EXPECT_DOUBLE_EQ(workers_.team_usage(jobs::TeamIndex(0)).cpus, 0);
}

// Guards against a second start after one of two machines that list the task is gone: the other machine may
// still run it.
TEST_F(WorkerManagerTest, StrayInstanceIsAdoptedWhenThePlacedMachineIsGone) {
  Machine& machine_a = machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  workers_.mark_gone(machine_a);
  EXPECT_FALSE(may_start(job));
  EXPECT_EQ(job.tasks[0].machine, machine_b.index);
  workers_.mark_gone(machine_b);
  EXPECT_TRUE(may_start(job));
}

// Guards against a start while any of three instances of a task may still run.
TEST_F(WorkerManagerTest, TaskStartsOnlyAfterAllThreeInstancesHaveEnded) {
  Machine& machine_a = machine_from_inventory("machine-a");
  machine_from_inventory("machine-b");
  machine_from_inventory("machine-c");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("machine-c", 9, {{"req-1", kNewAttempt + 1}});
  workers_.mark_gone(machine_a);
  EXPECT_FALSE(may_start(job));
  heartbeat_with_token("machine-b", 10, {});
  EXPECT_FALSE(may_start(job));
  EXPECT_TRUE(job.placed_tasks == 1);
  heartbeat_with_token("machine-c", 10, {});
  EXPECT_TRUE(may_start(job));
}

// Guards against the loss of a result: a completion counts even if a delayed heartbeat has placed the task on
// another machine.
TEST_F(WorkerManagerTest, CompletionCountsThoughADelayedHeartbeatPlacedTheTaskElsewhere) {
  Machine& machine_a = machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  jobs::Job& job = earlier_job("req-1", 2);
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9,
                       {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(allocation_on(machine_b, kNewAttempt)->may_acknowledge)
      << "expected no acknowledgement before the completion is persisted";
  EXPECT_EQ(exits_, std::vector<wire::ExitCause>{wire::ExitCause::done});
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_TRUE(workers_.has_stray_instance("req-1"))
      << "expected a stray instance on machine A, which may still run the task";
  EXPECT_DOUBLE_EQ(workers_.team_usage(jobs::TeamIndex(0)).cpus, 0);
  heartbeat_with_token("machine-a", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done_tasks, 1U);
  EXPECT_EQ(machine_a.stray_instance_count, 0);
  EXPECT_FALSE(workers_.has_stray_instance("req-1"));
}

// Guards against the loss of a result: the completion of a stray instance counts that an earlier heartbeat
// listed as running.
TEST_F(WorkerManagerTest, CompletionOfAStrayInstanceCounts) {
  Machine& machine_a = machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("machine-b", 10,
                       {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(allocation_on(machine_b, kNewAttempt)->may_acknowledge);
  EXPECT_TRUE(allocation_on(machine_a, kOldAttempt)->stop_requested)
      << "expected the other instance of a done task to be stopped";
  heartbeat_with_token("machine-a", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done_tasks, 1U);
  EXPECT_FALSE(may_start(job));
}

// Guards against a cancellation that leaves a stray instance running: each instance is stopped, and the job's
// tasks are gone only when no instance is left.
TEST_F(WorkerManagerTest, CancellationStopsEveryStrayInstance) {
  machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  ASSERT_FALSE(allocation_on(machine_b, kNewAttempt)->stop_requested);
  job.cancelling = true;
  workers_.cancel_job(job);
  EXPECT_TRUE(allocation_on(machine_b, kNewAttempt)->stop_requested);
  heartbeat_with_token("machine-a", 12, {});
  EXPECT_TRUE(job.placed_tasks > 0 || workers_.has_stray_instance("req-1"));
  heartbeat_with_token("machine-b", 10,
                       {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_FALSE(workers_.has_stray_instance("req-1"));
}

// Guards against a violation of a job's rules on zones: while a task has a stray instance, its zone is not
// certain, so the job's other tasks must not start by it.
TEST_F(WorkerManagerTest, ZonesOfTasksAreUncertainBesideAStrayInstance) {
  machine_from_inventory("machine-a");
  Machine& machine_b = machine_from_inventory("machine-b");
  jobs::Job& job = earlier_job("req-1", 3);
  job.spec.spread_zones = true;
  heartbeat_with_earlier_token("machine-a", 5, {{"req-1", kOldAttempt}});
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  heartbeat_with_token("machine-a", 12, {{"req-1", kOldAttempt}});  // both machines run the task
  EXPECT_EQ(machine_b.stray_instance_count, 1);
  EXPECT_FALSE(may_start(job, 1));
  job.spec.spread_zones = false;
  job.spec.same_zone = true;
  EXPECT_FALSE(may_start(job, 1));
  job.spec.same_zone = false;
  EXPECT_TRUE(may_start(job, 1)) << "expected task 1, which has no instance, to start without rules on zones";
}

// Guards against a second start if a heartbeat lists a task before its job's record has been read.
TEST_F(WorkerManagerTest, JobReadLateAdoptsItsStrayInstance) {
  Machine& machine_b = machine_from_inventory("machine-b");
  heartbeat_with_token("machine-b", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(allocation_on(machine_b, kNewAttempt)->stop_requested)
      << "expected a task of an unknown job to be stopped";
  jobs::Job& job = earlier_job("req-1");
  workers_.adopt_stray_instances(job);
  EXPECT_FALSE(may_start(job));
  heartbeat_with_token("machine-b", 10,
                       {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_TRUE(may_start(job));
}

// Guards against conclusions from a heartbeat of an incarnation that is over: it must place no task and renew
// no lease.
// A task that was done became pending again, ran a second time, and the count of placed tasks fell below
// zero, which ended the leader later.
TEST_F(WorkerManagerTest, AnExitedTaskThatIsListedInAnotherPhaseStaysDone) {
  Machine& machine = machine_from_inventory("i-1");
  jobs::Job& job = earlier_job("req-1", 2);
  const ListedTask other{.ref = "req-1", .attempt = kNewAttempt, .index = 1};
  const ListedTask running{.ref = "req-1"};
  const ListedTask done{.ref = "req-1", .phase = wire::TaskPhase::exited, .cause = wire::ExitCause::done};
  const ListedTask unknown_phase{.ref = "req-1", .phase = wire::TaskPhase::fetching};
  heartbeat_with_token("i-1", 1, {running, other});
  heartbeat_with_token("i-1", 2, {done, other});
  ASSERT_EQ(job.done_tasks, 1U);
  heartbeat_with_token("i-1", 3, {unknown_phase, other});
  heartbeat_with_token("i-1", 4, {done, other});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done_tasks, 1U);
  EXPECT_EQ(job.placed_tasks, 1U);
  EXPECT_FALSE(may_start(job)) << "a task that is done must not start again";
  EXPECT_FALSE(allocation_on(machine, kOldAttempt)->occupies_machine);
}

TEST_F(WorkerManagerTest, HeartbeatOfAnIncarnationThatIsOverProvesNothing) {
  Machine& machine_a = machine_from_inventory("machine-a");
  jobs::Job& job = earlier_job("req-1");
  heartbeat_with_token("machine-a", 9, {{"req-1", kOldAttempt}}, 3);
  ASSERT_EQ(job.placed_tasks, 1U);
  for (int i = 0; i < 60; ++i)
    advance(0.5);  // 30 s without contact, longer than the lease of 20 s
  ASSERT_FALSE(machine_a.has_incarnation);
  ASSERT_EQ(job.placed_tasks, 0U);
  const Seconds lease_before = machine_a.lease_expires_at;
  heartbeat_with_token("machine-a", 10, {{"req-1", kOldAttempt}}, 3);
  EXPECT_EQ(job.placed_tasks, 0U)
      << "expected no placement by a late heartbeat of an incarnation whose lease has expired";
  heartbeat_with_earlier_token("machine-a", 200, {{"req-1", kOldAttempt}}, 2);
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_FALSE(machine_a.has_incarnation);
  EXPECT_EQ(machine_a.incarnation, 3U);
  EXPECT_EQ(machine_a.lease_expires_at, lease_before);
  heartbeat_with_token("machine-a", 11, {}, 4);
  EXPECT_TRUE(machine_a.has_incarnation);
  EXPECT_EQ(machine_a.incarnation, 4U);
}

TEST_F(WorkerManagerTest, AWorkerThatRepeatsAnUnknownTokenRefusesCommandsUntilItReportsAKnownOne) {
  constexpr std::uint64_t kUnknownToken = kToken + 1;
  Machine& machine = machine_from_inventory("i-1");
  heartbeat_with_token("i-1", 1, {});
  for (std::uint64_t sequence = 2; sequence <= 4; ++sequence) {
    EXPECT_FALSE(machine.refuses_commands());
    EXPECT_FALSE(workers_.handle_heartbeat(heartbeat_of("i-1", 1, sequence, kUnknownToken, {})));
    ASSERT_EQ(higher_tokens_.size(), sequence - 1);
    EXPECT_EQ(higher_tokens_.back(), std::pair(std::string("i-1"), kUnknownToken));
    workers_.on_unknown_token("i-1", kUnknownToken);
  }
  EXPECT_TRUE(machine.refuses_commands());
  heartbeat_with_token("i-1", 5, {});
  EXPECT_FALSE(machine.refuses_commands());
}

// Starts one task after the other on a machine and shows what the leader commands.
class ForgetCommandTest : public WorkerManagerTest {
 protected:
  ForgetCommandTest() : machine_(machine_from_inventory("i-1")), job_(earlier_job("req-1", 70)) {
    heartbeat_with_token("i-1", ++sequence_, {});
    out_.drain();
  }

  ListedTask started(std::uint32_t task) {
    workers_.start_task(machine_, job_, task);
    return {.ref = "req-1", .attempt = machine_.allocations.back().attempt, .index = task};
  }
  static ListedTask failed(ListedTask task) {
    task.phase = wire::TaskPhase::exited;
    task.cause = wire::ExitCause::error;
    return task;
  }
  // The queued commands as one direct call; nothing if there is none.
  std::optional<ports::Call> direct_call() {
    workers_.flush_commands();
    for (ports::Action& action : out_.drain()) {
      if (auto* call = std::get_if<ports::Call>(&action); call && call->target == ports::Target::worker)
        return std::move(*call);
    }
    return std::nullopt;
  }
  void answer(const ports::Call& call, const std::vector<ListedTask>& tasks, std::uint64_t token = kToken) {
    wire::Value listed = wire::Value::array();
    for (const ListedTask& task : tasks)
      listed.push_back(
          {{"shard", wire::task_name(task.ref, task.index)}, {"try", task.attempt}, {"phase", "running"}});
    ports::Reply reply;
    reply.status = 200;
    reply.heartbeat = wire::encode_cbor({{"host", "i-1"},
                                         {"addr", "i-1:1"},
                                         {"flavour", "small"},
                                         {"hall", "z0"},
                                         {"tenure", 1},
                                         {"counter", ++sequence_},
                                         {"mandate", token},
                                         {"shards", std::move(listed)}});
    out_.complete(call.id, reply);
  }
  // Whether a command with this verb is in the reply to a heartbeat that lists these tasks.
  bool commanded(const std::string& verb, const std::vector<ListedTask>& tasks) {
    const auto reply = workers_.handle_heartbeat(heartbeat_of("i-1", 1, ++sequence_, kToken, tasks));
    return std::any_of((*reply)["orders"].begin(), (*reply)["orders"].end(),
                       [&verb](const wire::Value& command) { return command["verb"] == verb; });
  }

  Machine& machine_;
  jobs::Job& job_;
  std::uint64_t sequence_ = 0;
};

TEST_F(ForgetCommandTest, AnAnsweredDirectStartKeepsItsAttemptFromBeingForgotten) {
  const ListedTask task = started(0);
  answer(direct_call().value(), {task});
  EXPECT_FALSE(commanded("reap", {failed(task)}));
  EXPECT_FALSE(commanded("reap", {failed(task)}));
  EXPECT_FALSE(direct_call());
  EXPECT_EQ(workers_.retained_attempts().total, 1U);
}

TEST_F(ForgetCommandTest,
       AWorkerThatAnswersWithAnUnknownTokenCountsAsUnreachableUntilItAnswersWithAKnownOne) {
  const ListedTask task = started(0);
  answer(direct_call().value(), {}, kToken + 1);
  ASSERT_EQ(higher_tokens_.size(), 1U);
  EXPECT_TRUE(machine_.unreachable);
  EXPECT_FALSE(machine_.allocations[0].certainly_not_started(out_.now()));
  heartbeat_with_token("i-1", ++sequence_, {task});
  advance(2);
  answer(direct_call().value(), {task});
  EXPECT_FALSE(machine_.unreachable);
}

TEST_F(ForgetCommandTest, AnAnswerThatCannotBeReadDoesNotProveThatNothingStarted) {
  started(0);
  const ports::Call call = direct_call().value();
  ports::Reply unreadable;
  unreadable.status = 200;
  out_.complete(call.id, unreadable);
  EXPECT_FALSE(machine_.allocations[0].certainly_not_started(out_.now()));
}

TEST_F(ForgetCommandTest, AnUndeliveredStartDoesNotKeepItsAttempt) {
  const ListedTask task = started(0);
  ports::Reply undelivered;
  undelivered.delivered = false;
  out_.complete(direct_call().value().id, undelivered);
  EXPECT_TRUE(commanded("start", {}));
  EXPECT_TRUE(commanded("reap", {failed(task)}));
}

TEST_F(ForgetCommandTest, ARefusedStartDoesNotKeepItsAttempt) {
  const ListedTask task = started(0);
  ports::Reply refused;
  refused.status = 409;
  out_.complete(direct_call().value().id, refused);
  EXPECT_TRUE(commanded("start", {}));
  EXPECT_TRUE(commanded("reap", {failed(task)}));
}

TEST_F(ForgetCommandTest, AGangIsNotStartedAgainWhereItsAttemptIsRemembered) {
  job_.spec.shape = wire::Shape::gang;
  const ListedTask first = started(job_.pending_tasks.back());
  const ListedTask second = started(job_.pending_tasks.back());
  ASSERT_EQ(first.attempt, second.attempt);
  answer(direct_call().value(), {first, second});
  commanded("reap", {failed(first), second});
  ASSERT_EQ(job_.pending_tasks.back(), first.index);
  EXPECT_TRUE(workers_.ignores_next_start(machine_, job_));
  commanded("reap", {failed(first), failed(second)});
  EXPECT_FALSE(workers_.ignores_next_start(machine_, job_)) << "the whole gang starts with a new attempt";
}

TEST_F(ForgetCommandTest, AnAttemptOfAnEarlierTokenIsForgottenAndOneOfTheOwnTokenIsNot) {
  const std::uint64_t earlier = (kEarlierToken << delegation::kFencingTokenShift) + 1;
  const std::uint64_t own = (kToken << delegation::kFencingTokenShift) + 100;
  EXPECT_TRUE(commanded("reap", {failed({.ref = "req-1", .attempt = earlier})}));
  EXPECT_FALSE(commanded("reap", {failed({.ref = "req-1", .attempt = own})}));
  EXPECT_EQ(workers_.unexpected_attempts(), 2U) << "no command of this leader had started them";
}

TEST_F(ForgetCommandTest, BeyondTheLimitOfRetainedAttemptsStartsAreSentInRepliesOnly) {
  constexpr std::uint32_t kLimit = 64;
  std::vector<ListedTask> tasks;
  for (std::uint32_t task = 0; task < kLimit; ++task)
    tasks.push_back(started(task));
  answer(direct_call().value(), tasks);
  for (ListedTask& task : tasks)
    task = failed(task);
  commanded("reap", tasks);
  const ListedTask next = started(kLimit);
  EXPECT_FALSE(direct_call());
  EXPECT_TRUE(commanded("start", tasks));
  tasks.push_back(failed(next));
  EXPECT_TRUE(commanded("reap", tasks));
  EXPECT_EQ(workers_.retained_attempts().most_on_a_machine, kLimit);
}

}  // namespace
}  // namespace wingtrail::workers
