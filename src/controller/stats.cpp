/// @file
/// Collects the counters and gauges of a controller from its components, and logs them periodically.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kStatsInterval = 10;
constexpr Seconds kMaxReportedAge = 1e6;  // stands for "never"

void add_load(Stats& stats, const balancing::LoadSnapshot& snapshot, const jobs::JobRegistry& registry,
              Seconds now) {
  for (const auto& [key, load] : snapshot.loads()) {
    stats.loads.push_back({registry.teams[key.first], registry.classes[key.second], load.cores_in_use,
                           load.cores_waiting, load.oldest_wait, load.recent_arrivals.per_s(now),
                           load.surge(now), load.served_share(), load.largest_zone_share()});
  }
  for (jobs::ZoneIndex zone{0}; zone < snapshot.cores_by_zone().size(); ++zone)
    stats.cores_by_zone.emplace_back(registry.zones[zone], snapshot.cores_by_zone()[zone]);
  for (const auto& [reason, cores] : snapshot.waiting_cores_by_reason())
    stats.waiting_cores_by_reason.emplace_back(std::string(reason), cores);
}

void add_migrations(Stats& stats, const scheduling::Scheduler& scheduler) {
  for (const auto cause : {balancing::MigrationCause::slow_machine, balancing::MigrationCause::draining}) {
    const auto& counts = scheduler.migrations().counts(cause);
    stats.migrations_begun += counts.begun;
    stats.migrations_done += counts.done;
    stats.migrations_failed += counts.failed;
    stats.migrations_lost_work_s += counts.lost_work_s;
  }
}
}  // namespace

Stats Controller::stats() const {
  Stats s = stats_;
  s.refused_messages = {{"submission", submission_.counts().refused_messages},
                        {"heartbeat", heartbeats_.refused()},
                        {"command_reply", workers_.refused_replies()},
                        {"forwarded_reply", peer_calls_.refused_replies()},
                        {"offer", refused_offers_}};
  s.heartbeats = heartbeats_.count();
  s.submissions = submission_.counts().submitted;
  s.jobs_accepted = submission_.counts().accepted;
  s.submissions_refused = submission_.counts().refused;
  s.forwarded_requests = peer_calls_.count();
  s.queries_deferred = queries_.deferral_counts();
  s.queries_not_forwarded = queries_.not_forwarded_count();
  s.unanswered_jobs = queries_.unanswered().count();
  s.longest_unanswered_s = queries_.unanswered().longest(out_.now());
  s.overdue_jobs = queries_.unanswered().overdue_count();
  s.lookups_waiting = query_lookups_.waiting_count();
  s.lookups_expired = query_lookups_.counts().expired;
  s.comparisons = query_lookups_.counts().comparisons;
  s.jobs_compared = query_lookups_.counts().jobs_compared;
  s.delegated_renewals = delegated_renewal_.counts().renewals;
  s.delegations_granted = delegated_renewal_.counts().grants;
  s.cancellations_deferred = cancellation_.deferred_count();
  s.state_requests = store_.requests();
  s.state_throttled = store_.throttled();
  s.commands_sent = workers_.commands_sent();
  s.forgets = workers_.forgets();
  s.retained_attempts = workers_.retained_attempts();
  s.unexpected_attempts = workers_.unexpected_attempts();
  s.unknown_tokens = workers_.unknown_tokens();
  s.machines_rented = autoscaler_.machines_rented();
  s.machines_returned = autoscaler_.machines_returned();
  s.commits = state_writer_.commits();
  s.live_jobs = registry_.live_count();
  s.machines = workers_.live_machines().size();
  s.direct_calls = workers_.direct_calls();
  s.deadline_checks = workers_.deadline_checks();
  s.final_states_written = state_writer_.writes().final_states;
  s.inventory_written = state_writer_.writes().inventory;
  s.completions_written = state_writer_.writes().completions;
  s.final_state_backlogs = state_writer_.backlogs();
  s.leader_fencing_token = election_.leader_fencing_token();
  s.leaderless_s = leader_absence_.absent_for(out_.now());
  s.leader_key_without_lease =
      election_.leader_key().presence == leadership::LeaderKeyView::Presence::present &&
      !election_.leader_key().key.attached_lease;
  s.state_writes = s.final_states_written + s.inventory_written + s.completions_written;
  s.pages_split = state_writer_.pages_split();
  s.malformed_commits = state_writer_.malformed_commits();
  s.held_jobs = registry_.held_count();
  s.record_pages = state_writer_.page_count();
  s.tasks_started = scheduler_.tasks_started();
  s.machines_examined = scheduler_.machines_examined();
  s.jobs_examined = scheduler_.jobs_examined();
  s.tasks_preempted = scheduler_.tasks_preempted();
  s.tasks_reclaimed = scheduler_.tasks_reclaimed();
  s.liveness_sweeps = workers_.liveness_sweeps();
  s.reconciled_after_s = workers_.reconciled_after();
  s.leading = is_active_leader();
  add_load(s, scheduler_.load(), registry_, out_.now());
  s.zone_states = zone_reporter_.states();
  s.zones_lost = zone_reporter_.counts().lost;
  s.zones_returned = zone_reporter_.counts().recovered;
  add_migrations(s, scheduler_);
  s.slow_machines = scheduler_.slow_machines();
  const auto& admitted = creation_queue_.counts();
  s.batches_created = admitted.batches;
  s.batched_jobs = admitted.batched_jobs;
  s.creations_deferred = admitted.deferred;
  s.records_deleted = state_writer_.writes().deletions;
  s.admissions_waiting = creation_queue_.waiting_count();
  s.live_batches = batches_.index().batch_count();
  if (settings_.tunables.fair_admission > 0)
    s.state_share = budget_share().writes;
  s.state_demand = store_.recent_demand().writes;
  s.loan_age_s = election_.may_act() ? 0 : std::min(kMaxReportedAge, write_shares_.loan_age(out_.now()));
  s.deferred_by_class.assign(creation_queue_.deferred_by_class().begin(),
                             creation_queue_.deferred_by_class().end());
  for (std::size_t c = 0; c < neighbours_.size(); ++c) {
    const NeighbourState& neighbour = neighbours_[c];
    const auto& digest = neighbour.digest;
    s.cells.push_back({settings_.cells.neighbours[c].name,
                       static_cast<double>(remote_placements_.count_at(c)),
                       std::min(kMaxReportedAge, out_.now() - neighbour.last_digest_at),
                       digest ? digest->accepts_cores : 0, digest ? digest->wait_s : 0});
  }
  return s;
}

void Controller::log_stats() {
  const Stats s = stats();
  spdlog::debug(
      "stats: totals heartbeats={} direct_calls={} commands={} deadline_checks={} tasks_started={} "
      "tasks_preempted={} tasks_reclaimed={} machines_examined={} jobs_examined={} state_requests={} "
      "state_throttled={} state_writes={} final_states={} inventory={} completions={} forwarded={} "
      "live_jobs={} held_jobs={} machines={} pages={}",
      s.heartbeats, s.direct_calls, s.commands_sent, s.deadline_checks, s.tasks_started, s.tasks_preempted,
      s.tasks_reclaimed, s.machines_examined, s.jobs_examined, s.state_requests, s.state_throttled,
      s.state_writes, s.final_states_written, s.inventory_written, s.completions_written,
      s.forwarded_requests, s.live_jobs, s.held_jobs, s.machines, s.record_pages);
  spdlog::debug(
      "stats: queries unanswered={} longest_unanswered_s={:.0f} overdue={} not_forwarded={} waiting={} "
      "expired={} comparisons={} jobs_compared={}",
      s.unanswered_jobs, s.longest_unanswered_s, s.overdue_jobs, s.queries_not_forwarded, s.lookups_waiting,
      s.lookups_expired, s.comparisons, s.jobs_compared);
  for (const Stats::ClassLoad& load : s.loads) {
    spdlog::debug(
        "stats: load class={} team={} cores_in_use={:.0f} cores_waiting={:.0f} oldest_wait_s={:.0f} "
        "arriving_cores={:.0f} surge={:.1f} served_share={:.3f}",
        load.job_class, load.team, load.cores_in_use, load.cores_waiting, load.oldest_wait_s,
        load.arriving_cores, load.surge, load.served_share);
  }
  for (const auto& [reason, cores] : s.waiting_cores_by_reason)
    spdlog::debug("stats: waiting filter=\"{}\" cores={:.0f}", reason, cores);
  out_.after(kStatsInterval, [this] { log_stats(); });
}

}  // namespace wingtrail::controller
