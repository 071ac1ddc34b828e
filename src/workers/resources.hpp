/// \file
/// Sums of resources.
#pragma once

#include "wire/job_messages.hpp"

namespace wingtrail::workers {

/// Adds `amount`, times `sign`, to `sum`; a sign of -1 takes it away.
inline void add_resources(wire::Resources& sum, const wire::Resources& amount, double sign) {
  sum.cpus += sign * amount.cpus;
  sum.gpus += sign * amount.gpus;
  sum.memory_gb += sign * amount.memory_gb;
}

}  // namespace wingtrail::workers
