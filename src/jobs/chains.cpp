#include "jobs/chains.hpp"

#include <algorithm>

namespace wingtrail::jobs {

void Chains::clear() {
  by_ref_.clear();
  nodes_.clear();
  free_.clear();
  changed_.clear();
  ready_.clear();
  orphans_.clear();
  unknown_.clear();
}

Chains::N Chains::node(const std::string& ref, Job* job) {
  const auto [it, fresh] = by_ref_.try_emplace(ref, 0);
  if (fresh) {
    if (free_.empty())
      free_.push_back(static_cast<N>(nodes_.size())), nodes_.emplace_back();
    it->second = free_.back();
    free_.pop_back();
    nodes_[it->second].ref = ref;
  }
  Node& n = nodes_[it->second];
  if (job)
    n.job = job->ix, n.created = job->created;
  return it->second;
}

// Forgets a job that is over, or that nobody needs and that needs nobody.
void Chains::release(N n) {
  if (Job* job = registry_.at(nodes_[n].job))
    job->priority = job->spec.priority, job->latest = ports::kNever;
  changed_.erase({nodes_[n].created, n});
  by_ref_.erase(nodes_[n].ref);
  nodes_[n] = {};
  free_.push_back(n);
}

void Chains::changed(N n) {
  if (nodes_[n].job != kNone)
    changed_.emplace(nodes_[n].created, n);
}

void Chains::join(Job& job) {
  if (job.spec.waits_on.empty() && !by_ref_.contains(job.spec.ref))
    return;
  const N n = node(job.spec.ref, &job);
  std::optional<Seconds> lost;  // since when a need is known to be cancelled
  const auto lose = [&lost](Seconds at) {
    lost = std::min(lost.value_or(at), at);
  };
  for (const std::string& ref : job.spec.waits_on) {
    ++visits_;
    if (const auto end = link_.ended(ref)) {
      if (!end->done)
        lose(end->at);
      job.since = std::max(job.since, end->at);
      continue;
    }
    const bool known = by_ref_.contains(ref);
    Job* needed = registry_.find(ref);
    if (needed && needed->orphan)
      lose(needed->orphan_since);
    const N m = node(ref, needed);
    if (!known && !needed)
      unknown_.push_back(ref);
    nodes_[n].needs.push_back(m);
    nodes_[m].needed_by.insert(n);
    ++job.unmet;
    changed(m);
  }
  changed(n);
  if (lost)
    orphan(n, *lost);
}

// The job will never start, and so will none that needs it, directly or through others. All are found at
// once: closing them one generation after another would take a write's time for each.
void Chains::orphan(N first, Seconds since) {
  std::vector<N> open{first};
  while (!open.empty()) {
    const N n = open.back();
    open.pop_back();
    ++visits_;
    Job* job = registry_.at(nodes_[n].job);
    if (!job || job->orphan)
      continue;
    job->orphan = true;
    job->orphan_since = std::max(since, job->submitted);
    orphans_.push_back(job->ix);
    for (const N m : nodes_[n].needs)
      changed(m);
    open.insert(open.end(), nodes_[n].needed_by.begin(), nodes_[n].needed_by.end());
  }
}

void Chains::ended(const std::string& ref, End end) {
  const auto it = by_ref_.find(ref);
  if (it == by_ref_.end())
    return;
  const N n = it->second;
  for (const N d : nodes_[n].needed_by) {
    ++visits_;
    std::erase(nodes_[d].needs, n);
    Job* job = registry_.at(nodes_[d].job);
    if (!job)
      continue;
    if (!end.done) {
      orphan(d, end.at);
      continue;
    }
    --job->unmet;
    job->since = std::max(job->since, end.at);
    if (!job->held() && job->open())
      ready_.push_back(job->ix);
  }
  for (const N m : nodes_[n].needs) {
    ++visits_;
    nodes_[m].needed_by.erase(n);
    changed(m);
    if (nodes_[m].needed_by.empty() && (nodes_[m].job == kNone || nodes_[m].needs.empty()))
      release(m);
  }
  release(n);
}

bool Chains::asks_for(const std::string& ref) const {
  const auto it = by_ref_.find(ref);
  return it != by_ref_.end() && nodes_[it->second].job == kNone;
}

bool Chains::undecided(const Job& job) const {
  if (job.spec.waits_on.empty())
    return false;
  const auto it = by_ref_.find(job.spec.ref);
  if (it == by_ref_.end())
    return false;
  std::vector<N> open{it->second};
  std::set<N> seen;
  while (!open.empty()) {
    const N n = open.back();
    open.pop_back();
    if (!seen.insert(n).second)
      continue;
    if (nodes_[n].job == kNone)
      return true;
    open.insert(open.end(), nodes_[n].needs.begin(), nodes_[n].needs.end());
  }
  return false;
}

void Chains::spread_urgency() {
  while (!changed_.empty()) {
    const N n = changed_.begin()->second;
    changed_.erase(changed_.begin());
    Job* job = registry_.at(nodes_[n].job);
    if (!job)
      continue;
    wire::Priority priority = job->spec.priority;
    Seconds latest = ports::kNever;
    for (const N d : nodes_[n].needed_by) {
      ++visits_;
      const Job* next = registry_.at(nodes_[d].job);
      if (!next || !next->open() || next->orphan)
        continue;
      priority = std::max(priority, next->priority);
      Seconds by = next->latest;
      if (next->spec.deadline_s)
        by = std::min(by, next->submitted + *next->spec.deadline_s);
      if (by != ports::kNever)
        latest = std::min(latest, by - link_.span(*next));
    }
    if (priority == job->priority && latest == job->latest)
      continue;
    job->priority = priority;
    job->latest = latest;
    for (const N m : nodes_[n].needs)
      changed(m);
  }
}

}  // namespace wingtrail::jobs
