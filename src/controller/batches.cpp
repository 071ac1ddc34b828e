/// @file
/// Controller: its share of the budget for the state service, and jobs that are stored in job batches.
#include "controller/controller.hpp"

namespace wingtrail::controller {

// Whether all controllers support job batches. A controller whose version or settings do not support
// them would not find the jobs.
bool Controller::may_create_batches() const {
  return settings_.tunables.fair_admission > 0 && peers_.all_support_batches();
}

// Versions without job batches do not support budget shares either and use a fixed part of the budget. While
// a peer runs such a version, all controllers use fixed parts.
bool Controller::shares_are_fixed() const {
  return peers_.any_lacks_batches();
}

store::StateClient::BudgetShare Controller::budget_share() const {
  const bool is_leader = election_.may_act();
  if (!shares_are_fixed())
    return {request_shares_.own_share(out_.now(), is_leader), write_shares_.own_share(out_.now(), is_leader),
            false};
  const double part = store::StateClient::default_share(election_.holds_leadership(), peers_.size());
  return {part, part, true};
}

// Adds a live job that the leader has read. A record whose read began in an earlier term is ignored: the job
// may have become final since, under another leader, and users may have been answered so.
void Controller::on_live_job_read(const LiveRecord& live) {
  if (live.term != term_)
    return;
  on_job_read(live.spec, live.version, jobs::is_batch_key(live.key) ? live.key : "");
}

// A job batch outlives some of its jobs, so a new leader reads which of them have a final state. No other
// controller can write a final state meanwhile: earlier leaders' writes are conditioned on the leader's key.
void Controller::drop_jobs_with_final_state(std::function<void()> then) {
  std::vector<std::string> refs;
  registry_.for_each([&](const jobs::Job& job) {
    if (state_writer_.batches().contains(job.index))
      refs.push_back(job.spec.ref);
  });
  final_state_query_.start(std::move(refs),
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
