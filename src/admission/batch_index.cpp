#include "admission/batch_index.hpp"

#include <algorithm>

#include "jobs/job_batches.hpp"

namespace wingtrail::admission {

void BatchIndex::add_batch(const std::string& key, const wire::Value& value) {
  if (batches_.contains(key))
    return;  // a batch never changes
  auto& refs = batches_[key];
  jobs::for_each_record(value, [&](const std::string& ref, const wire::Value&) {
    refs.push_back(ref);
    by_ref_.emplace(ref, key);
  });
}

void BatchIndex::remove_batch(const std::string& key, Seconds now) {
  const auto batch = batches_.extract(key);
  if (batch.empty())
    return;
  for (const std::string& ref : batch.mapped()) {
    const auto [first, last] = by_ref_.equal_range(ref);
    const auto it = std::find_if(first, last, [&key](const auto& entry) { return entry.second == key; });
    if (it != last)
      by_ref_.erase(it);
    removed_[ref] = now;
    removal_order_.emplace_back(now, ref);
  }
}

void BatchIndex::advance_to(std::uint64_t revision, Seconds now) {
  revision_ = std::max(revision_.value_or(0), revision);
  while (!removal_order_.empty() && removal_order_.front().first < now - kRemovedJobRetention) {
    const auto it = removed_.find(removal_order_.front().second);
    if (it != removed_.end() && it->second == removal_order_.front().first)
      removed_.erase(it);
    removal_order_.pop_front();
  }
}

std::optional<std::string> BatchIndex::find(const std::string& ref) const {
  const auto it = by_ref_.find(ref);
  return it == by_ref_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace wingtrail::admission
