// A fleet that is too large: which machines are emptied, and moving what keeps them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "fleet/fleet.hpp"

namespace wingtrail::fleet {

// Returns what is not needed: idle machines, and after a while the emptiest ones, which are drained first.
// Short tasks on a drained machine run to their end; replicas move to machines that have their image.
void Fleet::shed() {
  // While a zone is lost or on its way back, what stands idle is what may be needed next.
  if (agents_.zones().restless(out_.now())) {
    excess_since_ = 0;
    return;
  }
  const auto d = scheduler_.demand(boot_s());
  const double ordinary = cores(false), spot = cores(true);
  const double headroom = settings_.tunables.headroom;
  const double services = std::max(d.ordinary, smooth_ordinary_) * (1 + headroom / 2);
  const double keep_ordinary = services + largest_ / 2;
  const double keep_total = services + std::max(smooth_flexible_, d.flexible) * (1 + spare());
  double excess = ordinary + spot - keep_total, excess_ordinary = ordinary - keep_ordinary;
  const Seconds now = out_.now();
  // A move costs a replica a moment, so only some move at a time; but of a thousand more than of ten, or a
  // fleet that has become too large stays so for an hour.
  int moves =
      std::max(1, static_cast<int>(settings_.tunables.replica_moves * static_cast<double>(d.replicas)));
  const int most_moving = 2 * moves;
  int moving = 0;
  for (const Ix ix : draining_) {
    Machine& m = agents_.at(ix);
    if (m.gone || !m.draining || m.returning || cut(m.zone))
      continue;
    if (!m.busy()) {
      give_back({ix}, "drained");
    } else if (excess < 0) {
      m.draining = false;
      agents_.changed(m);
      excess += m.cpus;
    } else {
      moving += replicas(m);
      while (moves > 0 && move_replica(m))
        --moves;
    }
  }
  if (excess <= 0) {
    excess_since_ = 0;
    return;
  }
  if (excess_since_ == 0)
    excess_since_ = now;
  std::vector<Machine*> order;
  for (const Ix ix : agents_.live()) {
    Machine& m = agents_.at(ix);
    if (m.reporting && counts(m) && !cut(m.zone))
      order.push_back(&m);
  }
  std::stable_sort(order.begin(), order.end(), [](const Machine* a, const Machine* b) {
    if ((a->slow > 1) != (b->slow > 1))
      return a->slow > 1;
    return a->used.cpus / std::max(1.0, a->cpus) < b->used.cpus / std::max(1.0, b->cpus);
  });
  // A machine is worth keeping idle for as long as another one would boot for nothing.
  const Seconds patience = std::min(settings_.tunables.idle_return_s, boot_s());
  const bool lasting = now - excess_since_ > settings_.tunables.idle_return_s;
  for (Machine* m : order) {
    if (m->cpus > excess || (!m->spot && m->cpus > excess_ordinary))
      continue;
    if (!m->busy()) {
      if (m->idle_since == 0 || now - m->idle_since < patience)
        continue;
      give_back({m->ix}, "idle");
    } else {
      if (!lasting)
        continue;
      const int n = replicas(*m);
      if (n > 0 && moving > 0 && moving + n > most_moving)
        continue;
      moving += n;
      m->draining = true;
      agents_.changed(*m);
      spdlog::info("draining {}", m->host);
    }
    excess -= m->cpus;
    if (!m->spot)
      excess_ordinary -= m->cpus;
  }
}

// Replicas on the machine, and tasks that may be some.
int Fleet::replicas(const Machine& m) {
  return static_cast<int>(std::count_if(m.slots.begin(), m.slots.end(), [this](const agents::Slot& s) {
    const jobs::Job* job = registry_.at(s.job);
    return s.counted && (!job || job->service());
  }));
}

// Stops one replica on a machine being drained if another machine could take it over without a fetch.
bool Fleet::move_replica(Machine& m) {
  for (agents::Slot& s : m.slots) {
    const jobs::Job* job = registry_.at(s.job);
    if (!job || !job->service() || s.phase != agents::Slot::Phase::running || s.stop)
      continue;
    if (scheduler_.roomy()) {
      if (scheduler_.move(m, s, spread::Cause::emptied))
        return true;
      continue;
    }
    if (!scheduler_.could_move(*job, m))
      continue;
    agents_.stop(m, s, 0);
    return true;
  }
  return false;
}

}  // namespace wingtrail::fleet
