#include "leadership/detached_key_remover.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "ports/clock_drift.hpp"

namespace wingtrail::leadership {

void DetachedKeyRemover::on_key_read(const LeaderKey& key) {
  if (key.attached_lease || !key.named_lease)
    return detached_.reset();
  if (!detached_ || detached_->version != key.version || detached_->named_lease != *key.named_lease) {
    detached_ = {key.version, *key.named_lease, std::nullopt};
    spdlog::warn("election: leader key has no lease holder={} version={} named_lease={}", key.holder,
                 key.version, *key.named_lease);
    return;  // a single read may be wrong
  }
  if (!detached_->leader_ends_at)
    return revoke_lease();
  if (out_.now() >= *detached_->leader_ends_at)
    erase_key();
}

void DetachedKeyRemover::revoke_lease() {
  store_.revoke_lease(detached_->named_lease, [this,
                                               version = detached_->version](const store::Reply& reply) {
    const bool lease_is_over = reply.status == 200 || reply.status == 404;
    if (!lease_is_over || !detached_ || detached_->version != version || detached_->leader_ends_at)
      return;
    // The last renewal that succeeded was sent before this reply arrived.
    detached_->leader_ends_at = out_.now() + settings_.tunables.leader_lease_s * (1 + ports::kMaxClockDrift);
  });
}

void DetachedKeyRemover::erase_key() {
  spdlog::warn("election: leader key without a lease erased version={}", detached_->version);
  wire::Transaction transaction;
  transaction.require(kLeaderKey, detached_->version).erase(kLeaderKey);
  store_.transact(std::move(transaction), store::RequestPriority::lease, ports::kNever,
                  [](const store::Reply&) {});
}

}  // namespace wingtrail::leadership
