// What the leader believes of workers' reports after a take-over: which machine a task is on, whether it may
// be anywhere else, and whether it is done. The test plays the workers.
#include "agents/agents.hpp"

#include <gtest/gtest.h>

#include <map>

#include "gates/gate.hpp"

namespace wingtrail::agents {
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
                 [this](Machine&, const Slot& slot) { exits_.push_back(slot.cause); },
                 [] {
                 }}) {
    ledger_.set_events({[](jobs::Job&) {},
                        [this](const std::vector<jobs::Ledger::Ended>& ended) { agents_.forget(ended); },
                        [this](Ix ix) { agents_.enlisted(ix); },
                        [this](Ix ix) {
                          return agents_.record(ix);
                        }});
    ledger_.begin();
    agents_.begin();
    agents_.set_catalog({wire::MachineType{"small", 8, 0, 32, 50, 1.0, 0.6, 0.2, 8, settings_.zones}});
  }

  static settings::Settings small_deployment() {
    settings::Settings s;
    s.teams = {{"red"}};
    s.zones = {"z0"};
    s.report_s = 3;
    s.lease_s = 20;
    s.max_connections = 1000;
    s.state_rps = s.state_write_rps = 1e6;
    return s;
  }

  // A machine that the leaders before this one knew.
  Machine& inherited(const std::string& host) {
    return agents_.roster(
        {{"host", host}, {"addr", host + ":1"}, {"type", "small"}, {"zone", "z0"}, {"spot", false}});
  }

  // A job of an earlier leadership.
  jobs::Job& earlier_job(const std::string& ref, std::uint32_t tasks = 1) {
    wire::JobSpec spec;
    spec.ref = ref;
    spec.team = "red";
    spec.image = "img";
    spec.need = {2, 0, 2};
    spec.tasks = tasks;
    return registry_.add(spec, kEarlierToken, 0);
  }

  struct Shown {
    std::string ref;
    std::uint64_t attempt = kOldAttempt;
    wire::TaskPhase phase = wire::TaskPhase::running;
    wire::Cause cause = wire::Cause::none;
    std::uint32_t index = 0;
  };

  static wire::Report report_of(const std::string& host, std::uint64_t session, std::uint64_t counter,
                                std::uint64_t token, const std::vector<Shown>& tasks) {
    wire::Report r;
    r.host = host;
    r.addr = host + ":1";
    r.type = "small";
    r.zone = "z0";
    r.session = session;
    r.seq = counter;
    r.token = token;
    for (const Shown& t : tasks) {
      wire::TaskReport shown;
      shown.ref = t.ref;
      shown.index = t.index;
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
    agents_.report(report_of(host, session, counter, kEarlierToken, tasks));
  }
  // One of a worker that knows this leadership.
  void new_report(const std::string& host, std::uint64_t counter, const std::vector<Shown>& tasks,
                  std::uint64_t session = 1) {
    agents_.report(report_of(host, session, counter, kToken, tasks));
  }

  // Whether the decision code would let the task start now.
  bool may_start(const jobs::Job& job, std::uint32_t task = 0) {
    const gates::Accounted accounted(agents_, [] { return kToken; });
    return job.tasks[task].state == jobs::TaskState::pending && accounted.open(job);
  }

  const Slot* slot_on(const Machine& m, std::uint64_t attempt) {
    for (const Slot& s : m.slots) {
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
  store::Client store_;
  jobs::Registry registry_;
  jobs::Ledger ledger_;
  Agents agents_;
  std::vector<wire::Cause> exits_;
};

// The task was moved from m to n under an earlier leader. An old report of m comes first and gets the place;
// n's true one can't. When m says that it has nothing, the task is still on n, whatever n was told meanwhile.
TEST_F(AgentsTest, ATaskWhosePlaceAnOldReportTookIsStillWhereItRuns) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  ASSERT_EQ(job.tasks[0].machine, m.ix);
  new_report("n", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(agents_.holds_unplaced("req-1")) << "a cancellation can't be told either";
  new_report("m", 12, {});
  ASSERT_TRUE(agents_.clear() || n.unknown > 0);
  EXPECT_FALSE(may_start(job)) << "n still runs it";
  EXPECT_EQ(job.placed, 1U);
  EXPECT_EQ(job.tasks[0].machine, n.ix);
  EXPECT_EQ(n.unknown, 0);
  EXPECT_DOUBLE_EQ(n.used.cpus, 2);
  EXPECT_DOUBLE_EQ(m.used.cpus, 0);
  EXPECT_DOUBLE_EQ(agents_.team_use(0).cpus, 2);
  EXPECT_TRUE(agents_.clear());
}

// As long as m is not known to say the truth, the copy on n is not stopped: it may be the only one.
TEST_F(AgentsTest, TheTrueHolderIsNotStoppedForAnOldReport) {
  inherited("m");
  Machine& n = inherited("n");
  earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  ASSERT_NE(slot_on(n, kNewAttempt), nullptr);
  EXPECT_FALSE(slot_on(n, kNewAttempt)->stop);
  new_report("m", 12, {});
  EXPECT_FALSE(slot_on(n, kNewAttempt)->stop) << "it was the only one";
}

// If both really have it, one of them is stopped, and nothing starts before it has ended.
TEST_F(AgentsTest, OfTwoThatReallyRunOneIsStopped) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  new_report("m", 12, {{"req-1", kOldAttempt}});
  EXPECT_TRUE(slot_on(n, kNewAttempt)->stop);
  EXPECT_FALSE(slot_on(m, kOldAttempt)->stop);
  // The one that stays ends first: the other is where the task is now, stopped or not.
  new_report("m", 13, {{"req-1", kOldAttempt, wire::TaskPhase::exited, wire::Cause::error}});
  EXPECT_FALSE(may_start(job)) << "n has yet to say that it has stopped";
  EXPECT_EQ(job.tasks[0].machine, n.ix);
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::Cause::stopped}});
  EXPECT_TRUE(may_start(job));
  EXPECT_DOUBLE_EQ(agents_.team_use(0).cpus, 0);
}

// A session's end, or a return, proves the same for one machine only.
TEST_F(AgentsTest, TheOtherCopyOutlivesTheMachineThatHadThePlace) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  agents_.gone(m);
  EXPECT_FALSE(may_start(job));
  EXPECT_EQ(job.tasks[0].machine, n.ix);
  agents_.gone(n);
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
  agents_.gone(m);
  EXPECT_FALSE(may_start(job));
  new_report("n", 10, {});
  EXPECT_FALSE(may_start(job));
  EXPECT_TRUE(job.placed == 1);
  new_report("o", 10, {});
  EXPECT_TRUE(may_start(job));
}

// The true holder has completed the task: that counts, whoever seems to have it.
TEST_F(AgentsTest, ACompletionCountsThoughAnOldReportHasThePlace) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1", 2);
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::Cause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(slot_on(n, kNewAttempt)->forget) << "not before it is persisted";
  EXPECT_EQ(exits_, std::vector<wire::Cause>{wire::Cause::done});
  EXPECT_EQ(job.placed, 0U);
  EXPECT_TRUE(agents_.holds_unplaced("req-1")) << "m may have it";
  EXPECT_DOUBLE_EQ(agents_.team_use(0).cpus, 0);
  new_report("m", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done, 1U);
  EXPECT_EQ(m.unknown, 0);
  EXPECT_FALSE(agents_.holds_unplaced("req-1"));
}

// The same if it ends while its place is another's.
TEST_F(AgentsTest, ACopyThatEndsAsDoneCounts) {
  Machine& m = inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::Cause::done}});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_FALSE(slot_on(n, kNewAttempt)->forget);
  EXPECT_TRUE(slot_on(m, kOldAttempt)->stop) << "what it does is of no use any more";
  new_report("m", 12, {});
  EXPECT_EQ(job.tasks[0].state, jobs::TaskState::done);
  EXPECT_EQ(job.done, 1U);
  EXPECT_FALSE(may_start(job));
}

// A job that is cancelled is gone only when no copy is left, and each is told to stop.
TEST_F(AgentsTest, ACancellationStopsEveryCopy) {
  inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1");
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  ASSERT_FALSE(slot_on(n, kNewAttempt)->stop);
  job.aborting = true;
  agents_.cancel(job);
  EXPECT_TRUE(slot_on(n, kNewAttempt)->stop);
  new_report("m", 12, {});
  EXPECT_TRUE(job.placed > 0 || agents_.holds_unplaced("req-1"));
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::Cause::stopped}});
  EXPECT_EQ(job.placed, 0U);
  EXPECT_FALSE(agents_.holds_unplaced("req-1"));
}

// Another task must not go by the zone of a place that may be false.
TEST_F(AgentsTest, WhereSpreadTasksAreIsNotKnownBesideACopy) {
  inherited("m");
  Machine& n = inherited("n");
  jobs::Job& job = earlier_job("req-1", 3);
  job.spec.spread = true;
  old_report("m", 5, {{"req-1", kOldAttempt}});
  new_report("n", 9, {{"req-1", kNewAttempt}});
  new_report("m", 12, {{"req-1", kOldAttempt}});  // both have it
  EXPECT_EQ(n.unknown, 1);
  EXPECT_FALSE(may_start(job, 1));
  job.spec.spread = false;
  job.spec.one_zone = true;
  EXPECT_FALSE(may_start(job, 1));
  job.spec.one_zone = false;
  EXPECT_TRUE(may_start(job, 1)) << "task 1 itself is nowhere";
}

// A record of the job that is read only after its task was shown.
TEST_F(AgentsTest, AJobLearnedOfLateIsWhereItWasShown) {
  Machine& n = inherited("n");
  new_report("n", 9, {{"req-1", kNewAttempt}});
  EXPECT_TRUE(slot_on(n, kNewAttempt)->stop) << "nobody knows it";
  jobs::Job& job = earlier_job("req-1");
  agents_.claim(job);
  EXPECT_FALSE(may_start(job));
  new_report("n", 10, {{"req-1", kNewAttempt, wire::TaskPhase::exited, wire::Cause::stopped}});
  EXPECT_TRUE(may_start(job));
}

// What was learned never goes back: a copy of a session that is over places nothing and renews nothing.
TEST_F(AgentsTest, AReportOfASessionThatIsOverProvesNothing) {
  Machine& m = inherited("m");
  jobs::Job& job = earlier_job("req-1");
  new_report("m", 9, {{"req-1", kOldAttempt}}, 3);
  ASSERT_EQ(job.placed, 1U);
  for (int i = 0; i < 60; ++i)
    pass(0.5);  // silent for longer than its lease
  ASSERT_FALSE(m.reporting);
  ASSERT_EQ(job.placed, 0U);
  const Seconds lease = m.lease_until;
  new_report("m", 10, {{"req-1", kOldAttempt}}, 3);
  EXPECT_EQ(job.placed, 0U) << "a late report of the session whose lease has run out";
  old_report("m", 200, {{"req-1", kOldAttempt}}, 2);
  EXPECT_EQ(job.placed, 0U);
  EXPECT_FALSE(m.reporting);
  EXPECT_EQ(m.session, 3U);
  EXPECT_EQ(m.lease_until, lease);
  new_report("m", 11, {}, 4);
  EXPECT_TRUE(m.reporting);
  EXPECT_EQ(m.session, 4U);
}

}  // namespace
}  // namespace wingtrail::agents
