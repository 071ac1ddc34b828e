#include "controller/delegated_renewal.hpp"

#include <algorithm>
#include <utility>

#include "delegation/strict_cancellation.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::controller {
namespace {
// A process that the state service does not answer need not wait for an election. If all processes restart
// every second amid an outage, each has less than a second to answer the workers that come to it.
constexpr Seconds kNoElectionExpected = 0.3;
constexpr double kLeasesOfOldVersions = 2;  // how long a delegation of versions that do not say so lasts
constexpr Seconds kElectionMargin = 0.5;
}  // namespace

DelegatedRenewal::DelegatedRenewal(const ports::Outbox& out, const store::StateClient& store,
                                   const leadership::LeaderElection& election, const PeerDirectory& peers,
                                   const DelegationSupport& support, const settings::Settings& settings,
                                   Callbacks callbacks)
    : out_(out),
      store_(store),
      election_(election),
      peers_(peers),
      support_(support),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      delegate_(support.duration_s(), settings.peers.size()),
      ledger_(support.duration_s(), settings.worker_lease_s, settings.peers.size()) {}

void DelegatedRenewal::start() {
  started_at_ = out_.now();
}

void DelegatedRenewal::begin_leadership() {
  ledger_.begin_leadership(out_.now());
}

void DelegatedRenewal::assume_earlier_delegations(Seconds duration_s) {
  ledger_.assume_earlier_delegations(duration_s);
}

void DelegatedRenewal::observe_leadership() {
  delegate_.observe_leadership(election_.leader_fencing_token());
}

void DelegatedRenewal::describe(peer::Frame& frame) const {
  frame.since_delegated_renewal_s = delegate_.since_last_renewal_s(out_.now());
  frame.all_support_delegation_s = support_.all_support_for_s();
  frame.max_delegation_s = support_.duration_s();
  frame.newest_fencing_token = delegate_.newest_token();
  frame.strict_cancellation_token = strict_cancellation_token_;
}

// ---------------------------------------------------------------- peers

void DelegatedRenewal::on_frame(const peer::Frame& frame) {
  delegate_.observe_leadership(std::max(election_.leader_fencing_token(), frame.newest_fencing_token));
  strict_cancellation_token_ = std::max(strict_cancellation_token_, frame.strict_cancellation_token);
  if (frame.answers_heartbeats && frame.node == election_.leader())
    leader_answered_heartbeats_at_ = out_.now();
}

void DelegatedRenewal::on_greeting_reply(std::size_t peer, const peer::Frame& reply, Seconds sent) {
  if (reply.grants_delegation && reply.node == reply.leader)
    delegate_.on_grant(reply.leader_fencing_token, sent, duration_granted_by(reply));
  if (reply.agreement_token >= 0) {
    delegate_.on_peer_agreement(peer, static_cast<std::uint64_t>(reply.agreement_token), sent,
                                duration_granted_by(reply));
  }
  if (election_.holds_leadership() && reply.leader_fencing_token >= election_.fencing_token()) {
    ledger_.on_peer_statement(
        peer, sent, out_.now(),
        {reply.process_age_s, reply.since_delegated_renewal_s, reply.level >= peer::kLevelDelegation});
  }
}

// The leader grants before it has read its jobs, too: it answers no worker itself until then.
DelegatedRenewal::Permission DelegatedRenewal::permission(const peer::Frame& greeting) const {
  Permission permission;
  permission.grant = election_.may_act() && support_.all_cancellations_strict() && support_.enabled();
  permission.agreement = !permission.grant && greeting.level >= peer::kLevelPeerAgreement && may_agree();
  return permission;
}

// What is agreed to by a leader past its lease must be reckoned with if a renewal gets through after all.
void DelegatedRenewal::on_permitted(std::size_t peer, Permission permission) {
  if (permission.grant || (permission.agreement && election_.holds_leadership()))
    ledger_.on_granted(peer, out_.now());
  counts_.grants += permission.grant;
}

void DelegatedRenewal::permit(peer::Frame& reply, Permission permission) const {
  reply.grants_delegation = permission.grant;
  reply.delegation_s = permitted_duration_s();
  if (permission.agreement)
    reply.agreement_token = static_cast<std::int64_t>(delegate_.newest_token());
}

// How long the sender of the frame lets its grant, or its agreement, last.
Seconds DelegatedRenewal::duration_granted_by(const peer::Frame& frame) const {
  return frame.level >= peer::kLevelPeerAgreement
             ? frame.delegation_s
             : std::min(support_.duration_s(), kLeasesOfOldVersions * settings_.worker_lease_s);
}

// How long a grant or an agreement of this controller lasts: no longer than any controller, being elected,
// would reckon with.
Seconds DelegatedRenewal::permitted_duration_s() const {
  Seconds least = support_.duration_s();
  for (const PeerState& peer : peers_.all()) {
    const bool states_duration = peer.level.value_or(peer::kLevelPeerAgreement) >= peer::kLevelPeerAgreement;
    least = std::min(least, states_duration ? peer.max_delegation_s.value_or(least)
                                            : kLeasesOfOldVersions * settings_.worker_lease_s);
  }
  return least;
}

// Whether this controller may agree that nobody sends commands now. A leader past its lease agrees for as
// long as it stays so, and records that.
bool DelegatedRenewal::may_agree() const {
  return settings_.tunables.peer_agreement && support_.enabled() && !election_.may_act() &&
         support_.all_support();
}

// ---------------------------------------------------------------- workers

std::optional<wire::Value> DelegatedRenewal::answer_heartbeat(const std::string& bytes) {
  observe_leadership();
  wire::Result<wire::Heartbeat> heartbeat = wire::malformed("");
  // Where the state service cannot be read, what any worker shows is kept, whether it can be answered or not.
  if (settings_.tunables.peer_agreement && !store_.healthy()) {
    heartbeat = wire::parse_heartbeat(bytes);
    if (!heartbeat)
      return std::nullopt;
    for (const wire::TaskStatus& task : heartbeat->tasks) {
      strict_cancellation_token_ =
          std::max(strict_cancellation_token_, delegation::strict_cancellation_token(task.attempt));
    }
  }
  if (election_.holds_leadership()) {
    if (support_.all_cancellations_strict())
      delegate_.on_grant(election_.fencing_token(), election_.renewed_at(), permitted_duration_s());
  } else if (waits_for_leader()) {
    return std::nullopt;
  }
  if (out_.now() >= delegate_.delegated_until())
    return std::nullopt;  // without parsing the heartbeat in vain
  if (!heartbeat)
    heartbeat = wire::parse_heartbeat(bytes);
  if (!heartbeat)
    return std::nullopt;
  auto reply = renew(*heartbeat);
  counts_.renewals += reply.has_value();
  return reply;
}

std::optional<wire::Value> DelegatedRenewal::renew(const wire::Heartbeat& heartbeat) {
  // A leader that confirmed cancellations early may have confirmed one whose task is on this very worker.
  // That none has since this worker heard of a leader is known from before, or from what workers show.
  const bool strict =
      support_.all_cancellations_strict() ||
      (strict_cancellation_token_ > 0 && heartbeat.fencing_token <= strict_cancellation_token_);
  const auto token = delegate_.renewal_token(out_.now(), heartbeat.fencing_token, strict);
  if (!token)
    return std::nullopt;
  if (election_.holds_leadership()) {
    if (!callbacks_.loaded())
      return std::nullopt;
    auto reply = callbacks_.handle_heartbeat(heartbeat);
    if (reply)
      delegate_.on_renewal(out_.now());
    return reply;
  }
  // A worker without tasks has nothing to lose, and finds the leader sooner if it goes on looking.
  if (heartbeat.tasks.empty())
    return std::nullopt;
  delegate_.on_renewal(out_.now());
  return wire::heartbeat_reply(*token, {});
}

// Whether workers should find the leader instead, or a leader may yet be elected.
bool DelegatedRenewal::waits_for_leader() const {
  return leader_answers_heartbeats() ||
         out_.now() - started_at_ < (store_.healthy() ? leaderless_after_s() : kNoElectionExpected);
}

// After a crash of the leader another one is elected within the leader's lease.
Seconds DelegatedRenewal::leaderless_after_s() const {
  return settings_.tunables.leader_lease_s + kElectionMargin;
}

bool DelegatedRenewal::leader_answers_heartbeats() const {
  const auto leader = peers_.find(election_.leader());
  if (leader && peers_[*leader].answers_heartbeats &&
      out_.now() - peers_[*leader].last_heard_at < leaderless_after_s()) {
    return true;
  }
  return out_.now() - leader_answered_heartbeats_at_ < leaderless_after_s();
}

}  // namespace wingtrail::controller
