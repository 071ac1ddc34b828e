/// @file
/// Tests of delegated lease renewal. The first plays it against a model with a worker's true lease, clocks
/// that drift, messages that are delayed, controllers that restart and leaders that change: whenever a leader
/// considers the worker's lease expired, it must have expired.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <pcg_random.hpp>

#include "delegation/clock_drift.hpp"
#include "delegation/delegation_ledger.hpp"
#include "delegation/lease_delegate.hpp"
#include "delegation/strict_cancellation.hpp"
#include "zones/zone_tracker.hpp"

namespace wingtrail::delegation {
namespace {

constexpr Seconds kDelegation = 40;
constexpr Seconds kWorkerLease = 20;
constexpr Seconds kWorkerTimerMargin = 0.5;

// Three controllers and one worker. The worker's session ends when its lease expires; the next one begins
// with its next heartbeat.
class ClusterModel {
 public:
  explicit ClusterModel(std::uint64_t seed) : rng_(seed) {
    for (Controller& controller : controllers_) {
      controller.clock_rate = uniform(0.9995, 1.0005);
      controller.delegate = std::make_unique<LeaseDelegate>(kDelegation, 3);
    }
    worker_clock_rate_ = uniform(0.9995, 1.0005);
  }

  void run(double until) {
    elect(0);
    for (std::size_t i = 0; i < 3; ++i)
      schedule(uniform(0, 1), [this, i] { exchange_statements(i); });
    schedule(0.1, [this] { send_heartbeat(); });
    schedule(5, [this] { inject_fault(); });
    while (!events_.empty() && events_.begin()->first < until && wrong_expiries_ == 0) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
      check_expiry();
    }
  }
  // Leases that the leader considered expired while they were not.
  int wrong_expiries() const {
    return wrong_expiries_;
  }
  // Leases that the leader considered expired.
  int expiries() const {
    return expiries_;
  }
  // Renewals by controllers that do not lead.
  int delegated_renewals() const {
    return delegated_renewals_;
  }
  // Replies to heartbeats that an agreement of all peers permitted.
  int renewals_by_agreement() const {
    return renewals_by_agreement_;
  }

 private:
  struct Controller {
    double clock_rate = 1;
    double cut_off_until = -1;
    double started_at = 0;
    std::uint64_t incarnation = 1;
    std::uint64_t known_token = 0;
    std::unique_ptr<LeaseDelegate> delegate;
  };
  // What a controller says in reply to another's question.
  struct Statement {
    std::uint64_t known_token = 0;
    bool grants = false;
    std::uint64_t newest_token = 0;
    DelegationLedger::PeerStatement about_itself;
  };

  double uniform(double low, double high) {
    return low + (high - low) * std::ldexp(static_cast<double>(rng_()), -32);
  }
  bool chance(double probability) {
    return uniform(0, 1) < probability;
  }
  void schedule(double delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }
  Seconds clock(std::size_t i) const {
    return 1000 + now_ * controllers_[i].clock_rate;
  }
  bool worker_lease_expired() const {
    return (now_ - renewed_at_) * worker_clock_rate_ > kWorkerLease;
  }
  // When the lease of a worker expires that the controller renews now.
  Seconds lease_expiry(std::size_t i) const {
    return clock(i) + kWorkerLease * (1 + kMaxClockDrift) + kWorkerTimerMargin;
  }
  // The message is lost, delayed, or held back until the cut between the two is over.
  void send(std::size_t from, std::size_t to, std::function<void()> message) {
    const double cut = std::max(controllers_[from].cut_off_until, controllers_[to].cut_off_until);
    if (now_ < cut) {
      if (chance(0.5))
        schedule(cut - now_ + uniform(0, 0.1), std::move(message));
    } else if (!chance(0.02)) {
      schedule(chance(0.2) ? uniform(0, 4) : 0.002, std::move(message));
    }
  }

  void elect(std::size_t i) {
    leader_ = i;
    leaderless_ = false;
    ++token_;
    controllers_[i].known_token = token_;
    controllers_[i].delegate->observe_leadership(token_);
    ledger_ = std::make_unique<DelegationLedger>(kDelegation, kWorkerLease, 3);
    ledger_->begin_leadership(clock(i));
    own_expiry_ = lease_expiry(i);  // whatever earlier leaders granted ends by then
    watched_session_ = session_;
  }

  void observe_token(Controller& controller, std::uint64_t token) {
    if (token <= controller.known_token)
      return;
    controller.known_token = token;
    controller.delegate->observe_leadership(token);
  }

  // Controller i asks every other one for a grant and a statement, as the controllers' greetings do.
  void exchange_statements(std::size_t i) {
    schedule(1, [this, i] { exchange_statements(i); });
    if (i == leader_ && !leaderless_) {  // what it did itself is in own_expiry_
      ledger_->on_peer_statement(i, clock(i), clock(i), {clock(i) - controllers_[i].started_at, -1, true});
    }
    for (std::size_t j = 0; j < 3; ++j) {
      if (j == i)
        continue;
      const Seconds asked = clock(i);
      const std::uint64_t incarnation = controllers_[i].incarnation;
      const std::uint64_t asker_token = controllers_[i].known_token;
      send(i, j, [this, i, j, asked, incarnation, asker_token] {
        const Statement statement = make_statement(i, j, asker_token);
        send(j, i, [this, i, j, asked, incarnation, statement] {
          if (controllers_[i].incarnation == incarnation)
            receive_statement(i, j, asked, statement);
        });
      });
    }
  }
  Statement make_statement(std::size_t asker, std::size_t i, std::uint64_t asker_token) {
    Controller& controller = controllers_[i];
    observe_token(controller, asker_token);
    const bool grants = i == leader_ && !leaderless_;
    // Whoever must not send commands agrees; a leader past its lease records the agreement.
    if (i == leader_)
      ledger_->on_granted(asker, clock(i));
    return {controller.known_token,
            grants,
            controller.delegate->newest_token(),
            {clock(i) - controller.started_at, controller.delegate->since_last_renewal_s(clock(i)), true}};
  }
  void receive_statement(std::size_t i, std::size_t from, Seconds asked, const Statement& statement) {
    Controller& controller = controllers_[i];
    observe_token(controller, statement.known_token);
    if (statement.grants)
      controller.delegate->on_grant(statement.known_token, asked);
    if (!statement.grants)
      controller.delegate->on_peer_agreement(from, statement.newest_token, asked, kDelegation);
    // Itself, since it counts as one of the three peers here.
    controller.delegate->on_peer_agreement(i, controller.delegate->newest_token(), asked, kDelegation);
    if (i == leader_ && !leaderless_ && statement.known_token >= token_)
      ledger_->on_peer_statement(from, asked, clock(i), statement.about_itself);
  }

  // The worker sends a heartbeat to some controller.
  void send_heartbeat() {
    schedule(chance(0.1) ? uniform(15, 120) : uniform(0.5, 6),
             [this] { send_heartbeat(); });  // it hangs now and then
    if (worker_lease_expired()) {
      ++session_;
      renewed_at_ = now_;
      worker_token_ = 0;
    }
    const std::size_t i = rng_(3);
    const std::uint64_t session = session_;
    const double sent = now_;
    schedule(uniform(0, 2), [this, i, session, sent] { receive_heartbeat(i, session, sent); });
  }
  void receive_heartbeat(std::size_t i, std::uint64_t session, double sent) {
    LeaseDelegate& delegate = *controllers_[i].delegate;
    std::uint64_t token = 0;
    if (i == leader_ && !leaderless_) {
      if (chance(0.7))
        return;  // it is out of the leader's reach, mostly
      token = token_;
      watch_session(i, session);
    } else if (const auto renewal_token = delegate.renewal_token(clock(i), worker_token_)) {
      delegate.on_renewal(clock(i));
      token = *renewal_token;
      renewals_by_agreement_ += delegate.agreed_until() > clock(i);
      if (i == leader_)
        watch_session(i, session);
    }
    if (token == 0)
      return;
    schedule(uniform(0, 1), [this, session, sent, token, i] {
      if (session != session_ || token < worker_token_ || worker_lease_expired())
        return;
      delegated_renewals_ += i != leader_ && sent > renewed_at_;
      worker_token_ = token;
      renewed_at_ = std::max(renewed_at_, sent);
    });
  }
  void watch_session(std::size_t i, std::uint64_t session) {
    if (session < watched_session_)
      return;
    watched_session_ = session;
    own_expiry_ = lease_expiry(i);
  }

  void restart(std::size_t i) {
    ++controllers_[i].incarnation;
    controllers_[i].started_at = clock(i);
    controllers_[i].known_token = 0;
    controllers_[i].delegate = std::make_unique<LeaseDelegate>(kDelegation, 3);
  }
  void elect_replacement(std::size_t i) {
    elect(i);
    leader_crashed_ = false;
  }
  void inject_fault() {
    schedule(uniform(2, 30), [this] { inject_fault(); });
    const std::size_t i = rng_(3);
    switch (rng_(6)) {
      case 0:
        controllers_[i].cut_off_until = now_ + uniform(1, 90);
        return;
      case 1:
        restart(i);
        if (i == leader_) {
          leader_crashed_ = true;
          leaderless_ = true;
        }
        if (leader_crashed_ && chance(0.5))
          elect_replacement((i + 1) % 3);
        return;
      case 2:
        if (i != leader_)
          elect_replacement(i);
        return;
      case 4:  // no leader for a while: its lease is not renewed, or it crashed and no other was elected
        leaderless_ = true;
        schedule(uniform(1, 120), [this, earlier_token = token_] { end_leaderless_period(earlier_token); });
        return;
      case 5:  // all controllers restart
        leaderless_ = true;
        leader_crashed_ = true;
        for (std::size_t k = 0; k < 3; ++k)
          restart(k);
        schedule(uniform(1, 120), [this, earlier_token = token_] {
          if (token_ == earlier_token && leader_crashed_)
            elect_replacement(rng_(3));
        });
        return;
      default:
        controllers_[i].cut_off_until = now_;
    }
  }
  void end_leaderless_period(std::uint64_t earlier_token) {
    if (token_ != earlier_token)
      return;
    if (leader_crashed_)
      elect(rng_(3));
    else
      leaderless_ = false;
    leader_crashed_ = false;
  }

  // Sessions up to the one that the leader heard of last must be over once it considers the lease expired.
  void check_expiry() {
    if (leaderless_ || watched_session_ == 0 || ledger_->worker_lease_expiry(own_expiry_) > clock(leader_))
      return;
    ++expiries_;
    if (session_ <= watched_session_ && !worker_lease_expired())
      ++wrong_expiries_;
    watched_session_ = 0;
  }

  pcg32 rng_;
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  Controller controllers_[3];

  // The leadership.
  std::size_t leader_ = 0;
  std::uint64_t token_ = 0;
  bool leaderless_ = false;      // nobody may send commands
  bool leader_crashed_ = false;  // nor will the last leader again
  std::unique_ptr<DelegationLedger> ledger_;
  std::uint64_t watched_session_ = 0;  // of the worker, the newest that the leader knows; 0: none
  Seconds own_expiry_ = 0;

  // The worker.
  double worker_clock_rate_ = 1;
  double renewed_at_ = 0;
  std::uint64_t session_ = 1;
  std::uint64_t worker_token_ = 0;

  int wrong_expiries_ = 0;
  int expiries_ = 0;
  int delegated_renewals_ = 0;
  int renewals_by_agreement_ = 0;
};

TEST(DelegatedRenewal, ALeaseConsideredExpiredHasExpired) {
  int expiries = 0;
  int delegated_renewals = 0;
  int renewals_by_agreement = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    ClusterModel model(seed);
    model.run(600);
    ASSERT_EQ(model.wrong_expiries(), 0) << "seed " << seed;
    expiries += model.expiries();
    delegated_renewals += model.delegated_renewals();
    renewals_by_agreement += model.renewals_by_agreement();
  }
  EXPECT_GT(expiries, 1000);
  EXPECT_GT(delegated_renewals, 10'000);
  EXPECT_GT(renewals_by_agreement, 1'000);
}

TEST(DelegatedRenewal, AGrantCountsFromItsRequestAndEndsWithANewerLeader) {
  LeaseDelegate delegate(kDelegation, 1);
  delegate.on_grant(7, 100);
  EXPECT_EQ(delegate.renewal_token(139, 7), 7U);
  EXPECT_EQ(delegate.renewal_token(139, 8), std::nullopt) << "the worker would drop the reply";
  EXPECT_EQ(delegate.renewal_token(140, 7), std::nullopt);
  delegate.on_grant(7, 120);
  delegate.observe_leadership(8);
  EXPECT_EQ(delegate.renewal_token(121, 7), std::nullopt);
  delegate.on_grant(7, 130);  // delayed
  EXPECT_EQ(delegate.renewal_token(131, 7), std::nullopt);
}

// There is no leader: all peers must agree, each agreement counts from its request, and a newer leader ends
// all.
TEST(DelegatedRenewal, AnAgreementLastsAsLongAsItsOldestPart) {
  LeaseDelegate delegate(kDelegation, 2);
  delegate.on_peer_agreement(0, 0, 100, kDelegation);
  EXPECT_EQ(delegate.renewal_token(101, 7), std::nullopt) << "the other peer may lead";
  delegate.on_peer_agreement(1, 0, 110, kDelegation);
  EXPECT_EQ(delegate.renewal_token(139, 7), 7U) << "the worker's own token: it changes nothing";
  EXPECT_EQ(delegate.renewal_token(139, 7, false), std::nullopt)
      << "an earlier leader may have confirmed a cancellation too early";
  EXPECT_EQ(delegate.renewal_token(139, 0), std::nullopt)
      << "a worker that never heard of a leader has nothing to lose";
  EXPECT_EQ(delegate.renewal_token(140, 7), std::nullopt);
  delegate.on_peer_agreement(0, 0, 130, 5);  // for as long as the peer allows, not longer
  EXPECT_EQ(delegate.renewal_token(140, 7), std::nullopt);
  delegate.on_peer_agreement(0, 0, 130, kDelegation);
  EXPECT_EQ(delegate.renewal_token(141, 7), 7U);
  delegate.observe_leadership(9);
  EXPECT_EQ(delegate.renewal_token(141, 9), std::nullopt);
  // The peer has not heard of leadership 9, so it may have agreed before that one began.
  delegate.on_peer_agreement(0, 8, 150, kDelegation);
  delegate.on_peer_agreement(1, 9, 150, kDelegation);
  EXPECT_EQ(delegate.renewal_token(151, 9), std::nullopt);
  delegate.on_peer_agreement(0, 9, 150, kDelegation);
  EXPECT_EQ(delegate.renewal_token(151, 9), 9U);
  EXPECT_EQ(delegate.renewal_token(151, 7), 7U);

  LeaseDelegate disabled(0, 2);
  disabled.on_peer_agreement(0, 0, 100, kDelegation);
  disabled.on_peer_agreement(1, 0, 100, kDelegation);
  EXPECT_EQ(disabled.renewal_token(101, 7), std::nullopt);
  const LeaseDelegate without_peers(kDelegation, 0);
  EXPECT_EQ(without_peers.renewal_token(101, 7), 7U) << "nobody else could lead";
}

TEST(DelegatedRenewal, ALeaderReckonsWithGrantsOfEarlierLeaders) {
  DelegationLedger ledger(kDelegation, kWorkerLease, 2);
  ledger.begin_leadership(100);
  EXPECT_NEAR(ledger.worker_lease_expiry(90), 100 + kDelegation + kWorkerLease, 1);
  ledger.on_peer_statement(0, 101, 101.1, {500, -1, true});
  ledger.assume_earlier_delegations(3 * kDelegation);  // as the record in the state service says
  EXPECT_NEAR(ledger.worker_lease_expiry(90), 100 + 3 * kDelegation + kWorkerLease, 1)
      << "of the peer that nothing was heard of";
  ledger.on_peer_statement(1, 102, 102.1, {500, 30, true});
  EXPECT_NEAR(ledger.worker_lease_expiry(90), 72 + kWorkerLease, 1) << "it last renewed at 72";
}

TEST(DelegatedRenewal, AnAttemptShowsWhetherItsLeaderConfirmsCancellationsStrictly) {
  const std::uint64_t plain = (std::uint64_t{412} << kFencingTokenShift) + 17;
  EXPECT_EQ(strict_cancellation_token(plain), 0U);
  EXPECT_EQ(strict_cancellation_token(kStrictCancellationFlag + plain), 412U);
}

TEST(ZoneTracker, ACutOffZoneIsNotTakenForLostMachines) {
  zones::ZoneTracker tracker(5, 27, false);
  tracker.begin_leadership(0);
  tracker.add_expected_workers(0, 200);
  tracker.add_expected_workers(1, 4);
  for (double t = 1; t < 10; t += 0.05)
    tracker.on_contact(0, t);
  tracker.on_contact(1, 9);
  EXPECT_FALSE(tracker.is_unresponsive(0, 10));
  EXPECT_TRUE(tracker.is_unresponsive(0, 10.5)) << "forty heartbeats a second, and none for half of one";
  EXPECT_FALSE(tracker.is_unresponsive(1, 20)) << "four machines are silent for that long now and then";
  EXPECT_FALSE(tracker.is_unreachable(0, 10.5));
  EXPECT_TRUE(tracker.is_unreachable(0, 12.5));
  EXPECT_TRUE(tracker.is_unreachable(1, 60));
  // A call sent at 9 s failed: lost if others were heard after it had been out for a second, and not before.
  EXPECT_FALSE(tracker.is_isolated_failure(0, 9));
  EXPECT_TRUE(tracker.on_contact(0, 12.5));
  EXPECT_TRUE(tracker.is_isolated_failure(0, 9))
      << "whoever counts failures leaves out those from before reachable_since()";
  EXPECT_EQ(tracker.reachable_since(0), 12.5);
}

}  // namespace
}  // namespace wingtrail::delegation
