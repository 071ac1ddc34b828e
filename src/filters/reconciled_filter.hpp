/// \file
/// The filter that prevents a second start of tasks that an earlier leader may have started.
#pragma once

#include <cstdint>
#include <functional>

#include "filters/filter.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::filters {

/// Refuses a job that an earlier leader may have started where this leader has not reconciled yet: as long as
/// a machine that the job allows is not fenced, or a stray instance of the task is known.
class ReconciledFilter : public Filter {
 public:
  /// `fencing_token` returns the token of the current leadership.
  ReconciledFilter(const workers::WorkerManager& workers, std::function<std::uint64_t()> fencing_token);
  std::string_view name() const override {
    return "accounted";
  }
  bool admits(const Job& job) const override;

 private:
  const workers::WorkerManager& workers_;
  std::function<std::uint64_t()> fencing_token_;
};

}  // namespace wingtrail::filters
