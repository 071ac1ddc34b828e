// More records wait than the state service can write.
//
// The tests guard against kinds of records that starve. For more than 90 s every query of an accepted job was
// answered 503 or 429 while queries of other jobs succeeded. The job was orphaned: its dependency was
// cancelled and reported so within a second. Meanwhile jobs of one task completed faster than their final
// states could be recorded, and the orphan's final state was not recorded until that was over, although each
// of three leaders had logged that the job was orphaned. Each transaction held six final states of completed
// jobs, recorded half a minute after the jobs' last tasks. The cause was that a transaction was filled with
// final states of one kind first, and the other kinds got only the changes that remained: none for as long as
// the first kind kept arriving.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::jobs {
namespace {

constexpr int kChangesPerFinalState = 2;  // the final state is put, and the job's own key deleted

// The state writer of a leader, with a state service that applies every transaction, one per step.
class BusyStateWriter {
 public:
  explicit BusyStateWriter(int transaction_changes)
      : settings_(settings_of(transaction_changes)),
        store_(out_, settings_),
        registry_(settings_),
        state_writer_(out_, store_, registry_, settings_,
                      {[] { return std::uint64_t{7}; }, [] { return 1e9; }, [] {}, "lead"}) {
    state_writer_.set_events(
        {[this](Job& job) { recorded_.emplace(job.spec.ref, transactions_); },
         [this](const std::vector<StateWriter::CompletedTask>& tasks) { persisted_tasks_ += tasks.size(); },
         [this](jobs::MachineIndex machine) { recorded_machines_.insert(machine); },
         [](jobs::MachineIndex machine) {
           return wire::Value{{"host", "i-" + std::to_string(machine)}, {"images", {"img-0"}}};
         }});
    state_writer_.begin_leadership();
  }

  Job& add_job(std::uint32_t tasks = 1) {
    wire::JobSpec spec;
    spec.ref = "req-" + std::to_string(++jobs_created_);
    spec.tasks = tasks;
    return registry_.add(spec, 1, 0);
  }
  std::string complete_one() {
    Job& done = add_job();
    state_writer_.record_final_state(done, wire::Phase::done, {});
    return done.spec.ref;
  }
  std::string cancel_one() {
    Job& cancelled = add_job();
    state_writer_.record_final_state(cancelled, wire::Phase::cancelled, {});
    return cancelled.spec.ref;
  }
  std::string orphan_one() {
    Job& orphan = add_job();
    orphan.orphaned = true;
    state_writer_.record_orphan(orphan);
    return orphan.spec.ref;
  }
  // Lets the state writer send one transaction.
  void step() {
    const std::size_t before = transactions_;
    for (int turn = 0; turn < 100 && transactions_ == before; ++turn) {
      for (auto& action : out_.drain()) {
        const auto& call = std::get<ports::Call>(action);
        max_changes_ = std::max(max_changes_, call.body["apply"].size());
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
  // Number of the transaction that recorded the job's final state; nothing if it is not recorded.
  std::optional<std::size_t> recorded(const std::string& ref) const {
    const auto found = recorded_.find(ref);
    return found == recorded_.end() ? std::nullopt : std::optional(found->second);
  }
  std::size_t recorded_final_states() const {
    return recorded_.size();
  }
  bool is_machine_recorded(jobs::MachineIndex machine) const {
    return recorded_machines_.contains(machine);
  }
  std::size_t persisted_tasks() const {
    return persisted_tasks_;
  }
  // Number of final states that are not recorded.
  std::size_t waiting() const {
    std::size_t waiting = 0;
    for (const StateWriter::Backlog& backlog : state_writer_.backlogs())
      waiting += backlog.waiting;
    return waiting;
  }
  // Number of changes of the largest transaction.
  std::size_t max_changes() const {
    return max_changes_;
  }
  StateWriter& state_writer() {
    return state_writer_;
  }
  JobRegistry& registry() {
    return registry_;
  }

 private:
  static settings::Settings settings_of(int transaction_changes) {
    settings::Settings settings;
    settings.max_transaction_changes = transaction_changes;
    settings.state_requests_per_s = settings.state_writes_per_s = 1e6;
    settings.teams = {{"t"}};
    return settings;
  }

  settings::Settings settings_;
  ports::Outbox out_;
  store::StateClient store_;
  JobRegistry registry_;
  StateWriter state_writer_;
  std::map<std::string, std::size_t> recorded_;
  std::set<jobs::MachineIndex> recorded_machines_;
  std::size_t transactions_ = 0, persisted_tasks_ = 0, max_changes_ = 0, jobs_created_ = 0;
};

// Decides the final state of one new job and returns the job's reference.
using Produce = std::function<std::string(BusyStateWriter&)>;
const Produce kCompleted = [](BusyStateWriter& writer) {
  return writer.complete_one();
};
const Produce kCancelled = [](BusyStateWriter& writer) {
  return writer.cancel_one();
};
const Produce kOrphaned = [](BusyStateWriter& writer) {
  return writer.orphan_one();
};

void produce_many(BusyStateWriter& writer, const Produce& produce, int count) {
  for (int i = 0; i < count; ++i)
    produce(writer);
}

// Before each transaction, decides more final states of one kind than a transaction holds.
void run_stream(BusyStateWriter& writer, const Produce& produce, int transaction_changes, int transactions) {
  for (int i = 0; i < transactions; ++i) {
    produce_many(writer, produce, transaction_changes);
    writer.step();
  }
}

// Returns true if the condition holds within `transactions` transactions of streams that do not end.
bool holds_within(BusyStateWriter& writer, const std::vector<Produce>& streams, int transaction_changes,
                  int transactions, const std::function<bool()>& condition) {
  for (int i = 0; i < transactions && !condition(); ++i) {
    for (const Produce& produce : streams)
      produce_many(writer, produce, transaction_changes);
    writer.step();
  }
  return condition();
}

constexpr int kWarmupTransactions = 20;
// In the long run every waiting kind gets at least one change in this number: final states of completed,
// cancelled and orphaned jobs, and pages.
constexpr int kMinShareDivisor = 7;

// Maximum number of transactions that record `final_states` final states of one kind, including one for the
// start.
int max_transactions(int final_states, int transaction_changes) {
  const int per_transaction = transaction_changes / kChangesPerFinalState;
  return 1 + (final_states * kMinShareDivisor + per_transaction - 1) / per_transaction;
}

// Expects that 30 final states of one kind are recorded within the bound while streams of other kinds
// continue.
void expect_bounded(const std::vector<Produce>& streams, const Produce& produce, int transaction_changes) {
  BusyStateWriter writer(transaction_changes);
  for (const Produce& stream : streams)
    run_stream(writer, stream, transaction_changes, kWarmupTransactions);
  ASSERT_GT(writer.waiting(), static_cast<std::size_t>(kWarmupTransactions))
      << "expected a backlog of final states";
  constexpr int kFinalStates = 30;
  std::vector<std::string> refs;
  for (int i = 0; i < kFinalStates; ++i)
    refs.push_back(produce(writer));
  const auto all_recorded = [&] {
    return std::all_of(refs.begin(), refs.end(), [&writer](const auto& ref) { return writer.recorded(ref); });
  };
  EXPECT_TRUE(holds_within(writer, streams, transaction_changes,
                           max_transactions(kFinalStates, transaction_changes), all_recorded))
      << "the final states were not recorded within the bound";
  EXPECT_GT(writer.waiting(), static_cast<std::size_t>(kWarmupTransactions))
      << "expected the backlog to last until the end";
  EXPECT_LE(writer.max_changes(), static_cast<std::size_t>(transaction_changes));
}

// Expects that pages are written within the bound during a stream of final states: a machine without an
// inventory record gets no work, and a completed task without a completion record keeps its allocation.
void expect_pages_bounded(const Produce& stream, int transaction_changes) {
  BusyStateWriter writer(transaction_changes);
  run_stream(writer, stream, transaction_changes, kWarmupTransactions);
  Job& array = writer.add_job(40);
  writer.registry().complete_task(array, 3, kNoIndex);
  writer.state_writer().record_completion(array, 3, jobs::MachineIndex(0), 1);
  writer.state_writer().add_machine(jobs::MachineIndex(5));
  // Completed tasks are collected for 1 s and new machines for 0.05 s; a transaction takes at least 0.02 s.
  constexpr int kCollectionTransactions = 60;
  EXPECT_TRUE(holds_within(writer, {stream}, transaction_changes,
                           kCollectionTransactions + max_transactions(2, transaction_changes),
                           [&writer] {
                             return writer.is_machine_recorded(jobs::MachineIndex(5)) &&
                                    writer.persisted_tasks() == 1;
                           }))
      << "the pages were not written within the bound";
  EXPECT_LE(writer.max_changes(), static_cast<std::size_t>(transaction_changes));
}

// Returns how many final states are recorded in a fixed number of transactions, while the inventory holds one
// machine whose record changes if `refresh_machine` is set.
std::size_t count_recorded_final_states(bool refresh_machine, int transaction_changes) {
  const jobs::MachineIndex machine(5);
  BusyStateWriter writer(transaction_changes);
  writer.state_writer().add_machine(machine);
  run_stream(writer, kCompleted, transaction_changes, kWarmupTransactions);
  EXPECT_TRUE(writer.is_machine_recorded(machine));
  if (refresh_machine)
    writer.state_writer().refresh_machine(machine);
  // A transaction takes at least 0.02 s, so the page of the changed machine becomes due meanwhile.
  constexpr int kRefreshTransactions = static_cast<int>(InventoryPages::kRefreshDelay / 0.02);
  run_stream(writer, kCompleted, transaction_changes, kRefreshTransactions + kWarmupTransactions);
  EXPECT_GT(writer.waiting(), static_cast<std::size_t>(kWarmupTransactions))
      << "expected a backlog of final states";
  return writer.recorded_final_states();
}

// Expects that final states of one kind are recorded in the order of their decisions, however many follow.
void expect_oldest_first(const Produce& produce, int transaction_changes) {
  BusyStateWriter writer(transaction_changes);
  std::vector<std::string> refs;
  for (int i = 0; i < kWarmupTransactions; ++i) {
    for (int j = 0; j < transaction_changes; ++j)
      refs.push_back(produce(writer));
    writer.step();
  }
  EXPECT_GT(writer.waiting(), static_cast<std::size_t>(kWarmupTransactions))
      << "expected a backlog of final states";
  while (writer.waiting() > 0)
    writer.step();
  for (std::size_t i = 1; i < refs.size(); ++i)
    EXPECT_LE(*writer.recorded(refs[i - 1]), *writer.recorded(refs[i]))
        << "expected " << refs[i - 1] << " to be recorded before " << refs[i];
}

TEST(StateWriterBacklog, NoKindOfRecordStarvesTheOthers) {
  for (const int transaction_changes : {12, 4, 3}) {
    SCOPED_TRACE(::testing::Message() << transaction_changes << " changes per transaction");
    expect_bounded({kCompleted}, kOrphaned, transaction_changes);
    expect_bounded({kCompleted}, kCancelled, transaction_changes);
    expect_bounded({kCancelled}, kCompleted, transaction_changes);
    expect_bounded({kCancelled}, kOrphaned, transaction_changes);
    expect_bounded({kOrphaned}, kCompleted, transaction_changes);
    expect_bounded({kOrphaned}, kCancelled, transaction_changes);
    expect_bounded({kCancelled, kOrphaned}, kCompleted, transaction_changes);
    expect_bounded({kCompleted, kCancelled}, kOrphaned, transaction_changes);
    expect_bounded({kCompleted, kOrphaned}, kCancelled, transaction_changes);
    for (const Produce& stream : {kCompleted, kCancelled, kOrphaned}) {
      expect_pages_bounded(stream, transaction_changes);
      expect_oldest_first(stream, transaction_changes);
    }
  }
}

// The page of a machine whose record has changed only saves a later leader some image fetches, while users
// wait for final states, so the page must not reduce the number of final states that are recorded.
TEST(StateWriterBacklog, OpportunisticPageTakesNoChangeFromFinalStates) {
  for (const int transaction_changes : {12, 4, 3}) {
    SCOPED_TRACE(::testing::Message() << transaction_changes << " changes per transaction");
    EXPECT_EQ(count_recorded_final_states(true, transaction_changes),
              count_recorded_final_states(false, transaction_changes));
  }
}

}  // namespace
}  // namespace wingtrail::jobs
