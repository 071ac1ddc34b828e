/// @file
/// The bound on the drift between the steady clocks of two machines.
#pragma once

namespace wingtrail::ports {

/// The largest relative difference between a duration measured by two machines. Each steady clock drifts by
/// up to 0.05 % (PROTOCOL), in opposite directions at worst.
inline constexpr double kMaxClockDrift = 0.001;

}  // namespace wingtrail::ports
