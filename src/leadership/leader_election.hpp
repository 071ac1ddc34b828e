/// @file
/// Election of the leading controller.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "store/state_client.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::leadership {

using ports::Seconds;

/// The key in the state service that the leader holds.
inline constexpr const char* kLeaderKey = "lead";

/// Campaigns for leadership, renews the leader lease, and knows who leads.
///
/// The leader holds kLeaderKey under a short lease of the state service. The revision of the write that
/// created the key is the leader's fencing token. Renewals never touch the key, so the token is also the
/// key's version, and a write conditioned on that version can succeed only while this leadership lasts.
///
/// Times are of this controller's clock, in seconds.
class LeaderElection {
 public:
  struct Events {
    std::function<void()> on_elected;  ///< fencing_token() is this controller's from now on
    std::function<void()> on_lost;     ///< another controller may lead
  };
  /// The references must outlive the election.
  LeaderElection(ports::Outbox& out, store::StateClient& store, const settings::Settings& settings,
                 Events events);

  /// Begins to follow the leader key, and campaigns whenever it is free. To be called once.
  void start();

  /// Whether no other controller can have been elected since this one was, as far as it knows. The lease may
  /// have run out, see may_act().
  bool holds_leadership() const {
    return holds_leadership_;
  }
  /// The last moment at which a command may leave this controller; -1 if it does not lead. Past it the
  /// controller sends no commands, but remains leader if a renewal succeeds later: the lease then never
  /// ended, so nobody else can have led.
  Seconds lease_expires_at() const {
    return holds_leadership_ ? lease_expires_at_ : -1;
  }
  /// Whether this controller leads and its lease has not run out.
  bool may_act() const {
    return holds_leadership_ && out_.now() < lease_expires_at_;
  }
  /// When the last renewal that succeeded was sent; meaningful while this controller leads.
  Seconds renewed_at() const {
    return renewed_at_;
  }
  /// Of this controller's current or last leadership.
  std::uint64_t fencing_token() const {
    return fencing_token_;
  }

  /// The holder of the newest leadership known, from the state service or from peers; empty if there is none.
  const std::string& leader() const {
    return leader_;
  }
  /// The fencing token of the newest leadership known.
  std::uint64_t leader_fencing_token() const {
    return leader_fencing_token_;
  }
  /// A peer knows of that leadership.
  void observe_leader(const std::string& leader, std::uint64_t token);
  /// Gives leadership up and stays out of elections for `pause`.
  void resign(Seconds pause, const char* reason);
  /// A write conditioned on the leader key failed, or a worker knows a higher token: leadership is lost.
  void on_superseded(const char* reason);

 private:
  void read_leader_key();
  void watch_leader_key(std::uint64_t after);
  void on_vacant(std::uint64_t revision);
  void on_occupied(const wire::Item& item);
  void campaign();
  void on_won(std::uint64_t lease, std::uint64_t token, Seconds lease_sent);
  void schedule_renewal(Seconds delay);
  void renew_lease();
  void step_down(const char* reason);
  Seconds lease_expiry(Seconds sent) const;

  ports::Outbox& out_;
  store::StateClient& store_;
  const settings::Settings& settings_;
  Events events_;
  bool holds_leadership_ = false;
  bool campaigning_ = false;
  std::uint64_t lease_ = 0;
  std::uint64_t fencing_token_ = 0;
  std::uint64_t term_ = 0;  // changes whenever this controller is elected or steps down
  Seconds lease_expires_at_ = -1;
  Seconds renewed_at_ = -1;
  Seconds campaign_after_ = 0;
  std::string leader_;
  std::uint64_t leader_fencing_token_ = 0;
};

}  // namespace wingtrail::leadership
