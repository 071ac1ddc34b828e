#include "filters/failure_filter.hpp"

#include <algorithm>

namespace wingtrail::filters {

bool FailureFilter::admits(const Job& job) const {
  return out_.now() >= job.not_before;
}

bool FailureFilter::admits(const Machine& machine, const Job& job) const {
  return std::find(job.failed_machines.begin(), job.failed_machines.end(), machine.index) ==
         job.failed_machines.end();
}

}  // namespace wingtrail::filters
