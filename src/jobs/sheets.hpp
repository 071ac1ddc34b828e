// Sheets: the records of several jobs that were admitted together, in one value. The state service counts
// changes, and a sheet is one. A sheet never changes; it is deleted when all its jobs are over. A job on a
// sheet is live as long as it has no final state, so whoever begins to lead asks for those.
//
// Two nodes may put the same job on a sheet each: it is the same job, and its final state ends it on both.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/registry.hpp"

namespace wingtrail::jobs {

inline constexpr const char* kSheet = "j/sheet/";  // and who wrote it, its process, a number
inline bool is_sheet(std::string_view key) {
  return key.starts_with(kSheet);
}

// Calls `f(ref, record)` for each record of a sheet that names a job.
template <typename F>
void each_record(const wire::Value& sheet, F f) {
  if (!sheet.is_array())
    return;
  for (const wire::Value& record : sheet) {
    if (const auto ref = wire::text(record, "ref"))
      f(*ref, record);
  }
}

// Which live jobs each sheet holds, as the leader knows it; every event costs what it touches.
class Sheets {
 public:
  void clear() {
    *this = {};
  }
  // It has been read whole, and some of its jobs are live.
  bool known(const std::string& key) const {
    const auto it = sheets_.find(key);
    return it != sheets_.end() && it->second.whole;
  }
  // The sheet has been read; of its jobs, those are live that are held by now.
  void read(const std::string& key) {
    const auto it = sheets_.try_emplace(key).first;
    it->second.whole = true;
    settle(it);
  }
  // It holds that live job. Of others that it holds nothing is known before it is read (seed 400310: a sheet
  // was deleted when the one job was over by which it was known).
  void hold(const std::string& key, Ix job) {
    if (sheets_[key].open.insert(job).second)
      of_[job].push_back(key);
  }
  void over(Ix job) {
    const auto held = of_.extract(job);
    if (held.empty())
      return;
    for (const std::string& key : held.mapped()) {
      const auto it = sheets_.find(key);
      it->second.open.erase(job);
      settle(it);
    }
  }
  bool holds(Ix job) const {
    return of_.contains(job);
  }
  std::size_t size() const {
    return sheets_.size();
  }
  // Sheets that have become empty, to be deleted; each is told once.
  std::vector<std::string> take_empty() {
    return std::exchange(empty_, {});
  }

 private:
  struct Sheet {
    std::set<Ix> open;
    bool whole = false;
  };
  using All = std::unordered_map<std::string, Sheet>;
  void settle(All::iterator it) {
    if (!it->second.whole || !it->second.open.empty())
      return;
    empty_.push_back(it->first);
    sheets_.erase(it);
  }
  All sheets_;
  std::unordered_map<Ix, std::vector<std::string>> of_;
  std::vector<std::string> empty_;
};

}  // namespace wingtrail::jobs
