#include "jobs/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <pcg_random.hpp>

#include "wire/job_messages.hpp"

namespace wingtrail::jobs {
namespace {

std::string ref(int n) {
  return "req-" + std::to_string(n);
}

class DependencyGraphTest : public ::testing::Test {
 protected:
  settings::Settings settings;
  JobRegistry registry{settings};
  std::map<std::string, DependencyGraph::FinalState> over;
  DependencyGraph chains{registry,
                         {[this](const std::string& r) -> std::optional<DependencyGraph::FinalState> {
                            auto it = over.find(r);
                            return it == over.end() ? std::nullopt : std::optional(it->second);
                          },
                          [](const Job& job) {
                            return job.spec.estimate_s;
                          }}};
  std::uint64_t revision = 0;

  Job& add(int n, const std::vector<int>& needs, wire::Priority priority = wire::Priority::low,
           std::optional<double> due = {}) {
    wire::JobSpec s;
    s.ref = ref(n);
    s.tasks = 1;
    s.estimate_s = 10;
    s.priority = priority;
    s.deadline_s = due;
    for (const int k : needs)
      s.depends_on.push_back(ref(k));
    Job& job = registry.add(s, ++revision, 0);
    chains.add(job);
    return job;
  }
  void end(int n, bool done, Seconds at = 1) {
    if (Job* job = registry.find(ref(n)))
      job->final_state_pending = job->final_state_recorded = true;
    over[ref(n)] = {done, at};
    chains.on_final_state(ref(n), {done, at});
  }
  std::vector<std::string> names(const std::vector<jobs::JobIndex>& jobs) {
    std::vector<std::string> out;
    out.reserve(jobs.size());
    for (const jobs::JobIndex ix : jobs)
      out.push_back(registry.job_at(ix)->spec.ref);
    std::sort(out.begin(), out.end());
    return out;
  }
  using Refs = std::vector<std::string>;
};

TEST_F(DependencyGraphTest, AJobIsReadyOnceAllItNeedsIsDone) {
  over[ref(1)] = {true, 5};
  add(2, {});
  add(3, {});
  Job& last = add(4, {1, 2, 3});
  EXPECT_EQ(last.unmet_dependencies, 2U);
  end(2, true, 7);
  EXPECT_TRUE(chains.take_ready().empty());
  end(3, true, 9);
  EXPECT_EQ(names(chains.take_ready()), Refs{ref(4)});
  EXPECT_DOUBLE_EQ(last.eligible_since, 9);
  EXPECT_DOUBLE_EQ(last.submitted_at, 0);
  end(3, true, 9);  // told again
  EXPECT_TRUE(chains.take_ready().empty());
  end(4, true);
  EXPECT_EQ(chains.node_count(), 0U);
}

// Unknown is not done: it may be live and not seen yet, or over before this leadership.
TEST_F(DependencyGraphTest, WhatIsUnknownIsAskedAboutOnceAndHoldsTheJob) {
  Job& a = add(2, {1});
  add(3, {1});
  EXPECT_TRUE(a.is_held());
  EXPECT_EQ(chains.take_unknown(), Refs{ref(1)});
  EXPECT_TRUE(chains.take_unknown().empty());
  EXPECT_TRUE(chains.awaits_unknown(ref(1)));
  add(1, {});  // its creation is seen late
  EXPECT_FALSE(chains.awaits_unknown(ref(1)));
  EXPECT_TRUE(a.is_held());
  end(1, true);
  EXPECT_EQ(names(chains.take_ready()), (Refs{ref(2), ref(3)}));
}

TEST_F(DependencyGraphTest, ACancelledJobTakesAllThatNeedItWithIt) {
  add(1, {});
  add(2, {1});
  add(3, {2});
  add(4, {3, 1});
  add(5, {});
  end(1, false);
  EXPECT_EQ(names(chains.take_orphans()), (Refs{ref(2), ref(3), ref(4)}));
  EXPECT_TRUE(chains.take_ready().empty());
  Job& late = add(6, {3});  // submitted while the ends are on their way
  end(2, false), end(3, false);
  EXPECT_TRUE(late.orphaned);
  EXPECT_EQ(names(chains.take_orphans()), Refs{ref(6)});
  Job& later = add(7, {5, 3});
  EXPECT_TRUE(later.orphaned);
  EXPECT_TRUE(later.is_held());
  end(5, true);
  EXPECT_TRUE(chains.take_ready().empty());
}

TEST_F(DependencyGraphTest, UrgencyTravelsUpAndIsTakenBack) {
  Job& first = add(1, {});
  Job& middle = add(2, {1});
  Job& side = add(3, {1}, wire::Priority::normal);
  chains.propagate_urgency();
  EXPECT_EQ(first.effective_priority, wire::Priority::normal);
  EXPECT_EQ(first.latest_finish, ports::kNever);
  Job& last = add(4, {2}, wire::Priority::high, 100);
  chains.propagate_urgency();
  EXPECT_EQ(first.effective_priority, wire::Priority::high);
  EXPECT_EQ(middle.effective_priority, wire::Priority::high);
  EXPECT_EQ(side.effective_priority, wire::Priority::normal);
  EXPECT_DOUBLE_EQ(middle.latest_finish, 90);  // the last needs ten seconds
  EXPECT_DOUBLE_EQ(first.latest_finish, 80);
  EXPECT_EQ(last.latest_finish, ports::kNever);
  end(4, false);
  chains.propagate_urgency();
  EXPECT_EQ(middle.effective_priority, wire::Priority::low);
  EXPECT_EQ(first.effective_priority, wire::Priority::normal);
  EXPECT_EQ(first.latest_finish, ports::kNever);
}

TEST_F(DependencyGraphTest, ThousandsInARowOrInAFanCostNoMoreThanTheirNumber) {
  constexpr int kMany = 5000;
  add(0, {});
  for (int i = 1; i <= kMany; ++i) {
    add(i, {i - 1});
    add(kMany + i, {0});
  }
  add(3 * kMany, {kMany}, wire::Priority::high, 1e6);  // the last one comes late
  chains.propagate_urgency();
  EXPECT_EQ(registry.find(ref(0))->effective_priority, wire::Priority::high);
  EXPECT_LT(chains.visits(), 10U * kMany);
  end(0, false);
  EXPECT_EQ(chains.take_orphans().size(), 2U * kMany + 1);
  for (int i = 1; i <= 2 * kMany; ++i)
    end(i, false);
  end(3 * kMany, false);
  chains.propagate_urgency();
  EXPECT_LT(chains.visits(), 30U * kMany);
  EXPECT_EQ(chains.node_count(), 0U);
}

// Against a plain walk over all jobs, for random graphs and ends in random order.
TEST_F(DependencyGraphTest, AgreesWithAPlainWalk) {
  pcg32 rng(5);
  std::vector<std::vector<int>> needs;
  std::map<int, int> fate;  // 1 done, 2 cancelled
  std::set<std::string> ready, orphans;
  for (int step = 0; step < 600; ++step) {
    const int n = static_cast<int>(needs.size());
    if (n < 200 && rng(3) > 0) {
      std::vector<int> list;
      for (std::uint32_t k = 0, most = rng(4); k < most && n > 0; ++k) {
        const int need = static_cast<int>(rng(static_cast<std::uint32_t>(n)));
        if (std::find(list.begin(), list.end(), need) == list.end())
          list.push_back(need);
      }
      needs.push_back(list);
      Job& job = add(n, list);
      if (!job.is_held())
        ready.insert(ref(n));
    } else if (n > 0) {
      const int k = static_cast<int>(rng(static_cast<std::uint32_t>(n)));
      Job* job = registry.find(ref(k));
      if (!fate.contains(k) && (!job->is_held() || job->orphaned || rng(4) == 0)) {
        fate[k] = !job->is_held() && rng(4) > 0 ? 1 : 2;
        end(k, fate[k] == 1);
      }
    }
    for (const jobs::JobIndex ix : chains.take_ready())
      ready.insert(registry.job_at(ix)->spec.ref);
    for (const jobs::JobIndex ix : chains.take_orphans())
      orphans.insert(registry.job_at(ix)->spec.ref);
    for (int i = 0; i < static_cast<int>(needs.size()); ++i) {
      bool all = true, lost = false;
      for (const int k : needs[i]) {
        all &= fate.contains(k) && fate[k] == 1;
        lost |= (fate.contains(k) && fate[k] == 2) || (!fate.contains(k) && orphans.contains(ref(k)));
      }
      if (fate.contains(i))
        continue;
      ASSERT_EQ(ready.contains(ref(i)), all && !lost) << i << " in step " << step;
      ASSERT_EQ(orphans.contains(ref(i)), lost) << i << " in step " << step;
    }
  }
  EXPECT_GT(ready.size(), 50U);
  EXPECT_GT(orphans.size(), 20U);
}

}  // namespace
}  // namespace wingtrail::jobs
