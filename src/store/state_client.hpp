// The state service's client: every controller keeps to its part of the rates that all of them share.
#pragma once

#include <algorithm>
#include <functional>

#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::store {

using ports::Reply;
using ports::Seconds;

// Who may dip how deep into the budget: a lease always passes, people come before housekeeping.
enum class RequestPriority : std::uint8_t { lease, user, admission, question, background };

class TokenBucket {
 public:
  void configure(double per_second) {
    rate_ = per_second, level_ = std::min(level_, burst());
  }
  // Below that many a second a second's worth would be no whole request.
  void set_minimum_burst(double least) {
    minimum_burst_ = least;
  }
  // Takes `n` unless that would leave less than `floor` (a share of the burst).
  bool try_take(Seconds now, double n, double floor);
  void take_with_debt(Seconds now, double n);
  // Until take() would succeed; at 0 it does.
  Seconds time_until(Seconds now, double n, double floor) const;
  double rate() const {
    return rate_;
  }

 private:
  void refill(Seconds now);
  double burst() const {
    return std::max(rate_, minimum_burst_);
  }
  // What must be left; what is more than a full bucket takes a full one.
  double reserve(double n, double floor) const {
    return minimum_burst_ > 0 ? std::min(floor * rate_, burst() - n) : floor * rate_;
  }
  double rate_ = 0, level_ = 1e9, minimum_burst_ = 0;
  Seconds refilled_at_ = 0;
};

class StateClient {
 public:
  using Callback = std::function<void(const Reply&)>;

  StateClient(ports::Outbox& out, const settings::Settings& settings);
  // The leader does most of the writing and gets the larger part.
  void set_leading(bool leading);

  // The part of the whole that a node has where none are shared: the leader does most of the writing.
  static double default_share(bool leading, std::size_t others) {
    return others == 0 ? 1.0 : leading ? 0.5 : 0.5 / static_cast<double>(others);
  }
  // From now on the node's share of the whole is asked for at every request, and nothing is overdrawn.
  struct BudgetShare {  // of the whole
    double requests = 0, writes = 0;
    bool may_overdraw = false;  // as without shares: may be overdrawn
  };
  void set_share_source(std::function<BudgetShare()> of_whole);
  // Until a transaction of so many changes would be let out; changes a second that this node may make.
  Seconds time_until_writable(RequestPriority urgency, double writes);
  double write_rate() const {
    return writes_bucket_.rate();
  }
  // The part of the whole that this node has asked for lately, let out or not.
  BudgetShare recent_demand() const;
  // What an answer of the service usually takes.
  Seconds typical_latency() const {
    return mean_latency_s_ + 2 * latency_deviation_s_;
  }

  // Status 429 comes at once and from here when the budget is used up.
  void get(const std::string& key, RequestPriority urgency, Callback then);
  void list(const std::string& prefix, const std::string& after, Callback then);
  void transact(wire::Transaction txn, RequestPriority urgency, Seconds not_after, Callback then);
  // Answers once something has changed, at the latest after kWatchMs.
  void watch(const std::string& prefix, std::uint64_t after, Callback then);
  // What has changed so far.
  void read_changes(const std::string& prefix, std::uint64_t after, Callback then);
  void create_lease(int ttl_ms, Callback then);
  void renew_lease(std::uint64_t lease, Callback then);
  void revoke_lease(std::uint64_t lease);

  // Whether the service answered this node lately.
  bool healthy() const {
    return out_.now() - last_ok_ < kHealthyWindow;
  }
  // After what time an answer is so late that another way is worth trying.
  Seconds hedging_delay() const {
    return std::clamp(mean_latency_s_ + 4 * latency_deviation_s_, kMinHedgingDelay, kRequestTimeout / 2);
  }
  std::uint64_t requests() const {
    return requests_;
  }
  std::uint64_t throttled() const {
    return throttled_;
  }

 private:
  static constexpr Seconds kHealthyWindow = 2.5;
  static constexpr Seconds kMinHedgingDelay = 0.12;  // an answer usually takes some 10 ms
  static constexpr Seconds kRequestTimeout = 1.5;
  static constexpr int kWatchMs = 10'000;
  static constexpr Seconds kDemandWindow = 2;
  static double request_floor(RequestPriority urgency);
  void configure(double requests, double writes, double writes_for_admission);
  bool may_request(Seconds now, RequestPriority urgency) const;
  void take_request(Seconds now, RequestPriority urgency);
  double write_floor(RequestPriority urgency) const;
  void record_demand(double requests, double writes);
  bool take_writes(Seconds now, double writes, RequestPriority urgency);
  void send(std::string method, std::string path, wire::Value body, double writes, RequestPriority urgency,
            Seconds timeout, Seconds not_after, Callback then);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  std::function<BudgetShare()> share_source_;
  bool may_overdraw_ = true;
  TokenBucket requests_bucket_, writes_bucket_, admission_bucket_;
  TokenBucket question_bucket_;  // requests that questions may make though others leave them none
  Seconds last_ok_ = -kHealthyWindow;
  Seconds mean_latency_s_ = 0.01, latency_deviation_s_ = 0.005;  // of answers, watches left out
  std::uint64_t requests_ = 0, throttled_ = 0;
  Seconds demand_updated_at_ = 0;
  double requested_requests_ = 0, requested_writes_ = 0;  // fading, over kAskedOver
};

}  // namespace wingtrail::store
