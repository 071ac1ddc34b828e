#include "filters/filter.hpp"

#include <algorithm>

namespace wingtrail::filters {

FilterChain::FilterChain(const ports::Outbox& out, const settings::Settings& settings,
                         const workers::WorkerManager& agents, const balancing::LoadSnapshot& picture,
                         std::function<std::uint64_t()> token) {
  add(dependency_filter());
  add(failure_filter(out));
  cells_ = add(std::make_unique<CellFilter>());
  reconciled_ = add(std::make_unique<ReconciledFilter>(agents, std::move(token)));
  zones_ = add(std::make_unique<ZoneFilter>());
  quota_ = add(std::make_unique<QuotaFilter>(out, settings, agents, picture));
}

const Filter* FilterChain::first_refusal(const Job& job) const {
  const auto it =
      std::find_if(filters_.begin(), filters_.end(), [&](const auto& g) { return !g->admits(job); });
  return it == filters_.end() ? nullptr : it->get();
}

std::string_view FilterChain::waiting_reason(const Job& job) const {
  if (const Filter* gate = first_refusal(job))
    return gate->name();
  return quota_->admits_tasks(job, 1) ? "room" : quota_->name();
}

bool FilterChain::admits(const Machine& m, const Job& job) const {
  return std::all_of(filters_.begin(), filters_.end(), [&](const auto& g) { return g->admits(m, job); });
}

bool placement_allowed(const Job& job, MachineTypeIndex type, ZoneIndex zone, bool spot) {
  if (spot && !job.spec.allows_spot)
    return false;
  if (job.zone != jobs::kNoIndex && job.zone != zone)
    return false;
  return job.types.empty() || std::find(job.types.begin(), job.types.end(), type) != job.types.end();
}

}  // namespace wingtrail::filters
