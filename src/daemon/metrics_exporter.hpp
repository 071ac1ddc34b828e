/// @file
/// The metrics page in Prometheus' text format. The only place that knows the names of the metrics.
#pragma once

#include <cstddef>
#include <string>

#include "controller/controller.hpp"

namespace wingtrail::daemon {

/// Renders a controller's statistics, and the number of connections that users and workers have open.
std::string render_metrics(const controller::Stats& stats, std::size_t client_connections);

}  // namespace wingtrail::daemon
