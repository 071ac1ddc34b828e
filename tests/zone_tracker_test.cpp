/// \file
/// The states of a zone, compared with a plain model, and the order in which services of a lost zone restart.
#include "zones/zone_tracker.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <pcg_random.hpp>

namespace wingtrail::zones {
namespace {

constexpr Seconds kHeartbeatInterval = 5, kLease = 27;

// A zone with that many machines, contacted at time `t`.
ZoneTracker zone_contacted_at(double t, int workers, bool track_loss = true) {
  ZoneTracker z(kHeartbeatInterval, kLease, track_loss);
  z.begin_leadership(t);
  z.set_expected(0, workers);
  z.add_member(0, workers);
  z.on_contact(0, t);
  return z;
}

TEST(ZoneTrackerTest, GoesThroughAllStates) {
  ZoneTracker z = zone_contacted_at(100, 200);
  EXPECT_EQ(z.state(0, 100.2), ZoneState::healthy);
  EXPECT_EQ(z.state(0, 100.5), ZoneState::unresponsive);
  EXPECT_EQ(z.state(0, 103), ZoneState::unreachable);
  z.on_lease_expired(0, 128);
  z.set_expected(0, -200);  // its workers' incarnations end one after the other; it stays lost
  EXPECT_EQ(z.state(0, 130), ZoneState::lost);
  EXPECT_TRUE(z.is_unreachable(0, 130) && z.is_unresponsive(0, 130) && z.any_unstable(130));
  EXPECT_FALSE(z.needs_probe_machine(0)) << "its machines are not returned, and report when it is back";
  EXPECT_NEAR(z.lost_for(0, 150), 22, 1e-9);
  EXPECT_TRUE(z.on_contact(0, 160));
  EXPECT_EQ(z.state(0, 161), ZoneState::recovering);
  EXPECT_TRUE(z.any_unstable(161));
  EXPECT_EQ(z.returned_at(0), 160);
  z.on_contact(0, 171);
  EXPECT_EQ(z.state(0, 171.1), ZoneState::healthy) << "two heartbeat intervals later";
  EXPECT_FALSE(z.any_unstable(171.1));
}

TEST(ZoneTrackerTest, WithoutLossTrackingAZoneWhoseLeasesExpiredIsHealthy) {
  ZoneTracker z = zone_contacted_at(100, 200, false);
  z.on_lease_expired(0, 128);
  EXPECT_EQ(z.state(0, 128), ZoneState::unreachable);
  z.set_expected(0, -200);
  EXPECT_EQ(z.state(0, 130), ZoneState::healthy);
  EXPECT_FALSE(z.any_unstable(130));
}

TEST(ZoneTrackerTest, ExpiredLeaseInAReachableZoneDoesNotLoseTheZone) {
  ZoneTracker z = zone_contacted_at(100, 200);
  z.on_lease_expired(0, 100.1);
  EXPECT_EQ(z.state(0, 100.2), ZoneState::healthy);
}

TEST(ZoneTrackerTest, LostZoneWithoutMachinesNeedsAProbeMachine) {
  ZoneTracker z = zone_contacted_at(100, 2);
  z.on_lease_expired(0, 300);
  EXPECT_TRUE(z.is_lost(0));
  EXPECT_FALSE(z.needs_probe_machine(0));
  z.add_member(0, -2);
  EXPECT_TRUE(z.needs_probe_machine(0));
  z.add_member(0, 1);
  EXPECT_FALSE(z.needs_probe_machine(0)) << "one at a time";
  z.on_contact(0, 350);
  EXPECT_FALSE(z.needs_probe_machine(0));
}

// Each recovery without a stable time before it takes twice as long, up to a lease.
TEST(ZoneTrackerTest, FlappingZoneRecoversForLongerEachTime) {
  ZoneTracker z = zone_contacted_at(0, 200);
  double t = 10, last = 0;
  for (int flap = 1; flap <= 6; ++flap) {
    ASSERT_TRUE(z.on_contact(0, t));
    EXPECT_EQ(z.flap_count(0), flap);
    double stable = t;
    while (z.state(0, stable) == ZoneState::recovering) {
      stable += 0.1;
      z.on_contact(0, stable);
    }
    EXPECT_GE(stable - t, last - 0.2);
    EXPECT_LE(stable - t, kLease + 0.2);
    last = stable - t;
    t = stable + 3;
  }
  EXPECT_GT(last, kLease - 1);
  for (double at = t - 3; at < t + 120; at += 0.1)
    z.on_contact(0, at);  // a stable time
  ASSERT_TRUE(z.on_contact(0, t + 130));
  EXPECT_EQ(z.flap_count(0), 1);
}

// The states as they follow from the history of contacts alone.
TEST(ZoneTrackerTest, AgreesWithAPlainModel) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    pcg32 rng(seed);
    const auto between = [&rng](double a, double b) {
      return a + (b - a) * std::ldexp(static_cast<double>(rng()), -32);
    };
    const int workers = 1 + static_cast<int>(rng(300));
    ZoneTracker z = zone_contacted_at(0, workers);
    double t = 0, last_contact = 0, stable_at = -1;
    bool lost = false;
    for (int i = 0; i < 200; ++i) {
      t += rng(4) == 0 ? between(0, 60) : between(0, 1);
      const double without_contact = t - last_contact;
      const bool unreachable = lost || without_contact > std::max(2.0, 24 * kHeartbeatInterval / workers);
      const bool unresponsive = lost || without_contact > std::max(0.3, 12 * kHeartbeatInterval / workers);
      const ZoneState expected = lost            ? ZoneState::lost
                                 : unreachable   ? ZoneState::unreachable
                                 : unresponsive  ? ZoneState::unresponsive
                                 : t < stable_at ? ZoneState::recovering
                                                 : ZoneState::healthy;
      ASSERT_EQ(z.state(0, t), expected) << "seed " << seed << " at " << t;
      ASSERT_EQ(z.is_unreachable(0, t), unreachable);
      if (rng(3) == 0) {
        z.on_lease_expired(0, t);
        lost |= unreachable;
      } else if (rng(2) == 0) {
        ASSERT_EQ(z.on_contact(0, t), unreachable);
        last_contact = t;
        lost = false;
        if (unreachable) {
          // It recovers for at least two heartbeat intervals and at most a lease.
          double end = t;
          while (z.state(0, end) == ZoneState::recovering) {
            end += 0.01;
            z.on_contact(0, end);
          }
          ASSERT_GE(end - t, 2 * kHeartbeatInterval - 0.02);
          ASSERT_LE(end - t, kLease + 0.02);
          last_contact = end;
          t = end;
          stable_at = end;
        }
      }
    }
  }
}

TEST(ZoneTrackerTest, ServicesWithoutReplicasRankFirst) {
  EXPECT_EQ(replica_loss_rank(4, 0), 0);
  EXPECT_EQ(replica_loss_rank(4, 1), 1);
  EXPECT_EQ(replica_loss_rank(4, 2), 2);
  EXPECT_EQ(replica_loss_rank(4, 3), 2);
  EXPECT_EQ(replica_loss_rank(4, 4), 3);
  EXPECT_EQ(replica_loss_rank(1, 0), 0);
  EXPECT_EQ(replica_loss_rank(1, 1), 3);
  EXPECT_EQ(replica_loss_rank(9, 4), 1);
}

}  // namespace
}  // namespace wingtrail::zones
