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
  const auto [it, fresh] = by_ref_.try_emplace(ref, 0);
  if (fresh) {
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

// Removes a job that is over, or that has neither dependencies nor dependents.
void DependencyGraph::release_node(NodeIndex n) {
  if (Job* job = registry_.job_at(nodes_[n].job)) {
    job->effective_priority = job->spec.priority;
    job->latest_finish = ports::kNever;
  }
  changed_.erase({nodes_[n].created_revision, n});
  by_ref_.erase(nodes_[n].ref);
  nodes_[n] = {};
  free_nodes_.push_back(n);
}

void DependencyGraph::mark_changed(NodeIndex n) {
  if (nodes_[n].job != kNoIndex)
    changed_.emplace(nodes_[n].created_revision, n);
}

void DependencyGraph::add(Job& job) {
  if (job.spec.depends_on.empty() && !by_ref_.contains(job.spec.ref))
    return;
  const NodeIndex n = node_for(job.spec.ref, &job);
  std::optional<Seconds> orphaned_since;  // since when a dependency is known to be cancelled
  const auto on_cancelled = [&orphaned_since](Seconds at) {
    orphaned_since = std::min(orphaned_since.value_or(at), at);
  };
  for (const std::string& ref : job.spec.depends_on) {
    ++visits_;
    if (const auto end = hooks_.final_state(ref)) {
      if (!end->done)
        on_cancelled(end->at);
      job.eligible_since = std::max(job.eligible_since, end->at);
      continue;
    }
    const bool known = by_ref_.contains(ref);
    Job* dependency = registry_.find(ref);
    if (dependency && dependency->orphaned)
      on_cancelled(dependency->orphaned_at);
    const NodeIndex m = node_for(ref, dependency);
    if (!known && !dependency)
      unknown_.push_back(ref);
    nodes_[n].dependencies.push_back(m);
    nodes_[m].dependents.insert(n);
    ++job.unmet_dependencies;
    mark_changed(m);
  }
  mark_changed(n);
  if (orphaned_since)
    orphan_dependents(n, *orphaned_since);
}

// The job can never start, nor can any that depends on it, directly or through others. All are found at once:
// recording them one generation after another would take a write's time for each.
void DependencyGraph::orphan_dependents(NodeIndex first, Seconds since) {
  std::vector<NodeIndex> to_visit{first};
  while (!to_visit.empty()) {
    const NodeIndex n = to_visit.back();
    to_visit.pop_back();
    ++visits_;
    Job* job = registry_.job_at(nodes_[n].job);
    if (!job || job->orphaned)
      continue;
    job->orphaned = true;
    job->orphaned_at = std::max(since, job->submitted_at);
    orphans_.push_back(job->index);
    for (const NodeIndex m : nodes_[n].dependencies)
      mark_changed(m);
    to_visit.insert(to_visit.end(), nodes_[n].dependents.begin(), nodes_[n].dependents.end());
  }
}

void DependencyGraph::on_ended(const std::string& ref, End end) {
  const auto it = by_ref_.find(ref);
  if (it == by_ref_.end())
    return;
  const NodeIndex n = it->second;
  for (const NodeIndex d : nodes_[n].dependents) {
    ++visits_;
    std::erase(nodes_[d].dependencies, n);
    Job* job = registry_.job_at(nodes_[d].job);
    if (!job)
      continue;
    if (!end.done) {
      orphan_dependents(d, end.at);
      continue;
    }
    --job->unmet_dependencies;
    job->eligible_since = std::max(job->eligible_since, end.at);
    if (!job->is_held() && job->is_open())
      ready_.push_back(job->index);
  }
  for (const NodeIndex m : nodes_[n].dependencies) {
    ++visits_;
    nodes_[m].dependents.erase(n);
    mark_changed(m);
    if (nodes_[m].dependents.empty() && (nodes_[m].job == kNoIndex || nodes_[m].dependencies.empty()))
      release_node(m);
  }
  release_node(n);
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
    const NodeIndex n = to_visit.back();
    to_visit.pop_back();
    if (!seen.insert(n).second)
      continue;
    if (nodes_[n].job == kNoIndex)
      return true;
    to_visit.insert(to_visit.end(), nodes_[n].dependencies.begin(), nodes_[n].dependencies.end());
  }
  return false;
}

void DependencyGraph::propagate_urgency() {
  while (!changed_.empty()) {
    const NodeIndex n = changed_.begin()->second;
    changed_.erase(changed_.begin());
    Job* job = registry_.job_at(nodes_[n].job);
    if (!job)
      continue;
    wire::Priority priority = job->spec.priority;
    Seconds latest = ports::kNever;
    for (const NodeIndex d : nodes_[n].dependents) {
      ++visits_;
      const Job* next = registry_.job_at(nodes_[d].job);
      if (!next || !next->is_open() || next->orphaned)
        continue;
      priority = std::max(priority, next->effective_priority);
      Seconds by = next->latest_finish;
      if (next->spec.deadline_s)
        by = std::min(by, next->submitted_at + *next->spec.deadline_s);
      if (by != ports::kNever)
        latest = std::min(latest, by - hooks_.expected_duration(*next));
    }
    if (priority == job->effective_priority && latest == job->latest_finish)
      continue;
    job->effective_priority = priority;
    job->latest_finish = latest;
    for (const NodeIndex m : nodes_[n].dependencies)
      mark_changed(m);
  }
}

}  // namespace wingtrail::jobs
