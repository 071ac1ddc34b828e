#include "balancing/load_snapshot.hpp"

#include <algorithm>

#include "wire/job_messages.hpp"

namespace wingtrail::balancing {

void LoadSnapshot::clear() {
  loads_.clear();
  teams_.clear();
  cores_by_zone_.clear();
  waiting_cores_by_reason_.clear();
}

LoadSnapshot::TeamLoad& LoadSnapshot::team(TeamIndex index) {
  if (teams_.size() <= index)
    teams_.resize(index + 1);
  return teams_[index];
}

const LoadSnapshot::ClassLoad* LoadSnapshot::find(TeamIndex team, ClassIndex job_class) const {
  const auto it = loads_.find({team, job_class});
  return it == loads_.end() ? nullptr : &it->second;
}

void LoadSnapshot::on_arrival(const Job& job, double core_s, Seconds now) {
  ClassLoad& load = loads_[{job.team, job.job_class}];
  if (!job.is_service()) {
    load.recent_arrivals.add(now, core_s);
    load.usual_arrivals.add(now, core_s);
    return;
  }
  TeamLoad& team_load = team(job.team);
  const double cores = job.spec.tasks * job.spec.task_resources.cpus;
  team_load.largest_service = std::max(team_load.largest_service, cores);
  team_load.services.add(now, cores);
}

void LoadSnapshot::on_placed(const Job& job, ZoneIndex zone, int tasks) {
  const double cores = tasks * job.spec.task_resources.cpus;
  ClassLoad& load = loads_[{job.team, job.job_class}];
  load.service = job.is_service();
  load.cores_in_use += cores;
  if (load.cores_by_zone.size() <= zone)
    load.cores_by_zone.resize(zone + 1);
  load.cores_by_zone[zone] += cores;
  if (cores_by_zone_.size() <= zone)
    cores_by_zone_.resize(zone + 1);
  cores_by_zone_[zone] += cores;
}

void LoadSnapshot::on_job_over(const Job& job) {
  if (job.final_phase == wire::Phase::done || (job.is_service() && job.running_tasks > 0))
    ++loads_[{job.team, job.job_class}].served_jobs;
}

void LoadSnapshot::begin_waiting_update() {
  waiting_cores_by_reason_.clear();
  for (auto& [key, load] : loads_) {
    load.cores_waiting = 0;
    load.oldest_wait = 0;
    load.late_jobs = 0;
  }
}

void LoadSnapshot::add_waiting(const Job& job, std::string_view reason, Seconds waited, bool late) {
  ClassLoad& load = loads_[{job.team, job.job_class}];
  const double cores = static_cast<double>(job.pending_tasks.size()) * job.spec.task_resources.cpus;
  load.cores_waiting += cores;
  load.oldest_wait = std::max(load.oldest_wait, waited);
  load.late_jobs += late;
  waiting_cores_by_reason_[reason] += cores;
}

double LoadSnapshot::expected_service_cores(TeamIndex team, Seconds within, Seconds now) const {
  if (team >= teams_.size())
    return 0;
  const TeamLoad& team_load = teams_[team];
  return team_load.largest_service + team_load.services.per_s(now) * within;
}

}  // namespace wingtrail::balancing
