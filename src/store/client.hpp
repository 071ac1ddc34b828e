// The state service's client: every controller keeps to its part of the rates that all of them share.
#pragma once

#include <algorithm>
#include <functional>

#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "wire/messages.hpp"

namespace wingtrail::store {

using ports::Reply;
using ports::Seconds;

// Who may dip how deep into the budget: a lease always passes, people come before housekeeping.
enum class Urgency : std::uint8_t { lease, user, background };

class Bucket {
 public:
  void configure(double per_second) { rate_ = per_second, level_ = std::min(level_, rate_); }
  // Takes `n` unless that would leave less than `floor` (a share of the burst).
  bool take(Seconds now, double n, double floor);
  void force(Seconds now, double n);

 private:
  void refill(Seconds now);
  double rate_ = 0, level_ = 1e9;
  Seconds at_ = 0;
};

class Client {
 public:
  using Then = std::function<void(const Reply&)>;

  Client(ports::Outbox& out, const settings::Settings& settings);
  // The leader does most of the writing and gets the larger part.
  void set_leading(bool leading);

  // Status 429 comes at once and from here when the budget is used up.
  void get(const std::string& key, Urgency urgency, Then then);
  void range(const std::string& prefix, const std::string& after, Then then);
  void txn(wire::Txn txn, Urgency urgency, Seconds not_after, Then then);
  void watch(const std::string& prefix, std::uint64_t after, Then then);
  void grant(int ttl_ms, Then then);
  void renew(std::uint64_t lease, Then then);
  void revoke(std::uint64_t lease);

  // Whether the service answered this node lately.
  bool healthy() const { return out_.now() - last_ok_ < kHealthy; }
  // After what time an answer is so late that another way is worth trying.
  Seconds patience() const { return std::clamp(mean_s_ + 4 * spread_s_, kLeastPatience, kTimeout / 2); }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t refused() const { return refused_; }

 private:
  static constexpr Seconds kHealthy = 2.5;
  static constexpr Seconds kLeastPatience = 0.12;  // an answer usually takes some 10 ms
  static constexpr Seconds kTimeout = 1.5;
  static constexpr int kWatchMs = 10'000;
  void send(std::string method, std::string path, wire::Value body, double writes, Urgency urgency,
            Seconds timeout, Seconds not_after, Then then);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  Bucket requests_bucket_, writes_bucket_;
  Seconds last_ok_ = -kHealthy;
  Seconds mean_s_ = 0.01, spread_s_ = 0.005;  // of answers, watches left out
  std::uint64_t requests_ = 0, refused_ = 0;
};

}  // namespace wingtrail::store
