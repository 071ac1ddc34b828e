/// @file
/// The bound on clock drift that delegated lease renewal relies on.
#pragma once

namespace wingtrail::delegation {

/// The largest relative difference between durations measured by two machines. Steady clocks drift by up to
/// 0.05 % each (PROTOCOL), and both ends of a duration may be off.
inline constexpr double kMaxClockDrift = 0.001;

}  // namespace wingtrail::delegation
