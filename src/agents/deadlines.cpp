// What time alone brings about: leases that run out, reports that are late, orders that are repeated,
// machines that fall silent together.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "agents/agents.hpp"

namespace wingtrail::agents {
namespace {
constexpr Seconds kSoonest = 0.02;
constexpr Seconds kProbeTimeout = 1.0;
constexpr Seconds kAskCut = 0.25;
constexpr Seconds kRepeatNotBefore = 0.25;
constexpr double kAboutToReport = 0.6;  // of the report interval
}  // namespace

// Machines that are up, or were when an earlier leader last said so, report; those that boot do not yet.
void Agents::expect(Machine& m) {
  const bool expected = !m.gone && (m.reporting || !m.settled);
  if (expected == m.expected)
    return;
  m.expected = expected;
  zones_.expected(m.zone, expected ? 1 : -1);
}

// The zone is within reach again: all of it is asked at once what lives, instead of waiting for its reports.
void Agents::ask_again(Ix zone) {
  spdlog::info("{} is within reach again", registry_.zones[zone]);
  for (const Ix ix : live_) {
    Machine& m = machines_[ix];
    if (m.zone != zone || !m.expected)
      continue;
    // What failed before says only that the zone was out of reach (a day on which the first answer after a
    // cut made 238 sound machines look lost alone).
    m.failures = 0;
    m.unanswered_since = ports::kNever;
    m.retry_at = out_.now();
    look_again(m, out_.now());
    if (!m.settled)
      want(m);
  }
}

void Agents::look_again(Machine& m, Seconds at) {
  at = std::max(at, out_.now() + kSoonest);  // a deadline that has passed must not be looked at in circles
  if (at >= m.check_at)
    return;
  m.check_at = at;
  due_.push({at, m.ix});
}

void Agents::tick() {
  const Seconds now = out_.now();
  // Past its authority a leader knows nothing of the workers' leases: another one may be renewing them.
  if (!active_ || now >= link_.authority_until())
    return;
  while (!due_.empty() && due_.top().at <= now) {
    const Due due = due_.top();
    due_.pop();
    Machine& m = machines_[due.ix];
    if (m.check_at != due.at)
      continue;  // an earlier look replaced this one
    m.check_at = ports::kNever;
    ++checks_;
    check(m);
  }
}

// An ordinary machine does not answer. Machines seldom hang alone, and waiting until each should have
// reported costs its replicas seconds, so all are asked now, once: those that answer are not asked again.
void Agents::raise_alarm() {
  const Seconds now = out_.now();
  alarm_until_ = now + kAlarmLasts;
  if (now < alarm_from_ + kAlarmLasts)
    return;
  alarm_from_ = now;
  sweep_.clear();
  for (const Ix ix : live_) {
    if (machines_[ix].reporting)
      sweep_.push_back(ix);
  }
  // The longest silent first: they are the likeliest, and need no second call to be sure of.
  std::sort(sweep_.begin(), sweep_.end(), [this](Ix a, Ix b) {
    const Seconds la = machines_[a].last_contact, lb = machines_[b].last_contact;
    return la != lb ? la < lb : a < b;
  });
  ++sweeps_;
}

void Agents::sweep() {
  while (!sweep_.empty() && calls_ < call_limit()) {
    Machine& m = machines_[sweep_.front()];
    sweep_.pop_front();
    if (m.gone || !m.reporting || m.in_flight || m.addr.empty() || m.last_contact >= alarm_from_ ||
        zones_.cut(m.zone, out_.now()))
      continue;
    send_direct(m, {}, {}, kProbeTimeout);
  }
}

// What time alone brings about on a machine, and when to look at it next.
void Agents::check(Machine& m) {
  const Seconds now = out_.now();
  if (m.gone)
    return;
  check_lease(m);
  changed(m);
  if ((m.reporting || !m.settled) && now < m.lease_until)
    look_again(m, m.lease_until);
  if ((m.reporting || !m.settled) && zones_.cut(m.zone, now))
    return ask_in_cut_zone(m);
  if (m.doubt_until > now)
    look_again(m, m.doubt_until);
  if (wants_orders(m))
    repeat_orders(m);
  judge_silence(m);
  if (m.reporting)
    ask_if_late(m);
}

// Ends the session of a machine whose lease has certainly run out.
void Agents::check_lease(Machine& m) {
  const Seconds now = out_.now();
  if (now < m.lease_until || (!m.reporting && m.settled))
    return;
  // A peer may have renewed it in custody; only its word, or the end of what it was granted, rules that out.
  if (now < link_.lease_end(m.lease_until))
    return look_again(m, now + kResend);
  // Nobody can have renewed the worker's lease since, so it has killed everything it had.
  if (m.reporting)
    spdlog::warn("{}: its lease has run out", m.host);
  // A machine that died long before says nothing of its zone.
  if (m.last_contact >= zones_.heard_at(m.zone) - 2 * settings_.report_s)
    zones_.lease_over(m.zone, now);
  end_session(m);
  m.settled = true;
  expect(m);
  account(m);
}

// Of a zone out of reach one machine now and then is asked; when it answers, all are (ask_again).
void Agents::ask_in_cut_zone(Machine& m) {
  const Seconds now = out_.now();
  if (ask_at_.size() <= m.zone)
    ask_at_.resize(m.zone + 1);
  if (now >= ask_at_[m.zone] && may_probe(m)) {
    ask_at_[m.zone] = now + kAskCut;
    send_direct(m, {}, {}, kProbeTimeout);
  }
  if (silence(m) > silent_s())
    silent_.insert(m.ix);
  look_again(m, now + kResend);
}

// What the worker was told and has not shown to have done is told again.
void Agents::repeat_orders(Machine& m) {
  const Seconds now = out_.now();
  if (!m.in_flight && now >= m.pushed_at + kResend) {
    m.news = true;
    want(m);
  }
  look_again(m, std::max(now + kRepeatNotBefore, std::max(m.pushed_at, m.retry_at) + kResend));
}

// Whether nothing is known against calling the machine now.
bool Agents::may_probe(const Machine& m) const {
  return !m.in_flight && !m.addr.empty() && calls_ < call_limit();
}

void Agents::judge_silence(Machine& m) {
  const Seconds now = out_.now();
  // Amid others that fail, one that answers neither of two calls, or one when it should be about to report,
  // is as good as silent for longer.
  const bool amid =
      now < alarm_until_ && m.reporting &&
      (m.failures >= 2 || (m.failures == 1 && silence(m) > kAboutToReport * settings_.report_s));
  // After a take-over the others have answered within a moment; one that does not answer two calls is lost.
  const bool missing = !m.settled && m.failures >= 2;
  if ((amid || missing || silence(m) > silent_s()) && (m.reporting || !m.settled))
    silent_.insert(m.ix);
  if (!m.settled && silence(m) <= silent_s())
    look_again(m, m.last_contact + silent_s() + kSoonest);
}

// Asks a machine that should have reported by now, or that reports though a call to it has failed.
void Agents::ask_if_late(Machine& m) {
  const Seconds now = out_.now();
  // One that failed to answer is asked again at once.
  const Seconds late = m.failures > 0 ? 0 : kLateReport * settings_.report_s;
  // It reports, but was not there when it was last called: without another call it would never get orders
  // again.
  const bool back = m.unreachable && m.failures == 0 && silence(m) <= late;
  if (back && now >= m.retry_at && may_probe(m))
    send_direct(m, {}, {}, kProbeTimeout);
  if (silence(m) <= late)
    return look_again(m, back ? now + kResend : m.last_contact + late + kSoonest);
  // Ask a machine that should have reported by now; the answer to an empty list of orders is its report.
  if ((now >= m.retry_at || now < alarm_until_) && may_probe(m))
    send_direct(m, {}, {}, kProbeTimeout);
  look_again(m, silence(m) > silent_s()
                    ? now + kResend / 2
                    : std::min(now + kResend / 2, m.last_contact + silent_s() + kSoonest));
}

}  // namespace wingtrail::agents
