/// @file
/// Tests of delegated lease renewal. The first one runs it in a simulation that knows the worker's true
/// lease, with drifting clocks, lost and delayed messages, partitions, restarts of controllers and changes of
/// leader. Whenever the leader considers the worker's lease expired, it must have expired.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <pcg_random.hpp>

#include "delegation/delegation_ledger.hpp"
#include "delegation/lease_delegate.hpp"
#include "delegation/strict_cancellation.hpp"
#include "ports/clock_drift.hpp"
#include "zones/zone_tracker.hpp"

namespace wingtrail::delegation {
namespace {

constexpr Seconds kDelegation = 40;
constexpr Seconds kWorkerLease = 20;
constexpr Seconds kWorkerTimerMargin = 0.5;

// Simulates three controllers and one worker. The worker's incarnation ends when its lease expires; the next
// one begins with its next heartbeat.
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
  // Number of leases that the leader considered expired before they had expired.
  int wrong_expiries() const {
    return wrong_expiries_;
  }
  // Number of leases that the leader considered expired.
  int expiries() const {
    return expiries_;
  }
  // Number of renewals by controllers that did not lead.
  int delegated_renewals() const {
    return delegated_renewals_;
  }
  // Number of replies to heartbeats that were permitted by an agreement of all peers.
  int renewals_by_agreement() const {
    return renewals_by_agreement_;
  }

 private:
  struct Controller {
    double clock_rate = 1;
    double partitioned_until = -1;
    double started_at = 0;
    std::uint64_t process = 1;  // number of the current process of this controller
    std::uint64_t known_token = 0;
    std::unique_ptr<LeaseDelegate> delegate;
  };
  // A controller's reply to the status frame of another one.
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
  // Returns when a worker lease that controller i renews now has expired, by the clock of controller i.
  Seconds lease_expiry(std::size_t i) const {
    return clock(i) + kWorkerLease * (1 + ports::kMaxClockDrift) + kWorkerTimerMargin;
  }
  // Delivers the message after a delay, at the end of the partition between the two, or not at all.
  void send(std::size_t from, std::size_t to, std::function<void()> message) {
    const double partition_end =
        std::max(controllers_[from].partitioned_until, controllers_[to].partitioned_until);
    if (now_ < partition_end) {
      if (chance(0.5))
        schedule(partition_end - now_ + uniform(0, 0.1), std::move(message));
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
    own_expiry_ = lease_expiry(i);  // leases that earlier leaders renewed have expired by then
    watched_incarnation_ = worker_incarnation_;
  }

  void observe_token(Controller& controller, std::uint64_t token) {
    if (token <= controller.known_token)
      return;
    controller.known_token = token;
    controller.delegate->observe_leadership(token);
  }

  // Controller i requests a grant and a statement from every other one, as controllers do with status frames.
  void exchange_statements(std::size_t i) {
    schedule(1, [this, i] { exchange_statements(i); });
    // Its own renewals as the leader are in own_expiry_, so it states that it has made none.
    if (i == leader_ && !leaderless_) {
      ledger_->on_peer_statement(i, clock(i), clock(i), {clock(i) - controllers_[i].started_at, -1, true});
    }
    for (std::size_t j = 0; j < 3; ++j) {
      if (j == i)
        continue;
      const Seconds sent = clock(i);
      const std::uint64_t process = controllers_[i].process;
      const std::uint64_t requester_token = controllers_[i].known_token;
      send(i, j, [this, i, j, sent, process, requester_token] {
        const Statement statement = make_statement(i, j, requester_token);
        send(j, i, [this, i, j, sent, process, statement] {
          if (controllers_[i].process == process)
            receive_statement(i, j, sent, statement);
        });
      });
    }
  }
  Statement make_statement(std::size_t requester, std::size_t i, std::uint64_t requester_token) {
    Controller& controller = controllers_[i];
    observe_token(controller, requester_token);
    const bool grants = i == leader_ && !leaderless_;
    // A controller that must not send commands agrees. A leader whose lease has expired records that it did.
    if (i == leader_)
      ledger_->on_granted(requester, clock(i));
    return {controller.known_token,
            grants,
            controller.delegate->newest_token(),
            {clock(i) - controller.started_at, controller.delegate->since_last_renewal_s(clock(i)), true}};
  }
  void receive_statement(std::size_t i, std::size_t from, Seconds sent, const Statement& statement) {
    Controller& controller = controllers_[i];
    observe_token(controller, statement.known_token);
    if (statement.grants)
      controller.delegate->on_grant(statement.known_token, sent);
    if (!statement.grants)
      controller.delegate->on_peer_agreement(from, statement.newest_token, sent, kDelegation);
    // Its delegate counts all three controllers as peers, so it also needs its own agreement.
    controller.delegate->on_peer_agreement(i, controller.delegate->newest_token(), sent, kDelegation);
    if (i == leader_ && !leaderless_ && statement.known_token >= token_)
      ledger_->on_peer_statement(from, sent, clock(i), statement.about_itself);
  }

  // The worker sends a heartbeat to a random controller. It stalls now and then.
  void send_heartbeat() {
    schedule(chance(0.1) ? uniform(15, 120) : uniform(0.5, 6), [this] { send_heartbeat(); });
    if (worker_lease_expired()) {
      ++worker_incarnation_;
      renewed_at_ = now_;
      worker_token_ = 0;
    }
    const std::size_t i = rng_(3);
    const std::uint64_t incarnation = worker_incarnation_;
    const double sent = now_;
    schedule(uniform(0, 2), [this, i, incarnation, sent] { receive_heartbeat(i, incarnation, sent); });
  }
  void receive_heartbeat(std::size_t i, std::uint64_t incarnation, double sent) {
    LeaseDelegate& delegate = *controllers_[i].delegate;
    std::uint64_t token = 0;
    if (i == leader_ && !leaderless_) {
      if (chance(0.7))
        return;  // most heartbeats to the leader are lost
      token = token_;
      watch_incarnation(i, incarnation);
    } else if (const auto renewal_token = delegate.renewal_token(clock(i), worker_token_)) {
      delegate.on_renewal(clock(i));
      token = *renewal_token;
      renewals_by_agreement_ += delegate.agreed_until() > clock(i);
      if (i == leader_)
        watch_incarnation(i, incarnation);
    }
    if (token == 0)
      return;
    schedule(uniform(0, 1), [this, incarnation, sent, token, i] {
      if (incarnation != worker_incarnation_ || token < worker_token_ || worker_lease_expired())
        return;
      delegated_renewals_ += i != leader_ && sent > renewed_at_;
      worker_token_ = token;
      renewed_at_ = std::max(renewed_at_, sent);
    });
  }
  void watch_incarnation(std::size_t i, std::uint64_t incarnation) {
    if (incarnation < watched_incarnation_)
      return;
    watched_incarnation_ = incarnation;
    own_expiry_ = lease_expiry(i);
  }

  void restart(std::size_t i) {
    ++controllers_[i].process;
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
        controllers_[i].partitioned_until = now_ + uniform(1, 90);
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
      case 4:  // no leader for a while: its lease is not renewed, or it has crashed and no other is elected
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
        controllers_[i].partitioned_until = now_;
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

  // When the leader considers the lease expired, the newest incarnation that it knows of must have ended.
  void check_expiry() {
    if (leaderless_ || watched_incarnation_ == 0 ||
        ledger_->worker_lease_expiry(own_expiry_) > clock(leader_))
      return;
    ++expiries_;
    if (worker_incarnation_ <= watched_incarnation_ && !worker_lease_expired())
      ++wrong_expiries_;
    watched_incarnation_ = 0;
  }

  pcg32 rng_;
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  Controller controllers_[3];

  // The leadership.
  std::size_t leader_ = 0;
  std::uint64_t token_ = 0;
  bool leaderless_ = false;      // no controller may send commands
  bool leader_crashed_ = false;  // the last leader has restarted, so its leadership cannot resume
  std::unique_ptr<DelegationLedger> ledger_;
  std::uint64_t watched_incarnation_ = 0;  // the worker's newest incarnation that the leader knows; 0: none
  Seconds own_expiry_ = 0;                 // when the worker's lease expires by the leader's own renewals

  // The worker.
  double worker_clock_rate_ = 1;
  double renewed_at_ = 0;
  std::uint64_t worker_incarnation_ = 1;
  std::uint64_t worker_token_ = 0;  // the newest fencing token that it knows of

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
    ASSERT_EQ(model.wrong_expiries(), 0)
        << "seed " << seed << ": the leader considered a lease expired that was still valid";
    expiries += model.expiries();
    delegated_renewals += model.delegated_renewals();
    renewals_by_agreement += model.renewals_by_agreement();
  }
  EXPECT_GT(expiries, 1000) << "too few expiries for the check to mean anything";
  EXPECT_GT(delegated_renewals, 10'000) << "too few delegated renewals for the check to mean anything";
  EXPECT_GT(renewals_by_agreement, 1'000) << "too few renewals by agreement for the check to mean anything";
}

TEST(DelegatedRenewal, AGrantCountsFromItsRequestAndEndsWithANewerLeader) {
  LeaseDelegate delegate(kDelegation, 1);
  delegate.on_grant(7, 100);
  EXPECT_EQ(delegate.renewal_token(139, 7), 7U) << "the grant lasts until 140";
  EXPECT_EQ(delegate.renewal_token(139, 8), std::nullopt) << "the worker would drop the reply";
  EXPECT_EQ(delegate.renewal_token(140, 7), std::nullopt) << "the grant has expired";
  delegate.on_grant(7, 120);
  delegate.observe_leadership(8);
  EXPECT_EQ(delegate.renewal_token(121, 7), std::nullopt) << "a newer leader voids the grant";
  delegate.on_grant(7, 130);  // delayed
  EXPECT_EQ(delegate.renewal_token(131, 7), std::nullopt) << "the grant of an earlier leader is ignored";
}

// Without a leader all peers must agree. Each agreement counts from its request; a newer leader voids all.
TEST(DelegatedRenewal, AnAgreementLastsAsLongAsItsOldestPart) {
  LeaseDelegate delegate(kDelegation, 2);
  delegate.on_peer_agreement(0, 0, 100, kDelegation);
  EXPECT_EQ(delegate.renewal_token(101, 7), std::nullopt) << "the peer that has not agreed may lead";
  delegate.on_peer_agreement(1, 0, 110, kDelegation);
  EXPECT_EQ(delegate.renewal_token(139, 7), 7U) << "the reply carries the worker's own token";
  EXPECT_EQ(delegate.renewal_token(139, 7, false), std::nullopt)
      << "an earlier leader may have confirmed a cancellation too early";
  EXPECT_EQ(delegate.renewal_token(139, 0), std::nullopt)
      << "a worker that has never had a leader runs no tasks, and needs no renewal";
  EXPECT_EQ(delegate.renewal_token(140, 7), std::nullopt) << "the first agreement has expired";
  delegate.on_peer_agreement(0, 0, 130, 5);
  EXPECT_EQ(delegate.renewal_token(140, 7), std::nullopt) << "the peer allows 5 s only";
  delegate.on_peer_agreement(0, 0, 130, kDelegation);
  EXPECT_EQ(delegate.renewal_token(141, 7), 7U) << "both agreements are valid";
  delegate.observe_leadership(9);
  EXPECT_EQ(delegate.renewal_token(141, 9), std::nullopt) << "a newer leader voids the agreements";
  delegate.on_peer_agreement(0, 8, 150, kDelegation);
  delegate.on_peer_agreement(1, 9, 150, kDelegation);
  EXPECT_EQ(delegate.renewal_token(151, 9), std::nullopt)
      << "a peer that does not know of leader 9 may have agreed before its election";
  delegate.on_peer_agreement(0, 9, 150, kDelegation);
  EXPECT_EQ(delegate.renewal_token(151, 9), 9U) << "all peers know of leader 9 and have agreed";
  EXPECT_EQ(delegate.renewal_token(151, 7), 7U) << "the reply carries the worker's own token";

  LeaseDelegate disabled(0, 2);
  disabled.on_peer_agreement(0, 0, 100, kDelegation);
  disabled.on_peer_agreement(1, 0, 100, kDelegation);
  EXPECT_EQ(disabled.renewal_token(101, 7), std::nullopt) << "delegation is switched off";
  const LeaseDelegate without_peers(kDelegation, 0);
  EXPECT_EQ(without_peers.renewal_token(101, 7), 7U) << "no other controller could lead";
}

TEST(DelegatedRenewal, ALeaderAccountsForGrantsOfEarlierLeaders) {
  DelegationLedger ledger(kDelegation, kWorkerLease, 2);
  ledger.begin_leadership(100);
  EXPECT_NEAR(ledger.worker_lease_expiry(90), 100 + kDelegation + kWorkerLease, 1)
      << "both peers may renew under a grant of an earlier leader";
  ledger.on_peer_statement(0, 101, 101.1, {500, -1, true});
  ledger.assume_earlier_delegations(3 * kDelegation);  // as read from the support record
  EXPECT_NEAR(ledger.worker_lease_expiry(90), 100 + 3 * kDelegation + kWorkerLease, 1)
      << "the peer without a statement may renew for the recorded duration";
  ledger.on_peer_statement(1, 102, 102.1, {500, 30, true});
  EXPECT_NEAR(ledger.worker_lease_expiry(90), 72 + kWorkerLease, 1) << "the peer's last renewal was at 72";
}

TEST(DelegatedRenewal, AnAttemptShowsWhetherItsLeaderConfirmsCancellationsStrictly) {
  const std::uint64_t plain = (std::uint64_t{412} << kFencingTokenShift) + 17;
  EXPECT_EQ(strict_cancellation_token(plain), 0U) << "the flag is not set";
  EXPECT_EQ(strict_cancellation_token(kStrictCancellationFlag + plain), 412U) << "the leader's fencing token";
}

// When a whole zone is unreachable, failed calls to its machines must not count as losses of single machines.
TEST(ZoneTracker, MachinesOfAnUnreachableZoneAreNotLostAlone) {
  zones::ZoneTracker tracker(5, 27, false);
  tracker.begin_leadership(0);
  tracker.add_expected_workers(0, 200);
  tracker.add_expected_workers(1, 4);
  for (double t = 1; t < 10; t += 0.05)
    tracker.on_contact(0, t);
  tracker.on_contact(1, 9);
  EXPECT_FALSE(tracker.is_unresponsive(0, 10)) << "the last heartbeat was less than 0.1 s ago";
  EXPECT_TRUE(tracker.is_unresponsive(0, 10.5))
      << "200 machines send 40 heartbeats a second, but none for 0.5 s";
  EXPECT_FALSE(tracker.is_unresponsive(1, 20)) << "4 machines may by chance send none for 11 s";
  EXPECT_FALSE(tracker.is_unreachable(0, 10.5)) << "unresponsive for too short a time";
  EXPECT_TRUE(tracker.is_unreachable(0, 12.5)) << "no heartbeat of 200 machines for 2.5 s";
  EXPECT_TRUE(tracker.is_unreachable(1, 60)) << "no heartbeat of 4 machines for 51 s";
  // A call sent at 9 s has failed. The machine is lost alone only if others of its zone had contact more than
  // a second after the call was sent.
  EXPECT_FALSE(tracker.is_isolated_failure(0, 9)) << "the last contact was less than a second after the call";
  EXPECT_TRUE(tracker.on_contact(0, 12.5)) << "the contact ends the unreachability";
  EXPECT_TRUE(tracker.is_isolated_failure(0, 9))
      << "callers must ignore failures from before reachable_since(), which this function does not";
  EXPECT_EQ(tracker.reachable_since(0), 12.5) << "the time of the contact that ended the unreachability";
}

}  // namespace
}  // namespace wingtrail::delegation
