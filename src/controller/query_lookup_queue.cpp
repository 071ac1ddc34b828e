#include "controller/query_lookup_queue.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "jobs/state_writer.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr std::size_t kMaxGroupsInFlight = 2;
constexpr Seconds kRetryDelay = 0.1;
constexpr Seconds kMinWakeupDelay = 0.01;
constexpr int kStatusThrottled = 429;
constexpr int kStatusConditionsHold = 200;
constexpr int kStatusConditionsFail = 409;
}  // namespace

QueryLookupQueue::QueryLookupQueue(ports::Outbox& outbox, store::StateClient& store,
                                   const settings::Settings& settings, BatchIndexFollower& batches,
                                   JobLookup& lookup)
    : outbox_(outbox), store_(store), settings_(settings), batches_(batches), lookup_(lookup) {}

void QueryLookupQueue::look_up(const std::string& ref, LookupDetail detail, Seconds unanswered_since,
                               Seconds give_up_at, JobLookup::OnResult then) {
  auto entry = std::make_shared<const Entry>(
      Entry{lookup_.begin(ref, store::RequestPriority::query, detail, std::move(then)), unanswered_since,
            give_up_at});
  to_compare_.emplace(unanswered_since, std::move(entry));
  send_waiting();
}

void QueryLookupQueue::send_waiting() {
  expire();
  while (may_send()) {
    const bool read = !to_read_.empty() && (reads_next_ || to_compare_.empty());
    reads_next_ = !read;
    if (read)
      read_next_final_state();
    else
      send_group(take_group());
  }
  schedule_wakeup();
}

bool QueryLookupQueue::may_send() {
  const bool may_compare = !to_compare_.empty() && groups_in_flight_ < kMaxGroupsInFlight;
  return (may_compare || !to_read_.empty()) && outbox_.now() >= paused_until_ &&
         store_.time_until_readable(store::RequestPriority::query) <= 0;
}

void QueryLookupQueue::expire() {
  Group expired;
  for (Queue* queue : {&to_compare_, &to_read_}) {
    std::erase_if(*queue, [&](const auto& waiting) {
      if (waiting.second->give_up_at > outbox_.now())
        return false;
      expired.push_back(waiting.second);
      return true;
    });
  }
  counts_.expired += expired.size();
  for (const EntryPtr& entry : expired)
    entry->lookup.then({LookupOutcome::throttled});
}

void QueryLookupQueue::schedule_wakeup() {
  if (wakeup_scheduled_ || waiting_count() == 0)
    return;
  wakeup_scheduled_ = true;
  const Seconds until_budget = store_.time_until_readable(store::RequestPriority::query);
  const Seconds delay =
      std::clamp(std::max(until_budget, paused_until_ - outbox_.now()), kMinWakeupDelay, kRetryDelay);
  outbox_.after(delay, [this] {
    wakeup_scheduled_ = false;
    send_waiting();
  });
}

void QueryLookupQueue::retry_later(const Group& group) {
  paused_until_ = outbox_.now() + kRetryDelay;
  for (const EntryPtr& entry : group)
    to_compare_.emplace(entry->unanswered_since, entry);
  schedule_wakeup();
}

QueryLookupQueue::Group QueryLookupQueue::take_group() {
  const std::size_t max_jobs = 2UL * settings_.max_transaction_changes;  // with two conditions each
  std::set<std::string> refs;
  Group group;
  while (!to_compare_.empty()) {
    const EntryPtr& oldest = to_compare_.begin()->second;
    if (refs.size() >= max_jobs && !refs.contains(oldest->lookup.ref))
      break;
    refs.insert(oldest->lookup.ref);
    group.push_back(oldest);
    to_compare_.erase(to_compare_.begin());
  }
  return group;
}

// A job in a batch has no key of its own. Once the index has caught up, the absence of a final state shows
// that such a job is live.
void QueryLookupQueue::send_group(const Group& group) {
  ++groups_in_flight_;
  const bool any_in_batch = std::any_of(group.begin(), group.end(), [this](const EntryPtr& entry) {
    return batches_.index().find(entry->lookup.ref).has_value();
  });
  if (!any_in_batch)
    return compare(group);
  batches_.catch_up([this, group](bool caught_up) {
    if (caught_up)
      return compare(group);
    --groups_in_flight_;
    retry_later(group);
  });
}

void QueryLookupQueue::compare(const Group& group) {
  wire::Transaction transaction;
  BatchKeys batch_keys;
  std::set<std::string> refs;
  for (const EntryPtr& entry : group) {
    const std::string& ref = entry->lookup.ref;
    if (!refs.insert(ref).second)
      continue;
    transaction.require(jobs::kFinalStatePrefix + ref, 0);
    if (auto batch_key = batches_.index().find(ref))
      batch_keys.emplace(ref, std::move(*batch_key));
    else
      transaction.require(jobs::kLiveJobPrefix + ref, 0);
  }
  ++counts_.comparisons;
  counts_.jobs_compared += refs.size();
  store_.transact(std::move(transaction), store::RequestPriority::query, ports::kNever,
                  [this, group, batch_keys = std::move(batch_keys)](const store::Reply& reply) {
                    on_compared(group, batch_keys, reply);
                  });
}

void QueryLookupQueue::on_compared(const Group& group, const BatchKeys& batch_keys,
                                   const store::Reply& reply) {
  --groups_in_flight_;
  if (reply.status == kStatusThrottled)
    return retry_later(group);
  std::set<std::string> existing;
  if (reply.status == kStatusConditionsFail) {
    for (std::string& key : wire::failed_keys(reply.body))
      existing.insert(std::move(key));
  }
  // A failed comparison that names no key shows nothing about any of the jobs.
  if (reply.status != kStatusConditionsHold && existing.empty()) {
    for (const EntryPtr& entry : group)
      entry->lookup.then({LookupOutcome::unavailable});
    return send_waiting();
  }
  for (const EntryPtr& entry : group) {
    const std::string& ref = entry->lookup.ref;
    const auto batch_key = batch_keys.find(ref);
    if (existing.contains(jobs::kFinalStatePrefix + ref))
      to_read_.emplace(entry->unanswered_since, entry);
    else if (batch_key != batch_keys.end())
      lookup_.on_live_in_batch(entry->lookup, batch_key->second);
    else if (existing.contains(jobs::kLiveJobPrefix + ref))
      lookup_.on_live(entry->lookup);
    else
      lookup_.on_no_key(entry->lookup);
  }
  send_waiting();
}

void QueryLookupQueue::read_next_final_state() {
  const EntryPtr entry = to_read_.begin()->second;
  // Other lookups of the same job get the same result.
  auto same_job = std::make_shared<Group>();
  std::erase_if(to_read_, [&](const auto& waiting) {
    if (waiting.second->lookup.ref != entry->lookup.ref)
      return false;
    same_job->push_back(waiting.second);
    return true;
  });
  PendingLookup read = entry->lookup;
  read.then = [this, same_job](const LookupResult& result) {
    for (const EntryPtr& waiting : *same_job)
      waiting->lookup.then(result);
    send_waiting();
  };
  lookup_.read_final_state(read);
}

}  // namespace wingtrail::controller
