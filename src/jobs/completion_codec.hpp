// How completed tasks are written down.
#pragma once

#include <functional>
#include <utility>

#include "jobs/job_registry.hpp"

namespace wingtrail::jobs {

// Completed tasks are kept as text, six to a character, in chunks that stay well below the value limit.
class CompletionCodec {
 public:
  explicit CompletionCodec(double value_kb);
  std::uint32_t tasks_per_chunk() const {
    return tasks_per_chunk_;
  }
  std::uint32_t chunks(const Job& job) const {
    return (job.spec.tasks + tasks_per_chunk_ - 1) / tasks_per_chunk_;
  }
  std::uint32_t chunk_of(std::uint32_t task) const {
    return task / tasks_per_chunk_;
  }
  // The chunks that a record has a part of. One written under another limit can have a part of several.
  std::pair<std::uint32_t, std::uint32_t> chunk_range(const wire::Value& value, std::uint32_t tasks) const;
  std::size_t max_encoded_bytes(const Job& job, std::uint32_t chunk) const;  // at most, encoded
  wire::Value encode(const Job& job, std::uint32_t chunk) const;
  // Calls `done` for every completed task; false if the record makes no sense.
  bool decode(const wire::Value& value, std::uint32_t tasks,
              const std::function<void(std::uint32_t)>& done) const;

 private:
  std::uint32_t tasks_per_chunk_;
};

}  // namespace wingtrail::jobs
