/// @file
/// The bound on clock drift that delegated lease renewal assumes.
#pragma once

namespace wingtrail::delegation {

/// The largest relative difference between a duration measured by two machines. Each steady clock drifts by
/// up to 0.05 % (PROTOCOL), in opposite directions at worst.
inline constexpr double kMaxClockDrift = 0.001;

}  // namespace wingtrail::delegation
