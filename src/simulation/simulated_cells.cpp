#include "simulation/simulated_cells.hpp"

#include <algorithm>
#include <cmath>

namespace wingtrail::simulation {

Cells::Cells(std::vector<Plan> plans, std::uint64_t seed) : rng_(seed) {
  for (std::size_t c = 0; c < plans.size(); ++c) {
    plans[c].cell = c;
    plans[c].cells = plans.size();
    worlds_.push_back(std::make_unique<SimulatedCluster>(plans[c]));
    reach_->cells.push_back(worlds_.back().get());
  }
  reach_->send = [this](std::size_t from, std::size_t to, std::function<void()> fn) {
    send(from, to, std::move(fn));
  };
  for (auto& w : worlds_)
    w->join(reach_);
}

void Cells::begin() {
  for (auto& w : worlds_)
    w->begin();
}

// In the order of time over all cells, so that none sees another's future.
void Cells::step(double until) {
  while (true) {
    SimulatedCluster* first = nullptr;
    for (auto& w : worlds_) {
      if (!first || w->next() < first->next())
        first = w.get();
    }
    if (first->next() >= until || !broken().empty())
      break;
    now_ = first->next();
    first->step(std::nextafter(now_, 1e18));
  }
  now_ = std::max(now_, until);
}

std::vector<std::string> Cells::broken() const {
  std::vector<std::string> all;
  for (const auto& w : worlds_) {
    const auto& b = w->run_report().broken;
    all.insert(all.end(), b.begin(), b.end());
  }
  return all;
}

void Cells::cut(std::size_t a, std::size_t b, double for_s, bool hold) {
  Link& l = links_[{a, b}];
  l.until = std::max(l.until, now_ + for_s);
  l.hold = hold;
}

void Cells::down(std::size_t cell, double for_s) {
  SimulatedCluster& w = *worlds_[cell];
  for (double t = 0; t < for_s; t += 0.5) {
    w.at_time(now_ + t, [&w] {
      for (std::size_t i = 0; i < w.nodes(); ++i)
        w.crash(i);
    });
  }
}

void Cells::send(std::size_t from, std::size_t to, std::function<void()> fn) {
  const Link& l = links_[{from, to}];
  double at = worlds_[from]->now() + between(0.001, 0.02);
  if (at < l.until) {
    if (!l.hold || between(0, 1) < 0.5)
      return;
    at = l.until + between(0, 0.1);
  }
  if (between(0, 1) < doubled)
    worlds_[to]->at_time(at + between(0.5, 60), fn);
  worlds_[to]->at_time(at, std::move(fn));
}

void Cells::trouble_links(double every_s, double until) {
  const double at = now_ + between(0, 2 * every_s);
  if (at > until)
    return;
  worlds_[0]->at_time(at, [this, every_s, until] {
    const std::size_t a = rng_(static_cast<std::uint32_t>(size()));
    const std::size_t b = (a + 1 + rng_(static_cast<std::uint32_t>(size() - 1))) % size();
    const double span = between(1, 30);
    const bool hold = between(0, 1) < 0.5;
    cut(a, b, span, hold);
    if (between(0, 1) < 0.6)
      cut(b, a, span, hold);
    if (between(0, 1) < 0.15)
      down(a, between(0.5, 25));
    trouble_links(every_s, until);
  });
}

CellsDay play_cells(std::uint64_t seed) {
  std::vector<Plan> plans;
  const std::size_t n = seed % 4 == 3 ? 3 : 2;
  for (std::size_t c = 0; c < n; ++c) {
    Plan p = plan_of(seed + 31 * c);
    p.seed = seed * 64 + c;
    p.late_writes = seed % 3 == 0 ? 0.03 : 0;
    p.upgrade = false;  // an older version of a cell's own stops the spilling; it has tests of its own
    p.duration_s = 150;
    p.settle_s = 1500;
    p.most_machines = c == 0 ? 7 : 16;
    p.arrival_s = c == 0 ? 1.5 : 10;
    p.fault_every_s = c == 0 ? 15 : 12;
    plans.push_back(p);
  }
  Cells cells(plans, seed);
  cells.doubled = seed % 2 == 0 ? 0.05 : 0;
  cells.begin();
  cells.trouble_links(12, 150);
  // Until all is done, and for a while after that: what is said late must do no harm.
  std::size_t undone = 1;
  for (double t = 270; undone > 0 && t < 150 + plans[0].settle_s && cells.broken().empty(); t += 60) {
    cells.step(t);
    undone = 0;
    for (std::size_t c = 0; c < n; ++c)
      undone += cells[c].undone();
  }
  cells.step(cells.now() + 60);
  CellsDay day;
  for (std::size_t c = 0; c < n; ++c) {
    const RunReport& v = cells[c].close();
    day.guests_started += v.guests_started;
    day.unfinished += v.unfinished;
    day.accepted += v.accepted;
  }
  day.broken = cells.broken();
  return day;
}

}  // namespace wingtrail::simulation
