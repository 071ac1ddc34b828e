#include "autoscaling/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {
namespace {
// A machine that is not up after this many times the catalog's boot time no longer counts as capacity.
constexpr double kBootOverrun = 2.5;
// The cloud protocol lets boot times vary between 0.6 and 1.5 times the catalog's.
constexpr double kMaxBootFactor = 1.5;
// By the cloud protocol, a machine that is deleted is charged for at least this time.
constexpr Seconds kMinChargedTime = 60;
// A longer time between two ticks means that this process was stalled.
constexpr Seconds kStallThreshold = 1;
}  // namespace

Autoscaler::Autoscaler(ports::Outbox& out, const settings::Settings& settings, jobs::JobRegistry& registry,
                       workers::WorkerManager& workers, scheduling::Scheduler& scheduler,
                       LeadershipView leadership)
    : out_(out),
      settings_(settings),
      registry_(registry),
      workers_(workers),
      scheduler_(scheduler),
      leadership_(std::move(leadership)),
      catalog_(registry),
      cloud_calls_(out, settings.cloud_requests_per_s),
      rentals_(out, registry, workers, cloud_calls_, leadership_),
      returns_(out, workers, cloud_calls_),
      listing_(out, settings, workers, cloud_calls_, returns_) {}

void Autoscaler::begin_leadership() {
  end_leadership();
  active_ = true;
  next_scaling_at_ = out_.now() + 1;
}

void Autoscaler::end_leadership() {
  active_ = false;
  rentals_.clear();
  returns_.clear();
  listing_.clear();
  restricted_job_requested_at_.clear();
  machines_used_again_.clear();
  // The following members refer to machines of the leadership that has ended, whose records may be freed.
  capacity_.clear();
  draining_machines_.clear();
  faulty_machines_.clear();
  refusing_machines_.clear();
  never_started_machines_.clear();
  excess_since_ = 0;
  smooth_flexible_ = smooth_ordinary_ = -1;
}

void Autoscaler::set_catalog(std::vector<wire::MachineType> catalog) {
  catalog_.set(std::move(catalog));
}

void Autoscaler::tick() {
  if (!active_ || !leadership_.may_act())
    return;
  // Calls that timed out while this process was stalled prove nothing: the replies may be unread in
  // its sockets.
  if (out_.now() > last_tick_at_ + kStallThreshold)
    ignore_timeouts_until_ = out_.now() + 2 * kStallThreshold;
  last_tick_at_ = out_.now();
  listing_.tick();
  return_unhealthy();
  if (out_.now() >= next_scaling_at_ && !catalog_.types().empty()) {
    next_scaling_at_ = out_.now() + 1;
    update_capacity();
    scale_out();
    scale_in();
  }
  rentals_.send();
  returns_.send(leadership_.lease_expires_at);
}

// Returns machines that are lost, faulty or never came up. A return also ends all tasks on the machine, so
// they can be started elsewhere at once instead of after the worker's lease has expired.
void Autoscaler::return_unhealthy() {
  // A machine in an unreachable zone continues to run its tasks unobserved, and a return would end them. A
  // machine that is lost while its zone is reachable has no tasks left to lose. Without
  // `is_isolated_failure()`, the machines of a zone that is becoming unreachable would be returned one after
  // the other.
  if (out_.now() >= ignore_timeouts_until_ && !workers_.unresponsive_machines().empty()) {
    std::vector<MachineIndex> lost;
    for (const MachineIndex index : workers_.unresponsive_machines()) {
      const Machine& machine = workers_.machine_at(index);
      if (!machine.being_returned && (machine.unreachable || !machine.has_incarnation) &&
          workers_.is_isolated_failure(machine))
        lost.push_back(index);
    }
    returns_.schedule(lost, "silent");
  }
  returns_.schedule(std::exchange(faulty_machines_, {}), "faulty");
  returns_.schedule(std::exchange(refusing_machines_, {}), "refuses commands");
  returns_.schedule(std::exchange(never_started_machines_, {}), "never came up");
}

// Whether the machine can run new tasks now or soon.
bool Autoscaler::counts_as_capacity(const Machine& machine) const {
  if (machine.gone || machine.being_returned || machine.draining || machine.is_quarantined(out_.now()) ||
      machine.preemption_at)
    return false;
  if (machine.has_incarnation)
    return true;
  constexpr Seconds kDefaultBootTime = 60;  // of a type that is not in the catalog
  const wire::MachineType* type = catalog_.type(machine.type);
  return out_.now() - machine.rented_at < kBootOverrun * (type ? type->boot_s : kDefaultBootTime);
}

// Whether the machines of a lost zone are to be returned. They stay rented until delegated lease renewal
// would have ended, had it been granted to a controller in the zone, and then for as long as the renting of
// other machines would take or be charged for at most, including boots that overrun.
bool Autoscaler::zone_abandoned(ZoneIndex zone) const {
  const Seconds delegation_end = workers_.zones().last_contact_at(zone) +
                                 (settings_.tunables.delegation_leases + 1) * settings_.worker_lease_s;
  return workers_.zones().is_lost(zone) &&
         out_.now() > delegation_end + std::max(kMinChargedTime, kBootOverrun * typical_boot_s());
}

// The share of the cores in use in an unreachable zone that needs no replacement in other zones: all of them
// until the zone's worker leases expire within the boot time of a machine rented now; from then on only the
// cores of tasks that may not run in other zones.
double Autoscaler::retained_share(ZoneIndex zone) {
  if (!settings_.tunables.zone_tracking || !zone_unreachable(zone) || workers_.zones().is_lost(zone) ||
      out_.now() + kMaxBootFactor * typical_boot_s() < workers_.zone_leases_expire_at(zone))
    return 1;
  const auto loss = scheduler_.zone_loss_impact(zone);
  return loss.cores_in_use > 0 ? 1 - loss.cores_movable / loss.cores_in_use : 1;
}

// Computes the capacity from all machines and lists the machines to be handled. Called once a second.
void Autoscaler::update_capacity() {
  draining_machines_.clear();
  faulty_machines_.clear();
  refusing_machines_.clear();
  never_started_machines_.clear();
  capacity_.begin_update(registry_.zones.size());
  std::vector<double> retained_shares;  // by zone
  for (ZoneIndex zone{0}; zone < registry_.zones.size(); ++zone)
    retained_shares.push_back(retained_share(zone));
  for (const MachineIndex index : workers_.live_machines()) {
    const Machine& machine = workers_.machine_at(index);
    if (counts_as_capacity(machine)) {
      // In an unreachable zone tasks continue to run, but no more can be started.
      capacity_.add_machine({machine.type, machine.zone, machine.spot},
                            zone_unreachable(machine.zone) ? machine.used.cpus * retained_shares[machine.zone]
                                                           : machine.cpus / machine.slowdown,
                            machine.cpus);
      if (!machine.spot && !machine.short_only && !zone_unreachable(machine.zone))
        capacity_.add_free_ordinary(machine.zone, machine.cpus - machine.used.cpus);
    }
    classify_machine(machine);
  }
  for (const RentalRequests::Request& request : rentals_.open()) {
    const wire::MachineType* type = catalog_.type(request.pool.type);
    capacity_.add_requested(request.pool, type ? type->cpus : 0, request.count);
  }
}

// Adds the machine to the lists of machines to be handled.
void Autoscaler::classify_machine(const Machine& machine) {
  if (machine.being_returned)
    return;
  if (machine.refuses_commands())
    refusing_machines_.push_back(machine.index);
  if (machine.draining)
    draining_machines_.push_back(machine.index);
  if (machine.is_quarantined(out_.now()) && machine.has_incarnation && !machine.busy())
    faulty_machines_.push_back(machine.index);
  // A machine that boots in an unreachable zone cannot send heartbeats, so whether it is up is known only
  // after the zone has become reachable again.
  if (!machine.has_incarnation && machine.fenced && !counts_as_capacity(machine) &&
      (!zone_unreachable(machine.zone) || zone_abandoned(machine.zone)) &&
      out_.now() > workers_.zones().reachable_since(machine.zone) + 2 * settings_.heartbeat_interval_s)
    never_started_machines_.push_back(machine.index);
}

}  // namespace wingtrail::autoscaling
