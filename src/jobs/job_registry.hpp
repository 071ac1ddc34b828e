// The jobs that are not over yet, as the leader sees them. Names become dense indices here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dense_index.hpp"
#include "jobs/name_table.hpp"
#include "jobs/write_shares.hpp"
#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::jobs {

using ports::Seconds;
enum class TaskState : std::uint8_t { pending, placed, done };

struct Task {
  TaskState state = TaskState::pending;
  bool running = false;
  MachineIndex machine;
  std::uint32_t pending_position = 0;  // where it stands in `pending`
};

struct Job {
  JobIndex index;
  wire::JobSpec spec;
  TeamIndex team;
  ImageIndex image;
  ClassIndex job_class;
  ZoneIndex zone;
  std::vector<MachineTypeIndex> types;  // empty: any
  std::uint64_t created_revision = 0;   // revision of its creation
  bool has_own_key = true;              // it has a key j/REF; else it is on sheets alone (jobs/sheets.hpp)
  Seconds submitted_at = 0;             // what its own deadline counts from
  Seconds eligible_since = 0;  // what all other times count from: it was submitted, and all it needs is done
  // Set by Chains. A job that waits for others has no part in anything but their ends.
  std::uint32_t unmet_dependencies = 0;  // jobs that it needs and that are not known to be done
  bool orphaned = false;                 // one of them is cancelled
  Seconds orphaned_at = 0;               // since then, or since it came if that was later
  bool placed_remotely = false;  // another cell holds it, or may (cells/stays.hpp): nothing of it starts here
  std::uint64_t visited_cells = 0;  // cells that it was handed on to, a bit each: it is over there
  bool selected_for_offload =
      false;                // it would begin sooner there, and goes once there is room: not begun here
  std::string origin_cell;  // the cell that it came from; empty: it is this one's own
  wire::Priority effective_priority{};    // its own, or that of a job that needs it
  Seconds latest_finish = ports::kNever;  // when it must be over for those that need it
  std::vector<Task> tasks;
  std::vector<std::uint32_t> pending_tasks;  // task numbers, in no order that matters; the next one last
  std::uint32_t done_tasks = 0, running_tasks = 0, placed_tasks = 0;
  std::vector<std::uint32_t> placed_by_zone;  // placed tasks by zone
  bool cancelling = false;                    // its user wants it cancelled; its tasks must be gone first
  bool final_state_pending = false;           // its final state is being persisted
  bool final_state_recorded = false;          // and has been
  bool final_state_sent = false;              // so it may have been, for all that is known here
  bool has_cancellation_marker = false;       // there is a record that its user wants it cancelled
  wire::Phase final_phase = wire::Phase::queued;
  RecordKind final_record_kind = RecordKind::completed;  // while it is closing
  Seconds final_state_decided_at = 0;                    // when its end was decided
  Seconds record_order = 0;  // its place among ends of its kind: the earlier go first
  // A task that fails where others succeed points at its machine; one that fails everywhere, at the job.
  std::vector<MachineIndex> failed_machines;
  std::uint32_t error_count = 0;
  Seconds last_start_at = 0;
  std::uint32_t lost_starts = 0;  // starts that came to nothing, for whatever cause
  bool has_succeeded = false;
  Seconds not_before = 0;
  std::uint64_t gang_attempt = 0;  // what the tasks of a gang that are placed now were started as

  bool is_service() const {
    return spec.shape == wire::Shape::service;
  }
  bool is_gang() const {
    return spec.shape == wire::Shape::gang;
  }
  bool is_open() const {
    return !final_state_pending && !final_state_recorded;
  }
  bool is_held() const {
    return unmet_dependencies > 0 || orphaned || cancelling || placed_remotely;
  }
  wire::Phase phase() const {
    return running_tasks > 0 ? wire::Phase::running : wire::Phase::queued;
  }
};

class JobRegistry {
 public:
  explicit JobRegistry(const settings::Settings& settings);

  NameTable<TeamIndex> teams;
  NameTable<ImageIndex> images;
  NameTable<ClassIndex> classes;
  NameTable<ZoneIndex> zones;
  NameTable<MachineTypeIndex> types;

  std::function<void(Job&)> on_pending;  // one of its tasks waits again
  // So many of its tasks came to that zone, or left it if there are less than none.
  std::function<void(const Job&, ZoneIndex zone, int tasks)> on_placed;

  Job& add(const wire::JobSpec& spec, std::uint64_t created, Seconds submitted);
  double image_gb(ImageIndex image) const {
    return image < image_gb_.size() ? image_gb_[image] : 0;
  }
  Job* find(const std::string& ref);
  Job* job_at(JobIndex ix) {
    return ix < jobs_.size() ? jobs_[ix].get() : nullptr;
  }
  void clear();
  // Frees a job that is over and that no machine holds a task of.
  void erase_if_over(Job& job);
  // A record was read of a job that turns out to have been over; nothing else knows of it yet.
  void forget(const std::string& ref);
  // Those that are not over; for what is done once a second at most.
  template <typename F>
  void for_each(F f) {
    for (const auto& [ref, ix] : by_ref_)
      f(*jobs_[ix]);
  }
  std::size_t live_count() const {
    return by_ref_.size();
  }
  std::size_t held_count() const {
    return static_cast<std::size_t>(std::count_if(
        by_ref_.begin(), by_ref_.end(), [this](const auto& j) { return jobs_[j.second]->is_held(); }));
  }

  void place_task(Job& job, std::uint32_t task, MachineIndex machine, ZoneIndex zone);
  void set_task_running(Job& job, std::uint32_t task, bool running);
  void unplace_task(Job& job, std::uint32_t task, ZoneIndex zone);
  void complete_task(Job& job, std::uint32_t task, ZoneIndex zone);  // zone kNoIndex: it was not placed

 private:
  static void add_pending(Job& job, std::uint32_t task);
  static void remove_pending(Job& job, std::uint32_t task);

  std::unordered_map<std::string, JobIndex> by_ref_;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<double> image_gb_;
};

}  // namespace wingtrail::jobs
