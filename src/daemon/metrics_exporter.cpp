#include "daemon/metrics_exporter.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstdint>

namespace wingtrail::daemon {
namespace {

// Collects the metrics of one response and renders them.
class MetricsPage {
 public:
  void gauge(const char* name, const char* help, double value) {
    gauges(name, help).Add({}).Set(value);
  }
  void counter(const char* name, const char* help, std::uint64_t value) {
    prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add({}).Increment(
        static_cast<double>(value));
  }
  // Returns a family of gauges, to which the caller adds one gauge per set of labels. The page owns it.
  prometheus::Family<prometheus::Gauge>& gauges(const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
  }
  // The same for counters.
  prometheus::Family<prometheus::Counter>& counters(const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
  }
  std::string text() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  prometheus::Registry registry_;
};

void add_request_metrics(const controller::Stats& stats, std::size_t client_connections, MetricsPage& page) {
  page.gauge("wingtrail_leading", "1 while this controller is the leader and may send commands",
             stats.leading ? 1 : 0);
  page.gauge("wingtrail_leaderless_seconds", "seconds since an active leader was last known; 0 while one is",
             stats.leaderless_s);
  page.gauge("wingtrail_leader_key_without_lease",
             "1 if the leader key was last read without a lease, so that it would outlive its leader",
             stats.leader_key_without_lease ? 1 : 0);
  page.gauge("wingtrail_live_jobs", "jobs without a final state that the leader knows",
             static_cast<double>(stats.live_jobs));
  page.gauge("wingtrail_user_connections", "open connections of users and workers",
             static_cast<double>(client_connections));
  page.counter("wingtrail_submissions_total", "submissions received", stats.submissions);
  page.counter("wingtrail_admitted_total", "jobs that this controller accepted", stats.jobs_accepted);
  page.counter("wingtrail_refused_total", "submissions refused for good; deferred ones are not counted",
               stats.submissions_refused);
  page.counter("wingtrail_reports_total", "worker heartbeats received", stats.heartbeats);
  page.counter("wingtrail_forwarded_total", "requests forwarded to other controllers",
               stats.forwarded_requests);
  page.counter("wingtrail_jobs_done_total", "jobs completed while this controller was the leader",
               stats.jobs_done);
  page.counter("wingtrail_jobs_cancelled_total", "jobs cancelled while this controller was the leader",
               stats.jobs_cancelled);
  page.counter("wingtrail_state_calls_total", "requests to the state service", stats.state_requests);
  page.counter("wingtrail_state_held_back_total",
               "requests to the state service that were not sent because the budget share was used up",
               stats.state_throttled);
}

void add_refusal_metrics(const controller::Stats& stats, MetricsPage& page) {
  struct ReasonName {
    wire::RefusalReason reason;
    const char* name;
  };
  constexpr ReasonName kReasons[] = {{wire::RefusalReason::malformed, "malformed"},
                                     {wire::RefusalReason::nesting, "nesting"},
                                     {wire::RefusalReason::content, "content"}};
  auto& refused = page.counters("wingtrail_refused_messages_total",
                                "messages that could not be read, by reader and reason");
  for (const controller::Stats::RefusedMessages& messages : stats.refused_messages) {
    for (const ReasonName& reason : kReasons) {
      refused.Add({{"reader", messages.reader}, {"reason", reason.name}})
          .Increment(static_cast<double>(messages.counts.of(reason.reason)));
    }
  }
}

void add_leader_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_machines", "machines that the leader knows, without those that are gone",
             static_cast<double>(stats.machines));
  page.gauge("wingtrail_record_pages", "inventory pages and completion pages in the state service",
             static_cast<double>(stats.record_pages));
  page.gauge("wingtrail_settled_after_seconds",
             "seconds from the failover until every machine was accounted for; 0 until then",
             stats.reconciled_after_s);
  page.counter("wingtrail_direct_calls_total", "calls to workers, apart from replies to their heartbeats",
               stats.direct_calls);
  page.counter("wingtrail_deadlines_total", "deadlines of machines checked", stats.deadline_checks);
  page.counter("wingtrail_state_writes_total",
               "puts and deletes that this controller sent to the state service as leader",
               stats.state_writes);
  page.counter("wingtrail_writes_of_ends_total", "puts and deletes sent as leader for final states of jobs",
               stats.final_states_written);
  page.counter("wingtrail_writes_of_roster_total", "puts and deletes sent as leader for inventory pages",
               stats.inventory_written);
  page.counter("wingtrail_writes_of_progress_total", "puts and deletes sent as leader for completion pages",
               stats.completions_written);
  page.counter("wingtrail_pages_divided_total",
               "record pages split because they were larger than the value limit", stats.pages_split);
  page.counter("wingtrail_writes_malformed_total", "transactions that the state service refused as malformed",
               stats.malformed_commits);
}

void add_placement_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_held_jobs", "live jobs that wait for their dependencies",
             static_cast<double>(stats.held_jobs));
  page.counter("wingtrail_chains_ready_total", "jobs whose dependencies are all done",
               stats.dependencies_met);
  page.counter("wingtrail_orphaned_total", "jobs cancelled because a dependency was cancelled",
               stats.orphaned);
  page.counter("wingtrail_tasks_started_total", "tasks placed on machines", stats.tasks_started);
  page.counter("wingtrail_tasks_preempted_total", "tasks preempted by work of higher priority",
               stats.tasks_preempted);
  page.counter("wingtrail_tasks_reclaimed_total", "tasks stopped to meet another team's guarantee",
               stats.tasks_reclaimed);
  page.counter("wingtrail_machines_examined_total", "machines examined to place tasks",
               stats.machines_examined);
  page.counter("wingtrail_jobs_examined_total", "jobs examined to place tasks", stats.jobs_examined);
}

void add_delegation_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.counter("wingtrail_custody_answers_total",
               "heartbeats answered by a controller that may not send commands, to renew the worker's lease",
               stats.delegated_renewals);
  page.counter("wingtrail_grants_total", "delegation grants that this controller issued as leader",
               stats.delegations_granted);
  page.counter("wingtrail_aborts_put_off_total",
               "cancellations deferred because a task is on an unreachable machine",
               stats.cancellations_deferred);
}

void add_admission_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.counter("wingtrail_sheets_total", "job batches that this controller created", stats.batches_created);
  page.counter("wingtrail_admitted_on_sheets_total", "jobs that this controller accepted in job batches",
               stats.batched_jobs);
  page.counter("wingtrail_sheets_swept_total", "job batches deleted because all their jobs had a final state",
               stats.records_deleted);
  page.gauge("wingtrail_sheets", "job batches that this controller knows",
             static_cast<double>(stats.live_batches));
  page.gauge("wingtrail_admissions_waiting", "submissions waiting for admission at this controller",
             static_cast<double>(stats.admissions_waiting));
  page.gauge("wingtrail_state_share",
             "share of the state service's write budget that this controller may use", stats.state_share);
  page.gauge("wingtrail_state_asked",
             "share of the state service's write budget that this controller recently requested",
             stats.state_demand);
  page.gauge("wingtrail_agreed_age_seconds",
             "seconds since the leader last set this controller's budget share; 0 at the leader",
             stats.loan_age_s);
}

void add_machine_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.counter("wingtrail_alarms_total", "liveness sweeps: calls to every machine to check that it is alive",
               stats.liveness_sweeps);
  page.counter("wingtrail_orders_total", "commands sent to workers", stats.commands_sent);
  auto& forgets = page.counters("wingtrail_forget_commands_total",
                                "commands to forget an attempt, by the reason why they were allowed");
  forgets.Add({{"reason", "no_direct_start"}})
      .Increment(static_cast<double>(stats.forgets.without_direct_start));
  forgets.Add({{"reason", "higher_token"}}).Increment(static_cast<double>(stats.forgets.by_higher_token));
  page.gauge("wingtrail_retained_attempts",
             "attempts started by direct calls that workers must not forget under the current token",
             static_cast<double>(stats.retained_attempts.total));
  page.gauge("wingtrail_retained_attempts_largest", "largest number of such attempts on one machine",
             static_cast<double>(stats.retained_attempts.most_on_a_machine));
  page.counter("wingtrail_unexpected_attempts_total",
               "attempts that began on a worker without a current start command", stats.unexpected_attempts);
  page.counter("wingtrail_unknown_tokens_total",
               "reports of workers with a fencing token that no leader has held", stats.unknown_tokens);
  page.counter("wingtrail_commits_total", "transactions committed as leader", stats.commits);
  page.counter("wingtrail_machines_hired_total", "machines rented", stats.machines_rented);
  page.counter("wingtrail_machines_returned_total", "machines returned", stats.machines_returned);
}

void add_class_load_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& in_use = page.gauges("wingtrail_class_cores", "cores in use, by team and class");
  auto& waiting = page.gauges("wingtrail_class_waiting_cores",
                              "cores of tasks that wait to be placed, by team and class");
  auto& oldest = page.gauges("wingtrail_class_longest_wait_seconds",
                             "longest wait in seconds of a job with tasks to start, by team and class");
  auto& offered = page.gauges("wingtrail_class_offered_cores",
                              "recent arrivals of job arrays in core-seconds per second, by team and class");
  auto& surge = page.gauges("wingtrail_class_surge",
                            "recent rate of arrivals divided by the usual rate, by team and class");
  auto& served =
      page.gauges("wingtrail_class_served_share",
                  "share of jobs that are done, among those that are done or late, by team and class");
  auto& in_a_zone =
      page.gauges("wingtrail_class_most_in_one_zone",
                  "largest share of the cores in use that is in a single zone, by team and class");
  for (const controller::Stats::ClassLoad& load : stats.loads) {
    const prometheus::Labels labels{{"team", load.team}, {"class", load.job_class}};
    in_use.Add(labels).Set(load.cores_in_use);
    waiting.Add(labels).Set(load.cores_waiting);
    oldest.Add(labels).Set(load.oldest_wait_s);
    offered.Add(labels).Set(load.arriving_cores);
    surge.Add(labels).Set(load.surge);
    served.Add(labels).Set(load.served_share);
    in_a_zone.Add(labels).Set(load.largest_zone_share);
  }
}

void add_final_state_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_leader_token", "highest fencing token of a leader that this controller knows",
             static_cast<double>(stats.leader_fencing_token));
  auto& records_waiting =
      page.gauges("wingtrail_ends_waiting", "records that are decided and not written yet, by kind");
  auto& records_oldest = page.gauges("wingtrail_ends_oldest_seconds",
                                     "seconds since the oldest unwritten record was decided, by kind");
  auto& records_written =
      page.gauges("wingtrail_ends_recorded", "records written while this controller was the leader, by kind");
  auto& records_deferred = page.gauges(
      "wingtrail_ends_no_room", "transactions that were full before all waiting records fitted, by kind");
  for (std::size_t kind = 0; kind < stats.final_state_backlogs.size(); ++kind) {
    const prometheus::Labels labels{{"kind", jobs::name(static_cast<jobs::RecordKind>(kind))}};
    records_waiting.Add(labels).Set(static_cast<double>(stats.final_state_backlogs[kind].waiting));
    records_oldest.Add(labels).Set(stats.final_state_backlogs[kind].oldest_s);
    records_written.Add(labels).Set(static_cast<double>(stats.final_state_backlogs[kind].recorded));
    records_deferred.Add(labels).Set(static_cast<double>(stats.final_state_backlogs[kind].deferred));
  }
}

void add_deferral_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& queries =
      page.gauges("wingtrail_questions_put_off", "queries answered with a request to retry later, by reason");
  for (std::size_t reason = 0; reason < stats.queries_deferred.size(); ++reason) {
    queries.Add({{"why", controller::name(static_cast<controller::DeferralReason>(reason))}})
        .Set(static_cast<double>(stats.queries_deferred[reason]));
  }
  page.gauge("wingtrail_questions_unanswered_jobs", "jobs without an answer since a query was deferred",
             static_cast<double>(stats.unanswered_jobs));
  page.gauge("wingtrail_questions_longest_unanswered_seconds",
             "seconds since the first deferred query of the job that has been unanswered for longest",
             stats.longest_unanswered_s);
  page.counter("wingtrail_questions_overdue_total",
               "jobs whose queries stayed unanswered for too long while the state service replied",
               stats.overdue_jobs);
  page.counter("wingtrail_questions_not_forwarded_total",
               "queries not forwarded because too many others were waiting for the leader",
               stats.queries_not_forwarded);
  page.counter("wingtrail_question_comparisons_total",
               "requests to the state service that compare the keys of queried jobs", stats.comparisons);
  page.counter("wingtrail_question_jobs_compared_total", "jobs compared by these requests",
               stats.jobs_compared);
  page.counter("wingtrail_question_lookups_expired_total",
               "lookups for queries given up before the request budget allowed them", stats.lookups_expired);
  auto& deferred =
      page.gauges("wingtrail_put_off", "submissions deferred since the process started, by team and class");
  for (const auto& [team_and_class, count] : stats.deferred_by_class)
    deferred.Add({{"team", team_and_class.first}, {"class", team_and_class.second}})
        .Set(static_cast<double>(count));
}

void add_zone_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& zones = page.gauges("wingtrail_zone_cores", "cores in use, by zone");
  for (const auto& [zone, cores] : stats.cores_by_zone)
    zones.Add({{"zone", zone}}).Set(cores);
  auto& states = page.gauges("wingtrail_zone_state", "1 for the current state of each zone");
  for (const auto& [zone, state] : stats.zone_states)
    states.Add({{"zone", zone}, {"state", state}}).Set(1);
  page.counter("wingtrail_zones_lost_total",
               "zones whose worker leases expired while the zone was unreachable", stats.zones_lost);
  page.counter("wingtrail_zones_back_total", "lost zones that became reachable again", stats.zones_returned);
}

void add_waiting_metrics(const controller::Stats& stats, MetricsPage& page) {
  auto& reasons = page.gauges("wingtrail_waiting_for_cores",
                              "cores of tasks that wait to be placed, by the filter that rejects them");
  for (const auto& [reason, cores] : stats.waiting_cores_by_reason)
    reasons.Add({{"why", reason}}).Set(cores);
}

void add_cell_metrics(const controller::Stats& stats, MetricsPage& page) {
  if (stats.cells.empty())
    return;
  auto& remote_jobs = page.gauges("wingtrail_cell_jobs_away",
                                  "remote jobs: jobs of this cell that the neighbour holds, or may hold");
  auto& digest_age =
      page.gauges("wingtrail_cell_heard_seconds",
                  "seconds since this controller, as leader, last received the neighbour's capacity digest");
  auto& accepts_cores =
      page.gauges("wingtrail_cell_takes_cores",
                  "cores of offloaded work that the neighbour accepts, by its last capacity digest");
  auto& wait =
      page.gauges("wingtrail_cell_wait_seconds",
                  "seconds until offloaded work would start there, by the neighbour's last capacity digest");
  for (const controller::Stats::CellLoad& load : stats.cells) {
    const prometheus::Labels labels{{"cell", load.name}};
    remote_jobs.Add(labels).Set(load.remote_jobs);
    digest_age.Add(labels).Set(load.digest_age_s);
    accepts_cores.Add(labels).Set(load.accepts_cores);
    wait.Add(labels).Set(load.wait_s);
  }
  page.counter("wingtrail_cells_handed_on_total", "jobs offloaded to other cells", stats.jobs_offloaded);
  page.counter("wingtrail_cells_handed_back_total", "offloaded jobs that this cell schedules again itself",
               stats.remote_jobs_returned);
  page.counter("wingtrail_cells_done_away_total", "offloaded jobs completed by other cells",
               stats.remote_jobs_done);
  page.counter("wingtrail_cells_guests_taken_total", "foreign jobs accepted", stats.offers_accepted);
  page.counter("wingtrail_cells_guests_refused_total", "foreign jobs refused", stats.offers_refused);
  page.counter("wingtrail_cells_guests_over_total", "foreign jobs that reached a final state here",
               stats.offered_jobs_ended);
  page.counter("wingtrail_cells_fences_total",
               "tombstones written: jobs of other cells recorded as never to run here", stats.tombstones);
}

void add_migration_metrics(const controller::Stats& stats, MetricsPage& page) {
  page.gauge("wingtrail_slow_machines",
             "machines whose tasks take much longer than other tasks of the same jobs",
             static_cast<double>(stats.slow_machines));
  page.counter("wingtrail_moves_total", "migrations of running tasks begun", stats.migrations_begun);
  page.counter("wingtrail_moves_failed_total", "migrations given up", stats.migrations_failed);
  page.gauge("wingtrail_moves_lost_seconds", "seconds of run time that migrations lost",
             stats.migrations_lost_work_s);
}

}  // namespace

std::string render_metrics(const controller::Stats& stats, std::size_t client_connections) {
  MetricsPage page;
  add_request_metrics(stats, client_connections, page);
  add_refusal_metrics(stats, page);
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
