/// @file
/// Decides which waiting jobs of this cell are offloaded, and to which neighbour. This is Hawk's stealing one
/// level up, between cells: a job that this cell cannot serve soon starts sooner in a cell with free
/// capacity. The functions have no state. All figures about a neighbour come from its last digest and are
/// some seconds old: they decide what is better, never what is allowed.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::cells {

using ports::Seconds;

/// A waiting job of this cell.
struct WaitingJob {
  std::string team;
  double cores = 0;               ///< of all its waiting tasks together
  double core_seconds = 0;        ///< estimated, of all its waiting tasks together
  Seconds fetch_s = 0;            ///< time to fetch its image, where it has to be fetched
  std::vector<bool> may_offload;  ///< by neighbour; empty: to none
};

/// This cell's own capacity for job arrays and gangs.
struct LocalCapacity {
  double cores = 0;                     ///< free, or in use by job arrays
  std::map<std::string, double> teams;  ///< of these, the most that each team with a quota may use
  Seconds boot_s = 0;                   ///< until a rented machine is ready; kNever: none can be rented
  bool draining = false;                ///< every job that may be offloaded is
};

/// A neighbour's capacity, by its last digest.
struct NeighbourCapacity {
  bool reachable = false;               ///< its digest is recent, and it is not draining
  double accepts_cores = 0;             ///< that it accepts, less those of the offers since the digest
  Seconds wait_s = 0;                   ///< expected wait of an offloaded job before it starts
  Seconds age_s = 0;                    ///< of the digest
  std::map<std::string, double> teams;  ///< cores left within each team's quota; a team left out: none
};

/// One decision: `waiting` is an index of the waiting jobs, `cell` one of the neighbours.
struct Offload {
  std::size_t waiting = 0, cell = 0;
};
/// The decisions of one plan.
struct OffloadPlan {
  std::vector<Offload> offloads;
  /// Indices of waiting jobs that would start sooner in a neighbour which lacks the capacity at present. They
  /// should not start here until the next plan, since a job that has started cannot be offloaded. Hawk's late
  /// binding starts many job arrays at once, so that in a surge none would be left to offload (two cells of
  /// 720 cores, a surge of five times the load: a share of 0.76 was in time instead of 0.95).
  std::vector<std::size_t> soon;
  /// Whether a job submitted before the next plan would start sooner in a neighbour, too.
  bool would_offload = false;
};

/// Plans `max_offloads` at most. `waiting` has the order in which this cell would serve the jobs. A job goes
/// to the neighbour where it would start first, if it would start there sooner than here by a margin that
/// covers the transfer, the image fetch, the age of the digest and wrong estimates. A job that is not
/// offloaded adds to the wait of those behind it. So the jobs that meet their objectives at the lowest cost
/// are served first, in either cell, and each offloaded job shortens the wait of all that remain.
OffloadPlan plan_offloads(const LocalCapacity& here, const std::vector<WaitingJob>& waiting,
                          std::vector<NeighbourCapacity> neighbours, std::size_t max_offloads);

/// The wait in seconds before a job of the team would start here behind `ahead_core_s` core seconds of
/// waiting work, of which `team_ahead_core_s` are its own team's.
Seconds local_wait_s(const LocalCapacity& here, const std::string& team, double ahead_core_s,
                     double team_ahead_core_s);

/// This cell's cores, as far as they decide how many foreign jobs it accepts.
struct ForeignJobCapacity {
  double free = 0;             ///< on its machines
  double rentable = 0;         ///< of machines that can still be rented
  double own_waiting = 0;      ///< of this cell's own waiting tasks
  double foreign_waiting = 0;  ///< of waiting tasks of foreign jobs
  double cores = 0;            ///< free, or in use by job arrays and foreign jobs
  bool draining = false, overloaded = false;
};
/// The cores of foreign jobs that the cell accepts: its free cores less those of all waiting tasks, plus some
/// that may wait until other tasks end; when none of that is left, part of what can be rented. None while the
/// cell is draining, or overloaded, when it defers its own users' submissions.
double acceptable_foreign_cores(const ForeignJobCapacity& capacity);

}  // namespace wingtrail::cells
