// The platform's settings (TOML) and the operators' own tunables (YAML).
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
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: no guarantee, no limit
};

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
  double times = 1;  // of a job's own deadline
};

// Operators' choices. Defaults hold for any deployment; docs/operations.md describes each.
struct Tunables {
  double leader_lease_s = 3.0;      // how long a silent leader keeps its office
  double delegation_leases = 2.0;   // how long a custodian may go on, in leases of workers; 0: no custody
  int peer_agreement = 0;           // 1: nodes agree on custody while nobody leads, see docs/custody.md
  int zone_tracking = 0;            // 1: the decisions of docs/zones.md
  int fair_admission = 0;           // 1: sheets, turns and shares, see docs/admission.md
  double long_job_cutoff_s = 60.0;  // Hawk: estimates above this are long
  double begin_within_s = 0;        // an array gets a first task in time to begin within that; 0: no promise
  double reservations_per_task = 2.0;     // Hawk: probe ratio
  int steal_sample = 10;                  // Hawk: machines an idle one looks at
  double short_partition = 0.10;          // Hawk: share of machines that refuse long tasks
  double silent_heartbeats = 1.7;         // report intervals without a report until a machine is suspected
  double idle_return_s = 60.0;            // idle time after which a machine may be returned
  double replica_migration_rate = 0.005;  // of all replicas, how many may move in a second to empty machines
  double headroom = 0.15;                 // spare capacity, as a share of the load
  int load_balancing = 0;                 // 1: the decisions of docs/spread.md
  double migrations_per_machine = 0.05;   // tasks that may move at once, per machine
  double surge_headroom = 1.2;    // of the load of arrays, what is kept for a surge where room is guaranteed
  double progress_flush_s = 1.0;  // how often completed tasks are persisted
};

// Another deployment of ours that work may spill over to; docs/cells.md.
struct Neighbour {
  std::string name;
  std::vector<Endpoint> nodes;  // where its controllers listen to peers
};

// This deployment as one of several.
struct Cells {
  std::string name;  // of this one; empty: it has no neighbours
  std::vector<Neighbour> neighbours;
  int max_remote_jobs = 500;                // jobs that others may hold for this cell at a time
  bool drain = false;                       // whatever waits is handed on, and nothing is taken in
  std::vector<std::string> decommissioned;  // neighbours that never come back, on the operators' word
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
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 3, worker_lease_s = 30, cancellation_limit_s = 60;
  // Of the limits that hold now and those that will hold from some moment on (`state.next`), the lesser:
  // nobody announces that moment.
  double state_requests_per_s = 100, state_writes_per_s = 30, state_value_kb = 8;
  int max_transaction_changes = 12;
  std::size_t value_bytes() const {
    return static_cast<std::size_t>(state_value_kb * 1024);
  }
  double cloud_requests_per_s = 8, cloud_list_lag_s = 5;
  int max_connections = 1000;
  double memory_mb = 0;
  Tunables tunables;
  Cells cells;
};

// Either settings, or what is wrong with them, one line each.
struct LoadResult {
  Settings settings;
  std::vector<std::string> problems;
};
LoadResult load(const std::string& toml_path, const std::string& yaml_path);
LoadResult parse(const std::string& toml_text, const std::string& yaml_text);

}  // namespace wingtrail::settings
