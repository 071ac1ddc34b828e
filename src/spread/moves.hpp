// Moves of running tasks, each a small state machine: a place is kept at the target, the task is told to
// stop, its end is proved, it starts at the target. Until the proof the task counts where it is, and nothing
// starts anywhere. Whatever goes wrong ends the move, never the task: it is then placed like any other that
// waits. Nothing is persisted; a new leader finds tasks where they are.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/registry.hpp"

namespace wingtrail::spread {

using jobs::Ix;
using ports::Seconds;

enum class Cause : std::uint8_t { slow, emptied };
inline constexpr std::size_t kCauses = 2;
std::string_view name(Cause cause);

struct Move {
  Ix job = jobs::kNone, to = jobs::kNone;
  std::uint32_t task = 0;
  Cause cause{};
  Seconds since = 0;
  wire::Resources need;  // kept at the target
  double lost_s = 0;     // work that the stop throws away
};

class Moves {
 public:
  struct Counts {
    std::uint64_t begun = 0, done = 0, failed = 0;
    double lost_s = 0;
  };
  // At most `at_once` are under way; a task is not moved again within `rest`, so no two moves undo each
  // other.
  static constexpr Seconds kRest = 120, kPatience = 15;

  void clear();
  bool may_begin(Ix job, std::uint32_t task, std::size_t at_once, Seconds now) const;
  void begin(const Move& move);
  // Its task is proved to be gone from where it was: the move, which is over for this account; nothing: none
  // is under way.
  std::optional<Move> gone(Ix job, std::uint32_t task);
  // The task started at the target, or it did not.
  void finished(const Move& move, bool started);
  // Moves that took too long, or that involve a machine which is no longer fit: given up.
  std::vector<Move> expired(Seconds now);
  std::vector<Move> of_machine(Ix machine);
  std::size_t under_way() const {
    return moves_.size();
  }
  const Counts& counts(Cause cause) const {
    return counts_[static_cast<std::size_t>(cause)];
  }

 private:
  template <typename F>
  std::vector<Move> take(F wanted);
  static std::uint64_t key(Ix job, std::uint32_t task) {
    return (std::uint64_t{job} << 32) | task;
  }
  std::vector<Move> moves_;                          // a few
  std::unordered_map<std::uint64_t, Seconds> last_;  // when a task was last moved
  Counts counts_[kCauses];
};

}  // namespace wingtrail::spread
