/// @file
/// Client of the state service, and the budget that its requests are charged to.
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

/// Decides how much of the budget a request must leave to requests of higher priority. Lease requests are
/// never delayed, and users have precedence over background work.
enum class RequestPriority : std::uint8_t { lease, user, admission, query, background };

/// The client of the state service.
///
/// All controllers share one budget of requests and changes per second; each keeps to its budget share. A
/// request that exceeds it is not sent, and its callback runs at once with status 429 and
/// `delivered == false`. All other statuses come from the service; 0 means that no reply came, so the request
/// may or may not have been carried out.
class StateClient {
 public:
  StateClient(ports::Outbox& out, const settings::Settings& settings);
  /// Sets the controller's budget share by its role. Has no effect once a share source is set.
  void set_leading(bool leading);

  /// The budget share of a role. The leader does most of the writing and gets the larger share.
  static double default_share(bool leading, std::size_t others) {
    return others == 0 ? 1.0 : leading ? 0.5 : 0.5 / static_cast<double>(others);
  }
  /// A budget share, as fractions of the whole budget.
  struct BudgetShare {
    double requests = 0;
    double writes = 0;
    bool may_overdraw = false;  ///< users may exceed the share of writes for some seconds
  };
  /// Sets a function that is called at each request for the controller's current budget share.
  void set_share_source(std::function<BudgetShare()> share_of_whole);
  /// Time in s until a transaction of `writes` changes would be sent; 0 if it would be sent now.
  Seconds time_until_writable(RequestPriority priority, double writes);
  /// The same for a request without changes.
  Seconds time_until_readable(RequestPriority priority);
  /// Changes per second that this controller may make.
  double write_rate() const {
    return writes_bucket_.rate();
  }
  /// The share that this controller's recent requests amount to, whether they were sent or throttled.
  BudgetShare recent_demand() const;
  /// Time in s within which most replies of the service arrive.
  Seconds typical_latency() const {
    return mean_latency_s_ + 2 * latency_deviation_s_;
  }

  using Callback = std::function<void(const Reply&)>;

  void get(const std::string& key, RequestPriority priority, Callback then);
  /// Lists the keys after `after` that begin with the prefix, up to a fixed number per request.
  void list(const std::string& prefix, const std::string& after, Callback then);
  /// Sends a transaction. It must not be sent at or after `not_after`, when the sender's authority ends.
  void transact(wire::Transaction txn, RequestPriority priority, Seconds not_after, Callback then);
  /// Long poll: replies once a key with the prefix has changed after revision `after`, at the latest after
  /// kWatchMs.
  void watch(const std::string& prefix, std::uint64_t after, Callback then);
  /// Replies at once with the changes after revision `after`.
  void read_changes(const std::string& prefix, std::uint64_t after, Callback then);
  void create_lease(int ttl_ms, Callback then);
  void renew_lease(std::uint64_t lease, Callback then);
  void revoke_lease(
      std::uint64_t lease, Callback then = [](const Reply&) {});

  /// True if the service has replied to this controller within kHealthyWindow.
  bool healthy() const {
    return out_.now() - last_reply_at_ < kHealthyWindow;
  }
  /// Time in s after which a reply is so late that a second attempt by another path is worthwhile.
  Seconds hedging_delay() const {
    return std::clamp(mean_latency_s_ + 4 * latency_deviation_s_, kMinHedgingDelay, kRequestTimeout / 2);
  }
  /// Number of requests that were sent.
  std::uint64_t requests() const {
    return requests_;
  }
  /// Number of requests that the budget did not allow.
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
  TokenBucket admission_bucket_;  // changes reserved for admissions
  TokenBucket query_bucket_;      // requests reserved for queries
  Seconds last_reply_at_ = -kHealthyWindow;
  Seconds mean_latency_s_ = 0.01;  // without watches
  Seconds latency_deviation_s_ = 0.005;
  std::uint64_t requests_ = 0;
  std::uint64_t throttled_ = 0;
  Seconds demand_updated_at_ = 0;
  double requested_requests_ = 0;  // decaying over kDemandWindow
  double requested_writes_ = 0;
};

}  // namespace wingtrail::store
