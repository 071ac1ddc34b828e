#include "leadership/leader_election.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace wingtrail::leadership {
namespace {

constexpr std::uint64_t kToken = 12, kLease = 7;

// A controller whose requests to the state service the tests answer.
class LeaderElectionTest : public ::testing::Test {
 protected:
  LeaderElectionTest()
      : store_(out_, settings_),
        election_(out_, store_, settings_,
                  {[] {},
                   [this] {
                     ++losses_;
                   }}) {
    settings_.node = "node-1";
    out_.set_now(100);
    election_.start();
  }

  // Takes the oldest pending request with this path, without its query.
  std::optional<ports::Call> take(const std::string& path) {
    for (ports::Action& action : out_.drain())
      pending_.push_back(std::get<ports::Call>(std::move(action)));
    const auto found = std::find_if(pending_.begin(), pending_.end(), [&path](const ports::Call& call) {
      return call.path.substr(0, call.path.find('?')) == path;
    });
    if (found == pending_.end())
      return std::nullopt;
    ports::Call call = std::move(*found);
    pending_.erase(found);
    return call;
  }
  // Whether such a request was pending; it gets the reply.
  bool answer(const std::string& path, int status, const wire::Value& body) {
    const auto call = take(path);
    if (!call)
      return false;
    ports::Reply reply;
    reply.status = status;
    reply.body = body;
    out_.complete(call->id, reply);
    return true;
  }
  void pass_time(Seconds duration) {
    out_.set_now(out_.now() + duration);
    out_.run_timers();
  }
  // The answer to a read of the leader key.
  static wire::Value leader_key(std::uint64_t version, const std::string& holder = "node-1",
                                std::uint64_t named_lease = kLease,
                                std::optional<std::uint64_t> attached_lease = kLease) {
    wire::Value key{
        {"path", "lead"}, {"data", {{"node", holder}, {"lease", named_lease}}}, {"stamp", version}};
    if (attached_lease)
      key["permit"] = *attached_lease;
    return key;
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

// Lease 0 was taken for no lease, so the key outlived its leader and nobody led after it.
TEST_F(LeaderElectionTest, ALeaderKeyUnderLeaseZeroDoesNotOutliveItsLeader) {
  ASSERT_TRUE(answer("/kv/lead", 404, {{"ledgerRev", kToken - 2}}));
  ASSERT_TRUE(answer("/leases", 200, {{"permit", 0}}));
  const auto campaign = take("/txn");
  ASSERT_TRUE(campaign.has_value());
  const wire::Value& put = campaign->body["apply"][0];
  ASSERT_TRUE(put.contains("permit")) << "the leader key must be attached to its lease";
  EXPECT_EQ(put["permit"], 0);
}

// Lease 0 of an earlier process was not revoked, so nobody led until it expired.
TEST_F(LeaderElectionTest, ARestartedControllerRevokesLeaseZeroOfItsEarlierProcess) {
  ASSERT_TRUE(answer("/kv/lead", 200, leader_key(kToken, "node-1", 0, 0)));
  const auto revocation = take("/leases/0");
  ASSERT_TRUE(revocation.has_value()) << "the new process must not wait for the lease to expire";
  EXPECT_EQ(revocation->method, "DELETE");
}

// A reply that shows an election before the end of that leadership was taken for a present leader.
TEST_F(LeaderElectionTest, ALeaderWhoseEndIsReportedBeforeItsElectionIsNotFollowed) {
  ASSERT_TRUE(answer("/kv/lead", 404, {{"ledgerRev", kToken - 2}}));
  ASSERT_TRUE(answer("/leases", 503, nullptr));
  const wire::Value election{
      {"put", "lead"}, {"data", {{"node", "node-2"}, {"lease", kLease}}}, {"stamp", kToken}};
  const wire::Value end{{"delete", "lead"}, {"stamp", kToken + 1}};
  ASSERT_TRUE(answer("/follow", 200, {{"ledgerRev", kToken + 1}, {"events", {end, election}}}));
  EXPECT_EQ(election_.leader(), "");
  EXPECT_TRUE(take("/leases").has_value()) << "the leader key is absent, so this controller must campaign";
}

// After a peer's late report of an ended leader, a campaign that failed was the last one.
TEST_F(LeaderElectionTest, ALateReportOfAnEndedLeaderDoesNotEndTheCampaigns) {
  ASSERT_TRUE(answer("/kv/lead", 404, {{"ledgerRev", kToken}}));
  election_.observe_leader("node-2", kToken - 2);
  ASSERT_TRUE(answer("/leases", 503, nullptr));
  pass_time(1);
  ASSERT_TRUE(answer("/kv/lead", 404, {{"ledgerRev", kToken}})) << "the leader key must be read again";
  EXPECT_TRUE(take("/leases").has_value()) << "the leader key is absent, so this controller must campaign";
}

// Each campaign that failed left one more loop of watches.
TEST_F(LeaderElectionTest, AFailedCampaignLeavesNoSecondWatch) {
  ASSERT_TRUE(answer("/kv/lead", 404, {{"ledgerRev", kToken}}));
  ASSERT_TRUE(answer("/leases", 503, nullptr));
  pass_time(1);
  ASSERT_TRUE(answer("/kv/lead", 200, leader_key(kToken + 1, "node-2")));
  ASSERT_TRUE(answer("/follow", 200, {{"ledgerRev", kToken + 1}, {"events", wire::Value::array()}}))
      << "the first watch is still open";
  ASSERT_TRUE(take("/follow").has_value()) << "the second watch goes on";
  EXPECT_FALSE(take("/follow").has_value()) << "the first watch must not be repeated";
}

// A leader of an older version wrote its key without its lease.
class DetachedLeaderKeyTest : public LeaderElectionTest {
 protected:
  DetachedLeaderKeyTest() {
    settings_.tunables.leader_lease_s = 3;
    answer("/kv/lead", 200, leader_key(kToken, "node-2", 0, std::nullopt));
    read_detached_key();
    EXPECT_FALSE(take("/leases/0").has_value()) << "a single read may be wrong";
  }
  // A controller that does not lead reads the leader key regularly.
  void read_key(const wire::Value& body) {
    ports::Reply reply;
    reply.status = 200;
    reply.body = body;
    election_.on_leader_key_read(reply, out_.now());
  }
  void read_detached_key() {
    read_key(leader_key(kToken, "node-2", 0, std::nullopt));
  }
  bool erases_key() {
    const auto transaction = take("/txn");
    if (!transaction)
      return false;
    const wire::Value expected{{"if", {{{"path", "lead"}, {"stamp", kToken}}}},
                               {"apply", {{{"delete", "lead"}}}}};
    EXPECT_EQ(transaction->body, expected);
    return true;
  }
};

// Such a key outlived its leader, and nobody led after it.
TEST_F(DetachedLeaderKeyTest, AKeyWithoutALeaseIsErasedOnceItsLeaderCannotAct) {
  read_detached_key();
  EXPECT_FALSE(erases_key()) << "its leader may still renew its lease";
  ASSERT_TRUE(answer("/leases/0", 200, nullptr));
  pass_time(2.9);
  read_detached_key();
  EXPECT_FALSE(erases_key()) << "its leader may act until its last renewal has expired";
  pass_time(0.2);
  read_detached_key();
  EXPECT_TRUE(erases_key());
}

TEST_F(DetachedLeaderKeyTest, AKeyIsKeptWhileItsLeadersLeaseMayLast) {
  read_detached_key();
  ASSERT_TRUE(answer("/leases/0", 503, nullptr));
  pass_time(10);
  read_detached_key();
  EXPECT_FALSE(erases_key()) << "a revocation that was not executed ends no lease";
  EXPECT_TRUE(answer("/leases/0", 404, nullptr)) << "the revocation must be repeated";
  pass_time(1);
  read_key(leader_key(kToken + 1, "node-3", 5, 5));
  pass_time(10);
  read_key(leader_key(kToken + 1, "node-3", 5, 5));
  EXPECT_FALSE(take("/txn").has_value()) << "the next leader's key has its lease";
  EXPECT_FALSE(take("/leases/5").has_value());
}

// A leader.
class HigherTokenTest : public LeaderElectionTest {
 protected:
  HigherTokenTest() {
    answer("/kv/lead", 404, {{"ledgerRev", kToken - 2}});
    answer("/leases", 200, {{"permit", kLease}});
    answer("/txn", 200, {{"ledgerRev", kToken}});
  }
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
    reply.body = leader_key(version, "node-2");
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
