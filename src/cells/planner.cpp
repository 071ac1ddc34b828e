#include "cells/planner.hpp"

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

Seconds wait_here(const Here& here, const std::string& team, double ahead_core_s, double team_ahead_core_s) {
  const double cores = std::max(here.cores, 1.0);
  // More machines shorten it to their boot, but not what a team's own limit holds back.
  const Seconds room = std::min(ahead_core_s / cores, here.boot_s);
  const auto limit = here.teams.find(team);
  if (limit == here.teams.end())
    return room;
  return std::max(room, team_ahead_core_s / std::max(limit->second, 1.0));
}

Plan plan(const Here& here, const std::vector<Waiting>& waiting, std::vector<There> there, std::size_t most) {
  Plan out;
  double ahead = 0;
  std::map<std::string, double> team_ahead;
  for (std::size_t i = 0; i < waiting.size() && out.go.size() < most; ++i) {
    const Waiting& w = waiting[i];
    const Seconds stays = wait_here(here, w.team, ahead, team_ahead[w.team]);
    std::size_t best = there.size();
    Seconds soonest = ports::kNever;
    bool full = false;
    for (std::size_t c = 0; c < there.size() && c < w.may_go.size(); ++c) {
      if (!w.may_go[c] || !there[c].open)
        continue;
      const Seconds begins = kHandOver + there[c].age_s + there[c].wait_s + w.fetch_s;
      if (!here.drains && begins >= stays * (1 - kUnsure))
        continue;
      const auto limit = there[c].teams.find(w.team);
      if (limit == there[c].teams.end() || (!here.drains && limit->second < w.cores))
        continue;
      // Its room need not be there at once: it begins with what there is, and goes on as other work ends.
      if (!here.drains && w.cores > kOver * there[c].takes) {
        full = true;
        continue;
      }
      if (begins < soonest)
        soonest = begins, best = c;
    }
    if (best == there.size()) {
      if (full)
        out.soon.push_back(i);
      ahead += w.core_s;
      team_ahead[w.team] += w.core_s;
      continue;
    }
    out.go.push_back({i, best});
    there[best].takes -= w.cores;
    there[best].teams[w.team] -= w.cores;
  }
  for (const There& t : there)
    out.spills |= t.open && kHandOver + t.age_s + t.wait_s < wait_here(here, "", ahead, 0) * (1 - kUnsure);
  out.spills |= here.drains;
  return out;
}

double takes(const Room& r) {
  if (r.drains || r.overloaded)
    return 0;
  const double spare = r.free + kQueued * r.cores - r.own_waiting - r.guests_waiting;
  return spare > 0
             ? spare
             : std::max(0.0, spare + std::min(r.rentable, std::max(kGrows * r.cores, 0.1 * r.rentable)));
}

}  // namespace wingtrail::cells
