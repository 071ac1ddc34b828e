#include "controller/delegation_support.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
// The support record, such as {"span_s":135.0}: every controller has supported delegated renewal for at least
// the time limit of a cancellation, and no delegation was given for more than span_s seconds.
constexpr const char* kRecordKey = "custody";
constexpr const char* kDurationField = "span_s";
constexpr Seconds kReadRetryDelay = 0.3;
constexpr Seconds kWriteInterval = 1;

// Requires that the peer has sent a frame, so that its level is known.
bool supports_delegation(const PeerState& peer) {
  return *peer.level >= peer::kLevelDelegation && peer.max_delegation_s.value_or(1) > 0;
}
}  // namespace

DelegationSupport::DelegationSupport(ports::Outbox& out, store::StateClient& store,
                                     const leadership::LeaderElection& election, const PeerDirectory& peers,
                                     const settings::Settings& settings,
                                     std::function<void(Seconds)> on_recorded_duration)
    : out_(out),
      store_(store),
      election_(election),
      peers_(peers),
      settings_(settings),
      duration_s_(settings.tunables.delegation_leases * settings.worker_lease_s),
      on_recorded_duration_(std::move(on_recorded_duration)) {}

bool DelegationSupport::all_support() const {
  return std::all_of(peers_.all().begin(), peers_.all().end(), [this](const PeerState& peer) {
    return peer.level ? supports_delegation(peer) : recorded_;
  });
}

double DelegationSupport::all_support_for_s() const {
  return all_support() ? out_.now() - all_support_since_ : -1;
}

void DelegationSupport::update() {
  if (!all_support()) {
    all_support_since_ = ports::kNever;
    return;
  }
  all_support_since_ =
      std::min(all_support_since_, recorded_ ? out_.now() - settings_.cancellation_limit_s : out_.now());
}

bool DelegationSupport::all_cancellations_strict() const {
  if (!all_support())
    return false;
  Seconds since = all_support_since_;
  for (const PeerState& peer : peers_.all())
    since = std::min(since, peer.all_support_delegation_since);
  return out_.now() - since >= settings_.cancellation_limit_s;
}

void DelegationSupport::read_record(const std::function<void()>& then) {
  if (!settings_.tunables.peer_agreement && enabled()) {
    if (then)
      then();
    return;
  }
  store_.get(kRecordKey, store::RequestPriority::lease,
             [this, then, removals_before = removals_](const store::Reply& reply) {
               on_record_read(removals_before, then, reply);
             });
}

void DelegationSupport::on_record_read(std::uint64_t removals_before, const std::function<void()>& then,
                                       const store::Reply& reply) {
  const auto item = reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("");
  if (item) {
    record_version_ = item->version;
    recorded_duration_s_ = wire::amount(item->value, kDurationField).value_or(0);
    on_recorded_duration_(recorded_duration_s_);
    // If a peer without support was seen while the record was being read, the record is out of date.
    if (removals_before == removals_)
      recorded_ = enabled();
    update();
  } else if (reply.status == 404) {
    record_version_ = 0;
    recorded_ = false;
  } else {
    return out_.after(kReadRetryDelay, [this, then] { read_record(then); });
  }
  if (then)
    then();
}

void DelegationSupport::maintain_record(bool is_active_leader) {
  if ((!settings_.tunables.peer_agreement && enabled()) || write_in_progress_)
    return;
  const bool some_lack_support =
      !enabled() || std::any_of(peers_.all().begin(), peers_.all().end(), [](const PeerState& peer) {
        return peer.level && !supports_delegation(peer);
      });
  if (some_lack_support) {
    ++removals_;
    recorded_ = false;
    if (record_version_ == 0)
      return;
    wire::Transaction txn;
    txn.require(kRecordKey, record_version_).erase(kRecordKey);
    return write_record(std::move(txn), ports::kNever, 0);
  }
  if (!is_active_leader || !all_cancellations_strict() || (recorded_ && recorded_duration_s_ >= duration_s_))
    return;
  const Seconds longest = std::max(recorded_duration_s_, duration_s_);
  wire::Transaction txn;
  txn.require(leadership::kLeaderKey, election_.fencing_token()).require(kRecordKey, record_version_);
  txn.put(kRecordKey, {{kDurationField, longest}});
  write_record(std::move(txn), election_.lease_expires_at(), longest);
}

void DelegationSupport::write_record(wire::Transaction txn, Seconds not_after, Seconds duration_s) {
  write_in_progress_ = true;
  store_.transact(
      std::move(txn), store::RequestPriority::background, not_after,
      [this, duration_s](const store::Reply& reply) {
        const auto revision = reply.status == 200 ? wire::revision(reply.body) : std::nullopt;
        if (revision) {
          record_version_ = duration_s > 0 ? *revision : 0;
          recorded_duration_s_ = duration_s;
          recorded_ = duration_s > 0;
          spdlog::info("delegation: support record {} duration_s={}", recorded_ ? "written" : "deleted",
                       duration_s);
        }
        // Another controller has changed the record, or the outcome of the write is unknown.
        if (!revision && reply.status != 429) {
          return read_record([this] { out_.after(kWriteInterval, [this] { write_in_progress_ = false; }); });
        }
        out_.after(kWriteInterval, [this] { write_in_progress_ = false; });
      });
}

}  // namespace wingtrail::controller
