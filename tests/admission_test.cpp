// Admission by one mind: whose turn it is, the shares of one budget, sheets and the index of them, creations
// that gather, each by itself. Floods with several controllers and failures: flood_test.cpp.
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

double unit(pcg32& rng) {
  return std::ldexp(static_cast<double>(rng()), -32);
}

// ---------------------------------------------------------------- turns

// A plain central allocator that sees all: what each may have of `room`, by weight, and what one leaves over
// goes to the others.
std::vector<double> fair(const std::vector<double>& weights, const std::vector<double>& wants, double room) {
  std::vector<double> got(wants.size(), 0);
  for (int round = 0; round < 50; ++round) {
    double hungry = 0;
    for (std::size_t i = 0; i < wants.size(); ++i)
      hungry += got[i] < wants[i] - 1e-9 ? weights[i] : 0;
    if (hungry <= 0 || room < 1e-9)
      break;
    double given = 0;
    for (std::size_t i = 0; i < wants.size(); ++i) {
      if (got[i] >= wants[i] - 1e-9)
        continue;
      const double more = std::min(wants[i] - got[i], room * weights[i] / hungry);
      got[i] += more;
      given += more;
    }
    room -= given;
  }
  return got;
}

TEST(FairQueue, SharesAreThoseOfACentralAllocator) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    pcg32 rng(seed);
    const std::size_t teams = 2 + rng(4);
    std::vector<double> weights, rates;
    for (std::size_t t = 0; t < teams; ++t)
      weights.push_back(1 + rng(8));
    for (std::size_t t = 0; t < teams; ++t)
      rates.push_back(rng(3) == 0 ? 60 : 2 + rng(12));  // a second
    constexpr double kRoom = 40;
    FairQueue turns(weights);
    std::map<FairQueue::Id, std::size_t> of;
    std::vector<double> served(teams), owed(teams);
    FairQueue::Id last = 0;
    constexpr int kSeconds = 200;
    for (int s = 0; s < kSeconds; ++s) {
      for (std::size_t t = 0; t < teams; ++t) {
        for (int n = 0; n < static_cast<int>(rates[t]); ++n) {
          of[++last] = t;
          turns.push(jobs::TeamIndex(t), jobs::ClassIndex(rng(3)), last, s);
        }
      }
      for (int n = 0; n < kRoom; ++n) {
        if (const auto id = turns.pop())
          served[of[*id]] += 1;
      }
    }
    const auto share = fair(weights, rates, kRoom);
    for (std::size_t t = 0; t < teams; ++t)
      EXPECT_NEAR(served[t] / kSeconds, share[t], 0.1 * share[t]) << "seed " << seed << ", team " << t;
  }
}

TEST(FairQueue, AFloodLengthensItsOwnLineOnly) {
  FairQueue turns({1, 1});
  for (FairQueue::Id id = 1; id <= 1000; ++id)
    turns.push(jobs::TeamIndex(0), jobs::ClassIndex(0), id, 1);
  EXPECT_NEAR(turns.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(0), 2), 1000, 1);
  EXPECT_LE(turns.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(1), 2), 1) << "another class of the team";
  EXPECT_LE(turns.jobs_ahead(jobs::TeamIndex(1), jobs::ClassIndex(0), 2), 1) << "another team";
  turns.push(jobs::TeamIndex(0), jobs::ClassIndex(1), 2001, 2);
  turns.push(jobs::TeamIndex(1), jobs::ClassIndex(0), 2002, 2);
  std::set<FairQueue::Id> first;
  for (int n = 0; n < 4; ++n)
    first.insert(*turns.pop());
  EXPECT_TRUE(first.contains(2001) && first.contains(2002));
}

TEST(FairQueue, TheOldestTryComesFirstInItsClass) {
  FairQueue turns({1});
  for (FairQueue::Id id = 1; id <= 3; ++id)
    turns.push(jobs::TeamIndex(0), jobs::ClassIndex(0), id, 10 + static_cast<double>(id));
  const auto id = turns.pop();
  EXPECT_EQ(id, 1U);
  turns.push(jobs::TeamIndex(0), jobs::ClassIndex(0), *id, 11);  // nothing became of its turn
  turns.push(jobs::TeamIndex(0), jobs::ClassIndex(0), 9, 4);     // a retry
  EXPECT_EQ(turns.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(0), 5), 1);
  EXPECT_EQ(turns.jobs_ahead(jobs::TeamIndex(0), jobs::ClassIndex(0), 11.5), 2);
  EXPECT_EQ(turns.pop(), 9U);
  EXPECT_EQ(turns.pop(), 1U);
  turns.remove_if([](FairQueue::Id w) { return w == 2; });
  EXPECT_EQ(turns.size(), 1U);
  EXPECT_EQ(turns.pop(), 3U);
}

TEST(FairQueue, APauseSavesNothingUp) {
  FairQueue turns({1, 1});
  FairQueue::Id id = 0;
  for (int n = 0; n < 500; ++n)
    turns.push(jobs::TeamIndex(0), jobs::ClassIndex(0), ++id, 0);
  for (int n = 0; n < 400; ++n)
    turns.pop();
  for (int n = 0; n < 100; ++n)
    turns.push(jobs::TeamIndex(1), jobs::ClassIndex(0), 10'000 + n, 1);
  int late = 0;
  for (int n = 0; n < 100; ++n)
    late += *turns.pop() >= 10'000;
  EXPECT_NEAR(late, 50, 2) << "who comes late shares from now on, and makes up for nothing";
}

// ---------------------------------------------------------------- tries

TEST(FirstAttempts, AllNodesKnowTheFirstTryWithinAGreeting) {
  pcg32 rng(3);
  std::vector<FirstAttempts> nodes(5);
  std::map<std::string, double> first;
  for (double t = 0; t < 60; t += 0.1) {
    for (int k = 0; k < 3; ++k) {
      const std::string ref = "req-" + std::to_string(rng(400));
      FirstAttempts& node = nodes[rng(5)];
      const auto known = node.first_attempt(ref);
      // Within a greeting of its first refusal a job may come to a node that has not heard of it.
      if (first.contains(ref) && first[ref] < t - 1.05) {
        ASSERT_TRUE(known) << ref;
        EXPECT_NEAR(*known, first[ref], 0.01);
      }
      first.try_emplace(ref, t);
      node.record_deferral(ref, std::min(t, known.value_or(t)), t);
    }
    if (std::fmod(t + 1e-9, 1.0) > 0.05)
      continue;
    for (std::size_t a = 0; a < 5; ++a) {
      const std::string told = nodes[a].encode_recent(t);
      for (std::size_t b = 0; b < 5; ++b) {
        if (a != b)
          nodes[b].merge(told, t);
      }
    }
  }
}

TEST(FirstAttempts, AreForgottenAndBounded) {
  FirstAttempts tries;
  for (int n = 0; n < 50'000; ++n)
    tries.record_deferral("req-" + std::to_string(n), n * 0.001, n * 0.001);
  EXPECT_LE(tries.size(), 20'000U);
  EXPECT_LE(tries.encode_recent(50).size(), 12'000U);
  tries.record_deferral("req-x", 500, 500);
  EXPECT_EQ(tries.size(), 1U);
  tries.merge("not twelve", 500);
  EXPECT_EQ(tries.size(), 1U);
}

// ---------------------------------------------------------------- shares

// Nodes with drifting clocks, greetings that are lost, late or doubled, leaders that end, freeze and come
// back while the next one leads: never more than the whole in use, and nearly all of it when all is quiet.
struct Nodes {
  explicit Nodes(std::uint64_t seed, std::size_t count) : rng(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes.push_back({BudgetShares(count), 1 + (unit(rng) - 0.5) * 0.001, 1000 * unit(rng)});
    }
  }
  struct Node {
    BudgetShares shares;
    double rate, offset;
    bool leads = false;
    double until = -1;  // of its authority, on its own clock
  };
  double clock(const Node& n) const {
    return n.offset + t * n.rate;
  }
  bool entitled(const Node& n) const {
    return n.leads && clock(n) < n.until;
  }
  double in_use() const {
    double sum = 0;
    for (const Node& n : nodes)
      sum += n.shares.own_share(clock(n), entitled(n));
    return sum;
  }
  pcg32 rng;
  double t = 0;
  std::vector<Node> nodes;
};

TEST(BudgetShares, NeverMoreThanTheWholeWhoeverFails) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const std::size_t count = seed % 2 == 0 ? 5 : 3;
    Nodes w(seed, count);
    std::multimap<double, std::function<void()>> events;
    constexpr double kLease = 3;
    double lease_until = -1;  // of the key, in true time
    std::size_t holder = 0;
    double most = 0, quiet_use = 0;
    for (w.t = 0; w.t < 200; w.t += 0.05) {
      while (!events.empty() && events.begin()->first <= w.t) {
        auto e = events.extract(events.begin());
        e.mapped()();
      }
      if (w.t >= lease_until) {  // vacant: somebody is elected, and counts its authority from before
        holder = w.rng(static_cast<std::uint32_t>(count));
        for (auto& n : w.nodes)
          n.leads = &n == &w.nodes[holder] || (n.leads && w.entitled(n));
        auto& n = w.nodes[holder];
        n.until = w.clock(n) + kLease * 0.999 - 0.05;
        n.shares.begin_leadership(w.clock(n));
        lease_until = w.t + kLease;
      }
      const bool troubled = w.t < 150;
      // Renewals stop for a while now and then: a freeze, a cut, an end.
      if (!troubled || unit(w.rng) < 0.9 || std::fmod(w.t, 20) > 8) {
        auto& n = w.nodes[holder];
        n.until = w.clock(n) + kLease * 0.999 - 0.05;
        lease_until = w.t + kLease;
      }
      if (troubled && unit(w.rng) < 0.002)
        lease_until = w.t + kLease;  // the last renewal before its end
      if (troubled && std::fmod(w.t, 20) < 0.05)
        holder = holder + 0, lease_until = std::min(lease_until, w.t + 3);
      for (std::size_t i = 0; i < count; ++i) {
        if (unit(w.rng) > 0.05)
          continue;  // a greeting a second, to all
        const double asked = w.clock(w.nodes[i]), wants = unit(w.rng) < 0.5 ? unit(w.rng) : 0;
        const double there = troubled ? unit(w.rng) * 0.5 : 0.001,
                     back = troubled ? unit(w.rng) * 2.5 : 0.001;
        if (troubled && unit(w.rng) < 0.2)
          continue;
        for (std::size_t l = 0; l < count; ++l) {
          if (l == i)
            continue;
          events.emplace(w.t + there, [&, i, l, asked, wants, back] {
            auto& leader = w.nodes[l];
            if (!w.entitled(leader))
              return;
            const double lent = leader.shares.lend(i < l ? i : i - 1, wants, w.clock(leader));
            for (int copies = 0; copies < 2; ++copies)
              events.emplace(w.t + back * (1 + copies),
                             [&w, i, asked, lent] { w.nodes[i].shares.on_loan(lent, asked); });
          });
        }
      }
      most = std::max(most, w.in_use());
      if (w.t > 160)
        quiet_use = std::max(quiet_use, w.in_use());
    }
    EXPECT_LE(most, 1 + 1e-9) << "seed " << seed;
    EXPECT_GT(quiet_use, 0.95) << "seed " << seed;
  }
}

TEST(BudgetShares, WhatADeadNodeHadIsInUseWithinTwoSeconds) {
  BudgetShares leader(3);
  leader.begin_leadership(0);
  const double alone = leader.own_share(10, true);
  EXPECT_NEAR(leader.lend(0, 0.15, 10), 0.15, 1e-9);
  EXPECT_NEAR(leader.own_share(10, true), alone - 0.15, 1e-9);
  EXPECT_NEAR(leader.own_share(12, true), alone, 1e-9);
}

TEST(BudgetShares, WantsThatExceedWhatThereIsShareIt) {
  BudgetShares leader(3);
  leader.begin_leadership(0);
  leader.lend(0, 0.8, 10);
  EXPECT_NEAR(leader.lend(1, 0.4, 10.1), 0, 1e-9) << "all is lent until the first loan is renewed";
  EXPECT_NEAR(leader.lend(0, 0.8, 12), BudgetShares::kMaxLent * 2 / 3, 1e-9);
  EXPECT_NEAR(leader.lend(1, 0.4, 12), BudgetShares::kMaxLent / 3, 1e-9);
}

TEST(BudgetShares, ALateAnswerChangesNothing) {
  BudgetShares follower(3);
  follower.on_loan(0.3, 10);
  follower.on_loan(0.1, 9);
  EXPECT_NEAR(follower.own_share(11, false), follower.floor() + 0.3, 1e-9);
  EXPECT_NEAR(follower.own_share(11.9, false), follower.floor(), 1e-9);
}

// ---------------------------------------------------------------- sheets and their index

Value records(const std::vector<std::string>& refs) {
  Value out = Value::array();
  for (const auto& r : refs)
    out.push_back({{"ref", r}});
  return out;
}

// Sheets come and go in any order and share jobs; the index and the leader's account against plain sets.
TEST(JobBatches, IndexAndAccountAgreeWithPlainSets) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 rng(seed);
    BatchIndex index;
    jobs::JobBatches sheets;
    std::map<std::string, std::set<std::string>> there;
    std::map<std::string, std::set<jobs::JobIndex>> open;
    std::set<jobs::JobIndex> over;
    std::set<std::string> empty;
    double now = 0;
    for (int n = 0; n < 400; ++n, now += 0.1) {
      if (rng(3) > 0) {
        const std::string key = jobs::kBatchPrefix + std::string("a/1/") + std::to_string(n);
        std::vector<std::string> refs;
        for (std::uint32_t k = 0, m = 1 + rng(5); k < m; ++k) {
          const jobs::JobIndex ix{rng(300)};
          refs.push_back("req-" + std::to_string(ix));
          there[key].insert(refs.back());
          if (over.contains(ix))
            continue;
          open[key].insert(ix);
          sheets.add_live_job(key, ix);
        }
        index.add_batch(key, records(refs));
        index.add_batch(key, records(refs));  // told twice
        sheets.on_read(key);
        if (open[key].empty())
          empty.insert(key), open.erase(key);
      } else {
        const jobs::JobIndex ix{rng(300)};
        over.insert(ix);
        sheets.on_job_over(ix);
        for (auto it = open.begin(); it != open.end();) {
          it->second.erase(ix);
          if (it->second.empty()) {
            empty.insert(it->first);
            it = open.erase(it);
          } else {
            ++it;
          }
        }
      }
      for (const std::string& key : sheets.take_empty()) {
        EXPECT_EQ(empty.erase(key), 1U) << key;
        const auto gone = there.extract(key);
        index.remove_batch(key, now);
        for (const auto& ref : gone.mapped())
          EXPECT_TRUE(index.recently_removed(ref));
      }
      EXPECT_TRUE(empty.empty());
      index.advance_to(static_cast<std::uint64_t>(n), now);
      EXPECT_EQ(index.batch_count(), there.size());
      EXPECT_EQ(sheets.size(), open.size());
    }
    for (jobs::JobIndex ix{0}; ix < 300; ++ix) {
      const std::string ref = "req-" + std::to_string(ix);
      const bool found =
          std::any_of(there.begin(), there.end(), [&ref](const auto& s) { return s.second.contains(ref); });
      EXPECT_EQ(index.find(ref).has_value(), found);
      if (found) {
        EXPECT_TRUE(there.at(*index.find(ref)).contains(ref));
      }
      const bool held =
          std::any_of(open.begin(), open.end(), [ix](const auto& s) { return s.second.contains(ix); });
      EXPECT_EQ(sheets.contains(ix), held);
    }
  }
}

// The leader may know a sheet by one of its jobs alone; when that is over the sheet must stay, since it is
// all that is left of the others (seed 400310 of the random days).
TEST(JobBatches, OneKnownByOneJobIsNotTakenForEmpty) {
  jobs::JobBatches sheets;
  sheets.add_live_job("j/sheet/a/1/1", jobs::JobIndex(7));
  sheets.on_job_over(jobs::JobIndex(7));
  EXPECT_TRUE(sheets.take_empty().empty());
  EXPECT_FALSE(sheets.fully_read("j/sheet/a/1/1"));
  sheets.add_live_job("j/sheet/a/1/1", jobs::JobIndex(8));
  sheets.on_read("j/sheet/a/1/1");
  EXPECT_TRUE(sheets.take_empty().empty());
  EXPECT_TRUE(sheets.fully_read("j/sheet/a/1/1"));
  sheets.on_job_over(jobs::JobIndex(8));
  EXPECT_EQ(sheets.take_empty().size(), 1U);
}

// ---------------------------------------------------------------- creations that gather

struct Desk {
  static settings::Settings with(double write_rps) {
    settings::Settings s;
    s.node = "node-0";
    s.tunables.fair_admission = 1;
    s.state_writes_per_s = write_rps;
    s.state_requests_per_s = 150;
    s.teams = {{"red", 30, 0, 0, 0}, {"blue", 10, 0, 0, 0}};
    return s;
  }
  explicit Desk(double write_rps = 35) : settings(with(write_rps)) {
    spdlog::set_level(spdlog::level::off);
    store.set_share_source([this] { return store::StateClient::BudgetShare{share, share, fixed}; });
    intake.batches_allowed = [this] {
      return together;
    };
    intake.fixed_shares = [this] {
      return fixed;
    };
  }
  void offer(int n, const std::string& team = "red", const std::string& job_class = "web") {
    wire::JobSpec s;
    s.ref = "req-" + std::to_string(n);
    s.team = team;
    s.job_class = job_class;
    s.image = "img";
    s.task_resources = {2, 0, 2};
    intake.enqueue(s, wire::job_record(s, 0),
                   [this, n](const CreationQueue::Result& r) { told[n].push_back(r); });
  }
  std::vector<ports::Call> calls() {
    std::vector<ports::Call> list;
    for (auto& a : out.drain())
      list.push_back(std::move(std::get<ports::Call>(a)));
    return list;
  }
  void reply(const ports::Call& call, int status, Value body = Value::object()) {
    ports::Reply r;
    r.status = status;
    r.body = std::move(body);
    out.complete(call.id, r);
  }
  void wait(double s) {
    out.set_now(out.now() + s);
    out.run_timers();
  }
  static std::size_t jobs_in(const ports::Call& call) {
    const Value& put = call.body["apply"][0];
    return jobs::is_batch_key(put["put"].get<std::string>()) ? put["data"].size() : 1;
  }

  settings::Settings settings;
  double share = 1;
  bool together = true, fixed = false;
  ports::Outbox out;
  store::StateClient store{out, settings};
  CreationQueue intake{out, store, settings, "7"};
  std::map<int, std::vector<CreationQueue::Result>> told;
};

TEST(CreationQueue, OneAloneHasAKeyOfItsOwnAndWhatComesMeanwhileGoesTogether) {
  Desk d;
  for (int n = 0; n < 10; ++n)
    d.offer(n);
  auto first = d.calls();
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].body["apply"][0]["put"], "j/req-0");
  d.reply(first[0], 200, {{"ledgerRev", 5}});
  ASSERT_EQ(d.told[0].size(), 1U);
  EXPECT_EQ(d.told[0][0].outcome, CreationQueue::Outcome::created);
  EXPECT_EQ(d.told[0][0].revision, 5U);
  auto second = d.calls();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(Desk::jobs_in(second[0]), 9U);
  EXPECT_EQ(second[0].body["apply"].size(), 1U) << "one change";
  EXPECT_EQ(second[0].body["if"].size(), 19U) << "neither live nor over, each; and the sheet is new";
  d.reply(second[0], 200, {{"ledgerRev", 6}});
  for (int n = 1; n < 10; ++n)
    EXPECT_EQ(d.told[n][0].batch_key, second[0].body["apply"][0]["put"]);
}

TEST(CreationQueue, KeepsToTheLimitsOfATransaction) {
  Desk d;
  for (int n = 0; n < 25; ++n)
    d.offer(n);
  d.reply(d.calls()[0], 200, {{"ledgerRev", 1}});
  const auto next = d.calls();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_LE(next[0].body["if"].size(), 4U * 12);
  EXPECT_LE(next[0].body["apply"][0]["data"].dump().size(), d.settings.value_bytes());
  EXPECT_GT(Desk::jobs_in(next[0]), 10U);
}

TEST(CreationQueue, NobodyWaitsForOneThatIsThereAlready) {
  Desk d;
  for (int n = 0; n < 6; ++n)
    d.offer(n);
  d.reply(d.calls()[0], 200, {{"ledgerRev", 1}});
  auto sheet = d.calls();
  d.reply(sheet[0], 409, {{"failed", {"f/req-2", "j/req-4"}}, {"ledgerRev", 9}});
  EXPECT_EQ(d.told[2][0].outcome, CreationQueue::Outcome::exists);
  EXPECT_EQ(d.told[4][0].outcome, CreationQueue::Outcome::exists);
  auto again = d.calls();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(Desk::jobs_in(again[0]), 3U);
  EXPECT_NE(again[0].body["apply"][0]["put"], sheet[0].body["apply"][0]["put"]) << "names are not used again";
  d.reply(again[0], 200, {{"ledgerRev", 10}});
  for (const int n : {1, 3, 5})
    EXPECT_EQ(d.told[n][0].outcome, CreationQueue::Outcome::created);
}

TEST(CreationQueue, ARetryJoinsTheTryThatIsUnderWay) {
  Desk d;
  for (int n = 0; n < 4; ++n)
    d.offer(n);
  d.offer(3);
  d.offer(0);
  auto calls = d.calls();
  d.reply(calls[0], 200, {{"ledgerRev", 1}});
  EXPECT_EQ(d.told[0].size(), 2U);
  calls = d.calls();
  EXPECT_EQ(Desk::jobs_in(calls[0]), 3U);
  d.reply(calls[0], 200, {{"ledgerRev", 2}});
  EXPECT_EQ(d.told[3].size(), 2U);
}

TEST(CreationQueue, OneNodeThatDoesNotKnowSheetsMeansAKeyEach) {
  Desk d;
  d.together = false;
  for (int n = 0; n < 5; ++n)
    d.offer(n);
  for (int n = 0; n < 5; ++n) {
    auto calls = d.calls();
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_FALSE(jobs::is_batch_key(calls[0].body["apply"][0]["put"].get<std::string>()));
    d.reply(calls[0], 200, {{"ledgerRev", n + 1}});
  }
}

// An upgrade: a peer that keeps to no shares (cub-meterlink-next).
TEST(CreationQueue, BesideAPeerWithoutSharesEverythingIsAsEver) {
  Desk d;
  d.fixed = true;
  d.together = false;
  d.share = 0.25;
  for (int n = 0; n < 25; ++n)
    d.offer(n);
  const auto calls = d.calls();
  EXPECT_GT(calls.size(), 20U) << "at once, overdrawn for a while";
  for (const auto& c : calls)
    d.reply(c, 200, {{"ledgerRev", 1}});
  std::size_t told = 0;
  for (const auto& [n, results] : d.told)
    told += results.size();
  EXPECT_EQ(told, 25U);
}

TEST(CreationQueue, ASheetCalledMalformedIsMadeSmaller) {
  Desk d;
  for (int n = 0; n < 9; ++n)
    d.offer(n);
  d.reply(d.calls()[0], 200, {{"ledgerRev", 1}});
  d.reply(d.calls()[0], 400);
  const auto next = d.calls();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(Desk::jobs_in(next[0]), 4U);
  EXPECT_TRUE(d.told[1].empty());
}

TEST(CreationQueue, AnAnswerThatIsMissingIsToldAsSuch) {
  Desk d;
  for (int n = 0; n < 4; ++n)
    d.offer(n);
  d.reply(d.calls()[0], 503);
  EXPECT_EQ(d.told[0][0].outcome, CreationQueue::Outcome::unavailable);
  d.reply(d.calls()[0], 0);
  for (int n = 1; n < 4; ++n)
    EXPECT_EQ(d.told[n][0].outcome, CreationQueue::Outcome::unavailable);
}

// A flood of one class at forty times what the budget lets through: the others go at once, what cannot go
// within a second is told so at once, with its turn, and nothing is answered later than it may be.
TEST(CreationQueue, AFloodIsPutOffAndTheOthersAreNot) {
  for (const bool together : {true, false}) {
    Desk d(together ? 5 : 35);
    d.together = together;
    pcg32 rng(7);
    int n = 0, calm = 0, calm_created = 0, flood_put_off = 0;
    std::map<int, double> came;
    double longest = 0;
    Seconds turns = 0;
    std::vector<std::pair<double, ports::Call>> open;
    for (double t = 0; t < 20; t += 0.01) {
      d.wait(0.01);
      for (int k = 0; k < 12; ++k) {
        came[++n] = t;
        d.offer(n, "red", "flood");
      }
      if (rng(50) == 0) {
        came[1'000'000 + ++calm] = t;
        d.offer(1'000'000 + calm, "red", "calm");
      }
      for (auto& c : d.calls())
        open.emplace_back(t + 0.01, std::move(c));
      while (!open.empty() && open.front().first <= t) {
        d.reply(open.front().second, 200, {{"ledgerRev", 1}});
        open.erase(open.begin());
      }
      for (auto& [job, results] : d.told) {
        for (const auto& r : results) {
          longest = std::max(longest, t - came[job]);
          if (job > 1'000'000)
            calm_created += r.outcome == CreationQueue::Outcome::created;
          if (job <= 1'000'000 && r.outcome == CreationQueue::Outcome::deferred)
            ++flood_put_off, turns += r.retry_after_s;
        }
      }
      d.told.clear();
    }
    EXPECT_GE(calm_created, calm - 2) << together;
    EXPECT_GT(flood_put_off, n / 2) << together;
    EXPECT_GE(turns / flood_put_off, 1) << together;
    EXPECT_LE(longest, 2.2) << together;
  }
}

TEST(CreationQueue, TheBudgetIsKeptToWhateverComes) {
  Desk d(20);
  d.share = 0.3;
  int sent = 0;
  for (double t = 0; t < 30; t += 0.01) {
    d.wait(0.01);
    for (int k = 0; k < 3; ++k)
      d.offer(static_cast<int>(t * 1000) + k);
    for (const auto& c : d.calls()) {
      ++sent;
      d.reply(c, 200, {{"ledgerRev", 1}});
    }
  }
  EXPECT_LE(sent, 20 * 0.3 * 0.9 * 31 + 1);
  EXPECT_GT(sent, 20 * 0.3 * 0.9 * 15);
}

// ---------------------------------------------------------------- a leader that takes long

// A cancellation that waits for its tasks keeps its asker waiting; the leader that greets meanwhile is not
// dead, and questions still go to it (a flood of cub-meterlink-fleet: 20,450 answers of 429, since each
// question became a fresh read).
TEST(ControllerTest, ALeaderThatTakesLongOverOneRequestIsStillAsked) {
  spdlog::set_level(spdlog::level::off);
  settings::Settings s;
  s.node = "node-0";
  s.zone = "z0";
  s.zones = {"z0"};
  s.peers = {{"node-1", "z0", {}}};
  s.tunables.fair_admission = 1;
  controller::Controller node(s, 7);
  double now = 100;
  node.start(now);
  std::string handed_on;
  const auto turn = [&] {
    handed_on.clear();
    for (auto actions = node.drain(); !actions.empty(); actions = node.drain()) {
      for (auto& a : actions) {
        const auto* call = std::get_if<ports::Call>(&a);
        if (!call || call->target == ports::Target::cloud)
          continue;
        ports::Reply r;
        if (call->target == ports::Target::state) {
          r.status = 503;
        } else if (call->frame->path.empty()) {
          r.status = 200;
          r.frame = peer::Frame{};
          r.frame->node = r.frame->leader = "node-1";
          r.frame->leader_fencing_token = 5;
          r.frame->answers_heartbeats = r.frame->state_service_healthy = r.frame->supports_batches = true;
          r.frame->level = peer::kProtocolLevel;
        } else {
          handed_on = call->frame->path;
          continue;
        }
        node.on_reply(now, call->id, r);
      }
    }
  };
  std::uint64_t abort_call = 0;
  for (int n = 0; n < 30; ++n, now += 0.1)
    node.tick(now), turn();
  node.on_request(now, {1, "POST", "/api/jobs/req-000001/abort", ""});
  for (auto& a : node.drain()) {
    if (const auto* call = std::get_if<ports::Call>(&a); call && call->target == ports::Target::peer)
      abort_call = call->id;
  }
  ASSERT_NE(abort_call, 0U);
  for (int n = 0; n < 30; ++n, now += 0.1)
    node.tick(now), turn();
  node.on_reply(now, abort_call, {});
  turn();
  node.on_request(now, {2, "GET", "/api/jobs/req-000002", ""});
  turn();
  EXPECT_EQ(handed_on, "/api/jobs/req-000002");
}

}  // namespace
}  // namespace wingtrail::admission
