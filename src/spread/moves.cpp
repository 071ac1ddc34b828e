#include "spread/moves.hpp"

#include <algorithm>

namespace wingtrail::spread {

std::string_view name(Cause cause) {
  switch (cause) {
    case Cause::slow:
      return "slow";
    case Cause::emptied:
      return "emptied";
  }
  return "?";
}

void Moves::clear() {
  for (const Move& m : moves_)
    finished(m, false);  // its task, if it lives, is found where it is
  moves_.clear();
  last_.clear();
}

bool Moves::may_begin(Ix job, std::uint32_t task, std::size_t at_once, Seconds now) const {
  if (moves_.size() >= at_once)
    return false;
  const auto it = last_.find(key(job, task));
  return it == last_.end() || now - it->second > kRest;
}

void Moves::begin(const Move& move) {
  Counts& c = counts_[static_cast<std::size_t>(move.cause)];
  ++c.begun;
  c.lost_s += move.lost_s;
  last_[key(move.job, move.task)] = move.since;
  moves_.push_back(move);
}

template <typename F>
std::vector<Move> Moves::take(F wanted) {
  const auto kept =
      std::stable_partition(moves_.begin(), moves_.end(), [&](const Move& m) { return !wanted(m); });
  std::vector<Move> taken(kept, moves_.end());
  moves_.erase(kept, moves_.end());
  return taken;
}

std::optional<Move> Moves::gone(Ix job, std::uint32_t task) {
  const auto taken = take([&](const Move& m) { return m.job == job && m.task == task; });
  if (taken.empty())
    return std::nullopt;
  return taken.front();
}

void Moves::finished(const Move& move, bool started) {
  Counts& c = counts_[static_cast<std::size_t>(move.cause)];
  ++(started ? c.done : c.failed);
}

std::vector<Move> Moves::expired(Seconds now) {
  std::erase_if(last_, [now](const auto& l) { return now - l.second > kRest; });
  return take([now](const Move& m) { return now - m.since > kPatience; });
}

std::vector<Move> Moves::of_machine(Ix machine) {
  return take([machine](const Move& m) { return m.to == machine; });
}

}  // namespace wingtrail::spread
