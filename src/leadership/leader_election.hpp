// Who leads. The leader holds one key under a short lease of the state service; the revision of the write
// that created the key is its token. Renewals never touch the key, so the token is also the key's version,
// and a write conditioned on that version can only succeed while this leadership lasts.
#pragma once

#include <functional>
#include <string>

#include "store/state_client.hpp"

namespace wingtrail::leadership {

using ports::Seconds;

inline constexpr const char* kLeaderKey = "lead";

class LeaderElection {
 public:
  struct Events {
    std::function<void()> on_elected;  // token() is ours from now on
    std::function<void()> on_lost;     // somebody else may lead
  };
  LeaderElection(ports::Outbox& out, store::StateClient& store, const settings::Settings& settings,
                 Events events);

  void start();
  bool holds_leadership() const {
    return holds_leadership_;
  }
  // The last moment at which an order may leave this node. Past it the node is silent, but keeps its office
  // if a renewal gets through later: the lease then never ended, so nobody else can have led.
  Seconds lease_expires_at() const {
    return holds_leadership_ ? lease_expires_at_ : -1;
  }
  bool may_act() const {
    return holds_leadership_ && out_.now() < lease_expires_at_;
  }
  // When the last renewal that got through was sent; of use while leading().
  Seconds renewed_at() const {
    return renewed_at_;
  }
  std::uint64_t fencing_token() const {
    return fencing_token_;
  }

  // The newest leadership known, from the state service or from peers.
  const std::string& leader() const {
    return leader_;
  }
  std::uint64_t leader_fencing_token() const {
    return leader_fencing_token_;
  }
  void observe_leader(const std::string& leader, std::uint64_t token);
  // Gives the office up and stays out of elections for `pause`.
  void resign(Seconds pause, const char* why);
  // A write conditioned on our key failed, or a worker knows a higher token: the office is gone.
  void on_superseded(const char* why);

 private:
  void read_leader_key();
  void watch_leader_key(std::uint64_t after);
  void on_vacant(std::uint64_t revision);
  void on_occupied(const wire::Item& item);
  void campaign();
  void on_won(std::uint64_t lease, std::uint64_t token, Seconds lease_sent);
  void schedule_renewal(Seconds delay);
  void renew_lease();
  void step_down(const char* why);
  Seconds lease_expiry(Seconds sent) const;

  ports::Outbox& out_;
  store::StateClient& store_;
  const settings::Settings& settings_;
  Events events_;
  bool holds_leadership_ = false, campaigning_ = false;
  std::uint64_t lease_ = 0, fencing_token_ = 0, term_ = 0;
  Seconds lease_expires_at_ = -1, renewed_at_ = -1, campaign_after_ = 0;
  std::string leader_;
  std::uint64_t leader_fencing_token_ = 0;
};

}  // namespace wingtrail::leadership
