// Who leads. The leader holds one key under a short lease of the state service; the revision of the write
// that created the key is its token. Renewals never touch the key, so the token is also the key's version,
// and a write conditioned on that version can only succeed while this leadership lasts.
#pragma once

#include <functional>
#include <string>

#include "store/client.hpp"

namespace wingtrail::lead {

using ports::Seconds;

inline constexpr const char* kKey = "lead";

class Election {
 public:
  struct Events {
    std::function<void()> elected;  // token() is ours from now on
    std::function<void()> lost;     // somebody else may lead
  };
  Election(ports::Outbox& out, store::Client& store, const settings::Settings& settings, Events events);

  void start();
  bool leading() const {
    return leading_;
  }
  // The last moment at which an order may leave this node. Past it the node is silent, but keeps its office
  // if a renewal gets through later: the lease then never ended, so nobody else can have led.
  Seconds authority_until() const {
    return leading_ ? until_ : -1;
  }
  bool entitled() const {
    return leading_ && out_.now() < until_;
  }
  // When the last renewal that got through was sent; of use while leading().
  Seconds renewed_at() const {
    return renewed_at_;
  }
  std::uint64_t token() const {
    return token_;
  }

  // The newest leadership known, from the state service or from peers.
  const std::string& leader() const {
    return leader_;
  }
  std::uint64_t leader_token() const {
    return leader_token_;
  }
  void heard(const std::string& leader, std::uint64_t token);
  // Gives the office up and stays out of elections for `pause`.
  void resign(Seconds pause, const char* why);
  // A write conditioned on our key failed, or a worker knows a higher token: the office is gone.
  void superseded(const char* why);

 private:
  void look();
  void follow(std::uint64_t after);
  void vacant(std::uint64_t revision);
  void occupied(const wire::Item& item);
  void stand();
  void won(std::uint64_t lease, std::uint64_t token, Seconds lease_sent);
  void renew_later(Seconds delay);
  void renew();
  void step_down(const char* why);
  Seconds authority(Seconds sent) const;

  ports::Outbox& out_;
  store::Client& store_;
  const settings::Settings& settings_;
  Events events_;
  bool leading_ = false, standing_ = false;
  std::uint64_t lease_ = 0, token_ = 0, term_ = 0;
  Seconds until_ = -1, renewed_at_ = -1, stand_after_ = 0;
  std::string leader_;
  std::uint64_t leader_token_ = 0;
};

}  // namespace wingtrail::lead
