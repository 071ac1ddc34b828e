/// @file
/// Dependencies between jobs. From added jobs and committed final states, the graph derives the jobs that may
/// start, the orphaned jobs, which never can, and the references to unknown jobs, which must be looked up.
///
/// Only a committed final state meets a dependency. An unknown job may be live, since the creation of a
/// dependent job can be seen before that of the job it depends on, or it may have been over before this
/// leadership.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

/// The graph of live jobs that have dependencies or dependents.
class DependencyGraph {
 public:
  /// The part of a job's final state that matters to its dependents.
  struct FinalState {
    bool done = false;  ///< true: done; false: cancelled
    Seconds at = 0;     ///< time of the final state by the steady clock, in s
  };
  /// Functions that supply the graph with data of other modules.
  struct Hooks {
    /// Returns the job's committed final state, if one is known.
    std::function<std::optional<FinalState>(const std::string& ref)> final_state;
    /// Returns the expected time from the job's eligibility to start to its final state, in s.
    std::function<Seconds(const Job&)> expected_duration;
  };
  DependencyGraph(JobRegistry& registry, Hooks hooks) : registry_(registry), hooks_(std::move(hooks)) {}

  void clear();
  /// Adds a job that is new to the registry, with its dependencies.
  void add(Job& job);
  /// Applies a committed final state to the job's dependents. Idempotent.
  void on_final_state(const std::string& ref, FinalState final_state);
  /// True if a job depends on the job `ref`, which is not known here.
  bool awaits_unknown(const std::string& ref) const;
  /// True if it is undecided whether the job is orphaned: a job that it depends on, directly or indirectly,
  /// is still unknown.
  bool has_undecided_dependency(const Job& job) const;
  /// Propagates the highest priority and the earliest required finish time from each job to the jobs that it
  /// depends on.
  void propagate_urgency();

  /// Returns the jobs whose last dependency was met since the last call.
  std::vector<JobIndex> take_ready() {
    return std::exchange(ready_, {});
  }
  /// Returns the jobs that became orphaned since the last call.
  std::vector<JobIndex> take_orphans() {
    return std::exchange(orphans_, {});
  }
  /// Returns the references of unknown dependencies that were added since the last call.
  std::vector<std::string> take_unknown() {
    return std::exchange(unknown_, {});
  }
  std::size_t node_count() const {
    return by_ref_.size();
  }
  /// Number of node visits since the graph was created, for tests that bound the cost of operations.
  std::uint64_t visits() const {
    return visits_;
  }

 private:
  using NodeIndex = std::uint32_t;
  struct Node {
    std::string ref;
    JobIndex job;  // kNoIndex: the job is not known here
    std::uint64_t created_revision = 0;
    std::vector<NodeIndex> dependencies;
    std::set<NodeIndex> dependents;
  };
  NodeIndex node_for(const std::string& ref, Job* job);
  void release_node(NodeIndex index);
  void orphan_with_dependents(NodeIndex first, Seconds since);
  void mark_changed(NodeIndex index);

  JobRegistry& registry_;
  Hooks hooks_;
  std::unordered_map<std::string, NodeIndex> by_ref_;  // jobs with dependencies or dependents only
  std::vector<Node> nodes_;
  std::vector<NodeIndex> free_nodes_;
  // Jobs whose urgency must be recomputed, the youngest first. A job depends only on jobs that were accepted
  // before it, so all dependents of a job are processed before the job itself, and each is computed once.
  std::set<std::pair<std::uint64_t, NodeIndex>, std::greater<>> changed_;
  std::vector<JobIndex> ready_;
  std::vector<JobIndex> orphans_;
  std::vector<std::string> unknown_;
  std::uint64_t visits_ = 0;
};

}  // namespace wingtrail::jobs
