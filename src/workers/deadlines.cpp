/// \file
/// What happens as time passes: leases expire, late heartbeats are followed by probes, commands are resent,
/// machines become unresponsive.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {
constexpr Seconds kAfterThreshold = 0.02;  // a check comes this long after what it is to notice
constexpr Seconds kProbeTimeout = 1.0;
constexpr Seconds kUnreachableZoneProbeInterval = 0.25;  // one machine of the zone at a time
constexpr Seconds kMinResendDelay = 0.25;
// After this share of the heartbeat interval the next heartbeat is about to come.
constexpr double kHeartbeatDueFactor = 0.6;
}  // namespace

// Machines that are up, or that an earlier leader had in the inventory, are expected to send heartbeats;
// those that boot are not yet.
void WorkerManager::update_expected(Machine& machine) {
  const bool expected = !machine.gone && (machine.has_incarnation || !machine.fenced);
  if (expected == machine.expected_to_report)
    return;
  machine.expected_to_report = expected;
  zones_.set_expected(machine.zone, expected ? 1 : -1);
}

// The zone is within reach again: all its machines are probed at once instead of waiting for their
// heartbeats.
void WorkerManager::probe_returned_zone(ZoneIndex zone) {
  spdlog::info("workers: zone reachable again zone={}", registry_.zones[zone]);
  for (const MachineIndex index : live_machines_) {
    Machine& machine = machines_[index];
    if (machine.zone != zone || !machine.expected_to_report)
      continue;
    // Calls that failed before say only that the zone was out of reach. Counted against the machines, they
    // would make all of them seem lost alone as soon as the first one answers.
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
  // Past its authority a leader knows nothing of the workers' leases: another one may be renewing them.
  if (!active_ || now >= leadership_.lease_expires_at())
    return;
  while (Machine* machine = checks_.pop_due(machines_, now)) {
    ++deadline_checks_;
    check_machine(*machine);
  }
}

// Probes all machines, since an on-demand machine does not answer (see LivenessSweep).
void WorkerManager::start_liveness_sweep() {
  if (!liveness_sweep_.begin_or_extend(out_.now()))
    return;
  std::vector<MachineIndex> up;
  for (const MachineIndex index : live_machines_) {
    if (machines_[index].has_incarnation)
      up.push_back(index);
  }
  // Those without contact for longest first: they are the likeliest to have failed.
  std::sort(up.begin(), up.end(), [this](MachineIndex a, MachineIndex b) {
    const Seconds contact_a = machines_[a].last_contact_at;
    const Seconds contact_b = machines_[b].last_contact_at;
    return contact_a != contact_b ? contact_a < contact_b : a < b;
  });
  for (const MachineIndex index : up)
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

// Does what is due on a machine, and schedules the next check.
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
  if (machine.avoid_until > now)
    schedule_check(machine, machine.avoid_until);
  if (has_commands(machine))
    resend_commands(machine);
  suspect_if_unresponsive(machine);
  if (machine.has_incarnation)
    probe_if_late(machine);
}

// Ends the incarnation of a machine whose lease has certainly expired.
void WorkerManager::check_lease(Machine& machine) {
  const Seconds now = out_.now();
  if (now < machine.lease_expires_at || (!machine.has_incarnation && machine.fenced))
    return;
  // Another node may have renewed it by delegation. Only that node's report, or the end of the time for which
  // it may renew leases, rules that out.
  if (now < leadership_.worker_lease_expiry(machine.lease_expires_at))
    return schedule_check(machine, now + kResendInterval);
  // Nobody can have renewed the worker's lease since, so it has killed all its tasks.
  if (machine.has_incarnation)
    spdlog::warn("workers: lease expired host={}", machine.host);
  // The lease of a machine that failed long before the zone became unreachable says nothing of the zone.
  if (machine.last_contact_at >= zones_.last_contact_at(machine.zone) - 2 * settings_.heartbeat_interval_s)
    zones_.on_lease_expired(machine.zone, now);
  end_incarnation(machine);
  machine.fenced = true;
  update_expected(machine);
  update_unreconciled(machine);
}

// Of an unreachable zone one machine at a time is probed; when it answers, all are (probe_returned_zone).
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

void WorkerManager::suspect_if_unresponsive(Machine& machine) {
  const Seconds now = out_.now();
  // While others fail, a machine that answers neither of two calls, or not the one when its next heartbeat is
  // about to come, counts as unresponsive before the threshold.
  const bool failing_with_others =
      liveness_sweep_.in_progress(now) && machine.has_incarnation &&
      (machine.delivery.failed_calls >= 2 ||
       (machine.delivery.failed_calls == 1 &&
        time_since_contact(machine) > kHeartbeatDueFactor * settings_.heartbeat_interval_s));
  // After a take-over the machines answer within a moment; one that does not answer two calls is lost.
  const bool lost_at_takeover = !machine.fenced && machine.delivery.failed_calls >= 2;
  if ((failing_with_others || lost_at_takeover || time_since_contact(machine) > unresponsive_threshold()) &&
      (machine.has_incarnation || !machine.fenced))
    unresponsive_machines_.insert(machine.index);
  if (!machine.fenced && time_since_contact(machine) <= unresponsive_threshold())
    schedule_check(machine, machine.last_contact_at + unresponsive_threshold() + kAfterThreshold);
}

// Probes a machine whose heartbeat is late, or that sends heartbeats though a call to it has failed.
void WorkerManager::probe_if_late(Machine& machine) {
  const Seconds now = out_.now();
  // One that failed to answer is probed again at once.
  const Seconds late =
      machine.delivery.failed_calls > 0 ? 0 : kLateHeartbeatFactor * settings_.heartbeat_interval_s;
  // It sends heartbeats, but did not answer the last call: without another one it would get no more commands.
  const bool back =
      machine.unreachable && machine.delivery.failed_calls == 0 && time_since_contact(machine) <= late;
  if (back && now >= machine.delivery.retry_at && may_probe(machine))
    send_direct(machine, {}, {}, kProbeTimeout);
  if (time_since_contact(machine) <= late)
    return schedule_check(machine,
                          back ? now + kResendInterval : machine.last_contact_at + late + kAfterThreshold);
  // The reply to an empty list of commands is its heartbeat.
  if ((now >= machine.delivery.retry_at || liveness_sweep_.in_progress(now)) && may_probe(machine))
    send_direct(machine, {}, {}, kProbeTimeout);
  schedule_check(machine,
                 time_since_contact(machine) > unresponsive_threshold()
                     ? now + kResendInterval / 2
                     : std::min(now + kResendInterval / 2,
                                machine.last_contact_at + unresponsive_threshold() + kAfterThreshold));
}

}  // namespace wingtrail::workers
