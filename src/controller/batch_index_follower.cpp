#include "controller/batch_index_follower.hpp"

#include <algorithm>
#include <utility>

#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kFollowInterval = 0.5;  // many batches are written per second, and none is needed at once
constexpr Seconds kRetryDelay = 0.3;
constexpr Seconds kPeersKnowProcessAfter = 5;  // by then all peers have had a frame of this process
constexpr int kHistoryCompacted = 410;         // HTTP status: changes since that revision are not kept
}  // namespace

BatchIndexFollower::BatchIndexFollower(ports::Outbox& outbox, store::StateClient& store,
                                       const PeerDirectory& peers, bool batches_enabled)
    : outbox_(outbox), store_(store), peers_(peers), batches_enabled_(batches_enabled) {}

void BatchIndexFollower::start() {
  started_at_ = outbox_.now();
  if (batches_enabled_)
    reread();
}

// Where this controller creates no batches, the index must have been complete at a time when all peers knew
// that this process had started. Before, a peer that still counted on the previous process of this controller
// may have created batches.
bool BatchIndexFollower::may_miss_batches() const {
  if (!index_.complete() || !index_.empty() || batches_enabled_)
    return true;
  if (complete_as_of_ < started_at_ + kPeersKnowProcessAfter)
    return true;
  return peers_.any_may_create_batches();
}

void BatchIndexFollower::read_from(const std::string& after) {
  store_.list(jobs::kBatchPrefix, after,
              [this, after](const store::Reply& reply) { on_range(after, reply); });
}

void BatchIndexFollower::on_range(const std::string& after, const store::Reply& reply) {
  const auto range = reply.status == 200 ? wire::parse_range(reply.body) : wire::malformed("");
  if (!range) {
    for (const auto& then : std::exchange(waiting_, {}))
      then(false);
    return outbox_.after(kRetryDelay, [this, after] { read_from(after); });
  }
  if (after.empty()) {
    read_revision_ = range->revision;
    read_started_at_ = outbox_.now();
  }
  for (const wire::Item& item : range->items)
    index_.add_batch(item.key, item.value);
  if (range->more && !range->items.empty())
    return read_from(range->items.back().key);
  // Batches created or deleted after the first page was read are among the changes since its revision.
  index_.advance_to(read_revision_, outbox_.now());
  reading_ = false;
  catch_up_now();
  if (batches_enabled_)
    follow();
}

void BatchIndexFollower::follow() {
  store_.watch(jobs::kBatchPrefix, index_.revision(), [this](const store::Reply& reply) {
    const auto changes = reply.status == 200 ? wire::parse_changes(reply.body) : wire::malformed("");
    if (changes)
      apply(*changes);
    if (reply.status == kHistoryCompacted)
      return reread();
    outbox_.after(changes ? kFollowInterval : kRetryDelay, [this] { follow(); });
  });
}

void BatchIndexFollower::reread() {
  if (reading_)
    return;
  reading_ = true;
  index_.reset();
  read_from("");
}

void BatchIndexFollower::apply(const wire::Changes& changes) {
  // Replies may arrive out of order; the changes in an older one are already applied.
  if (changes.revision < index_.revision())
    return;
  for (const wire::Change& change : changes.events) {
    if (change.deleted)
      index_.remove_batch(change.key, outbox_.now());
    else
      index_.add_batch(change.key, change.value);
  }
  index_.advance_to(changes.revision, outbox_.now());
}

void BatchIndexFollower::catch_up(std::function<void(bool)> then) {
  waiting_.push_back(std::move(then));
  if (!catching_up_)
    catch_up_now();
}

void BatchIndexFollower::catch_up_now() {
  if (waiting_.empty())
    return;
  if (!index_.complete())
    return reread();
  catching_up_ = true;
  store_.read_changes(jobs::kBatchPrefix, index_.revision(),
                      [this, requested_at = outbox_.now(), waiting = std::exchange(waiting_, {})](
                          const store::Reply& reply) { on_caught_up(requested_at, waiting, reply); });
}

void BatchIndexFollower::on_caught_up(Seconds requested_at,
                                      const std::vector<std::function<void(bool)>>& waiting,
                                      const store::Reply& reply) {
  catching_up_ = false;
  const auto changes = reply.status == 200 ? wire::parse_changes(reply.body) : wire::malformed("");
  if (changes) {
    apply(*changes);
    complete_as_of_ = requested_at;
  }
  for (const auto& then : waiting)
    then(static_cast<bool>(changes));
  if (reply.status == kHistoryCompacted && !batches_enabled_)
    reread();
  catch_up_now();  // callers that came meanwhile need a request sent after their call
}

}  // namespace wingtrail::controller
