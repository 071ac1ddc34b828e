// How completed tasks are written down.
#pragma once

#include <functional>
#include <utility>

#include "jobs/registry.hpp"

namespace wingtrail::jobs {

// Completed tasks are kept as text, six to a character, in chunks that stay well below the value limit.
class ProgressCodec {
 public:
  explicit ProgressCodec(double value_kb);
  std::uint32_t chunk_tasks() const {
    return chunk_;
  }
  std::uint32_t chunks(const Job& job) const {
    return (job.spec.tasks + chunk_ - 1) / chunk_;
  }
  std::uint32_t chunk_of(std::uint32_t task) const {
    return task / chunk_;
  }
  // The chunks that a record has a part of. One written under another limit can have a part of several.
  std::pair<std::uint32_t, std::uint32_t> covers(const wire::Value& value, std::uint32_t tasks) const;
  std::size_t size(const Job& job, std::uint32_t chunk) const;  // at most, encoded
  wire::Value encode(const Job& job, std::uint32_t chunk) const;
  // Calls `done` for every completed task; false if the record makes no sense.
  bool decode(const wire::Value& value, std::uint32_t tasks,
              const std::function<void(std::uint32_t)>& done) const;

 private:
  std::uint32_t chunk_;
};

}  // namespace wingtrail::jobs
