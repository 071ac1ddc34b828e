/// @file
/// Job batches: the records of several jobs that were admitted together, stored in one value, since the state
/// service limits the number of changes. A batch never changes; it is deleted once none of its jobs is live.
/// A job of a batch is live as long as it has no final state, so a new leader looks up the jobs' final
/// states.
///
/// Two controllers may each put the same job into a batch. Both records mean the same job, and its final
/// state is valid for both.
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

/// Prefix of a batch's key; the controller that wrote the batch, its process and a number follow.
inline constexpr const char* kBatchPrefix = "j/sheet/";
inline bool is_batch_key(std::string_view key) {
  return key.starts_with(kBatchPrefix);
}

/// Calls `visit(ref, record)` for each record of the batch that has a job reference.
template <typename Visitor>
void for_each_record(const wire::Value& batch, Visitor visit) {
  if (!batch.is_array())
    return;
  for (const wire::Value& record : batch) {
    if (const auto ref = wire::text(record, "ref"))
      visit(*ref, record);
  }
}

/// The leader's view of the live jobs in each batch. Every operation takes time proportional to the jobs and
/// batches that it touches.
class JobBatches {
 public:
  void clear() {
    *this = {};
  }
  /// True if the batch has been read completely and some of its jobs are live.
  bool fully_read(const std::string& key) const {
    const auto it = batches_.find(key);
    return it != batches_.end() && it->second.fully_read;
  }
  /// Marks the batch as completely read: its live jobs are exactly those that add_live_job() was called for.
  void on_read(const std::string& key) {
    const auto it = batches_.try_emplace(key).first;
    it->second.fully_read = true;
    erase_if_empty(it);
  }
  /// Registers a live job of the batch. Until the batch has been read, it may hold other live jobs that are
  /// unknown here, so it is not deleted before.
  void add_live_job(const std::string& key, JobIndex job) {
    if (batches_[key].live_jobs.insert(job).second)
      batches_of_job_[job].push_back(key);
  }
  /// Removes a job that has a final state or a key of its own from its batches.
  void on_job_over(JobIndex job) {
    const auto keys = batches_of_job_.extract(job);
    if (keys.empty())
      return;
    for (const std::string& key : keys.mapped()) {
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
  /// Returns the keys of batches that have become empty and are to be deleted; each key is returned once.
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
