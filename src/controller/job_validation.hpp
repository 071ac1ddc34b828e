/// @file
/// Whether a job could ever run.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "settings/settings.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// Returns why the job could never run, in words for the user, or nothing if it could: its team exists, its
/// resources fit the team's limit and a machine type of the catalog.
std::optional<std::string> why_unrunnable(const wire::JobSpec& spec, const settings::Settings& settings,
                                          const std::vector<wire::MachineType>& catalog);

}  // namespace wingtrail::controller
