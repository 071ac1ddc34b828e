#include "cells/offload_planner.hpp"

#include <algorithm>

namespace wingtrail::cells {
namespace {
// Time from the decision until the other cell's leader may start the job: a write here, an offer, a write
// there.
constexpr Seconds kTransferDelay = 1.5;
// Margin for wrong estimates of the waiting work. A single estimate is often wrong by half (PROTOCOL); the
// sum over many jobs less so.
constexpr double kEstimateMargin = 0.25;
// A job may need this many times the cores that the neighbour accepts: it starts with what is free and
// continues as other tasks end.
constexpr double kMaxOversize = 3;
// Share of a cell's cores by which it accepts foreign jobs beyond its free cores. With a queue, cores that
// become free are used at once; without it, only once a whole job array fits (two cells of 720 cores, a surge
// of five times the load: a share of 0.82 was in time instead of 0.95).
constexpr double kQueuedShare = 0.1;
// Share of a cell's cores up to which it accepts foreign jobs for machines still to be rented, since only the
// cloud's reply shows how many can be.
constexpr double kRentedShare = 0.25;
// The limit given by kRentedShare is raised to at least this share of the rentable cores.
constexpr double kMinRentableShare = 0.1;
}  // namespace

Seconds local_wait_s(const LocalCapacity& here, const std::string& team, double ahead_core_s,
                     double team_ahead_core_s) {
  const double cores = std::max(here.cores, 1.0);
  // More machines limit the wait to their boot time, except for jobs that wait for their team's quota.
  const Seconds cell_wait_s = std::min(ahead_core_s / cores, here.boot_s);
  const auto limit = here.teams.find(team);
  if (limit == here.teams.end())
    return cell_wait_s;
  return std::max(cell_wait_s, team_ahead_core_s / std::max(limit->second, 1.0));
}

OffloadPlan plan_offloads(const LocalCapacity& here, const std::vector<WaitingJob>& waiting,
                          std::vector<NeighbourCapacity> neighbours, std::size_t max_offloads) {
  OffloadPlan plan;
  double ahead = 0;
  std::map<std::string, double> team_ahead;
  for (std::size_t i = 0; i < waiting.size() && plan.offloads.size() < max_offloads; ++i) {
    const WaitingJob& job = waiting[i];
    const Seconds starts_here_s = local_wait_s(here, job.team, ahead, team_ahead[job.team]);
    std::size_t best = neighbours.size();
    Seconds earliest_s = ports::kNever;
    bool lacks_capacity = false;
    for (std::size_t c = 0; c < neighbours.size() && c < job.may_offload.size(); ++c) {
      if (!job.may_offload[c] || !neighbours[c].reachable)
        continue;
      const Seconds starts_there_s =
          kTransferDelay + neighbours[c].age_s + neighbours[c].wait_s + job.fetch_s;
      if (!here.draining && starts_there_s >= starts_here_s * (1 - kEstimateMargin))
        continue;
      const auto limit = neighbours[c].teams.find(job.team);
      if (limit == neighbours[c].teams.end() || (!here.draining && limit->second < job.cores))
        continue;
      if (!here.draining && job.cores > kMaxOversize * neighbours[c].accepts_cores) {
        lacks_capacity = true;
        continue;
      }
      if (starts_there_s < earliest_s)
        earliest_s = starts_there_s, best = c;
    }
    if (best == neighbours.size()) {  // the job remains here
      if (lacks_capacity)
        plan.soon.push_back(i);
      ahead += job.core_seconds;
      team_ahead[job.team] += job.core_seconds;
      continue;
    }
    plan.offloads.push_back({i, best});
    neighbours[best].accepts_cores -= job.cores;
    neighbours[best].teams[job.team] -= job.cores;
  }
  for (const NeighbourCapacity& neighbour : neighbours)
    plan.would_offload |= neighbour.reachable && kTransferDelay + neighbour.age_s + neighbour.wait_s <
                                                     local_wait_s(here, "", ahead, 0) * (1 - kEstimateMargin);
  plan.would_offload |= here.draining;
  return plan;
}

double acceptable_foreign_cores(const ForeignJobCapacity& capacity) {
  if (capacity.draining || capacity.overloaded)
    return 0;
  const double spare =
      capacity.free + kQueuedShare * capacity.cores - capacity.own_waiting - capacity.foreign_waiting;
  if (spare > 0)
    return spare;
  const double max_rented = std::max(kRentedShare * capacity.cores, kMinRentableShare * capacity.rentable);
  return std::max(0.0, spare + std::min(capacity.rentable, max_rented));
}

}  // namespace wingtrail::cells
