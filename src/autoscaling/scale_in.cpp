// Scaling in: which machines are drained and returned, and migrating their replicas.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "autoscaling/autoscaler.hpp"

namespace wingtrail::autoscaling {

// Returns what is not needed: idle machines, and after a while the emptiest ones, which are drained first.
// Short tasks on a draining machine run to their end; replicas migrate to machines that have their image.
void Autoscaler::scale_in() {
  // While a zone is lost or on its way back, what is idle may be needed next.
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
  // A migration interrupts a replica for a moment, so only some migrate at a time; but of a thousand more
  // than of ten, or a fleet that has become too large stays so for an hour.
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

// Returns drained machines; machines that are needed again stop draining.
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

// Slow machines, then the others, by the share of their cores in use.
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

void Autoscaler::remove_excess(Excess excess, ReplicaMigrations migrations) {
  const Seconds now = out_.now();
  // Having an idle machine is worth as long as another one would boot without use.
  const Seconds patience = std::min(settings_.tunables.idle_return_s, typical_boot_s());
  const bool lasting = now - excess_since_ > settings_.tunables.idle_return_s;
  for (Machine* machine : emptiest_first()) {
    if (machine->cpus > excess.total || (!machine->spot && machine->cpus > excess.ordinary))
      continue;
    if (!machine->busy()) {
      if (machine->idle_since == 0 || now - machine->idle_since < patience)
        continue;
      returns_.schedule({machine->index}, "idle");
    } else {
      if (!lasting)
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

// Replicas on the machine, and tasks that may be some.
int Autoscaler::replica_count(const Machine& machine) {
  return static_cast<int>(std::count_if(machine.allocations.begin(), machine.allocations.end(),
                                        [this](const workers::Allocation& s) {
                                          const jobs::Job* job = registry_.job_at(s.job);
                                          return s.occupies_machine && (!job || job->is_service());
                                        }));
}

// Stops one replica on a machine being drained if another machine could take it over without a fetch.
bool Autoscaler::drain_one_replica(Machine& machine) {
  for (workers::Allocation& s : machine.allocations) {
    const jobs::Job* job = registry_.job_at(s.job);
    if (!job || !job->is_service() || s.phase != workers::Allocation::Phase::running || s.stop_requested)
      continue;
    if (scheduler_.balancing_enabled()) {
      if (scheduler_.migrate(machine, s, balancing::MigrationCause::draining))
        return true;
      continue;
    }
    if (!scheduler_.can_migrate(*job, machine))
      continue;
    workers_.stop_task(machine, s, 0);
    return true;
  }
  return false;
}

}  // namespace wingtrail::autoscaling
