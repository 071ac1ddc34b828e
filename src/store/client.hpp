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
enum class Urgency : std::uint8_t { lease, user, admission, question, background };

class Bucket {
 public:
  void configure(double per_second) {
    rate_ = per_second, level_ = std::min(level_, burst());
  }
  // Below that many a second a second's worth would be no whole request.
  void whole(double least) {
    least_ = least;
  }
  // Takes `n` unless that would leave less than `floor` (a share of the burst).
  bool take(Seconds now, double n, double floor);
  void force(Seconds now, double n);
  // Until take() would succeed; at 0 it does.
  Seconds until(Seconds now, double n, double floor) const;
  double rate() const {
    return rate_;
  }

 private:
  void refill(Seconds now);
  double burst() const {
    return std::max(rate_, least_);
  }
  // What must be left; what is more than a full bucket takes a full one.
  double keep(double n, double floor) const {
    return least_ > 0 ? std::min(floor * rate_, burst() - n) : floor * rate_;
  }
  double rate_ = 0, level_ = 1e9, least_ = 0;
  Seconds at_ = 0;
};

class Client {
 public:
  using Then = std::function<void(const Reply&)>;

  Client(ports::Outbox& out, const settings::Settings& settings);
  // The leader does most of the writing and gets the larger part.
  void set_leading(bool leading);

  // The part of the whole that a node has where none are shared: the leader does most of the writing.
  static double fixed_part(bool leading, std::size_t others) {
    return others == 0 ? 1.0 : leading ? 0.5 : 0.5 / static_cast<double>(others);
  }
  // From now on the node's share of the whole is asked for at every request, and nothing is overdrawn.
  struct Parts {  // of the whole
    double requests = 0, writes = 0;
    bool fixed = false;  // as without shares: may be overdrawn
  };
  void shared(std::function<Parts()> of_whole);
  // Until a transaction of so many changes would be let out; changes a second that this node may make.
  Seconds ready_in(Urgency urgency, double writes);
  double write_rate() const {
    return writes_bucket_.rate();
  }
  // The part of the whole that this node has asked for lately, let out or not.
  Parts asked() const;
  // What an answer of the service usually takes.
  Seconds usual() const {
    return mean_s_ + 2 * spread_s_;
  }

  // Status 429 comes at once and from here when the budget is used up.
  void get(const std::string& key, Urgency urgency, Then then);
  void range(const std::string& prefix, const std::string& after, Then then);
  void txn(wire::Txn txn, Urgency urgency, Seconds not_after, Then then);
  // Answers once something has changed, at the latest after kWatchMs.
  void watch(const std::string& prefix, std::uint64_t after, Then then);
  // What has changed so far.
  void changes(const std::string& prefix, std::uint64_t after, Then then);
  void grant(int ttl_ms, Then then);
  void renew(std::uint64_t lease, Then then);
  void revoke(std::uint64_t lease);

  // Whether the service answered this node lately.
  bool healthy() const {
    return out_.now() - last_ok_ < kHealthy;
  }
  // After what time an answer is so late that another way is worth trying.
  Seconds patience() const {
    return std::clamp(mean_s_ + 4 * spread_s_, kLeastPatience, kTimeout / 2);
  }
  std::uint64_t requests() const {
    return requests_;
  }
  std::uint64_t refused() const {
    return refused_;
  }

 private:
  static constexpr Seconds kHealthy = 2.5;
  static constexpr Seconds kLeastPatience = 0.12;  // an answer usually takes some 10 ms
  static constexpr Seconds kTimeout = 1.5;
  static constexpr int kWatchMs = 10'000;
  static constexpr Seconds kAskedOver = 2;
  static double request_floor(Urgency urgency);
  void configure(double requests, double writes, double writes_for_admission);
  bool may_request(Seconds now, Urgency urgency) const;
  void take_request(Seconds now, Urgency urgency);
  double write_floor(Urgency urgency) const;
  void reckon(double requests, double writes);
  bool take_writes(Seconds now, double writes, Urgency urgency);
  void send(std::string method, std::string path, wire::Value body, double writes, Urgency urgency,
            Seconds timeout, Seconds not_after, Then then);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  std::function<Parts()> share_;
  bool overdraws_ = true;
  Bucket requests_bucket_, writes_bucket_, admission_bucket_;
  Bucket question_bucket_;  // requests that questions may make though others leave them none
  Seconds last_ok_ = -kHealthy;
  Seconds mean_s_ = 0.01, spread_s_ = 0.005;  // of answers, watches left out
  std::uint64_t requests_ = 0, refused_ = 0;
  Seconds asked_at_ = 0;
  double asked_requests_ = 0, asked_writes_ = 0;  // fading, over kAskedOver
};

}  // namespace wingtrail::store
