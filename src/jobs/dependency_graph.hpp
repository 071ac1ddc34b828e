/// Which jobs depend on which, and what follows from the final state of one. Jobs and final states go in; out
/// come the jobs that may start now, those that never can, and the references that nothing is known of yet.
///
/// A dependency is met only by a committed final state: a job that is merely unknown may be live (its
/// creation can be seen before that of a job it depends on) or over (before this leadership), so it has to be
/// looked up.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

/// The graph of live jobs that depend on others or that others depend on.
class DependencyGraph {
 public:
  /// A job's final state, as far as its dependents are concerned.
  struct End {
    bool done = false;  ///< else it is cancelled
    Seconds at = 0;     ///< by the steady clock
  };
  struct Hooks {
    /// The job's committed final state, if any is known.
    std::function<std::optional<End>(const std::string& ref)> final_state;
    /// From when the job may start until it is over.
    std::function<Seconds(const Job&)> expected_duration;
  };
  DependencyGraph(JobRegistry& registry, Hooks hooks) : registry_(registry), hooks_(std::move(hooks)) {}

  void clear();
  /// The job is new to the registry.
  void add(Job& job);
  /// The final state is committed; idempotent.
  void on_ended(const std::string& ref, End end);
  /// Whether a job depends on that one, which is not known here.
  bool awaits_unknown(const std::string& ref) const;
  /// Whether the job may be an orphan for all that is known: something that it depends on, directly or
  /// through others, is still to be looked up.
  bool has_undecided_dependency(const Job& job) const;
  /// Passes the highest priority and the earliest finish on from each job to those that it depends on.
  void propagate_urgency();

  /// Jobs whose last dependency was met since the last call.
  std::vector<JobIndex> take_ready() {
    return std::exchange(ready_, {});
  }
  /// Jobs that were found since the last call to be unable ever to start.
  std::vector<JobIndex> take_orphans() {
    return std::exchange(orphans_, {});
  }
  /// References that jobs depend on and that have to be looked up.
  std::vector<std::string> take_unknown() {
    return std::exchange(unknown_, {});
  }
  std::size_t node_count() const {
    return by_ref_.size();
  }
  /// Steps from one node to another since the start; for tests of what an operation costs.
  std::uint64_t visits() const {
    return visits_;
  }

 private:
  using NodeIndex = std::uint32_t;
  struct Node {
    std::string ref;
    JobIndex job;  // kNoIndex: not known here
    std::uint64_t created_revision = 0;
    std::vector<NodeIndex> dependencies;
    std::set<NodeIndex> dependents;
  };
  NodeIndex node_for(const std::string& ref, Job* job);
  void release_node(NodeIndex n);
  void orphan_dependents(NodeIndex n, Seconds since);
  void mark_changed(NodeIndex n);

  JobRegistry& registry_;
  Hooks hooks_;
  std::unordered_map<std::string, NodeIndex> by_ref_;  // jobs with dependencies or dependents only
  std::vector<Node> nodes_;
  std::vector<NodeIndex> free_nodes_;
  // Jobs whose urgency is to be computed anew, the youngest first: a job names only jobs that were accepted
  // before it, so all dependents of a job are processed before it, and each is computed once.
  std::set<std::pair<std::uint64_t, NodeIndex>, std::greater<>> changed_;
  std::vector<JobIndex> ready_;
  std::vector<JobIndex> orphans_;
  std::vector<std::string> unknown_;
  std::uint64_t visits_ = 0;
};

}  // namespace wingtrail::jobs
