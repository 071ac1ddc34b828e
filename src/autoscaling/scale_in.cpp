// A fleet that is too large: which machines are emptied, and moving what keeps them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "autoscaling/autoscaler.hpp"

namespace wingtrail::autoscaling {

// Returns what is not needed: idle machines, and after a while the emptiest ones, which are drained first.
// Short tasks on a drained machine run to their end; replicas move to machines that have their image.
void Autoscaler::scale_in() {
  // While a zone is lost or on its way back, what stands idle is what may be needed next.
  if (workers_.zones().any_unstable(out_.now())) {
    excess_since_ = 0;
    return;
  }
  const auto d = scheduler_.demand_forecast().demand(typical_boot_s());
  const double ordinary = available_cores(false), spot = available_cores(true);
  const double headroom = settings_.tunables.headroom;
  const double services = std::max(d.ordinary, smooth_ordinary_) * (1 + headroom / 2);
  const double keep_ordinary = services + largest_machine_cores_ / 2;
  const double keep_total = services + std::max(smooth_flexible_, d.flexible) * (1 + spare_cores());
  double excess = ordinary + spot - keep_total, excess_ordinary = ordinary - keep_ordinary;
  const Seconds now = out_.now();
  // A move costs a replica a moment, so only some move at a time; but of a thousand more than of ten, or a
  // fleet that has become too large stays so for an hour.
  int moves = std::max(
      1, static_cast<int>(settings_.tunables.replica_migration_rate * static_cast<double>(d.replicas)));
  const int most_moving = 2 * moves;
  int moving = 0;
  for (const MachineIndex ix : draining_machines_) {
    Machine& m = workers_.machine_at(ix);
    if (m.gone || !m.draining || m.being_returned || zone_unreachable(m.zone))
      continue;
    if (!m.busy()) {
      schedule_return({ix}, "drained");
    } else if (excess < 0) {
      m.draining = false;
      workers_.mark_changed(m);
      excess += m.cpus;
    } else {
      moving += replica_count(m);
      while (moves > 0 && drain_one_replica(m))
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
  for (const MachineIndex ix : workers_.live_machines()) {
    Machine& m = workers_.machine_at(ix);
    if (m.has_incarnation && counts_as_capacity(m) && !zone_unreachable(m.zone))
      order.push_back(&m);
  }
  std::stable_sort(order.begin(), order.end(), [](const Machine* a, const Machine* b) {
    if ((a->slowdown > 1) != (b->slowdown > 1))
      return a->slowdown > 1;
    return a->used.cpus / std::max(1.0, a->cpus) < b->used.cpus / std::max(1.0, b->cpus);
  });
  // A machine is worth keeping idle for as long as another one would boot for nothing.
  const Seconds patience = std::min(settings_.tunables.idle_return_s, typical_boot_s());
  const bool lasting = now - excess_since_ > settings_.tunables.idle_return_s;
  for (Machine* m : order) {
    if (m->cpus > excess || (!m->spot && m->cpus > excess_ordinary))
      continue;
    if (!m->busy()) {
      if (m->idle_since == 0 || now - m->idle_since < patience)
        continue;
      schedule_return({m->index}, "idle");
    } else {
      if (!lasting)
        continue;
      const int n = replica_count(*m);
      if (n > 0 && moving > 0 && moving + n > most_moving)
        continue;
      moving += n;
      m->draining = true;
      workers_.mark_changed(*m);
      spdlog::info("draining {}", m->host);
    }
    excess -= m->cpus;
    if (!m->spot)
      excess_ordinary -= m->cpus;
  }
}

// Replicas on the machine, and tasks that may be some.
int Autoscaler::replica_count(const Machine& m) {
  return static_cast<int>(
      std::count_if(m.allocations.begin(), m.allocations.end(), [this](const workers::Allocation& s) {
        const jobs::Job* job = registry_.job_at(s.job);
        return s.occupies_machine && (!job || job->is_service());
      }));
}

// Stops one replica on a machine being drained if another machine could take it over without a fetch.
bool Autoscaler::drain_one_replica(Machine& m) {
  for (workers::Allocation& s : m.allocations) {
    const jobs::Job* job = registry_.job_at(s.job);
    if (!job || !job->is_service() || s.phase != workers::Allocation::Phase::running || s.stop_requested)
      continue;
    if (scheduler_.balancing_enabled()) {
      if (scheduler_.migrate(m, s, balancing::MigrationCause::draining))
        return true;
      continue;
    }
    if (!scheduler_.can_migrate(*job, m))
      continue;
    workers_.stop_task(m, s, 0);
    return true;
  }
  return false;
}

}  // namespace wingtrail::autoscaling
