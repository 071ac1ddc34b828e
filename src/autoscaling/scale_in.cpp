// Scaling in: chooses the machines to drain and return, and migrates the replicas on them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "autoscaling/autoscaler.hpp"

namespace wingtrail::autoscaling {

// Returns machines that are not needed: idle ones first, and if the excess lasts, those with the smallest
// share of cores in use, which are drained before. Tasks of arrays on a draining machine run to their end;
// replicas migrate to machines that have their image.
void Autoscaler::scale_in() {
  // While a zone is lost or recovering, idle machines may be needed soon.
  if (workers_.zones().any_unstable(out_.now())) {
    excess_since_ = 0;
    return;
  }
  const auto demand = scheduler_.demand_forecast().demand(typical_boot_s());
  const double ordinary = capacity_.cores(false), spot = capacity_.cores(true);
  const double headroom = settings_.tunables.headroom;
  const double services = std::max(demand.ordinary, smooth_ordinary_) * (1 + headroom / 2);
  const double needed_ordinary = services + capacity_.largest_machine_cores() / 2;
  const double needed_total = services + std::max(smooth_flexible_, demand.flexible) * (1 + spare_share());
  Excess excess{ordinary + spot - needed_total, ordinary - needed_ordinary};
  // A migration interrupts its replica briefly, so only some replicas migrate at a time. The limit is a share
  // of all replicas: with a fixed limit, a cluster that has become too large would remain so for an hour.
  ReplicaMigrations migrations;
  migrations.allowed = std::max(
      1, static_cast<int>(settings_.tunables.replica_migration_rate * static_cast<double>(demand.replicas)));
  migrations.max_in_progress = 2 * migrations.allowed;
  continue_draining(excess, migrations);
  if (excess.total <= 0) {
    excess_since_ = 0;
    return;
  }
  if (excess_since_ == 0)
    excess_since_ = out_.now();
  remove_excess(excess, migrations);
}

// Returns machines that have been drained, and uses draining machines again if cores are missing.
void Autoscaler::continue_draining(Excess& excess, ReplicaMigrations& migrations) {
  for (const MachineIndex index : draining_machines_) {
    Machine& machine = workers_.machine_at(index);
    if (machine.gone || !machine.draining || machine.being_returned || zone_unreachable(machine.zone))
      continue;
    if (!machine.busy()) {
      returns_.schedule({index}, "drained");
    } else if (excess.total < 0) {
      machine.draining = false;
      workers_.mark_changed(machine);
      excess.total += machine.cpus;
    } else {
      migrations.in_progress += replica_count(machine);
      while (migrations.allowed > 0 && drain_one_replica(machine))
        --migrations.allowed;
    }
  }
}

// Reachable machines in the order in which they are removed: slow ones first, each group by the share of
// cores in use.
std::vector<Machine*> Autoscaler::emptiest_first() {
  std::vector<Machine*> machines;
  for (const MachineIndex index : workers_.live_machines()) {
    Machine& machine = workers_.machine_at(index);
    if (machine.has_incarnation && counts_as_capacity(machine) && !zone_unreachable(machine.zone))
      machines.push_back(&machine);
  }
  std::stable_sort(machines.begin(), machines.end(), [](const Machine* a, const Machine* b) {
    if ((a->slowdown > 1) != (b->slowdown > 1))
      return a->slowdown > 1;
    return a->used.cpus / std::max(1.0, a->cpus) < b->used.cpus / std::max(1.0, b->cpus);
  });
  return machines;
}

// Returns idle machines and begins to drain others, up to the excess.
void Autoscaler::remove_excess(Excess excess, ReplicaMigrations migrations) {
  const Seconds now = out_.now();
  // Keeping an idle machine for longer than a boot costs more than renting another one when it is needed.
  const Seconds min_idle_s = std::min(settings_.tunables.idle_return_s, typical_boot_s());
  const bool excess_lasts = now - excess_since_ > settings_.tunables.idle_return_s;
  for (Machine* machine : emptiest_first()) {
    if (machines_used_again_.contains(machine->index) || machine->cpus > excess.total ||
        (!machine->spot && machine->cpus > excess.ordinary))
      continue;
    if (!machine->busy()) {
      if (machine->idle_since == 0 || now - machine->idle_since < min_idle_s)
        continue;
      returns_.schedule({machine->index}, "idle");
    } else {
      if (!excess_lasts)
        continue;
      const int replicas = replica_count(*machine);
      if (replicas > 0 && migrations.in_progress > 0 &&
          migrations.in_progress + replicas > migrations.max_in_progress)
        continue;
      migrations.in_progress += replicas;
      machine->draining = true;
      workers_.mark_changed(*machine);
      spdlog::info("autoscaler: draining machine host={}", machine->host);
    }
    excess.total -= machine->cpus;
    if (!machine->spot)
      excess.ordinary -= machine->cpus;
  }
}

// The number of replicas on the machine, including tasks of unknown jobs, which may be replicas.
int Autoscaler::replica_count(const Machine& machine) {
  return static_cast<int>(std::count_if(machine.allocations.begin(), machine.allocations.end(),
                                        [this](const workers::Allocation& allocation) {
                                          const jobs::Job* job = registry_.job_at(allocation.job);
                                          return allocation.occupies_machine && (!job || job->is_service());
                                        }));
}

// Migrates one replica from a draining machine, or stops it, if another machine can run it without an
// image fetch.
bool Autoscaler::drain_one_replica(Machine& machine) {
  for (workers::Allocation& allocation : machine.allocations) {
    const jobs::Job* job = registry_.job_at(allocation.job);
    if (!job || !job->is_service() || allocation.phase != workers::Allocation::Phase::running ||
        allocation.stop_requested)
      continue;
    if (scheduler_.balancing_enabled()) {
      if (scheduler_.migrate(machine, allocation, balancing::MigrationCause::draining))
        return true;
      continue;
    }
    if (!scheduler_.can_migrate(*job, machine))
      continue;
    workers_.stop_task(machine, allocation, 0);
    return true;
  }
  return false;
}

}  // namespace wingtrail::autoscaling
