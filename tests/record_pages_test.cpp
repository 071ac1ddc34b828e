// What one version writes and another reads: the layouts are encoded and decoded here by the test's own code,
// as the version before chains does it, and by the state_writer under either limit.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"
#include "wire/parse_result.hpp"

namespace wingtrail::jobs {
namespace {

// A state service that keeps what it is given, and a state_writer that leads.
class RecordPagesTest : public ::testing::Test {
 protected:
  std::map<std::string, wire::Value> stored;
  std::size_t largest = 0, most_changes = 0;
  std::size_t refuse_above = 1 << 20;  // values larger than this are called malformed
  int crash_after = -1;                // so many transactions are applied

  struct Leader {
    settings::Settings settings;
    ports::Outbox out;
    store::StateClient store;
    JobRegistry registry;
    StateWriter state_writer;
    std::vector<std::string> hosts;  // by index
    std::set<jobs::MachineIndex> recorded_machines;
    explicit Leader(double value_kb, int transaction_changes)
        : settings(with(value_kb, transaction_changes)),
          store(out, settings),
          registry(settings),
          state_writer(out, store, registry, settings,
                       {[] { return std::uint64_t{7}; }, [] { return 1e9; }, [] {}, "lead"}) {
      state_writer.set_events({[](Job&) {}, [](const std::vector<StateWriter::CompletedTask>&) {},
                               [this](jobs::MachineIndex ix) { recorded_machines.insert(ix); },
                               [this](jobs::MachineIndex ix) {
                                 return record(hosts[ix]);
                               }});
      state_writer.begin_leadership();
    }
    static settings::Settings with(double value_kb, int transaction_changes) {
      settings::Settings s;
      s.state_value_kb = value_kb;
      s.max_transaction_changes = transaction_changes;
      s.state_requests_per_s = s.state_writes_per_s = 1e6;
      s.teams = {{"t"}};
      return s;
    }
    jobs::MachineIndex add_host(const std::string& name) {
      hosts.push_back(name);
      return jobs::MachineIndex(hosts.size() - 1);
    }
    Job& job(const std::string& ref, std::uint32_t tasks) {
      wire::JobSpec s;
      s.ref = ref;
      s.tasks = tasks;
      return registry.add(s, 1, 0);
    }
  };

  static wire::Value record(const std::string& host) {
    return {{"host", host},      {"addr", "10.1.0.232:9000"},
            {"type", "kast-16"}, {"zone", "brussel-noord"},
            {"spot", true},      {"images", {"img-0007", "img-0012"}}};
  }

  std::map<std::string, std::uint64_t> versions;
  std::uint64_t revision = 100;
  int lose = 0;  // so many transactions from now on get no answer
  std::vector<wire::Value> late;
  std::uint64_t version_of(const std::string& key) const {
    if (key == "lead")
      return 7;
    const auto it = versions.find(key);
    return !stored.contains(key) ? 0 : it == versions.end() ? 1 : it->second;
  }
  // As the state service carries a transaction out.
  void apply(const wire::Value& body, ports::Reply& r) {
    wire::Value failed = wire::Value::array();
    for (const auto& c : body["if"]) {
      if (version_of(c["path"]) != c["stamp"])
        failed.push_back(c["path"]);
    }
    r.status = failed.empty() ? 200 : 409;
    r.body = {{"ledgerRev", revision + failed.empty()}, {"failed", failed}};
    if (!failed.empty())
      return;
    ++revision;
    for (const auto& op : body["apply"]) {
      if (op.contains("put")) {
        const auto key = op["put"].get<std::string>();
        stored[key] = op["data"];
        versions[key] = revision;
      } else {
        stored.erase(op["delete"].get<std::string>());
      }
    }
  }

  // Lets the state_writer write until nothing is left to do; false once it has "crashed".
  bool run(Leader& leader) {
    for (int i = 0; i < 4000; ++i) {
      if (!step(leader))
        return false;
    }
    return true;
  }
  bool step(Leader& leader) {
    for (auto& action : leader.out.drain()) {
      const auto& call = std::get<ports::Call>(action);
      ports::Reply r;
      if (call.method == "GET") {
        const std::string key = call.path.substr(std::string("/kv/").size());
        r.status = stored.contains(key) ? 200 : 404;
        if (r.status == 200)
          r.body = {{"path", key}, {"data", stored[key]}, {"stamp", version_of(key)}};
        leader.out.complete(call.id, r);
        continue;
      }
      std::size_t size = 0;
      for (const auto& op : call.body["apply"]) {
        if (op.contains("data"))
          size = std::max(size, op["data"].dump().size());
      }
      if (crash_after == 0)
        return false;
      if (lose > 0) {  // no answer; `late` is carried out when the test says so
        --lose;
        late.push_back(call.body);
        leader.out.complete(call.id, r);
        continue;
      }
      r.status = size > refuse_above ? 400 : 200;
      if (r.status == 200) {
        if (crash_after > 0)
          --crash_after;
        largest = std::max(largest, size);
        most_changes = std::max(most_changes, call.body["apply"].size());
        apply(call.body, r);
      }
      leader.out.complete(call.id, r);
    }
    leader.out.set_now(leader.out.now() + 0.05);
    leader.out.run_timers();
    return true;
  }
  // Until a transaction has got no answer.
  bool run_until_lost(Leader& leader) {
    for (int i = 0; i < 200 && lose > 0; ++i) {
      step(leader);
    }
    return lose == 0;
  }
  void load(Leader& leader) {
    for (const auto& [key, value] : stored) {
      if (key.starts_with(kCompletionPrefix)) {
        EXPECT_TRUE(leader.state_writer.load_completion_page(key, value, version_of(key))) << key;
      }
      if (key.starts_with(kInventoryPrefix)) {
        EXPECT_TRUE(leader.state_writer.load_inventory_page(
            key, value, version_of(key), [&leader](const wire::Value& r) {
              const auto host = wire::text(r, "host").value();
              for (jobs::MachineIndex ix{0}; ix < leader.hosts.size(); ++ix) {
                if (leader.hosts[ix] == host)
                  return ix;
              }
              return leader.add_host(host);
            }));
      }
    }
  }

  // The former layout, in as few words as it takes.
  static wire::Value former_entry(const std::string& ref, std::uint32_t from, std::uint32_t to,
                                  const std::set<std::uint32_t>& done) {
    std::string bits;
    for (std::uint32_t i = from; i < to; i += 6) {
      unsigned six = 0;
      for (unsigned b = 0; b < 6; ++b)
        six |= done.contains(i + b) ? 1U << b : 0;
      bits += six == '\\' - '0' ? 'z' : static_cast<char>('0' + six);
    }
    return {{"ref", ref}, {"from", from}, {"bits", bits}};
  }
  std::set<std::uint32_t> former_reads(const std::string& ref) const {
    std::set<std::uint32_t> done;
    for (const auto& [key, value] : stored) {
      if (!key.starts_with(kCompletionPrefix))
        continue;
      for (const auto& entry : value) {
        if (entry["ref"] != ref)
          continue;
        const auto bits = entry["bits"].get<std::string>();
        for (std::size_t i = 0; i < bits.size() * 6; ++i) {
          const int six = bits[i / 6] == 'z' ? '\\' - '0' : bits[i / 6] - '0';
          if (six >> (i % 6) & 1)
            done.insert(entry["from"].get<std::uint32_t>() + static_cast<std::uint32_t>(i));
        }
      }
    }
    return done;
  }
  std::multiset<std::string> former_hosts() const {
    std::multiset<std::string> out;
    for (const auto& [key, value] : stored) {
      if (!key.starts_with(kInventoryPrefix))
        continue;
      for (const auto& h : value["hosts"]) {
        for (const char* field : {"addr", "type", "zone"})
          EXPECT_TRUE(wire::text(h, field));
        for (const auto& i : h["images"])
          EXPECT_LT(i.get<std::size_t>(), value["images"].size());
        out.insert(h["host"].get<std::string>());
      }
    }
    return out;
  }
  static std::string name(int i) {
    return "i-" + std::to_string(100000 + i);
  }
};

// A chunk of the former layout is several of ours; each part must stay recorded when its page is rewritten,
// and a crash in the middle must lose nothing.
TEST_F(RecordPagesTest, LargeArraysOfTheFormerLayoutSurviveTheSmallerLimits) {
  constexpr std::uint32_t kTasks = 100'000, kChunk = 4096 * 6;
  std::set<std::uint32_t> done;
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    if (i * 2654435761U % 7 < 3)
      done.insert(i);
  }
  std::map<std::string, wire::Value> former;
  for (std::uint32_t c = 0; c * kChunk < kTasks; ++c) {
    former["p/" + std::to_string(c)] =
        wire::Value::array({former_entry("req-1", c * kChunk, std::min(kTasks, (c + 1) * kChunk), done),
                            former_entry("req-2", 0, 30, {c})});
  }
  for (int crash = 0; crash < 24; ++crash) {
    stored = former;
    crash_after = crash;
    Leader a(2, 4);
    a.job("req-1", kTasks);
    a.job("req-2", 30);
    load(a);
    ASSERT_EQ(a.registry.find("req-1")->done_tasks, done.size());
    // One more task of each of the former chunks, so that every page is written anew.
    std::set<std::uint32_t> more = done;
    for (std::uint32_t t = 5; t < kTasks; t += kChunk) {
      if (done.contains(t))
        continue;
      a.registry.complete_task(*a.registry.find("req-1"), t, kNoIndex);
      a.state_writer.record_completion(*a.registry.find("req-1"), t, jobs::MachineIndex(0), 1);
      more.insert(t);
    }
    const bool whole = run(a);
    EXPECT_LE(largest, 2048U);
    EXPECT_LE(most_changes, 4U);
    const auto read = former_reads("req-1");
    EXPECT_TRUE(std::includes(read.begin(), read.end(), done.begin(), done.end())) << "crash after " << crash;
    Leader b(2, 4);
    b.job("req-1", kTasks);
    b.job("req-2", 30);
    crash_after = -1;
    load(b);
    EXPECT_GE(b.registry.find("req-1")->done_tasks, done.size());
    EXPECT_EQ(b.registry.find("req-2")->done_tasks, 5U);
    if (!whole)
      continue;
    EXPECT_EQ(read, more);
  }
}

// And back: the reader of the former layout finds all that was written under the smaller limits.
TEST_F(RecordPagesTest, WhatIsWrittenUnderSmallerLimitsReadsUnderLargerOnes) {
  Leader small(2, 4);
  Job& job = small.job("req-1", 100'000);
  for (std::uint32_t i = 0; i < 100'000; i += 3) {
    small.registry.complete_task(job, i, kNoIndex);
    small.state_writer.record_completion(job, i, jobs::MachineIndex(0), 1);
  }
  ASSERT_TRUE(run(small));
  EXPECT_EQ(former_reads("req-1").size(), job.done_tasks);
  Leader large(8, 12);
  Job& again = large.job("req-1", 100'000);
  load(large);
  EXPECT_EQ(again.done_tasks, job.done_tasks);
  // Rewriting gathers the parts of a chunk; none is lost, whenever it crashes.
  large.registry.complete_task(again, 1, kNoIndex);
  large.state_writer.record_completion(again, 1, jobs::MachineIndex(0), 1);
  crash_after = 1;
  run(large);
  EXPECT_GE(former_reads("req-1").size(), job.done_tasks);
}

TEST_F(RecordPagesTest, ARosterOfTheFormerLayoutIsDividedAndNoMachineIsLost) {
  std::map<std::string, wire::Value> former;
  std::set<std::string> all;
  for (int page = 0; page < 6; ++page) {
    wire::Value hosts = wire::Value::array();
    for (int i = 0; i < 45; ++i) {
      wire::Value r = record(name(page * 45 + i));
      r["images"] = {0, 1};
      all.insert(r["host"].get<std::string>());
      hosts.push_back(std::move(r));
    }
    former["r/" + std::to_string(page)] = {{"images", {"img-0007", "img-0012"}}, {"hosts", hosts}};
  }
  for (int crash = 0; crash < 30; crash += 3) {
    stored = former;
    crash_after = crash;
    Leader leader(2, 4);
    load(leader);
    ASSERT_EQ(leader.hosts.size(), all.size());
    // One machine of each page is gone, and a new one joins.
    for (int page = 0; page < 6; ++page)
      leader.state_writer.remove_machine(jobs::MachineIndex(page * 45));
    const jobs::MachineIndex fresh = leader.add_host("i-900000");
    leader.state_writer.add_machine(fresh);
    const bool whole = run(leader);
    EXPECT_LE(largest, 2048U);
    const auto read = former_hosts();
    for (std::size_t i = 0; i < all.size(); ++i) {
      EXPECT_TRUE(i % 45 == 0 || read.contains(leader.hosts[i])) << leader.hosts[i] << " after " << crash;
    }
    EXPECT_EQ(leader.recorded_machines.contains(fresh), read.contains("i-900000"));
    if (!whole)
      continue;
    EXPECT_EQ(read.size(), all.size() - 6 + 1) << "each machine once, and none that is gone";
  }
}

// A limit that the settings do not tell of: the page that is refused is made smaller, the others go on.
TEST_F(RecordPagesTest, WhatTheStateServiceRefusesIsDividedFurther) {
  refuse_above = 700;
  Leader leader(8, 12);
  for (int i = 0; i < 60; ++i)
    leader.state_writer.add_machine(leader.add_host(name(i)));
  ASSERT_TRUE(run(leader));
  EXPECT_EQ(leader.recorded_machines.size(), 60U);
  EXPECT_EQ(former_hosts().size(), 60U);
  EXPECT_LE(largest, 700U);
  EXPECT_GT(leader.state_writer.malformed_commits(), 0U);
}

// A transaction without an answer that is carried out after newer ones of the same leader (LATER.md of the
// hunt): it took the machines that had joined since out of the roster, so the next leader did not know to ask
// them, and completed tasks that had been reaped since out of the progress.
TEST_F(RecordPagesTest, AnOlderPageNeverStandsForANewerOne) {
  for (const bool at_once : {false, true}) {
    SCOPED_TRACE(at_once ? "carried out at once, only its answer lost" : "carried out late");
    stored.clear(), versions.clear(), late.clear();
    Leader leader(8, 12);
    Job& job = leader.job("req-1", 40);
    const auto complete = [&](std::uint32_t task) {
      leader.registry.complete_task(job, task, kNoIndex);
      leader.state_writer.record_completion(job, task, jobs::MachineIndex(0), 1);
    };
    leader.state_writer.add_machine(leader.add_host("i-000001"));
    complete(3);
    ASSERT_TRUE(run(leader));
    leader.state_writer.add_machine(leader.add_host("i-000002"));
    complete(4);
    lose = 2;
    if (at_once) {
      lose = 1;
      ASSERT_TRUE(run_until_lost(leader));
      ports::Reply ignored;
      apply(late.back(), ignored);
      EXPECT_EQ(ignored.status, 200);
      late.clear();
    }
    leader.state_writer.add_machine(leader.add_host("i-000003"));
    complete(5);
    ASSERT_TRUE(run(leader));
    EXPECT_EQ(lose, 0) << "else nothing was lost, and this shows nothing";
    EXPECT_EQ(leader.recorded_machines.size(), 3U);
    EXPECT_EQ(leader.state_writer.page_lookups() > 0, at_once);
    EXPECT_EQ(late.empty(), at_once);
    for (const auto& body : late) {
      ports::Reply ignored;
      apply(body, ignored);
      EXPECT_EQ(ignored.status, 409) << body.dump();
    }
    EXPECT_EQ(former_hosts(), (std::multiset<std::string>{"i-000001", "i-000002", "i-000003"}));
    EXPECT_EQ(former_reads("req-1"), (std::set<std::uint32_t>{3, 4, 5}));
    // The next leader goes on from the versions that it reads.
    Leader next(8, 12);
    next.job("req-1", 40);
    load(next);
    next.state_writer.add_machine(next.add_host("i-000004"));
    ASSERT_TRUE(run(next));
    EXPECT_EQ(next.state_writer.page_lookups(), 0U);
    EXPECT_EQ(former_hosts().size(), 4U);
  }
}

// The same of progress alone: with a page of the roster in the same transaction, that one's version would do.
TEST_F(RecordPagesTest, OlderProgressNeverStandsForNewer) {
  Leader leader(8, 12);
  Job& job = leader.job("req-1", 40);
  const auto complete = [&](std::uint32_t task) {
    leader.registry.complete_task(job, task, kNoIndex);
    leader.state_writer.record_completion(job, task, jobs::MachineIndex(0), 1);
  };
  complete(3);
  ASSERT_TRUE(run(leader));
  complete(4);
  lose = 1;
  ASSERT_TRUE(run_until_lost(leader));
  complete(5);
  ASSERT_TRUE(run(leader));
  ASSERT_EQ(late.size(), 1U);
  ports::Reply ignored;
  apply(late.front(), ignored);
  EXPECT_EQ(ignored.status, 409);
  EXPECT_EQ(former_reads("req-1"), (std::set<std::uint32_t>{3, 4, 5}));
}

TEST_F(RecordPagesTest, EndsTellTheTimeAndFormerOnesAreRead) {
  const auto ended = wire::parse_final_state({{"phase", "done"}, {"tasks", 3}});
  ASSERT_TRUE(ended);
  EXPECT_FALSE(ended->ended_at);
  const auto back = wire::parse_final_state(wire::final_state_record({wire::Phase::cancelled, 4, 1e9}));
  ASSERT_TRUE(back && back->ended_at);
  EXPECT_EQ(back->phase, wire::Phase::cancelled);
  EXPECT_DOUBLE_EQ(*back->ended_at, 1e9);
}

}  // namespace
}  // namespace wingtrail::jobs
