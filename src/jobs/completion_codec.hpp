/// @file
/// Encodes the set of a job's completed tasks for storage.
#pragma once

#include <functional>

#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

/// Encodes completed tasks as text, six tasks per character, in chunks that stay well below the value limit.
class CompletionCodec {
 public:
  /// The numbers of the first and the last chunk of a range, both included.
  struct ChunkRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
  };
  /// `value_kb` is the state service's value limit in KiB.
  explicit CompletionCodec(double value_kb);
  std::uint32_t tasks_per_chunk() const {
    return tasks_per_chunk_;
  }
  /// Number of chunks that hold the job's tasks.
  std::uint32_t chunks(const Job& job) const {
    return (job.spec.tasks + tasks_per_chunk_ - 1) / tasks_per_chunk_;
  }
  std::uint32_t chunk_of(std::uint32_t task) const {
    return task / tasks_per_chunk_;
  }
  /// The chunks that a stored record overlaps. A record that was written under another value limit can
  /// overlap several.
  ChunkRange chunk_range(const wire::Value& value, std::uint32_t tasks) const;
  /// Upper bound of the chunk's encoded size in bytes.
  std::size_t max_encoded_bytes(const Job& job, std::uint32_t chunk) const;
  wire::Value encode(const Job& job, std::uint32_t chunk) const;
  /// Calls `on_completed` for every completed task; returns false if the record is malformed, in which case
  /// it may have been called for some tasks.
  bool decode(const wire::Value& value, std::uint32_t tasks,
              const std::function<void(std::uint32_t)>& on_completed) const;

 private:
  std::uint32_t tasks_per_chunk_;
};

}  // namespace wingtrail::jobs
