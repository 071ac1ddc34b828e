/// @file
/// The filter that prevents a second start of tasks that an earlier leader may have started.
#pragma once

#include <cstdint>
#include <functional>

#include "filters/filter.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::filters {

/// Refuses a job whose next task may already run unknown to this leader: the job was created under an
/// earlier leader and may be placed on a machine that is not fenced yet, or there is a stray instance of the
/// task. Also refuses a job with rules on zones while any of its tasks has a stray instance.
class ReconciledFilter : public Filter {
 public:
  /// @param fencing_token returns the token of the current leadership
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
