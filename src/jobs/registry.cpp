#include "jobs/registry.hpp"

namespace wingtrail::jobs {

Registry::Registry(const settings::Settings& settings) {
  for (const auto& t : settings.teams)
    teams.add(t.name);
  for (const auto& z : settings.zones)
    zones.add(z);
}

Job& Registry::add(const wire::JobSpec& spec, std::uint64_t created, Seconds submitted) {
  if (Job* known = find(spec.ref))
    return *known;
  auto job = std::make_unique<Job>();
  job->ix = static_cast<Ix>(jobs_.size());
  job->spec = spec;
  job->team = teams.find(spec.team);
  job->image = images.add(spec.image);
  if (image_gb_.size() <= job->image)
    image_gb_.resize(job->image + 1);
  image_gb_[job->image] = spec.image_gb;
  job->job_class = classes.add(spec.job_class);
  if (spec.zone)
    job->zone = zones.add(*spec.zone);
  for (const auto& t : spec.types)
    job->types.push_back(types.add(t));
  job->created = created;
  job->submitted = job->since = submitted;
  job->priority = spec.priority;
  job->tasks.resize(spec.tasks);
  job->pending.reserve(spec.tasks);
  for (std::uint32_t i = spec.tasks; i-- > 0;)
    wait(*job, i);
  by_ref_.emplace(spec.ref, job->ix);
  jobs_.push_back(std::move(job));
  return *jobs_.back();
}

Job* Registry::find(const std::string& ref) {
  auto it = by_ref_.find(ref);
  return it == by_ref_.end() ? nullptr : jobs_[it->second].get();
}

void Registry::clear() {
  by_ref_.clear();
  jobs_.clear();
}

void Registry::drop_if_over(Job& job) {
  if (!job.closed || job.placed > 0)
    return;
  by_ref_.erase(job.spec.ref);
  jobs_[job.ix].reset();
}

void Registry::forget(const std::string& ref) {
  const auto known = by_ref_.extract(ref);
  if (!known.empty())
    jobs_[known.mapped()].reset();
}

void Registry::wait(Job& job, std::uint32_t task) {
  job.tasks[task] = {TaskState::pending, false, kNone, static_cast<std::uint32_t>(job.pending.size())};
  job.pending.push_back(task);
}

void Registry::wait_no_more(Job& job, std::uint32_t task) {
  const std::uint32_t at = job.tasks[task].at, last = job.pending.back();
  job.pending[at] = last;
  job.tasks[last].at = at;
  job.pending.pop_back();
}

void Registry::place(Job& job, std::uint32_t task, Ix machine, Ix zone) {
  Task& t = job.tasks[task];
  if (t.state == TaskState::pending)
    wait_no_more(job, task);
  t = {TaskState::placed, false, machine, 0};
  ++job.placed;
  if (job.in_zone.size() <= zone)
    job.in_zone.resize(zone + 1);
  ++job.in_zone[zone];
  if (on_placed)
    on_placed(job, zone, 1);
}

void Registry::set_running(Job& job, std::uint32_t task, bool running) {
  Task& t = job.tasks[task];
  if (t.running == running)
    return;
  t.running = running;
  job.running += running ? 1 : -1;
}

void Registry::unplace(Job& job, std::uint32_t task, Ix zone) {
  set_running(job, task, false);
  wait(job, task);
  ++job.lost;
  --job.placed;
  --job.in_zone[zone];
  if (on_placed)
    on_placed(job, zone, -1);
  if (on_pending)
    on_pending(job);
}

void Registry::complete(Job& job, std::uint32_t task, Ix zone) {
  Task& t = job.tasks[task];
  if (t.state == TaskState::done)
    return;
  if (t.state == TaskState::pending) {
    wait_no_more(job, task);
  } else {
    set_running(job, task, false);
    --job.placed;
    if (zone != kNone)
      --job.in_zone[zone];
    if (zone != kNone && on_placed)
      on_placed(job, zone, -1);
  }
  t = {TaskState::done, false, kNone, 0};
  ++job.done;
}

}  // namespace wingtrail::jobs
