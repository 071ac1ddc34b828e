#include "filters/cell_filter.hpp"

namespace wingtrail::filters {

bool CellFilter::admits(const Job& job) const {
  if (job.selected_for_offload)
    return false;
  return job.origin_cell.empty() || job.team >= own_jobs_wait_.size() || !own_jobs_wait_[job.team];
}

void CellFilter::begin_pass() {
  own_jobs_wait_.assign(own_jobs_wait_.size(), false);
}

void CellFilter::set_own_jobs_waiting(TeamIndex team) {
  if (own_jobs_wait_.size() <= team)
    own_jobs_wait_.resize(team + 1);
  own_jobs_wait_[team] = true;
}

}  // namespace wingtrail::filters
