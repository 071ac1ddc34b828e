// Several cells in virtual time: simulated clusters (world.hpp), each with its own controllers, state
// service, cloud and workers, and the links between them, which delay, lose, hold, double and refuse. The
// rules are checked over all of them: a task that is on a machine of one cell must not start in another, and
// neither must any task of its job.
#pragma once

#include "simulation/simulated_cluster.hpp"

namespace wingtrail::simulation {

class Cells {
 public:
  // One plan for each; their numbers are set here.
  explicit Cells(std::vector<Plan> plans, std::uint64_t seed = 1);

  SimulatedCluster& operator[](std::size_t c) {
    return *worlds_[c];
  }
  std::size_t size() const {
    return worlds_.size();
  }
  void begin();
  void step(double until);
  double now() const {
    return now_;
  }
  std::vector<std::string> broken() const;  // by all cells

  // From now on for so long nothing that `a` says reaches `b`; `hold`: it does afterwards.
  void cut(std::size_t a, std::size_t b, double for_s, bool hold);
  // All controllers of the cell end, and end again as soon as they are back, for so long.
  void down(std::size_t cell, double for_s);
  // Of what is said, that share arrives a second time, up to a minute later.
  double doubled = 0;
  // Faults of the links at random, on average so far apart, until then.
  void trouble_links(double every_s, double until);

 private:
  struct Link {
    double until = -1;
    bool hold = false;
  };
  void send(std::size_t from, std::size_t to, std::function<void()> fn);
  double between(double a, double b) {
    return a + (b - a) * std::ldexp(static_cast<double>(rng_()), -32);
  }

  pcg32 rng_;
  double now_ = 0;
  std::shared_ptr<Reach> reach_ = std::make_shared<Reach>();
  std::vector<std::unique_ptr<SimulatedCluster>> worlds_;
  std::map<std::pair<std::size_t, std::size_t>, Link> links_;
};

// Two or three small cells with all the faults of the random days in each, and of the links; the first one
// has more work than machines. Returns what was broken, and what it tells of the spilling.
struct CellsDay {
  std::vector<std::string> broken;
  std::size_t guests_started = 0, unfinished = 0, accepted = 0, handed_on = 0;
};
CellsDay play_cells(std::uint64_t seed);

}  // namespace wingtrail::simulation
