/// The stored form of completed tasks.
#pragma once

#include <functional>

#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

/// Encodes completed tasks as text, six to a character, in chunks that stay well below the value limit.
class CompletionCodec {
 public:
  struct ChunkRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
  };
  explicit CompletionCodec(double value_kb);
  std::uint32_t tasks_per_chunk() const {
    return tasks_per_chunk_;
  }
  /// How many chunks the job's tasks make.
  std::uint32_t chunks(const Job& job) const {
    return (job.spec.tasks + tasks_per_chunk_ - 1) / tasks_per_chunk_;
  }
  std::uint32_t chunk_of(std::uint32_t task) const {
    return task / tasks_per_chunk_;
  }
  /// The first and the last chunk that a record has a part of: one that was written under another limit can
  /// span several.
  ChunkRange chunk_range(const wire::Value& value, std::uint32_t tasks) const;
  /// An upper bound of the encoded size.
  std::size_t max_encoded_bytes(const Job& job, std::uint32_t chunk) const;
  wire::Value encode(const Job& job, std::uint32_t chunk) const;
  /// Calls `done` for every completed task; false if the record is malformed.
  bool decode(const wire::Value& value, std::uint32_t tasks,
              const std::function<void(std::uint32_t)>& done) const;

 private:
  std::uint32_t tasks_per_chunk_;
};

}  // namespace wingtrail::jobs
