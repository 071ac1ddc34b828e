// The life of a zone against a plain reference, and the order in which services of a lost one go up.
#include <gtest/gtest.h>

#include <cmath>
#include <pcg_random.hpp>

#include "zones/zone_tracker.hpp"

namespace wingtrail::zones {
namespace {

constexpr Seconds kReport = 5, kLease = 27;

// A zone with `workers` machines that were heard at `t`.
ZoneTracker zone_heard(double t, int workers, bool whole = true) {
  ZoneTracker z(kReport, kLease, whole);
  z.begin_leadership(t);
  z.set_expected(0, workers);
  z.add_member(0, workers);
  z.on_contact(0, t);
  return z;
}

TEST(Zones, GoesThroughItsWholeLife) {
  ZoneTracker z = zone_heard(100, 200);
  EXPECT_EQ(z.state(0, 100.2), ZoneState::healthy);
  EXPECT_EQ(z.state(0, 100.5), ZoneState::silent);
  EXPECT_EQ(z.state(0, 103), ZoneState::unreachable);
  z.on_lease_expired(0, 128);
  z.set_expected(0, -200);  // its workers' sessions are over, one after the other: it stays lost for all that
  EXPECT_EQ(z.state(0, 130), ZoneState::lost);
  EXPECT_TRUE(z.is_unreachable(0, 130) && z.is_silent(0, 130) && z.any_unstable(130));
  EXPECT_FALSE(z.choose_probe(0)) << "its machines are kept, and say when it is back";
  EXPECT_NEAR(z.lost_for(0, 150), 22, 1e-9);
  EXPECT_TRUE(z.on_contact(0, 160));
  EXPECT_EQ(z.state(0, 161), ZoneState::recovering);
  EXPECT_TRUE(z.any_unstable(161));
  EXPECT_EQ(z.returned_at(0), 160);
  z.on_contact(0, 171);
  EXPECT_EQ(z.state(0, 171.1), ZoneState::healthy) << "two rounds of reports later";
  EXPECT_FALSE(z.any_unstable(171.1));
}

TEST(Zones, WithoutTheWholeLifeAZoneWhoseLeasesAreOverIsAsIfEmpty) {
  ZoneTracker z = zone_heard(100, 200, false);
  z.on_lease_expired(0, 128);
  EXPECT_EQ(z.state(0, 128), ZoneState::unreachable);
  z.set_expected(0, -200);
  EXPECT_EQ(z.state(0, 130), ZoneState::healthy);
  EXPECT_FALSE(z.any_unstable(130));
}

TEST(Zones, OneMachinesEndIsNotTheZones) {
  ZoneTracker z = zone_heard(100, 200);
  z.on_lease_expired(0, 100.1);
  EXPECT_EQ(z.state(0, 100.2), ZoneState::healthy);
}

TEST(Zones, OneThatIsLostWithAllItsMachinesIsScouted) {
  ZoneTracker z = zone_heard(100, 2);
  z.on_lease_expired(0, 300);
  EXPECT_TRUE(z.is_lost(0));
  EXPECT_FALSE(z.choose_probe(0));
  z.add_member(0, -2);
  EXPECT_TRUE(z.choose_probe(0));
  z.add_member(0, 1);
  EXPECT_FALSE(z.choose_probe(0)) << "one at a time";
  z.on_contact(0, 350);
  EXPECT_FALSE(z.choose_probe(0));
}

// Each return without a rest before it doubles the time that the zone is given to settle, up to a lease.
TEST(Zones, FlappingIsGivenLongerAndLonger) {
  ZoneTracker z = zone_heard(0, 200);
  double t = 10, last = 0;
  for (int flap = 1; flap <= 6; ++flap) {
    ASSERT_TRUE(z.on_contact(0, t));
    EXPECT_EQ(z.flap_count(0), flap);
    double settled = t;
    while (z.state(0, settled) == ZoneState::recovering) {
      settled += 0.1;
      z.on_contact(0, settled);
    }
    EXPECT_GE(settled - t, last - 0.2);
    EXPECT_LE(settled - t, kLease + 0.2);
    last = settled - t;
    t = settled + 3;
  }
  EXPECT_GT(last, kLease - 1);
  for (double at = t - 3; at < t + 120; at += 0.1)
    z.on_contact(0, at);  // a rest
  ASSERT_TRUE(z.on_contact(0, t + 130));
  EXPECT_EQ(z.flap_count(0), 1);
}

// What the machine of states says, told again from the history of the zone alone.
TEST(Zones, AgreesWithAPlainReckoning) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    pcg32 rng(seed);
    const auto between = [&rng](double a, double b) {
      return a + (b - a) * std::ldexp(static_cast<double>(rng()), -32);
    };
    const int workers = 1 + static_cast<int>(rng(300));
    ZoneTracker z = zone_heard(0, workers);
    double t = 0, heard = 0, settles = -1;
    bool lost = false;
    for (int i = 0; i < 200; ++i) {
      t += rng(4) == 0 ? between(0, 60) : between(0, 1);
      const double silent = t - heard;
      const bool cut = lost || silent > std::max(2.0, 24 * kReport / workers);
      const bool quiet = lost || silent > std::max(0.3, 12 * kReport / workers);
      const ZoneState expected = lost          ? ZoneState::lost
                                 : cut         ? ZoneState::unreachable
                                 : quiet       ? ZoneState::silent
                                 : t < settles ? ZoneState::recovering
                                               : ZoneState::healthy;
      ASSERT_EQ(z.state(0, t), expected) << "seed " << seed << " at " << t;
      ASSERT_EQ(z.is_unreachable(0, t), cut);
      if (rng(3) == 0) {
        z.on_lease_expired(0, t);
        lost |= cut;
      } else if (rng(2) == 0) {
        ASSERT_EQ(z.on_contact(0, t), cut);
        heard = t;
        lost = false;
        if (cut) {
          // It returns for at least two rounds of reports and at most a lease.
          double end = t;
          while (z.state(0, end) == ZoneState::recovering)
            end += 0.01, z.on_contact(0, end);
          ASSERT_GE(end - t, 2 * kReport - 0.02);
          ASSERT_LE(end - t, kLease + 0.02);
          heard = t = end;
          settles = end;
        }
      }
    }
  }
}

TEST(Zones, WhatServesNobodyGoesUpFirst) {
  EXPECT_EQ(missed(4, 0), 0);
  EXPECT_EQ(missed(4, 1), 1);
  EXPECT_EQ(missed(4, 2), 2);
  EXPECT_EQ(missed(4, 3), 2);
  EXPECT_EQ(missed(4, 4), 3);
  EXPECT_EQ(missed(1, 0), 0);
  EXPECT_EQ(missed(1, 1), 3);
  EXPECT_EQ(missed(9, 4), 1);
}

}  // namespace
}  // namespace wingtrail::zones
