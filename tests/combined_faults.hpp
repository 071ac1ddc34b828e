/// @file
/// Shared parts of the tests of combined faults: a simulated run with jobs whose faults the test triggers. A
/// test triggers its combination of faults on purpose, with several seeds and at several times of the second
/// fault, and asserts that the combination occurred before it asserts the rules, which the simulated cluster
/// checks after every event. COMBINED_FAULTS_WIDE=N runs N times as many seeds.
#pragma once

#include "scenarios.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

/// Returns a scripted plan with the features of a deployment enabled, at a smaller size.
inline SimulationPlan deployed(std::uint64_t seed, int machines = 10) {
  SimulationPlan plan = scripted(seed, machines);
  plan.peer_agreement = plan.fair_admission = plan.load_balancing = plan.zone_tracking = true;
  plan.delegation_leases = 4;
  plan.begin_within_s = 240;
  return plan;
}

/// A simulated run that starts with two services and 40 s without faults.
class FaultRun {
 public:
  explicit FaultRun(const SimulationPlan& plan) : cluster(plan) {
    configure_logging();
    cluster.begin();
    cluster.step(5);
    for (int n = 1; n <= 2; ++n) {
      wire::JobSpec service = job_of(n, 4, "red");
      service.shape = wire::Shape::service;
      service.priority = wire::Priority::production;
      service.spread_zones = true;
      service.allows_spot = false;
      cluster.submit_job(service, 0);
    }
    // Leases are delegated once no controller of an older version can have led for `cancel_s`.
    cluster.step(40);
  }

  /// Submits long arrays, numbered from req-10; every third one is restricted to a zone.
  void long_arrays(int count, double run_s = 60, std::uint32_t tasks = 3) {
    for (int n = 0; n < count; ++n) {
      wire::JobSpec s = job_of(10 + n, tasks, n % 2 == 0 ? "red" : "blue");
      s.estimate_s = run_s;
      if (n % 3 == 2)
        s.zone = std::string("z").append(std::to_string(n % 2));
      cluster.submit_job(s, run_s);
    }
  }
  /// Submits a small job every `every_s` seconds until time `until`; the share `cancelled` of them is
  /// cancelled within 4 s.
  void stream(double until, double every_s, double cancelled, std::uint32_t tasks = 1, double run_s = 3) {
    for (double t = cluster.now(); t < until; t += every_s) {
      const int n = 1000 + made_++;
      const double cancel_at =
          static_cast<double>(n * 37 % 100) < 100 * cancelled ? t + (n * 53 % 40) / 10.0 : -1;
      cluster.schedule_at(t, [this, n, tasks, run_s, cancel_at] {
        wire::JobSpec s = job_of(n, tasks, n % 2 == 0 ? "red" : "blue");
        s.estimate_s = run_s;
        cluster.submit_job(s, run_s, cancel_at);
      });
    }
  }
  /// Schedules `fn` at time `when`, in seconds.
  void at(double when, const std::function<void()>& fn) {
    cluster.schedule_at(when, fn);
  }
  void crash_leader() {
    cluster.crash(cluster.leader().value_or(0));
  }
  static std::string ref(int n) {
    return std::string("req-").append(std::to_string(n));
  }
  /// Cancels `count` jobs from `req-<first>` on, from time `from` on, `apart` seconds after each other.
  void cancel(int first, int count, double from, double apart = 0.05) {
    for (int n = 0; n < count; ++n)
      at(from + n * apart, [this, n, first] { cluster.cancel(ref(first + n)); });
  }
  std::size_t elections() const {
    return cluster.run_report().elections;
  }

  /// Runs for `calm_s` without new faults, and expects no violation, no unfinished job, no long wait beside
  /// free capacity and no unconfirmed cancellation.
  const RunReport& finish(double calm_s = 420) {
    cluster.step(cluster.now() + calm_s);
    const RunReport& v = cluster.close();
    for (const auto& b : v.broken_rules)
      ADD_FAILURE() << b;
    EXPECT_EQ(v.unfinished, 0U) << "jobs were not done at the end";
    EXPECT_LE(v.longest_wait_beside_capacity, 90)
        << "a job waited for so many seconds beside free capacity for it, without faults";
    EXPECT_EQ(cluster.open_cancellations(), 0U) << "deferred cancellations were never confirmed";
    return v;
  }

  SimulatedCluster cluster;

 private:
  int made_ = 0;
};

/// Factor on the number of seeds, from COMBINED_FAULTS_WIDE.
inline int seed_factor() {
  const char* n = std::getenv("COMBINED_FAULTS_WIDE");
  return n ? std::max(1, std::atoi(n)) : 1;
}

/// Runs `run` for `seeds` seeds. It returns a count that shows how often the combination of faults occurred;
/// the sum over all seeds has to be at least `min_occurrences`.
inline void run_seeds(int seeds, std::size_t min_occurrences,
                      const std::function<std::size_t(std::uint64_t)>& run) {
  std::size_t sum = 0;
  for (int seed = 1; seed <= seeds * seed_factor(); ++seed) {
    SCOPED_TRACE(std::string("seed ").append(std::to_string(seed)));
    sum += run(static_cast<std::uint64_t>(seed));
    if (::testing::Test::HasFailure())
      return;
  }
  EXPECT_GE(sum, min_occurrences * static_cast<std::size_t>(seed_factor()))
      << "the combination of faults did not occur often enough";
}

/// A state service that fails in two steps: from 60 s on it refuses the leader alone; `a` seconds later users
/// cancel seven jobs; `b` seconds after 60 s it is down for all controllers, for `down_s` seconds.
struct StagedOutage {
  double a = 2, b = 8, down_s = 45;
  /// Further faults, if any.
  std::function<void(FaultRun&)> beside;
};
/// Runs such a failure. Returns how many of the cancellations were confirmed before the state service was
/// back.
inline std::size_t run_staged_outage(const SimulationPlan& plan, const StagedOutage& gap) {
  FaultRun run(plan);
  run.long_arrays(9, 110);
  run.cluster.step(60);
  const std::size_t old = run.cluster.leader().value_or(0);
  run.cluster.refuse_state_service(old, 14);
  run.cancel(10, 7, 60 + gap.a);
  run.at(60 + gap.b, [&] { run.cluster.state_outage(gap.down_s); });
  if (gap.beside)
    gap.beside(run);
  const double until = 60 + gap.b + gap.down_s;
  run.cluster.step(until);
  std::size_t confirmed = 0;
  for (int n = 10; n < 17; ++n) {
    const double confirmed_at = run.cluster.cancelled_at(FaultRun::ref(n));
    confirmed += confirmed_at >= 60 && confirmed_at < until;
  }
  run.finish();
  return confirmed;
}

}  // namespace wingtrail::simulation
