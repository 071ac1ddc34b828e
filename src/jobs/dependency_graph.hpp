// Which jobs wait for which, and what follows from the end of one. Jobs and ends go in; out come the jobs
// that may start now, those that never can, and the names of those that nothing is known of yet.
//
// A need is met only by an end that is committed: a job that is merely unknown may be live (its creation can
// be seen before that of a job it needs) or over (before this leadership), so it has to be asked about.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

class DependencyGraph {
 public:
  struct End {
    bool done = false;
    Seconds at = 0;  // by the steady clock
  };
  struct Hooks {
    std::function<std::optional<End>(const std::string&)> final_state;  // what is known to be committed
    std::function<Seconds(const Job&)> expected_duration;  // from when it may start until it is over
  };
  DependencyGraph(JobRegistry& registry, Hooks link) : registry_(registry), hooks_(std::move(link)) {}

  void clear();
  void add(Job& job);                                 // it is new to the registry
  void on_ended(const std::string& ref, End end);     // committed; again does no harm
  bool awaits_unknown(const std::string& ref) const;  // somebody needs it and it is not known here
  // Whether the job may be an orphan for all that is known: something that it needs, directly or through
  // others, is still to be asked about.
  bool has_undecided_dependency(const Job& job) const;
  // Highest priority and earliest finish travel from each job to those that it needs.
  void propagate_urgency();

  std::vector<JobIndex> take_ready() {
    return std::exchange(ready_, {});
  }
  std::vector<JobIndex> take_orphans() {
    return std::exchange(orphans_, {});
  }
  std::vector<std::string> take_unknown() {
    return std::exchange(unknown_, {});
  }
  std::size_t node_count() const {
    return by_ref_.size();
  }
  std::uint64_t visits() const {
    return visits_;
  }  // for the tests: the work that all this took

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
  void release_dependents(NodeIndex n);
  void orphan_dependents(NodeIndex n, Seconds since);
  void mark_changed(NodeIndex n);

  JobRegistry& registry_;
  Hooks hooks_;
  std::unordered_map<std::string, NodeIndex> by_ref_;  // only jobs that need some or are needed
  std::vector<Node> nodes_;
  std::vector<NodeIndex> free_nodes_;
  // Jobs whose urgency is to be reckoned anew, the youngest first: a job names only jobs that were accepted
  // before it, so everybody that needs a job is done before it, and each is reckoned once.
  std::set<std::pair<std::uint64_t, NodeIndex>, std::greater<>> changed_;
  std::vector<JobIndex> ready_, orphans_;
  std::vector<std::string> unknown_;
  std::uint64_t visits_ = 0;
};

}  // namespace wingtrail::jobs
