#include "spread/picture.hpp"

#include <algorithm>

namespace wingtrail::spread {

void Picture::clear() {
  loads_.clear();
  teams_.clear();
  zones_.clear();
  reasons_.clear();
}

Picture::Team& Picture::team(Ix ix) {
  if (teams_.size() <= ix)
    teams_.resize(ix + 1);
  return teams_[ix];
}

const Picture::Load* Picture::of(Ix team, Ix job_class) const {
  const auto it = loads_.find({team, job_class});
  return it == loads_.end() ? nullptr : &it->second;
}

void Picture::came(const Job& job, double core_s, Seconds now) {
  Load& load = loads_[{job.team, job.job_class}];
  if (!job.service()) {
    load.lately.add(now, core_s);
    load.long_run.add(now, core_s);
    return;
  }
  Team& t = team(job.team);
  const double cores = job.spec.tasks * job.spec.need.cpus;
  t.largest_service = std::max(t.largest_service, cores);
  t.services.add(now, cores);
}

void Picture::placed(const Job& job, Ix zone, int tasks) {
  const double cores = tasks * job.spec.need.cpus;
  Load& load = loads_[{job.team, job.job_class}];
  load.service = job.service();
  load.held += cores;
  if (load.by_zone.size() <= zone)
    load.by_zone.resize(zone + 1);
  load.by_zone[zone] += cores;
  if (zones_.size() <= zone)
    zones_.resize(zone + 1);
  zones_[zone] += cores;
}

void Picture::ended(const Job& job) {
  if (job.final_phase == wire::Phase::done || (job.service() && job.running > 0))
    ++loads_[{job.team, job.job_class}].served;
}

void Picture::look() {
  reasons_.clear();
  for (auto& [key, load] : loads_) {
    load.waiting = 0;
    load.oldest = 0;
    load.late = 0;
  }
}

void Picture::waits(const Job& job, std::string_view why, Seconds waited, bool late) {
  Load& load = loads_[{job.team, job.job_class}];
  const double cores = static_cast<double>(job.pending.size()) * job.spec.need.cpus;
  load.waiting += cores;
  load.oldest = std::max(load.oldest, waited);
  load.late += late;
  reasons_[why] += cores;
}

double Picture::services_soon(Ix team, Seconds within, Seconds now) const {
  if (team >= teams_.size())
    return 0;
  const Team& t = teams_[team];
  return t.largest_service + t.services.per_s(now) * within;
}

}  // namespace wingtrail::spread
