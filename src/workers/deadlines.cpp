/// @file
/// Time-driven checks of machines: they end expired leases, probe machines whose heartbeats are late, resend
/// commands, and detect unresponsive machines.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {
constexpr Seconds kThresholdCheckDelay = 0.02;  // a check runs this long after the threshold that it checks
constexpr Seconds kProbeTimeout = 1.0;
constexpr Seconds kUnreachableZoneProbeInterval = 0.25;  // between probes to single machines of the zone
constexpr Seconds kMinResendDelay = 0.25;
// After this share of the heartbeat interval without contact, the next heartbeat is about to arrive.
constexpr double kHeartbeatDueFactor = 0.6;
}  // namespace

// Heartbeats are expected from machines that are up, and from unfenced machines of the inventory, but not
// from machines that are still booting.
void WorkerManager::update_heartbeat_expected(Machine& machine) {
  const bool expected = !machine.gone && (machine.has_incarnation || !machine.fenced);
  if (expected == machine.heartbeat_expected)
    return;
  machine.heartbeat_expected = expected;
  zones_.add_expected_workers(machine.zone, expected ? 1 : -1);
}

// Called when the zone is reachable again: probes all its machines at once instead of waiting
// for their heartbeats.
void WorkerManager::probe_recovering_zone(ZoneIndex zone) {
  spdlog::info("workers: zone reachable again zone={}", registry_.zones[zone]);
  for (const MachineIndex index : live_machines_) {
    Machine& machine = machines_[index];
    if (machine.zone != zone || !machine.heartbeat_expected)
      continue;
    // Calls failed because the zone was unreachable. If they counted against the machines, every machine
    // would seem to have failed individually (is_isolated_failure()) as soon as the first one answers.
    machine.delivery.failed_calls = 0;
    machine.delivery.unanswered_since = ports::kNever;
    machine.delivery.retry_at = out_.now();
    schedule_check(machine, out_.now());
    if (!machine.fenced)
      queue_call(machine);
  }
}

void WorkerManager::schedule_check(Machine& machine, Seconds at) {
  checks_.schedule(machine, at, out_.now());
}

void WorkerManager::tick() {
  const Seconds now = out_.now();
  // A leader whose own lease has expired must not judge the workers' leases: another leader may
  // be renewing them.
  if (!active_ || now >= leadership_.lease_expires_at())
    return;
  while (Machine* machine = checks_.pop_due(machines_, now)) {
    ++deadline_checks_;
    check_machine(*machine);
  }
}

// Queues probes of all machines after an on-demand machine did not answer (see LivenessSweep).
void WorkerManager::start_liveness_sweep() {
  if (!liveness_sweep_.begin_or_extend(out_.now()))
    return;
  std::vector<MachineIndex> running_machines;
  for (const MachineIndex index : live_machines_) {
    if (machines_[index].has_incarnation)
      running_machines.push_back(index);
  }
  // Machines with the longest time since the last contact come first, as they are most likely to have failed.
  std::sort(running_machines.begin(), running_machines.end(), [this](MachineIndex a, MachineIndex b) {
    const Seconds contact_a = machines_[a].last_contact_at;
    const Seconds contact_b = machines_[b].last_contact_at;
    return contact_a != contact_b ? contact_a < contact_b : a < b;
  });
  for (const MachineIndex index : running_machines)
    liveness_sweep_.enqueue(index);
  ++liveness_sweeps_;
}

void WorkerManager::continue_liveness_sweep() {
  while (liveness_sweep_.has_remaining() && calls_in_flight_ < max_concurrent_calls()) {
    Machine& machine = machines_[liveness_sweep_.pop_next()];
    if (machine.gone || !machine.has_incarnation || machine.delivery.call_in_flight ||
        machine.address.empty() || machine.last_contact_at >= liveness_sweep_.began_at() ||
        zones_.is_unreachable(machine.zone, out_.now()))
      continue;
    send_direct(machine, {}, {}, kProbeTimeout);
  }
}

// Performs all checks that are due on a machine, and schedules the next one.
void WorkerManager::check_machine(Machine& machine) {
  const Seconds now = out_.now();
  if (machine.gone)
    return;
  check_lease(machine);
  mark_changed(machine);
  if ((machine.has_incarnation || !machine.fenced) && now < machine.lease_expires_at)
    schedule_check(machine, machine.lease_expires_at);
  if ((machine.has_incarnation || !machine.fenced) && zones_.is_unreachable(machine.zone, now))
    return probe_unreachable_zone(machine);
  for (const Seconds closed_until : {machine.avoid_until, machine.quarantined_until}) {
    if (closed_until > now)
      schedule_check(machine, closed_until);
  }
  if (has_commands(machine))
    resend_commands(machine);
  mark_if_unresponsive(machine);
  if (machine.has_incarnation)
    probe_if_late(machine);
}

// Ends the incarnation of a machine whose lease has certainly expired.
void WorkerManager::check_lease(Machine& machine) {
  const Seconds now = out_.now();
  if (now < machine.lease_expires_at || (!machine.has_incarnation && machine.fenced))
    return;
  // Another controller may have renewed the lease by delegation. Only a report of that controller, or the
  // end of its delegation, rules this out.
  if (now < leadership_.worker_lease_expiry(machine.lease_expires_at))
    return schedule_check(machine, now + kResendInterval);
  // No controller can have renewed the lease since, so the worker has killed all its tasks.
  if (machine.has_incarnation)
    spdlog::warn("workers: lease expired host={}", machine.host);
  // A machine that lost contact long before its zone did has failed individually, so the expiry of its lease
  // does not show that the zone is lost.
  if (machine.last_contact_at >= zones_.last_contact_at(machine.zone) - 2 * settings_.heartbeat_interval_s)
    zones_.on_lease_expired(machine.zone, now);
  end_incarnation(machine);
  machine.fenced = true;
  update_heartbeat_expected(machine);
  update_unreconciled(machine);
}

// Probes one machine of an unreachable zone at a time. When one answers, probe_recovering_zone()
// probes them all.
void WorkerManager::probe_unreachable_zone(Machine& machine) {
  const Seconds now = out_.now();
  if (zone_probe_at_.size() <= machine.zone)
    zone_probe_at_.resize(machine.zone + 1);
  if (now >= zone_probe_at_[machine.zone] && may_probe(machine)) {
    zone_probe_at_[machine.zone] = now + kUnreachableZoneProbeInterval;
    send_direct(machine, {}, {}, kProbeTimeout);
  }
  if (time_since_contact(machine) > unresponsive_threshold())
    unresponsive_machines_.insert(machine.index);
  schedule_check(machine, now + kResendInterval);
}

// Resends the commands that the worker has not confirmed.
void WorkerManager::resend_commands(Machine& machine) {
  const Seconds now = out_.now();
  if (!machine.delivery.call_in_flight && now >= machine.delivery.last_sent_at + kResendInterval) {
    machine.delivery.has_new_commands = true;
    queue_call(machine);
  }
  schedule_check(machine, std::max(now + kMinResendDelay,
                                   std::max(machine.delivery.last_sent_at, machine.delivery.retry_at) +
                                       kResendInterval));
}

// Whether a probe of the machine can be sent now.
bool WorkerManager::may_probe(const Machine& machine) const {
  return !machine.delivery.call_in_flight && !machine.address.empty() &&
         calls_in_flight_ < max_concurrent_calls();
}

void WorkerManager::mark_if_unresponsive(Machine& machine) {
  const Seconds now = out_.now();
  // While other machines are failing, a machine counts as unresponsive before the threshold if it has not
  // answered two calls, or has not answered one call and its next heartbeat is about to arrive.
  const bool failing_with_others =
      liveness_sweep_.in_progress(now) && machine.has_incarnation &&
      (machine.delivery.failed_calls >= 2 ||
       (machine.delivery.failed_calls == 1 &&
        time_since_contact(machine) > kHeartbeatDueFactor * settings_.heartbeat_interval_s));
  // After a failover a running machine answers a call within a moment, so a machine that has not answered two
  // calls is lost.
  const bool lost_after_failover = !machine.fenced && machine.delivery.failed_calls >= 2;
  if ((failing_with_others || lost_after_failover ||
       time_since_contact(machine) > unresponsive_threshold()) &&
      (machine.has_incarnation || !machine.fenced))
    unresponsive_machines_.insert(machine.index);
  if (!machine.fenced && time_since_contact(machine) <= unresponsive_threshold())
    schedule_check(machine, machine.last_contact_at + unresponsive_threshold() + kThresholdCheckDelay);
}

// Probes a machine whose heartbeat is late, or that sends heartbeats although the last call to it failed.
void WorkerManager::probe_if_late(Machine& machine) {
  const Seconds now = out_.now();
  // A machine that has not answered a call is probed again at once.
  const Seconds late_after =
      machine.delivery.failed_calls > 0 ? 0 : kLateHeartbeatFactor * settings_.heartbeat_interval_s;
  // The machine sends heartbeats but counts as unreachable, as it did not answer the last call. Without
  // another call it would get no more commands.
  const bool contact_resumed =
      machine.unreachable && machine.delivery.failed_calls == 0 && time_since_contact(machine) <= late_after;
  if (contact_resumed && now >= machine.delivery.retry_at && may_probe(machine))
    send_direct(machine, {}, {}, kProbeTimeout);
  if (time_since_contact(machine) <= late_after)
    return schedule_check(machine, contact_resumed
                                       ? now + kResendInterval
                                       : machine.last_contact_at + late_after + kThresholdCheckDelay);
  // The worker replies to a call without commands with its heartbeat.
  if ((now >= machine.delivery.retry_at || liveness_sweep_.in_progress(now)) && may_probe(machine))
    send_direct(machine, {}, {}, kProbeTimeout);
  schedule_check(machine,
                 time_since_contact(machine) > unresponsive_threshold()
                     ? now + kResendInterval / 2
                     : std::min(now + kResendInterval / 2,
                                machine.last_contact_at + unresponsive_threshold() + kThresholdCheckDelay));
}

}  // namespace wingtrail::workers
