#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

JobRegistry::JobRegistry(const settings::Settings& settings) {
  for (const auto& team : settings.teams)
    teams.add(team.name);
  for (const auto& zone : settings.zones)
    zones.add(zone);
}

Job& JobRegistry::add(const wire::JobSpec& spec, std::uint64_t created_revision, Seconds submitted_at) {
  if (Job* known = find(spec.ref))
    return *known;
  auto job = std::make_unique<Job>();
  job->index = JobIndex(jobs_.size());
  job->spec = spec;
  job->team = teams.add(spec.team);
  job->image = images.add(spec.image);
  if (image_gb_.size() <= job->image)
    image_gb_.resize(job->image + 1);
  image_gb_[job->image] = spec.image_gb;
  job->job_class = classes.add(spec.job_class);
  if (spec.zone)
    job->zone = zones.add(*spec.zone);
  for (const auto& type : spec.types)
    job->types.push_back(types.add(type));
  job->created_revision = created_revision;
  job->submitted_at = job->eligible_since = submitted_at;
  job->effective_priority = spec.priority;
  job->tasks.resize(spec.tasks);
  job->pending_tasks.reserve(spec.tasks);
  for (std::uint32_t task = spec.tasks; task-- > 0;)
    add_pending(*job, task);
  by_ref_.emplace(spec.ref, job->index);
  jobs_.push_back(std::move(job));
  return *jobs_.back();
}

Job* JobRegistry::find(const std::string& ref) {
  auto it = by_ref_.find(ref);
  return it == by_ref_.end() ? nullptr : jobs_[it->second].get();
}

void JobRegistry::clear() {
  by_ref_.clear();
  jobs_.clear();
}

void JobRegistry::erase_if_over(Job& job) {
  if (!job.final_state_recorded || job.placed_tasks > 0)
    return;
  by_ref_.erase(job.spec.ref);
  jobs_[job.index].reset();
}

void JobRegistry::forget(const std::string& ref) {
  const auto known = by_ref_.extract(ref);
  if (!known.empty())
    jobs_[known.mapped()].reset();
}

void JobRegistry::add_pending(Job& job, std::uint32_t task) {
  job.tasks[task] = {TaskState::pending, false, kNoIndex,
                     static_cast<std::uint32_t>(job.pending_tasks.size())};
  job.pending_tasks.push_back(task);
}

void JobRegistry::remove_pending(Job& job, std::uint32_t task) {
  const std::uint32_t at = job.tasks[task].pending_position, last = job.pending_tasks.back();
  job.pending_tasks[at] = last;
  job.tasks[last].pending_position = at;
  job.pending_tasks.pop_back();
}

void JobRegistry::place_task(Job& job, std::uint32_t task, MachineIndex machine, ZoneIndex zone) {
  Task& state = job.tasks[task];
  if (state.state == TaskState::pending)
    remove_pending(job, task);
  state = {TaskState::placed, false, machine, 0};
  ++job.placed_tasks;
  if (job.placed_by_zone.size() <= zone)
    job.placed_by_zone.resize(zone + 1);
  ++job.placed_by_zone[zone];
  if (on_placed)
    on_placed(job, zone, 1);
}

void JobRegistry::set_task_running(Job& job, std::uint32_t task, bool running) {
  Task& state = job.tasks[task];
  if (state.running == running)
    return;
  state.running = running;
  job.running_tasks += running ? 1 : -1;
}

void JobRegistry::unplace_task(Job& job, std::uint32_t task, ZoneIndex zone) {
  set_task_running(job, task, false);
  add_pending(job, task);
  ++job.lost_starts;
  --job.placed_tasks;
  --job.placed_by_zone[zone];
  if (on_placed)
    on_placed(job, zone, -1);
  if (on_pending)
    on_pending(job);
}

void JobRegistry::complete_task(Job& job, std::uint32_t task, ZoneIndex zone) {
  Task& state = job.tasks[task];
  if (state.state == TaskState::done)
    return;
  if (state.state == TaskState::pending) {
    remove_pending(job, task);
  } else {
    set_task_running(job, task, false);
    --job.placed_tasks;
    if (zone != kNoIndex)
      --job.placed_by_zone[zone];
    if (zone != kNoIndex && on_placed)
      on_placed(job, zone, -1);
  }
  state = {TaskState::done, false, kNoIndex, 0};
  ++job.done_tasks;
}

}  // namespace wingtrail::jobs
