#include "admission/creation_queue.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::admission {
namespace {
constexpr Seconds kPatience = 1.0;  // what would wait for longer than that is told so at once
constexpr Seconds kRefused = 0.1;   // after the service itself said that the budget is used up
constexpr int kAtOnce = 4;
constexpr std::size_t kClassesKept = 1000;  // any user may name a new one

std::vector<double> weights(const settings::Settings& settings) {
  std::vector<double> out;
  for (const auto& t : settings.teams)
    out.push_back(t.cpus);
  return out;
}
}  // namespace

CreationQueue::CreationQueue(ports::Outbox& out, store::StateClient& store,
                             const settings::Settings& settings, std::string life)
    : out_(out),
      store_(store),
      settings_(settings),
      process_id_(std::move(life)),
      fair_queueing_(settings.tunables.fair_admission > 0),
      queue_(weights(settings)),
      // Two conditions for each job, and one for the sheet itself.
      max_batch_jobs_(
          std::max<std::size_t>(1, static_cast<std::size_t>(4 * settings.max_transaction_changes - 1) / 2)) {
  for (const auto& t : settings.teams)
    teams_.add(t.name);
}

bool CreationQueue::is_waiting(const std::string& ref) const {
  const auto it = by_ref_.find(ref);
  return it != by_ref_.end() && !pending_.at(it->second).sent;
}

void CreationQueue::enqueue(const wire::JobSpec& spec, const wire::Value& record, Callback then) {
  // A retry joins the try that is under way, and has its turn.
  if (const auto known = by_ref_.find(spec.ref); fair_queueing_ && known != by_ref_.end()) {
    pending_.at(known->second).callbacks.push_back(std::move(then));
    return;
  }
  PendingCreation wish;
  wish.ref = spec.ref;
  wish.team = spec.team;
  wish.job_class = spec.job_class;
  wish.record = record;
  wish.team_index = teams_.add(spec.team);
  wish.class_index = classes_.size() < kClassesKept ? classes_.add(spec.job_class) : jobs::ClassIndex(0);
  wish.arrived_at = out_.now();
  wish.callbacks.push_back(std::move(then));
  const FairQueue::Id id = ++last_id_;
  if (!fair_queueing_ || (fixed_shares && fixed_shares())) {
    wish.immediate = true;
    pending_.emplace(id, std::move(wish));
    return send_single(id);
  }
  // A retry keeps its place, whichever node refused it before.
  const auto first = first_attempts_.first_attempt(spec.ref);
  wish.first_attempt_at =
      first ? std::min(out_.now(), out_.now() - (out_.time_of_day() - *first)) : out_.now();
  const Seconds wait = time_until_turn(wish.team_index, wish.class_index, wish.first_attempt_at);
  const auto [team, job_class, since] = std::tuple(wish.team_index, wish.class_index, wish.first_attempt_at);
  wish.bytes = record.dump().size() + 1;
  by_ref_.emplace(wish.ref, id);
  pending_.emplace(id, std::move(wish));
  if (wait > kPatience)
    return deferred_by_class(id);
  queue_.push(team, job_class, id, since);
  dispatch();
}

// How long until one that joins that class now is sent.
Seconds CreationQueue::time_until_turn(TeamIndex team, ClassIndex job_class, Seconds since) const {
  const double ahead = queue_.jobs_ahead(team, job_class, since);
  const double together = batches_allowed && batches_allowed() ? static_cast<double>(max_batch_jobs_) : 1;
  const double per_s = std::max(0.1, store_.write_rate());
  return std::max(0.0, refused_until_ - out_.now()) + ahead / together / per_s +
         store_.time_until_writable(store::RequestPriority::admission, 1);
}

void CreationQueue::schedule_dispatch(Seconds delay) {
  const Seconds at = out_.now() + std::max(delay, 0.002);
  if (dispatch_at_ <= at)
    return;
  dispatch_at_ = at;
  out_.after(at - out_.now(), [this, at] {
    if (dispatch_at_ != at)
      return;
    dispatch_at_ = ports::kNever;
    dispatch();
  });
}

void CreationQueue::dispatch() {
  if (out_.now() >= dropped_at_ + kPatience / 4) {
    dropped_at_ = out_.now();
    std::vector<FairQueue::Id> late;
    queue_.remove_if([&](FairQueue::Id id) {
      if (out_.now() < pending_.at(id).arrived_at + 1.5 * kPatience)
        return false;
      late.push_back(id);
      return true;
    });
    for (const FairQueue::Id id : late)
      deferred_by_class(id);
  }
  while (queue_.size() > 0) {
    if (out_.now() < refused_until_)
      return schedule_dispatch(refused_until_ - out_.now());
    if (in_flight_ >= kAtOnce)
      return;
    // What is under way gathers the next. Only when it takes longer than answers usually do does one go
    // beside it.
    const Seconds usual = store_.typical_latency();
    if (in_flight_ > 0 && out_.now() < sent_at_ + usual)
      return schedule_dispatch(sent_at_ + usual - out_.now());
    if (const Seconds wait = store_.time_until_writable(store::RequestPriority::admission, 1); wait > 0)
      return schedule_dispatch(wait);
    if (!send_next())
      return;
  }
}

bool CreationQueue::send_next() {
  const bool together = batches_allowed && batches_allowed();
  CreationIds batch;
  std::size_t bytes = 2;
  while (batch.size() < (together ? max_batch_jobs_ : 1)) {
    const auto id = queue_.pop();
    if (!id)
      break;
    PendingCreation& w = pending_.at(*id);
    if (!batch.empty() && bytes + w.bytes > settings_.value_bytes()) {
      queue_.push(w.team_index, w.class_index, *id, w.first_attempt_at);
      break;
    }
    bytes += w.bytes;
    w.sent = true;
    batch.push_back(*id);
  }
  if (batch.empty())
    return false;
  ++in_flight_;
  sent_at_ = out_.now();
  if (batch.size() == 1)
    return send_single(batch.front()), true;
  const std::string key =
      jobs::kBatchPrefix + settings_.node + "/" + process_id_ + "/" + std::to_string(++last_batch_number_);
  ++counts_.batches;
  send_batch(std::move(batch), key);
  return true;
}

void CreationQueue::send_single(FairQueue::Id id) {
  const PendingCreation& w = pending_.at(id);
  wire::Transaction txn;
  txn.require(jobs::kLiveJobPrefix + w.ref, 0).require(jobs::kFinalStatePrefix + w.ref, 0);
  txn.put(jobs::kLiveJobPrefix + w.ref, w.record);
  store_.transact(std::move(txn),
                  w.immediate ? store::RequestPriority::user : store::RequestPriority::admission,
                  ports::kNever, [this, id](const store::Reply& r) { on_batch_reply({id}, "", r); });
}

void CreationQueue::send_batch(CreationIds batch, const std::string& key) {
  wire::Transaction txn;
  txn.require(key, 0);
  wire::Value records = wire::Value::array();
  for (const FairQueue::Id id : batch) {
    const PendingCreation& w = pending_.at(id);
    txn.require(jobs::kLiveJobPrefix + w.ref, 0).require(jobs::kFinalStatePrefix + w.ref, 0);
    records.push_back(w.record);
  }
  txn.put(key, std::move(records));
  store_.transact(
      std::move(txn), store::RequestPriority::admission, ports::kNever,
      [this, batch = std::move(batch), key](const store::Reply& r) { on_batch_reply(batch, key, r); });
}

void CreationQueue::on_batch_reply(const CreationIds& batch, const std::string& key, const store::Reply& r) {
  const bool direct = pending_.at(batch.front()).immediate;
  if (!direct)
    --in_flight_;
  if (r.status == 200) {
    if (!key.empty())
      counts_.batched_jobs += batch.size();
    const std::uint64_t revision = wire::revision(r.body).value_or(0);
    for (const FairQueue::Id id : batch) {
      if (first_attempts_.size() > 0)
        first_attempts_.forget(pending_.at(id).ref);
      finish(id, {Outcome::created, revision, key});
    }
  } else if (r.status == 409) {
    const auto failed = wire::failed_keys(r.body);
    const auto has = [&failed](const std::string& k) {
      return std::find(failed.begin(), failed.end(), k) != failed.end();
    };
    // The others had their turn; a job that two users' tries bring at once must not hold them up.
    for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
      const std::string& ref = pending_.at(*it).ref;
      if (batch.size() == 1 || has(jobs::kLiveJobPrefix + ref) || has(jobs::kFinalStatePrefix + ref)) {
        ++counts_.conflicts;
        finish(*it, {Outcome::exists});
      } else {
        requeue(*it);
      }
    }
  } else if (r.status == 429 && !direct) {
    if (r.delivered)
      refused_until_ = out_.now() + kRefused;
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
      requeue(*it);
  } else if (r.status == 400 && batch.size() > 1) {
    // Its limits are lower than the settings say: fewer go together from now on.
    max_batch_jobs_ = std::max<std::size_t>(1, batch.size() / 2);
    spdlog::error("the state service calls a sheet of {} jobs malformed", batch.size());
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
      requeue(*it);
  } else {
    if (r.status == 400)
      spdlog::error("{}: the state service calls its creation malformed", pending_.at(batch.front()).ref);
    for (const FairQueue::Id id : batch)
      finish(id, {r.status == 429 ? Outcome::deferred : Outcome::unavailable});
  }
  if (!direct)
    dispatch();
}

void CreationQueue::requeue(FairQueue::Id id) {
  PendingCreation& w = pending_.at(id);
  if (out_.now() >= w.arrived_at + 1.5 * kPatience)
    return deferred_by_class(id);
  w.sent = false;
  queue_.push(w.team_index, w.class_index, id, w.first_attempt_at);
}

void CreationQueue::deferred_by_class(FairQueue::Id id) {
  const PendingCreation& w = pending_.at(id);
  ++counts_.deferred;
  if (deferred_by_class_.size() < kClassesKept)
    ++deferred_by_class_[{w.team, w.job_class}];
  first_attempts_.record_deferral(w.ref, out_.time_of_day() - (out_.now() - w.first_attempt_at),
                                  out_.time_of_day());
  finish(id, {Outcome::deferred, 0, "",
              std::max(1.0, time_until_turn(w.team_index, w.class_index, w.first_attempt_at))});
}

void CreationQueue::finish(FairQueue::Id id, const Result& result) {
  auto wish = pending_.extract(id);
  if (!wish.mapped().immediate)
    by_ref_.erase(wish.mapped().ref);
  // Who joined later is told what is so now: since the try went out, the job may have been created otherwise,
  // and have ended.
  bool first = true;
  for (const Callback& then : wish.mapped().callbacks) {
    then(first || result.outcome != Outcome::created ? result : Result{Outcome::exists});
    first = false;
  }
}

}  // namespace wingtrail::admission
