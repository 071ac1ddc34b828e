// After a take-over: which machines may hold tasks that this leader does not know of, and what these use at
// most.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "agents/agents.hpp"

namespace wingtrail::agents {

void Agents::settle(Machine& m) {
  if (m.settled)
    return;
  m.settled = true;
  expect(m);
  account(m);
  changed(m);
  // What it shows is so. Whoever else shows the same was left alone until now.
  if (!copies_.empty()) {
    for (const Slot& s : m.slots) {
      if (const jobs::Job* job = registry_.at(s.job); job && s.counted)
        stop_copies(job->spec.ref, s.task);
    }
  }
  if (m.reporting && m.enlisted)
    events_.up(m);
}

Agents::Doubt& Agents::doubt(const Machine& m) {
  for (Doubt& d : doubts_) {
    if (d.type == m.type && d.zone == m.zone && d.spot == m.spot)
      return d;
  }
  doubts_.push_back({m.type, m.zone, m.spot, 0});
  return doubts_.back();
}

// Keeps the sums over machines that may hold what this leader does not know of.
void Agents::account(Machine& m) {
  const bool unsettled = !m.gone && !m.settled;
  if (unsettled != m.counted_unsettled) {
    m.counted_unsettled = unsettled;
    doubt(m).unsettled += unsettled ? 1 : -1;
  }
  const bool in_doubt = !m.gone && (!m.settled || m.unknown > 0);
  if (m.in_doubt) {
    --in_doubt_;
    unsized_ -= m.doubt_cpus <= 0;
    doubt_sum_.cpus -= m.doubt_cpus;
    doubt_sum_.gpus -= m.doubt_gpus;
  }
  m.in_doubt = in_doubt;
  if (in_doubt) {
    m.doubt_cpus = m.cpus;
    m.doubt_gpus = m.gpus;
    ++in_doubt_;
    unsized_ += m.doubt_cpus <= 0;
    doubt_sum_.cpus += m.doubt_cpus;
    doubt_sum_.gpus += m.doubt_gpus;
  } else if (in_doubt_ == 0 && active_ && cleared_after_ == 0) {
    cleared_after_ = std::max(1e-3, out_.now() - began_);
    spdlog::info("every machine of the roster is accounted for after {:.2f} s", cleared_after_);
  }
}

std::optional<wire::Resources> Agents::unaccounted() const {
  if (unsized_ > 0)
    return std::nullopt;
  if (in_doubt_ == 0)
    return wire::Resources{};
  return doubt_sum_;
}

}  // namespace wingtrail::agents
