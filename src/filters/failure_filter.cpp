#include "filters/failure_filter.hpp"

namespace wingtrail::filters {

bool FailureFilter::admits(const Job& job) const {
  return out_.now() >= job.not_before;
}

bool FailureFilter::admits(const Machine& machine, const Job& job) const {
  return !job.excludes(machine.index, out_.now());
}

}  // namespace wingtrail::filters
