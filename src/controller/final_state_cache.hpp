/// @file
/// A bounded cache of the final states of jobs.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// Final states of jobs by reference. A final state never changes, so an entry never has to be refreshed; the
/// oldest entry is dropped when the cache is full.
class FinalStateCache {
 public:
  /// Returns false, and changes nothing, if the cache has the job's final state.
  bool insert(const std::string& ref, const wire::FinalState& state) {
    if (!states_.emplace(ref, state).second)
      return false;
    insertion_order_.push_back(ref);
    if (insertion_order_.size() > kCapacity) {
      states_.erase(insertion_order_.front());
      insertion_order_.pop_front();
    }
    return true;
  }
  /// Returns null if the final state is not in the cache; the pointer is valid until the next insertion.
  const wire::FinalState* find(const std::string& ref) const {
    const auto it = states_.find(ref);
    return it == states_.end() ? nullptr : &it->second;
  }
  bool contains(const std::string& ref) const {
    return states_.contains(ref);
  }

 private:
  static constexpr std::size_t kCapacity = 50'000;  // entries of some 100 bytes

  std::unordered_map<std::string, wire::FinalState> states_;
  std::deque<std::string> insertion_order_;
};

}  // namespace wingtrail::controller
