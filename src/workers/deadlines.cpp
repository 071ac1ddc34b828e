// What time alone brings about: leases that run out, reports that are late, orders that are repeated,
// machines that fall silent together.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "workers/worker_manager.hpp"

namespace wingtrail::workers {
namespace {
constexpr Seconds kSoonest = 0.02;
constexpr Seconds kProbeTimeout = 1.0;
constexpr Seconds kAskCut = 0.25;
constexpr Seconds kRepeatNotBefore = 0.25;
constexpr double kAboutToReport = 0.6;  // of the report interval
}  // namespace

// Machines that are up, or were when an earlier leader last said so, report; those that boot do not yet.
void WorkerManager::update_expected(Machine& m) {
  const bool expected = !m.gone && (m.has_incarnation || !m.fenced);
  if (expected == m.expected_to_report)
    return;
  m.expected_to_report = expected;
  zones_.set_expected(m.zone, expected ? 1 : -1);
}

// The zone is within reach again: all of it is asked at once what lives, instead of waiting for its reports.
void WorkerManager::schedule_zone_probe(ZoneIndex zone) {
  spdlog::info("{} is within reach again", registry_.zones[zone]);
  for (const MachineIndex ix : live_machines_) {
    Machine& m = machines_[ix];
    if (m.zone != zone || !m.expected_to_report)
      continue;
    // What failed before says only that the zone was out of reach (a day on which the first answer after a
    // cut made 238 sound machines look lost alone).
    m.failed_calls = 0;
    m.unanswered_since = ports::kNever;
    m.retry_at = out_.now();
    schedule_check(m, out_.now());
    if (!m.fenced)
      queue_call(m);
  }
}

void WorkerManager::schedule_check(Machine& m, Seconds at) {
  at = std::max(at, out_.now() + kSoonest);  // a deadline that has passed must not be looked at in circles
  if (at >= m.next_check_at)
    return;
  m.next_check_at = at;
  deadlines_.push({at, m.index});
}

void WorkerManager::tick() {
  const Seconds now = out_.now();
  // Past its authority a leader knows nothing of the workers' leases: another one may be renewing them.
  if (!active_ || now >= leadership_.lease_expires_at())
    return;
  while (!deadlines_.empty() && deadlines_.top().at <= now) {
    const Deadline due = deadlines_.top();
    deadlines_.pop();
    Machine& m = machines_[due.ix];
    if (m.next_check_at != due.at)
      continue;  // an earlier look replaced this one
    m.next_check_at = ports::kNever;
    ++deadline_checks_;
    check_machine(m);
  }
}

// An ordinary machine does not answer. Machines seldom hang alone, and waiting until each should have
// reported costs its replicas seconds, so all are asked now, once: those that answer are not asked again.
void WorkerManager::start_liveness_sweep() {
  const Seconds now = out_.now();
  sweep_until_ = now + kSweepDuration;
  if (now < sweep_from_ + kSweepDuration)
    return;
  sweep_from_ = now;
  sweep_queue_.clear();
  for (const MachineIndex ix : live_machines_) {
    if (machines_[ix].has_incarnation)
      sweep_queue_.push_back(ix);
  }
  // The longest silent first: they are the likeliest, and need no second call to be sure of.
  std::sort(sweep_queue_.begin(), sweep_queue_.end(), [this](MachineIndex a, MachineIndex b) {
    const Seconds la = machines_[a].last_contact_at, lb = machines_[b].last_contact_at;
    return la != lb ? la < lb : a < b;
  });
  ++liveness_sweeps_;
}

void WorkerManager::continue_liveness_sweep() {
  while (!sweep_queue_.empty() && calls_in_flight_ < max_concurrent_calls()) {
    Machine& m = machines_[sweep_queue_.front()];
    sweep_queue_.pop_front();
    if (m.gone || !m.has_incarnation || m.call_in_flight || m.address.empty() ||
        m.last_contact_at >= sweep_from_ || zones_.is_unreachable(m.zone, out_.now()))
      continue;
    send_direct(m, {}, {}, kProbeTimeout);
  }
}

// What time alone brings about on a machine, and when to look at it next.
void WorkerManager::check_machine(Machine& m) {
  const Seconds now = out_.now();
  if (m.gone)
    return;
  check_lease(m);
  mark_changed(m);
  if ((m.has_incarnation || !m.fenced) && now < m.lease_expires_at)
    schedule_check(m, m.lease_expires_at);
  if ((m.has_incarnation || !m.fenced) && zones_.is_unreachable(m.zone, now))
    return probe_unreachable_zone(m);
  if (m.avoid_until > now)
    schedule_check(m, m.avoid_until);
  if (has_commands(m))
    resend_commands(m);
  suspect_if_silent(m);
  if (m.has_incarnation)
    probe_if_late(m);
}

// Ends the session of a machine whose lease has certainly run out.
void WorkerManager::check_lease(Machine& m) {
  const Seconds now = out_.now();
  if (now < m.lease_expires_at || (!m.has_incarnation && m.fenced))
    return;
  // A peer may have renewed it in custody; only its word, or the end of what it was granted, rules that out.
  if (now < leadership_.worker_lease_expiry(m.lease_expires_at))
    return schedule_check(m, now + kResendInterval);
  // Nobody can have renewed the worker's lease since, so it has killed everything it had.
  if (m.has_incarnation)
    spdlog::warn("{}: its lease has run out", m.host);
  // A machine that died long before says nothing of its zone.
  if (m.last_contact_at >= zones_.last_contact_at(m.zone) - 2 * settings_.heartbeat_interval_s)
    zones_.on_lease_expired(m.zone, now);
  end_incarnation(m);
  m.fenced = true;
  update_expected(m);
  update_unreconciled(m);
}

// Of a zone out of reach one machine now and then is asked; when it answers, all are (ask_again).
void WorkerManager::probe_unreachable_zone(Machine& m) {
  const Seconds now = out_.now();
  if (zone_probe_at_.size() <= m.zone)
    zone_probe_at_.resize(m.zone + 1);
  if (now >= zone_probe_at_[m.zone] && may_probe(m)) {
    zone_probe_at_[m.zone] = now + kAskCut;
    send_direct(m, {}, {}, kProbeTimeout);
  }
  if (silence_of(m) > silence_threshold())
    silent_machines_.insert(m.index);
  schedule_check(m, now + kResendInterval);
}

// What the worker was told and has not shown to have done is told again.
void WorkerManager::resend_commands(Machine& m) {
  const Seconds now = out_.now();
  if (!m.call_in_flight && now >= m.last_push_at + kResendInterval) {
    m.has_new_commands = true;
    queue_call(m);
  }
  schedule_check(m, std::max(now + kRepeatNotBefore, std::max(m.last_push_at, m.retry_at) + kResendInterval));
}

// Whether nothing is known against calling the machine now.
bool WorkerManager::may_probe(const Machine& m) const {
  return !m.call_in_flight && !m.address.empty() && calls_in_flight_ < max_concurrent_calls();
}

void WorkerManager::suspect_if_silent(Machine& m) {
  const Seconds now = out_.now();
  // Amid others that fail, one that answers neither of two calls, or one when it should be about to report,
  // is as good as silent for longer.
  const bool amid =
      now < sweep_until_ && m.has_incarnation &&
      (m.failed_calls >= 2 ||
       (m.failed_calls == 1 && silence_of(m) > kAboutToReport * settings_.heartbeat_interval_s));
  // After a take-over the others have answered within a moment; one that does not answer two calls is lost.
  const bool missing = !m.fenced && m.failed_calls >= 2;
  if ((amid || missing || silence_of(m) > silence_threshold()) && (m.has_incarnation || !m.fenced))
    silent_machines_.insert(m.index);
  if (!m.fenced && silence_of(m) <= silence_threshold())
    schedule_check(m, m.last_contact_at + silence_threshold() + kSoonest);
}

// Asks a machine that should have reported by now, or that reports though a call to it has failed.
void WorkerManager::probe_if_late(Machine& m) {
  const Seconds now = out_.now();
  // One that failed to answer is asked again at once.
  const Seconds late = m.failed_calls > 0 ? 0 : kLateHeartbeatFactor * settings_.heartbeat_interval_s;
  // It reports, but was not there when it was last called: without another call it would never get orders
  // again.
  const bool back = m.unreachable && m.failed_calls == 0 && silence_of(m) <= late;
  if (back && now >= m.retry_at && may_probe(m))
    send_direct(m, {}, {}, kProbeTimeout);
  if (silence_of(m) <= late)
    return schedule_check(m, back ? now + kResendInterval : m.last_contact_at + late + kSoonest);
  // Ask a machine that should have reported by now; the answer to an empty list of orders is its report.
  if ((now >= m.retry_at || now < sweep_until_) && may_probe(m))
    send_direct(m, {}, {}, kProbeTimeout);
  schedule_check(
      m, silence_of(m) > silence_threshold()
             ? now + kResendInterval / 2
             : std::min(now + kResendInterval / 2, m.last_contact_at + silence_threshold() + kSoonest));
}

}  // namespace wingtrail::workers
