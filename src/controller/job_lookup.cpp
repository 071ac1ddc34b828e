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

struct JobLookup::Query {
  std::string ref;
  store::RequestPriority priority;
  LookupDetail detail;
  Callback then;
  Seconds asked_at;
  std::uint64_t term;
};

JobLookup::JobLookup(ports::Outbox& out, store::StateClient& store, BatchIndexFollower& batches,
                     Events events)
    : out_(out), store_(store), batches_(batches), events_(std::move(events)) {}

void JobLookup::look_up(const std::string& ref, store::RequestPriority priority, LookupDetail detail,
                        Callback then) {
  wire::Transaction txn;
  txn.require(jobs::kLiveJobPrefix + ref, 0).require(jobs::kFinalStatePrefix + ref, 0);
  Query query{ref, priority, detail, std::move(then), out_.now(), events_.term()};
  store_.transact(std::move(txn), priority, ports::kNever,
                  [this, query = std::move(query)](const store::Reply& reply) { on_compared(query, reply); });
}

void JobLookup::on_compared(const Query& query, const store::Reply& reply) {
  if (reply.status == 200 && batches_.may_miss_batches())
    return look_up_in_batches(query);
  if (reply.status == 200)
    return query.then({LookupOutcome::absent});
  if (reply.status != 409)
    return query.then({reply.status == 429 ? LookupOutcome::throttled : LookupOutcome::unavailable});
  // The comparison says which of the two keys exists: at that moment the job was live, or was over.
  const auto existing = wire::failed_keys(reply.body);
  const bool is_over =
      std::find(existing.begin(), existing.end(), jobs::kFinalStatePrefix + query.ref) != existing.end();
  if (is_over || existing.empty())
    return read_final_state(query);
  if (query.detail == LookupDetail::phase)
    return query.then({LookupOutcome::found, wire::Phase::queued});
  read_live(query);
}

void JobLookup::read_live(const Query& query) {
  store_.get(jobs::kLiveJobPrefix + query.ref, query.priority,
             [then = query.then, term = query.term](const store::Reply& reply) {
               const auto item = parse_item(reply);
               // Not there any more: it has become final since.
               if (!item)
                 return then({LookupOutcome::unavailable});
               then(found_live(item->value, *item, term));
             });
}

void JobLookup::read_final_state(const Query& query) {
  store_.get(jobs::kFinalStatePrefix + query.ref, query.priority,
             [this, ref = query.ref, then = query.then](const store::Reply& reply) {
               const auto item = parse_item(reply);
               const auto state = item ? wire::parse_final_state(item->value) : std::nullopt;
               if (!state)
                 return then({LookupOutcome::unavailable});
               events_.on_final_state(ref, *state);
               then({LookupOutcome::found, state->phase});
             });
}

// The job has no key and no final state, as of a moment ago. It was never accepted unless it is in a batch.
void JobLookup::look_up_in_batches(const Query& query) {
  batches_.catch_up([this, query](bool caught_up) {
    // An index read anew since has forgotten which batches were deleted lately.
    if (!caught_up || batches_.read_since() >= query.asked_at)
      return query.then({LookupOutcome::unavailable});
    const auto batch_key = batches_.index().find(query.ref);
    // Its batch was deleted while it was looked for: it has become final.
    if (!batch_key && batches_.index().recently_removed(query.ref))
      return query.then({LookupOutcome::unavailable});
    if (!batch_key)
      return query.then({LookupOutcome::absent});
    if (query.detail == LookupDetail::phase)
      return confirm_live(query);
    read_from_batch(query, *batch_key);
  });
}

// The job is in a batch, but may have become final while it was looked for.
void JobLookup::confirm_live(const Query& query) {
  wire::Transaction txn;
  txn.require(jobs::kFinalStatePrefix + query.ref, 0);
  store_.transact(std::move(txn), query.priority, ports::kNever,
                  [then = query.then](const store::Reply& reply) {
                    if (reply.status == 200)
                      then({LookupOutcome::found, wire::Phase::queued});
                    else
                      then({LookupOutcome::unavailable});
                  });
}

void JobLookup::read_from_batch(const Query& query, const std::string& batch_key) {
  store_.get(batch_key, query.priority,
             [ref = query.ref, then = query.then, term = query.term](const store::Reply& reply) {
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
