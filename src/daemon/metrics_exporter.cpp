#include "daemon/metrics_exporter.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstdint>

namespace wingtrail::daemon {
namespace {

// The metrics of one page, in the order in which they are added.
class MetricsPage {
 public:
  void gauge(const char* name, const char* help, double value) {
    gauges(name, help).Add({}).Set(value);
  }
  void counter(const char* name, const char* help, std::uint64_t value) {
    prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add({}).Increment(
        static_cast<double>(value));
  }
  // A gauge with labels; the page owns it.
  prometheus::Family<prometheus::Gauge>& gauges(const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
  }
  std::string text() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  prometheus::Registry registry_;
};

void add_request_metrics(const controller::Stats& stats, std::size_t client_connections, MetricsPage& page) {
  page.gauge("wingtrail_leading", "1 if this node may give orders", stats.leading ? 1 : 0);
  page.gauge("wingtrail_live_jobs", "jobs that are not over, as the leader knows them",
             static_cast<double>(stats.live_jobs));
  page.gauge("wingtrail_user_connections", "open connections of users and workers",
             static_cast<double>(client_connections));
  page.counter("wingtrail_submissions_total", "submissions that came in", stats.submissions);
  page.counter("wingtrail_admitted_total", "jobs this node accepted", stats.jobs_accepted);
  page.counter("wingtrail_refused_total", "submissions refused for good", stats.submissions_refused);
  page.counter("wingtrail_reports_total", "worker reports that came in", stats.heartbeats);
  page.counter("wingtrail_forwarded_total", "requests handed on to peers", stats.forwarded_requests);
  page.counter("wingtrail_jobs_done_total", "jobs completed while this node led", stats.jobs_done);
  page.counter("wingtrail_jobs_cancelled_total", "jobs cancelled while this node led", stats.jobs_cancelled);
  page.counter("wingtrail_state_calls_total", "requests to the state service", stats.state_requests);
  page.counter("wingtrail_state_held_back_total", "requests to the state service held back by the budget",
               stats.state_throttled);
}

void add_leader_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_machines", "machines that are not gone, as the leader knows them",
             static_cast<double>(stats.machines));
  page.gauge("wingtrail_record_pages", "values that hold roster and progress",
             static_cast<double>(stats.record_pages));
  page.gauge("wingtrail_settled_after_seconds",
             "from the take-over until every machine was accounted for; 0: not yet",
             stats.reconciled_after_s);
  page.counter("wingtrail_direct_calls_total", "calls to workers, beside answers to their reports",
               stats.direct_calls);
  page.counter("wingtrail_deadlines_total", "deadlines of machines looked at", stats.deadline_checks);
  page.counter("wingtrail_state_writes_total", "puts and deletes sent as leader", stats.state_writes);
  page.counter("wingtrail_writes_of_ends_total", "of these, for jobs that are over",
               stats.final_states_written);
  page.counter("wingtrail_writes_of_roster_total", "of these, pages of machines", stats.inventory_written);
  page.counter("wingtrail_writes_of_progress_total", "of these, pages of completed tasks",
               stats.completions_written);
  page.counter("wingtrail_pages_divided_total", "pages found larger than may be written", stats.pages_split);
  page.counter("wingtrail_writes_malformed_total", "transactions that the state service called malformed",
               stats.malformed_commits);
}

void add_placement_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_held_jobs", "live jobs that wait for others", static_cast<double>(stats.held_jobs));
  page.counter("wingtrail_chains_ready_total", "jobs whose needs were met", stats.dependencies_met);
  page.counter("wingtrail_orphaned_total", "jobs cancelled with one that they need", stats.orphaned);
  page.counter("wingtrail_tasks_started_total", "tasks placed on machines", stats.tasks_started);
  page.counter("wingtrail_tasks_preempted_total", "tasks stopped for work of higher priority",
               stats.tasks_preempted);
  page.counter("wingtrail_tasks_reclaimed_total", "tasks stopped for another team's guarantee",
               stats.tasks_reclaimed);
  page.counter("wingtrail_machines_examined_total", "machines looked at to place tasks",
               stats.machines_examined);
  page.counter("wingtrail_jobs_examined_total", "jobs looked at to place tasks", stats.jobs_examined);
}

void add_delegation_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.counter("wingtrail_custody_answers_total",
               "workers' reports answered without the right to give orders", stats.delegated_renewals);
  page.counter("wingtrail_grants_total", "grants of custody given as leader", stats.delegations_granted);
  page.counter("wingtrail_aborts_put_off_total", "cancellations put off because a task is out of reach",
               stats.cancellations_deferred);
}

void add_admission_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.counter("wingtrail_sheets_total", "sheets of jobs admitted together that this node sent",
               stats.batches_created);
  page.counter("wingtrail_admitted_on_sheets_total", "jobs this node accepted on them", stats.batched_jobs);
  page.counter("wingtrail_sheets_swept_total", "sheets deleted because all their jobs were over",
               stats.records_deleted);
  page.gauge("wingtrail_sheets", "sheets that this node knows of", static_cast<double>(stats.live_batches));
  page.gauge("wingtrail_admissions_waiting", "submissions that wait for their turn at this node",
             static_cast<double>(stats.admissions_waiting));
  page.gauge("wingtrail_state_share", "of the state service's budget, what this node may use now",
             stats.state_share);
  page.gauge("wingtrail_state_asked", "of the state service's budget, what this node asks for lately",
             stats.state_demand);
  page.gauge("wingtrail_agreed_age_seconds",
             "since the leader last said what this node may use; 0 at the leader", stats.loan_age_s);
}

void add_machine_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.counter("wingtrail_alarms_total", "times that every machine was asked whether it lives",
               stats.liveness_sweeps);
  page.counter("wingtrail_orders_total", "orders sent to workers", stats.commands_sent);
  page.counter("wingtrail_commits_total", "transactions committed as leader", stats.commits);
  page.counter("wingtrail_machines_hired_total", "machines rented", stats.machines_rented);
  page.counter("wingtrail_machines_returned_total", "machines returned", stats.machines_returned);
}

void add_class_load_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& held = page.gauges("wingtrail_class_cores", "cores in use, by team and class");
  auto& waiting = page.gauges("wingtrail_class_waiting_cores", "cores that wait, by team and class");
  auto& oldest =
      page.gauges("wingtrail_class_longest_wait_seconds", "the longest wait of a job with tasks to start");
  auto& offered =
      page.gauges("wingtrail_class_offered_cores", "core-seconds of arrays that come in a second");
  auto& surge = page.gauges("wingtrail_class_surge", "that, in terms of the usual");
  auto& served =
      page.gauges("wingtrail_class_served_share", "jobs that got their work done, of those that should have");
  auto& in_a_zone = page.gauges("wingtrail_class_most_in_one_zone",
                                "the largest share of it that the loss of one zone takes");
  for (const controller::Stats::ClassLoad& load : stats.loads) {
    const prometheus::Labels labels{{"team", load.team}, {"class", load.job_class}};
    held.Add(labels).Set(load.cores_in_use);
    waiting.Add(labels).Set(load.cores_waiting);
    oldest.Add(labels).Set(load.oldest_wait_s);
    offered.Add(labels).Set(load.arriving_cores);
    surge.Add(labels).Set(load.surge);
    served.Add(labels).Set(load.served_share);
    in_a_zone.Add(labels).Set(load.largest_zone_share);
  }
}

void add_final_state_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_leader_token", "of the newest leadership that this node knows of",
             static_cast<double>(stats.leader_fencing_token));
  auto& ends_waiting =
      page.gauges("wingtrail_ends_waiting", "ends that are decided and not recorded, by kind");
  auto& ends_oldest = page.gauges("wingtrail_ends_oldest_seconds", "since the oldest of them was decided");
  auto& ends_recorded = page.gauges("wingtrail_ends_recorded", "ends recorded while this node led");
  auto& ends_no_room =
      page.gauges("wingtrail_ends_no_room", "transactions that had no room for some of them");
  for (std::size_t kind = 0; kind < stats.final_state_backlogs.size(); ++kind) {
    const prometheus::Labels labels{{"kind", jobs::name(static_cast<jobs::RecordKind>(kind))}};
    ends_waiting.Add(labels).Set(static_cast<double>(stats.final_state_backlogs[kind].waiting));
    ends_oldest.Add(labels).Set(stats.final_state_backlogs[kind].oldest_s);
    ends_recorded.Add(labels).Set(static_cast<double>(stats.final_state_backlogs[kind].recorded));
    ends_no_room.Add(labels).Set(static_cast<double>(stats.final_state_backlogs[kind].deferred));
  }
}

void add_deferral_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& questions =
      page.gauges("wingtrail_questions_put_off", "questions answered with \"come back later\", by why");
  for (std::size_t why = 0; why < stats.queries_deferred.size(); ++why) {
    questions.Add({{"why", controller::name(static_cast<controller::DeferralReason>(why))}})
        .Set(static_cast<double>(stats.queries_deferred[why]));
  }
  auto& deferred = page.gauges("wingtrail_put_off", "submissions that were put off since the process began");
  for (const auto& [who, count] : stats.deferred_by_class)
    deferred.Add({{"team", who.first}, {"class", who.second}}).Set(static_cast<double>(count));
}

void add_zone_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& zones = page.gauges("wingtrail_zone_cores", "cores in use, by zone");
  for (const auto& [zone, cores] : stats.cores_by_zone)
    zones.Add({{"zone", zone}}).Set(cores);
  auto& states = page.gauges("wingtrail_zone_state", "1 for the state that each zone is in");
  for (const auto& [zone, state] : stats.zone_states)
    states.Add({{"zone", zone}, {"state", state}}).Set(1);
  page.counter("wingtrail_zones_lost_total", "zones whose leases ran out while they were out of reach",
               stats.zones_lost);
  page.counter("wingtrail_zones_back_total", "zones that came back", stats.zones_returned);
}

void add_waiting_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& reasons = page.gauges("wingtrail_waiting_for_cores", "cores that wait, by what holds them back");
  for (const auto& [why, cores] : stats.waiting_cores_by_reason)
    reasons.Add({{"why", why}}).Set(cores);
}

void add_cell_metrics(const controller::Stats& stats, MetricsPage& page) {
  if (stats.cells.empty())
    return;
  auto& away =
      page.gauges("wingtrail_cell_jobs_away", "jobs of this cell that a neighbour holds, or may hold");
  auto& heard =
      page.gauges("wingtrail_cell_heard_seconds", "since this node, leading, heard of the neighbour");
  auto& takes =
      page.gauges("wingtrail_cell_takes_cores", "cores of work that the neighbour last said it takes");
  auto& wait = page.gauges("wingtrail_cell_wait_seconds", "until such work would begin there");
  for (const controller::Stats::CellLoad& load : stats.cells) {
    const prometheus::Labels labels{{"cell", load.name}};
    away.Add(labels).Set(load.remote_jobs);
    heard.Add(labels).Set(load.digest_age_s);
    takes.Add(labels).Set(load.accepts_cores);
    wait.Add(labels).Set(load.wait_s);
  }
  page.counter("wingtrail_cells_handed_on_total", "jobs handed on to other cells", stats.jobs_offloaded);
  page.counter("wingtrail_cells_handed_back_total", "of these, home again", stats.remote_jobs_returned);
  page.counter("wingtrail_cells_done_away_total", "of these, done elsewhere", stats.remote_jobs_done);
  page.counter("wingtrail_cells_guests_taken_total", "jobs of other cells that were taken",
               stats.offers_accepted);
  page.counter("wingtrail_cells_guests_refused_total", "jobs of other cells that were not",
               stats.offers_refused);
  page.counter("wingtrail_cells_guests_over_total", "jobs of other cells that ended here",
               stats.offered_jobs_ended);
  page.counter("wingtrail_cells_fences_total", "jobs recorded as never to run here", stats.tombstones);
}

void add_migration_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_slow_machines", "machines whose tasks take much longer than others of their jobs",
             static_cast<double>(stats.slow_machines));
  page.counter("wingtrail_moves_total", "moves of running tasks that were begun", stats.migrations_begun);
  page.counter("wingtrail_moves_failed_total", "of these, given up", stats.migrations_failed);
  page.gauge("wingtrail_moves_lost_seconds", "run time that moves threw away", stats.migrations_lost_work_s);
}

}  // namespace

std::string render_metrics(const controller::Stats& stats, std::size_t client_connections) {
  MetricsPage page;
  add_request_metrics(stats, client_connections, page);
  add_leader_metrics(stats, page);
  add_placement_metrics(stats, page);
  add_delegation_metrics(stats, page);
  add_admission_metrics(stats, page);
  add_machine_metrics(stats, page);
  add_class_load_metrics(stats, page);
  add_final_state_metrics(stats, page);
  add_deferral_metrics(stats, page);
  add_zone_metrics(stats, page);
  add_waiting_metrics(stats, page);
  add_cell_metrics(stats, page);
  add_migration_metrics(stats, page);
  return page.text();
}

}  // namespace wingtrail::daemon
