/// @file
/// Checks whether a job could ever run.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "settings/settings.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// Returns why the job could never run, as the text answered to the user, or nothing if it could: its team
/// exists, its resources are within the team's limit, and a task fits an allowed machine type of the catalog.
std::optional<std::string> unrunnable_reason(const wire::JobSpec& spec, const settings::Settings& settings,
                                             const std::vector<wire::MachineType>& catalog);

}  // namespace wingtrail::controller
