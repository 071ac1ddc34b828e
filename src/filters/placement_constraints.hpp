/// \file
/// The constraints on machine type, zone and kind that a job's specification states.
#pragma once

#include "jobs/job_registry.hpp"

namespace wingtrail::filters {

/// Whether the job's specification allows machines of this type and zone, on demand or spot.
bool placement_allowed(const jobs::Job& job, jobs::MachineTypeIndex type, jobs::ZoneIndex zone, bool spot);

}  // namespace wingtrail::filters
