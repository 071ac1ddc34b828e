/// @file
/// A random run in which controllers read mutated messages and have settings that differ.
#pragma once

#include <cstddef>
#include <cstdint>

namespace wingtrail::simulation {

/// What happened in the run. That it ended at all shows that no message ended a controller.
struct CorruptedRunReport {
  /// Messages that were mutated.
  std::size_t corrupted_messages = 0;
  /// Tasks that were started while messages were mutated.
  std::size_t started = 0;
  /// Whether a controller leads once the messages are sound and all controllers have been restarted.
  bool leads_afterwards = false;
};

/// Runs the random faults and jobs of the seed. For two minutes a share of all messages that controllers read
/// is mutated, and a rolling restart takes a team out of the settings and puts it back. Rules are not
/// checked.
CorruptedRunReport run_with_corrupted_messages(std::uint64_t seed);

}  // namespace wingtrail::simulation
