#include "store/client.hpp"

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

void Bucket::refill(Seconds now) {
  level_ = std::min(burst(), level_ + (now - at_) * rate_);
  at_ = now;
}

bool Bucket::take(Seconds now, double n, double floor) {
  refill(now);
  if (level_ - n < keep(n, floor))
    return false;
  level_ -= n;
  return true;
}

Seconds Bucket::until(Seconds now, double n, double floor) const {
  const double level = std::min(burst(), level_ + (now - at_) * rate_);
  const double lacks = keep(n, floor) + n - level;
  return lacks <= 0 ? 0 : rate_ > 0 ? lacks / rate_ : 1.0;
}

void Bucket::force(Seconds now, double n) {
  refill(now);
  level_ -= n;
}

Client::Client(ports::Outbox& out, const settings::Settings& settings) : out_(out), settings_(settings) {
  set_leading(false);
}

void Client::shared(std::function<Parts()> of_whole) {
  share_ = std::move(of_whole);
  requests_bucket_.whole(kLeastBurst);
  writes_bucket_.whole(kLeastBurst);
  admission_bucket_.whole(1);
  question_bucket_.whole(1);
}

void Client::configure(double requests, double writes, double writes_for_admission) {
  requests_bucket_.configure(requests);
  question_bucket_.configure(requests * kForQuestions);
  writes_bucket_.configure(writes);
  admission_bucket_.configure(writes_for_admission);
}

void Client::reckon(double requests, double writes) {
  const double left = std::exp(-(out_.now() - asked_at_) / kAskedOver);
  asked_requests_ = asked_requests_ * left + requests;
  asked_writes_ = asked_writes_ * left + writes;
  asked_at_ = out_.now();
  if (!share_)
    return;
  const Parts parts = share_();
  overdraws_ = parts.fixed;
  const double writes_rate = settings_.state_write_rps * parts.writes * kUsed;
  const double apart = parts.fixed ? 0 : kForAdmission;
  configure(settings_.state_rps * parts.requests * kUsed, writes_rate * (1 - apart), writes_rate * apart);
}

bool Client::may_request(Seconds now, Urgency urgency) const {
  return requests_bucket_.until(now, 1, request_floor(urgency)) <= 0 ||
         (urgency == Urgency::question && question_bucket_.until(now, 1, 0) <= 0);
}

// Questions take what submissions leave, and have a part in any case, which then is missing for the others:
// with none, users asked for minutes about a job that had long been over, while submissions kept coming.
void Client::take_request(Seconds now, Urgency urgency) {
  if (requests_bucket_.take(now, 1, request_floor(urgency)))
    return;
  question_bucket_.force(now, 1);
  requests_bucket_.force(now, 1);
}

// Admissions take what ends and orders leave, and have a little of their own: a leader that records ends for
// a minute on end would else admit nobody (Flood.OfOneUserWhoCancelsAndSubmitsAgain).
bool Client::take_writes(Seconds now, double writes, Urgency urgency) {
  if (writes <= 0 || writes_bucket_.take(now, writes, write_floor(urgency)))
    return true;
  return !overdraws_ && urgency == Urgency::admission && admission_bucket_.take(now, writes, 0);
}

Client::Parts Client::asked() const {
  const double left = std::exp(-(out_.now() - asked_at_) / kAskedOver) / kAskedOver / kUsed;
  return {asked_requests_ * left / settings_.state_rps, asked_writes_ * left / settings_.state_write_rps};
}

double Client::request_floor(Urgency urgency) {
  return urgency == Urgency::background || urgency == Urgency::question ? 0.3
         : urgency == Urgency::admission                                ? 0.15
                                                                        : 0.05;
}

// Ends and orders come before admissions, admissions before what only a later leader needs. Without shares,
// people may overdraw a node's part of the writes for some seconds: their submissions come in bursts and
// at one node, and the service itself still says when the whole is used up.
double Client::write_floor(Urgency urgency) const {
  if (overdraws_)
    return urgency == Urgency::background ? 0.0 : -3.0;
  return urgency == Urgency::background ? 0.45 : urgency == Urgency::admission ? 0.3 : 0.0;
}

Seconds Client::ready_in(Urgency urgency, double writes) {
  reckon(0, 0);
  Seconds changes = writes_bucket_.until(out_.now(), writes, write_floor(urgency));
  if (!overdraws_ && urgency == Urgency::admission)
    changes = std::min(changes, admission_bucket_.until(out_.now(), writes, 0));
  return std::max(requests_bucket_.until(out_.now(), 1, request_floor(urgency)), changes);
}

void Client::set_leading(bool leading) {
  if (share_)
    return;
  const double part = fixed_part(leading, settings_.peers.size());
  configure(settings_.state_rps * part * kUsed, settings_.state_write_rps * part * kUsed, 0);
}

void Client::send(std::string method, std::string path, wire::Value body, double writes, Urgency urgency,
                  Seconds timeout, Seconds not_after, Then then) {
  const Seconds now = out_.now();
  reckon(1, writes);
  if (urgency == Urgency::lease) {
    requests_bucket_.force(now, 1);
    writes_bucket_.force(now, writes);
  } else {
    if (!may_request(now, urgency) || !take_writes(now, writes, urgency)) {
      ++refused_;
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
        spread_s_ += (std::abs(took - mean_s_) - spread_s_) / 16;
        mean_s_ += (took - mean_s_) / 16;
      }
    }
    then(reply);
  });
}

void Client::get(const std::string& key, Urgency urgency, Then then) {
  send("GET", wire::key_path(key), nullptr, 0, urgency, kTimeout, ports::kNever, std::move(then));
}

void Client::range(const std::string& prefix, const std::string& after, Then then) {
  send("GET", wire::range_path(prefix, after, 500), nullptr, 0, Urgency::lease, 3 * kTimeout, ports::kNever,
       std::move(then));
}

void Client::txn(wire::Txn txn, Urgency urgency, Seconds not_after, Then then) {
  const double writes = txn.ops();
  send("POST", "/txn", txn.take(), writes, urgency, kTimeout, not_after, std::move(then));
}

void Client::watch(const std::string& prefix, std::uint64_t after, Then then) {
  send("GET", wire::watch_path(prefix, after, kWatchMs), nullptr, 0, Urgency::lease,
       kWatchMs / 1000.0 + 2 * kTimeout, ports::kNever, std::move(then));
}

void Client::changes(const std::string& prefix, std::uint64_t after, Then then) {
  send("GET", wire::watch_path(prefix, after, 0), nullptr, 0, Urgency::user, kTimeout, ports::kNever,
       std::move(then));
}

void Client::grant(int ttl_ms, Then then) {
  send("POST", "/leases", wire::lease_body(ttl_ms), 0, Urgency::lease, 1.0, ports::kNever, std::move(then));
}

void Client::renew(std::uint64_t lease, Then then) {
  send("POST", wire::renew_path(lease), wire::Value::object(), 0, Urgency::lease, 1.0, ports::kNever,
       std::move(then));
}

void Client::revoke(std::uint64_t lease) {
  send("DELETE", "/leases/" + std::to_string(lease), nullptr, 0, Urgency::lease, 1.0, ports::kNever,
       [](const Reply&) {});
}

}  // namespace wingtrail::store
