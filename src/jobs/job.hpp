/// One job that is not over yet, and its tasks, as the leader sees them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/dense_index.hpp"
#include "jobs/write_shares.hpp"
#include "ports/outbox.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::jobs {

using ports::Seconds;

enum class TaskState : std::uint8_t { pending, placed, done };

/// One task of a job. Its number is its position in Job::tasks.
struct Task {
  TaskState state = TaskState::pending;
  bool running = false;                ///< its worker reports that it runs; only while it is placed
  MachineIndex machine;                ///< that it is placed on, else kNoIndex
  std::uint32_t pending_position = 0;  ///< its position in Job::pending_tasks while it is pending
};

/// A live job. All times are in seconds of the process's steady clock unless a field says otherwise.
///
/// The registry owns it and keeps its tasks and their counts consistent; whoever is named beside a group of
/// fields sets those.
struct Job {
  // ---- identity, set once by the registry
  JobIndex index;
  wire::JobSpec spec;  ///< as its user submitted it
  TeamIndex team;
  ImageIndex image;
  ClassIndex job_class;
  ZoneIndex zone;                       ///< that its tasks must run in; kNoIndex: any
  std::vector<MachineTypeIndex> types;  ///< that its tasks may run on; empty: any
  std::uint64_t created_revision = 0;   ///< revision of its creation in the state service
  bool has_own_key =
      true;  ///< it has a key of its own, j/REF; else it is in job batches alone (job_batches.hpp)
  Seconds submitted_at = 0;  ///< what its own deadline counts from
  /// What all other times count from: it was submitted, and all its dependencies are done.
  Seconds eligible_since = 0;

  // ---- dependencies, set by DependencyGraph. A held job has no part in anything but their final states.
  std::uint32_t unmet_dependencies = 0;  ///< jobs that it depends on and that are not known to be done
  bool orphaned = false;                 ///< one of them is cancelled, so it can never start
  Seconds orphaned_at = 0;               ///< since then, or since its submission if that was later
  /// Its own priority, or that of a job that depends on it if that is higher.
  wire::Priority effective_priority{};
  Seconds latest_finish = ports::kNever;  ///< when it must be over for those that depend on it

  // ---- remote placement, set by the controller's offloading
  bool placed_remotely = false;  ///< another cell holds it, or may: nothing of it starts here
  std::uint64_t visited_cells =
      0;  ///< bit set of neighbour cells that it was handed on to and came back from
  bool selected_for_offload = false;  ///< it would start sooner in another cell, and is not started here
  std::string origin_cell;            ///< the cell that it came from; empty: it was submitted to this one

  // ---- tasks, set by the registry
  std::vector<Task> tasks;
  std::vector<std::uint32_t> pending_tasks;  ///< task numbers, in no order that matters; the next one last
  std::uint32_t done_tasks = 0;
  std::uint32_t running_tasks = 0;
  std::uint32_t placed_tasks = 0;             ///< running ones included
  std::vector<std::uint32_t> placed_by_zone;  ///< placed tasks, by ZoneIndex

  // ---- final state, set by the state writer but for the first and the cancellation marker
  bool cancelling = false;               ///< its user wants it cancelled; its tasks must be gone first
  bool final_state_pending = false;      ///< its final state is decided and being persisted
  bool final_state_recorded = false;     ///< its final state is persisted
  bool final_state_sent = false;         ///< its final state may be persisted, for all that is known here
  bool has_cancellation_marker = false;  ///< there is a record that its user wants it cancelled
  wire::Phase final_phase = wire::Phase::queued;         ///< meaningful once it is pending
  RecordKind final_record_kind = RecordKind::completed;  ///< meaningful while it is pending
  Seconds final_state_decided_at = 0;
  Seconds record_order = 0;  ///< its place among final states of its kind: the earlier go first

  // ---- failure history. A task that fails where others succeed points at its machine, one that fails
  // everywhere at the job.
  std::vector<MachineIndex> failed_machines;
  std::uint32_t error_count = 0;
  Seconds last_start_at = 0;
  std::uint32_t lost_starts = 0;   ///< starts that came to nothing, for whatever cause
  bool has_succeeded = false;      ///< one of its tasks did
  Seconds not_before = 0;          ///< its tasks are not started again before
  std::uint64_t gang_attempt = 0;  ///< the attempt that the placed tasks of a gang were started as

  bool is_service() const {
    return spec.shape == wire::Shape::service;
  }
  bool is_gang() const {
    return spec.shape == wire::Shape::gang;
  }
  /// No final state is decided.
  bool is_open() const {
    return !final_state_pending && !final_state_recorded;
  }
  /// None of its tasks may be started here.
  bool is_held() const {
    return unmet_dependencies > 0 || orphaned || cancelling || placed_remotely;
  }
  wire::Phase phase() const {
    return running_tasks > 0 ? wire::Phase::running : wire::Phase::queued;
  }
};

}  // namespace wingtrail::jobs
