// Figures about the run so far, for tests.
#include <algorithm>

#include "simulation/components.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

std::size_t SimulatedCluster::unfinished_jobs() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [this](const auto& j) {
    const UserJob& job = *j.second;
    return job.accepted && job.spec.shape != wire::Shape::service && !job.is_done() && !cannot_complete(job);
  }));
}

std::size_t SimulatedCluster::startable_here() const {
  const auto i = leader();
  if (!i)
    return unstarted_jobs();
  std::size_t n = 0;
  controllers_[*i]->controller->registry().for_each([&n](const jobs::Job& job) {
    n += job.is_open() && !job.is_held() && !job.is_service() && job.placed_tasks == 0 && job.done_tasks == 0;
  });
  return n;
}

std::size_t SimulatedCluster::completed_jobs() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) {
    return j.second->accepted && !j.second->cancellation_wanted && j.second->is_done();
  }));
}

std::size_t SimulatedCluster::unrecorded_final_states() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [this](const auto& j) {
    return j.second->accepted && j.second->is_done() && !store_.contains(jobs::kFinalStatePrefix + j.first);
  }));
}

std::size_t SimulatedCluster::unstarted_jobs() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) {
    const UserJob& job = *j.second;
    return job.accepted && !job.cancellation_wanted && job.begun_tasks.empty() && !job.is_done() &&
           job.spec.shape != wire::Shape::service;
  }));
}

double SimulatedCluster::completed_within_share(const std::string& job_class, double s, double from,
                                                double to) const {
  double submitted = 0, in_time = 0;
  for (const auto& [ref, job] : jobs_) {
    if (job->spec.job_class != job_class || job->submitted_at < from || job->submitted_at >= to ||
        job->cancellation_wanted)
      continue;
    ++submitted;
    in_time += job->done_at >= 0 && job->done_at <= job->submitted_at + s;
  }
  return submitted > 0 ? in_time / submitted : 1;
}

bool SimulatedCluster::is_done(const std::string& ref) const {
  return jobs_.at(ref)->is_done();
}

double SimulatedCluster::served_share(const std::string& team, double older_than) const {
  double submitted = 0, done = 0;
  for (const auto& [ref, job] : jobs_) {
    if (job->spec.team != team || job->spec.shape == wire::Shape::service || job->cancellation_wanted ||
        !job->accepted || now_ - job->submitted_at < older_than)
      continue;
    ++submitted;
    done += job->is_done();
  }
  return submitted > 0 ? done / submitted : 1;
}

double SimulatedCluster::accepted_within_share(const std::string& job_class, double s, double from,
                                               double to) const {
  double submitted = 0, in_time = 0;
  for (const auto& [ref, job] : jobs_) {
    if (job->spec.job_class != job_class || job->submitted_at < from || job->submitted_at >= to)
      continue;
    ++submitted;
    in_time += job->accepted && job->accepted_at <= job->submitted_at + s;
  }
  return submitted > 0 ? in_time / submitted : 1;
}

std::size_t SimulatedCluster::replicas_up(const std::string& ref) const {
  std::size_t up = 0;
  for (const auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead)
      continue;
    for (const WorkerTask& task : machine->tasks)
      up += task.job && task.job->spec.ref == ref && task.occupies_machine();
  }
  return up;
}

std::size_t SimulatedCluster::machines_in_zone(std::size_t zone) const {
  std::size_t n = 0;
  for (const auto& [name, machine] : machines_)
    n += machine->zone == zone && !machine->gone && !machine->dead;
  return n;
}

std::size_t SimulatedCluster::workers_with_token(std::uint64_t token) const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(), [token](const auto& entry) {
        const WorkerMachine& machine = *entry.second;
        return !machine.gone && !machine.dead && machine.up && machine.fencing_token >= token;
      }));
}

std::size_t SimulatedCluster::tasks_on_slow_machines(double factor) const {
  std::size_t n = 0;
  for (const auto& [name, machine] : machines_) {
    if (machine->gone || machine->dead || machine->slowdown < factor)
      continue;
    n += static_cast<std::size_t>(
        std::count_if(machine->tasks.begin(), machine->tasks.end(),
                      [](const WorkerTask& task) { return task.occupies_machine(); }));
  }
  return n;
}

}  // namespace wingtrail::simulation
