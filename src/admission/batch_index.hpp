/// @file
/// Index of the job batches (jobs/job_batches.hpp) in the state service.
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

/// Finds the job batch that contains a job. A job in a batch has no key of its own, so every controller
/// follows the keys of the batches. That the index lacks a job proves that no batch contained it only for
/// revisions up to revision().
class BatchIndex {
 public:
  /// Empties the index before the batches are read anew.
  void reset() {
    *this = {};
  }
  void add_batch(const std::string& key, const wire::Value& value);
  void remove_batch(const std::string& key, Seconds now);
  /// Declares all changes up to `revision` applied, and forgets jobs that were removed more than 60 s ago.
  void advance_to(std::uint64_t revision, Seconds now);
  /// Whether all batches have been read, as of revision().
  bool complete() const {
    return revision_.has_value();
  }
  std::uint64_t revision() const {
    return revision_.value_or(0);
  }
  /// Whether there is no batch, and none was removed recently.
  bool empty() const {
    return batches_.empty() && removed_.empty();
  }

  /// The key of a batch that contains the job; nothing if there is none as of revision().
  std::optional<std::string> find(const std::string& ref) const;
  /// Whether a batch with the job was deleted recently. The job's final state can be read then, but a reply
  /// of the state service that was in flight at the deletion may not show it.
  bool recently_removed(const std::string& ref) const {
    return removed_.contains(ref);
  }
  std::size_t batch_count() const {
    return batches_.size();
  }

 private:
  static constexpr Seconds kRemovedJobRetention = 60;

  std::optional<std::uint64_t> revision_;
  std::unordered_map<std::string, std::vector<std::string>> batches_;  // references by key
  std::unordered_multimap<std::string, std::string> by_ref_;           // key by reference
  std::unordered_map<std::string, Seconds> removed_;                   // removal time by reference
  std::deque<std::pair<Seconds, std::string>> removal_order_;
};

}  // namespace wingtrail::admission
