/// @file
/// The interface of placement filters. Each filter is one rule that may prevent the placement of
/// a pending task.
#pragma once

#include <string_view>

#include "jobs/job_registry.hpp"
#include "ports/outbox.hpp"
#include "workers/machine.hpp"

namespace wingtrail::filters {

using jobs::Job;
using jobs::MachineTypeIndex;
using jobs::TeamIndex;
using jobs::ZoneIndex;
using ports::Seconds;
using workers::Machine;

/// One placement rule. A filter only reads the state of the cluster; it reserves nothing.
class Filter {
 public:
  Filter() = default;
  Filter(const Filter&) = delete;
  Filter& operator=(const Filter&) = delete;
  virtual ~Filter() = default;

  /// The filter's name, one word. It is the value of a metric label, and the reason that operators see for
  /// a waiting job.
  virtual std::string_view name() const = 0;

  /// Whether the job's next task may start at all, regardless of the machine.
  virtual bool admits(const Job& /*job*/) const {
    return true;
  }

  /// Whether the job's next task may start on this machine, given that `admits(job)` holds.
  virtual bool admits(const Machine& /*machine*/, const Job& /*job*/) const {
    return true;
  }
};

}  // namespace wingtrail::filters
