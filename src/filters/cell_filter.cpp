#include "filters/cell_filter.hpp"

namespace wingtrail::filters {

bool CellFilter::admits(const Job& job) const {
  if (job.selected_for_offload)
    return false;
  return job.origin_cell.empty() || job.team >= own_work_waits_.size() || !own_work_waits_[job.team];
}

void CellFilter::begin_pass() {
  own_work_waits_.assign(own_work_waits_.size(), false);
}

void CellFilter::note_own_work_waiting(TeamIndex team) {
  if (own_work_waits_.size() <= team)
    own_work_waits_.resize(team + 1);
  own_work_waits_[team] = true;
}

}  // namespace wingtrail::filters
