#include "controller/query_lookup_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "jobs/state_writer.hpp"

namespace wingtrail::controller {
namespace {

constexpr double kRequestsPerS = 30;  // of the state service
constexpr Seconds kPatience = 1.1;

// A follower's lookups against a state service whose keys the test sets. It answers every request at once.
class QueryLookupQueueTest : public ::testing::Test {
 protected:
  QueryLookupQueueTest() {
    settings.state_requests_per_s = kRequestsPerS;
    settings.peers.resize(2);
    client.set_leading(false);
  }

  // Looks the job up at the current time and records the outcome.
  void look_up(const std::string& ref, Seconds unanswered_since) {
    queue.look_up(ref, LookupDetail::phase, unanswered_since, out.now() + kPatience,
                  [this, ref](const LookupResult& result) {
                    outcomes[ref] = result.outcome;
                    if (result.phase)
                      phases[ref] = *result.phase;
                  });
  }
  void run_until(Seconds end) {
    constexpr Seconds kStep = 0.01;
    for (Seconds now = out.now(); now < end; now += kStep) {
      out.set_now(now);
      out.run_timers();
      answer_requests();
    }
  }
  void answer_requests() {
    for (auto actions = out.drain(); !actions.empty(); actions = out.drain()) {
      for (const ports::Action& action : actions) {
        const auto& call = std::get<ports::Call>(action);
        ports::Reply reply;
        call.method == "POST" ? compare(call, reply) : read(call, reply);
        out.complete(call.id, reply);
      }
    }
  }
  void compare(const ports::Call& call, ports::Reply& reply) {
    std::vector<std::string> compared;
    wire::Value failed = wire::Value::array();
    for (const wire::Value& condition : call.body["if"]) {
      const auto key = condition["path"].get<std::string>();
      compared.push_back(key);
      if (keys.contains(key))
        failed.push_back(key);
    }
    comparisons.push_back(compared);
    reply.status = failed.empty() ? 200 : 409;
    reply.body = failed.empty() ? wire::Value{{"ledgerRev", 1}} : wire::Value{{"failed", failed}};
    if (conflicts_without_keys)
      reply.status = 409, reply.body = wire::Value::object();
  }
  void read(const ports::Call& call, ports::Reply& reply) {
    ++reads;
    const auto key = keys.find(call.path.substr(std::string("/kv/").size()));
    reply.status = key == keys.end() ? 404 : 200;
    if (key != keys.end())
      reply.body = {{"path", key->first}, {"data", key->second}, {"stamp", 1}};
  }

  ports::Outbox out;
  settings::Settings settings;
  store::StateClient client{out, settings};
  PeerDirectory peers{out, settings};
  BatchIndexFollower batches{out, client, peers, false};
  JobLookup lookup{out,
                   client,
                   batches,
                   {[] { return 1; },
                    [](const std::string&, const auto&) {
                    }}};
  QueryLookupQueue queue{out, client, settings, batches, lookup};
  std::map<std::string, wire::Value> keys;  // of the state service
  std::map<std::string, LookupOutcome> outcomes;
  std::map<std::string, wire::Phase> phases;
  std::vector<std::vector<std::string>> comparisons;
  int reads = 0;
  bool conflicts_without_keys = false;  // comparisons fail without naming a key
};

std::string ref_of(int number) {
  return std::string("req-").append(std::to_string(number));
}

TEST_F(QueryLookupQueueTest, ManyMoreQueriesThanTheRequestBudgetAllowsAreAnswered) {
  constexpr int kJobs = 200;  // in one second, some twenty times what the budget allows one by one
  for (int n = 0; n < kJobs; ++n) {
    keys[jobs::kLiveJobPrefix + ref_of(n)] = true;
    look_up(ref_of(n), 0);
  }
  run_until(kPatience);
  const auto found = std::count_if(outcomes.begin(), outcomes.end(),
                                   [](const auto& entry) { return entry.second == LookupOutcome::found; });
  EXPECT_EQ(found, kJobs);
  EXPECT_LE(static_cast<double>(comparisons.size()), kRequestsPerS) << "more requests than the budget";
}

TEST_F(QueryLookupQueueTest, JobsThatWereUnansweredForLongestAreComparedFirst) {
  constexpr int kJobs = 300;
  for (int n = 0; n < kJobs; ++n)
    keys[jobs::kLiveJobPrefix + ref_of(n)] = true;
  for (int n = 0; n < kJobs; ++n)
    look_up(ref_of(n), -n);  // a later one has been unanswered for longer
  run_until(kPatience);
  std::vector<std::string> order;
  for (std::size_t i = 2; i < comparisons.size(); ++i)  // the first two left before the others had come
    order.insert(order.end(), comparisons[i].begin(), comparisons[i].end());
  const auto position = [&order](int n) {
    return std::find(order.begin(), order.end(), jobs::kLiveJobPrefix + ref_of(n)) - order.begin();
  };
  ASSERT_LT(position(kJobs - 1), static_cast<std::ptrdiff_t>(order.size()));
  EXPECT_LT(position(kJobs - 1), position(kJobs / 2));
  EXPECT_LT(position(kJobs / 2), position(kJobs / 4));
}

TEST_F(QueryLookupQueueTest, JobsOfOneComparisonGetTheirOwnResults) {
  keys[jobs::kLiveJobPrefix + ref_of(1)] = true;
  keys[jobs::kFinalStatePrefix + ref_of(2)] = {{"phase", "done"}, {"tasks", 4}};
  run_until(0.05);
  for (int n : {7, 8, 1, 2, 2, 3})  // the first two leave alone
    look_up(ref_of(n), n);
  run_until(kPatience);
  EXPECT_EQ(outcomes[ref_of(1)], LookupOutcome::found);
  EXPECT_EQ(phases[ref_of(1)], wire::Phase::queued);
  EXPECT_EQ(outcomes[ref_of(2)], LookupOutcome::found);
  EXPECT_EQ(phases[ref_of(2)], wire::Phase::done);
  // The index of job batches was never read here, so no job may be called absent.
  EXPECT_EQ(outcomes[ref_of(3)], LookupOutcome::unavailable);
}

TEST_F(QueryLookupQueueTest, AComparisonThatFailsWithoutNamingAKeyDoesNotMakeAJobAbsent) {
  conflicts_without_keys = true;
  look_up(ref_of(1), 0);
  run_until(0.05);
  EXPECT_EQ(outcomes[ref_of(1)], LookupOutcome::unavailable);
  EXPECT_EQ(reads, 0) << "the job was taken for one without a key, and looked for in the batches";
}

TEST_F(QueryLookupQueueTest, LookupsAreGivenUpWhenTheirUsersHaveLeft) {
  settings.state_requests_per_s = 0;
  client.set_leading(false);
  for (int n = 0; n < 100; ++n)
    look_up(ref_of(n), 0);
  run_until(2 * kPatience);
  EXPECT_EQ(queue.waiting_count(), 0U);
  EXPECT_GT(queue.counts().expired, 0U);
  EXPECT_EQ(outcomes[ref_of(99)], LookupOutcome::throttled);
}

}  // namespace
}  // namespace wingtrail::controller
