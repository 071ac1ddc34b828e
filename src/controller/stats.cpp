/// @file
/// The counters and gauges of a controller, collected from its parts.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kStatsInterval = 10;

void add_load(Stats& s, const balancing::LoadSnapshot& snapshot, const jobs::JobRegistry& registry,
              Seconds now) {
  for (const auto& [key, load] : snapshot.loads()) {
    s.loads.push_back({registry.teams[key.first], registry.classes[key.second], load.cores_in_use,
                       load.cores_waiting, load.oldest_wait, load.recent_arrivals.per_s(now), load.surge(now),
                       load.served_share(), load.largest_zone_share()});
  }
  for (jobs::ZoneIndex zone{0}; zone < snapshot.cores_by_zone().size(); ++zone)
    s.zones.emplace_back(registry.zones[zone], snapshot.cores_by_zone()[zone]);
  for (const auto& [why, cores] : snapshot.waiting_cores_by_reason())
    s.reasons.emplace_back(std::string(why), cores);
}

void add_migrations(Stats& s, const scheduling::Scheduler& scheduler) {
  for (const auto cause : {balancing::MigrationCause::slow_machine, balancing::MigrationCause::draining}) {
    const auto& c = scheduler.migrations().counts(cause);
    s.moves_begun += c.begun;
    s.moves_done += c.done;
    s.moves_failed += c.failed;
    s.moves_lost_s += c.lost_work_s;
  }
}
}  // namespace

Stats Controller::stats() const {
  Stats s = stats_;
  s.reports = heartbeats_.count();
  s.submitted = submission_.counts().submitted;
  s.admitted = submission_.counts().admitted;
  s.refused = submission_.counts().refused;
  s.forwarded = peer_calls_.count();
  s.questions_put_off = queries_.deferral_counts();
  s.custody_answers = delegated_renewal_.counts().renewals;
  s.grants = delegated_renewal_.counts().grants;
  s.aborts_put_off = cancellation_.deferred_count();
  s.state_calls = store_.requests();
  s.state_refused = store_.throttled();
  s.orders = workers_.commands_sent();
  s.hired = autoscaler_.machines_rented();
  s.returned = autoscaler_.machines_returned();
  s.commits = state_writer_.commits();
  s.live_jobs = registry_.live_count();
  s.machines = workers_.live_machines().size();
  s.direct_calls = workers_.direct_calls();
  s.deadlines = workers_.deadline_checks();
  s.ends_written = state_writer_.writes().final_states;
  s.roster_written = state_writer_.writes().inventory;
  s.progress_written = state_writer_.writes().completions;
  s.ends = state_writer_.backlogs();
  s.leader_token = election_.leader_fencing_token();
  s.state_writes = s.ends_written + s.roster_written + s.progress_written;
  s.pages_divided = state_writer_.pages_split();
  s.malformed = state_writer_.malformed_commits();
  s.held_jobs = registry_.held_count();
  s.record_pages = state_writer_.page_count();
  s.tasks_started = scheduler_.tasks_started();
  s.machines_examined = scheduler_.machines_examined();
  s.jobs_examined = scheduler_.jobs_examined();
  s.preempted = scheduler_.tasks_preempted();
  s.reclaimed = scheduler_.tasks_reclaimed();
  s.alarms = workers_.liveness_sweeps();
  s.settled_after_s = workers_.reconciled_after();
  s.leading = is_active_leader();
  add_load(s, scheduler_.load(), registry_, out_.now());
  s.zone_lives = zone_reporter_.states();
  s.zones_lost = zone_reporter_.counts().lost;
  s.zones_back = zone_reporter_.counts().recovered;
  add_migrations(s, scheduler_);
  s.slow_machines = scheduler_.slow_machines();
  const auto& admitted = creation_queue_.counts();
  s.sheets = admitted.batches;
  s.on_sheets = admitted.batched_jobs;
  s.put_off = admitted.deferred;
  s.swept = state_writer_.writes().deletions;
  s.admissions_waiting = creation_queue_.waiting_count();
  s.sheets_live = batches_.index().batch_count();
  if (settings_.tunables.fair_admission > 0)
    s.state_share = budget_share().writes;
  s.state_asked = store_.recent_demand().writes;
  s.agreed_age_s = election_.may_act() ? 0 : std::min(1e6, write_shares_.loan_age(out_.now()));
  s.put_off_by.assign(creation_queue_.deferred_by_class().begin(), creation_queue_.deferred_by_class().end());
  for (std::size_t c = 0; c < cell_views_.size(); ++c) {
    const CellView& v = cell_views_[c];
    s.cells.push_back({settings_.cells.neighbours[c].name,
                       static_cast<double>(remote_placements_.count_at(c)),
                       std::min(1e6, out_.now() - v.heard), v.digest ? v.digest->accepts_cores : 0,
                       v.digest ? v.digest->wait_s : 0});
  }
  return s;
}

void Controller::log_stats() {
  const Stats s = stats();
  spdlog::debug(
      "so far: {} reports, {} direct calls, {} orders, {} deadlines, {} tasks started, {} preempted, {} "
      "reclaimed, {} machines and {} jobs "
      "examined, {} state calls ({} held back), {} writes ({} ends, {} roster, {} progress), {} handed on; "
      "now {} "
      "jobs ({} wait for others), {} machines, {} pages",
      s.reports, s.direct_calls, s.orders, s.deadlines, s.tasks_started, s.preempted, s.reclaimed,
      s.machines_examined, s.jobs_examined, s.state_calls, s.state_refused, s.state_writes, s.ends_written,
      s.roster_written, s.progress_written, s.forwarded, s.live_jobs, s.held_jobs, s.machines,
      s.record_pages);
  for (const Stats::ClassLoad& l : s.loads) {
    spdlog::debug(
        "{} of {}: {:.0f} cores in use, {:.0f} wait, the longest for {:.0f} s; offered {:.0f}, {:.1f} times "
        "the usual; "
        "{:.3f} served",
        l.job_class, l.team, l.held, l.waiting, l.oldest_s, l.offered, l.surge, l.served_share);
  }
  for (const auto& [why, cores] : s.reasons)
    spdlog::debug("{:.0f} cores wait for {}", cores, why);
  out_.after(kStatsInterval, [this] { log_stats(); });
}

}  // namespace wingtrail::controller
