/// @file settings.hpp The platform's settings (TOML) and the operators' tunables (YAML).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wingtrail::settings {

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  std::string text() const {
    return host + ":" + std::to_string(port);
  }
};

struct Peer {
  std::string name, zone;
  Endpoint endpoint;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  ///< 0: no guarantee, no limit.
};

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
  double times = 1;  ///< Factor on the job's own deadline.
};

/// The operators' tunables. The defaults suit any deployment; docs/operations.md describes each.
struct Tunables {
  double leader_lease_s = 3.0;     ///< Duration of the leader lease.
  double delegation_leases = 2.0;  ///< Longest delegated lease renewal, in worker leases; 0: no delegation.
  int peer_agreement = 0;  ///< 1: with no leader, delegation by peer agreement; docs/lease-delegation.md.
  int zone_tracking = 0;   ///< 1: decisions by zone state; docs/zone-failures.md.
  int fair_admission = 0;  ///< 1: job batches, fair queue and budget shares; docs/admission.md.
  double long_job_cutoff_s = 60.0;  ///< Jobs with a longer estimate are scheduled as long (Hawk's cutoff).
  double begin_within_s = 0;  ///< Time within which a job array should start its first task; 0: no limit.
  double reservations_per_task = 2.0;     ///< Machines sampled per task of a short job (Hawk's probe ratio).
  int steal_sample = 10;                  ///< Machines that an idle one samples to steal a reservation.
  double short_partition = 0.10;          ///< Share of the machines that accept no long tasks (Hawk).
  double silent_heartbeats = 1.7;         ///< Heartbeat intervals of silence until a machine is suspected.
  double idle_return_s = 60.0;            ///< Idle time after which a machine may be returned.
  double replica_migration_rate = 0.005;  ///< Share of all replicas that may migrate per second for scale-in.
  double headroom = 0.15;                 ///< Spare capacity, as a share of the load.
  int load_balancing = 0;                 ///< 1: load balancing; docs/load-balancing.md.
  double migrations_per_machine = 0.05;   ///< Limit on concurrent migrations, per machine of the cluster.
  double surge_headroom = 1.2;    ///< As headroom, for arrays where capacity is guaranteed: room for a surge.
  double progress_flush_s = 1.0;  ///< How often completed tasks are persisted.
};

/// A neighbouring cell that jobs may be offloaded to; see docs/cells.md.
struct Neighbour {
  std::string name;
  std::vector<Endpoint> nodes;  ///< Peer endpoints of its controllers.
};

/// This deployment as one of several cells.
struct Cells {
  std::string name;  ///< Name of this cell; empty: no neighbours.
  std::vector<Neighbour> neighbours;
  int max_remote_jobs = 500;  ///< Limit on jobs of this cell in other cells; not while draining.
  bool drain = false;         ///< Waiting jobs are offloaded, no foreign jobs accepted.
  std::vector<std::string> decommissioned;  ///< Neighbours declared permanently gone by the operators.
  bool enabled() const {
    return !name.empty() && !neighbours.empty();
  }
};

struct Settings {
  std::string node, zone;
  Endpoint client_listen, peer_listen, cloud, state;
  std::vector<Peer> peers;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  /// Returns the team at this position of `teams`; null beyond its end. The registry of jobs numbers the
  /// teams that only records name behind those of the settings.
  const Team* find_team(std::size_t position) const {
    return position < teams.size() ? &teams[position] : nullptr;
  }
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 3, worker_lease_s = 30, cancellation_limit_s = 60;
  /// Limits of the state service: the lower of the present limit and that of `state.next`, which takes
  /// effect at an unannounced time.
  double state_requests_per_s = 100, state_writes_per_s = 30, state_value_kb = 8;
  int max_transaction_changes = 12;
  std::size_t value_bytes() const {
    return static_cast<std::size_t>(state_value_kb * 1024);
  }
  double cloud_requests_per_s = 8, cloud_list_lag_s = 5;
  int max_connections = 1000;
  /// Connections of `max_connections` that are for other controllers.
  std::size_t peer_connections() const {
    constexpr double kPeerShare = 0.03;
    constexpr double kMinimum = 8;
    return static_cast<std::size_t>(std::max(kMinimum, max_connections * kPeerShare));
  }
  double memory_mb = 0;
  Tunables tunables;
  Cells cells;
};

/// The settings, and the problems found, one line each. The settings are valid if there are none.
struct LoadResult {
  Settings settings;
  std::vector<std::string> problems;
};
LoadResult load(const std::string& toml_path, const std::string& yaml_path);
LoadResult parse(const std::string& toml_text, const std::string& yaml_text);

}  // namespace wingtrail::settings
