#include "store/state_client.hpp"

#include <algorithm>
#include <cmath>

namespace wingtrail::store {
namespace {
/// Fraction of the budget that is used: clocks drift, and requests of one second may arrive in the next.
constexpr double kUsedFraction = 0.9;
/// Minimum burst of a controller, in requests and in changes, however small its share is. Submissions come in
/// bursts; with a small budget and no minimum, some waited for more than a second.
constexpr double kMinimumBurst = 4;
/// Fraction of a controller's changes that is reserved for admissions.
constexpr double kAdmissionFraction = 0.1;
/// Fraction of a controller's requests that is reserved for queries.
constexpr double kQueryFraction = 0.2;
/// Number of samples over which the mean latency and its mean deviation are smoothed.
constexpr double kLatencySamples = 16;
constexpr int kRangeLimit = 500;        ///< keys per list request
constexpr Seconds kLeaseTimeout = 1.0;  ///< in s
constexpr int kStatusNoReply = 0;
constexpr int kStatusThrottled = 429;
constexpr int kStatusUnavailable = 503;
}  // namespace

StateClient::StateClient(ports::Outbox& out, const settings::Settings& settings)
    : out_(out), settings_(settings) {
  set_leading(false);
}

void StateClient::set_share_source(std::function<BudgetShare()> share_of_whole) {
  share_source_ = std::move(share_of_whole);
  requests_bucket_.set_minimum_burst(kMinimumBurst);
  writes_bucket_.set_minimum_burst(kMinimumBurst);
  admission_bucket_.set_minimum_burst(1);
  query_bucket_.set_minimum_burst(1);
}

void StateClient::configure(double requests, double writes, double writes_for_admission) {
  requests_bucket_.configure(requests);
  query_bucket_.configure(requests * kQueryFraction);
  writes_bucket_.configure(writes);
  admission_bucket_.configure(writes_for_admission);
}

void StateClient::record_demand(double requests, double writes) {
  const double remaining = std::exp(-(out_.now() - demand_updated_at_) / kDemandWindow);
  requested_requests_ = requested_requests_ * remaining + requests;
  requested_writes_ = requested_writes_ * remaining + writes;
  demand_updated_at_ = out_.now();
  if (!share_source_)
    return;
  const BudgetShare share = share_source_();
  may_overdraw_ = share.may_overdraw;
  const double writes_rate = settings_.state_writes_per_s * share.writes * kUsedFraction;
  const double reserved = share.may_overdraw ? 0 : kAdmissionFraction;
  configure(settings_.state_requests_per_s * share.requests * kUsedFraction, writes_rate * (1 - reserved),
            writes_rate * reserved);
}

bool StateClient::may_request(Seconds now, RequestPriority priority) const {
  return requests_bucket_.time_until(now, 1, request_floor(priority)) <= 0 ||
         (priority == RequestPriority::query && query_bucket_.time_until(now, 1, 0) <= 0);
}

// Queries use the requests that submissions leave, and otherwise a reserved part, which then is charged to
// the common budget too. Without a reserved part, queries of jobs that had long been over failed for minutes
// while submissions kept coming.
void StateClient::take_request(Seconds now, RequestPriority priority) {
  if (requests_bucket_.try_take(now, 1, request_floor(priority)))
    return;
  query_bucket_.take_with_debt(now, 1);
  requests_bucket_.take_with_debt(now, 1);
}

// Admissions use the changes that final states and commands leave, and otherwise a small reserved part.
// Without it, a leader that records final states for a whole minute would admit no jobs in that time.
bool StateClient::take_writes(Seconds now, double writes, RequestPriority priority) {
  if (writes <= 0 || writes_bucket_.try_take(now, writes, write_floor(priority)))
    return true;
  return !may_overdraw_ && priority == RequestPriority::admission &&
         admission_bucket_.try_take(now, writes, 0);
}

StateClient::BudgetShare StateClient::recent_demand() const {
  const double remaining =
      std::exp(-(out_.now() - demand_updated_at_) / kDemandWindow) / kDemandWindow / kUsedFraction;
  return {requested_requests_ * remaining / settings_.state_requests_per_s,
          requested_writes_ * remaining / settings_.state_writes_per_s};
}

double StateClient::request_floor(RequestPriority priority) {
  return priority == RequestPriority::background || priority == RequestPriority::query ? 0.3
         : priority == RequestPriority::admission                                      ? 0.15
                                                                                       : 0.05;
}

// Final states and commands to workers have precedence over admissions, and admissions over writes that only
// a later leader needs. Where overdrawing is allowed (always without a share source), users may exceed a
// controller's share of the writes for some seconds: submissions come in bursts and at one controller, and
// the service itself still refuses requests once the whole budget is used up.
double StateClient::write_floor(RequestPriority priority) const {
  if (may_overdraw_)
    return priority == RequestPriority::background ? 0.0 : -3.0;
  return priority == RequestPriority::background ? 0.45 : priority == RequestPriority::admission ? 0.3 : 0.0;
}

Seconds StateClient::time_until_writable(RequestPriority priority, double writes) {
  record_demand(0, 0);
  Seconds changes = writes_bucket_.time_until(out_.now(), writes, write_floor(priority));
  if (!may_overdraw_ && priority == RequestPriority::admission)
    changes = std::min(changes, admission_bucket_.time_until(out_.now(), writes, 0));
  return std::max(requests_bucket_.time_until(out_.now(), 1, request_floor(priority)), changes);
}

Seconds StateClient::time_until_readable(RequestPriority priority) {
  record_demand(0, 0);
  const Seconds common = requests_bucket_.time_until(out_.now(), 1, request_floor(priority));
  if (priority != RequestPriority::query)
    return common;
  return std::min(common, query_bucket_.time_until(out_.now(), 1, 0));
}

void StateClient::set_leading(bool leading) {
  if (share_source_)
    return;
  const double share = default_share(leading, settings_.peers.size());
  configure(settings_.state_requests_per_s * share * kUsedFraction,
            settings_.state_writes_per_s * share * kUsedFraction, 0);
}

void StateClient::send(std::string method, std::string path, wire::Value body, double writes,
                       RequestPriority priority, Seconds timeout, Seconds not_after, Callback then) {
  const Seconds now = out_.now();
  record_demand(1, writes);
  if (priority == RequestPriority::lease) {
    requests_bucket_.take_with_debt(now, 1);
    writes_bucket_.take_with_debt(now, writes);
  } else {
    if (!may_request(now, priority) || !take_writes(now, writes, priority)) {
      ++throttled_;
      Reply refusal;
      refusal.status = kStatusThrottled;
      refusal.delivered = false;
      return then(refusal);
    }
    take_request(now, priority);
  }
  ++requests_;
  ports::Call call;
  call.target = ports::Target::state;
  call.method = std::move(method);
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout_s = timeout;
  call.not_after = not_after;
  const bool is_watch = timeout > kWatchMs / 1000.0;
  out_.call(std::move(call), [this, then = std::move(then), sent_at = now, is_watch](const Reply& reply) {
    if (reply.status != kStatusNoReply && reply.status != kStatusUnavailable) {
      last_reply_at_ = out_.now();
      const Seconds latency = out_.now() - sent_at;
      if (!is_watch) {
        latency_deviation_s_ +=
            (std::abs(latency - mean_latency_s_) - latency_deviation_s_) / kLatencySamples;
        mean_latency_s_ += (latency - mean_latency_s_) / kLatencySamples;
      }
    }
    then(reply);
  });
}

void StateClient::get(const std::string& key, RequestPriority priority, Callback then) {
  send("GET", wire::key_path(key), nullptr, 0, priority, kRequestTimeout, ports::kNever, std::move(then));
}

void StateClient::list(const std::string& prefix, const std::string& after, Callback then) {
  send("GET", wire::range_path(prefix, after, kRangeLimit), nullptr, 0, RequestPriority::lease,
       3 * kRequestTimeout, ports::kNever, std::move(then));
}

void StateClient::transact(wire::Transaction txn, RequestPriority priority, Seconds not_after,
                           Callback then) {
  const double writes = txn.change_count();
  send("POST", "/txn", txn.take(), writes, priority, kRequestTimeout, not_after, std::move(then));
}

void StateClient::watch(const std::string& prefix, std::uint64_t after, Callback then) {
  send("GET", wire::watch_path(prefix, after, kWatchMs), nullptr, 0, RequestPriority::lease,
       kWatchMs / 1000.0 + 2 * kRequestTimeout, ports::kNever, std::move(then));
}

void StateClient::read_changes(const std::string& prefix, std::uint64_t after, Callback then) {
  send("GET", wire::watch_path(prefix, after, 0), nullptr, 0, RequestPriority::user, kRequestTimeout,
       ports::kNever, std::move(then));
}

void StateClient::create_lease(int ttl_ms, Callback then) {
  send("POST", "/leases", wire::lease_body(ttl_ms), 0, RequestPriority::lease, kLeaseTimeout, ports::kNever,
       std::move(then));
}

void StateClient::renew_lease(std::uint64_t lease, Callback then) {
  send("POST", wire::renew_path(lease), wire::Value::object(), 0, RequestPriority::lease, kLeaseTimeout,
       ports::kNever, std::move(then));
}

void StateClient::revoke_lease(std::uint64_t lease, Callback then) {
  send("DELETE", "/leases/" + std::to_string(lease), nullptr, 0, RequestPriority::lease, kLeaseTimeout,
       ports::kNever, std::move(then));
}

}  // namespace wingtrail::store
