/// @file
/// Collects the figures by which cells/offload_planner.hpp decides which waiting jobs are offloaded to which
/// neighbouring cell, and carries its plan out.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/cell_timing.hpp"
#include "controller/controller.hpp"

namespace wingtrail::controller {
namespace {
constexpr std::size_t kMaxOffloadsPerPlan = 100;  // a neighbour cannot record that many until the next plan
constexpr std::size_t kMaxJobsConsidered = 3000;
}  // namespace

// Whether the job may be offloaded. It must be a job array or a gang that was submitted in this cell. None of
// its tasks may be placed or done, or can have been started by an earlier leader (the job is reconciled). A
// task that may have been started counts as placed.
bool Controller::may_be_offloaded(const jobs::Job& job) const {
  return job.is_open() && !job.is_held() && !job.is_service() && job.origin_cell.empty() &&
         job.placed_tasks == 0 && job.done_tasks == 0 && job.zone == jobs::kNoIndex &&
         scheduler_.filters().reconciled().admits(job);
}

// No task of the job starts here before the next plan.
void Controller::hold_for_offloading(jobs::Job& job) {
  job.selected_for_offload = true;
  selected_for_offload_.push_back(job.index);
}

struct Controller::WaitingWork {
  std::vector<jobs::Job*> jobs;  // this cell's own job arrays and gangs that wait for machines
  double own_core_seconds = 0;
  double foreign_core_seconds = 0;
};

double Controller::core_seconds(const jobs::Job& job) const {
  return static_cast<double>(job.pending_tasks.size()) * job.spec.task_resources.cpus *
         std::max(1.0, scheduler_.estimated_run_time(job));
}

void Controller::release_selected_jobs() {
  for (const jobs::JobIndex index : std::exchange(selected_for_offload_, {})) {
    if (jobs::Job* job = registry_.job_at(index))
      job->selected_for_offload = false;
  }
  offloading_expected_ = false;
}

Controller::WaitingWork Controller::collect_waiting_work() {
  WaitingWork work;
  for (const jobs::JobIndex index : scheduler_.waiting_jobs()) {
    jobs::Job* job = registry_.job_at(index);
    if (!job || !job->is_open() || job->is_held() || job->pending_tasks.empty())
      continue;
    const bool own = job->origin_cell.empty();
    const double cores = static_cast<double>(job->pending_tasks.size()) * job->spec.task_resources.cpus;
    (own ? foreign_job_capacity_.own_waiting : foreign_job_capacity_.foreign_waiting) += cores;
    (own ? work.own_core_seconds : work.foreign_core_seconds) += core_seconds(*job);
    if (own && !job->is_service())
      work.jobs.push_back(job);
  }
  return work;
}

cells::LocalCapacity Controller::measure_local_capacity() {
  for (const auto& pool : workers_.placement_index().pools()) {
    for (const auto& [free_cores, machine] : pool.all_machines.by_free_cores)
      foreign_job_capacity_.free += free_cores;
  }
  foreign_job_capacity_.rentable = autoscaler_.rentable_cores();
  // Without delegated lease renewal, a cancellation is recorded before the job's tasks have ended, and the
  // origin cell might start them at once. Such a cell accepts no foreign jobs.
  foreign_job_capacity_.draining = settings_.cells.drain || !delegation_support_.enabled();
  foreign_job_capacity_.overloaded = overload_.is_overloaded();
  cells::LocalCapacity here;
  here.draining = settings_.cells.drain;
  here.boot_s = foreign_job_capacity_.rentable > 0 ? autoscaler_.typical_boot_s() : ports::kNever;
  here.cores = foreign_job_capacity_.free;
  std::vector<double> array_cores(settings_.teams.size());
  for (const auto& [key, load] : scheduler_.load().loads()) {
    if (load.service)
      continue;
    here.cores += load.cores_in_use;
    if (key.first < array_cores.size())
      array_cores[key.first] += load.cores_in_use;
  }
  foreign_job_capacity_.cores = here.cores;
  for (std::size_t t = 0; t < settings_.teams.size(); ++t) {
    const settings::Team& team = settings_.teams[t];
    const double left = team.cpus_max - workers_.team_usage(jobs::TeamIndex(t)).cpus;
    if (team.cpus_max > 0)
      here.teams[team.name] = array_cores[t] + std::max(0.0, left);
  }
  return here;
}

// Returns the capacities of all neighbours. Also recalls jobs that a neighbour holds and cannot start, if
// they would start here.
std::vector<cells::NeighbourCapacity> Controller::neighbour_capacities(const cells::LocalCapacity& here,
                                                                       bool starts_at_once) {
  std::vector<cells::NeighbourCapacity> capacities;
  for (std::size_t c = 0; c < neighbours_.size(); ++c) {
    const NeighbourState& neighbour = neighbours_[c];
    cells::NeighbourCapacity capacity;
    capacity.age_s = out_.now() - neighbour.last_digest_at;
    capacity.reachable = neighbour.digest && capacity.age_s < kReachableWithin && !neighbour.digest->draining;
    if (neighbour.digest) {
      capacity.accepts_cores = neighbour.digest->accepts_cores;
      capacity.wait_s = neighbour.digest->wait_s;
      capacity.teams = neighbour.digest->team_cores;
      for (const auto& [at, offered_cores] : neighbour.offered)
        capacity.accepts_cores -= offered_cores;
      if (capacity.reachable && !here.draining && starts_at_once &&
          neighbour.digest->wait_s > 2 * kReachableWithin) {
        for (const std::string& ref : remote_placements_.idle_jobs(c, kMaxOffloadsPerPlan / 10))
          remote_placements_.recall(ref, false, out_.now());
      }
    }
    capacities.push_back(std::move(capacity));
  }
  return capacities;
}

cells::WaitingJob Controller::describe_for_offloading(const jobs::Job& job) const {
  cells::WaitingJob waiting;
  waiting.team = job.spec.team;
  waiting.cores = static_cast<double>(job.pending_tasks.size()) * job.spec.task_resources.cpus;
  waiting.core_seconds = core_seconds(job);
  waiting.fetch_s = std::max(0.0, scheduler_.expected_duration(job) - scheduler_.estimated_run_time(job));
  if (!may_be_offloaded(job))
    return waiting;
  for (std::size_t c = 0; c < neighbours_.size(); ++c) {
    const NeighbourState& neighbour = neighbours_[c];
    const bool visited = (job.visited_cells >> std::min<std::size_t>(c, 63) & 1U) != 0;
    const auto has_type = [&neighbour](const std::string& type) {
      return neighbour.digest->zones_by_type.contains(type);
    };
    const auto& types = job.spec.types;
    waiting.may_offload.push_back(!visited && neighbour.digest &&
                                  (types.empty() || std::any_of(types.begin(), types.end(), has_type)));
  }
  return waiting;
}

void Controller::offload_jobs(const cells::OffloadPlan& plan, const std::vector<jobs::Job*>& waiting,
                              const std::vector<cells::WaitingJob>& candidates, double cores) {
  std::vector<std::size_t> offloaded(neighbours_.size());
  for (const cells::Offload& offload : plan.offloads) {
    jobs::Job& job = *waiting[offload.waiting];
    job.placed_remotely = true;
    job.visited_cells |= std::uint64_t{1} << std::min<std::size_t>(offload.cell, 63);
    remote_placements_.offload(job.spec.ref, offload.cell);
    neighbours_[offload.cell].offered.emplace_back(out_.now(), candidates[offload.waiting].cores);
    ++offloaded[offload.cell];
    ++stats_.jobs_offloaded;
  }
  for (std::size_t c = 0; c < offloaded.size(); ++c) {
    if (offloaded[c] > 0)
      spdlog::info("cells: offloaded jobs={} cell={} cores_waiting={:.0f} cores={:.0f}", offloaded[c],
                   settings_.cells.neighbours[c].name, foreign_job_capacity_.own_waiting, cores);
  }
}

void Controller::plan_offloading() {
  release_selected_jobs();
  foreign_job_capacity_ = {};
  WaitingWork work = collect_waiting_work();
  const cells::LocalCapacity here = measure_local_capacity();
  foreign_job_capacity_known_ = true;
  // A foreign job starts at once if the free cores exceed those that waiting tasks need. Otherwise it waits
  // for a machine to boot or, if none can be rented, until the waiting work is done.
  const bool starts_at_once =
      foreign_job_capacity_.free > foreign_job_capacity_.own_waiting + foreign_job_capacity_.foreign_waiting;
  foreign_job_wait_s_ = starts_at_once ? 0
                        : foreign_job_capacity_.rentable > 0
                            ? here.boot_s
                            : (work.own_core_seconds + work.foreign_core_seconds) / std::max(1.0, here.cores);

  const std::size_t remote_jobs = remote_placements_.size();
  std::vector<cells::NeighbourCapacity> neighbours = neighbour_capacities(here, starts_at_once);
  const bool any_accepts = std::any_of(neighbours.begin(), neighbours.end(), [&here](const auto& neighbour) {
    return neighbour.reachable && (here.draining || neighbour.accepts_cores > 0);
  });
  if (!peers_support_cells() || work.jobs.empty() || !any_accepts)
    return;
  std::sort(work.jobs.begin(), work.jobs.end(), [this](const jobs::Job* left, const jobs::Job* right) {
    return scheduler_.precedes(*left, *right);
  });
  if (work.jobs.size() > kMaxJobsConsidered)
    work.jobs.resize(kMaxJobsConsidered);
  std::vector<cells::WaitingJob> candidates;
  for (const jobs::Job* job : work.jobs)
    candidates.push_back(describe_for_offloading(*job));
  const std::size_t max_remote_jobs = here.draining
                                          ? remote_jobs + kMaxOffloadsPerPlan
                                          : static_cast<std::size_t>(settings_.cells.max_remote_jobs);
  const std::size_t remaining = max_remote_jobs - std::min(max_remote_jobs, remote_jobs);
  const cells::OffloadPlan plan =
      cells::plan_offloads(here, candidates, std::move(neighbours), std::min(kMaxOffloadsPerPlan, remaining));
  for (const std::size_t i : plan.soon)
    hold_for_offloading(*work.jobs[i]);
  offloading_expected_ = plan.would_offload;
  offload_jobs(plan, work.jobs, candidates, here.cores);
}

}  // namespace wingtrail::controller
