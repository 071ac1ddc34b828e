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
#include "wire/job_messages.hpp"

namespace wingtrail::jobs {
namespace {

constexpr int kChangesOfAFinalState = 2;  // its final state, and the job's own key

// A state writer that leads beside a state service that carries out whatever it gets, one transaction a step.
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
         [this](const std::vector<StateWriter::CompletedTask>& ended) { persisted_ += ended.size(); },
         [this](jobs::MachineIndex machine) { recorded_machine_.emplace(machine, transactions_); },
         [](jobs::MachineIndex machine) {
           return wire::Value{{"host", "i-" + std::to_string(machine)}, {"images", {"img-0"}}};
         }});
    state_writer_.begin_leadership();
  }

  Job& job(std::uint32_t tasks = 1) {
    wire::JobSpec spec;
    spec.ref = "req-" + std::to_string(++jobs_made_);
    spec.tasks = tasks;
    return registry_.add(spec, 1, 0);
  }
  std::string complete_one() {
    Job& done = job();
    state_writer_.record_final_state(done, wire::Phase::done, {});
    return done.spec.ref;
  }
  std::string cancel_one() {
    Job& cancelled = job();
    state_writer_.record_final_state(cancelled, wire::Phase::cancelled, {});
    return cancelled.spec.ref;
  }
  std::string orphan_one() {
    Job& orphan = job();
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
        most_changes_ = std::max(most_changes_, call.body["apply"].size());
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
  std::size_t recorded_final_states() const {
    return recorded_.size();
  }
  bool recorded_machine(jobs::MachineIndex machine) const {
    return recorded_machine_.contains(machine);
  }
  std::size_t persisted() const {
    return persisted_;
  }
  std::size_t waiting() const {
    std::size_t waiting = 0;
    for (const StateWriter::Backlog& backlog : state_writer_.backlogs())
      waiting += backlog.waiting;
    return waiting;
  }
  std::size_t most_changes() const {
    return most_changes_;
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
  std::map<jobs::MachineIndex, std::size_t> recorded_machine_;
  std::size_t transactions_ = 0, persisted_ = 0, most_changes_ = 0, jobs_made_ = 0;
};

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
  for (int n = 0; n < count; ++n)
    produce(writer);
}

// More of one kind than a transaction holds comes before each transaction.
void play_stream(BusyStateWriter& writer, const Produce& produce, int transaction_changes, int transactions) {
  for (int n = 0; n < transactions; ++n) {
    produce_many(writer, produce, transaction_changes);
    writer.step();
  }
}

// Whether `wanted` holds within so many transactions of a stream that does not end.
bool holds_within(BusyStateWriter& writer, const std::vector<Produce>& streams, int transaction_changes,
                  int transactions, const std::function<bool()>& wanted) {
  for (int n = 0; n < transactions && !wanted(); ++n) {
    for (const Produce& produce : streams)
      produce_many(writer, produce, transaction_changes);
    writer.step();
  }
  return wanted();
}

constexpr int kWarmup = 20;
// Of each transaction every kind that waits gets at least that part in the long run: ends of completed jobs,
// of cancelled ones, of those that need a cancelled one, and pages.
constexpr int kLeastPart = 7;

// So many ends of one kind take so many transactions at the most, and one to begin with.
int transactions_for(int final_states, int transaction_changes) {
  const int final_states_in_one = transaction_changes / kChangesOfAFinalState;
  return 1 + (final_states * kLeastPart + final_states_in_one - 1) / final_states_in_one;
}

void expect_bounded(const std::vector<Produce>& streams, const Produce& produce, int transaction_changes) {
  BusyStateWriter writer(transaction_changes);
  for (const Produce& stream : streams)
    play_stream(writer, stream, transaction_changes, kWarmup);
  ASSERT_GT(writer.waiting(), static_cast<std::size_t>(kWarmup)) << "there is no backlog";
  constexpr int kFinalStates = 30;
  std::vector<std::string> refs;
  for (int n = 0; n < kFinalStates; ++n)
    refs.push_back(produce(writer));
  const auto all_recorded = [&] {
    return std::all_of(refs.begin(), refs.end(), [&writer](const auto& ref) { return writer.recorded(ref); });
  };
  EXPECT_TRUE(holds_within(writer, streams, transaction_changes,
                           transactions_for(kFinalStates, transaction_changes), all_recorded));
  EXPECT_GT(writer.waiting(), static_cast<std::size_t>(kWarmup)) << "the stream had an end";
  EXPECT_LE(writer.most_changes(), static_cast<std::size_t>(transaction_changes));
}

// A machine that is not listed yet gets no work, and a task whose completion is not recorded keeps its place.
void expect_pages_bounded(const Produce& stream, int transaction_changes) {
  BusyStateWriter writer(transaction_changes);
  play_stream(writer, stream, transaction_changes, kWarmup);
  Job& array = writer.job(40);
  writer.registry().complete_task(array, 3, kNoIndex);
  writer.state_writer().record_completion(array, 3, jobs::MachineIndex(0), 1);
  writer.state_writer().add_machine(jobs::MachineIndex(5));
  // Completed tasks are gathered for a second, machines for a moment.
  constexpr int kGathering = 60;
  EXPECT_TRUE(holds_within(
      writer, {stream}, transaction_changes, kGathering + transactions_for(2, transaction_changes),
      [&writer] { return writer.recorded_machine(jobs::MachineIndex(5)) && writer.persisted() == 1; }));
  EXPECT_LE(writer.most_changes(), static_cast<std::size_t>(transaction_changes));
}

// How many ends of completed jobs the transactions of a stream hold, beside a machine in the inventory.
std::size_t final_states_beside_a_machine(bool machine_changes, int transaction_changes) {
  const jobs::MachineIndex machine(5);
  BusyStateWriter writer(transaction_changes);
  writer.state_writer().add_machine(machine);
  play_stream(writer, kCompleted, transaction_changes, kWarmup);
  EXPECT_TRUE(writer.recorded_machine(machine));
  if (machine_changes)
    writer.state_writer().refresh_machine(machine);
  // Each transaction takes 0.02 s at the least, so the page of the changed machine comes due meanwhile.
  constexpr int kUntilTheRefreshIsDue = static_cast<int>(InventoryPages::kRefreshDelay / 0.02);
  play_stream(writer, kCompleted, transaction_changes, kUntilTheRefreshIsDue + kWarmup);
  EXPECT_GT(writer.waiting(), static_cast<std::size_t>(kWarmup)) << "there is no backlog";
  return writer.recorded_final_states();
}

// Users who cancel hear in the order in which they asked, however many come after them.
void expect_oldest_first(const Produce& produce, int transaction_changes) {
  BusyStateWriter writer(transaction_changes);
  std::vector<std::string> refs;
  for (int n = 0; n < kWarmup; ++n) {
    for (int k = 0; k < transaction_changes; ++k)
      refs.push_back(produce(writer));
    writer.step();
  }
  EXPECT_GT(writer.waiting(), static_cast<std::size_t>(kWarmup)) << "there is no backlog";
  while (writer.waiting() > 0)
    writer.step();
  for (std::size_t n = 1; n < refs.size(); ++n)
    EXPECT_LE(*writer.recorded(refs[n - 1]), *writer.recorded(refs[n]))
        << refs[n - 1] << " came before " << refs[n];
}

TEST(StateWriterBacklog, EveryKindIsRecordedWithinItsBoundBesideAnyOther) {
  for (const int transaction_changes : {12, 4, 3}) {
    SCOPED_TRACE(::testing::Message() << transaction_changes << " changes a transaction");
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

// The page of a machine whose record has changed saves a later leader some fetches, and no more than that;
// users wait for final states.
TEST(StateWriterBacklog, APageThatOnlyALaterLeaderNeedsTakesNoChangeFromFinalStates) {
  for (const int transaction_changes : {12, 4, 3}) {
    SCOPED_TRACE(::testing::Message() << transaction_changes << " changes a transaction");
    EXPECT_EQ(final_states_beside_a_machine(true, transaction_changes),
              final_states_beside_a_machine(false, transaction_changes));
  }
}

}  // namespace
}  // namespace wingtrail::jobs
