/// @file
/// Arithmetic on resources, and their comparison.
#pragma once

#include "wire/job_messages.hpp"

namespace wingtrail::workers {

/// Adds `amount` to `sum` if `sign` is 1, subtracts it if `sign` is -1.
inline void add_resources(wire::Resources& sum, const wire::Resources& amount, double sign) {
  sum.cpus += sign * amount.cpus;
  sum.gpus += sign * amount.gpus;
  sum.memory_gb += sign * amount.memory_gb;
}

/// Whether an amount of resources is within a limit, apart from rounding errors.
inline bool is_within(const wire::Resources& amount, const wire::Resources& limit) {
  constexpr double kRoundingTolerance = 1e-6;  // cores, GPUs or GB
  return amount.cpus <= limit.cpus + kRoundingTolerance && amount.gpus <= limit.gpus + kRoundingTolerance &&
         amount.memory_gb <= limit.memory_gb + kRoundingTolerance;
}

}  // namespace wingtrail::workers
