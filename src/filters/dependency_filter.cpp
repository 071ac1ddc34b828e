#include "filters/dependency_filter.hpp"

namespace wingtrail::filters {

bool DependencyFilter::admits(const Job& job) const {
  return job.is_open() && !job.is_held();
}

}  // namespace wingtrail::filters
