// More is to be recorded than the state service can write.
//
// What users saw: for more than 90 s every question about an accepted job got 503 or 429, while others were
// answered. In order: the job's need was cancelled and its user told so within a second, so the job itself
// could only be cancelled too; jobs of one task then ended faster than their ends could be recorded; nothing
// was recorded of the job until that was over. The evidence: the transactions of that time held six ends of
// completed jobs each, recorded half a minute after their last tasks; a log line said that the job "is
// cancelled with a job that it needs", one such line under each of three leaders, and none that it is over.
// The cause: a transaction was filled with ends of one kind first and the other kinds got what was left,
// which is nothing for as long as that kind keeps coming.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/state_writer.hpp"

namespace wingtrail::jobs {
namespace {

constexpr int kOpsOfAnEnd = 2;  // its final state, and the job's own key

// A ledger that leads beside a state service that carries out whatever it gets, one transaction a step.
class BusyLedger {
 public:
  explicit BusyLedger(int txn_ops)
      : settings_(settings_of(txn_ops)),
        store_(out_, settings_),
        registry_(settings_),
        ledger_(out_, store_, registry_, settings_,
                {[] { return std::uint64_t{7}; }, [] { return 1e9; }, [] {}, "lead"}) {
    ledger_.set_events(
        {[this](Job& job) { recorded_.emplace(job.spec.ref, transactions_); },
         [this](const std::vector<StateWriter::CompletedTask>& ended) { persisted_ += ended.size(); },
         [this](jobs::MachineIndex machine) { enlisted_.emplace(machine, transactions_); },
         [](jobs::MachineIndex machine) {
           return wire::Value{{"host", "i-" + std::to_string(machine)}, {"images", {"img-0"}}};
         }});
    ledger_.begin_leadership();
  }

  Job& job(std::uint32_t tasks = 1) {
    wire::JobSpec spec;
    spec.ref = "req-" + std::to_string(++jobs_made_);
    spec.tasks = tasks;
    return registry_.add(spec, 1, 0);
  }
  std::string complete_one() {
    Job& done = job();
    ledger_.record_final_state(done, wire::Phase::done, {});
    return done.spec.ref;
  }
  std::string cancel_one() {
    Job& cancelled = job();
    ledger_.record_final_state(cancelled, wire::Phase::cancelled, {});
    return cancelled.spec.ref;
  }
  std::string orphan_one() {
    Job& orphan = job();
    orphan.orphaned = true;
    ledger_.record_orphan(orphan);
    return orphan.spec.ref;
  }
  // Lets the ledger write one transaction.
  void step() {
    const std::size_t before = transactions_;
    for (int turn = 0; turn < 100 && transactions_ == before; ++turn) {
      for (auto& action : out_.drain()) {
        const auto& call = std::get<ports::Call>(action);
        most_ops_ = std::max(most_ops_, call.body["apply"].size());
        ++transactions_;
        ports::Reply reply;
        reply.status = 200;
        reply.body = {{"ledgerRev", 100 + transactions_}};
        out_.complete(call.id, reply);
      }
      out_.set_now(out_.now() + 0.02);
      out_.run_timers();
    }
  }
  std::size_t transactions() const {
    return transactions_;
  }
  // In which transaction the end was recorded; nothing: it is not.
  std::optional<std::size_t> recorded(const std::string& ref) const {
    const auto found = recorded_.find(ref);
    return found == recorded_.end() ? std::nullopt : std::optional(found->second);
  }
  std::size_t recorded_ends() const {
    return recorded_.size();
  }
  bool enlisted(jobs::MachineIndex machine) const {
    return enlisted_.contains(machine);
  }
  std::size_t persisted() const {
    return persisted_;
  }
  std::size_t waiting() const {
    std::size_t waiting = 0;
    for (const StateWriter::Backlog& backlog : ledger_.backlogs())
      waiting += backlog.waiting;
    return waiting;
  }
  std::size_t most_ops() const {
    return most_ops_;
  }
  StateWriter& ledger() {
    return ledger_;
  }
  JobRegistry& registry() {
    return registry_;
  }

 private:
  static settings::Settings settings_of(int txn_ops) {
    settings::Settings settings;
    settings.max_transaction_changes = txn_ops;
    settings.state_requests_per_s = settings.state_writes_per_s = 1e6;
    settings.teams = {{"t"}};
    return settings;
  }

  settings::Settings settings_;
  ports::Outbox out_;
  store::StateClient store_;
  JobRegistry registry_;
  StateWriter ledger_;
  std::map<std::string, std::size_t> recorded_;
  std::map<jobs::MachineIndex, std::size_t> enlisted_;
  std::size_t transactions_ = 0, persisted_ = 0, most_ops_ = 0, jobs_made_ = 0;
};

using Produce = std::function<std::string(BusyLedger&)>;
const Produce kCompleted = [](BusyLedger& l) {
  return l.complete_one();
};
const Produce kCancelled = [](BusyLedger& l) {
  return l.cancel_one();
};
const Produce kOrphaned = [](BusyLedger& l) {
  return l.orphan_one();
};

void produce_many(BusyLedger& l, const Produce& produce, int count) {
  for (int n = 0; n < count; ++n)
    produce(l);
}

// More of one kind than a transaction holds comes before each transaction.
void play_stream(BusyLedger& l, const Produce& produce, int txn_ops, int transactions) {
  for (int n = 0; n < transactions; ++n) {
    produce_many(l, produce, txn_ops);
    l.step();
  }
}

// Whether `wanted` holds within so many transactions of a stream that does not end.
bool holds_within(BusyLedger& l, const std::vector<Produce>& streams, int txn_ops, int transactions,
                  const std::function<bool()>& wanted) {
  for (int n = 0; n < transactions && !wanted(); ++n) {
    for (const Produce& produce : streams)
      produce_many(l, produce, txn_ops);
    l.step();
  }
  return wanted();
}

constexpr int kWarmup = 20;
// Of each transaction every kind that waits gets at least that part in the long run: ends of completed jobs,
// of cancelled ones, of those that need a cancelled one, and pages.
constexpr int kLeastPart = 7;

// So many ends of one kind take so many transactions at the most, and one to begin with.
int transactions_for(int ends, int txn_ops) {
  const int ends_in_one = txn_ops / kOpsOfAnEnd;
  return 1 + (ends * kLeastPart + ends_in_one - 1) / ends_in_one;
}

void expect_bounded(const std::vector<Produce>& streams, const Produce& produce, int txn_ops) {
  BusyLedger l(txn_ops);
  for (const Produce& stream : streams)
    play_stream(l, stream, txn_ops, kWarmup);
  ASSERT_GT(l.waiting(), static_cast<std::size_t>(kWarmup)) << "there is no backlog";
  constexpr int kEnds = 30;
  std::vector<std::string> refs;
  for (int n = 0; n < kEnds; ++n)
    refs.push_back(produce(l));
  const auto all_recorded = [&] {
    return std::all_of(refs.begin(), refs.end(), [&l](const auto& ref) { return l.recorded(ref); });
  };
  EXPECT_TRUE(holds_within(l, streams, txn_ops, transactions_for(kEnds, txn_ops), all_recorded));
  EXPECT_GT(l.waiting(), static_cast<std::size_t>(kWarmup)) << "the stream had an end";
  EXPECT_LE(l.most_ops(), static_cast<std::size_t>(txn_ops));
}

// A machine that is not listed yet gets no work, and a task whose completion is not recorded keeps its place.
void expect_pages_bounded(const Produce& stream, int txn_ops) {
  BusyLedger l(txn_ops);
  play_stream(l, stream, txn_ops, kWarmup);
  Job& array = l.job(40);
  l.registry().complete_task(array, 3, kNoIndex);
  l.ledger().record_completion(array, 3, jobs::MachineIndex(0), 1);
  l.ledger().add_machine(jobs::MachineIndex(5));
  // Completed tasks are gathered for a second, machines for a moment.
  constexpr int kGathering = 60;
  EXPECT_TRUE(holds_within(l, {stream}, txn_ops, kGathering + transactions_for(2, txn_ops),
                           [&l] { return l.enlisted(jobs::MachineIndex(5)) && l.persisted() == 1; }));
  EXPECT_LE(l.most_ops(), static_cast<std::size_t>(txn_ops));
}

// Users who cancel hear in the order in which they asked, however many come after them.
void expect_oldest_first(const Produce& produce, int txn_ops) {
  BusyLedger l(txn_ops);
  std::vector<std::string> refs;
  for (int n = 0; n < kWarmup; ++n) {
    for (int k = 0; k < txn_ops; ++k)
      refs.push_back(produce(l));
    l.step();
  }
  EXPECT_GT(l.waiting(), static_cast<std::size_t>(kWarmup)) << "there is no backlog";
  while (l.waiting() > 0)
    l.step();
  for (std::size_t n = 1; n < refs.size(); ++n)
    EXPECT_LE(*l.recorded(refs[n - 1]), *l.recorded(refs[n])) << refs[n - 1] << " came before " << refs[n];
}

TEST(LedgerBacklog, EveryKindIsRecordedWithinItsBoundBesideAnyOther) {
  for (const int txn_ops : {12, 4, 3}) {
    SCOPED_TRACE(::testing::Message() << txn_ops << " changes a transaction");
    expect_bounded({kCompleted}, kOrphaned, txn_ops);
    expect_bounded({kCompleted}, kCancelled, txn_ops);
    expect_bounded({kCancelled}, kCompleted, txn_ops);
    expect_bounded({kCancelled}, kOrphaned, txn_ops);
    expect_bounded({kOrphaned}, kCompleted, txn_ops);
    expect_bounded({kOrphaned}, kCancelled, txn_ops);
    expect_bounded({kCancelled, kOrphaned}, kCompleted, txn_ops);
    expect_bounded({kCompleted, kCancelled}, kOrphaned, txn_ops);
    expect_bounded({kCompleted, kOrphaned}, kCancelled, txn_ops);
    for (const Produce& stream : {kCompleted, kCancelled, kOrphaned}) {
      expect_pages_bounded(stream, txn_ops);
      expect_oldest_first(stream, txn_ops);
    }
  }
}

}  // namespace
}  // namespace wingtrail::jobs
