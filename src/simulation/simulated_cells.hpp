/// @file
/// Several cells in virtual time: simulated clusters (simulated_cluster.hpp), each with its own controllers,
/// state service, cloud and workers, and the links between them, which delay, lose, hold back and duplicate
/// messages. The rules are checked over all cells: while a task is on a machine of one cell, no task of the
/// same job may start in another.
#pragma once

#include "simulation/simulated_cluster.hpp"

namespace wingtrail::simulation {

/// Runs the events of all cells in the order of virtual time.
class SimulatedCells {
 public:
  /// Creates one cell for each plan and sets the plans' cell numbers.
  explicit SimulatedCells(std::vector<SimulationPlan> plans, std::uint64_t seed = 1);

  SimulatedCluster& operator[](std::size_t c) {
    return *clusters_[c];
  }
  std::size_t size() const {
    return clusters_.size();
  }
  /// Schedules the first events of all cells.
  void begin();
  /// Executes all events due before `until`, in seconds; stops after the first violation.
  void step(double until);
  double now() const {
    return now_;
  }
  /// Returns the violations of all cells.
  std::vector<std::string> broken_rules() const;

  /// For `for_s` seconds from now, no message from `a` reaches `b`. `hold`: about half of the messages are
  /// held back and delivered afterwards; otherwise all are lost.
  void cut(std::size_t a, std::size_t b, double for_s, bool hold);
  /// For `for_s` seconds from now, all controllers of the cell end every 0.5 s.
  void down(std::size_t cell, double for_s);
  /// Share of messages between cells that arrive a second time, 0.5 to 60 s later.
  double duplicate_share = 0;
  /// Schedules random faults of the links until time `until`, on average `every_s` seconds apart.
  void add_link_faults(double every_s, double until);

 private:
  struct Link {
    double until = -1;
    bool holds_packets = false;
  };
  void send(std::size_t from, std::size_t to, std::function<void()> fn);
  double random_between(double a, double b) {
    return a + (b - a) * std::ldexp(static_cast<double>(rng_()), -32);
  }

  pcg32 rng_;
  double now_ = 0;
  std::shared_ptr<CellNetwork> network_ = std::make_shared<CellNetwork>();
  std::vector<std::unique_ptr<SimulatedCluster>> clusters_;
  std::map<std::pair<std::size_t, std::size_t>, Link> links_;
};

/// Violations and counters of a simulated run of several cells, summed over the cells.
struct CellsRunReport {
  std::vector<std::string> broken_rules;
  std::size_t remote_tasks_started = 0, unfinished = 0, accepted = 0, offloaded = 0;
};

/// Runs two or three small cells with random faults in each cell and on the links between them. The first
/// cell has more work than machines, so that it offloads jobs.
CellsRunReport run_random_cells(std::uint64_t seed);

}  // namespace wingtrail::simulation
