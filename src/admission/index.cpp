#include "admission/index.hpp"

#include <algorithm>

#include "jobs/sheets.hpp"

namespace wingtrail::admission {

void Index::sheet(const std::string& key, const wire::Value& value) {
  if (sheets_.contains(key))
    return;  // a sheet never changes
  auto& refs = sheets_[key];
  jobs::each_record(value, [&](const std::string& ref, const wire::Value&) {
    refs.push_back(ref);
    by_ref_.emplace(ref, key);
  });
}

void Index::gone(const std::string& key, Seconds now) {
  const auto sheet = sheets_.extract(key);
  if (sheet.empty())
    return;
  for (const std::string& ref : sheet.mapped()) {
    const auto [first, last] = by_ref_.equal_range(ref);
    const auto it = std::find_if(first, last, [&key](const auto& e) { return e.second == key; });
    if (it != last)
      by_ref_.erase(it);
    gone_[ref] = now;
    gone_order_.emplace_back(now, ref);
  }
}

void Index::reached(std::uint64_t revision, Seconds now) {
  revision_ = std::max(revision_.value_or(0), revision);
  while (!gone_order_.empty() && gone_order_.front().first < now - kRemembered) {
    const auto it = gone_.find(gone_order_.front().second);
    if (it != gone_.end() && it->second == gone_order_.front().first)
      gone_.erase(it);
    gone_order_.pop_front();
  }
}

std::optional<std::string> Index::find(const std::string& ref) const {
  const auto it = by_ref_.find(ref);
  return it == by_ref_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace wingtrail::admission
