#include "cells/offload_planner.hpp"

#include <algorithm>

namespace wingtrail::cells {
namespace {
// From the decision until the other cell's leader may start it: a write here, an offer, a write there.
constexpr Seconds kHandOver = 1.5;
// Estimates of what waits are often wrong by half (PROTOCOL); over many jobs less so.
constexpr double kUnsure = 0.25;
// A job may be so many times as large as the room that is told.
constexpr double kOver = 3;
// Of a cell's cores, guests that may wait beside the free ones: what comes free is used at once, and not only
// when it is enough for a whole array (two cells of 720 cores, a surge of five times: 0.82 in time instead of
// 0.95).
constexpr double kQueued = 0.1;
// What more can be had is not known before the cloud is asked: no more than that part of what there is at a
// time.
constexpr double kGrows = 0.25;
}  // namespace

Seconds local_wait_s(const LocalCapacity& here, const std::string& team, double ahead_core_s,
                     double team_ahead_core_s) {
  const double cores = std::max(here.cores, 1.0);
  // More machines shorten it to their boot, but not what a team's own limit holds back.
  const Seconds room = std::min(ahead_core_s / cores, here.boot_s);
  const auto limit = here.teams.find(team);
  if (limit == here.teams.end())
    return room;
  return std::max(room, team_ahead_core_s / std::max(limit->second, 1.0));
}

OffloadPlan plan_offloads(const LocalCapacity& here, const std::vector<WaitingJob>& waiting,
                          std::vector<NeighbourCapacity> there, std::size_t most) {
  OffloadPlan out;
  double ahead = 0;
  std::map<std::string, double> team_ahead;
  for (std::size_t i = 0; i < waiting.size() && out.offloads.size() < most; ++i) {
    const WaitingJob& w = waiting[i];
    const Seconds stays = local_wait_s(here, w.team, ahead, team_ahead[w.team]);
    std::size_t best = there.size();
    Seconds soonest = ports::kNever;
    bool full = false;
    for (std::size_t c = 0; c < there.size() && c < w.may_offload.size(); ++c) {
      if (!w.may_offload[c] || !there[c].reachable)
        continue;
      const Seconds begins = kHandOver + there[c].age_s + there[c].wait_s + w.fetch_s;
      if (!here.draining && begins >= stays * (1 - kUnsure))
        continue;
      const auto limit = there[c].teams.find(w.team);
      if (limit == there[c].teams.end() || (!here.draining && limit->second < w.cores))
        continue;
      // Its room need not be there at once: it begins with what there is, and goes on as other work ends.
      if (!here.draining && w.cores > kOver * there[c].accepts_cores) {
        full = true;
        continue;
      }
      if (begins < soonest)
        soonest = begins, best = c;
    }
    if (best == there.size()) {
      if (full)
        out.soon.push_back(i);
      ahead += w.core_seconds;
      team_ahead[w.team] += w.core_seconds;
      continue;
    }
    out.offloads.push_back({i, best});
    there[best].accepts_cores -= w.cores;
    there[best].teams[w.team] -= w.cores;
  }
  for (const NeighbourCapacity& t : there)
    out.would_offload |=
        t.reachable && kHandOver + t.age_s + t.wait_s < local_wait_s(here, "", ahead, 0) * (1 - kUnsure);
  out.would_offload |= here.draining;
  return out;
}

double acceptable_guest_cores(const GuestCapacity& r) {
  if (r.draining || r.overloaded)
    return 0;
  const double spare = r.free + kQueued * r.cores - r.own_waiting - r.guests_waiting;
  return spare > 0
             ? spare
             : std::max(0.0, spare + std::min(r.rentable, std::max(kGrows * r.cores, 0.1 * r.rentable)));
}

}  // namespace wingtrail::cells
