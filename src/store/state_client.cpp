#include "store/state_client.hpp"

#include <algorithm>
#include <cmath>

namespace wingtrail::store {
namespace {
// A tenth stays unused: clocks drift, and requests of one second may arrive in the next.
constexpr double kUsed = 0.9;
// What a node may use at once at the least, however small its part: submissions come in clusters, and with a
// budget of 21 changes a second (cub-meterlink-next) one in fifty waited for more than a second otherwise.
constexpr double kLeastBurst = 4;
constexpr double kForAdmission = 0.1;  // of a node's changes, what nothing else may use
constexpr double kForQuestions = 0.2;  // of a node's requests, what questions have in any case
}  // namespace

void TokenBucket::refill(Seconds now) {
  level_ = std::min(burst(), level_ + (now - refilled_at_) * rate_);
  refilled_at_ = now;
}

bool TokenBucket::try_take(Seconds now, double n, double floor) {
  refill(now);
  if (level_ - n < reserve(n, floor))
    return false;
  level_ -= n;
  return true;
}

Seconds TokenBucket::time_until(Seconds now, double n, double floor) const {
  const double level = std::min(burst(), level_ + (now - refilled_at_) * rate_);
  const double lacks = reserve(n, floor) + n - level;
  return lacks <= 0 ? 0 : rate_ > 0 ? lacks / rate_ : 1.0;
}

void TokenBucket::take_with_debt(Seconds now, double n) {
  refill(now);
  level_ -= n;
}

StateClient::StateClient(ports::Outbox& out, const settings::Settings& settings)
    : out_(out), settings_(settings) {
  set_leading(false);
}

void StateClient::set_share_source(std::function<BudgetShare()> of_whole) {
  share_source_ = std::move(of_whole);
  requests_bucket_.set_minimum_burst(kLeastBurst);
  writes_bucket_.set_minimum_burst(kLeastBurst);
  admission_bucket_.set_minimum_burst(1);
  question_bucket_.set_minimum_burst(1);
}

void StateClient::configure(double requests, double writes, double writes_for_admission) {
  requests_bucket_.configure(requests);
  question_bucket_.configure(requests * kForQuestions);
  writes_bucket_.configure(writes);
  admission_bucket_.configure(writes_for_admission);
}

void StateClient::record_demand(double requests, double writes) {
  const double left = std::exp(-(out_.now() - demand_updated_at_) / kDemandWindow);
  requested_requests_ = requested_requests_ * left + requests;
  requested_writes_ = requested_writes_ * left + writes;
  demand_updated_at_ = out_.now();
  if (!share_source_)
    return;
  const BudgetShare parts = share_source_();
  may_overdraw_ = parts.may_overdraw;
  const double writes_rate = settings_.state_writes_per_s * parts.writes * kUsed;
  const double apart = parts.may_overdraw ? 0 : kForAdmission;
  configure(settings_.state_requests_per_s * parts.requests * kUsed, writes_rate * (1 - apart),
            writes_rate * apart);
}

bool StateClient::may_request(Seconds now, RequestPriority urgency) const {
  return requests_bucket_.time_until(now, 1, request_floor(urgency)) <= 0 ||
         (urgency == RequestPriority::question && question_bucket_.time_until(now, 1, 0) <= 0);
}

// Questions take what submissions leave, and have a part in any case, which then is missing for the others:
// with none, users asked for minutes about a job that had long been over, while submissions kept coming.
void StateClient::take_request(Seconds now, RequestPriority urgency) {
  if (requests_bucket_.try_take(now, 1, request_floor(urgency)))
    return;
  question_bucket_.take_with_debt(now, 1);
  requests_bucket_.take_with_debt(now, 1);
}

// Admissions take what ends and orders leave, and have a little of their own: a leader that records ends for
// a minute on end would else admit nobody (Flood.OfOneUserWhoCancelsAndSubmitsAgain).
bool StateClient::take_writes(Seconds now, double writes, RequestPriority urgency) {
  if (writes <= 0 || writes_bucket_.try_take(now, writes, write_floor(urgency)))
    return true;
  return !may_overdraw_ && urgency == RequestPriority::admission &&
         admission_bucket_.try_take(now, writes, 0);
}

StateClient::BudgetShare StateClient::recent_demand() const {
  const double left = std::exp(-(out_.now() - demand_updated_at_) / kDemandWindow) / kDemandWindow / kUsed;
  return {requested_requests_ * left / settings_.state_requests_per_s,
          requested_writes_ * left / settings_.state_writes_per_s};
}

double StateClient::request_floor(RequestPriority urgency) {
  return urgency == RequestPriority::background || urgency == RequestPriority::question ? 0.3
         : urgency == RequestPriority::admission                                        ? 0.15
                                                                                        : 0.05;
}

// Ends and orders come before admissions, admissions before what only a later leader needs. Without shares,
// people may overdraw a node's part of the writes for some seconds: their submissions come in bursts and
// at one node, and the service itself still says when the whole is used up.
double StateClient::write_floor(RequestPriority urgency) const {
  if (may_overdraw_)
    return urgency == RequestPriority::background ? 0.0 : -3.0;
  return urgency == RequestPriority::background ? 0.45 : urgency == RequestPriority::admission ? 0.3 : 0.0;
}

Seconds StateClient::time_until_writable(RequestPriority urgency, double writes) {
  record_demand(0, 0);
  Seconds changes = writes_bucket_.time_until(out_.now(), writes, write_floor(urgency));
  if (!may_overdraw_ && urgency == RequestPriority::admission)
    changes = std::min(changes, admission_bucket_.time_until(out_.now(), writes, 0));
  return std::max(requests_bucket_.time_until(out_.now(), 1, request_floor(urgency)), changes);
}

void StateClient::set_leading(bool leading) {
  if (share_source_)
    return;
  const double part = default_share(leading, settings_.peers.size());
  configure(settings_.state_requests_per_s * part * kUsed, settings_.state_writes_per_s * part * kUsed, 0);
}

void StateClient::send(std::string method, std::string path, wire::Value body, double writes,
                       RequestPriority urgency, Seconds timeout, Seconds not_after, Callback then) {
  const Seconds now = out_.now();
  record_demand(1, writes);
  if (urgency == RequestPriority::lease) {
    requests_bucket_.take_with_debt(now, 1);
    writes_bucket_.take_with_debt(now, writes);
  } else {
    if (!may_request(now, urgency) || !take_writes(now, writes, urgency)) {
      ++throttled_;
      Reply refusal;
      refusal.status = 429;
      refusal.delivered = false;
      return then(refusal);
    }
    take_request(now, urgency);
  }
  ++requests_;
  ports::Call call;
  call.target = ports::Target::state;
  call.method = std::move(method);
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout_s = timeout;
  call.not_after = not_after;
  const bool watch = timeout > kWatchMs / 1000.0;
  out_.call(std::move(call), [this, then = std::move(then), now, watch](const Reply& reply) {
    if (reply.status != 0 && reply.status != 503) {
      last_ok_ = out_.now();
      const Seconds took = out_.now() - now;
      if (!watch) {
        latency_deviation_s_ += (std::abs(took - mean_latency_s_) - latency_deviation_s_) / 16;
        mean_latency_s_ += (took - mean_latency_s_) / 16;
      }
    }
    then(reply);
  });
}

void StateClient::get(const std::string& key, RequestPriority urgency, Callback then) {
  send("GET", wire::key_path(key), nullptr, 0, urgency, kRequestTimeout, ports::kNever, std::move(then));
}

void StateClient::list(const std::string& prefix, const std::string& after, Callback then) {
  send("GET", wire::range_path(prefix, after, 500), nullptr, 0, RequestPriority::lease, 3 * kRequestTimeout,
       ports::kNever, std::move(then));
}

void StateClient::transact(wire::Transaction txn, RequestPriority urgency, Seconds not_after, Callback then) {
  const double writes = txn.change_count();
  send("POST", "/txn", txn.take(), writes, urgency, kRequestTimeout, not_after, std::move(then));
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
  send("POST", "/leases", wire::lease_body(ttl_ms), 0, RequestPriority::lease, 1.0, ports::kNever,
       std::move(then));
}

void StateClient::renew_lease(std::uint64_t lease, Callback then) {
  send("POST", wire::renew_path(lease), wire::Value::object(), 0, RequestPriority::lease, 1.0, ports::kNever,
       std::move(then));
}

void StateClient::revoke_lease(std::uint64_t lease) {
  send("DELETE", "/leases/" + std::to_string(lease), nullptr, 0, RequestPriority::lease, 1.0, ports::kNever,
       [](const Reply&) {});
}

}  // namespace wingtrail::store
