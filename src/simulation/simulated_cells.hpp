// Several cells in virtual time: simulated clusters (world.hpp), each with its own controllers, state
// service, cloud and workers, and the links between them, which delay, lose, hold, double and refuse. The
// rules are checked over all of them: a task that is on a machine of one cell must not start in another, and
// neither must any task of its job.
#pragma once

#include "simulation/simulated_cluster.hpp"

namespace wingtrail::simulation {

class SimulatedCells {
 public:
  // One plan for each; their numbers are set here.
  explicit SimulatedCells(std::vector<SimulationPlan> plans, std::uint64_t seed = 1);

  SimulatedCluster& operator[](std::size_t c) {
    return *clusters_[c];
  }
  std::size_t size() const {
    return clusters_.size();
  }
  void begin();
  void step(double until);
  double now() const {
    return now_;
  }
  std::vector<std::string> broken_rules() const;  // by all cells

  // From now on for so long nothing that `a` says reaches `b`; `hold`: it does afterwards.
  void cut(std::size_t a, std::size_t b, double for_s, bool hold);
  // All controllers of the cell end, and end again as soon as they are back, for so long.
  void down(std::size_t cell, double for_s);
  // Of what is said, that share arrives a second time, up to a minute later.
  double duplicate_share = 0;
  // Faults of the links at random, on average so far apart, until then.
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

// Two or three small cells with all the faults of the random days in each, and of the links; the first one
// has more work than machines. Returns what was broken, and what it tells of the spilling.
struct CellsRunReport {
  std::vector<std::string> broken_rules;
  std::size_t remote_tasks_started = 0, unfinished = 0, accepted = 0, offloaded = 0;
};
CellsRunReport run_random_cells(std::uint64_t seed);

}  // namespace wingtrail::simulation
