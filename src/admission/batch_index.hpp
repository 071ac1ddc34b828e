// Which jobs were admitted on sheets (jobs/sheets.hpp). A job on a sheet has no key of its own to be asked
// for, so every node follows the sheets' keys, and what was absent at some revision is known from this only
// once the index has come that far.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ports/outbox.hpp"
#include "wire/value.hpp"

namespace wingtrail::admission {

using ports::Seconds;

class BatchIndex {
 public:
  void reset() {
    *this = {};
  }  // nothing is known any more; it is read anew
  void add_batch(const std::string& key, const wire::Value& value);
  void remove_batch(const std::string& key, Seconds now);
  // All changes up to that revision have been told.
  void advance_to(std::uint64_t revision, Seconds now);
  bool complete() const {
    return revision_.has_value();
  }
  std::uint64_t revision() const {
    return revision_.value_or(0);
  }
  bool empty() const {
    return batches_.empty() && removed_.empty();
  }

  // The key of a sheet that holds the job; nothing: there is none, as of `revision`.
  std::optional<std::string> find(const std::string& ref) const;
  // Whether a sheet with it has gone not long ago. Its final state is there to be read, but an answer that
  // was under way meanwhile need not show it.
  bool recently_removed(const std::string& ref) const {
    return removed_.contains(ref);
  }
  std::size_t batch_count() const {
    return batches_.size();
  }

 private:
  static constexpr Seconds kRemovedJobMemory = 60;
  std::optional<std::uint64_t> revision_;
  std::unordered_map<std::string, std::vector<std::string>> batches_;
  std::unordered_multimap<std::string, std::string> by_ref_;
  std::unordered_map<std::string, Seconds> removed_;
  std::deque<std::pair<Seconds, std::string>> removal_order_;
};

}  // namespace wingtrail::admission
