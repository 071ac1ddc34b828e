#include "controller/leader_clock.hpp"

#include <gtest/gtest.h>

namespace wingtrail::controller {
namespace {

constexpr std::uint64_t kToken = 7;

peer::Frame leader_frame(double process_age_s, std::uint64_t token = kToken) {
  peer::Frame frame;
  frame.node = frame.leader = "node-1";
  frame.leader_fencing_token = token;
  frame.process_age_s = process_age_s;
  return frame;
}

TEST(LeaderClock, AFrameIsNotDatedBeforeItsLeadershipHasReplied) {
  LeaderClock clock;
  EXPECT_FALSE(clock.earliest_sent(leader_frame(20), 100));
  clock.on_reply(leader_frame(20, kToken - 1), 99, 100);
  EXPECT_FALSE(clock.earliest_sent(leader_frame(20), 100));
}

TEST(LeaderClock, ALateCopyIsDatedWhenItWasSentAndNotWhenItArrives) {
  LeaderClock clock;
  clock.on_reply(leader_frame(20), 100, 100.2);
  EXPECT_NEAR(*clock.earliest_sent(leader_frame(15), 130), 95, 0.01);
  EXPECT_LE(*clock.earliest_sent(leader_frame(15), 130), 95);
  EXPECT_NEAR(*clock.earliest_sent(leader_frame(50), 160), 130, 0.05);
  EXPECT_LE(*clock.earliest_sent(leader_frame(50), 160), 130);
}

TEST(LeaderClock, TheReplyThatCameSoonestAfterItsRequestCounts) {
  LeaderClock clock;
  clock.on_reply(leader_frame(20), 100, 100.1);
  clock.on_reply(leader_frame(21.9), 101.1, 102);
  EXPECT_NEAR(*clock.earliest_sent(leader_frame(22), 102.1), 102, 0.01);
}

TEST(LeaderClock, AProcessAgeThatCannotBeIsCorrectedByTheNextReply) {
  LeaderClock clock;
  clock.on_reply(leader_frame(-1e9), 100, 100.1);
  EXPECT_LE(*clock.earliest_sent(leader_frame(21), 101.5), 101.5) << "no frame is sent after it arrives";
  clock.on_reply(leader_frame(22), 102, 102.1);
  EXPECT_NEAR(*clock.earliest_sent(leader_frame(15), 103), 95, 0.01);
}

}  // namespace
}  // namespace wingtrail::controller
