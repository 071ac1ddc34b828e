// What tests of combined faults share: a day in the simulated cluster with jobs whose faults the test orders.
// A test brings its combination about on purpose, with several seeds and the second fault's moment swept, and
// asserts that it did happen before it asserts the rules, which the simulated cluster checks after every
// step. COMBINED_FAULTS_WIDE=N plays N times as many seeds.
#pragma once

#include "scenarios.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

// As deployed, but for the sizes.
inline SimulationPlan deployed(std::uint64_t seed, int machines = 10) {
  SimulationPlan plan = scripted(seed, machines);
  plan.peer_agreement = plan.fair_admission = plan.load_balancing = plan.short_lived_processes = true;
  plan.delegation_leases = 4;
  plan.begin_within_s = 240;
  return plan;
}

class Day {
 public:
  explicit Day(const SimulationPlan& plan) : world(plan) {
    hush();
    world.begin();
    world.step(5);
    for (int n = 1; n <= 2; ++n) {
      wire::JobSpec service = job_of(n, 4, "red");
      service.shape = wire::Shape::service;
      service.priority = wire::Priority::production;
      service.spread_zones = true;
      service.allows_spot = false;
      world.submit_job(service, 0);
    }
    world.step(40);  // custody begins once no node of an older version can have led for cancel_s
  }

  // Arrays with long to go, from req-10 on; every third bound to a zone.
  void long_arrays(int count, double run_s = 60, std::uint32_t tasks = 3) {
    for (int n = 0; n < count; ++n) {
      wire::JobSpec s = job_of(10 + n, tasks, n % 2 == 0 ? "red" : "blue");
      s.estimate_s = run_s;
      if (n % 3 == 2)
        s.zone = std::string("z").append(std::to_string(n % 2));
      world.submit_job(s, run_s);
    }
  }
  // Small jobs until then, one in `every_s`; that share is cancelled after some seconds.
  void stream(double until, double every_s, double cancelled, std::uint32_t tasks = 1, double run_s = 3) {
    for (double t = world.now(); t < until; t += every_s) {
      const int n = 1000 + made_++;
      const double cancel_at =
          static_cast<double>(n * 37 % 100) < 100 * cancelled ? t + (n * 53 % 40) / 10.0 : -1;
      world.schedule_at(t, [this, n, tasks, run_s, cancel_at] {
        wire::JobSpec s = job_of(n, tasks, n % 2 == 0 ? "red" : "blue");
        s.estimate_s = run_s;
        world.submit_job(s, run_s, cancel_at);
      });
    }
  }
  void at(double when, const std::function<void()>& fn) {
    world.schedule_at(when, fn);
  }
  void crash_leader() {
    world.crash(world.leader().value_or(0));
  }
  static std::string ref(int n) {
    return std::string("req-").append(std::to_string(n));
  }
  void cancel(int first, int count, double from, double apart = 0.05) {
    for (int n = 0; n < count; ++n)
      at(from + n * apart, [this, n, first] { world.cancel(ref(first + n)); });
  }
  std::size_t elections() const {
    return world.run_report().elections;
  }

  // All becomes quiet; then nothing is left undone, untold or unanswered.
  const RunReport& finish(double calm_s = 420) {
    world.step(world.now() + calm_s);
    const RunReport& v = world.close();
    for (const auto& b : v.broken_rules)
      ADD_FAILURE() << b;
    EXPECT_EQ(v.unfinished, 0U);
    EXPECT_LE(v.longest_wait_beside_capacity, 90) << "all was calm";
    EXPECT_EQ(world.open_cancellations(), 0U) << "users who were put off have to hear in the end";
    return v;
  }

  SimulatedCluster world;

 private:
  int made_ = 0;
};

inline int wide() {
  const char* n = std::getenv("COMBINED_FAULTS_WIDE");
  return n ? std::max(1, std::atoi(n)) : 1;
}

// Plays `day` for so many seeds; it returns what shows that the meeting happened, and the sum of that must be
// at least `happened`.
inline void meet(int seeds, std::size_t happened, const std::function<std::size_t(std::uint64_t)>& day) {
  std::size_t sum = 0;
  for (int seed = 1; seed <= seeds * wide(); ++seed) {
    SCOPED_TRACE(std::string("seed ").append(std::to_string(seed)));
    sum += day(static_cast<std::uint64_t>(seed));
    if (::testing::Test::HasFailure())
      return;
  }
  EXPECT_GE(sum, happened * static_cast<std::size_t>(wide())) << "the meeting did not happen";
}

// The state service refuses the leader alone from 60 s on; cancellations `a` later; from `b` on it is down
// for all. Returns how many cancellations were confirmed while the old leader was refused.
struct Gap {
  double a = 2, b = 8, down_s = 45;
  std::function<void(Day&)> beside;
};
inline std::size_t play_gap(const SimulationPlan& plan, const Gap& gap) {
  Day day(plan);
  day.long_arrays(9, 110);
  day.world.step(60);
  const std::size_t old = day.world.leader().value_or(0);
  day.world.refuse_state_service(old, 14);
  day.cancel(10, 7, 60 + gap.a);
  day.at(60 + gap.b, [&] { day.world.state_outage(gap.down_s); });
  if (gap.beside)
    gap.beside(day);
  const double until = 60 + gap.b + gap.down_s;
  day.world.step(until);
  std::size_t confirmed = 0;
  for (int n = 10; n < 17; ++n) {
    const double told = day.world.cancelled_at(Day::ref(n));
    confirmed += told >= 60 && told < until;
  }
  day.finish();
  return confirmed;
}

}  // namespace wingtrail::simulation
