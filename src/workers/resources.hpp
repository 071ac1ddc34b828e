/// @file
/// Arithmetic on resources.
#pragma once

#include "wire/job_messages.hpp"

namespace wingtrail::workers {

/// Adds `amount` to `sum` if `sign` is 1, subtracts it if `sign` is -1.
inline void add_resources(wire::Resources& sum, const wire::Resources& amount, double sign) {
  sum.cpus += sign * amount.cpus;
  sum.gpus += sign * amount.gpus;
  sum.memory_gb += sign * amount.memory_gb;
}

}  // namespace wingtrail::workers
