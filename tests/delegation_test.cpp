// Custody against a plain truth: a worker's real lease, clocks that drift, messages that come late, nodes
// that restart, leaders that change. Whenever a leader takes the worker's lease for over, it must be.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <pcg_random.hpp>

#include "delegation/delegation.hpp"
#include "zones/zone_tracker.hpp"

namespace wingtrail::delegation {
namespace {

constexpr Seconds kSpan = 40, kLease = 20;

class Truth {
 public:
  explicit Truth(std::uint64_t seed) : rng_(seed) {
    for (Node& n : nodes_)
      n.rate = between(0.9995, 1.0005), n.custodian = std::make_unique<LeaseDelegate>(kSpan, 3);
    worker_rate_ = between(0.9995, 1.0005);
  }

  void play(double until) {
    lead(0);
    for (std::size_t i = 0; i < 3; ++i)
      later(between(0, 1), [this, i] { greet(i); });
    later(0.1, [this] { beat(); });
    later(5, [this] { random_fault(); });
    while (!events_.empty() && events_.begin()->first < until && wrong_ == 0) {
      auto e = events_.extract(events_.begin());
      t_ = e.key();
      e.mapped()();
      judge();
    }
  }
  int wrong() const {
    return wrong_;
  }
  int ends() const {
    return ends_;
  }
  int kept() const {
    return kept_;
  }
  int agreed() const {
    return agreed_;
  }

 private:
  struct Node {
    double rate = 1, cut_until = -1, born = 0;
    std::uint64_t life = 1, knows = 0;
    std::unique_ptr<LeaseDelegate> custodian;
  };
  double between(double a, double b) {
    return a + (b - a) * std::ldexp(static_cast<double>(rng_()), -32);
  }
  bool odds(double p) {
    return between(0, 1) < p;
  }
  void later(double delay, std::function<void()> f) {
    events_.emplace(t_ + delay, std::move(f));
  }
  Seconds clock(std::size_t i) const {
    return 1000 + t_ * nodes_[i].rate;
  }
  // Lost, late by milliseconds, or held until the cut between the two is over.
  void send(std::size_t a, std::size_t b, std::function<void()> f) {
    const double cut = std::max(nodes_[a].cut_until, nodes_[b].cut_until);
    if (t_ < cut) {
      if (odds(0.5))
        later(cut - t_ + between(0, 0.1), std::move(f));
    } else if (!odds(0.02)) {
      later(odds(0.2) ? between(0, 4) : 0.002, std::move(f));
    }
  }

  void lead(std::size_t i) {
    leader_ = i;
    vacant_ = false;
    ++token_;
    nodes_[i].knows = token_;
    nodes_[i].custodian->observe_leadership(token_);
    grants_ = std::make_unique<DelegationLedger>(kSpan, kLease, 3);
    grants_->begin_leadership(clock(i));
    own_ = clock(i) + kLease * (1 + kMaxClockDrift) + 0.5;  // whatever earlier leaders granted ends by then
    watched_ = worker_;
  }
  // Node i asks node j for a grant, and j for a word of i if it leads; as the controllers' greetings do.
  void greet(std::size_t i) {
    later(1, [this, i] { greet(i); });
    if (i == leader_ && !vacant_)  // what it did itself is in own_
      grants_->on_peer_statement(i, clock(i), clock(i), {clock(i) - nodes_[i].born, -1, true});
    for (std::size_t j = 0; j < 3; ++j) {
      if (j == i)
        continue;
      const Seconds asked = clock(i);
      const std::uint64_t life = nodes_[i].life, knew = nodes_[i].knows;
      send(i, j, [this, i, j, asked, life, knew] {
        Node& to = nodes_[j];
        if (knew > to.knows)
          to.knows = knew, to.custodian->observe_leadership(knew);
        const bool grants = j == leader_ && !vacant_;
        // Whoever may give no orders agrees; a leader past its authority puts it down.
        if (j == leader_)
          grants_->on_granted(i, clock(j));
        const std::uint64_t newest = to.custodian->newest_token();
        const DelegationLedger::PeerStatement word{clock(j) - to.born,
                                                   to.custodian->since_last_renewal_s(clock(j)), true};
        send(j, i, [this, i, j, asked, life, knows = to.knows, grants, word, newest] {
          Node& me = nodes_[i];
          if (me.life != life)
            return;
          if (knows > me.knows)
            me.knows = knows, me.custodian->observe_leadership(knows);
          if (grants)
            me.custodian->on_grant(knows, asked);
          if (!grants)
            me.custodian->on_peer_agreement(j, newest, asked, kSpan);
          me.custodian->on_peer_agreement(i, me.custodian->newest_token(), asked,
                                          kSpan);  // itself, where it counts as a peer
          if (i == leader_ && !vacant_ && knows >= token_)
            grants_->on_peer_statement(j, asked, clock(i), word);
        });
      });
    }
  }
  // The worker reports somewhere.
  void beat() {
    later(odds(0.1) ? between(15, 120) : between(0.5, 6), [this] { beat(); });  // it hangs now and then
    if ((t_ - renewed_) * worker_rate_ > kLease)
      ++worker_, renewed_ = t_, mandate_ = 0;
    const std::size_t i = rng_(3);
    const std::uint64_t session = worker_;
    const double sent = t_;
    later(between(0, 2), [this, i, session, sent] {
      Node& n = nodes_[i];
      std::uint64_t token = 0;
      if (i == leader_ && !vacant_) {
        if (odds(0.7))
          return;  // it is out of the leader's reach, mostly
        token = token_;
        if (session >= watched_)
          watched_ = session, own_ = clock(i) + kLease * (1 + kMaxClockDrift) + 0.5;
      } else if (const auto may = n.custodian->renewal_token(clock(i), mandate_)) {
        n.custodian->on_renewal(clock(i));
        token = *may;
        agreed_ += n.custodian->agreed_until() > clock(i);
        if (i == leader_ && session >= watched_)
          watched_ = session, own_ = clock(i) + kLease * (1 + kMaxClockDrift) + 0.5;
      }
      if (token == 0)
        return;
      later(between(0, 1), [this, session, sent, token, i] {
        if (session != worker_ || token < mandate_ || (t_ - renewed_) * worker_rate_ > kLease)
          return;
        kept_ += i != leader_ && sent > renewed_;
        mandate_ = token;
        renewed_ = std::max(renewed_, sent);
      });
    });
  }
  void random_fault() {
    later(between(2, 30), [this] { random_fault(); });
    const std::size_t i = rng_(3);
    switch (rng_(6)) {
      case 0:
        nodes_[i].cut_until = t_ + between(1, 90);
        return;
      case 1:  // a restart
        ++nodes_[i].life;
        nodes_[i].born = clock(i);
        nodes_[i].knows = 0;
        nodes_[i].custodian = std::make_unique<LeaseDelegate>(kSpan, 3);
        if (i == leader_)
          dead_ = true, vacant_ = true;
        if (dead_ && odds(0.5))
          lead((i + 1) % 3), dead_ = false;
        return;
      case 4:  // nobody leads for a while: the leader may not, or its process is over and no other was
               // elected
        vacant_ = true;
        later(between(1, 120), [this, was = token_] {
          if (token_ != was)
            return;
          dead_ ? lead(rng_(3)) : void(vacant_ = false);
          dead_ = false;
        });
        return;
      case 5:  // all processes are new
        vacant_ = dead_ = true;
        for (std::size_t k = 0; k < 3; ++k) {
          ++nodes_[k].life;
          nodes_[k].born = clock(k);
          nodes_[k].knows = 0;
          nodes_[k].custodian = std::make_unique<LeaseDelegate>(kSpan, 3);
        }
        later(between(1, 120), [this, was = token_] {
          if (token_ == was && dead_)
            lead(rng_(3)), dead_ = false;
        });
        return;
      case 2:
        if (i != leader_)
          lead(i), dead_ = false;
        return;
      default:
        nodes_[i].cut_until = t_;
    }
  }
  void judge() {
    if (vacant_ || watched_ == 0 || grants_->worker_lease_expiry(own_) > clock(leader_))
      return;
    ++ends_;
    // Sessions up to the one that was heard of last must be over.
    if (worker_ <= watched_ && (t_ - renewed_) * worker_rate_ <= kLease)
      ++wrong_;
    watched_ = 0;
  }

  pcg32 rng_;
  double t_ = 0, worker_rate_ = 1, renewed_ = 0;
  std::multimap<double, std::function<void()>> events_;
  Node nodes_[3];
  std::unique_ptr<DelegationLedger> grants_;
  std::size_t leader_ = 0;
  std::uint64_t token_ = 0, worker_ = 1, watched_ = 0, mandate_ = 0;
  Seconds own_ = 0;
  bool vacant_ = false, dead_ = false;  // nobody may give orders; nor will the last leader again
  int wrong_ = 0, ends_ = 0, kept_ = 0, agreed_ = 0;
};

TEST(Custody, ALeaseTakenForOverIsOver) {
  int ends = 0, kept = 0, agreed = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Truth truth(seed);
    truth.play(600);
    ASSERT_EQ(truth.wrong(), 0) << "seed " << seed;
    ends += truth.ends();
    kept += truth.kept();
    agreed += truth.agreed();
  }
  EXPECT_GT(ends, 1000);
  EXPECT_GT(kept, 10'000);
  EXPECT_GT(agreed, 1'000);
}

TEST(Custody, AGrantCountsFromItsAskingAndEndsWithANewerLeader) {
  LeaseDelegate c(kSpan, 1);
  c.on_grant(7, 100);
  EXPECT_EQ(c.renewal_token(139, 7), 7U);
  EXPECT_EQ(c.renewal_token(139, 8), std::nullopt) << "the worker would drop the answer";
  EXPECT_EQ(c.renewal_token(140, 7), std::nullopt);
  c.on_grant(7, 120);
  c.observe_leadership(8);
  EXPECT_EQ(c.renewal_token(121, 7), std::nullopt);
  c.on_grant(7, 130);  // came late
  EXPECT_EQ(c.renewal_token(131, 7), std::nullopt);
}

// Nobody leads: all peers must agree, each consent counts from its asking, and a newer leader ends all of it.
TEST(Custody, WhatAllAgreeOnLastsAsLongAsTheOldestConsent) {
  LeaseDelegate c(kSpan, 2);
  c.on_peer_agreement(0, 0, 100, kSpan);
  EXPECT_EQ(c.renewal_token(101, 7), std::nullopt) << "the other peer may lead";
  c.on_peer_agreement(1, 0, 110, kSpan);
  EXPECT_EQ(c.renewal_token(139, 7), 7U) << "the worker's own token: it moves nothing";
  EXPECT_EQ(c.renewal_token(139, 7, false), std::nullopt)
      << "an earlier leader may have told what was not so yet";
  EXPECT_EQ(c.renewal_token(139, 0), std::nullopt)
      << "a worker that never heard of a leader has nothing to lose";
  EXPECT_EQ(c.renewal_token(140, 7), std::nullopt);
  c.on_peer_agreement(0, 0, 130, 5);  // for as long as the peer reckons with, not longer
  EXPECT_EQ(c.renewal_token(140, 7), std::nullopt);
  c.on_peer_agreement(0, 0, 130, kSpan);
  EXPECT_EQ(c.renewal_token(141, 7), 7U);
  c.observe_leadership(9);
  EXPECT_EQ(c.renewal_token(141, 9), std::nullopt);
  c.on_peer_agreement(0, 8, 150, kSpan);  // has not heard of 9, so it may have spoken before 9 was elected
  c.on_peer_agreement(1, 9, 150, kSpan);
  EXPECT_EQ(c.renewal_token(151, 9), std::nullopt);
  c.on_peer_agreement(0, 9, 150, kSpan);
  EXPECT_EQ(c.renewal_token(151, 9), 9U);
  EXPECT_EQ(c.renewal_token(151, 7), 7U);

  LeaseDelegate off(0, 2), alone(kSpan, 0);
  off.on_peer_agreement(0, 0, 100, kSpan), off.on_peer_agreement(1, 0, 100, kSpan);
  EXPECT_EQ(off.renewal_token(101, 7), std::nullopt);
  EXPECT_EQ(alone.renewal_token(101, 7), 7U) << "nobody else could lead";
}

TEST(Custody, ALeaderReckonsWithWhatEarlierOnesMayHaveGranted) {
  DelegationLedger g(kSpan, kLease, 2);
  g.begin_leadership(100);
  EXPECT_NEAR(g.worker_lease_expiry(90), 100 + kSpan + kLease, 1);
  g.on_peer_statement(0, 101, 101.1, {500, -1, true});
  g.assume_earlier_delegations(3 * kSpan);  // as the mark in the state service says
  EXPECT_NEAR(g.worker_lease_expiry(90), 100 + 3 * kSpan + kLease, 1)
      << "of the peer that nothing was heard of";
  g.on_peer_statement(1, 102, 102.1, {500, 30, true});
  EXPECT_NEAR(g.worker_lease_expiry(90), 72 + kLease, 1) << "it last answered at 72";
}

TEST(Custody, AnAttemptTellsWhoseItIs) {
  const std::uint64_t plain = (std::uint64_t{412} << kFencingTokenShift) + 17;
  EXPECT_EQ(strict_cancellation_token(plain), 0U);
  EXPECT_EQ(strict_cancellation_token(kStrictCancellationFlag + plain), 412U);
}

TEST(Links, ACutZoneIsNotTakenForLostMachines) {
  zones::ZoneTracker links(5, 27, false);
  links.begin_leadership(0);
  links.set_expected(0, 200);
  links.set_expected(1, 4);
  for (double t = 1; t < 10; t += 0.05)
    links.on_contact(0, t);
  links.on_contact(1, 9);
  EXPECT_FALSE(links.is_unresponsive(0, 10));
  EXPECT_TRUE(links.is_unresponsive(0, 10.5)) << "forty reports a second, and none for half of one";
  EXPECT_FALSE(links.is_unresponsive(1, 20)) << "four machines are silent for that long now and then";
  EXPECT_FALSE(links.is_unreachable(0, 10.5));
  EXPECT_TRUE(links.is_unreachable(0, 12.5));
  EXPECT_TRUE(links.is_unreachable(1, 60));
  // A call sent at 9 s failed: lost if others were heard after it had been out for a second, and not before.
  EXPECT_FALSE(links.machine_lost_alone(0, 9));
  EXPECT_TRUE(links.on_contact(0, 12.5));
  EXPECT_TRUE(links.machine_lost_alone(0, 9))
      << "whoever counts failures leaves out those from before back_at()";
  EXPECT_EQ(links.returned_at(0), 12.5);
}

}  // namespace
}  // namespace wingtrail::delegation
