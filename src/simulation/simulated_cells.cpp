#include "simulation/simulated_cells.hpp"

#include <algorithm>
#include <cmath>

namespace wingtrail::simulation {

SimulatedCells::SimulatedCells(std::vector<SimulationPlan> plans, std::uint64_t seed) : rng_(seed) {
  for (std::size_t c = 0; c < plans.size(); ++c) {
    plans[c].cell = c;
    plans[c].cells = plans.size();
    clusters_.push_back(std::make_unique<SimulatedCluster>(plans[c]));
    network_->cells.push_back(clusters_.back().get());
  }
  network_->send = [this](std::size_t from, std::size_t to, std::function<void()> fn) {
    send(from, to, std::move(fn));
  };
  for (auto& cluster : clusters_)
    cluster->join_network(network_);
}

void SimulatedCells::begin() {
  for (auto& cluster : clusters_)
    cluster->begin();
}

// Events run in the order of time over all cells, so that no cell receives a message from a later time.
void SimulatedCells::step(double until) {
  while (true) {
    SimulatedCluster* first = nullptr;
    for (auto& cluster : clusters_) {
      if (!first || cluster->next() < first->next())
        first = cluster.get();
    }
    if (first->next() >= until || !broken_rules().empty())
      break;
    now_ = first->next();
    first->step(std::nextafter(now_, 1e18));
  }
  now_ = std::max(now_, until);
}

std::vector<std::string> SimulatedCells::broken_rules() const {
  std::vector<std::string> all;
  for (const auto& cluster : clusters_) {
    const auto& b = cluster->run_report().broken_rules;
    all.insert(all.end(), b.begin(), b.end());
  }
  return all;
}

void SimulatedCells::cut(std::size_t a, std::size_t b, double for_s, bool hold) {
  Link& l = links_[{a, b}];
  l.until = std::max(l.until, now_ + for_s);
  l.holds_packets = hold;
}

void SimulatedCells::down(std::size_t cell, double for_s) {
  SimulatedCluster& cluster = *clusters_[cell];
  for (double t = 0; t < for_s; t += 0.5) {
    cluster.schedule_at(now_ + t, [&cluster] {
      for (std::size_t i = 0; i < cluster.nodes(); ++i)
        cluster.crash(i);
    });
  }
}

void SimulatedCells::send(std::size_t from, std::size_t to, std::function<void()> fn) {
  const Link& l = links_[{from, to}];
  double at = clusters_[from]->now() + random_between(0.001, 0.02);
  if (at < l.until) {
    if (!l.holds_packets || random_between(0, 1) < 0.5)
      return;
    at = l.until + random_between(0, 0.1);
  }
  if (random_between(0, 1) < duplicate_share)
    clusters_[to]->schedule_at(at + random_between(0.5, 60), fn);
  clusters_[to]->schedule_at(at, std::move(fn));
}

void SimulatedCells::add_link_faults(double every_s, double until) {
  const double at = now_ + random_between(0, 2 * every_s);
  if (at > until)
    return;
  clusters_[0]->schedule_at(at, [this, every_s, until] {
    const std::size_t a = rng_(static_cast<std::uint32_t>(size()));
    const std::size_t b = (a + 1 + rng_(static_cast<std::uint32_t>(size() - 1))) % size();
    const double span = random_between(1, 30);
    const bool hold = random_between(0, 1) < 0.5;
    cut(a, b, span, hold);
    if (random_between(0, 1) < 0.6)
      cut(b, a, span, hold);
    if (random_between(0, 1) < 0.15)
      down(a, random_between(0.5, 25));
    add_link_faults(every_s, until);
  });
}

CellsRunReport run_random_cells(std::uint64_t seed) {
  std::vector<SimulationPlan> plans;
  const std::size_t n = seed % 4 == 3 ? 3 : 2;
  for (std::size_t c = 0; c < n; ++c) {
    SimulationPlan p = plan_of(seed + 31 * c);
    p.seed = seed * 64 + c;
    p.late_writes = seed % 3 == 0 ? 0.03 : 0;
    p.upgrade = false;  // a controller of an older version stops offloading; that case has its own tests
    p.duration_s = 150;
    p.settle_s = 1500;
    p.max_machines = c == 0 ? 7 : 16;
    p.arrival_s = c == 0 ? 1.5 : 10;
    p.fault_every_s = c == 0 ? 15 : 12;
    plans.push_back(p);
  }
  SimulatedCells cells(plans, seed);
  cells.duplicate_share = seed % 2 == 0 ? 0.05 : 0;
  cells.begin();
  cells.add_link_faults(12, 150);
  // Runs until all jobs are done, and 60 s longer, because messages that arrive late must do no harm.
  std::size_t undone = 1;
  for (double t = 270; undone > 0 && t < 150 + plans[0].settle_s && cells.broken_rules().empty(); t += 60) {
    cells.step(t);
    undone = 0;
    for (std::size_t c = 0; c < n; ++c)
      undone += cells[c].unfinished_jobs();
  }
  cells.step(cells.now() + 60);
  CellsRunReport report;
  for (std::size_t c = 0; c < n; ++c) {
    const RunReport& v = cells[c].close();
    report.remote_tasks_started += v.remote_tasks_started;
    report.unfinished += v.unfinished;
    report.accepted += v.accepted;
  }
  report.broken_rules = cells.broken_rules();
  return report;
}

}  // namespace wingtrail::simulation
