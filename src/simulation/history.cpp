// What tests ask of the history so far.
#include <algorithm>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

std::size_t SimulatedCluster::undone() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [this](const auto& j) {
    const UserJob& job = *j.second;
    return job.accepted && job.spec.shape != wire::Shape::service && !job.over() && !hopeless(job);
  }));
}

std::size_t SimulatedCluster::held_at_home() const {
  const auto i = leader();
  if (!i)
    return jobs_waiting();
  std::size_t n = 0;
  controllers_[*i]->node->registry().for_each([&n](const jobs::Job& job) {
    n += job.is_open() && !job.is_held() && !job.is_service() && job.placed_tasks == 0 && job.done_tasks == 0;
  });
  return n;
}

std::size_t SimulatedCluster::jobs_over() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) {
    return j.second->accepted && !j.second->want_abort && j.second->over();
  }));
}

std::size_t SimulatedCluster::unrecorded_ends() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [this](const auto& j) {
    return j.second->accepted && j.second->over() && !store_.contains(jobs::kFinalStatePrefix + j.first);
  }));
}

std::size_t SimulatedCluster::jobs_waiting() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) {
    const UserJob& job = *j.second;
    return job.accepted && !job.want_abort && job.begun.empty() && !job.over() &&
           job.spec.shape != wire::Shape::service;
  }));
}

double SimulatedCluster::over_within(const std::string& job_class, double s, double from, double to) const {
  double came = 0, in_time = 0;
  for (const auto& [ref, job] : jobs_) {
    if (job->spec.job_class != job_class || job->came < from || job->came >= to || job->want_abort)
      continue;
    ++came;
    in_time += job->over_at >= 0 && job->over_at <= job->came + s;
  }
  return came > 0 ? in_time / came : 1;
}

bool SimulatedCluster::over(const std::string& ref) const {
  return jobs_.at(ref)->over();
}

double SimulatedCluster::served(const std::string& team, double older_than) const {
  double came = 0, over = 0;
  for (const auto& [ref, job] : jobs_) {
    if (job->spec.team != team || job->spec.shape == wire::Shape::service || job->want_abort ||
        !job->accepted || t_ - job->came < older_than)
      continue;
    ++came;
    over += job->over();
  }
  return came > 0 ? over / came : 1;
}

double SimulatedCluster::accepted_within(const std::string& job_class, double s, double from,
                                         double to) const {
  double came = 0, in_time = 0;
  for (const auto& [ref, job] : jobs_) {
    if (job->spec.job_class != job_class || job->came < from || job->came >= to)
      continue;
    ++came;
    in_time += job->accepted && job->accepted_at <= job->came + s;
  }
  return came > 0 ? in_time / came : 1;
}

std::size_t SimulatedCluster::replicas_up(const std::string& ref) const {
  std::size_t up = 0;
  for (const auto& [name, h] : machines_) {
    if (h->gone || h->dead)
      continue;
    for (const TaskOn& x : h->tasks)
      up += x.job && x.job->spec.ref == ref && x.on();
  }
  return up;
}

std::size_t SimulatedCluster::machines_in(std::size_t zone) const {
  std::size_t n = 0;
  for (const auto& [name, h] : machines_)
    n += h->zone == zone && !h->gone && !h->dead;
  return n;
}

std::size_t SimulatedCluster::slow_and_running(double factor) const {
  std::size_t n = 0;
  for (const auto& [name, h] : machines_) {
    if (h->gone || h->dead || h->slow < factor)
      continue;
    n += static_cast<std::size_t>(
        std::count_if(h->tasks.begin(), h->tasks.end(), [](const TaskOn& x) { return x.on(); }));
  }
  return n;
}

}  // namespace wingtrail::simulation
