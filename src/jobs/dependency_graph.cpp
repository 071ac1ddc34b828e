#include "jobs/dependency_graph.hpp"

#include <algorithm>

#include "wire/job_messages.hpp"

namespace wingtrail::jobs {

void DependencyGraph::clear() {
  by_ref_.clear();
  nodes_.clear();
  free_nodes_.clear();
  changed_.clear();
  ready_.clear();
  orphans_.clear();
  unknown_.clear();
}

DependencyGraph::NodeIndex DependencyGraph::node_for(const std::string& ref, Job* job) {
  const auto [it, inserted] = by_ref_.try_emplace(ref, 0);
  if (inserted) {
    if (free_nodes_.empty()) {
      free_nodes_.push_back(static_cast<NodeIndex>(nodes_.size()));
      nodes_.emplace_back();
    }
    it->second = free_nodes_.back();
    free_nodes_.pop_back();
    nodes_[it->second].ref = ref;
  }
  Node& node = nodes_[it->second];
  if (job) {
    node.job = job->index;
    node.created_revision = job->created_revision;
  }
  return it->second;
}

// Removes the node of a job that is over, or that has neither dependencies nor dependents.
void DependencyGraph::release_node(NodeIndex index) {
  if (Job* job = registry_.job_at(nodes_[index].job)) {
    job->effective_priority = job->spec.priority;
    job->latest_finish = ports::kNever;
  }
  changed_.erase({nodes_[index].created_revision, index});
  by_ref_.erase(nodes_[index].ref);
  nodes_[index] = {};
  free_nodes_.push_back(index);
}

void DependencyGraph::mark_changed(NodeIndex index) {
  if (nodes_[index].job != kNoIndex)
    changed_.emplace(nodes_[index].created_revision, index);
}

void DependencyGraph::add(Job& job) {
  if (job.spec.depends_on.empty() && !by_ref_.contains(job.spec.ref))
    return;
  const NodeIndex index = node_for(job.spec.ref, &job);
  std::optional<Seconds> orphaned_since;  // the earliest cancellation among its dependencies
  const auto on_cancelled = [&orphaned_since](Seconds at) {
    orphaned_since = std::min(orphaned_since.value_or(at), at);
  };
  for (const std::string& ref : job.spec.depends_on) {
    ++visits_;
    if (const auto final_state = hooks_.final_state(ref)) {
      if (!final_state->done)
        on_cancelled(final_state->at);
      job.eligible_since = std::max(job.eligible_since, final_state->at);
      continue;
    }
    const bool known = by_ref_.contains(ref);
    Job* dependency = registry_.find(ref);
    if (dependency && dependency->orphaned)
      on_cancelled(dependency->orphaned_at);
    const NodeIndex dependency_node = node_for(ref, dependency);
    if (!known && !dependency)
      unknown_.push_back(ref);
    nodes_[index].dependencies.push_back(dependency_node);
    nodes_[dependency_node].dependents.insert(index);
    ++job.unmet_dependencies;
    mark_changed(dependency_node);
  }
  mark_changed(index);
  if (orphaned_since)
    orphan_with_dependents(index, *orphaned_since);
}

// Marks a job and all that depend on it, directly or indirectly, as orphaned. All are found at once:
// recording them one generation at a time would add the latency of a write for each generation.
void DependencyGraph::orphan_with_dependents(NodeIndex first, Seconds since) {
  std::vector<NodeIndex> to_visit{first};
  while (!to_visit.empty()) {
    const NodeIndex index = to_visit.back();
    to_visit.pop_back();
    ++visits_;
    Job* job = registry_.job_at(nodes_[index].job);
    if (!job || job->orphaned)
      continue;
    job->orphaned = true;
    job->orphaned_at = std::max(since, job->submitted_at);
    orphans_.push_back(job->index);
    for (const NodeIndex dependency : nodes_[index].dependencies)
      mark_changed(dependency);
    to_visit.insert(to_visit.end(), nodes_[index].dependents.begin(), nodes_[index].dependents.end());
  }
}

void DependencyGraph::on_final_state(const std::string& ref, FinalState final_state) {
  const auto it = by_ref_.find(ref);
  if (it == by_ref_.end())
    return;
  const NodeIndex index = it->second;
  for (const NodeIndex dependent : nodes_[index].dependents) {
    ++visits_;
    std::erase(nodes_[dependent].dependencies, index);
    Job* job = registry_.job_at(nodes_[dependent].job);
    if (!job)
      continue;
    if (!final_state.done) {
      orphan_with_dependents(dependent, final_state.at);
      continue;
    }
    --job->unmet_dependencies;
    job->eligible_since = std::max(job->eligible_since, final_state.at);
    if (!job->is_held() && job->is_open())
      ready_.push_back(job->index);
  }
  for (const NodeIndex dependency : nodes_[index].dependencies) {
    ++visits_;
    Node& node = nodes_[dependency];
    node.dependents.erase(index);
    mark_changed(dependency);
    if (node.dependents.empty() && (node.job == kNoIndex || node.dependencies.empty()))
      release_node(dependency);
  }
  release_node(index);
}

bool DependencyGraph::awaits_unknown(const std::string& ref) const {
  const auto it = by_ref_.find(ref);
  return it != by_ref_.end() && nodes_[it->second].job == kNoIndex;
}

bool DependencyGraph::has_undecided_dependency(const Job& job) const {
  if (job.spec.depends_on.empty())
    return false;
  const auto it = by_ref_.find(job.spec.ref);
  if (it == by_ref_.end())
    return false;
  std::vector<NodeIndex> to_visit{it->second};
  std::set<NodeIndex> seen;
  while (!to_visit.empty()) {
    const NodeIndex index = to_visit.back();
    to_visit.pop_back();
    if (!seen.insert(index).second)
      continue;
    if (nodes_[index].job == kNoIndex)
      return true;
    to_visit.insert(to_visit.end(), nodes_[index].dependencies.begin(), nodes_[index].dependencies.end());
  }
  return false;
}

void DependencyGraph::propagate_urgency() {
  while (!changed_.empty()) {
    const NodeIndex index = changed_.begin()->second;
    changed_.erase(changed_.begin());
    Job* job = registry_.job_at(nodes_[index].job);
    if (!job)
      continue;
    wire::Priority priority = job->spec.priority;
    Seconds latest = ports::kNever;
    for (const NodeIndex node : nodes_[index].dependents) {
      ++visits_;
      const Job* dependent = registry_.job_at(nodes_[node].job);
      if (!dependent || !dependent->is_open() || dependent->orphaned)
        continue;
      priority = std::max(priority, dependent->effective_priority);
      Seconds finish_by = dependent->latest_finish;
      if (dependent->spec.deadline_s)
        finish_by = std::min(finish_by, dependent->submitted_at + *dependent->spec.deadline_s);
      if (finish_by != ports::kNever)
        latest = std::min(latest, finish_by - hooks_.expected_duration(*dependent));
    }
    if (priority == job->effective_priority && latest == job->latest_finish)
      continue;
    job->effective_priority = priority;
    job->latest_finish = latest;
    for (const NodeIndex dependency : nodes_[index].dependencies)
      mark_changed(dependency);
  }
}

}  // namespace wingtrail::jobs
