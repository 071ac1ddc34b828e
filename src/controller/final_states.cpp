/// @file
/// Controller: handles the final states that it learns of, and the time up to which the leader has recorded
/// final states.
#include <algorithm>

#include "controller/controller.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {
void Controller::on_final_state(const std::string& ref, const wire::FinalState& state) {
  if (!final_states_.insert(ref, state))
    return;
  if (election_.holds_leadership())
    dependencies_.on_final_state(ref, {state.phase == wire::Phase::done,
                                       state.ended_at ? to_steady_time(*state.ended_at) : out_.now()});
}

// Updates final_states_recorded_until_, the time up to which all final states that follow from cancellations
// are recorded (those of cancelled jobs and of jobs orphaned by them). Peers rely on this time when the
// leader does not answer them. It never passes the time since when a dependency's state is unknown, nor the
// time at which the oldest unrecorded final state of a cancelled or orphaned job was decided, even if later
// final states are already recorded.
void Controller::update_final_states_recorded_until() {
  while (!unknown_dependencies_.empty() &&
         !dependencies_.awaits_unknown(unknown_dependencies_.front().second))
    unknown_dependencies_.pop_front();
  Seconds recorded_until = out_.now();
  if (!unknown_dependencies_.empty()) {
    recorded_until = unknown_dependencies_.front().first;
    // After a failover the time does not advance until every dependency that is not live has been looked up.
    if (recorded_until <= loaded_at_)
      return;
  }
  // Both kinds count, since an orphaned job that its user also cancelled may be queued under `cancelled`.
  for (const auto kind : {jobs::RecordKind::orphaned, jobs::RecordKind::cancelled})
    recorded_until = std::min(recorded_until, state_writer_.oldest_unrecorded(kind).value_or(recorded_until));
  final_states_recorded_until_ = recorded_until;
}

// Takes over up to when the leader has recorded final states, from its frame, which may be a late copy.
void Controller::follow_recorded_final_states(const peer::Frame& received,
                                              std::optional<Seconds> request_sent) {
  if (!received.answers_heartbeats || !received.state_service_healthy || received.node != received.leader ||
      received.node != election_.leader())
    return;
  if (request_sent)
    leader_clock_.on_reply(received, *request_sent, out_.now());
  const auto sent = leader_clock_.earliest_sent(received, out_.now());
  if (!sent)
    return;
  // A leader whose version does not report the lag (-1) is assumed to have recorded all if it can write.
  final_states_recorded_until_ =
      std::max(final_states_recorded_until_, *sent - std::max(0.0, received.final_state_lag_s));
}

}  // namespace wingtrail::controller
