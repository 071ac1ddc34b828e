/// The client of the state service: requests, and the budget that they are charged to.
#pragma once

#include <algorithm>
#include <functional>

#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "store/token_bucket.hpp"
#include "wire/state_messages.hpp"
#include "wire/value.hpp"

namespace wingtrail::store {

using ports::Reply;

/// How much of the budget must be left for others. A lease is never held up, and users come before background
/// work.
enum class RequestPriority : std::uint8_t { lease, user, admission, question, background };

/// The client of the state service.
///
/// All controllers share one budget of requests and changes per second; each keeps to its share of it. What
/// exceeds that is answered at once with status 429 and `delivered == false`, and nothing is sent. The other
/// statuses are the service's own; 0 means that no reply came, so the request may or may not have been
/// carried out.
class StateClient {
 public:
  StateClient(ports::Outbox& out, const settings::Settings& settings);
  /// Sets the node's share by its role, as long as no share source is set.
  void set_leading(bool leading);

  /// The share of a node's role: the leader does most of the writing and gets the larger one.
  static double default_share(bool leading, std::size_t others) {
    return others == 0 ? 1.0 : leading ? 0.5 : 0.5 / static_cast<double>(others);
  }
  /// Fractions of the whole budget.
  struct BudgetShare {
    double requests = 0;
    double writes = 0;
    bool may_overdraw = false;  ///< for some seconds, as where no share source is set
  };
  /// From now on the node's share of the whole is asked for at every request.
  void set_share_source(std::function<BudgetShare()> share_of_whole);
  /// Until a transaction of that many changes would be sent; 0: it would now.
  Seconds time_until_writable(RequestPriority priority, double writes);
  /// Changes per second that this node may make.
  double write_rate() const {
    return writes_bucket_.rate();
  }
  /// The share that this node has asked for lately, whether its requests were sent or throttled.
  BudgetShare recent_demand() const;
  /// What a reply of the service usually takes.
  Seconds typical_latency() const {
    return mean_latency_s_ + 2 * latency_deviation_s_;
  }

  using Callback = std::function<void(const Reply&)>;

  void get(const std::string& key, RequestPriority priority, Callback then);
  /// The keys after `after` that begin with the prefix, one batch at a time.
  void list(const std::string& prefix, const std::string& after, Callback then);
  /// Must not be sent at or after `not_after`: the sender's authority ends there.
  void transact(wire::Transaction txn, RequestPriority priority, Seconds not_after, Callback then);
  /// Replies once something has changed after that revision, at the latest after kWatchMs.
  void watch(const std::string& prefix, std::uint64_t after, Callback then);
  /// Replies at once with what has changed after that revision.
  void read_changes(const std::string& prefix, std::uint64_t after, Callback then);
  void create_lease(int ttl_ms, Callback then);
  void renew_lease(std::uint64_t lease, Callback then);
  void revoke_lease(std::uint64_t lease);

  /// Whether the service replied to this node lately.
  bool healthy() const {
    return out_.now() - last_reply_at_ < kHealthyWindow;
  }
  /// After what time a reply is so late that another way is worth trying.
  Seconds hedging_delay() const {
    return std::clamp(mean_latency_s_ + 4 * latency_deviation_s_, kMinHedgingDelay, kRequestTimeout / 2);
  }
  /// Requests that were sent.
  std::uint64_t requests() const {
    return requests_;
  }
  /// Requests that the budget did not allow.
  std::uint64_t throttled() const {
    return throttled_;
  }

 private:
  static constexpr Seconds kHealthyWindow = 2.5;
  static constexpr Seconds kMinHedgingDelay = 0.12;
  static constexpr Seconds kRequestTimeout = 1.5;
  static constexpr int kWatchMs = 10'000;
  static constexpr Seconds kDemandWindow = 2;
  static double request_floor(RequestPriority priority);
  void configure(double requests, double writes, double writes_for_admission);
  bool may_request(Seconds now, RequestPriority priority) const;
  void take_request(Seconds now, RequestPriority priority);
  double write_floor(RequestPriority priority) const;
  void record_demand(double requests, double writes);
  bool take_writes(Seconds now, double writes, RequestPriority priority);
  void send(std::string method, std::string path, wire::Value body, double writes, RequestPriority priority,
            Seconds timeout, Seconds not_after, Callback then);

  ports::Outbox& out_;
  const settings::Settings& settings_;
  std::function<BudgetShare()> share_source_;
  bool may_overdraw_ = true;
  TokenBucket requests_bucket_;
  TokenBucket writes_bucket_;
  TokenBucket admission_bucket_;  // changes that only admissions may make
  TokenBucket question_bucket_;   // requests that questions may make though others leave them none
  Seconds last_reply_at_ = -kHealthyWindow;
  Seconds mean_latency_s_ = 0.01;  // watches left out
  Seconds latency_deviation_s_ = 0.005;
  std::uint64_t requests_ = 0;
  std::uint64_t throttled_ = 0;
  Seconds demand_updated_at_ = 0;
  double requested_requests_ = 0;  // decaying over kDemandWindow
  double requested_writes_ = 0;
};

}  // namespace wingtrail::store
