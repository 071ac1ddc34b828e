// Which of the jobs that wait here are handed on, and where to. Hawk's stealing one level up: what waits
// behind more than this cell can serve soon begins sooner where there is room. Pure: figures in, decisions
// out. Every figure about another cell is what it told, some seconds ago; it says what is better, never what
// is allowed.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::cells {

using ports::Seconds;

// One that waits, in the order in which this cell would serve them.
struct WaitingJob {
  std::string team;
  double cores = 0;               // of its tasks that wait, together
  double core_seconds = 0;        // what they will take
  Seconds fetch_s = 0;            // of its image, where it has to be fetched
  std::vector<bool> may_offload;  // by neighbour; empty: nowhere
};

// This cell's own capacity for such work.
struct LocalCapacity {
  double cores = 0;                     // in use by arrays, or free
  std::map<std::string, double> teams;  // of these, the most that a team with a limit may have
  Seconds boot_s = 0;                   // until more can be had; kNever: no more can
  bool draining = false;                // whatever may go, goes
};

struct NeighbourCapacity {
  bool reachable = false;    // heard of lately, and not drained
  double accepts_cores = 0;  // cores, less what it was offered since it said so
  Seconds wait_s = 0;
  Seconds age_s = 0;  // of what it said
  std::map<std::string, double> teams;
};

struct Offload {
  std::size_t waiting = 0, cell = 0;
};
struct OffloadPlan {
  std::vector<Offload> offloads;
  // Would begin sooner elsewhere, and go as soon as there is room: until then they should not be begun here,
  // since what has begun stays. Hawk's late binding begins many arrays at once, and a surge would be all
  // begun and none to be handed on (two cells of 720 cores, a surge of five times: 0.76 in time instead of
  // 0.95).
  std::vector<std::size_t> soon;
  // The same of whatever comes before the next plan.
  bool would_offload = false;
};

// Takes the jobs in their order. One that would wait here for longer than at a neighbour, by a margin for the
// way there, the fetch, the age of what is known and estimates that are off, goes to the neighbour where it
// begins first; what stays adds to the wait of those behind it. So the ones that meet their aims cheapest are
// served first, here or there, and each that goes shortens the wait of all that stay.
OffloadPlan plan_offloads(const LocalCapacity& here, const std::vector<WaitingJob>& waiting,
                          std::vector<NeighbourCapacity> there, std::size_t most);

// From when a job that joins now would begin here.
Seconds local_wait_s(const LocalCapacity& here, const std::string& team, double ahead_core_s,
                     double team_ahead_core_s);

// What a cell takes of others' work: what is free beside its own work and guests that wait, some more to be
// begun as others end, and once nothing of that is left, what more can be had. Nothing while it is drained or
// puts its own users' submissions off.
struct GuestCapacity {
  double free = 0, rentable = 0, own_waiting = 0, guests_waiting = 0;
  double cores = 0;  // that its arrays and guests have, or that are free
  bool draining = false, overloaded = false;
};
double acceptable_guest_cores(const GuestCapacity& room);

}  // namespace wingtrail::cells
