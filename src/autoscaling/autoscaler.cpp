#include "autoscaling/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {
namespace {
constexpr double kBootOverrun = 2.5;   // times the catalog's boot time: then the machine no longer counts
constexpr double kBootVaries = 1.5;    // PROTOCOL: 0.6 to 1.5 times the catalog's
constexpr Seconds kLeastCharged = 60;  // PROTOCOL: a machine that is deleted costs at least that
constexpr Seconds kStall = 1;          // between two ticks: this process stood still
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
  // These name machines of a leadership that is over, which may be freed.
  capacity_.clear();
  draining_machines_.clear();
  faulty_machines_.clear();
  never_reported_.clear();
  excess_since_ = 0;
  smooth_flexible_ = smooth_ordinary_ = -1;
}

void Autoscaler::set_catalog(std::vector<wire::MachineType> catalog) {
  catalog_.set(std::move(catalog));
}

void Autoscaler::tick() {
  if (!active_ || !leadership_.may_act())
    return;
  // Calls that timed out while this process was stalled prove nothing: the answers may lie in its sockets.
  if (out_.now() > ticked_at_ + kStall)
    trust_silence_after_ = out_.now() + 2 * kStall;
  ticked_at_ = out_.now();
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

// Machines that do not do their work are replaced; a return also ends whatever is on them, so their tasks can
// be started elsewhere at once instead of when a lease has expired.
void Autoscaler::return_unhealthy() {
  // A machine of a zone out of reach continues unobserved, and a return would end what runs on it; one that
  // is lost while its zone is in contact has nothing left to lose. Silence alone would return the machines of
  // a zone that loses contact one after the other.
  if (out_.now() >= trust_silence_after_ && !workers_.unresponsive_machines().empty()) {
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
  returns_.schedule(std::exchange(never_reported_, {}), "never came up");
}

// Whether the machine is, or will soon be, of use to new work.
bool Autoscaler::counts_as_capacity(const Machine& machine) const {
  if (machine.gone || machine.being_returned || machine.draining ||
      machine.health == workers::Health::unhealthy || machine.preemption_at)
    return false;
  if (machine.has_incarnation)
    return true;
  const wire::MachineType* t = catalog_.type(machine.type);
  return out_.now() - machine.rented_at < kBootOverrun * (t ? t->boot_s : 60.0);
}

// The machines of a lost zone stay rented until delegated lease renewal would be over, had any of the zone's
// controllers been given it, and then for as long as renting others would take and cost at most, boots that
// overrun included. After that they are returned.
bool Autoscaler::zone_abandoned(ZoneIndex zone) const {
  const Seconds over = workers_.zones().last_contact_at(zone) +
                       (settings_.tunables.delegation_leases + 1) * settings_.worker_lease_s;
  return workers_.zones().is_lost(zone) &&
         out_.now() > over + std::max(kLeastCharged, kBootOverrun * typical_boot_s());
}

// The share of what runs in a zone out of reach that needs no capacity elsewhere: all of it, until its leases
// expire so soon that a machine rented now is up just then; then what may run nowhere else.
double Autoscaler::retained_share(ZoneIndex zone) {
  if (!settings_.tunables.zone_tracking || !zone_unreachable(zone) || workers_.zones().is_lost(zone) ||
      out_.now() + kBootVaries * typical_boot_s() < workers_.zone_leases_expire_at(zone))
    return 1;
  const auto loss = scheduler_.zone_loss_impact(zone);
  return loss.cores_in_use > 0 ? 1 - loss.cores_movable / loss.cores_in_use : 1;
}

// The one walk over the machines, once a second: what there is, and which of them need attention.
void Autoscaler::update_capacity() {
  draining_machines_.clear();
  faulty_machines_.clear();
  never_reported_.clear();
  capacity_.begin_update(registry_.zones.size());
  std::vector<double> retained;  // share by zone
  for (ZoneIndex zone{0}; zone < registry_.zones.size(); ++zone)
    retained.push_back(retained_share(zone));
  for (const MachineIndex index : workers_.live_machines()) {
    const Machine& machine = workers_.machine_at(index);
    if (counts_as_capacity(machine)) {
      // What runs in a zone out of reach continues, but nothing more can be started there.
      capacity_.add_machine({machine.type, machine.zone, machine.spot},
                            zone_unreachable(machine.zone) ? machine.used.cpus * retained[machine.zone]
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

// Lists the machine if it is being drained, is faulty or never came up.
void Autoscaler::classify_machine(const Machine& machine) {
  if (machine.being_returned)
    return;
  if (machine.draining)
    draining_machines_.push_back(machine.index);
  if (machine.health == workers::Health::unhealthy && machine.has_incarnation && !machine.busy())
    faulty_machines_.push_back(machine.index);
  // One that boots in a zone out of reach cannot report that it is up; that it did not is known later.
  if (!machine.has_incarnation && machine.fenced && !counts_as_capacity(machine) &&
      (!zone_unreachable(machine.zone) || zone_abandoned(machine.zone)) &&
      out_.now() > workers_.zones().reachable_since(machine.zone) + 2 * settings_.heartbeat_interval_s)
    never_reported_.push_back(machine.index);
}

}  // namespace wingtrail::autoscaling
