/// @file
/// This controller's share of the state service's budget, and jobs that were found in batches.
#include "controller/controller.hpp"

namespace wingtrail::controller {

// Whether every controller creates job batches: none has a version, or settings, that would not find the
// jobs.
bool Controller::may_create_batches() const {
  return settings_.tunables.fair_admission > 0 && peers_.all_support_batches();
}

// A peer that keeps to no shares uses the fixed part that it always had, and so do the others then.
bool Controller::shares_are_fixed() const {
  return peers_.any_lacks_batches();
}

store::StateClient::BudgetShare Controller::budget_share() const {
  const bool leads = election_.may_act();
  if (!shares_are_fixed())
    return {request_shares_.own_share(out_.now(), leads), write_shares_.own_share(out_.now(), leads), false};
  const double part = store::StateClient::default_share(election_.holds_leadership(), peers_.size());
  return {part, part, true};
}

// The leader takes a job in that it read itself. A record that an earlier leadership of this controller asked
// for tells nothing: the job may have ended, and users been told, under a leader in between.
void Controller::on_live_job_read(const LiveRecord& live) {
  if (live.term != term_)
    return;
  on_job_read(live.spec, live.version, jobs::is_batch_key(live.key) ? live.key : "");
}

// A batch outlives some of its jobs, so whoever begins to lead asks which have a final state. Nobody but this
// leader can write one any more: earlier leaders' writes are conditioned on their key.
void Controller::drop_jobs_with_final_state(std::function<void()> then) {
  std::vector<std::string> refs;
  registry_.for_each([&](const jobs::Job& job) {
    if (state_writer_.batches().contains(job.index))
      refs.push_back(job.spec.ref);
  });
  final_state_query_.ask(std::move(refs),
                         [this, then = std::move(then)](const std::set<std::string>& with_final_state) {
                           for (const std::string& ref : with_final_state) {
                             if (const jobs::Job* job = registry_.find(ref))
                               state_writer_.batches().on_job_over(job->index);
                             registry_.forget(ref);
                           }
                           state_writer_.delete_empty_batches();
                           then();
                         });
}

}  // namespace wingtrail::controller
