/// @file
/// Unit tests of the dependency graph.
#include "jobs/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <pcg_random.hpp>

#include "wire/job_messages.hpp"

namespace wingtrail::jobs {
namespace {

std::string ref(int number) {
  return "req-" + std::to_string(number);
}

class DependencyGraphTest : public ::testing::Test {
 protected:
  settings::Settings settings;
  JobRegistry registry{settings};
  std::map<std::string, DependencyGraph::FinalState> final_states;
  DependencyGraph graph{registry,
                        {[this](const std::string& job) -> std::optional<DependencyGraph::FinalState> {
                           auto it = final_states.find(job);
                           return it == final_states.end() ? std::nullopt : std::optional(it->second);
                         },
                         [](const Job& job) {
                           return job.spec.estimate_s;
                         }}};
  std::uint64_t revision = 0;

  Job& add(int number, const std::vector<int>& dependencies, wire::Priority priority = wire::Priority::low,
           std::optional<double> deadline_s = {}) {
    wire::JobSpec spec;
    spec.ref = ref(number);
    spec.tasks = 1;
    spec.estimate_s = 10;
    spec.priority = priority;
    spec.deadline_s = deadline_s;
    for (const int dependency : dependencies)
      spec.depends_on.push_back(ref(dependency));
    Job& job = registry.add(spec, ++revision, 0);
    graph.add(job);
    return job;
  }
  // Commits the job's final state: done or cancelled.
  void finish(int number, bool done, Seconds at = 1) {
    if (Job* job = registry.find(ref(number)))
      job->final_state_pending = job->final_state_recorded = true;
    final_states[ref(number)] = {done, at};
    graph.on_final_state(ref(number), {done, at});
  }
  std::vector<std::string> sorted_refs(const std::vector<jobs::JobIndex>& jobs) {
    std::vector<std::string> refs;
    refs.reserve(jobs.size());
    for (const jobs::JobIndex job : jobs)
      refs.push_back(registry.job_at(job)->spec.ref);
    std::sort(refs.begin(), refs.end());
    return refs;
  }
  using Refs = std::vector<std::string>;
};

TEST_F(DependencyGraphTest, JobIsReadyOnceAllDependenciesAreDone) {
  final_states[ref(1)] = {true, 5};
  add(2, {});
  add(3, {});
  Job& last = add(4, {1, 2, 3});
  EXPECT_EQ(last.unmet_dependencies, 2U);
  finish(2, true, 7);
  EXPECT_TRUE(graph.take_ready().empty());
  finish(3, true, 9);
  EXPECT_EQ(sorted_refs(graph.take_ready()), Refs{ref(4)});
  EXPECT_DOUBLE_EQ(last.eligible_since, 9);
  EXPECT_DOUBLE_EQ(last.submitted_at, 0);
  finish(3, true, 9);  // repeated
  EXPECT_TRUE(graph.take_ready().empty());
  finish(4, true);
  EXPECT_EQ(graph.node_count(), 0U);
}

// An unknown dependency does not count as done: it may be live and not seen yet, or may have become final
// before this leadership.
TEST_F(DependencyGraphTest, UnknownDependencyIsLookedUpOnceAndHoldsTheJob) {
  Job& dependent = add(2, {1});
  add(3, {1});
  EXPECT_TRUE(dependent.is_held());
  EXPECT_EQ(graph.take_unknown(), Refs{ref(1)});
  EXPECT_TRUE(graph.take_unknown().empty());
  EXPECT_TRUE(graph.awaits_unknown(ref(1)));
  add(1, {});  // its creation is seen late
  EXPECT_FALSE(graph.awaits_unknown(ref(1)));
  EXPECT_TRUE(dependent.is_held());
  finish(1, true);
  EXPECT_EQ(sorted_refs(graph.take_ready()), (Refs{ref(2), ref(3)}));
}

TEST_F(DependencyGraphTest, CancelledJobOrphansAllItsDependents) {
  add(1, {});
  add(2, {1});
  add(3, {2});
  add(4, {3, 1});
  add(5, {});
  finish(1, false);
  EXPECT_EQ(sorted_refs(graph.take_orphans()), (Refs{ref(2), ref(3), ref(4)}));
  EXPECT_TRUE(graph.take_ready().empty());
  Job& late = add(6, {3});  // submitted before the orphans' final states are recorded
  finish(2, false), finish(3, false);
  EXPECT_TRUE(late.orphaned);
  EXPECT_EQ(sorted_refs(graph.take_orphans()), Refs{ref(6)});
  Job& later = add(7, {5, 3});
  EXPECT_TRUE(later.orphaned);
  EXPECT_TRUE(later.is_held());
  finish(5, true);
  EXPECT_TRUE(graph.take_ready().empty());
}

TEST_F(DependencyGraphTest, UrgencyPropagatesToDependenciesAndIsRevoked) {
  Job& first = add(1, {});
  Job& middle = add(2, {1});
  Job& side = add(3, {1}, wire::Priority::normal);
  graph.propagate_urgency();
  EXPECT_EQ(first.effective_priority, wire::Priority::normal);
  EXPECT_EQ(first.latest_finish, ports::kNever);
  Job& last = add(4, {2}, wire::Priority::high, 100);
  graph.propagate_urgency();
  EXPECT_EQ(first.effective_priority, wire::Priority::high);
  EXPECT_EQ(middle.effective_priority, wire::Priority::high);
  EXPECT_EQ(side.effective_priority, wire::Priority::normal);
  EXPECT_DOUBLE_EQ(middle.latest_finish, 90);  // the last job's expected duration is 10 s
  EXPECT_DOUBLE_EQ(first.latest_finish, 80);
  EXPECT_EQ(last.latest_finish, ports::kNever);
  finish(4, false);
  graph.propagate_urgency();
  EXPECT_EQ(middle.effective_priority, wire::Priority::low);
  EXPECT_EQ(first.effective_priority, wire::Priority::normal);
  EXPECT_EQ(first.latest_finish, ports::kNever);
}

TEST_F(DependencyGraphTest, CostIsLinearForLongChainsAndWideFans) {
  constexpr int kMany = 5000;
  add(0, {});
  for (int i = 1; i <= kMany; ++i) {
    add(i, {i - 1});
    add(kMany + i, {0});
  }
  add(3 * kMany, {kMany}, wire::Priority::high, 1e6);  // raises the urgency of the whole chain
  graph.propagate_urgency();
  EXPECT_EQ(registry.find(ref(0))->effective_priority, wire::Priority::high);
  EXPECT_LT(graph.visits(), 10U * kMany);
  finish(0, false);
  EXPECT_EQ(graph.take_orphans().size(), 2U * kMany + 1);
  for (int i = 1; i <= 2 * kMany; ++i)
    finish(i, false);
  finish(3 * kMany, false);
  graph.propagate_urgency();
  EXPECT_LT(graph.visits(), 30U * kMany);
  EXPECT_EQ(graph.node_count(), 0U);
}

// Compares the graph with a reference that visits all jobs, for random graphs and final states in random
// order.
TEST_F(DependencyGraphTest, AgreesWithAReferenceImplementation) {
  pcg32 rng(5);
  std::vector<std::vector<int>> dependencies;  // by job
  std::map<int, bool> done;                    // jobs with a final state; false: cancelled
  std::set<std::string> ready, orphans;
  for (int step = 0; step < 600; ++step) {
    const int job_count = static_cast<int>(dependencies.size());
    if (job_count < 200 && rng(3) > 0) {
      std::vector<int> chosen;
      for (std::uint32_t i = 0, limit = rng(4); i < limit && job_count > 0; ++i) {
        const int dependency = static_cast<int>(rng(static_cast<std::uint32_t>(job_count)));
        if (std::find(chosen.begin(), chosen.end(), dependency) == chosen.end())
          chosen.push_back(dependency);
      }
      dependencies.push_back(chosen);
      Job& job = add(job_count, chosen);
      if (!job.is_held())
        ready.insert(ref(job_count));
    } else if (job_count > 0) {
      const int number = static_cast<int>(rng(static_cast<std::uint32_t>(job_count)));
      Job* job = registry.find(ref(number));
      if (!done.contains(number) && (!job->is_held() || job->orphaned || rng(4) == 0)) {
        done[number] = !job->is_held() && rng(4) > 0;
        finish(number, done[number]);
      }
    }
    for (const jobs::JobIndex job : graph.take_ready())
      ready.insert(registry.job_at(job)->spec.ref);
    for (const jobs::JobIndex job : graph.take_orphans())
      orphans.insert(registry.job_at(job)->spec.ref);
    for (int number = 0; number < static_cast<int>(dependencies.size()); ++number) {
      bool all_done = true, orphaned = false;
      for (const int dependency : dependencies[number]) {
        const bool is_over = done.contains(dependency);
        all_done &= is_over && done[dependency];
        orphaned |= is_over ? !done[dependency] : orphans.contains(ref(dependency));
      }
      if (done.contains(number))
        continue;
      ASSERT_EQ(ready.contains(ref(number)), all_done && !orphaned)
          << "job " << number << " in step " << step;
      ASSERT_EQ(orphans.contains(ref(number)), orphaned) << "job " << number << " in step " << step;
    }
  }
  EXPECT_GT(ready.size(), 50U);
  EXPECT_GT(orphans.size(), 20U);
}

}  // namespace
}  // namespace wingtrail::jobs
