#include "controller/delegated_renewal.hpp"

#include <algorithm>
#include <utility>

#include "delegation/strict_cancellation.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::controller {
namespace {
// How long a process waits after its start before it answers heartbeats itself, if the state service does not
// answer it. It need not wait for an election then. The wait is short because, if all processes restart every
// second during an outage, each has less than a second to renew the leases of the workers that reach it.
constexpr Seconds kStartWaitWithoutStateService = 0.3;
// Duration of a delegation, in worker leases, for protocol levels whose frames do not state it.
constexpr double kUnstatedDelegationLeases = 2;
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

void DelegatedRenewal::add_status(peer::Frame& frame) const {
  frame.since_delegated_renewal_s = delegate_.since_last_renewal_s(out_.now());
  frame.all_support_delegation_s = support_.all_support_for_s();
  frame.max_delegation_s = support_.duration_s();
  frame.newest_fencing_token = delegate_.newest_token();
  frame.strict_cancellation_token = strict_cancellation_token_;
}

void DelegatedRenewal::on_frame(const peer::Frame& frame) {
  delegate_.observe_leadership(std::max(election_.leader_fencing_token(), frame.newest_fencing_token));
  strict_cancellation_token_ = std::max(strict_cancellation_token_, frame.strict_cancellation_token);
  if (frame.answers_heartbeats && frame.node == election_.leader())
    leader_answered_heartbeats_at_ = out_.now();
}

void DelegatedRenewal::on_status_reply(std::size_t peer, const peer::Frame& reply, Seconds sent) {
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

// The leader also grants while it is still loading its records, because it answers no heartbeats until then.
DelegatedRenewal::Permission DelegatedRenewal::permission_for(const peer::Frame& request) const {
  Permission permission;
  permission.grant = election_.may_act() && support_.all_cancellations_strict() && support_.enabled();
  permission.agreement = !permission.grant && request.level >= peer::kLevelPeerAgreement && may_agree();
  return permission;
}

// A leader whose lease has expired records its agreement like a grant, because a later renewal of the lease
// may still succeed.
void DelegatedRenewal::record_permission(std::size_t peer, Permission permission) {
  if (permission.grant || (permission.agreement && election_.holds_leadership()))
    ledger_.on_granted(peer, out_.now());
  counts_.grants += permission.grant;
}

void DelegatedRenewal::add_permission(peer::Frame& reply, Permission permission) const {
  reply.grants_delegation = permission.grant;
  reply.delegation_s = permitted_duration_s();
  if (permission.agreement)
    reply.agreement_token = static_cast<std::int64_t>(delegate_.newest_token());
}

// Returns how long the grant or the agreement in the frame lasts.
Seconds DelegatedRenewal::duration_granted_by(const peer::Frame& frame) const {
  return frame.level >= peer::kLevelPeerAgreement
             ? frame.delegation_s
             : std::min(support_.duration_s(), kUnstatedDelegationLeases * settings_.worker_lease_s);
}

// Returns how long a grant or an agreement of this controller lasts: the shortest maximum of all controllers,
// because whichever of them is elected next waits only for its own maximum.
Seconds DelegatedRenewal::permitted_duration_s() const {
  Seconds shortest = support_.duration_s();
  for (const PeerState& peer : peers_.all()) {
    const bool states_duration = peer.level.value_or(peer::kLevelPeerAgreement) >= peer::kLevelPeerAgreement;
    shortest = std::min(shortest, states_duration ? peer.max_delegation_s.value_or(shortest)
                                                  : kUnstatedDelegationLeases * settings_.worker_lease_s);
  }
  return shortest;
}

// Whether this controller may agree to delegated renewal because it must not send commands now. A leader
// whose lease has expired may agree as well; record_permission() records that.
bool DelegatedRenewal::may_agree() const {
  return settings_.tunables.peer_agreement && support_.enabled() && !election_.may_act() &&
         support_.all_support();
}

wire::Result<std::optional<wire::Value>> DelegatedRenewal::answer_heartbeat(const std::string& bytes) {
  observe_leadership();
  wire::Result<wire::Heartbeat> heartbeat = wire::malformed("");
  // Without the state service only the attempt numbers in heartbeats show whether cancellations were
  // confirmed strictly. They are recorded even if this heartbeat is not answered.
  if (settings_.tunables.peer_agreement && !store_.healthy()) {
    heartbeat = wire::parse_heartbeat(bytes);
    if (!heartbeat)
      return tl::make_unexpected(heartbeat.error());
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
    return std::nullopt;  // checked first to save the parsing
  if (!heartbeat)
    heartbeat = wire::parse_heartbeat(bytes);
  if (!heartbeat)
    return tl::make_unexpected(heartbeat.error());
  auto reply = renew(*heartbeat);
  counts_.renewals += reply.has_value();
  return reply;
}

std::optional<wire::Value> DelegatedRenewal::renew(const wire::Heartbeat& heartbeat) {
  // A leader without strict cancellation may have confirmed a cancellation while the task still runs on this
  // worker. What this controller knows of all controllers' support, or the attempt numbers of workers, can
  // prove that no leader since the worker's newest token did so.
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
  // A worker without tasks loses nothing if its lease expires, and finds the leader sooner if its heartbeats
  // are redirected.
  if (heartbeat.tasks.empty())
    return std::nullopt;
  delegate_.on_renewal(out_.now());
  return wire::heartbeat_reply(*token, {});
}

// Whether heartbeats should be redirected rather than answered here, because a leader answers them or may be
// elected soon after the start of this process.
bool DelegatedRenewal::waits_for_leader() const {
  return leader_answers_heartbeats() ||
         out_.now() - started_at_ < (store_.healthy() ? leaderless_after_s() : kStartWaitWithoutStateService);
}

// Returns the time without a leader after which none is expected: after a crash of the leader another one is
// elected within one leader lease.
Seconds DelegatedRenewal::leaderless_after_s() const {
  return settings_.tunables.leader_lease_s + kElectionMargin;
}

bool DelegatedRenewal::leader_answers_heartbeats() const {
  const auto leader = peers_.find(election_.leader());
  if (leader && peers_[*leader].answers_heartbeats &&
      out_.now() - peers_[*leader].last_frame_at < leaderless_after_s()) {
    return true;
  }
  return out_.now() - leader_answered_heartbeats_at_ < leaderless_after_s();
}

}  // namespace wingtrail::controller
