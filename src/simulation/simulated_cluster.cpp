// The simulated cluster as a whole: its plan, its event loop, and the report at the end.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

SimulationPlan plan_of(std::uint64_t seed) {
  SimulationPlan plan;
  plan.seed = seed;
  plan.budget_limits = seed % 4 != 0;
  plan.dependencies = seed % 2 != 0;
  // A job chain whose stages run one after the other on a machine that is three times slower takes longer
  // than any single job (seed 21279).
  if (plan.dependencies)
    plan.settle_s = 1500;
  plan.upgrade = seed % 3 == 0;
  plan.cuts = seed % 5 < 2;
  plan.load_balancing = seed / 2 % 2 == 0;
  plan.zone_tracking = seed / 3 % 2 == 0;
  plan.peer_agreement = seed / 4 % 2 == 0;
  if (plan.peer_agreement)
    plan.delegation_leases = 4;
  if (seed % 7 < 3)
    plan.back_from = 0.05, plan.back_to = 0.3;
  if (seed % 6 == 1)
    plan.zones = 3;
  plan.fair_admission = seed / 5 % 2 == 0;
  plan.combined_faults = seed >= 1'000'000;
  plan.late_commands = seed >= 2'000'000;
  plan.repeated_requests = seed >= 3'000'000;
  // A team's quota admits only a few large tasks at a time (seed 2000174: 102 tasks, 12 at a time).
  if (plan.late_commands)
    plan.settle_s = 1500;
  return plan;
}

SimulatedCluster::SimulatedCluster(SimulationPlan plan, ExternalProcesses external_processes)
    : plan_(std::move(plan)),
      external_processes_(std::move(external_processes)),
      rng_(plan_.seed),
      corruption_(plan_.seed) {
  for (std::size_t z = 0; z < plan_.zones; ++z)
    settings_.zones.push_back(std::string("z").append(std::to_string(z)));
  settings_.teams = {{"red", 32, plan_.budget_limits ? 64.0 : 0, 0, 0},
                     {"blue", 16, plan_.budget_limits ? 48.0 : 0, 0, 0}};
  settings_.heartbeat_interval_s = kHeartbeatInterval;
  settings_.worker_lease_s = kWorkerLease;
  settings_.cancellation_limit_s = kCancellationLimit;
  settings_.state_requests_per_s = 150;
  settings_.state_writes_per_s = 60;
  settings_.cloud_list_lag_s = 3;
  settings_.cloud_requests_per_s = 10;
  settings_.tunables.idle_return_s = plan_.idle_return_s;
  wire::MachineType a{"big", 16, 0, 64, 50, 1.0, 1.0, 0.4, 12, settings_.zones};
  wire::MachineType b{"small", 8, 0, 32, 50, 1.0, 0.6, 0.2, 8, settings_.zones};
  settings_.tunables.headroom = plan_.headroom;
  settings_.tunables.begin_within_s = plan_.begin_within_s;
  settings_.tunables.load_balancing = plan_.load_balancing;
  settings_.tunables.zone_tracking = plan_.zone_tracking;
  settings_.tunables.fair_admission = plan_.fair_admission;
  settings_.tunables.peer_agreement = plan_.peer_agreement;
  settings_.tunables.delegation_leases = plan_.delegation_leases;
  settings_.objectives = plan_.objectives;
  if (plan_.cells > 1) {
    settings_.cells.name = std::string("c").append(std::to_string(plan_.cell));
    settings_.cells.drain = plan_.drain;
    for (std::size_t c = 0; c < plan_.cells; ++c) {
      if (c == plan_.cell)
        continue;
      settings_.cells.neighbours.push_back(
          {std::string("c").append(std::to_string(c)), std::vector<settings::Endpoint>(plan_.nodes)});
    }
  }
  catalog_ = {a, b};
  zone_cuts_.resize(settings_.zones.size());
  for (std::size_t i = 0; i < plan_.nodes; ++i) {
    controllers_.push_back(std::make_unique<SimulatedController>());
    controllers_[i]->clock_rate = 1 + random_between(-0.0005, 0.0005);
  }
  if (plan_.machines > 100) {  // budgets of a large deployment
    settings_.max_connections = 2 * plan_.machines;
    settings_.state_writes_per_s = 30;
  }
  if (plan_.write_rps > 0)
    settings_.state_writes_per_s = plan_.write_rps;
  settings_before_upgrade_ = settings_;
  if (plan_.upgrade) {
    settings_.state_value_kb = 2;
    settings_.max_transaction_changes = 4;
    settings_.state_writes_per_s *= 0.7;
    for (auto& c : controllers_)
      c->runs_former_version = true;
    settings_before_upgrade_.tunables.fair_admission = 0;  // the older version has no fair admission
  }
  state_level_ = settings_.state_requests_per_s, write_level_ = settings_before_upgrade_.state_writes_per_s;
  for (int i = 0; i < plan_.machines; ++i)
    add_machine(static_cast<std::size_t>(i % 2), static_cast<std::size_t>(i / 2) % plan_.zones, false, 0);
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::add_event(double when, std::function<void()> fn) {
  events_.emplace(std::max(when, now_), std::move(fn));
}

RunReport SimulatedCluster::run() {
  begin();
  step(plan_.duration_s + plan_.settle_s);
  return close();
}

void SimulatedCluster::begin() {
  for (std::size_t i = 0; i < plan_.nodes; ++i)
    add_event(random_between(0, 0.2), [this, i] { boot(i); });
  if (!plan_.scripted)
    add_event(1, [this] { schedule_submissions(); });
  if (plan_.fault_every_s > 0)
    add_event(plan_.fault_every_s, [this] { random_fault(); });
  add_event(0, [this] { keep_listing(); });
  add_event(0, [this] { check_waiting(); });
  if (!plan_.upgrade)
    return;
  // Controllers are upgraded one after the other, independently of faults. One that restarts before its turn
  // runs the former version again.
  double when = random_between(15, 60);
  for (std::size_t i = 0; i < plan_.nodes; ++i, when += random_between(4, 20)) {
    add_event(when, [this, i] {
      controllers_[i]->runs_former_version = false;
      if (controllers_[i]->controller || external_processes_.crash)
        crash(i);
    });
  }
  if (external_processes_.boot)
    dependencies_from_ = when;
  add_event(when + random_between(0, 40), [this] {
    spdlog::debug("simulation: state_limits_lowered t={:.3f}", now_);
    limits_lowered_ = true;
  });
}

void SimulatedCluster::step(double until) {
  while (!events_.empty() && events_.begin()->first < until && run_report_.broken_rules.empty()) {
    auto node = events_.extract(events_.begin());
    now_ = node.key();
    node.mapped()();
    expire_leases();
    if (checks_rules_)
      check_rules();
  }
  if (external_processes_.deliver)
    now_ = std::max(now_, until);
}

const RunReport& SimulatedCluster::close() {
  check_capacity();
  for (auto& [ref, job] : jobs_) {
    if (!job->accepted || job->spec.shape == wire::Shape::service || job->is_done() || cannot_complete(*job))
      continue;
    ++run_report_.unfinished;
    spdlog::debug("simulation: unfinished job={} done={} tasks={} body={}", ref, job->done_tasks.size(),
                  job->spec.tasks, job->body.dump());
    for (auto& c : controllers_) {
      if (!c->controller || !c->controller->is_active_leader())
        continue;
      jobs::Job* known = c->controller->registry().find(ref);
      spdlog::debug("simulation: leader_job known={} pending={} placed={} failed_machines={}",
                    known != nullptr, known ? known->pending_tasks.size() : 0,
                    known ? known->placed_tasks : 0, known ? known->failed_machines.size() : 0);
      if (known)
        spdlog::debug(
            "simulation: leader_job unmet={} orphaned={} final_state_pending={} "
            "placed_remotely={} cancelling={} not_before_s={:.1f}",
            known->unmet_dependencies, known->orphaned, known->final_state_pending, known->placed_remotely,
            known->cancelling, known->not_before - node_time(*c));
      for (auto& m : c->controller->workers().machines()) {
        if (m.gone)
          continue;
        spdlog::debug(
            "simulation: leader_machine host={} type={} zone={} spot={} used={} cpus={} has_incarnation={} "
            "fenced={} in_inventory={} quarantines={} stray_instances={} draining={} being_returned={} "
            "unavailability={}",
            m.host, m.type, m.zone, m.spot, m.used.cpus, m.cpus, m.has_incarnation, m.fenced, m.in_inventory,
            m.quarantines, m.stray_instance_count, m.draining, m.being_returned,
            to_string(c->controller->workers().unavailability(m)));
      }
    }
  }
  return run_report_;
}

std::optional<controller::Stats> SimulatedCluster::leader_stats() const {
  for (const auto& c : controllers_) {
    if (c->controller && c->controller->is_active_leader())
      return c->controller->stats();
  }
  return std::nullopt;
}

void SimulatedCluster::report_violation(const std::string& rule, const std::string& details) {
  if (!checks_rules_)
    return;
  run_report_.broken_rules.push_back(rule + " at " + std::to_string(now_) + " (seed " +
                                     std::to_string(plan_.seed) + "): " + details);
}

std::optional<std::size_t> SimulatedCluster::leader() const {
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    if (controllers_[i]->controller && controllers_[i]->controller->is_active_leader())
      return i;
  }
  return std::nullopt;
}

bool SimulatedCluster::runs_former_version(std::size_t node) const {
  return controllers_[node]->runs_former_version;
}

double SimulatedCluster::node_time(const SimulatedController& c) const {
  return 1000 + now_ * c.clock_rate;
}

}  // namespace wingtrail::simulation
