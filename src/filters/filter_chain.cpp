#include "filters/filter_chain.hpp"

#include <algorithm>
#include <utility>

#include "filters/dependency_filter.hpp"
#include "filters/failure_filter.hpp"
#include "filters/team_filter.hpp"

namespace wingtrail::filters {

FilterChain::FilterChain(const ports::Outbox& out, const settings::Settings& settings,
                         const workers::WorkerManager& workers, const balancing::LoadSnapshot& load,
                         std::function<std::uint64_t()> fencing_token) {
  add<DependencyFilter>();
  add<TeamFilter>(settings);
  add<FailureFilter>(out);
  cells_ = add<CellFilter>();
  reconciled_ = add<ReconciledFilter>(workers, std::move(fencing_token));
  zones_ = add<ZoneFilter>();
  quota_ = add<QuotaFilter>(out, settings, workers, load);
}

const Filter* FilterChain::first_refusing_filter(const Job& job) const {
  const auto refusing = std::find_if(filters_.begin(), filters_.end(),
                                     [&](const auto& filter) { return !filter->admits(job); });
  return refusing == filters_.end() ? nullptr : refusing->get();
}

std::string_view FilterChain::waiting_reason(const Job& job) const {
  if (const Filter* refusing = first_refusing_filter(job))
    return refusing->name();
  return quota_->admits_tasks(job, 1) ? "room" : quota_->name();
}

const Filter* FilterChain::first_refusing_filter(const Machine& machine, const Job& job) const {
  const auto refusing = std::find_if(filters_.begin(), filters_.end(),
                                     [&](const auto& filter) { return !filter->admits(machine, job); });
  return refusing == filters_.end() ? nullptr : refusing->get();
}

}  // namespace wingtrail::filters
