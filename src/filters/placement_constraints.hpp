/// @file
/// The constraints of a job's specification on machine type, zone and kind (on demand or spot).
#pragma once

#include "jobs/job_registry.hpp"

namespace wingtrail::filters {

/// Whether the job's specification allows machines of this type, in this zone, and of this kind (spot
/// or on demand).
bool placement_allowed(const jobs::Job& job, jobs::MachineTypeIndex type, jobs::ZoneIndex zone, bool spot);

}  // namespace wingtrail::filters
