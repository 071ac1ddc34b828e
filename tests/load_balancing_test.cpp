/// @file
/// Tests of speed estimation, migrations and the load snapshot.
#include <gtest/gtest.h>

#include <cmath>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

#include "balancing/load_snapshot.hpp"
#include "balancing/migrations.hpp"
#include "balancing/speed_estimator.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::balancing {
namespace {

// The outcome of a simulated fleet.
struct Detection {
  std::size_t slow_detected = 0;
  std::size_t false_alarms = 0;
  // Sum of the estimated slowdowns of detected slow machines, divided by the number of slow machines.
  double slowdown = 0;
};

// Runs jobs on 400 machines of which 20 are slow. Run times within a job have a standard deviation of 0.3 in
// the logarithm. Tasks on slow machines run `slow_factor` times as long, and all tasks of every fifth job
// `job_factor` times as long.
Detection simulate_fleet(std::uint64_t seed, double slow_factor, double job_factor = 1) {
  constexpr std::size_t kMachines = 400, kSlowMachines = 20, kTasksPerMachine = 8;
  pcg32 rng(seed);
  std::lognormal_distribution<double> run_times(0, 0.3);
  std::uniform_int_distribution<std::size_t> machines(0, kMachines - 1);
  SpeedEstimator speeds;
  std::vector<bool> alarmed(kMachines);
  for (jobs::JobIndex job{0}; job < 200; ++job) {
    const double factor = job % 5 == 0 ? job_factor : 1;
    double mean = 0;
    int completed = 0;
    for (std::size_t task = 0; task < kMachines * kTasksPerMachine / 32; ++task) {
      const std::size_t machine = machines(rng);
      const double run_s = run_times(rng) * factor * (machine < kSlowMachines ? slow_factor : 1);
      if (completed >= 5)
        speeds.on_task_completed(machine, job, std::log(run_s / mean));
      mean = (mean * completed + run_s) / (completed + 1);
      ++completed;
      speeds.begin_running_update(machine);
      speeds.add_running_task(machine, job, std::log(0.7));
      if (speeds.is_slow(machine))
        alarmed[machine] = true;
    }
  }
  Detection detection;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    if (!alarmed[machine])
      continue;
    ++(machine < kSlowMachines ? detection.slow_detected : detection.false_alarms);
    if (machine < kSlowMachines)
      detection.slowdown += speeds.slowdown(machine) / kSlowMachines;
  }
  return detection;
}

// Guards against missed slow machines and false alarms. The bound on false alarms is 1e-6 for each time that
// the evidence about a machine is reset.
TEST(SpeedEstimator, DetectsSlowMachinesWithoutFalseAlarms) {
  std::size_t slow_detected = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const Detection detection = simulate_fleet(seed, 2.5);
    EXPECT_EQ(detection.false_alarms, 0U) << "machines of normal speed detected as slow, seed " << seed;
    slow_detected += detection.slow_detected;
    EXPECT_GT(detection.slowdown, 1.7) << "estimated slowdown instead of 2.5, seed " << seed;
    EXPECT_LT(detection.slowdown, 4.0) << "estimated slowdown instead of 2.5, seed " << seed;
    EXPECT_EQ(simulate_fleet(seed, 1.0).false_alarms + simulate_fleet(seed, 1.0).slow_detected, 0U)
        << "machines detected as slow although all have normal speed, seed " << seed;
  }
  EXPECT_GT(slow_detected, 19U * 20U) << "slow machines detected of 20 in each of 20 seeds";
}

// Guards against blaming a machine for a job whose tasks run too long on all machines, however clear the
// evidence. Evidence from several jobs does count.
TEST(SpeedEstimator, OneJobAloneDoesNotMakeAMachineSlow) {
  SpeedEstimator speeds;
  for (int i = 0; i < 50; ++i)
    speeds.on_task_completed(7, jobs::JobIndex(1), std::log(4.0));
  for (int i = 0; i < 50; ++i)
    speeds.add_running_task(7, jobs::JobIndex(1), std::log(4.0));
  EXPECT_FALSE(speeds.is_slow(7)) << "evidence from one job only";
  for (const jobs::JobIndex job : {jobs::JobIndex(2), jobs::JobIndex(3)}) {
    for (int i = 0; i < 5; ++i)
      speeds.on_task_completed(7, job, std::log(4.0));
  }
  speeds.begin_running_update(7);
  speeds.add_running_task(7, jobs::JobIndex(3), std::log(4.0));
  EXPECT_TRUE(speeds.is_slow(7)) << "evidence from three jobs";
  // The machine counts as fast again after enough tasks of other jobs with typical run times.
  for (jobs::JobIndex job{10}; job < 30; ++job) {
    for (int i = 0; i < 5; ++i)
      speeds.on_task_completed(7, job, 0);
  }
  EXPECT_FALSE(speeds.is_slow(7)) << "100 tasks of 20 other jobs at normal speed";
}

// Guards against too many migrations at a time, and against a task that migrates again and again.
TEST(Migrations, StayWithinTheLimitAndDoNotUndoEachOther) {
  Migrations migrations;
  Migration migration;
  migration.target = jobs::MachineIndex(4);
  for (std::uint32_t task = 0; task < 3; ++task) {
    migration.task = task;
    migration.job = jobs::JobIndex(1);
    migration.began_at = 10;
    ASSERT_TRUE(migrations.may_begin(jobs::JobIndex(1), task, 3, 10));
    migrations.begin(migration);
  }
  EXPECT_FALSE(migrations.may_begin(jobs::JobIndex(1), 9, 3, 10))
      << "the limit of 3 migrations in progress is reached";
  ASSERT_TRUE(migrations.take_of_task(jobs::JobIndex(1), 0)) << "the task's migration is in progress";
  EXPECT_FALSE(migrations.take_of_task(jobs::JobIndex(1), 0)) << "the migration was already taken";
  EXPECT_FALSE(migrations.may_begin(jobs::JobIndex(1), 0, 3, 11 + Migrations::kMigrationCooldown / 2))
      << "the task migrated less than kMigrationCooldown ago";
  EXPECT_TRUE(migrations.may_begin(jobs::JobIndex(1), 0, 3, 11 + Migrations::kMigrationCooldown));
  EXPECT_EQ(migrations.take_of_machine(jobs::MachineIndex(5)).size(), 0U);
  EXPECT_EQ(migrations.take_expired(10 + Migrations::kMigrationTimeout).size(), 0U);
  EXPECT_EQ(migrations.take_of_machine(jobs::MachineIndex(4)).size(), 2U);
  EXPECT_EQ(migrations.in_progress(), 0U);
  EXPECT_EQ(migrations.counts(MigrationCause::slow_machine).begun, 3U);
}

// Guards against figures that drift from the state of the jobs: compares the sums that events update with
// sums over all jobs, after random events.
TEST(LoadSnapshot, EqualsSumsOverAllJobs) {
  settings::Settings settings;
  settings.teams = {{"a", 10, 0, 0, 0}, {"b", 0, 0, 0, 0}};
  settings.zones = {"x", "y"};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 rng(seed);
    jobs::JobRegistry registry(settings);
    LoadSnapshot snapshot;
    registry.on_placed = [&](const Job& job, jobs::ZoneIndex zone, int tasks) {
      snapshot.on_placed(job, zone, tasks);
    };
    std::vector<Job*> all;
    for (std::uint32_t number = 0; number < 12; ++number) {
      wire::JobSpec spec;
      spec.ref = wire::task_name("req", number);
      spec.team = std::string(1, rng(2) == 0 ? 'a' : 'b');
      spec.job_class = std::string(1, static_cast<char>('c' + rng(3)));
      spec.tasks = 1 + rng(20);
      spec.task_resources.cpus = 1 + rng(4);
      all.push_back(&registry.add(spec, 1, 0));
    }
    for (int step = 0; step < 2000; ++step) {
      Job& job = *all[rng(12)];
      const auto task = static_cast<std::uint32_t>(rng(job.spec.tasks));
      const jobs::TaskState state = job.tasks[task].state;
      if (state == jobs::TaskState::pending) {
        registry.place_task(job, task, jobs::MachineIndex(0), jobs::ZoneIndex(rng(2)));
      } else if (state == jobs::TaskState::placed) {
        const jobs::ZoneIndex zone(job.placed_by_zone.size() > 1 && job.placed_by_zone[1] > 0 ? 1 : 0);
        rng(3) == 0 ? registry.complete_task(job, task, zone) : registry.unplace_task(job, task, zone);
      }
      if (step % 100 != 0)
        continue;
      std::map<LoadSnapshot::ClassKey, double> cores_in_use;
      std::vector<double> cores_by_zone(2);
      for (const Job* other : all) {
        cores_in_use[{other->team, other->job_class}] +=
            other->placed_tasks * other->spec.task_resources.cpus;
        for (std::size_t zone = 0; zone < other->placed_by_zone.size(); ++zone)
          cores_by_zone[zone] += other->placed_by_zone[zone] * other->spec.task_resources.cpus;
      }
      for (const auto& [key, cores] : cores_in_use) {
        const auto* load = snapshot.find(key.first, key.second);
        EXPECT_DOUBLE_EQ(load ? load->cores_in_use : 0, cores) << "cores in use of a class, seed " << seed;
      }
      for (std::size_t zone = 0; zone < snapshot.cores_by_zone().size(); ++zone)
        EXPECT_DOUBLE_EQ(snapshot.cores_by_zone()[zone], cores_by_zone[zone])
            << "cores in use in zone " << zone << ", seed " << seed;
    }
  }
}

// Guards against a surge that is noticed too late: after 10 s of fivefold arrivals it must show.
TEST(LoadSnapshot, ShowsASurgeWithinSeconds) {
  settings::Settings settings;
  settings.teams = {{"a", 0, 0, 0, 0}};
  jobs::JobRegistry registry(settings);
  wire::JobSpec spec;
  spec.ref = std::string("req-1");
  spec.team = std::string("a");
  spec.tasks = 1;
  const Job& job = registry.add(spec, 1, 0);
  LoadSnapshot snapshot;
  for (int now = 0; now < 200; ++now)
    snapshot.on_arrival(job, 100, now);
  EXPECT_NEAR(snapshot.find(jobs::TeamIndex(0), jobs::ClassIndex(0))->surge(200), 1, 0.15)
      << "a constant rate of arrival is no surge";
  for (int now = 200; now < 210; ++now)
    snapshot.on_arrival(job, 500, now);
  EXPECT_GT(snapshot.find(jobs::TeamIndex(0), jobs::ClassIndex(0))->surge(210), 2)
      << "after 10 s of five times the usual arrivals";
}

}  // namespace
}  // namespace wingtrail::balancing
