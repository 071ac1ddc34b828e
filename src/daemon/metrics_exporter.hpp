/// @file
/// Renders the statistics of a controller in the Prometheus text format. Defines the names of all metrics.
#pragma once

#include <cstddef>
#include <string>

#include "controller/controller.hpp"

namespace wingtrail::daemon {

/// Returns the body of a response to GET /metrics. `client_connections` is the number of open connections of
/// users and workers.
std::string render_metrics(const controller::Stats& stats, std::size_t client_connections);

}  // namespace wingtrail::daemon
