// The load spread's parts against plain references, and the tests' own power.
#include <gtest/gtest.h>

#include <cmath>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

#include "balancing/load_snapshot.hpp"
#include "balancing/migrations.hpp"
#include "balancing/speed_estimator.hpp"

namespace wingtrail::balancing {
namespace {

// Arrays with run times that differ by a third go over a fleet in rounds; some machines run at a given speed.
struct Verdicts {
  std::size_t found = 0, blamed = 0;
  double factor = 0;  // mean over those found
};
Verdicts watch(std::uint64_t seed, double speed, double job_wide = 1) {
  constexpr std::size_t kMachines = 400, kSlow = 20, kPerMachine = 8;
  pcg32 rng(seed);
  std::lognormal_distribution<double> runs(0, 0.3);
  std::uniform_int_distribution<std::size_t> any(0, kMachines - 1);
  SpeedEstimator speeds;
  std::vector<bool> alarmed(kMachines);
  for (jobs::JobIndex job{0}; job < 200; ++job) {
    const double whole = job % 5 == 0 ? job_wide : 1;
    double mean = 0;
    int n = 0;
    for (std::size_t task = 0; task < kMachines * kPerMachine / 32; ++task) {
      const std::size_t m = any(rng);
      const double took = runs(rng) * whole * (m < kSlow ? speed : 1);
      if (n >= 5)
        speeds.on_task_completed(m, job, std::log(took / mean));
      mean = (mean * n + took) / (n + 1);
      ++n;
      speeds.begin_running_update(m);
      speeds.add_running_task(m, job, std::log(0.7));
      if (speeds.is_slow(m))
        alarmed[m] = true;
    }
  }
  Verdicts v;
  for (std::size_t m = 0; m < kMachines; ++m) {
    if (!alarmed[m])
      continue;
    ++(m < kSlow ? v.found : v.blamed);
    if (m < kSlow)
      v.factor += speeds.slowdown(m) / kSlow;
  }
  return v;
}

// An earlier try at 1.6 times the expected time took sound machines for slow ones. The bound is 1e-6 for each
// time that a machine is followed afresh; here some 20,000 tasks a seed.
TEST(Speeds, SlowMachinesAreFoundAndSoundOnesNotBlamed) {
  std::size_t found = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const Verdicts v = watch(seed, 2.5);
    EXPECT_EQ(v.blamed, 0U) << seed;
    found += v.found;
    EXPECT_GT(v.factor, 1.7) << seed;
    EXPECT_LT(v.factor, 4.0) << seed;
    EXPECT_EQ(watch(seed, 1.0).blamed + watch(seed, 1.0).found, 0U) << seed;
  }
  EXPECT_GT(found, 19U * 20U);
}

// What one job does is the job's own matter, however clear.
TEST(Speeds, OneJobAloneBlamesNoMachine) {
  SpeedEstimator speeds;
  for (int i = 0; i < 50; ++i)
    speeds.on_task_completed(7, jobs::JobIndex(1), std::log(4.0));
  for (int i = 0; i < 50; ++i)
    speeds.add_running_task(7, jobs::JobIndex(1), std::log(4.0));
  EXPECT_FALSE(speeds.is_slow(7));
  for (const jobs::JobIndex job : {jobs::JobIndex(2), jobs::JobIndex(3)}) {
    for (int i = 0; i < 5; ++i)
      speeds.on_task_completed(7, job, std::log(4.0));
  }
  speeds.begin_running_update(7);
  speeds.add_running_task(7, jobs::JobIndex(3), std::log(4.0));
  EXPECT_TRUE(speeds.is_slow(7));
  // Sound again: enough tasks of other jobs take what they should.
  for (jobs::JobIndex job{10}; job < 30; ++job) {
    for (int i = 0; i < 5; ++i)
      speeds.on_task_completed(7, job, 0);
  }
  EXPECT_FALSE(speeds.is_slow(7));
}

TEST(Moves, StayWithinTheBudgetAndDoNotUndoEachOther) {
  Migrations moves;
  Migration m;
  m.target = jobs::MachineIndex(4);
  for (std::uint32_t task = 0; task < 3; ++task) {
    m.task = task;
    m.job = jobs::JobIndex(1);
    m.began_at = 10;
    ASSERT_TRUE(moves.may_begin(jobs::JobIndex(1), task, 3, 10));
    moves.begin(m);
  }
  EXPECT_FALSE(moves.may_begin(jobs::JobIndex(1), 9, 3, 10)) << "budget";
  ASSERT_TRUE(moves.on_task_gone(jobs::JobIndex(1), 0));
  EXPECT_FALSE(moves.on_task_gone(jobs::JobIndex(1), 0)) << "over already";
  EXPECT_FALSE(moves.may_begin(jobs::JobIndex(1), 0, 3, 11 + Migrations::kRestBetweenMigrations / 2))
      << "moved a moment ago";
  EXPECT_TRUE(moves.may_begin(jobs::JobIndex(1), 0, 3, 11 + Migrations::kRestBetweenMigrations));
  EXPECT_EQ(moves.take_of_machine(jobs::MachineIndex(5)).size(), 0U);
  EXPECT_EQ(moves.take_expired(10 + Migrations::kMigrationTimeout).size(), 0U);
  EXPECT_EQ(moves.take_of_machine(jobs::MachineIndex(4)).size(), 2U);
  EXPECT_EQ(moves.in_progress(), 0U);
  EXPECT_EQ(moves.counts(MigrationCause::slow_machine).begun, 3U);
}

// The sums that every event changes against a walk over everything there is.
TEST(Picture, ShowsWhatAWalkWouldFind) {
  settings::Settings settings;
  settings.teams = {{"a", 10, 0, 0, 0}, {"b", 0, 0, 0, 0}};
  settings.zones = {"x", "y"};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 rng(seed);
    jobs::JobRegistry registry(settings);
    LoadSnapshot picture;
    registry.on_placed = [&](const Job& job, jobs::ZoneIndex zone, int tasks) {
      picture.on_placed(job, zone, tasks);
    };
    std::vector<Job*> all;
    for (int j = 0; j < 12; ++j) {
      wire::JobSpec spec;
      spec.ref = wire::task_name("req", static_cast<std::uint32_t>(j));
      spec.team = std::string(1, rng(2) == 0 ? 'a' : 'b');
      spec.job_class = std::string(1, static_cast<char>('c' + rng(3)));
      spec.tasks = 1 + rng(20);
      spec.task_resources.cpus = 1 + rng(4);
      all.push_back(&registry.add(spec, 1, 0));
    }
    for (int step = 0; step < 2000; ++step) {
      Job& job = *all[rng(12)];
      const auto task = static_cast<std::uint32_t>(rng(job.spec.tasks));
      const auto& t = job.tasks[task];
      if (t.state == jobs::TaskState::pending) {
        registry.place_task(job, task, jobs::MachineIndex(0), jobs::ZoneIndex(rng(2)));
      } else if (t.state == jobs::TaskState::placed) {
        const jobs::ZoneIndex zone(job.placed_by_zone.size() > 1 && job.placed_by_zone[1] > 0 ? 1 : 0);
        rng(3) == 0 ? registry.complete_task(job, task, zone) : registry.unplace_task(job, task, zone);
      }
      if (step % 100 != 0)
        continue;
      std::map<LoadSnapshot::ClassKey, double> held;
      std::vector<double> zones(2);
      for (const Job* j : all) {
        held[{j->team, j->job_class}] += j->placed_tasks * j->spec.task_resources.cpus;
        for (std::size_t z = 0; z < j->placed_by_zone.size(); ++z)
          zones[z] += j->placed_by_zone[z] * j->spec.task_resources.cpus;
      }
      for (const auto& [key, cores] : held) {
        const auto* load = picture.find(key.first, key.second);
        EXPECT_DOUBLE_EQ(load ? load->cores_in_use : 0, cores) << seed;
      }
      for (std::size_t z = 0; z < picture.cores_by_zone().size(); ++z)
        EXPECT_DOUBLE_EQ(picture.cores_by_zone()[z], zones[z]) << seed;
    }
  }
}

TEST(Picture, ASurgeIsSeenWithinSeconds) {
  settings::Settings settings;
  settings.teams = {{"a", 0, 0, 0, 0}};
  jobs::JobRegistry registry(settings);
  wire::JobSpec spec;
  spec.ref = std::string("req-1");
  spec.team = std::string("a");
  spec.tasks = 1;
  const Job& job = registry.add(spec, 1, 0);
  LoadSnapshot picture;
  for (int s = 0; s < 200; ++s)
    picture.on_arrival(job, 100, s);
  EXPECT_NEAR(picture.find(jobs::TeamIndex(0), jobs::ClassIndex(0))->surge(200), 1, 0.15);
  for (int s = 200; s < 210; ++s)
    picture.on_arrival(job, 500, s);
  EXPECT_GT(picture.find(jobs::TeamIndex(0), jobs::ClassIndex(0))->surge(210), 2);
}

}  // namespace
}  // namespace wingtrail::balancing
