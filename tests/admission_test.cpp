// Unit tests of the parts of admission: the fair queue, first attempts, budget shares, job batches and their
// index, and the creation queue. Floods of submissions with several controllers: overload_test.cpp.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cmath>
#include <map>
#include <pcg_random.hpp>
#include <queue>
#include <set>

#include "admission/batch_index.hpp"
#include "admission/budget_shares.hpp"
#include "admission/creation_queue.hpp"
#include "admission/fair_queue.hpp"
#include "controller/controller.hpp"
#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::admission {
namespace {

using wire::Value;

// Uniform in [0, 1).
double uniform(pcg32& rng) {
  return std::ldexp(static_cast<double>(rng()), -32);
}

// ---------------------------------------------------------------- fair queue

// Reference: divides `capacity` by weight, up to each demand, and gives what one leaves unused to the others.
std::vector<double> weighted_max_min(const std::vector<double>& weights, const std::vector<double>& demands,
                                     double capacity) {
  std::vector<double> shares(demands.size(), 0);
  for (int round = 0; round < 50; ++round) {
    double unsatisfied_weight = 0;
    for (std::size_t i = 0; i < demands.size(); ++i)
      unsatisfied_weight += shares[i] < demands[i] - 1e-9 ? weights[i] : 0;
    if (unsatisfied_weight <= 0 || capacity < 1e-9)
      break;
    double distributed = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (shares[i] >= demands[i] - 1e-9)
        continue;
      const double added = std::min(demands[i] - shares[i], capacity * weights[i] / unsatisfied_weight);
      shares[i] += added;
      distributed += added;
    }
    capacity -= distributed;
  }
  return shares;
}

TEST(FairQueue, ThroughputOfTeamsIsWeightedMaxMinFair) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    pcg32 rng(seed);
    const std::size_t teams = 2 + rng(4);
    std::vector<double> weights, rates;
    for (std::size_t t = 0; t < teams; ++t)
      weights.push_back(1 + rng(8));
    for (std::size_t t = 0; t < teams; ++t)
      rates.push_back(rng(3) == 0 ? 60 : 2 + rng(12));  // a second
    constexpr double kCapacity = 40;                    // per second
    FairQueue queue(weights);
    std::map<FairQueue::Id, std::size_t> team_of;
    std::vector<double> served(teams);
    FairQueue::Id last_id = 0;
    constexpr int kSeconds = 200;
    for (int s = 0; s < kSeconds; ++s) {
      for (std::size_t t = 0; t < teams; ++t) {
        for (int n = 0; n < static_cast<int>(rates[t]); ++n) {
          team_of[++last_id] = t;
          queue.push(jobs::TeamIndex(t), jobs::ClassIndex(rng(3)), last_id, s);
        }
      }
      for (int n = 0; n < kCapacity; ++n) {
        if (const auto id = queue.pop())
          served[team_of[*id]] += 1;
      }
    }
    const auto expected = weighted_max_min(weights, rates, kCapacity);
    for (std::size_t t = 0; t < teams; ++t)
      EXPECT_NEAR(served[t] / kSeconds, expected[t], 0.1 * expected[t])
          << "creations served per second, seed " << seed << ", team " << t;
  }
}

TEST(FairQueue, AFloodDelaysOnlyItsOwnClass) {
  FairQueue queue({1, 1});
  for (FairQueue::Id id = 1; id <= 1000; ++id)
    queue.push(jobs::TeamIndex(0), jobs::ClassIndex(0), id, 1);
  EXPECT_NEAR(queue.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(0), 2), 1000, 1);
  EXPECT_LE(queue.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(1), 2), 1) << "another class of the team";
  EXPECT_LE(queue.jobs_ahead(jobs::TeamIndex(1), jobs::ClassIndex(0), 2), 1) << "another team";
  queue.push(jobs::TeamIndex(0), jobs::ClassIndex(1), 2001, 2);
  queue.push(jobs::TeamIndex(1), jobs::ClassIndex(0), 2002, 2);
  std::set<FairQueue::Id> first;
  for (int n = 0; n < 4; ++n)
    first.insert(*queue.pop());
  EXPECT_TRUE(first.contains(2001) && first.contains(2002))
      << "the other class and the other team must be among the first four served";
}

TEST(FairQueue, TheOldestFirstAttemptOfAClassIsServedFirst) {
  FairQueue queue({1});
  for (FairQueue::Id id = 1; id <= 3; ++id)
    queue.push(jobs::TeamIndex(0), jobs::ClassIndex(0), id, 10 + static_cast<double>(id));
  const auto id = queue.pop();
  EXPECT_EQ(id, 1U);
  queue.push(jobs::TeamIndex(0), jobs::ClassIndex(0), *id, 11);  // its creation was not sent
  queue.push(jobs::TeamIndex(0), jobs::ClassIndex(0), 9, 4);     // a retry
  EXPECT_EQ(queue.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(0), 5), 1);
  EXPECT_EQ(queue.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(0), 11.5), 2);
  EXPECT_EQ(queue.pop(), 9U);
  EXPECT_EQ(queue.pop(), 1U);
  queue.remove_if([](FairQueue::Id waiting) { return waiting == 2; });
  EXPECT_EQ(queue.size(), 1U);
  EXPECT_EQ(queue.pop(), 3U);
}

TEST(FairQueue, AnIdleTeamGainsNoCredit) {
  FairQueue queue({1, 1});
  FairQueue::Id id = 0;
  for (int n = 0; n < 500; ++n)
    queue.push(jobs::TeamIndex(0), jobs::ClassIndex(0), ++id, 0);
  for (int n = 0; n < 400; ++n)
    queue.pop();
  for (int n = 0; n < 100; ++n)
    queue.push(jobs::TeamIndex(1), jobs::ClassIndex(0), 10'000 + n, 1);
  int served_late_team = 0;
  for (int n = 0; n < 100; ++n)
    served_late_team += *queue.pop() >= 10'000;
  EXPECT_NEAR(served_late_team, 50, 2) << "a team that was idle gets its share from now on, and no more";
}

// ---------------------------------------------------------------- first attempts

TEST(FirstAttempts, AllControllersKnowAFirstAttemptWithinOneMessageInterval) {
  pcg32 rng(3);
  std::vector<FirstAttempts> controllers(5);
  std::map<std::string, double> expected;
  for (double t = 0; t < 60; t += 0.1) {
    for (int k = 0; k < 3; ++k) {
      const std::string ref = "req-" + std::to_string(rng(400));
      FirstAttempts& controller = controllers[rng(5)];
      const auto known = controller.first_attempt(ref);
      // For one message interval after the first deferral, other controllers may not know of it.
      if (expected.contains(ref) && expected[ref] < t - 1.05) {
        ASSERT_TRUE(known) << "first attempt of " << ref << " not known at time " << t;
        EXPECT_NEAR(*known, expected[ref], 0.01) << ref;
      }
      expected.try_emplace(ref, t);
      controller.record_deferral(ref, std::min(t, known.value_or(t)), t);
    }
    if (std::fmod(t + 1e-9, 1.0) > 0.05)
      continue;
    for (std::size_t from = 0; from < 5; ++from) {
      const std::string encoded = controllers[from].encode_recent(t);
      for (std::size_t to = 0; to < 5; ++to) {
        if (from != to)
          controllers[to].merge(encoded, t);
      }
    }
  }
}

TEST(FirstAttempts, EntriesExpireAndTheirNumberIsLimited) {
  FirstAttempts attempts;
  for (int n = 0; n < 50'000; ++n)
    attempts.record_deferral("req-" + std::to_string(n), n * 0.001, n * 0.001);
  EXPECT_LE(attempts.size(), 20'000U);
  EXPECT_LE(attempts.encode_recent(50).size(), 12'000U);
  attempts.record_deferral("req-x", 500, 500);
  EXPECT_EQ(attempts.size(), 1U);
  attempts.merge("not twelve", 500);
  EXPECT_EQ(attempts.size(), 1U) << "a message shorter than one entry must be ignored";
}

// ---------------------------------------------------------------- budget shares

// Controllers with drifting clocks, whose messages may be lost, delayed or duplicated, and whose leaders may
// end, or stop for a while and continue when the next one leads. The shares in use must never exceed the
// whole budget, and must use nearly all of it in a period without faults.
struct SimulatedControllers {
  explicit SimulatedControllers(std::uint64_t seed, std::size_t count) : rng(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      controllers.push_back({BudgetShares(count), 1 + (uniform(rng) - 0.5) * 0.001, 1000 * uniform(rng)});
    }
  }
  struct SimulatedController {
    BudgetShares shares;
    double clock_rate;
    double clock_offset;
    bool leads = false;
    double lease_expires_at = -1;  // leader lease, on its own clock
  };
  double clock(const SimulatedController& controller) const {
    return controller.clock_offset + now * controller.clock_rate;
  }
  bool is_leader(const SimulatedController& controller) const {
    return controller.leads && clock(controller) < controller.lease_expires_at;
  }
  double in_use() const {
    double sum = 0;
    for (const SimulatedController& controller : controllers)
      sum += controller.shares.own_share(clock(controller), is_leader(controller));
    return sum;
  }
  pcg32 rng;
  double now = 0;  // true time
  std::vector<SimulatedController> controllers;
};

TEST(BudgetShares, SharesInUseNeverExceedTheBudgetWhicheverControllersFail) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const std::size_t count = seed % 2 == 0 ? 5 : 3;
    SimulatedControllers simulation(seed, count);
    std::multimap<double, std::function<void()>> events;
    constexpr double kLease = 3;
    double key_expires_at = -1;  // of the leader's key in the state service, in true time
    std::size_t holder = 0;
    double most_used = 0;
    double most_used_without_faults = 0;
    for (simulation.now = 0; simulation.now < 200; simulation.now += 0.05) {
      while (!events.empty() && events.begin()->first <= simulation.now) {
        auto event = events.extract(events.begin());
        event.mapped()();
      }
      // Once the key has expired, a controller is elected. Its lease counts from a time before its request.
      if (simulation.now >= key_expires_at) {
        holder = simulation.rng(static_cast<std::uint32_t>(count));
        for (auto& controller : simulation.controllers)
          controller.leads = &controller == &simulation.controllers[holder] ||
                             (controller.leads && simulation.is_leader(controller));
        auto& leader = simulation.controllers[holder];
        leader.lease_expires_at = simulation.clock(leader) + kLease * 0.999 - 0.05;
        leader.shares.begin_leadership(simulation.clock(leader));
        key_expires_at = simulation.now + kLease;
      }
      const bool with_faults = simulation.now < 150;
      // The leader sometimes stops renewing for a while, as if it were stopped or cut off from the network.
      if (!with_faults || uniform(simulation.rng) < 0.9 || std::fmod(simulation.now, 20) > 8) {
        auto& leader = simulation.controllers[holder];
        leader.lease_expires_at = simulation.clock(leader) + kLease * 0.999 - 0.05;
        key_expires_at = simulation.now + kLease;
      }
      if (with_faults && uniform(simulation.rng) < 0.002)
        key_expires_at = simulation.now + kLease;  // a renewal whose reply the leader did not get
      if (with_faults && std::fmod(simulation.now, 20) < 0.05)
        key_expires_at = std::min(key_expires_at, simulation.now + 3);
      for (std::size_t i = 0; i < count; ++i) {
        if (uniform(simulation.rng) > 0.05)
          continue;  // each controller sends its peers one message a second
        const double requested_at = simulation.clock(simulation.controllers[i]);
        const double requested = uniform(simulation.rng) < 0.5 ? uniform(simulation.rng) : 0;
        const double request_delay = with_faults ? uniform(simulation.rng) * 0.5 : 0.001;
        const double reply_delay = with_faults ? uniform(simulation.rng) * 2.5 : 0.001;
        if (with_faults && uniform(simulation.rng) < 0.2)
          continue;
        for (std::size_t k = 0; k < count; ++k) {
          if (k == i)
            continue;
          events.emplace(simulation.now + request_delay, [&, i, k, requested_at, requested, reply_delay] {
            auto& leader = simulation.controllers[k];
            if (!simulation.is_leader(leader))
              return;
            const double lent = leader.shares.lend(i < k ? i : i - 1, requested, simulation.clock(leader));
            for (int copies = 0; copies < 2; ++copies)
              events.emplace(simulation.now + reply_delay * (1 + copies),
                             [&simulation, i, requested_at, lent] {
                               simulation.controllers[i].shares.on_loan(lent, requested_at);
                             });
          });
        }
      }
      most_used = std::max(most_used, simulation.in_use());
      if (simulation.now > 160)
        most_used_without_faults = std::max(most_used_without_faults, simulation.in_use());
    }
    EXPECT_LE(most_used, 1 + 1e-9) << "sum of the shares in use, seed " << seed;
    EXPECT_GT(most_used_without_faults, 0.95) << "sum of the shares in use, seed " << seed;
  }
}

TEST(BudgetShares, TheLoanOfADeadControllerReturnsToTheLeaderWithinTwoSeconds) {
  BudgetShares leader(3);
  leader.begin_leadership(0);
  const double without_loans = leader.own_share(10, true);
  EXPECT_NEAR(leader.lend(0, 0.15, 10), 0.15, 1e-9);
  EXPECT_NEAR(leader.own_share(10, true), without_loans - 0.15, 1e-9);
  EXPECT_NEAR(leader.own_share(12, true), without_loans, 1e-9);
}

TEST(BudgetShares, RequestsAboveTheLimitAreGrantedInProportion) {
  BudgetShares leader(3);
  leader.begin_leadership(0);
  leader.lend(0, 0.8, 10);
  EXPECT_NEAR(leader.lend(1, 0.4, 10.1), 0, 1e-9) << "all of it is lent until the first loan is renewed";
  EXPECT_NEAR(leader.lend(0, 0.8, 12), BudgetShares::kMaxLent * 2 / 3, 1e-9);
  EXPECT_NEAR(leader.lend(1, 0.4, 12), BudgetShares::kMaxLent / 3, 1e-9);
}

TEST(BudgetShares, AReplyToAnEarlierRequestIsIgnored) {
  BudgetShares follower(3);
  follower.on_loan(0.3, 10);
  follower.on_loan(0.1, 9);
  EXPECT_NEAR(follower.own_share(11, false), follower.minimum_share() + 0.3, 1e-9);
  EXPECT_NEAR(follower.own_share(11.9, false), follower.minimum_share(), 1e-9);
}

// ---------------------------------------------------------------- job batches and their index

Value make_batch(const std::vector<std::string>& refs) {
  Value records = Value::array();
  for (const std::string& ref : refs)
    records.push_back({{"ref", ref}});
  return records;
}

// Batches are created and deleted in random order, and some jobs are in several. The index and the leader's
// JobBatches are compared with plain sets.
TEST(JobBatches, IndexAndLeadersRecordAgreeWithAModelOfPlainSets) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 rng(seed);
    BatchIndex index;
    jobs::JobBatches batches;
    std::map<std::string, std::set<std::string>> existing;      // batches: all their jobs
    std::map<std::string, std::set<jobs::JobIndex>> live_jobs;  // batches: their live jobs
    std::set<jobs::JobIndex> over;
    std::set<std::string> empty;  // batches without a live job
    double now = 0;
    for (int n = 0; n < 400; ++n, now += 0.1) {
      if (rng(3) > 0) {
        const std::string key = jobs::kBatchPrefix + std::string("a/1/") + std::to_string(n);
        std::vector<std::string> refs;
        for (std::uint32_t k = 0, count = 1 + rng(5); k < count; ++k) {
          const jobs::JobIndex job{rng(300)};
          refs.push_back("req-" + std::to_string(job));
          existing[key].insert(refs.back());
          if (over.contains(job))
            continue;
          live_jobs[key].insert(job);
          batches.add_live_job(key, job);
        }
        index.add_batch(key, make_batch(refs));
        index.add_batch(key, make_batch(refs));  // the same change may be read twice
        batches.on_read(key);
        if (live_jobs[key].empty())
          empty.insert(key), live_jobs.erase(key);
      } else {
        const jobs::JobIndex job{rng(300)};
        over.insert(job);
        batches.on_job_over(job);
        for (auto it = live_jobs.begin(); it != live_jobs.end();) {
          it->second.erase(job);
          if (it->second.empty()) {
            empty.insert(it->first);
            it = live_jobs.erase(it);
          } else {
            ++it;
          }
        }
      }
      for (const std::string& key : batches.take_empty()) {
        EXPECT_EQ(empty.erase(key), 1U) << key << " has a live job";
        const auto deleted = existing.extract(key);
        index.remove_batch(key, now);
        for (const auto& ref : deleted.mapped())
          EXPECT_TRUE(index.recently_removed(ref)) << ref;
      }
      EXPECT_TRUE(empty.empty()) << "take_empty() must return every batch without a live job";
      index.advance_to(static_cast<std::uint64_t>(n), now);
      EXPECT_EQ(index.batch_count(), existing.size());
      EXPECT_EQ(batches.size(), live_jobs.size());
    }
    for (jobs::JobIndex job{0}; job < 300; ++job) {
      const std::string ref = "req-" + std::to_string(job);
      const bool found = std::any_of(existing.begin(), existing.end(),
                                     [&ref](const auto& batch) { return batch.second.contains(ref); });
      EXPECT_EQ(index.find(ref).has_value(), found) << ref;
      if (found) {
        EXPECT_TRUE(existing.at(*index.find(ref)).contains(ref));
      }
      const bool live = std::any_of(live_jobs.begin(), live_jobs.end(),
                                    [job](const auto& batch) { return batch.second.contains(job); });
      EXPECT_EQ(batches.contains(job), live) << ref;
    }
  }
}

// The leader may know only one job of a batch. When that job is over, the batch must not be deleted, since it
// is the only record of the others (found by seed 400310 of random_fault_search).
TEST(JobBatches, ABatchThatWasNotFullyReadIsNotDeleted) {
  jobs::JobBatches batches;
  batches.add_live_job("j/sheet/a/1/1", jobs::JobIndex(7));
  batches.on_job_over(jobs::JobIndex(7));
  EXPECT_TRUE(batches.take_empty().empty());
  EXPECT_FALSE(batches.fully_read("j/sheet/a/1/1"));
  batches.add_live_job("j/sheet/a/1/1", jobs::JobIndex(8));
  batches.on_read("j/sheet/a/1/1");
  EXPECT_TRUE(batches.take_empty().empty());
  EXPECT_TRUE(batches.fully_read("j/sheet/a/1/1"));
  batches.on_job_over(jobs::JobIndex(8));
  EXPECT_EQ(batches.take_empty().size(), 1U);
}

// ---------------------------------------------------------------- creation queue

// A creation queue with its state client. The test replies to the calls and advances the time.
struct CreationQueueFixture {
  static settings::Settings make_settings(double writes_per_s) {
    settings::Settings made;
    made.node = "node-0";
    made.tunables.fair_admission = 1;
    made.state_writes_per_s = writes_per_s;
    made.state_requests_per_s = 150;
    made.teams = {{"red", 30, 0, 0, 0}, {"blue", 10, 0, 0, 0}};
    return made;
  }
  explicit CreationQueueFixture(double writes_per_s = 35) : settings(make_settings(writes_per_s)) {
    spdlog::set_level(spdlog::level::off);
    store.set_share_source([this] { return store::StateClient::BudgetShare{share, share, fixed_shares}; });
    queue.batches_allowed = [this] {
      return batches_allowed;
    };
    queue.fixed_shares = [this] {
      return fixed_shares;
    };
  }
  void submit(int n, const std::string& team = "red", const std::string& job_class = "web") {
    wire::JobSpec spec;
    spec.ref = "req-" + std::to_string(n);
    spec.team = team;
    spec.job_class = job_class;
    spec.image = "img";
    spec.task_resources = {2, 0, 2};
    queue.enqueue(spec, wire::job_record(spec, 0),
                  [this, n](const CreationQueue::Result& result) { results[n].push_back(result); });
  }
  std::vector<ports::Call> calls() {
    std::vector<ports::Call> drained;
    for (auto& action : outbox.drain())
      drained.push_back(std::move(std::get<ports::Call>(action)));
    return drained;
  }
  void reply(const ports::Call& call, int status, Value body = Value::object()) {
    ports::Reply call_reply;
    call_reply.status = status;
    call_reply.body = std::move(body);
    outbox.complete(call.id, call_reply);
  }
  void advance(double seconds) {
    outbox.set_now(outbox.now() + seconds);
    outbox.run_timers();
  }
  static std::size_t job_count(const ports::Call& call) {
    const Value& put = call.body["apply"][0];
    return jobs::is_batch_key(put["put"].get<std::string>()) ? put["data"].size() : 1;
  }

  settings::Settings settings;
  double share = 1;
  bool batches_allowed = true;
  bool fixed_shares = false;
  ports::Outbox outbox;
  store::StateClient store{outbox, settings};
  CreationQueue queue{outbox, store, settings, "7"};
  std::map<int, std::vector<CreationQueue::Result>> results;
};

TEST(CreationQueue, ASingleJobGetsItsOwnKeyAndJobsThatArriveMeanwhileShareABatch) {
  CreationQueueFixture fixture;
  for (int n = 0; n < 10; ++n)
    fixture.submit(n);
  auto first = fixture.calls();
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].body["apply"][0]["put"], "j/req-0");
  fixture.reply(first[0], 200, {{"ledgerRev", 5}});
  ASSERT_EQ(fixture.results[0].size(), 1U);
  EXPECT_EQ(fixture.results[0][0].outcome, CreationQueue::Outcome::created);
  EXPECT_EQ(fixture.results[0][0].revision, 5U);
  auto second = fixture.calls();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(CreationQueueFixture::job_count(second[0]), 9U);
  EXPECT_EQ(second[0].body["apply"].size(), 1U) << "a batch is one write";
  EXPECT_EQ(second[0].body["if"].size(), 19U) << "two conditions for each job, and one for the batch key";
  fixture.reply(second[0], 200, {{"ledgerRev", 6}});
  for (int n = 1; n < 10; ++n)
    EXPECT_EQ(fixture.results[n][0].batch_key, second[0].body["apply"][0]["put"]);
}

TEST(CreationQueue, ABatchKeepsToTheLimitsOfATransaction) {
  CreationQueueFixture fixture;
  for (int n = 0; n < 25; ++n)
    fixture.submit(n);
  fixture.reply(fixture.calls()[0], 200, {{"ledgerRev", 1}});
  const auto next = fixture.calls();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_LE(next[0].body["if"].size(), 4U * 12);
  EXPECT_LE(next[0].body["apply"][0]["data"].dump().size(), fixture.settings.value_bytes());
  EXPECT_GT(CreationQueueFixture::job_count(next[0]), 10U);
}

TEST(CreationQueue, JobsThatExistDoNotDelayTheOthersOfTheirBatch) {
  CreationQueueFixture fixture;
  for (int n = 0; n < 6; ++n)
    fixture.submit(n);
  fixture.reply(fixture.calls()[0], 200, {{"ledgerRev", 1}});
  auto batch = fixture.calls();
  fixture.reply(batch[0], 409, {{"failed", {"f/req-2", "j/req-4"}}, {"ledgerRev", 9}});
  EXPECT_EQ(fixture.results[2][0].outcome, CreationQueue::Outcome::exists);
  EXPECT_EQ(fixture.results[4][0].outcome, CreationQueue::Outcome::exists);
  auto retried = fixture.calls();
  ASSERT_EQ(retried.size(), 1U);
  EXPECT_EQ(CreationQueueFixture::job_count(retried[0]), 3U);
  EXPECT_NE(retried[0].body["apply"][0]["put"], batch[0].body["apply"][0]["put"])
      << "batch keys must not be reused";
  fixture.reply(retried[0], 200, {{"ledgerRev", 10}});
  for (const int n : {1, 3, 5})
    EXPECT_EQ(fixture.results[n][0].outcome, CreationQueue::Outcome::created);
}

TEST(CreationQueue, ARetryGetsTheResultOfThePendingCreation) {
  CreationQueueFixture fixture;
  for (int n = 0; n < 4; ++n)
    fixture.submit(n);
  fixture.submit(3);
  fixture.submit(0);
  auto calls = fixture.calls();
  fixture.reply(calls[0], 200, {{"ledgerRev", 1}});
  EXPECT_EQ(fixture.results[0].size(), 2U);
  calls = fixture.calls();
  EXPECT_EQ(CreationQueueFixture::job_count(calls[0]), 3U);
  fixture.reply(calls[0], 200, {{"ledgerRev", 2}});
  EXPECT_EQ(fixture.results[3].size(), 2U);
}

TEST(CreationQueue, WithoutBatchSupportOfAllControllersEachJobGetsItsOwnKey) {
  CreationQueueFixture fixture;
  fixture.batches_allowed = false;
  for (int n = 0; n < 5; ++n)
    fixture.submit(n);
  for (int n = 0; n < 5; ++n) {
    auto calls = fixture.calls();
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_FALSE(jobs::is_batch_key(calls[0].body["apply"][0]["put"].get<std::string>()));
    fixture.reply(calls[0], 200, {{"ledgerRev", n + 1}});
  }
}

// During an upgrade a peer may run a version that does not support budget shares.
TEST(CreationQueue, BesideAPeerWithoutBudgetSharesCreationsAreSentOnArrival) {
  CreationQueueFixture fixture;
  fixture.fixed_shares = true;
  fixture.batches_allowed = false;
  fixture.share = 0.25;
  for (int n = 0; n < 25; ++n)
    fixture.submit(n);
  const auto calls = fixture.calls();
  EXPECT_GT(calls.size(), 20U) << "creations are sent on arrival, exceeding the budget for a while";
  for (const auto& call : calls)
    fixture.reply(call, 200, {{"ledgerRev", 1}});
  std::size_t result_count = 0;
  for (const auto& [n, results] : fixture.results)
    result_count += results.size();
  EXPECT_EQ(result_count, 25U);
}

TEST(CreationQueue, ABatchRefusedAsMalformedIsSentAgainInSmallerBatches) {
  CreationQueueFixture fixture;
  for (int n = 0; n < 9; ++n)
    fixture.submit(n);
  fixture.reply(fixture.calls()[0], 200, {{"ledgerRev", 1}});
  fixture.reply(fixture.calls()[0], 400);
  const auto next = fixture.calls();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(CreationQueueFixture::job_count(next[0]), 4U);
  EXPECT_TRUE(fixture.results[1].empty());
}

TEST(CreationQueue, AFailedOrMissingReplyIsReportedAsUnavailable) {
  CreationQueueFixture fixture;
  for (int n = 0; n < 4; ++n)
    fixture.submit(n);
  fixture.reply(fixture.calls()[0], 503);
  EXPECT_EQ(fixture.results[0][0].outcome, CreationQueue::Outcome::unavailable);
  fixture.reply(fixture.calls()[0], 0);
  for (int n = 1; n < 4; ++n)
    EXPECT_EQ(fixture.results[n][0].outcome, CreationQueue::Outcome::unavailable);
}

// One class submits forty times what the budget allows. Jobs of other classes must be created at once. Jobs
// that cannot be created within a second must be deferred at once, with the time until their turn, and no
// submission may be answered late.
TEST(CreationQueue, AFloodIsDeferredAndOtherClassesAreNot) {
  for (const bool batches_allowed : {true, false}) {
    SCOPED_TRACE(batches_allowed ? "with batches" : "without batches");
    CreationQueueFixture fixture(batches_allowed ? 5 : 35);
    fixture.batches_allowed = batches_allowed;
    pcg32 rng(7);
    int flood_submitted = 0;
    int calm_submitted = 0;
    int calm_created = 0;
    int flood_deferred = 0;
    constexpr int kFirstCalmJob = 1'000'000;
    std::map<int, double> submitted_at;
    double longest_wait = 0;
    Seconds total_retry_after_s = 0;
    std::vector<std::pair<double, ports::Call>> in_flight;
    for (double t = 0; t < 20; t += 0.01) {
      fixture.advance(0.01);
      for (int k = 0; k < 12; ++k) {
        submitted_at[++flood_submitted] = t;
        fixture.submit(flood_submitted, "red", "flood");
      }
      if (rng(50) == 0) {
        submitted_at[kFirstCalmJob + ++calm_submitted] = t;
        fixture.submit(kFirstCalmJob + calm_submitted, "red", "calm");
      }
      for (auto& call : fixture.calls())
        in_flight.emplace_back(t + 0.01, std::move(call));
      while (!in_flight.empty() && in_flight.front().first <= t) {
        fixture.reply(in_flight.front().second, 200, {{"ledgerRev", 1}});
        in_flight.erase(in_flight.begin());
      }
      for (auto& [job, results] : fixture.results) {
        for (const auto& result : results) {
          longest_wait = std::max(longest_wait, t - submitted_at[job]);
          if (job > kFirstCalmJob)
            calm_created += result.outcome == CreationQueue::Outcome::created;
          if (job <= kFirstCalmJob && result.outcome == CreationQueue::Outcome::deferred) {
            ++flood_deferred;
            total_retry_after_s += result.retry_after_s;
          }
        }
      }
      fixture.results.clear();
    }
    EXPECT_GE(calm_created, calm_submitted - 2);
    EXPECT_GT(flood_deferred, flood_submitted / 2);
    EXPECT_GE(total_retry_after_s / flood_deferred, 1);
    EXPECT_LE(longest_wait, 2.2);
  }
}

TEST(CreationQueue, WritesStayWithinTheBudgetUnderAnyLoad) {
  CreationQueueFixture fixture(20);
  fixture.share = 0.3;
  int sent = 0;
  for (double t = 0; t < 30; t += 0.01) {
    fixture.advance(0.01);
    for (int k = 0; k < 3; ++k)
      fixture.submit(static_cast<int>(t * 1000) + k);
    for (const auto& call : fixture.calls()) {
      ++sent;
      fixture.reply(call, 200, {{"ledgerRev", 1}});
    }
  }
  EXPECT_LE(sent, 20 * 0.3 * 0.9 * 31 + 1);
  EXPECT_GT(sent, 20 * 0.3 * 0.9 * 15);
}

// ---------------------------------------------------------------- slow leader

// A cancellation waits for its tasks, so the leader replies to it late. As long as the leader exchanges
// messages with its peers it counts as reachable, and queries are still forwarded to it. Otherwise each query
// becomes a fresh read of the state service (in a flood of cancellations of cub-meterlink-fleet: 20,450
// replies of 429).
TEST(ControllerTest, QueriesAreForwardedToALeaderThatIsLateWithOneRequest) {
  spdlog::set_level(spdlog::level::off);
  settings::Settings settings;
  settings.node = "node-0";
  settings.zone = "z0";
  settings.zones = {"z0"};
  settings.peers = {{"node-1", "z0", {}}};
  settings.tunables.fair_admission = 1;
  controller::Controller controller(settings, 7);
  double now = 100;
  controller.start(now);
  std::string forwarded_path;
  const auto handle_actions = [&] {
    forwarded_path.clear();
    for (auto actions = controller.drain(); !actions.empty(); actions = controller.drain()) {
      for (auto& action : actions) {
        const auto* call = std::get_if<ports::Call>(&action);
        if (!call || call->target == ports::Target::cloud)
          continue;
        ports::Reply reply;
        if (call->target == ports::Target::state) {
          reply.status = 503;
        } else if (call->frame->path.empty()) {
          reply.status = 200;
          reply.frame = peer::Frame{};
          reply.frame->node = "node-1";
          reply.frame->leader = "node-1";
          reply.frame->leader_fencing_token = 5;
          reply.frame->answers_heartbeats = true;
          reply.frame->state_service_healthy = true;
          reply.frame->supports_batches = true;
          reply.frame->level = peer::kProtocolLevel;
        } else {
          forwarded_path = call->frame->path;
          continue;
        }
        controller.on_reply(now, call->id, reply);
      }
    }
  };
  std::uint64_t cancel_call = 0;
  for (int n = 0; n < 30; ++n, now += 0.1)
    controller.tick(now), handle_actions();
  controller.on_request(now, {1, "POST", "/api/jobs/req-000001/abort", ""});
  for (auto& action : controller.drain()) {
    if (const auto* call = std::get_if<ports::Call>(&action); call && call->target == ports::Target::peer)
      cancel_call = call->id;
  }
  ASSERT_NE(cancel_call, 0U) << "the cancellation must be forwarded to the leader";
  for (int n = 0; n < 30; ++n, now += 0.1)
    controller.tick(now), handle_actions();
  controller.on_reply(now, cancel_call, {});
  handle_actions();
  controller.on_request(now, {2, "GET", "/api/jobs/req-000002", ""});
  handle_actions();
  EXPECT_EQ(forwarded_path, "/api/jobs/req-000002") << "the query must be forwarded to the leader";
}

}  // namespace
}  // namespace wingtrail::admission
