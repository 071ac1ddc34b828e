// Custody as this node takes part in it: what it says to peers, what it grants and agrees to, and the mark in
// the state service by which processes that are new know that the deployment has had custody for long enough.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"
#include "delegation/strict_cancellation.hpp"

namespace wingtrail::controller {
namespace {
// {"span_s":135.0}: every node has been of a version with custody for `cancel_s`, and no grant was given for
// longer than that. Gone when a node of a version without custody, or with it switched off, has been seen.
constexpr const char* kMarkKey = "custody";
// A process that the state service does not answer need not wait for an election. With all processes ending
// every second for a minute, amid an outage, each has less than a second to answer those that come to it (a
// day of roamkvitto-core-fleet: 6,991 tasks killed by their leases).
constexpr Seconds kNobodyElected = 0.3;
constexpr double kFormerLeases = 2;  // how long versions that do not say so grant
// Whether a peer that has been heard of tells cancellations only when their tasks are gone.
constexpr auto has_custody = [](const auto& p) {
  return *p.level >= peer::kLevelDelegation && p.max_delegation_s.value_or(1) > 0;
};
}  // namespace

// How long the sender of the frame lets a grant, or its consent, last.
Seconds Controller::granted_for(const peer::Frame& f) const {
  return f.level >= peer::kLevelPeerAgreement
             ? f.delegation_s
             : std::min(delegation_duration_, kFormerLeases * settings_.worker_lease_s);
}

// How long a grant or a consent of this node lasts: no longer than any node, being elected, would reckon
// with.
Seconds Controller::grant_span() const {
  Seconds least = delegation_duration_;
  for (const PeerState& p : peers_.all()) {
    const bool says = p.level.value_or(peer::kLevelPeerAgreement) >= peer::kLevelPeerAgreement;
    least =
        std::min(least, says ? p.max_delegation_s.value_or(least) : kFormerLeases * settings_.worker_lease_s);
  }
  return least;
}

// A report that this node may decide nothing about. If the leader cannot be reached either, an answer without
// orders keeps alive what runs on the worker; see custody/custody.hpp and docs/safety.md.
std::optional<wire::Value> Controller::answer_in_custody(const std::string& bytes) {
  lease_delegate_.observe_leadership(election_.leader_fencing_token());
  // Where nothing can be looked up, what any worker shows is kept, whether it can be answered yet or not.
  auto r = wire::Result<wire::Heartbeat>::fail("");
  if (settings_.tunables.peer_agreement && !store_.healthy()) {
    r = wire::parse_heartbeat(bytes);
    if (!r)
      return std::nullopt;
    for (const wire::TaskStatus& t : r->tasks)
      honest_ = std::max(honest_, delegation::strict_cancellation_token(t.attempt));
  }
  if (election_.holds_leadership()) {
    if (modern())
      lease_delegate_.on_grant(election_.fencing_token(), election_.renewed_at(), grant_span());
  } else if (leader_answers() ||
             out_.now() - started_at_ < (store_.healthy() ? vacancy_s() : kNobodyElected)) {
    return std::nullopt;
  }
  if (out_.now() >= lease_delegate_.delegated_until())
    return std::nullopt;  // spares reading the report
  if (!r)
    r = wire::parse_heartbeat(bytes);
  if (!r)
    return std::nullopt;
  // A leadership that told cancellations at once may have told one whose task is on this very worker. That
  // none has since this worker heard of one is known from before, or from what workers show.
  const bool honest = modern() || (honest_ > 0 && r->fencing_token <= honest_);
  const auto token = lease_delegate_.renewal_token(out_.now(), r->fencing_token, honest);
  if (!token)
    return std::nullopt;
  if (election_.holds_leadership()) {
    if (!loaded_)
      return std::nullopt;
    auto answer = workers_.handle_heartbeat(*r, workers::WorkerManager::CommandsInReply::withheld);
    if (answer)
      lease_delegate_.on_renewal(out_.now());
    return answer;
  }
  // One with nothing on it has nothing to lose, and finds the leader sooner if it goes on looking.
  if (r->tasks.empty())
    return std::nullopt;
  lease_delegate_.on_renewal(out_.now());
  return wire::heartbeat_reply(*token, {});
}

// An office that fell vacant by a crash is taken again within the leader's lease; that long nobody steps in.
Seconds Controller::vacancy_s() const {
  return settings_.tunables.leader_lease_s + 0.5;
}

// Whether workers should be sent to the leader.
bool Controller::leader_answers() const {
  const auto leader = peers_.find(election_.leader());
  if (leader && peers_[*leader].answers_heartbeats &&
      out_.now() - peers_[*leader].last_heard_at < vacancy_s())
    return true;
  return out_.now() - leader_seen_ < vacancy_s();
}

// Whether this node may agree that nobody gives orders now. One that leads, but past its authority, agrees
// for as long as it stays so, and puts that down (peer()).
bool Controller::may_consent() const {
  return settings_.tunables.peer_agreement && delegation_duration_ > 0 && !election_.may_act() &&
         all_modern();
}

bool Controller::all_modern() const {
  return std::all_of(peers_.all().begin(), peers_.all().end(), [this](const PeerState& p) {
    return p.level ? has_custody(p) : marked_;  // not heard of yet
  });
}

void Controller::know_modern() {
  if (!all_modern()) {
    modern_since_ = ports::kNever;
  } else {
    modern_since_ =
        std::min(modern_since_, marked_ ? out_.now() - settings_.cancellation_limit_s : out_.now());
  }
}

bool Controller::modern() const {
  if (!all_modern())
    return false;
  Seconds since = modern_since_;
  for (const PeerState& p : peers_.all())
    since = std::min(since, p.all_support_delegation_since);
  return out_.now() - since >= settings_.cancellation_limit_s;
}

// ---------------------------------------------------------------- the mark

void Controller::read_mark(const std::function<void()>& then) {
  if (!settings_.tunables.peer_agreement && delegation_duration_ > 0) {
    if (then)
      then();
    return;
  }
  store_.get(kMarkKey, store::RequestPriority::lease,
             [this, then, life = mark_reads_](const store::Reply& r) {
               auto item = r.status == 200 ? wire::parse_item(r.body) : wire::Result<wire::Item>::fail("");
               if (item) {
                 mark_version_ = item->version;
                 mark_span_ = wire::amount(item->value, "span_s").value_or(0);
                 delegations_.assume_earlier_delegations(mark_span_);
                 // What was seen since it was asked for counts for more.
                 if (life == mark_reads_)
                   marked_ = delegation_duration_ > 0;
                 know_modern();
               } else if (r.status == 404) {
                 mark_version_ = 0;
                 marked_ = false;
               } else {
                 return out_.after(0.3, [this, then] { read_mark(then); });
               }
               if (then)
                 then();
             });
}

// The leader writes it once; whoever sees a node that may tell cancellations at once takes it away.
void Controller::keep_mark() {
  if ((!settings_.tunables.peer_agreement && delegation_duration_ > 0) || mark_busy_)
    return;
  const bool old =
      delegation_duration_ <= 0 || std::any_of(peers_.all().begin(), peers_.all().end(),
                                               [](const PeerState& p) { return p.level && !has_custody(p); });
  if (old) {
    ++mark_reads_;
    marked_ = false;
    if (mark_version_ == 0)
      return;
    wire::Transaction txn;
    txn.require(kMarkKey, mark_version_).erase(kMarkKey);
    return write_mark(std::move(txn), ports::kNever, 0);
  }
  if (!is_active_leader() || !modern() || (marked_ && mark_span_ >= delegation_duration_))
    return;
  const double span = std::max(mark_span_, delegation_duration_);
  wire::Transaction txn;
  txn.require(leadership::kLeaderKey, election_.fencing_token()).require(kMarkKey, mark_version_);
  txn.put(kMarkKey, {{"span_s", span}});
  write_mark(std::move(txn), election_.lease_expires_at(), span);
}

void Controller::write_mark(wire::Transaction txn, Seconds not_after, double span) {
  mark_busy_ = true;
  store_.transact(std::move(txn), store::RequestPriority::background, not_after,
                  [this, span](const store::Reply& r) {
                    const auto revision = r.status == 200 ? wire::revision(r.body) : std::nullopt;
                    if (revision) {
                      mark_version_ = span > 0 ? *revision : 0;
                      mark_span_ = span;
                      marked_ = span > 0;
                      spdlog::info("the mark of custody is {}", span > 0 ? "set" : "taken away");
                    }
                    // Somebody else has changed it, or it is not known whether this node has.
                    if (!revision && r.status != 429)
                      return read_mark([this] { out_.after(1, [this] { mark_busy_ = false; }); });
                    out_.after(1, [this] { mark_busy_ = false; });
                  });
}

}  // namespace wingtrail::controller
