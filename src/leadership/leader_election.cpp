#include "leadership/leader_election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "ports/clock_drift.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::leadership {
namespace {
constexpr Seconds kTimerMargin = 0.05;  // timers and the clock have a resolution of a few milliseconds
constexpr Seconds kRetryDelay = 0.3;
constexpr double kRenewalsPerLease = 4;
constexpr double kRetriesPerLease = 12;  // after a renewal without reply
constexpr Seconds kMinRenewalDelay = 0.05;
constexpr const char* kNewerLeaderReason = "a worker knows a newer leader";

wire::Result<wire::Item> parse_leader_key(const store::Reply& reply) {
  return reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("leader key not read");
}
}  // namespace

const char* name(CampaignOutcome outcome) {
  switch (outcome) {
    case CampaignOutcome::none:
      return "none";
    case CampaignOutcome::no_lease:
      return "no_lease";
    case CampaignOutcome::key_exists:
      return "key_exists";
    case CampaignOutcome::write_failed:
      return "write_failed";
    case CampaignOutcome::won:
      return "won";
  }
  return "unknown";
}

LeaderElection::LeaderElection(ports::Outbox& out, store::StateClient& store,
                               const settings::Settings& settings, Events events)
    : out_(out),
      store_(store),
      settings_(settings),
      events_(std::move(events)),
      detached_key_remover_(out, store, settings) {}

void LeaderElection::start() {
  read_leader_key();
}

Seconds LeaderElection::lease_expiry(Seconds sent) const {
  return sent + settings_.tunables.leader_lease_s * (1 - ports::kMaxClockDrift) - kTimerMargin;
}

void LeaderElection::observe_leader(const std::string& leader, std::uint64_t token) {
  if (token > leader_fencing_token_ && token != dropped_token_)
    set_leader(leader, token);
}

void LeaderElection::set_leader(const std::string& leader, std::uint64_t token) {
  leader_ = leader;
  leader_fencing_token_ = token;
  leader_observed_at_ = out_.now();
}

void LeaderElection::on_leader_key_read(const store::Reply& reply, Seconds sent) {
  if (reply.status == 404)
    leader_key_ = {LeaderKeyView::Presence::absent, {}};
  const auto item = parse_leader_key(reply);
  if (!item)
    return;
  leader_key_ = {LeaderKeyView::Presence::present, LeaderKey::from(*item)};
  if (!holds_leadership_)
    detached_key_remover_.on_key_read(leader_key_.key);
  const std::string& holder = leader_key_.key.holder;
  if (item->version == dropped_token_) {
    dropped_token_ = 0;
    return observe_leader(holder, item->version);
  }
  // Versions of the key only rise.
  if (item->version >= leader_fencing_token_ || sent <= leader_observed_at_)
    return;
  spdlog::warn("election: token that no leader held dropped token={} leader={} leader_token={}",
               leader_fencing_token_, holder, item->version);
  dropped_token_ = leader_fencing_token_;
  set_leader(holder, item->version);
}

// Begins to follow the leader key anew, in place of what followed it until now.
void LeaderElection::read_leader_key() {
  const std::uint64_t following = ++following_;
  store_.get(kLeaderKey, store::RequestPriority::lease, [this, following](const store::Reply& reply) {
    if (following != following_)
      return;
    if (const auto item = parse_leader_key(reply)) {
      leader_key_ = {LeaderKeyView::Presence::present, LeaderKey::from(*item)};
      on_occupied(*item);
      return watch_leader_key(item->version);
    }
    if (reply.status == 404) {
      const auto revision = wire::revision(reply.body).value_or(0);
      on_vacant(revision);
      return watch_leader_key(revision);
    }
    out_.after(kRetryDelay, [this] { read_leader_key(); });
  });
}

void LeaderElection::watch_leader_key(std::uint64_t after) {
  store_.watch(kLeaderKey, after, [this, after, following = following_](const store::Reply& reply) {
    if (following != following_)
      return;
    if (reply.status != 200)
      return out_.after(kRetryDelay, [this] { read_leader_key(); });
    auto changes = wire::parse_changes(reply.body);
    if (!changes)
      return out_.after(kRetryDelay, [this] { read_leader_key(); });
    const wire::Change* last = nullptr;
    for (const wire::Change& change : changes->events) {
      if (change.key == kLeaderKey)
        last = &change;
    }
    const std::uint64_t next = std::max(after, changes->revision);
    if (last && last->deleted)
      on_vacant(next);
    if (last && !last->deleted) {
      leader_key_ = {};  // the change does not tell the key's lease
      on_occupied({last->key, last->value, last->version});
    }
    // The watch timed out without a change and the key is absent, for example after a campaign that failed:
    // read the key again, which campaigns if the key is still absent.
    if (!last && leader_key_.presence == LeaderKeyView::Presence::absent && !holds_leadership_)
      return read_leader_key();
    watch_leader_key(next);
  });
}

void LeaderElection::on_vacant(std::uint64_t revision) {
  leader_key_ = {LeaderKeyView::Presence::absent, {}};
  if (holds_leadership_)
    step_down("leader key deleted");
  if (leader_fencing_token_ <= revision)
    leader_.clear();
  campaign();
}

void LeaderElection::on_occupied(const wire::Item& item) {
  const LeaderKey key = LeaderKey::from(item);
  const std::string& holder = key.holder;
  if (item.version > leader_fencing_token_ || (item.version == leader_fencing_token_ && leader_.empty())) {
    if (leader_ != holder)
      spdlog::info("election: leader changed leader={} token={}", holder, item.version);
    set_leader(holder, item.version);
  }
  if (holds_leadership_ && item.version != fencing_token_)
    step_down("another controller leads");
  if (holder == settings_.node && !holds_leadership_ && !campaigning_ && key.named_lease &&
      key.named_lease != lease_) {
    // The key was written by an earlier process of this controller. That process has ended, so its lease can
    // be revoked instead of waiting until it expires.
    spdlog::info("election: lease of an earlier process revoked lease={}", *key.named_lease);
    store_.revoke_lease(*key.named_lease);
  }
}

void LeaderElection::campaign() {
  if (holds_leadership_ || campaigning_)
    return;
  if (out_.now() < campaign_after_) {
    out_.after(campaign_after_ - out_.now(), [this] { read_leader_key(); });
    campaign_after_ = 0;  // one timer is enough; a call before it fires campaigns at once
    return;
  }
  campaigning_ = true;
  store_.create_lease(
      static_cast<int>(settings_.tunables.leader_lease_s * 1000),
      [this, sent = out_.now()](const store::Reply& reply) { on_campaign_lease(reply, sent); });
}

void LeaderElection::on_campaign_lease(const store::Reply& reply, Seconds sent) {
  const auto lease = reply.status == 200 ? wire::lease_id(reply.body) : std::nullopt;
  if (!lease) {
    campaigning_ = false;
    last_campaign_ = CampaignOutcome::no_lease;
    return retry_campaign();
  }
  lease_ = *lease;
  wire::Transaction txn;
  txn.require(kLeaderKey, 0).put(kLeaderKey, LeaderKey::value(settings_.node, *lease), *lease);
  store_.transact(std::move(txn), store::RequestPriority::lease, lease_expiry(sent),
                  [this, sent, lease = *lease](const store::Reply& written) {
                    on_campaign_written(written, lease, sent);
                  });
}

void LeaderElection::on_campaign_written(const store::Reply& reply, std::uint64_t lease, Seconds lease_sent) {
  campaigning_ = false;
  const auto revision = wire::revision(reply.body);
  if (reply.status == 200 && revision)
    return on_won(lease, *revision, lease_sent);
  const bool key_exists = reply.status == 409;
  last_campaign_ = key_exists ? CampaignOutcome::key_exists : CampaignOutcome::write_failed;
  // If a copy of the write is still in flight, it fails once the lease is revoked.
  store_.revoke_lease(lease);
  if (!key_exists)
    retry_campaign();
}

// Whether another controller leads is read from the leader key: what a peer reports may be out of date.
void LeaderElection::retry_campaign() {
  out_.after(kRetryDelay, [this] {
    if (!holds_leadership_)
      read_leader_key();
  });
}

void LeaderElection::on_won(std::uint64_t lease, std::uint64_t token, Seconds lease_sent) {
  holds_leadership_ = true;
  last_campaign_ = CampaignOutcome::won;
  ++term_;
  lease_ = lease;
  fencing_token_ = token;
  lease_expires_at_ = lease_expiry(lease_sent);
  confirmed_at_ = -kConfirmationLifetime;
  renewed_at_ = lease_sent;
  observe_leader(settings_.node, token);
  leader_ = settings_.node;
  spdlog::info("election: won token={} lease={}", token, lease);
  store_.set_leading(true);
  schedule_renewal(settings_.tunables.leader_lease_s / kRenewalsPerLease);
  events_.on_elected();
}

void LeaderElection::schedule_renewal(Seconds delay) {
  out_.after(delay, [this, term = term_] {
    if (holds_leadership_ && term == term_)
      renew_lease();
  });
}

void LeaderElection::renew_lease() {
  const Seconds sent = out_.now();
  store_.renew_lease(*lease_, [this, sent, term = term_](const store::Reply& reply) {
    if (!holds_leadership_ || term != term_)
      return;
    if (reply.status == 200) {
      if (out_.now() >= lease_expires_at_)
        spdlog::info("election: lease renewed late, commands allowed again token={}", fencing_token_);
      lease_expires_at_ = std::max(lease_expires_at_, lease_expiry(sent));
      renewed_at_ = std::max(renewed_at_, sent);
      return schedule_renewal(std::max(
          kMinRenewalDelay, sent + settings_.tunables.leader_lease_s / kRenewalsPerLease - out_.now()));
    }
    if (reply.status == 404)
      return step_down("lease expired");
    schedule_renewal(settings_.tunables.leader_lease_s / kRetriesPerLease);
  });
}

void LeaderElection::step_down(const char* reason) {
  if (!holds_leadership_)
    return;
  spdlog::info("election: stepped down token={} reason=\"{}\"", fencing_token_, reason);
  holds_leadership_ = false;
  ++term_;
  lease_expires_at_ = -1;
  if (leader_ == settings_.node)
    leader_.clear();
  store_.set_leading(false);
  events_.on_lost();
}

void LeaderElection::resign(Seconds pause, const char* reason) {
  if (!holds_leadership_)
    return;
  campaign_after_ = out_.now() + pause;
  const std::uint64_t lease = *lease_;
  step_down(reason);
  store_.revoke_lease(lease);
}

bool LeaderElection::confirm_token(std::uint64_t revision) {
  if (revision >= fencing_token_)
    return true;
  resign(0, "the fencing token is above the state service's revision");
  return false;
}

void LeaderElection::on_higher_token(std::function<void()> on_unknown_token) {
  if (!may_act())
    return step_down(kNewerLeaderReason);
  if (out_.now() < confirmed_at_ + kConfirmationLifetime)
    return on_unknown_token();
  if (confirming_)
    return;
  confirming_ = true;
  store_.get(kLeaderKey, store::RequestPriority::lease,
             [this, sent = out_.now(), term = term_,
              on_unknown_token = std::move(on_unknown_token)](const store::Reply& reply) {
               confirming_ = false;
               if (term == term_)
                 on_confirmation_reply(reply, sent, on_unknown_token);
             });
}

void LeaderElection::on_confirmation_reply(const store::Reply& reply, Seconds sent,
                                           const std::function<void()>& on_unknown_token) {
  if (reply.status == 404)
    return step_down(kNewerLeaderReason);
  const auto item = parse_leader_key(reply);
  if (!item)
    return;  // the worker's next report asks again
  if (item->version != fencing_token_)
    return step_down(kNewerLeaderReason);
  confirmed_at_ = sent;
  on_unknown_token();
}

void LeaderElection::on_superseded(const char* reason) {
  step_down(reason);
}

}  // namespace wingtrail::leadership
