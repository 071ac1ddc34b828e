/// @file
/// Compatibility and crash safety of record pages. Pages are written and read by the state writer under
/// different limits, and by this test's own implementation of the former layout, that of the version before
/// job chains.
#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <set>

#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"
#include "wire/parse_result.hpp"

namespace wingtrail::jobs {
namespace {

// A simulated state service, and leaders that write their records to it.
class RecordPagesTest : public ::testing::Test {
 protected:
  std::map<std::string, wire::Value> stored;
  std::size_t max_value_bytes = 0, max_changes = 0;  // of the transactions that were applied
  std::size_t refuse_above = 1 << 20;                // larger values are refused as malformed; in bytes
  int crash_after = -1;                              // transactions until the leader crashes; -1: never

  struct Leader {
    settings::Settings settings;
    ports::Outbox out;
    store::StateClient store;
    JobRegistry registry;
    StateWriter state_writer;
    std::vector<std::string> hosts;  // by index
    std::set<jobs::MachineIndex> recorded_machines;
    Leader(double value_kb, int transaction_changes)
        : settings(settings_of(value_kb, transaction_changes)),
          store(out, settings),
          registry(settings),
          state_writer(out, store, registry, settings,
                       {[] { return std::uint64_t{7}; }, [] { return 1e9; }, [] {}, "lead"}) {
      state_writer.set_events({[](Job&) {}, [](const std::vector<StateWriter::CompletedTask>&) {},
                               [this](jobs::MachineIndex machine) { recorded_machines.insert(machine); },
                               [this](jobs::MachineIndex machine) {
                                 return record(hosts[machine]);
                               }});
      state_writer.begin_leadership();
    }
    static settings::Settings settings_of(double value_kb, int transaction_changes) {
      settings::Settings settings;
      settings.state_value_kb = value_kb;
      settings.max_transaction_changes = transaction_changes;
      settings.state_requests_per_s = settings.state_writes_per_s = 1e6;
      settings.teams = {{"t"}};
      return settings;
    }
    jobs::MachineIndex add_host(const std::string& name) {
      hosts.push_back(name);
      return jobs::MachineIndex(hosts.size() - 1);
    }
    Job& add_job(const std::string& ref, std::uint32_t tasks) {
      wire::JobSpec spec;
      spec.ref = ref;
      spec.tasks = tasks;
      return registry.add(spec, 1, 0);
    }
    // Completes the task and passes it to the state writer.
    void complete(Job& job, std::uint32_t task) {
      registry.complete_task(job, task, kNoIndex);
      state_writer.record_completion(job, task, jobs::MachineIndex(0), 1);
    }
  };

  static wire::Value record(const std::string& host) {
    return {{"host", host},      {"addr", "10.1.0.232:9000"},
            {"type", "kast-16"}, {"zone", "brussel-noord"},
            {"spot", true},      {"images", {"img-0007", "img-0012"}}};
  }

  std::map<std::string, std::uint64_t> versions;
  std::uint64_t revision = 100;
  int replies_to_lose = 0;             // the next transactions get no reply and are not applied
  std::vector<wire::Value> unapplied;  // those transactions; a test applies them later with apply()
  std::uint64_t version_of(const std::string& key) const {
    if (key == "lead")
      return 7;
    const auto it = versions.find(key);
    return !stored.contains(key) ? 0 : it == versions.end() ? 1 : it->second;
  }
  // Applies a transaction if its conditions hold, like the state service, and fills in the reply.
  void apply(const wire::Value& body, ports::Reply& reply) {
    wire::Value failed = wire::Value::array();
    for (const auto& condition : body["if"]) {
      if (version_of(condition["path"]) != condition["stamp"])
        failed.push_back(condition["path"]);
    }
    reply.status = failed.empty() ? 200 : 409;
    reply.body = {{"ledgerRev", revision + failed.empty()}, {"failed", failed}};
    if (!failed.empty())
      return;
    ++revision;
    for (const auto& change : body["apply"]) {
      if (change.contains("put")) {
        const auto key = change["put"].get<std::string>();
        stored[key] = change["data"];
        versions[key] = revision;
      } else {
        stored.erase(change["delete"].get<std::string>());
      }
    }
  }

  // Runs the leader for 200 s, so that it writes all its records; returns false if it crashes before.
  bool run(Leader& leader) {
    for (int i = 0; i < 4000; ++i) {
      if (!step(leader))
        return false;
    }
    return true;
  }
  // Answers the leader's calls and advances its clock by 0.05 s; returns false if it crashes.
  bool step(Leader& leader) {
    for (auto& action : leader.out.drain()) {
      const auto& call = std::get<ports::Call>(action);
      ports::Reply reply;
      if (call.method == "GET") {
        const std::string key = call.path.substr(std::string("/kv/").size());
        reply.status = stored.contains(key) ? 200 : 404;
        if (reply.status == 200)
          reply.body = {{"path", key}, {"data", stored[key]}, {"stamp", version_of(key)}};
        leader.out.complete(call.id, reply);
        continue;
      }
      std::size_t size = 0;
      for (const auto& change : call.body["apply"]) {
        if (change.contains("data"))
          size = std::max(size, change["data"].dump().size());
      }
      if (crash_after == 0)
        return false;
      if (replies_to_lose > 0) {
        --replies_to_lose;
        unapplied.push_back(call.body);
        leader.out.complete(call.id, reply);
        continue;
      }
      reply.status = size > refuse_above ? 400 : 200;
      if (reply.status == 200) {
        if (crash_after > 0)
          --crash_after;
        max_value_bytes = std::max(max_value_bytes, size);
        max_changes = std::max(max_changes, call.body["apply"].size());
        apply(call.body, reply);
      }
      leader.out.complete(call.id, reply);
    }
    leader.out.set_now(leader.out.now() + 0.05);
    leader.out.run_timers();
    return true;
  }
  // Runs the leader until the replies to be lost are lost; returns false if that takes longer than 10 s.
  bool run_until_lost(Leader& leader) {
    for (int i = 0; i < 200 && replies_to_lose > 0; ++i)
      step(leader);
    return replies_to_lose == 0;
  }
  // Loads all stored pages into the leader.
  void load(Leader& leader) {
    for (const auto& [key, value] : stored) {
      if (key.starts_with(kCompletionPrefix)) {
        EXPECT_TRUE(leader.state_writer.load_completion_page(key, value, version_of(key))) << key;
      }
      if (key.starts_with(kInventoryPrefix)) {
        EXPECT_TRUE(leader.state_writer.load_inventory_page(
            key, value, version_of(key), [&leader](const wire::Value& stored_record) {
              const auto host = wire::text(stored_record, "host").value();
              for (jobs::MachineIndex machine{0}; machine < leader.hosts.size(); ++machine) {
                if (leader.hosts[machine] == host)
                  return machine;
              }
              return leader.add_host(host);
            }));
      }
    }
  }

  // Encodes the completed tasks among the job's tasks from `from` to before `end` in the former layout.
  static wire::Value encode_former_entry(const std::string& ref, std::uint32_t from, std::uint32_t end,
                                         const std::set<std::uint32_t>& done) {
    std::string bits;
    for (std::uint32_t task = from; task < end; task += 6) {
      unsigned six = 0;
      for (unsigned bit = 0; bit < 6; ++bit)
        six |= done.contains(task + bit) ? 1U << bit : 0;
      bits += six == '\\' - '0' ? 'z' : static_cast<char>('0' + six);
    }
    return {{"ref", ref}, {"from", from}, {"bits", bits}};
  }
  // Reads the completed tasks of a job from all stored pages by the rules of the former layout.
  std::set<std::uint32_t> read_former_completions(const std::string& ref) const {
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
  // Reads the hosts of all stored inventory pages by the rules of the former layout.
  std::multiset<std::string> read_former_hosts() const {
    std::multiset<std::string> hosts;
    for (const auto& [key, value] : stored) {
      if (!key.starts_with(kInventoryPrefix))
        continue;
      for (const auto& host : value["hosts"]) {
        for (const char* field : {"addr", "type", "zone"})
          EXPECT_TRUE(wire::text(host, field)) << "expected a text in field " << field;
        for (const auto& image : host["images"])
          EXPECT_LT(image.get<std::size_t>(), value["images"].size());
        hosts.insert(host["host"].get<std::string>());
      }
    }
    return hosts;
  }
  static std::string host_name(int number) {
    return "i-" + std::to_string(100000 + number);
  }
};

// Under smaller limits, a chunk of the former layout becomes several chunks. Each of them must stay recorded
// when its page is written again, and a crash at any time must lose no completed task.
TEST_F(RecordPagesTest, FormerCompletionPagesAreSplitWithoutLosingTasks) {
  constexpr std::uint32_t kTasks = 100'000, kChunk = 4096 * 6;
  std::set<std::uint32_t> done;
  for (std::uint32_t task = 0; task < kTasks; ++task) {
    if (task * 2654435761U % 7 < 3)
      done.insert(task);
  }
  std::map<std::string, wire::Value> former;
  for (std::uint32_t page = 0; page * kChunk < kTasks; ++page) {
    const std::uint32_t end = std::min(kTasks, (page + 1) * kChunk);
    former["p/" + std::to_string(page)] =
        wire::Value::array({encode_former_entry("req-1", page * kChunk, end, done),
                            encode_former_entry("req-2", 0, 30, {page})});
  }
  for (int crash = 0; crash < 24; ++crash) {
    stored = former;
    crash_after = crash;
    Leader leader(2, 4);
    Job& job = leader.add_job("req-1", kTasks);
    leader.add_job("req-2", 30);
    load(leader);
    ASSERT_EQ(job.done_tasks, done.size());
    // Completes one more task of each former chunk, so that every page is written again.
    std::set<std::uint32_t> all_done = done;
    for (std::uint32_t task = 5; task < kTasks; task += kChunk) {
      if (done.contains(task))
        continue;
      leader.complete(job, task);
      all_done.insert(task);
    }
    const bool finished = run(leader);
    EXPECT_LE(max_value_bytes, 2048U);
    EXPECT_LE(max_changes, 4U);
    const auto read = read_former_completions("req-1");
    EXPECT_TRUE(std::includes(read.begin(), read.end(), done.begin(), done.end()))
        << "completed tasks were lost in a crash after " << crash << " transactions";
    Leader new_leader(2, 4);
    const Job& loaded = new_leader.add_job("req-1", kTasks);
    const Job& loaded_small = new_leader.add_job("req-2", 30);
    crash_after = -1;
    load(new_leader);
    EXPECT_GE(loaded.done_tasks, done.size());
    EXPECT_EQ(loaded_small.done_tasks, 5U);
    if (!finished)
      continue;
    EXPECT_EQ(read, all_done);
  }
}

// A reader of the former layout, and a leader with larger limits, find all tasks written under smaller
// limits.
TEST_F(RecordPagesTest, PagesWrittenUnderSmallerLimitsAreReadUnderLargerOnes) {
  Leader small(2, 4);
  Job& job = small.add_job("req-1", 100'000);
  for (std::uint32_t task = 0; task < 100'000; task += 3)
    small.complete(job, task);
  ASSERT_TRUE(run(small));
  EXPECT_EQ(read_former_completions("req-1").size(), job.done_tasks);
  Leader large(8, 12);
  Job& loaded = large.add_job("req-1", 100'000);
  load(large);
  EXPECT_EQ(loaded.done_tasks, job.done_tasks);
  // The parts of a chunk are combined when they are written again. A crash meanwhile must lose none of them.
  large.complete(loaded, 1);
  crash_after = 1;
  run(large);
  EXPECT_GE(read_former_completions("req-1").size(), job.done_tasks);
}

TEST_F(RecordPagesTest, FormerInventoryPagesAreSplitWithoutLosingMachines) {
  std::map<std::string, wire::Value> former;
  std::set<std::string> all;
  for (int page = 0; page < 6; ++page) {
    wire::Value hosts = wire::Value::array();
    for (int i = 0; i < 45; ++i) {
      wire::Value former_record = record(host_name(page * 45 + i));
      former_record["images"] = {0, 1};
      all.insert(former_record["host"].get<std::string>());
      hosts.push_back(std::move(former_record));
    }
    former["r/" + std::to_string(page)] = {{"images", {"img-0007", "img-0012"}}, {"hosts", hosts}};
  }
  for (int crash = 0; crash < 30; crash += 3) {
    stored = former;
    crash_after = crash;
    Leader leader(2, 4);
    load(leader);
    ASSERT_EQ(leader.hosts.size(), all.size());
    // One machine of each page is removed, and a new one is added.
    for (int page = 0; page < 6; ++page)
      leader.state_writer.remove_machine(jobs::MachineIndex(page * 45));
    const jobs::MachineIndex added = leader.add_host("i-900000");
    leader.state_writer.add_machine(added);
    const bool finished = run(leader);
    EXPECT_LE(max_value_bytes, 2048U);
    const auto read = read_former_hosts();
    for (std::size_t i = 0; i < all.size(); ++i) {
      EXPECT_TRUE(i % 45 == 0 || read.contains(leader.hosts[i]))
          << leader.hosts[i] << " was lost in a crash after " << crash << " transactions";
    }
    EXPECT_EQ(leader.recorded_machines.contains(added), read.contains("i-900000"));
    if (!finished)
      continue;
    EXPECT_EQ(read.size(), all.size() - 6 + 1) << "expected each machine once, and no removed one";
  }
}

// A list of image names that is not a list ended every controller that loaded the page.
TEST_F(RecordPagesTest, InventoryPagesWithMalformedImageNamesKeepTheirMachines) {
  const wire::Value malformed_names[] = {
      {{"img", 1}}, "img", 7, wire::Value::array({7, wire::Value::array()})};
  for (const wire::Value& names : malformed_names) {
    wire::Value machine = record("i-000001");
    machine["images"] = {0U, 1U, 2U};
    stored = {{"r/0", {{"images", names}, {"hosts", wire::Value::array({machine})}}}};
    Leader leader(8, 12);
    load(leader);
    EXPECT_EQ(leader.hosts, std::vector<std::string>{"i-000001"}) << names.dump();
  }
}

// The sum of both fields overflowed, and tasks counted as completed that were not.
TEST_F(RecordPagesTest, CompletionsFromBeyondTheLastTaskAreMalformed) {
  Leader leader(8, 12);
  Job& job = leader.add_job("req-1", 10);
  const std::uint64_t wraps_around = std::numeric_limits<std::uint64_t>::max() - 5;
  for (const std::uint64_t from : {wraps_around, std::uint64_t{11}}) {
    const wire::Value entry{{"ref", "req-1"}, {"from", from}, {"bits", "oo"}};
    EXPECT_FALSE(leader.state_writer.load_completion_page("p/0", wire::Value::array({entry}), 1));
    EXPECT_EQ(job.done_tasks, 0U);
  }
}

// The state service has a lower limit than the settings say: a refused page is split, and the others are
// written.
TEST_F(RecordPagesTest, PageRefusedByTheStateServiceIsSplitFurther) {
  refuse_above = 700;
  Leader leader(8, 12);
  for (int i = 0; i < 60; ++i)
    leader.state_writer.add_machine(leader.add_host(host_name(i)));
  ASSERT_TRUE(run(leader));
  EXPECT_EQ(leader.recorded_machines.size(), 60U);
  EXPECT_EQ(read_former_hosts().size(), 60U);
  EXPECT_LE(max_value_bytes, 700U);
  EXPECT_GT(leader.state_writer.malformed_commits(), 0U);
}

// A transaction whose reply was lost is applied after newer ones of the same leader. Without a condition on
// the pages' versions, it removed machines from the inventory that had joined since, so the next leader did
// not know that it had to reconcile them, and removed tasks from the completion pages that had been
// acknowledged since.
TEST_F(RecordPagesTest, LateTransactionDoesNotReplaceNewerPages) {
  for (const bool applied_at_once : {false, true}) {
    SCOPED_TRACE(applied_at_once ? "applied at once, only the reply is lost" : "applied late");
    stored.clear(), versions.clear(), unapplied.clear();
    Leader leader(8, 12);
    Job& job = leader.add_job("req-1", 40);
    leader.state_writer.add_machine(leader.add_host("i-000001"));
    leader.complete(job, 3);
    ASSERT_TRUE(run(leader));
    leader.state_writer.add_machine(leader.add_host("i-000002"));
    leader.complete(job, 4);
    replies_to_lose = 2;
    if (applied_at_once) {
      replies_to_lose = 1;
      ASSERT_TRUE(run_until_lost(leader));
      ports::Reply lost_reply;
      apply(unapplied.back(), lost_reply);
      EXPECT_EQ(lost_reply.status, 200);
      unapplied.clear();
    }
    leader.state_writer.add_machine(leader.add_host("i-000003"));
    leader.complete(job, 5);
    ASSERT_TRUE(run(leader));
    EXPECT_EQ(replies_to_lose, 0) << "expected all replies to be lost that were to be";
    EXPECT_EQ(leader.recorded_machines.size(), 3U);
    EXPECT_EQ(leader.state_writer.page_lookups() > 0, applied_at_once);
    EXPECT_EQ(unapplied.empty(), applied_at_once);
    for (const auto& body : unapplied) {
      ports::Reply late_reply;
      apply(body, late_reply);
      EXPECT_EQ(late_reply.status, 409) << "a late transaction was applied: " << body.dump();
    }
    EXPECT_EQ(read_former_hosts(), (std::multiset<std::string>{"i-000001", "i-000002", "i-000003"}));
    EXPECT_EQ(read_former_completions("req-1"), (std::set<std::uint32_t>{3, 4, 5}));
    // The next leader continues with the versions that it has loaded.
    Leader new_leader(8, 12);
    new_leader.add_job("req-1", 40);
    load(new_leader);
    new_leader.state_writer.add_machine(new_leader.add_host("i-000004"));
    ASSERT_TRUE(run(new_leader));
    EXPECT_EQ(new_leader.state_writer.page_lookups(), 0U);
    EXPECT_EQ(read_former_hosts().size(), 4U);
  }
}

// The same with completion pages only: if a transaction also holds an inventory page, the condition on that
// page's version alone would refuse it.
TEST_F(RecordPagesTest, LateTransactionDoesNotReplaceNewerCompletionPages) {
  Leader leader(8, 12);
  Job& job = leader.add_job("req-1", 40);
  leader.complete(job, 3);
  ASSERT_TRUE(run(leader));
  leader.complete(job, 4);
  replies_to_lose = 1;
  ASSERT_TRUE(run_until_lost(leader));
  leader.complete(job, 5);
  ASSERT_TRUE(run(leader));
  ASSERT_EQ(unapplied.size(), 1U);
  ports::Reply late_reply;
  apply(unapplied.front(), late_reply);
  EXPECT_EQ(late_reply.status, 409);
  EXPECT_EQ(read_former_completions("req-1"), (std::set<std::uint32_t>{3, 4, 5}));
}

TEST_F(RecordPagesTest, FinalStatesHaveATimeAndFormerOnesWithoutItAreRead) {
  const auto former = wire::parse_final_state({{"phase", "done"}, {"tasks", 3}});
  ASSERT_TRUE(former);
  EXPECT_FALSE(former->ended_at);
  const auto parsed = wire::parse_final_state(wire::final_state_record({wire::Phase::cancelled, 4, 1e9}));
  ASSERT_TRUE(parsed && parsed->ended_at);
  EXPECT_EQ(parsed->phase, wire::Phase::cancelled);
  EXPECT_DOUBLE_EQ(*parsed->ended_at, 1e9);
}

}  // namespace
}  // namespace wingtrail::jobs
