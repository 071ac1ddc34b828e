/// @file
/// Final states: what the leader remembers of them, and up to when it has recorded them.
#include <algorithm>

#include "controller/controller.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {
void Controller::on_final_state(const std::string& ref, const wire::FinalState& ended) {
  if (!final_states_.insert(ref, ended))
    return;
  if (election_.holds_leadership())
    dependencies_.on_final_state(ref, {ended.phase == wire::Phase::done,
                                       ended.ended_at ? to_steady_time(*ended.ended_at) : out_.now()});
}

// What the others may rely on when this leader does not answer them: up to when all that follows from
// cancellations is recorded. It stands still after a failover until every dependency is known that was not
// live, and goes no further than the oldest end that waits to be recorded, however many wait before it.
void Controller::update_final_states_recorded_until() {
  while (!unknown_dependencies_.empty() &&
         !dependencies_.awaits_unknown(unknown_dependencies_.front().second))
    unknown_dependencies_.pop_front();
  Seconds recorded_until = out_.now();
  if (!unknown_dependencies_.empty()) {
    recorded_until = unknown_dependencies_.front().first;
    if (recorded_until <= loaded_at_)
      return;
  }
  // One that its user cancelled too may be recorded as that.
  for (const auto kind : {jobs::RecordKind::orphaned, jobs::RecordKind::cancelled})
    recorded_until = std::min(recorded_until, state_writer_.oldest_unrecorded(kind).value_or(recorded_until));
  final_states_recorded_until_ = recorded_until;
}

}  // namespace wingtrail::controller
