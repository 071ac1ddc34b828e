#include "admission/creation_queue.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::admission {
namespace {
constexpr Seconds kMaxExpectedWait = 1.0;  // a creation expected to wait longer is deferred on arrival
constexpr Seconds kMaxWait = 1.5 * kMaxExpectedWait;
constexpr Seconds kExpiryCheckInterval = kMaxExpectedWait / 4;
constexpr Seconds kThrottledPause = 0.1;  // after a 429 of the state service itself
constexpr Seconds kMinDispatchDelay = 0.002;
constexpr int kMaxInFlight = 4;
constexpr std::size_t kMaxClasses = 1000;  // bounds memory, since users may name any class

std::vector<double> team_weights(const settings::Settings& settings) {
  std::vector<double> weights;
  for (const settings::Team& team : settings.teams)
    weights.push_back(team.cpus);
  return weights;
}
}  // namespace

CreationQueue::CreationQueue(ports::Outbox& outbox, store::StateClient& store,
                             const settings::Settings& settings, std::string process_id)
    : outbox_(outbox),
      store_(store),
      settings_(settings),
      process_id_(std::move(process_id)),
      fair_queueing_(settings.tunables.fair_admission > 0),
      queue_(team_weights(settings)),
      // A transaction has two conditions for each job and one for the batch key.
      max_batch_jobs_(
          std::max<std::size_t>(1, static_cast<std::size_t>(4 * settings.max_transaction_changes - 1) / 2)) {
  for (const settings::Team& team : settings.teams)
    teams_.add(team.name);
}

bool CreationQueue::is_waiting(const std::string& ref) const {
  const auto it = by_ref_.find(ref);
  return it != by_ref_.end() && !pending_.at(it->second).sent;
}

void CreationQueue::enqueue(const wire::JobSpec& spec, const wire::Value& record, Callback then) {
  // A retry while the creation is pending shares its result.
  if (const auto known = by_ref_.find(spec.ref); fair_queueing_ && known != by_ref_.end()) {
    pending_.at(known->second).callbacks.push_back(std::move(then));
    return;
  }
  PendingCreation creation;
  creation.ref = spec.ref;
  creation.team = spec.team;
  creation.job_class = spec.job_class;
  creation.record = record;
  creation.team_index = teams_.add(spec.team);
  creation.class_index = classes_.size() < kMaxClasses ? classes_.add(spec.job_class) : jobs::ClassIndex(0);
  creation.arrived_at = outbox_.now();
  creation.callbacks.push_back(std::move(then));
  const FairQueue::Id id = ++last_id_;
  if (!fair_queueing_ || (fixed_shares && fixed_shares())) {
    creation.immediate = true;
    pending_.emplace(id, std::move(creation));
    return send_single(id);
  }
  // A retry keeps its place, whichever controller deferred it.
  const auto known_first_attempt = first_attempts_.first_attempt(spec.ref);
  creation.first_attempt_at =
      known_first_attempt
          ? std::min(outbox_.now(), outbox_.now() - (outbox_.time_of_day() - *known_first_attempt))
          : outbox_.now();
  const Seconds wait = time_until_turn(creation.team_index, creation.class_index, creation.first_attempt_at);
  const auto [team, job_class, first_attempt_at] =
      std::tuple(creation.team_index, creation.class_index, creation.first_attempt_at);
  creation.bytes = record.dump().size() + 1;  // plus a comma
  by_ref_.emplace(creation.ref, id);
  pending_.emplace(id, std::move(creation));
  if (wait > kMaxExpectedWait)
    return defer(id);
  queue_.push(team, job_class, id, first_attempt_at);
  dispatch();
}

// Expected time until a creation that is added to the class now is sent.
Seconds CreationQueue::time_until_turn(TeamIndex team, ClassIndex job_class, Seconds first_attempt_at) const {
  const double jobs_ahead = queue_.jobs_ahead(team, job_class, first_attempt_at);
  const double jobs_per_write =
      batches_allowed && batches_allowed() ? static_cast<double>(max_batch_jobs_) : 1;
  const double writes_per_s = std::max(0.1, store_.write_rate());
  return std::max(0.0, throttled_until_ - outbox_.now()) + jobs_ahead / jobs_per_write / writes_per_s +
         store_.time_until_writable(store::RequestPriority::admission, 1);
}

void CreationQueue::schedule_dispatch(Seconds delay) {
  const Seconds at = outbox_.now() + std::max(delay, kMinDispatchDelay);
  if (dispatch_at_ <= at)
    return;
  dispatch_at_ = at;
  outbox_.after(at - outbox_.now(), [this, at] {
    if (dispatch_at_ != at)
      return;
    dispatch_at_ = ports::kNever;
    dispatch();
  });
}

// Defers the creations that have been queued for too long.
void CreationQueue::expire_overdue() {
  if (outbox_.now() < expiry_checked_at_ + kExpiryCheckInterval)
    return;
  expiry_checked_at_ = outbox_.now();
  std::vector<FairQueue::Id> overdue;
  queue_.remove_if([&](FairQueue::Id id) {
    if (outbox_.now() < pending_.at(id).arrived_at + kMaxWait)
      return false;
    overdue.push_back(id);
    return true;
  });
  for (const FairQueue::Id id : overdue)
    defer(id);
}

void CreationQueue::dispatch() {
  expire_overdue();
  while (queue_.size() > 0) {
    if (outbox_.now() < throttled_until_)
      return schedule_dispatch(throttled_until_ - outbox_.now());
    if (in_flight_ >= kMaxInFlight)
      return;
    // While a transaction is in flight, creations gather for the next one. Another is sent beside it only if
    // its reply takes longer than usual.
    const Seconds reply_due_at = last_sent_at_ + store_.typical_latency();
    if (in_flight_ > 0 && outbox_.now() < reply_due_at)
      return schedule_dispatch(reply_due_at - outbox_.now());
    if (const Seconds wait = store_.time_until_writable(store::RequestPriority::admission, 1); wait > 0)
      return schedule_dispatch(wait);
    if (!send_next())
      return;
  }
}

bool CreationQueue::send_next() {
  const bool use_batches = batches_allowed && batches_allowed();
  CreationIds batch;
  std::size_t bytes = 2;  // the array's brackets
  while (batch.size() < (use_batches ? max_batch_jobs_ : 1)) {
    const auto id = queue_.pop();
    if (!id)
      break;
    PendingCreation& creation = pending_.at(*id);
    if (!batch.empty() && bytes + creation.bytes > settings_.value_bytes()) {
      queue_.push(creation.team_index, creation.class_index, *id, creation.first_attempt_at);
      break;
    }
    bytes += creation.bytes;
    creation.sent = true;
    batch.push_back(*id);
  }
  if (batch.empty())
    return false;
  ++in_flight_;
  last_sent_at_ = outbox_.now();
  if (batch.size() == 1)
    return send_single(batch.front()), true;
  const std::string key =
      jobs::kBatchPrefix + settings_.node + "/" + process_id_ + "/" + std::to_string(++last_batch_number_);
  ++counts_.batches;
  send_batch(std::move(batch), key);
  return true;
}

void CreationQueue::send_single(FairQueue::Id id) {
  const PendingCreation& creation = pending_.at(id);
  wire::Transaction transaction;
  transaction.require(jobs::kLiveJobPrefix + creation.ref, 0)
      .require(jobs::kFinalStatePrefix + creation.ref, 0);
  transaction.put(jobs::kLiveJobPrefix + creation.ref, creation.record);
  store_.transact(std::move(transaction),
                  creation.immediate ? store::RequestPriority::user : store::RequestPriority::admission,
                  ports::kNever, [this, id](const store::Reply& reply) { on_reply({id}, "", reply); });
}

void CreationQueue::send_batch(CreationIds batch, const std::string& key) {
  wire::Transaction transaction;
  transaction.require(key, 0);
  wire::Value records = wire::Value::array();
  for (const FairQueue::Id id : batch) {
    const PendingCreation& creation = pending_.at(id);
    transaction.require(jobs::kLiveJobPrefix + creation.ref, 0)
        .require(jobs::kFinalStatePrefix + creation.ref, 0);
    records.push_back(creation.record);
  }
  transaction.put(key, std::move(records));
  store_.transact(
      std::move(transaction), store::RequestPriority::admission, ports::kNever,
      [this, batch = std::move(batch), key](const store::Reply& reply) { on_reply(batch, key, reply); });
}

void CreationQueue::on_reply(const CreationIds& batch, const std::string& key, const store::Reply& reply) {
  const bool immediate = pending_.at(batch.front()).immediate;
  if (!immediate)
    --in_flight_;
  if (reply.status == 200) {
    if (!key.empty())
      counts_.batched_jobs += batch.size();
    const std::uint64_t revision = wire::revision(reply.body).value_or(0);
    for (const FairQueue::Id id : batch) {
      if (first_attempts_.size() > 0)
        first_attempts_.forget(pending_.at(id).ref);
      finish(id, {Outcome::created, revision, key});
    }
  } else if (reply.status == 409) {
    const auto failed = wire::failed_keys(reply.body);
    const auto exists = [&failed](const std::string& failed_key) {
      return std::find(failed.begin(), failed.end(), failed_key) != failed.end();
    };
    // A job that exists, since it was submitted to two controllers at once, must not delay the others.
    for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
      const std::string& ref = pending_.at(*it).ref;
      if (batch.size() == 1 || exists(jobs::kLiveJobPrefix + ref) || exists(jobs::kFinalStatePrefix + ref)) {
        ++counts_.conflicts;
        finish(*it, {Outcome::exists});
      } else {
        requeue(*it);
      }
    }
  } else if (reply.status == 429 && !immediate) {
    if (reply.delivered)
      throttled_until_ = outbox_.now() + kThrottledPause;
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
      requeue(*it);
  } else if (reply.status == 400 && batch.size() > 1) {
    // The state service's limits are lower than the settings say, so later batches are smaller.
    max_batch_jobs_ = std::max<std::size_t>(1, batch.size() / 2);
    spdlog::error("admission: job batch refused as malformed jobs={} next_limit={}", batch.size(),
                  max_batch_jobs_);
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
      requeue(*it);
  } else {
    if (reply.status == 400)
      spdlog::error("admission: creation refused as malformed ref={}", pending_.at(batch.front()).ref);
    for (const FairQueue::Id id : batch)
      finish(id, {reply.status == 429 ? Outcome::deferred : Outcome::unavailable});
  }
  if (!immediate)
    dispatch();
}

void CreationQueue::requeue(FairQueue::Id id) {
  PendingCreation& creation = pending_.at(id);
  if (outbox_.now() >= creation.arrived_at + kMaxWait)
    return defer(id);
  creation.sent = false;
  queue_.push(creation.team_index, creation.class_index, id, creation.first_attempt_at);
}

void CreationQueue::defer(FairQueue::Id id) {
  const PendingCreation& creation = pending_.at(id);
  ++counts_.deferred;
  if (deferred_by_class_.size() < kMaxClasses)
    ++deferred_by_class_[{creation.team, creation.job_class}];
  first_attempts_.record_deferral(creation.ref,
                                  outbox_.time_of_day() - (outbox_.now() - creation.first_attempt_at),
                                  outbox_.time_of_day());
  finish(
      id,
      {Outcome::deferred, 0, "",
       std::max(1.0, time_until_turn(creation.team_index, creation.class_index, creation.first_attempt_at))});
}

void CreationQueue::finish(FairQueue::Id id, const Result& result) {
  auto creation = pending_.extract(id);
  if (!creation.mapped().immediate)
    by_ref_.erase(creation.mapped().ref);
  // Callbacks that were added after the first get `exists`, which leads to a fresh read: since the
  // transaction was sent, the job may have been created by another one and have become final.
  bool first = true;
  for (const Callback& then : creation.mapped().callbacks) {
    then(first || result.outcome != Outcome::created ? result : Result{Outcome::exists});
    first = false;
  }
}

}  // namespace wingtrail::admission
