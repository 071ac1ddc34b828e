/// @file
/// The leader's record of a live job and its tasks.
#pragma once

#include <algorithm>
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
  bool running = false;                ///< its worker reports that it runs; only set while it is placed
  MachineIndex machine;                ///< the machine that it is placed on; kNoIndex if it is not placed
  std::uint32_t pending_position = 0;  ///< its position in Job::pending_tasks while it is pending
};

/// The failures of a job's tasks on one machine.
struct MachineFailures {
  MachineIndex machine;
  /// Number of times that a task failed while the machine was not excluded.
  unsigned count = 0;
  Seconds excluded_until = 0;  ///< no task of the job is started on the machine before this time
};

/// A live job. All times are in seconds of the process's steady clock unless a field says otherwise.
///
/// The registry owns the jobs and keeps their tasks and task counts consistent. The heading of each group of
/// fields names the component that sets them.
struct Job {
  // ---- identity, set once by the registry
  JobIndex index;
  wire::JobSpec spec;  ///< as its user submitted it
  TeamIndex team;
  ImageIndex image;
  ClassIndex job_class;
  ZoneIndex zone;                       ///< the zone that its tasks must run in; kNoIndex: any
  std::vector<MachineTypeIndex> types;  ///< machine types that its tasks may run on; empty: any
  std::uint64_t created_revision = 0;   ///< revision of its creation in the state service
  /// True if it has a key of its own, j/REF; otherwise it is only in job batches (job_batches.hpp).
  bool has_own_key = true;
  Seconds submitted_at = 0;  ///< its own deadline counts from here
  /// When it was submitted or its last dependency was done, whichever is later. All times other than the
  /// deadline count from here.
  Seconds eligible_since = 0;

  // ---- dependencies, set by DependencyGraph. A held job only waits for the final states of its dependencies
  // and is otherwise ignored.
  std::uint32_t unmet_dependencies = 0;  ///< number of dependencies that are not known to be done
  bool orphaned = false;                 ///< a dependency is cancelled, so it can never start
  Seconds orphaned_at = 0;  ///< time of that cancellation, or of its submission if that was later
  /// Its own priority, or that of a job that depends on it if that is higher.
  wire::Priority effective_priority{};
  Seconds latest_finish = ports::kNever;  ///< when it must be over for its dependents to keep their deadlines

  // ---- remote placement, set by the controller's offloading
  bool placed_remotely = false;  ///< another cell holds it or may hold it: none of its tasks starts here
  /// Bit set of the neighbour cells to which it was offloaded and from which it came back.
  std::uint64_t visited_cells = 0;
  bool selected_for_offload = false;  ///< it would start sooner in another cell and is not started here
  std::string origin_cell;            ///< the cell where the user submitted it; empty: this cell

  // ---- tasks, set by the registry
  std::vector<Task> tasks;
  /// Numbers of the pending tasks in no particular order; the last one is started next.
  std::vector<std::uint32_t> pending_tasks;
  std::uint32_t done_tasks = 0;
  std::uint32_t running_tasks = 0;
  std::uint32_t placed_tasks = 0;             ///< running ones included
  std::vector<std::uint32_t> placed_by_zone;  ///< placed tasks, by ZoneIndex

  // ---- final state, set by the state writer, except `cancelling` and `has_cancellation_marker`
  bool cancelling = false;           ///< its user requested its cancellation; its tasks must be stopped first
  bool final_state_pending = false;  ///< its final state is decided; stays set once it is persisted
  bool final_state_recorded = false;                     ///< its final state is persisted
  bool final_state_sent = false;                         ///< its final state was sent and may be persisted
  bool has_cancellation_marker = false;                  ///< the state service holds its cancellation marker
  wire::Phase final_phase = wire::Phase::queued;         ///< valid once final_state_pending is set
  RecordKind final_record_kind = RecordKind::completed;  ///< valid once final_state_pending is set
  Seconds final_state_decided_at = 0;
  Seconds record_order = 0;  ///< sort key among the final states of its kind; the smallest is written first

  // ---- failure history. A task that fails on one machine while others succeed points to a faulty machine;
  // one that fails on all machines points to a faulty job.
  std::vector<MachineFailures> failed_machines;
  std::uint32_t error_count = 0;
  Seconds last_start_at = 0;
  std::uint32_t lost_starts = 0;   ///< starts that did not lead to a completed task, for any reason
  bool has_succeeded = false;      ///< one of its tasks has succeeded
  Seconds not_before = 0;          ///< its tasks are not started again before this time
  std::uint64_t gang_attempt = 0;  ///< the attempt number shared by the placed tasks of a gang

  bool is_service() const {
    return spec.shape == wire::Shape::service;
  }
  bool is_gang() const {
    return spec.shape == wire::Shape::gang;
  }
  /// True until a final state is decided.
  bool is_open() const {
    return !final_state_pending && !final_state_recorded;
  }
  /// The failures of its tasks on the machine; null if there were none.
  const MachineFailures* find_failures(MachineIndex machine) const {
    const auto known =
        std::find_if(failed_machines.begin(), failed_machines.end(),
                     [machine](const MachineFailures& failures) { return failures.machine == machine; });
    return known == failed_machines.end() ? nullptr : &*known;
  }
  /// The same, to be changed; an entry is added if there were none.
  MachineFailures& failures_on(MachineIndex machine) {
    const MachineFailures* known = find_failures(machine);
    return known ? failed_machines[static_cast<std::size_t>(known - failed_machines.data())]
                 : failed_machines.emplace_back(MachineFailures{machine});
  }
  /// Whether a task failed on the machine so lately that no task of the job is started there now.
  bool excludes(MachineIndex machine, Seconds now) const {
    const MachineFailures* failures = find_failures(machine);
    return failures && now < failures->excluded_until;
  }
  /// True if none of its tasks may be started here.
  bool is_held() const {
    return unmet_dependencies > 0 || orphaned || cancelling || placed_remotely;
  }
  wire::Phase phase() const {
    return running_tasks > 0 ? wire::Phase::running : wire::Phase::queued;
  }
};

}  // namespace wingtrail::jobs
