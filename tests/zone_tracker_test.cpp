/// @file
/// Tests of the ZoneTracker's states and transitions, also in comparison with a simple model, and of the
/// order in which services that have lost replicas are restarted.
#include "zones/zone_tracker.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <pcg_random.hpp>

namespace wingtrail::zones {
namespace {

constexpr Seconds kHeartbeatInterval = 5, kLease = 27;

// Returns a tracker of zone 0 with `workers` machines, all expected to send heartbeats, and a contact at
// `now`.
ZoneTracker zone_contacted_at(double now, int workers, bool track_loss = true) {
  ZoneTracker tracker(kHeartbeatInterval, kLease, track_loss);
  tracker.begin_leadership(now);
  tracker.add_expected_workers(0, workers);
  tracker.add_machines(0, workers);
  tracker.on_contact(0, now);
  return tracker;
}

// Guards against a wrong transition on the way from healthy to lost and back.
TEST(ZoneTrackerTest, GoesThroughAllStates) {
  ZoneTracker tracker = zone_contacted_at(100, 200);
  EXPECT_EQ(tracker.state(0, 100.2), ZoneState::healthy);
  EXPECT_EQ(tracker.state(0, 100.5), ZoneState::unresponsive);
  EXPECT_EQ(tracker.state(0, 103), ZoneState::unreachable);
  tracker.on_lease_expired(0, 128);
  tracker.add_expected_workers(0, -200);  // the zone stays lost when all its workers' incarnations have ended
  EXPECT_EQ(tracker.state(0, 130), ZoneState::lost);
  EXPECT_TRUE(tracker.is_unreachable(0, 130) && tracker.is_unresponsive(0, 130) && tracker.any_unstable(130));
  EXPECT_FALSE(tracker.needs_probe_machine(0))
      << "expected no probe machine, as the zone's machines send heartbeats when it is reachable again";
  EXPECT_NEAR(tracker.lost_for(0, 150), 22, 1e-9);
  EXPECT_TRUE(tracker.on_contact(0, 160));
  EXPECT_EQ(tracker.state(0, 161), ZoneState::recovering);
  EXPECT_TRUE(tracker.any_unstable(161));
  EXPECT_EQ(tracker.reachable_since(0), 160);
  tracker.on_contact(0, 171);
  EXPECT_EQ(tracker.state(0, 171.1), ZoneState::healthy)
      << "expected recovery to end two heartbeat intervals after the contact";
  EXPECT_FALSE(tracker.any_unstable(171.1));
}

// Guards against the use of the states lost and recovering although they are disabled.
TEST(ZoneTrackerTest, WithoutLossTrackingAZoneWhoseLeasesExpiredIsHealthy) {
  ZoneTracker tracker = zone_contacted_at(100, 200, false);
  tracker.on_lease_expired(0, 128);
  EXPECT_EQ(tracker.state(0, 128), ZoneState::unreachable);
  tracker.add_expected_workers(0, -200);
  EXPECT_EQ(tracker.state(0, 130), ZoneState::healthy);
  EXPECT_FALSE(tracker.any_unstable(130));
}

// Guards against mistaking the failure of one machine for the loss of its zone.
TEST(ZoneTrackerTest, ExpiredLeaseInAReachableZoneDoesNotLoseTheZone) {
  ZoneTracker tracker = zone_contacted_at(100, 200);
  tracker.on_lease_expired(0, 100.1);
  EXPECT_EQ(tracker.state(0, 100.2), ZoneState::healthy);
}

// Guards against a zone that stays lost forever because it has no machine that could send a heartbeat.
TEST(ZoneTrackerTest, LostZoneWithoutMachinesNeedsAProbeMachine) {
  ZoneTracker tracker = zone_contacted_at(100, 2);
  tracker.on_lease_expired(0, 300);
  EXPECT_TRUE(tracker.is_lost(0));
  EXPECT_FALSE(tracker.needs_probe_machine(0));
  tracker.add_machines(0, -2);
  EXPECT_TRUE(tracker.needs_probe_machine(0));
  tracker.add_machines(0, 1);
  EXPECT_FALSE(tracker.needs_probe_machine(0)) << "expected no second probe machine while there is one";
  tracker.on_contact(0, 350);
  EXPECT_FALSE(tracker.needs_probe_machine(0));
}

// Guards against tasks that are moved back and forth while a zone is flapping: each recovery without a stable
// time before it takes twice as long as the last one, up to the duration of a lease.
TEST(ZoneTrackerTest, FlappingZoneRecoversForLongerEachTime) {
  ZoneTracker tracker = zone_contacted_at(0, 200);
  double now = 10, last = 0;
  for (int flap = 1; flap <= 6; ++flap) {
    ASSERT_TRUE(tracker.on_contact(0, now));
    EXPECT_EQ(tracker.flap_count(0), flap);
    double stable = now;
    while (tracker.state(0, stable) == ZoneState::recovering) {
      stable += 0.1;
      tracker.on_contact(0, stable);
    }
    EXPECT_GE(stable - now, last - 0.2);
    EXPECT_LE(stable - now, kLease + 0.2);
    last = stable - now;
    now = stable + 3;
  }
  EXPECT_GT(last, kLease - 1);
  for (double at = now - 3; at < now + 120; at += 0.1)
    tracker.on_contact(0, at);  // the zone is stable for 123 s
  ASSERT_TRUE(tracker.on_contact(0, now + 130));
  EXPECT_EQ(tracker.flap_count(0), 1);
}

// Compares the state after random contacts and lease expiries with a model that derives it from the time of
// the last contact.
TEST(ZoneTrackerTest, AgreesWithAPlainModel) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    pcg32 rng(seed);
    const auto uniform = [&rng](double min, double max) {
      return min + (max - min) * std::ldexp(static_cast<double>(rng()), -32);
    };
    const int workers = 1 + static_cast<int>(rng(300));
    ZoneTracker tracker = zone_contacted_at(0, workers);
    double now = 0, last_contact = 0, stable_at = -1;
    bool lost = false;
    for (int i = 0; i < 200; ++i) {
      now += rng(4) == 0 ? uniform(0, 60) : uniform(0, 1);
      const double without_contact = now - last_contact;
      const bool unreachable = lost || without_contact > std::max(2.0, 24 * kHeartbeatInterval / workers);
      const bool unresponsive = lost || without_contact > std::max(0.3, 12 * kHeartbeatInterval / workers);
      const ZoneState expected = lost              ? ZoneState::lost
                                 : unreachable     ? ZoneState::unreachable
                                 : unresponsive    ? ZoneState::unresponsive
                                 : now < stable_at ? ZoneState::recovering
                                                   : ZoneState::healthy;
      ASSERT_EQ(tracker.state(0, now), expected) << "seed " << seed << " at " << now << " s";
      ASSERT_EQ(tracker.is_unreachable(0, now), unreachable);
      if (rng(3) == 0) {
        tracker.on_lease_expired(0, now);
        lost |= unreachable;
      } else if (rng(2) == 0) {
        ASSERT_EQ(tracker.on_contact(0, now), unreachable);
        last_contact = now;
        lost = false;
        if (unreachable) {
          // A recovery takes at least two heartbeat intervals and at most the duration of a lease.
          double end = now;
          while (tracker.state(0, end) == ZoneState::recovering) {
            end += 0.01;
            tracker.on_contact(0, end);
          }
          ASSERT_GE(end - now, 2 * kHeartbeatInterval - 0.02);
          ASSERT_LE(end - now, kLease + 0.02);
          last_contact = end;
          now = end;
          stable_at = end;
        }
      }
    }
  }
}

// Guards against services with some replicas left being restarted before services with none.
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
