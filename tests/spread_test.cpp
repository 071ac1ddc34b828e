// The load spread's parts against plain references, and the tests' own power.
#include <gtest/gtest.h>

#include <cmath>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

#include "spread/moves.hpp"
#include "spread/picture.hpp"
#include "spread/speed.hpp"

namespace wingtrail::spread {
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
  Speeds speeds;
  std::vector<bool> alarmed(kMachines);
  for (Ix job = 0; job < 200; ++job) {
    const double whole = job % 5 == 0 ? job_wide : 1;
    double mean = 0;
    int n = 0;
    for (std::size_t task = 0; task < kMachines * kPerMachine / 32; ++task) {
      const std::size_t m = any(rng);
      const double took = runs(rng) * whole * (m < kSlow ? speed : 1);
      if (n >= 5)
        speeds.ended(m, job, std::log(took / mean));
      mean = (mean * n + took) / (n + 1);
      ++n;
      speeds.look(m);
      speeds.runs(m, job, std::log(0.7));
      if (speeds.slow(m))
        alarmed[m] = true;
    }
  }
  Verdicts v;
  for (std::size_t m = 0; m < kMachines; ++m) {
    if (!alarmed[m])
      continue;
    ++(m < kSlow ? v.found : v.blamed);
    if (m < kSlow)
      v.factor += speeds.factor(m) / kSlow;
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
  Speeds speeds;
  for (int i = 0; i < 50; ++i)
    speeds.ended(7, 1, std::log(4.0));
  for (int i = 0; i < 50; ++i)
    speeds.runs(7, 1, std::log(4.0));
  EXPECT_FALSE(speeds.slow(7));
  for (const Ix job : {2U, 3U}) {
    for (int i = 0; i < 5; ++i)
      speeds.ended(7, job, std::log(4.0));
  }
  speeds.look(7);
  speeds.runs(7, 3, std::log(4.0));
  EXPECT_TRUE(speeds.slow(7));
  // Sound again: enough tasks of other jobs take what they should.
  for (Ix job = 10; job < 30; ++job) {
    for (int i = 0; i < 5; ++i)
      speeds.ended(7, job, 0);
  }
  EXPECT_FALSE(speeds.slow(7));
}

TEST(Moves, StayWithinTheBudgetAndDoNotUndoEachOther) {
  Moves moves;
  Move m;
  m.to = 4;
  for (std::uint32_t task = 0; task < 3; ++task) {
    m.task = task;
    m.job = 1;
    m.since = 10;
    ASSERT_TRUE(moves.may_begin(1, task, 3, 10));
    moves.begin(m);
  }
  EXPECT_FALSE(moves.may_begin(1, 9, 3, 10)) << "budget";
  ASSERT_TRUE(moves.gone(1, 0));
  EXPECT_FALSE(moves.gone(1, 0)) << "over already";
  EXPECT_FALSE(moves.may_begin(1, 0, 3, 11 + Moves::kRest / 2)) << "moved a moment ago";
  EXPECT_TRUE(moves.may_begin(1, 0, 3, 11 + Moves::kRest));
  EXPECT_EQ(moves.of_machine(5).size(), 0U);
  EXPECT_EQ(moves.expired(10 + Moves::kPatience).size(), 0U);
  EXPECT_EQ(moves.of_machine(4).size(), 2U);
  EXPECT_EQ(moves.under_way(), 0U);
  EXPECT_EQ(moves.counts(Cause::slow).begun, 3U);
}

// The sums that every event changes against a walk over everything there is.
TEST(Picture, ShowsWhatAWalkWouldFind) {
  settings::Settings settings;
  settings.teams = {{"a", 10, 0, 0, 0}, {"b", 0, 0, 0, 0}};
  settings.zones = {"x", "y"};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 rng(seed);
    jobs::Registry registry(settings);
    Picture picture;
    registry.on_placed = [&](const Job& job, Ix zone, int tasks) {
      picture.placed(job, zone, tasks);
    };
    std::vector<Job*> all;
    for (int j = 0; j < 12; ++j) {
      wire::JobSpec spec;
      spec.ref = wire::task_name("req", static_cast<std::uint32_t>(j));
      spec.team = std::string(1, rng(2) == 0 ? 'a' : 'b');
      spec.job_class = std::string(1, static_cast<char>('c' + rng(3)));
      spec.tasks = 1 + rng(20);
      spec.need.cpus = 1 + rng(4);
      all.push_back(&registry.add(spec, 1, 0));
    }
    for (int step = 0; step < 2000; ++step) {
      Job& job = *all[rng(12)];
      const auto task = static_cast<std::uint32_t>(rng(job.spec.tasks));
      const auto& t = job.tasks[task];
      if (t.state == jobs::TaskState::pending) {
        registry.place(job, task, 0, rng(2));
      } else if (t.state == jobs::TaskState::placed) {
        const Ix zone = job.in_zone.size() > 1 && job.in_zone[1] > 0 ? 1 : 0;
        rng(3) == 0 ? registry.complete(job, task, zone) : registry.unplace(job, task, zone);
      }
      if (step % 100 != 0)
        continue;
      std::map<Picture::Key, double> held;
      std::vector<double> zones(2);
      for (const Job* j : all) {
        held[{j->team, j->job_class}] += j->placed * j->spec.need.cpus;
        for (std::size_t z = 0; z < j->in_zone.size(); ++z)
          zones[z] += j->in_zone[z] * j->spec.need.cpus;
      }
      for (const auto& [key, cores] : held) {
        const auto* load = picture.of(key.first, key.second);
        EXPECT_DOUBLE_EQ(load ? load->held : 0, cores) << seed;
      }
      for (std::size_t z = 0; z < picture.zones().size(); ++z)
        EXPECT_DOUBLE_EQ(picture.zones()[z], zones[z]) << seed;
    }
  }
}

TEST(Picture, ASurgeIsSeenWithinSeconds) {
  settings::Settings settings;
  settings.teams = {{"a", 0, 0, 0, 0}};
  jobs::Registry registry(settings);
  wire::JobSpec spec;
  spec.ref = std::string("req-1");
  spec.team = std::string("a");
  spec.tasks = 1;
  const Job& job = registry.add(spec, 1, 0);
  Picture picture;
  for (int s = 0; s < 200; ++s)
    picture.came(job, 100, s);
  EXPECT_NEAR(picture.of(0, 0)->surge(200), 1, 0.15);
  for (int s = 200; s < 210; ++s)
    picture.came(job, 500, s);
  EXPECT_GT(picture.of(0, 0)->surge(210), 2);
}

}  // namespace
}  // namespace wingtrail::spread
