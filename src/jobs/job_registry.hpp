/// The jobs that are not over yet, by reference and by index, and the tables of names that occur in them.
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

/// Owns the live jobs and keeps the states of their tasks and the counts of these consistent.
class JobRegistry {
 public:
  explicit JobRegistry(const settings::Settings& settings);

  NameTable<TeamIndex> teams;
  NameTable<ImageIndex> images;
  NameTable<ClassIndex> classes;
  NameTable<ZoneIndex> zones;
  NameTable<MachineTypeIndex> types;

  /// A task of the job is pending again.
  std::function<void(Job&)> on_pending;
  /// That many of the job's tasks were placed in the zone; negative: they left it.
  std::function<void(const Job&, ZoneIndex zone, int tasks)> on_placed;

  /// Adds the job, all tasks pending; returns the known one if there is one of that reference.
  Job& add(const wire::JobSpec& spec, std::uint64_t created, Seconds submitted);
  /// Size of the image; 0 if it is unknown.
  double image_gb(ImageIndex image) const {
    return image < image_gb_.size() ? image_gb_[image] : 0;
  }
  /// Null if no live job has that reference.
  Job* find(const std::string& ref);
  /// Null if the index is kNoIndex or the job has been erased.
  Job* job_at(JobIndex index) {
    return index < jobs_.size() ? jobs_[index].get() : nullptr;
  }
  void clear();
  /// Erases the job if its final state is recorded and no machine holds a task of it.
  void erase_if_over(Job& job);
  /// Erases a job whose record was read although it has a final state; nothing else refers to it yet.
  void forget(const std::string& ref);
  /// Visits every live job, in no order that matters; for what is done once a second at most.
  template <typename Visitor>
  void for_each(Visitor visit) {
    for (const auto& [ref, index] : by_ref_)
      visit(*jobs_[index]);
  }
  std::size_t live_count() const {
    return by_ref_.size();
  }
  /// Jobs of which no task may be started here.
  std::size_t held_count() const {
    return static_cast<std::size_t>(std::count_if(by_ref_.begin(), by_ref_.end(), [this](const auto& entry) {
      return jobs_[entry.second]->is_held();
    }));
  }

  /// A command to start the task on the machine is about to be sent, or its worker reports it.
  void place_task(Job& job, std::uint32_t task, MachineIndex machine, ZoneIndex zone);
  void set_task_running(Job& job, std::uint32_t task, bool running);
  /// The task is not on its machine any more and was not completed: it is pending again.
  void unplace_task(Job& job, std::uint32_t task, ZoneIndex zone);
  /// `zone` is where the task was placed; kNoIndex: it was not.
  void complete_task(Job& job, std::uint32_t task, ZoneIndex zone);

 private:
  static void add_pending(Job& job, std::uint32_t task);
  static void remove_pending(Job& job, std::uint32_t task);

  std::unordered_map<std::string, JobIndex> by_ref_;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<double> image_gb_;
};

}  // namespace wingtrail::jobs
