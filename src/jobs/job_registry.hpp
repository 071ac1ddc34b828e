/// @file
/// The live jobs, by reference and by index, and the tables of the names that occur in them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dense_index.hpp"
#include "jobs/job.hpp"
#include "jobs/name_table.hpp"
#include "settings/settings.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::jobs {

/// Owns the live jobs and keeps their tasks' states and task counts consistent.
class JobRegistry {
 public:
  explicit JobRegistry(const settings::Settings& settings);

  /// The teams of the settings in their order, then those that only job records name.
  NameTable<TeamIndex> teams;
  NameTable<ImageIndex> images;
  NameTable<ClassIndex> classes;
  NameTable<ZoneIndex> zones;
  NameTable<MachineTypeIndex> types;

  /// Called when a task of the job is pending again.
  std::function<void(Job&)> on_pending;
  /// Called when the number of the job's tasks placed in the zone changes by `tasks`.
  std::function<void(const Job&, ZoneIndex zone, int tasks)> on_placed;

  /// Adds a job with all its tasks pending, or returns the known job of that reference. `created_revision` is
  /// the revision of its creation in the state service, `submitted_at` its submission by the steady clock in
  /// s.
  Job& add(const wire::JobSpec& spec, std::uint64_t created_revision, Seconds submitted_at);
  /// Size of the image in GB; 0 if it is unknown.
  double image_gb(ImageIndex image) const {
    return image < image_gb_.size() ? image_gb_[image] : 0;
  }
  /// Returns null if no live job has that reference.
  Job* find(const std::string& ref);
  /// Returns null if the index is kNoIndex or the job has been erased.
  Job* job_at(JobIndex index) {
    return index < jobs_.size() ? jobs_[index].get() : nullptr;
  }
  void clear();
  /// Erases the job if its final state is recorded and no machine holds a task of it.
  void erase_if_over(Job& job);
  /// Erases a job whose record was read although it has a final state; nothing else refers to it yet.
  void forget(const std::string& ref);
  /// Visits every live job in unspecified order. For work that is done at most once a second.
  template <typename Visitor>
  void for_each(Visitor visit) {
    for (const auto& [ref, index] : by_ref_)
      visit(*jobs_[index]);
  }
  std::size_t live_count() const {
    return by_ref_.size();
  }
  /// Number of jobs of which no task may be started here; visits every live job.
  std::size_t held_count() const {
    return static_cast<std::size_t>(std::count_if(by_ref_.begin(), by_ref_.end(), [this](const auto& entry) {
      return jobs_[entry.second]->is_held();
    }));
  }

  /// Marks the task as placed on the machine: a start command is about to be sent, or the machine's worker
  /// lists the task in a heartbeat.
  void place_task(Job& job, std::uint32_t task, MachineIndex machine, ZoneIndex zone);
  void set_task_running(Job& job, std::uint32_t task, bool running);
  /// Makes a placed task pending again that is gone from its machine without being completed.
  void unplace_task(Job& job, std::uint32_t task, ZoneIndex zone);
  /// Marks the task as completed. `zone` is the zone in which it was placed, or kNoIndex if it was not
  /// placed.
  void complete_task(Job& job, std::uint32_t task, ZoneIndex zone);

 private:
  static void add_pending(Job& job, std::uint32_t task);
  static void remove_pending(Job& job, std::uint32_t task);

  std::unordered_map<std::string, JobIndex> by_ref_;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<double> image_gb_;
};

}  // namespace wingtrail::jobs
