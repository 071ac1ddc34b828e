/// \file
/// The chain of all filters that a task has to pass before it is placed.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "filters/cell_filter.hpp"
#include "filters/filter.hpp"
#include "filters/placement_constraints.hpp"
#include "filters/quota_filter.hpp"
#include "filters/reconciled_filter.hpp"
#include "filters/zone_filter.hpp"

namespace wingtrail::filters {

/// All filters, the cheapest first. The first one that refuses a job is the reason why the job waits, for the
/// scheduler and for operators alike.
class FilterChain {
 public:
  /// `fencing_token` returns the token of the current leadership. The references must outlive the chain.
  FilterChain(const ports::Outbox& out, const settings::Settings& settings,
              const workers::WorkerManager& workers, const balancing::LoadSnapshot& load,
              std::function<std::uint64_t()> fencing_token);

  /// Whether the job's next task may start on some machine, if one has the resources.
  bool admits(const Job& job) const {
    return !first_refusal(job);
  }
  /// Whether the job's next task may start on this machine, given that `admits(job)` holds.
  bool admits(const Machine& machine, const Job& job) const;
  /// The first filter that refuses the job on every machine; null if none does.
  const Filter* first_refusal(const Job& job) const;
  /// Why the job waits: the name of the first filter that refuses it, of the quota filter, or "room" if it
  /// waits for free resources only.
  std::string_view waiting_reason(const Job& job) const;

  const ReconciledFilter& reconciled() const {
    return *reconciled_;
  }
  const ZoneFilter& zones() const {
    return *zones_;
  }
  CellFilter& cells() {
    return *cells_;
  }
  const QuotaFilter& quota() const {
    return *quota_;
  }
  /// All filters in their order, for the metrics.
  const std::vector<std::unique_ptr<Filter>>& filters() const {
    return filters_;
  }

 private:
  /// Appends a filter of the type to the chain, which owns it.
  template <typename FilterType, typename... Arguments>
  FilterType* add(Arguments&&... arguments) {
    auto filter = std::make_unique<FilterType>(std::forward<Arguments>(arguments)...);
    FilterType* added = filter.get();
    filters_.push_back(std::move(filter));
    return added;
  }

  std::vector<std::unique_ptr<Filter>> filters_;
  // Members of filters_ that others need by their own type.
  const ReconciledFilter* reconciled_ = nullptr;
  const ZoneFilter* zones_ = nullptr;
  CellFilter* cells_ = nullptr;
  const QuotaFilter* quota_ = nullptr;
};

}  // namespace wingtrail::filters
