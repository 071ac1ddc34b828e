#include "controller/batch_index_follower.hpp"

#include <algorithm>
#include <utility>

#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kFollowInterval = 0.5;  // many batches are written a second; nobody needs each at once
constexpr Seconds kRetryDelay = 0.3;
constexpr Seconds kPeersKnowProcessAfter = 5;  // a process that greets its peers is known to them by then
constexpr int kHistoryCompacted = 410;         // HTTP: the service no longer tells the changes since then
}  // namespace

BatchIndexFollower::BatchIndexFollower(ports::Outbox& out, store::StateClient& store,
                                       const PeerDirectory& peers, bool batches_enabled)
    : out_(out), store_(store), peers_(peers), batches_enabled_(batches_enabled) {}

void BatchIndexFollower::start() {
  started_at_ = out_.now();
  if (batches_enabled_)
    reread();
}

// Where no controller creates batches, the index has to have been complete once after those peers that took
// this process for its predecessor have heard of it.
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
    return out_.after(kRetryDelay, [this, after] { read_from(after); });
  }
  if (after.empty()) {
    read_revision_ = range->revision;
    read_since_ = out_.now();
  }
  for (const wire::Item& item : range->items)
    index_.add_batch(item.key, item.value);
  if (range->more && !range->items.empty())
    return read_from(range->items.back().key);
  // Batches may have come or gone after the first page was read; the changes since its revision tell.
  index_.advance_to(read_revision_, out_.now());
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
    out_.after(changes ? kFollowInterval : kRetryDelay, [this] { follow(); });
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
  // Replies may overtake each other; what an older one tells is known.
  if (changes.revision < index_.revision())
    return;
  for (const wire::Change& change : changes.events) {
    if (change.deleted)
      index_.remove_batch(change.key, out_.now());
    else
      index_.add_batch(change.key, change.value);
  }
  index_.advance_to(changes.revision, out_.now());
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
                      [this, asked = out_.now(), waiting = std::exchange(waiting_, {})](
                          const store::Reply& reply) { on_caught_up(asked, waiting, reply); });
}

void BatchIndexFollower::on_caught_up(Seconds asked, const std::vector<std::function<void(bool)>>& waiting,
                                      const store::Reply& reply) {
  catching_up_ = false;
  const auto changes = reply.status == 200 ? wire::parse_changes(reply.body) : wire::malformed("");
  if (changes) {
    apply(*changes);
    complete_as_of_ = asked;
  }
  for (const auto& then : waiting)
    then(static_cast<bool>(changes));
  if (reply.status == kHistoryCompacted && !batches_enabled_)
    reread();
  catch_up_now();  // those that came meanwhile need changes asked for after they came
}

}  // namespace wingtrail::controller
