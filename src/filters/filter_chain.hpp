/// @file
/// The chain of all filters that must admit a task before it is placed.
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

/// All filters, ordered by the cost of their checks, the cheapest first. The first filter that refuses a job
/// is the reason why the job waits, which the scheduler uses and operators see.
class FilterChain {
 public:
  /// @param fencing_token returns the token of the current leadership
  /// All references must outlive the chain.
  FilterChain(const ports::Outbox& out, const settings::Settings& settings,
              const workers::WorkerManager& workers, const balancing::LoadSnapshot& load,
              std::function<std::uint64_t()> fencing_token);

  /// Whether no filter refuses the job's next task regardless of the machine. Whether it may start on a
  /// certain machine is decided by the overload with a machine.
  bool admits(const Job& job) const {
    return !first_refusing_filter(job);
  }
  /// Whether the job's next task may start on this machine, given that `admits(job)` holds.
  bool admits(const Machine& machine, const Job& job) const {
    return !first_refusing_filter(machine, job);
  }
  /// The first filter that refuses the job this machine, given that `admits(job)` holds; null if there is
  /// none.
  const Filter* first_refusing_filter(const Machine& machine, const Job& job) const;
  /// The first filter that refuses the job regardless of the machine; null if there is none.
  const Filter* first_refusing_filter(const Job& job) const;
  /// Why the job waits: the name of the first filter that refuses it, or the name of the quota filter if the
  /// team's quota is used up, or "room" if the job only waits for free capacity.
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
  /// All filters in the order of the chain, for metrics.
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
  // Filters in filters_ that the accessors above return by their concrete type.
  const ReconciledFilter* reconciled_ = nullptr;
  const ZoneFilter* zones_ = nullptr;
  CellFilter* cells_ = nullptr;
  const QuotaFilter* quota_ = nullptr;
};

}  // namespace wingtrail::filters
