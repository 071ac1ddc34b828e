/// Job batches: the records of several jobs that were admitted together, in one value. The state service
/// counts changes, and a batch is one. A batch never changes; it is deleted when none of its jobs is live. A
/// job of a batch is live as long as it has no final state, so a new leader asks for those.
///
/// Two nodes may each put the same job into a batch: it is the same job, and its final state ends it in both.
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

/// Followed by the node that wrote it, its process, and a number.
inline constexpr const char* kBatchPrefix = "j/sheet/";
inline bool is_batch_key(std::string_view key) {
  return key.starts_with(kBatchPrefix);
}

/// Calls `visit(ref, record)` for each record of a batch that names a job.
template <typename Visitor>
void for_each_record(const wire::Value& batch, Visitor visit) {
  if (!batch.is_array())
    return;
  for (const wire::Value& record : batch) {
    if (const auto ref = wire::text(record, "ref"))
      visit(*ref, record);
  }
}

/// Which live jobs each batch holds, as the leader knows it. Every operation takes time in proportion to the
/// jobs and batches that it touches.
class JobBatches {
 public:
  void clear() {
    *this = {};
  }
  /// The batch has been read whole, and some of its jobs are live.
  bool fully_read(const std::string& key) const {
    const auto it = batches_.find(key);
    return it != batches_.end() && it->second.fully_read;
  }
  /// The batch has been read whole: those of its jobs that add_live_job() named are its live ones.
  void on_read(const std::string& key) {
    const auto it = batches_.try_emplace(key).first;
    it->second.fully_read = true;
    erase_if_empty(it);
  }
  /// The batch holds that live job. Until the batch has been read, others that it holds may be unknown, so it
  /// is not deleted before.
  void add_live_job(const std::string& key, JobIndex job) {
    if (batches_[key].live_jobs.insert(job).second)
      batches_of_job_[job].push_back(key);
  }
  /// The job has a final state, or a key of its own.
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
  /// Keys of batches that have become empty, to be deleted; each is returned once.
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
