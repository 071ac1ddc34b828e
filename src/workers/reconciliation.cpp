// After a take-over: which machines may hold tasks that this leader does not know of, and what these use at
// most.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "workers/worker_manager.hpp"

namespace wingtrail::workers {

void WorkerManager::mark_fenced(Machine& m) {
  if (m.fenced)
    return;
  m.fenced = true;
  update_expected(m);
  update_unreconciled(m);
  mark_changed(m);
  // What it shows is so. Whoever else shows the same was left alone until now.
  if (!strays_.empty()) {
    for (const Allocation& s : m.allocations) {
      if (const jobs::Job* job = registry_.job_at(s.job); job && s.occupies_machine)
        stop_strays(job->spec.ref, s.task);
    }
  }
  if (m.has_incarnation && m.in_inventory)
    events_.on_available(m);
}

WorkerManager::UnreconciledGroup& WorkerManager::unreconciled_group(const Machine& m) {
  for (UnreconciledGroup& d : unreconciled_groups_) {
    if (d.type == m.type && d.zone == m.zone && d.spot == m.spot)
      return d;
  }
  unreconciled_groups_.push_back({m.type, m.zone, m.spot, 0});
  return unreconciled_groups_.back();
}

// Keeps the sums over machines that may hold what this leader does not know of.
void WorkerManager::update_unreconciled(Machine& m) {
  const bool unsettled = !m.gone && !m.fenced;
  if (unsettled != m.counted_unfenced) {
    m.counted_unfenced = unsettled;
    unreconciled_group(m).unfenced += unsettled ? 1 : -1;
  }
  const bool in_doubt = !m.gone && (!m.fenced || m.unsized_allocations > 0);
  if (m.unreconciled) {
    --unreconciled_count_;
    unsized_allocations_ -= m.unreconciled_cpus <= 0;
    unreconciled_resources_.cpus -= m.unreconciled_cpus;
    unreconciled_resources_.gpus -= m.unreconciled_gpus;
  }
  m.unreconciled = in_doubt;
  if (in_doubt) {
    m.unreconciled_cpus = m.cpus;
    m.unreconciled_gpus = m.gpus;
    ++unreconciled_count_;
    unsized_allocations_ += m.unreconciled_cpus <= 0;
    unreconciled_resources_.cpus += m.unreconciled_cpus;
    unreconciled_resources_.gpus += m.unreconciled_gpus;
  } else if (unreconciled_count_ == 0 && active_ && reconciled_after_ == 0) {
    reconciled_after_ = std::max(1e-3, out_.now() - leadership_began_at_);
    spdlog::info("every machine of the roster is accounted for after {:.2f} s", reconciled_after_);
  }
}

std::optional<wire::Resources> WorkerManager::unreconciled_resources() const {
  if (unsized_allocations_ > 0)
    return std::nullopt;
  if (unreconciled_count_ == 0)
    return wire::Resources{};
  return unreconciled_resources_;
}

}  // namespace wingtrail::workers
