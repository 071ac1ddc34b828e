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

#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

inline constexpr const char* kBatchPrefix = "j/sheet/";  // and who wrote it, its process, a number
inline bool is_batch_key(std::string_view key) {
  return key.starts_with(kBatchPrefix);
}

// Calls `f(ref, record)` for each record of a sheet that names a job.
template <typename F>
void for_each_record(const wire::Value& sheet, F f) {
  if (!sheet.is_array())
    return;
  for (const wire::Value& record : sheet) {
    if (const auto ref = wire::text(record, "ref"))
      f(*ref, record);
  }
}

// Which live jobs each sheet holds, as the leader knows it; every event costs what it touches.
class JobBatches {
 public:
  void clear() {
    *this = {};
  }
  // It has been read whole, and some of its jobs are live.
  bool fully_read(const std::string& key) const {
    const auto it = batches_.find(key);
    return it != batches_.end() && it->second.fully_read;
  }
  // The sheet has been read; of its jobs, those are live that are held by now.
  void on_read(const std::string& key) {
    const auto it = batches_.try_emplace(key).first;
    it->second.fully_read = true;
    erase_if_empty(it);
  }
  // It holds that live job. Of others that it holds nothing is known before it is read (seed 400310: a sheet
  // was deleted when the one job was over by which it was known).
  void add_live_job(const std::string& key, JobIndex job) {
    if (batches_[key].live_jobs.insert(job).second)
      batches_of_job_[job].push_back(key);
  }
  void on_job_over(JobIndex job) {
    const auto held = batches_of_job_.extract(job);
    if (held.empty())
      return;
    for (const std::string& key : held.mapped()) {
      const auto it = batches_.find(key);
      it->second.live_jobs.erase(job);
      erase_if_empty(it);
    }
  }
  bool contains(JobIndex job) const {
    return batches_of_job_.contains(job);
  }
  std::size_t size() const {
    return batches_.size();
  }
  // Sheets that have become empty, to be deleted; each is told once.
  std::vector<std::string> take_empty() {
    return std::exchange(empty_, {});
  }

 private:
  struct Batch {
    std::set<JobIndex> live_jobs;
    bool fully_read = false;
  };
  using BatchMap = std::unordered_map<std::string, Batch>;
  void erase_if_empty(BatchMap::iterator it) {
    if (!it->second.fully_read || !it->second.live_jobs.empty())
      return;
    empty_.push_back(it->first);
    batches_.erase(it);
  }
  BatchMap batches_;
  std::unordered_map<JobIndex, std::vector<std::string>> batches_of_job_;
  std::vector<std::string> empty_;
};

}  // namespace wingtrail::jobs
