// What the leader believes of workers' reports after a take-over: which machine a task is on, whether it may
// be anywhere else, and whether it is done. The test plays the workers.
#include <gtest/gtest.h>

#include <map>

#include "filters/reconciled_filter.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {

constexpr std::uint64_t kToken = 50;
constexpr std::uint64_t kEarlierToken = 40;
constexpr std::uint64_t kOldAttempt = 7, kNewAttempt = 8;

class AgentsTest : public ::testing::Test {
 protected:
  AgentsTest()
      : settings_(small_deployment()),
        store_(out_, settings_),
        registry_(settings_),
        ledger_(out_, store_, registry_, settings_,
                {[] { return kToken; }, [] { return ports::kNever; }, [] {}, "lead"}),
        agents_(out_, settings_, registry_, ledger_,
                {[] { return kToken; }, [] { return ports::kNever; }, [](Seconds own) { return own; },
                 [] {
                   return true;
                 }},
                {[](Machine&) {}, [](Machine&) {}, [](Machine&) {},
                 [this](Machine&, const Allocation& slot) { exits_.push_back(slot.cause); },
                 [] {
                 }}) {
    ledger_.set_events({[](jobs::Job&) {},
                        [this](const std::vector<jobs::StateWriter::CompletedTask>& ended) {
                          agents_.acknowledge_ends(ended);
                        },
                        [this](jobs::MachineIndex ix) { agents_.on_inventory_written(ix); },
                        [this](jobs::MachineIndex ix) {
                          return agents_.inventory_record(ix);
                        }});
    ledger_.begin_leadership();
    agents_.begin_leadership();
    agents_.set_catalog({wire::MachineType{"small", 8, 0, 32, 50, 1.0, 0.6, 0.2, 8, settings_.zones}});
  }

  static settings::Settings small_deployment() {
    settings::Settings s;
    s.teams = {{"red"}};
    s.zones = {"z0"};
    s.heartbeat_interval_s = 3;
    s.worker_lease_s = 20;
    s.max_connections = 1000;
    s.state_requests_per_s = s.state_writes_per_s = 1e6;
    return s;
  }

  // A machine that the leaders before this one knew.
  Machine& inherited(const std::string& host) {
    return agents_.add_from_inventory(
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

  struct Shown {
    std::string ref;
    std::uint64_t attempt = kOldAttempt;
    wire::TaskPhase phase = wire::TaskPhase::running;
    wire::ExitCause cause = wire::ExitCause::none;
    std::uint32_t index = 0;
  };

  static wire::Heartbeat report_of(const std::string& host, std::uint64_t session, std::uint64_t counter,
                                   std::uint64_t token, const std::vector<Shown>& tasks) {
    wire::Heartbeat r;
    r.host = host;
    r.address = host + ":1";
    r.type = "small";
    r.zone = "z0";
    r.incarnation = session;
    r.sequence = counter;
    r.fencing_token = token;
    for (const Shown& t : tasks) {
      wire::TaskStatus shown;
      shown.ref = t.ref;
      shown.task = t.index;
      shown.attempt = t.attempt;
      shown.phase = t.phase;
      shown.cause = t.cause;
      r.tasks.push_back(shown);
    }
    return r;
  }

  // A report that arrives with the token of an earlier leadership.
  void old_report(const std::string& host, std::uint64_t counter, const std::vector<Shown>& tasks,
                  std::uint64_t session = 1) {
    agents_.handle_heartbeat(report_of(host, session, counter, kEarlierToken, tasks));
  }
  // One of a worker that knows this leadership.
  void new_report(const std::string& host, std::uint64_t counter, const std::vector<Shown>& tasks,
                  std::uint64_t session = 1) {
    agents_.handle_heartbeat(report_of(host, session, counter, kToken, tasks));
  }

  // Whether the decision code would let the task start now.
  bool may_start(const jobs::Job& job, std::uint32_t task = 0) {
    const filters::ReconciledFilter accounted(agents_, [] { return kToken; });
    return job.tasks[task].state == jobs::TaskState::pending && accounted.admits(job);
  }

  const Allocation* slot_on(const Machine& m, std::uint64_t attempt) {
    for (const Allocation& s : m.allocations) {
      if (s.attempt == attempt)
        return &s;
    }
    return nullptr;
  }

  void pass(Seconds span) {
    out_.set_now(out_.now() + span);
    out_.run_timers();
    agents_.tick();
  }

  ports::Outbox out_;
  settings::Settings settings_;
  store::StateClient store_;
  jobs::JobRegistry registry_;
  jobs::StateWriter ledger_;
  WorkerManager agents_;
  std::vector<wire::ExitCause> exits_;
};

// The task was moved from m to n under an earlier leader. An old report of m comes first and gets the place;
// n's true one can't. When m says that it has nothing, the task is still on n, whatever n was told meanwhile.
TEST_F(AgentsTest, ATaskWhosePlaceAnOldReportTookIsStillWhereItRuns) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  ASSERT_EQ(job.tasks[0].machine, m.index);
  new_report("n", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(agents_.has_stray_instance("req-1")) << "a cancellation can't be told either";
  new_report("m", 12, {});
  ASSERT_TRUE(agents_.reconciled() || n.unsized_allocations > 0);
  EXPECT_FALSE(may_start(job)) << "n still runs it";
  EXPECT_EQ(job.placed_tasks, 1U);
  EXPECT_EQ(job.tasks[0].machine, n.index);
  EXPECT_EQ(n.unsized_allocations, 0);
  EXPECT_DOUBLE_EQ(n.used.cpus, 2);
  EXPECT_DOUBLE_EQ(m.used.cpus, 0);
  EXPECT_DOUBLE_EQ(agents_.team_usage(jobs::TeamIndex(0)).cpus, 2);
  EXPECT_TRUE(agents_.reconciled());
}

// As long as m is not known to say the truth, the copy on n is not stopped: it may be the only one.
TEST_F(AgentsTest, TheTrueHolderIsNotStoppedForAnOldReport) {
  inherited("m");
  Machine& n = inherited("n");
  earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  ASSERT_NE(slot_on(n, kNewAttempt), nullptr);
  EXPECT_FALSE(slot_on(n, kNewAttempt)->stop_requested);
  new_report("m", 12, {});
  EXPECT_FALSE(slot_on(n, kNewAttempt)->stop_requested) << "it was the only one";
}

// If both really have it, one of them is stopped, and nothing starts before it has ended.
TEST_F(AgentsTest, OfTwoThatReallyRunOneIsStopped) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  new_report("m", 12, {{"req-1", kOldAttempt}});
  EXPECT_TRUE(slot_on(n, kNewAttempt)->stop_requested);
  EXPECT_FALSE(slot_on(m, kOldAttempt)->stop_requested);
  // The one that stays ends first: the other is where the task is now, stopped or not.
  new_report("m", 13, {{"req-1", kOldAttempt, wire::TaskPhase::exited, wire::ExitCause::error}});
  EXPECT_FALSE(may_start(job)) << "n has yet to say that it has stopped";
  EXPECT_EQ(job.tasks[0].machine, n.index);
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_TRUE(may_start(job));
  EXPECT_DOUBLE_EQ(agents_.team_usage(jobs::TeamIndex(0)).cpus, 0);
}

// A session's end, or a return, proves the same for one machine only.
TEST_F(AgentsTest, TheOtherCopyOutlivesTheMachineThatHadThePlace) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  agents_.mark_gone(m);
  EXPECT_FALSE(may_start(job));
  EXPECT_EQ(job.tasks[0].machine, n.index);
  agents_.mark_gone(n);
  EXPECT_TRUE(may_start(job));
}

TEST_F(AgentsTest, ThreeMachinesThatShowATaskAreAllWaitedFor) {
  Machine& m = inherited("m");
  inherited("n");
  inherited("o");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  new_report("o", 9, {{"req-1", kNewAttempt + 1}});
  agents_.mark_gone(m);
  EXPECT_FALSE(may_start(job));
  new_report("n", 10, {});
  EXPECT_FALSE(may_start(job));
  EXPECT_TRUE(job.placed_tasks == 1);
  new_report("o", 10, {});
  EXPECT_TRUE(may_start(job));
}

// The true holder has completed the task: that counts, whoever seems to have it.
TEST_F(AgentsTest, ACompletionCountsThoughAnOldReportHasThePlace) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1", 2);
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(slot_on(n, kNewAttempt)->end_persisted) << "not before it is persisted";
  EXPECT_EQ(exits_, std::vector<wire::ExitCause>{wire::ExitCause::done});
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_TRUE(agents_.has_stray_instance("req-1")) << "m may have it";
  EXPECT_DOUBLE_EQ(agents_.team_usage(jobs::TeamIndex(0)).cpus, 0);
  new_report("m", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done_tasks, 1U);
  EXPECT_EQ(m.unsized_allocations, 0);
  EXPECT_FALSE(agents_.has_stray_instance("req-1"));
}

// The same if it ends while its place is another's.
TEST_F(AgentsTest, ACopyThatEndsAsDoneCounts) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(slot_on(n, kNewAttempt)->end_persisted);
  EXPECT_TRUE(slot_on(m, kOldAttempt)->stop_requested) << "what it does is of no use any more";
  new_report("m", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done_tasks, 1U);
  EXPECT_FALSE(may_start(job));
}

// A job that is cancelled is gone only when no copy is left, and each is told to stop.
TEST_F(AgentsTest, ACancellationStopsEveryCopy) {
  inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  ASSERT_FALSE(slot_on(n, kNewAttempt)->stop_requested);
  job.cancelling = true;
  agents_.cancel_job(job);
  EXPECT_TRUE(slot_on(n, kNewAttempt)->stop_requested);
  new_report("m", 12, {});
  EXPECT_TRUE(job.placed_tasks > 0 || agents_.has_stray_instance("req-1"));
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_FALSE(agents_.has_stray_instance("req-1"));
}

// Another task must not go by the zone of a place that may be false.
TEST_F(AgentsTest, WhereSpreadTasksAreIsNotKnownBesideACopy) {
  inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1", 3);
  job.spec.spread_zones = true;
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  new_report("m", 12, {{"req-1", kOldAttempt}});  // both have it
  EXPECT_EQ(n.unsized_allocations, 1);
  EXPECT_FALSE(may_start(job, 1));
  job.spec.spread_zones = false;
  job.spec.same_zone = true;
  EXPECT_FALSE(may_start(job, 1));
  job.spec.same_zone = false;
  EXPECT_TRUE(may_start(job, 1)) << "task 1 itself is nowhere";
}

// A record of the job that is read only after its task was shown.
TEST_F(AgentsTest, AJobLearnedOfLateIsWhereItWasShown) {
  Machine& n = inherited("n");
  new_report("n", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(slot_on(n, kNewAttempt)->stop_requested) << "nobody knows it";
  jobs::Job& job = earlier_job("req-1");
  agents_.adopt_stray_instances(job);
  EXPECT_FALSE(may_start(job));
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::ExitCause::stopped}});
  EXPECT_TRUE(may_start(job));
}

// What was learned never goes back: a copy of a session that is over places nothing and renews nothing.
TEST_F(AgentsTest, AReportOfASessionThatIsOverProvesNothing) {
  Machine& m = inherited("m");
  jobs::Job& job = earlier_job("req-1");
  new_report("m", 9, {{"req-1", kOldAttempt}}, 3);
  ASSERT_EQ(job.placed_tasks, 1U);
  for (int i = 0; i < 60; ++i)
    pass(0.5);  // silent for longer than its lease
  ASSERT_FALSE(m.has_incarnation);
  ASSERT_EQ(job.placed_tasks, 0U);
  const Seconds lease = m.lease_expires_at;
  new_report("m", 10, {{"req-1", kOldAttempt}}, 3);
  EXPECT_EQ(job.placed_tasks, 0U) << "a late report of the session whose lease has run out";
  old_report("m", 200, {{"req-1", kOldAttempt}}, 2);
  EXPECT_EQ(job.placed_tasks, 0U);
  EXPECT_FALSE(m.has_incarnation);
  EXPECT_EQ(m.incarnation, 3U);
  EXPECT_EQ(m.lease_expires_at, lease);
  new_report("m", 11, {}, 4);
  EXPECT_TRUE(m.has_incarnation);
  EXPECT_EQ(m.incarnation, 4U);
}

}  // namespace
}  // namespace wingtrail::workers
