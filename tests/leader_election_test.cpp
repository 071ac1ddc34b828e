#include "leadership/leader_election.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace wingtrail::leadership {
namespace {

constexpr std::uint64_t kToken = 12, kLease = 7;

// A leader whose requests to the state service the tests answer.
class HigherTokenTest : public ::testing::Test {
 protected:
  HigherTokenTest()
      : store_(out_, settings_),
        election_(out_, store_, settings_,
                  {[] {},
                   [this] {
                     ++losses_;
                   }}) {
    settings_.node = "node-1";
    out_.set_now(100);
    election_.start();
    answer("/kv/lead", 404, {{"ledgerRev", kToken - 2}});
    answer("/leases", 200, {{"permit", kLease}});
    answer("/txn", 200, {{"ledgerRev", kToken}});
  }

  // Whether a request with this path was pending; it gets the reply.
  bool answer(const std::string& path, int status, const wire::Value& body) {
    for (ports::Action& action : out_.drain())
      pending_.push_back(std::get<ports::Call>(std::move(action)));
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [&path](const ports::Call& call) { return call.path == path; });
    if (found == pending_.end())
      return false;
    const std::uint64_t id = found->id;
    pending_.erase(found);
    ports::Reply reply;
    reply.status = status;
    reply.body = body;
    out_.complete(id, reply);
    return true;
  }
  static wire::Value leader_key(std::uint64_t version) {
    return {{"path", "lead"}, {"data", {{"node", "node-1"}, {"lease", kLease}}}, {"stamp", version}};
  }
  void report_higher_token() {
    election_.on_higher_token([this] { ++unknown_tokens_; });
  }

  ports::Outbox out_;
  settings::Settings settings_;
  store::StateClient store_;
  LeaderElection election_;
  std::vector<ports::Call> pending_;
  int losses_ = 0, unknown_tokens_ = 0;
};

TEST_F(HigherTokenTest, ATokenThatNoLeaderHeldDoesNotEndTheLeadership) {
  ASSERT_TRUE(election_.may_act());
  report_higher_token();
  EXPECT_EQ(unknown_tokens_, 0) << "nothing is known before the leader key has been read";
  ASSERT_TRUE(answer("/kv/lead", 200, leader_key(kToken)));
  EXPECT_EQ(unknown_tokens_, 1);
  report_higher_token();
  EXPECT_EQ(unknown_tokens_, 2);
  EXPECT_FALSE(answer("/kv/lead", 200, leader_key(kToken))) << "one read serves the reports of a second";
  EXPECT_TRUE(election_.holds_leadership());
}

TEST_F(HigherTokenTest, ALeaderWhoseKeyIsGoneStepsDown) {
  report_higher_token();
  ASSERT_TRUE(answer("/kv/lead", 404, {{"ledgerRev", kToken + 1}}));
  EXPECT_EQ(losses_, 1);
  EXPECT_EQ(unknown_tokens_, 0);
}

TEST_F(HigherTokenTest, ALeaderWhoseKeyAnotherHoldsStepsDown) {
  report_higher_token();
  ASSERT_TRUE(answer("/kv/lead", 200, leader_key(kToken + 3)));
  EXPECT_EQ(losses_, 1);
  EXPECT_EQ(unknown_tokens_, 0);
}

TEST_F(HigherTokenTest, ALeaderWithoutAValidLeaseStepsDownAtOnce) {
  out_.set_now(election_.lease_expires_at());
  report_higher_token();
  EXPECT_EQ(losses_, 1);
}

TEST_F(HigherTokenTest, AReadWithoutAReplyIsRepeatedAtTheNextReport) {
  report_higher_token();
  ASSERT_TRUE(answer("/kv/lead", 0, nullptr));
  EXPECT_TRUE(election_.holds_leadership());
  report_higher_token();
  ASSERT_TRUE(answer("/kv/lead", 200, leader_key(kToken)));
  EXPECT_EQ(unknown_tokens_, 1);
}

TEST_F(HigherTokenTest, ALeaderWhoseTokenTheStateServiceHasNotReachedResigns) {
  EXPECT_TRUE(election_.confirm_token(kToken));
  EXPECT_TRUE(election_.holds_leadership());
  EXPECT_FALSE(election_.confirm_token(kToken - 1));
  EXPECT_EQ(losses_, 1);
}

// A follower of node-2, which holds the key at kToken + 1.
class ReportedLeaderTest : public HigherTokenTest {
 protected:
  static constexpr std::uint64_t kUnknownToken = std::uint64_t{1} << 40;

  ReportedLeaderTest() {
    election_.resign(1000, "the test follows another leader");
    election_.observe_leader("node-2", kToken + 1);
  }
  void read_leader_key(std::uint64_t version, Seconds sent) {
    ports::Reply reply;
    reply.status = 200;
    reply.body = leader_key(version);
    reply.body["data"]["node"] = "node-2";
    election_.on_leader_key_read(reply, sent);
  }
};

TEST_F(ReportedLeaderTest, ATokenThatNoLeaderHeldIsDroppedAndNotTakenFromPeersAgain) {
  election_.observe_leader("node-3", kUnknownToken);
  EXPECT_EQ(election_.leader(), "node-3");
  out_.set_now(101);
  read_leader_key(kToken + 1, 101);
  EXPECT_EQ(election_.leader(), "node-2");
  EXPECT_EQ(election_.leader_fencing_token(), kToken + 1);
  election_.observe_leader("node-3", kUnknownToken);
  EXPECT_EQ(election_.leader(), "node-2");
}

TEST_F(ReportedLeaderTest, AReadThatWasSentBeforeTheReportDoesNotDropTheToken) {
  out_.set_now(101);
  election_.observe_leader("node-3", kToken + 2);
  read_leader_key(kToken + 1, 101);
  EXPECT_EQ(election_.leader(), "node-3");
}

TEST_F(ReportedLeaderTest, ATokenThatWasDroppedIsKnownAgainOnceTheLeaderKeyShowsIt) {
  out_.set_now(101);
  read_leader_key(kToken - 1, 101);
  EXPECT_EQ(election_.leader_fencing_token(), kToken - 1);
  read_leader_key(kToken + 1, 102);
  EXPECT_EQ(election_.leader_fencing_token(), kToken + 1);
}

}  // namespace
}  // namespace wingtrail::leadership
