#include "controller/job_lookup.hpp"

#include <algorithm>
#include <utility>

#include "jobs/job_batches.hpp"
#include "jobs/state_writer.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
wire::Result<wire::Item> parse_item(const store::Reply& reply) {
  return reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("");
}
LookupResult found_live(const wire::Value& spec, const wire::Item& item, std::uint64_t term) {
  return {LookupOutcome::found, wire::Phase::queued, LiveRecord{spec, item.key, item.version, term}};
}
}  // namespace

int retry_status(LookupOutcome outcome) {
  return outcome == LookupOutcome::throttled ? 429 : 503;
}

JobLookup::JobLookup(ports::Outbox& outbox, store::StateClient& store, BatchIndexFollower& batches,
                     Callbacks callbacks)
    : outbox_(outbox), store_(store), batches_(batches), callbacks_(std::move(callbacks)) {}

PendingLookup JobLookup::begin(const std::string& ref, store::RequestPriority priority, LookupDetail detail,
                               OnResult then) const {
  return {ref, priority, detail, std::move(then), outbox_.now(), callbacks_.term()};
}

void JobLookup::look_up(const std::string& ref, store::RequestPriority priority, LookupDetail detail,
                        OnResult then) {
  wire::Transaction transaction;
  transaction.require(jobs::kLiveJobPrefix + ref, 0).require(jobs::kFinalStatePrefix + ref, 0);
  store_.transact(std::move(transaction), priority, ports::kNever,
                  [this, lookup = begin(ref, priority, detail, std::move(then))](const store::Reply& reply) {
                    on_compared(lookup, reply);
                  });
}

void JobLookup::on_compared(const PendingLookup& lookup, const store::Reply& reply) {
  if (reply.status == 200)
    return on_no_key(lookup);
  if (reply.status != 409)
    return lookup.then({reply.status == 429 ? LookupOutcome::throttled : LookupOutcome::unavailable});
  // The reply names which of the two keys existed, and so shows whether the job was live or had a final state
  // at that moment.
  const auto existing = wire::failed_keys(reply.body);
  const bool has_final_state =
      std::find(existing.begin(), existing.end(), jobs::kFinalStatePrefix + lookup.ref) != existing.end();
  if (has_final_state || existing.empty())
    return read_final_state(lookup);
  on_live(lookup);
}

void JobLookup::on_no_key(const PendingLookup& lookup) {
  if (batches_.may_miss_batches())
    return look_up_in_batches(lookup);
  lookup.then({LookupOutcome::absent});
}

void JobLookup::on_live(const PendingLookup& lookup) {
  if (lookup.detail == LookupDetail::phase)
    return lookup.then({LookupOutcome::found, wire::Phase::queued});
  store_.get(jobs::kLiveJobPrefix + lookup.ref, lookup.priority,
             [then = lookup.then, term = lookup.term](const store::Reply& reply) {
               const auto item = parse_item(reply);
               // No reply, or the key is gone because the job has become final since the comparison.
               if (!item)
                 return then({LookupOutcome::unavailable});
               then(found_live(item->value, *item, term));
             });
}

void JobLookup::read_final_state(const PendingLookup& lookup) {
  store_.get(jobs::kFinalStatePrefix + lookup.ref, lookup.priority,
             [this, ref = lookup.ref, then = lookup.then](const store::Reply& reply) {
               const auto item = parse_item(reply);
               const auto state = item ? wire::parse_final_state(item->value) : std::nullopt;
               if (!state)
                 return then({LookupOutcome::unavailable});
               callbacks_.on_final_state(ref, *state);
               then({LookupOutcome::found, state->phase});
             });
}

// The comparison found neither a key nor a final state, so the job was accepted only if it is in a job batch.
void JobLookup::look_up_in_batches(const PendingLookup& lookup) {
  batches_.catch_up([this, lookup](bool caught_up) {
    // An index read anew since the lookup began does not know which batches were deleted before that.
    if (!caught_up || batches_.read_started_at() >= lookup.began_at)
      return lookup.then({LookupOutcome::unavailable});
    const auto batch_key = batches_.index().find(lookup.ref);
    // The batch was deleted during the lookup, so the job has become final.
    if (!batch_key && batches_.index().recently_removed(lookup.ref))
      return lookup.then({LookupOutcome::unavailable});
    if (!batch_key)
      return lookup.then({LookupOutcome::absent});
    if (lookup.detail == LookupDetail::phase)
      return confirm_live(lookup);
    on_live_in_batch(lookup, *batch_key);
  });
}

// A batch outlives some of its jobs, so this checks that the job has no final state.
void JobLookup::confirm_live(const PendingLookup& lookup) {
  wire::Transaction transaction;
  transaction.require(jobs::kFinalStatePrefix + lookup.ref, 0);
  store_.transact(std::move(transaction), lookup.priority, ports::kNever,
                  [then = lookup.then](const store::Reply& reply) {
                    if (reply.status == 200)
                      then({LookupOutcome::found, wire::Phase::queued});
                    else
                      then({LookupOutcome::unavailable});
                  });
}

void JobLookup::on_live_in_batch(const PendingLookup& lookup, const std::string& batch_key) {
  if (lookup.detail == LookupDetail::phase)
    return lookup.then({LookupOutcome::found, wire::Phase::queued});
  store_.get(batch_key, lookup.priority,
             [ref = lookup.ref, then = lookup.then, term = lookup.term](const store::Reply& reply) {
               const auto item = parse_item(reply);
               wire::Value spec;
               if (item) {
                 jobs::for_each_record(item->value, [&](const std::string& name, const wire::Value& record) {
                   if (name == ref)
                     spec = record;
                 });
               }
               if (spec.is_null())
                 return then({LookupOutcome::unavailable});
               then(found_live(spec, *item, term));
             });
}

}  // namespace wingtrail::controller
