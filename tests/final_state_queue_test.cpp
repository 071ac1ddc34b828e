/// @file
/// Unit tests of the final state queue, the inventory pages and the completion pages.
#include "jobs/final_state_queue.hpp"

#include <gtest/gtest.h>

#include "jobs/completion_pages.hpp"
#include "jobs/inventory_pages.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {
namespace {

constexpr WriteLimits kLimits{2000, 2048, 12};  // bytes per page and per value, changes per transaction

settings::Settings settings_with_one_team() {
  settings::Settings settings;
  settings.teams = {{"t"}};
  return settings;
}

Job& add_job(JobRegistry& registry, const std::string& ref, std::uint32_t tasks = 1) {
  wire::JobSpec spec;
  spec.ref = ref;
  spec.tasks = tasks;
  return registry.add(spec, 1, 0);
}

class FinalStateQueueTest : public ::testing::Test {
 protected:
  Job& decide(const std::string& ref, RecordKind kind, Seconds decided_at) {
    Job& job = add_job(registry, ref);
    const auto phase = kind == RecordKind::completed ? wire::Phase::done : wire::Phase::cancelled;
    queue.decide(job, phase, kind, decided_at);
    return job;
  }
  settings::Settings settings = settings_with_one_team();
  JobRegistry registry{settings};
  FinalStateQueue queue{registry, settings};
};

TEST_F(FinalStateQueueTest, OldestFinalStateOfAKindIsSelectedFirst) {
  const JobIndex younger = decide("req-1", RecordKind::completed, 5).index;
  const JobIndex older = decide("req-2", RecordKind::completed, 3).index;
  EXPECT_EQ(queue.select({4, 0, 0}, 6).final_states, (std::vector<JobIndex>{older, younger}));
  EXPECT_TRUE(queue.empty());
}

TEST_F(FinalStateQueueTest, ChangesAreDividedAmongAllWaitingKinds) {
  for (int number = 0; number < 10; ++number)
    decide("req-" + std::to_string(number), RecordKind::completed, number);
  const auto selection = queue.select({6, 1, 1}, 20);
  EXPECT_EQ(selection.final_states.size(), 2U);
  EXPECT_EQ(selection.inventory_changes, 1);
  EXPECT_EQ(selection.completion_changes, 1);
  EXPECT_TRUE(selection.left_out[index(RecordKind::completed)]);
}

TEST_F(FinalStateQueueTest, FinalStateStaysUnrecordedUntilItsTransactionIsApplied) {
  Job& job = decide("req-1", RecordKind::cancelled, 3);
  const auto failed = queue.select({4, 0, 0}, 4);
  EXPECT_EQ(queue.oldest_unrecorded(RecordKind::cancelled), 3);
  queue.restore(failed);
  EXPECT_EQ(queue.select({4, 0, 0}, 5).final_states, failed.final_states);
  queue.on_recorded(job);
  EXPECT_FALSE(queue.oldest_unrecorded(RecordKind::cancelled));
  EXPECT_EQ(queue.backlogs(6)[index(RecordKind::cancelled)].recorded, 1U);
}

wire::Value record_of(MachineIndex machine) {
  return {{"host", "i-" + std::to_string(machine)}, {"images", {"img-0"}}};
}

TEST(InventoryPagesTest, EncodedPageIsLoadedByANewLeader) {
  InventoryPages pages(kLimits);
  pages.set_record_source(record_of);
  pages.add(MachineIndex(7), 0);
  EXPECT_EQ(pages.due_count(0), 1);
  wire::Transaction transaction;
  TransactionSpace space{4, 0};
  const auto writes = pages.add_due(transaction, space, PageUrgency::soon, 0);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].joining, (std::vector<MachineIndex>{MachineIndex(7)}));
  EXPECT_EQ(space.changes, 3);

  InventoryPages new_leader(kLimits);
  std::vector<wire::Value> loaded;
  EXPECT_TRUE(new_leader.load("r/0", pages.encode(0), 5, 0, [&loaded](const wire::Value& record) {
    loaded.push_back(record);
    return MachineIndex(0);
  }));
  EXPECT_EQ(loaded, std::vector<wire::Value>{record_of(MachineIndex(7))});
  EXPECT_FALSE(new_leader.load("r/x", pages.encode(0), 5, 0, {}));
}

TEST(InventoryPagesTest, OpportunisticPageHasNoShareOfTheChanges) {
  InventoryPages pages(kLimits);
  pages.set_record_source(record_of);
  pages.add(MachineIndex(7), 0);
  wire::Transaction transaction;
  TransactionSpace space{4, 0};
  const auto first = pages.add_due(transaction, space, PageUrgency::soon, 0);
  ASSERT_EQ(first.size(), 1U);
  pages.on_written(first[0], 5);

  ASSERT_TRUE(pages.refresh(MachineIndex(7), 0));
  const Seconds due_at = pages.next_due_at();
  ASSERT_EQ(due_at, InventoryPages::kRefreshDelay);
  EXPECT_EQ(pages.due_count(due_at), 0);
  EXPECT_TRUE(pages.add_due(transaction, space, PageUrgency::soon, due_at).empty());
  EXPECT_EQ(pages.add_due(transaction, space, PageUrgency::opportunistic, due_at).size(), 1U);
}

TEST(InventoryPagesTest, PageOfARemovedMachineHasAShareOfTheChanges) {
  InventoryPages pages(kLimits);
  pages.set_record_source(record_of);
  pages.add(MachineIndex(7), 0);
  wire::Transaction transaction;
  TransactionSpace space{4, 0};
  const auto first = pages.add_due(transaction, space, PageUrgency::soon, 0);
  ASSERT_EQ(first.size(), 1U);
  pages.on_written(first[0], 5);

  ASSERT_TRUE(pages.remove(MachineIndex(7), 0));
  EXPECT_EQ(pages.due_count(0), 0);
  EXPECT_EQ(pages.due_count(InventoryPages::kRemovalDelay), 1);
}

TEST(CompletionPagesTest, TasksOfAFailedWriteAreCoveredByTheNextOne) {
  const settings::Settings settings = settings_with_one_team();
  JobRegistry registry(settings);
  Job& job = add_job(registry, "req-1", 40);
  CompletionPages pages(registry, settings, kLimits);
  registry.complete_task(job, 3, kNoIndex);
  pages.add(job, {MachineIndex(0), 3, 1}, 0);
  const Seconds due_at = pages.next_due_at();
  wire::Transaction transaction;
  TransactionSpace space{4, 0};
  const auto failed = pages.add_due(transaction, space, due_at);
  ASSERT_EQ(failed.size(), 1U);
  EXPECT_EQ(pages.due_count(due_at), 0);
  pages.restore(failed[0], due_at);
  const auto writes = pages.add_due(transaction, space, pages.next_due_at());
  ASSERT_EQ(writes.size(), 1U);
  const auto persisted = pages.on_written(writes[0], 9);
  ASSERT_EQ(persisted.size(), 1U);
  EXPECT_EQ(persisted[0].task, 3U);
}

}  // namespace
}  // namespace wingtrail::jobs
