#include "custody/custody.hpp"

#include <algorithm>

namespace wingtrail::custody {

void Custodian::granted(std::uint64_t token, Seconds sent, Seconds span_s) {
  heard(token);
  if (token != newest_)
    return;  // of a leadership that is over
  if (token != token_)
    until_ = -1;
  token_ = token;
  until_ = std::max(until_, sent + std::min(span_s_, span_s) * (1 - kDrift));
}

void Custodian::consented(std::size_t peer, std::uint64_t token, Seconds sent, Seconds span_s) {
  heard(token);
  // The peer had not heard of a leadership that is known here, so it may have spoken before that one began.
  if (token != newest_ || span_s_ <= 0)
    return;
  consents_[peer] = std::max(consents_[peer], sent + std::min(span_s_, span_s) * (1 - kDrift));
}

Seconds Custodian::agreed_until() const {
  if (span_s_ <= 0)
    return -1;
  // A node without peers: its own earlier process is over, so nobody leads unless it does.
  if (consents_.empty())
    return ports::kNever;
  return *std::min_element(consents_.begin(), consents_.end());
}

void Custodian::heard(std::uint64_t token) {
  if (token <= newest_)
    return;
  newest_ = token;
  if (token_ != token)
    until_ = -1;
  // What was agreed on counts for the next leader only as far as it was given before that one's election.
  std::fill(consents_.begin(), consents_.end(), -1);
}

std::optional<std::uint64_t> Custodian::may_answer(Seconds now, std::uint64_t mandate, bool honest) const {
  // A worker that knows a newer token would drop the answer and stay here while its lease runs out.
  if (now < until_ && token_ == newest_ && mandate <= token_)
    return token_;
  // Nobody leads, so the worker's own token is as good as any, and moves nothing.
  if (honest && now < agreed_until() && mandate > 0)
    return mandate;
  return std::nullopt;
}

void Grants::begin(Seconds now) {
  began_ = now;
  for (Peer& p : peers_)
    p = {now + span_s_, -1e9, -1e9, -1e9};
}

void Grants::earlier(Seconds span_s) {
  for (Peer& p : peers_) {
    if (p.vouched < began_)
      p.until = std::max(p.until, began_ + span_s);
  }
}

void Grants::granted(std::size_t peer, Seconds now) {
  peers_[peer].mine = now + span_s_;
  peers_[peer].until = std::max(peers_[peer].until, peers_[peer].mine);
}

void Grants::vouched(std::size_t peer, Seconds asked, Seconds now, const Word& word) {
  Peer& p = peers_[peer];
  // Earlier processes of the peer may have answered until they died, and this one until it says it last did.
  const Seconds born = now - (word.knows ? word.age_s * (1 - kDrift) : 0);
  if (born > p.vouched)
    p.renewed = std::max(p.renewed, std::min(born, p.until));
  if (word.held_s >= 0)
    p.renewed = std::max(p.renewed, now - word.held_s * (1 - kDrift));
  p.vouched = std::max(p.vouched, asked);
  // It knows of this leadership now, which voids what any earlier one granted.
  p.until = p.mine;
}

Seconds Grants::lease_end(Seconds own) const {
  Seconds end = own;
  for (const Peer& p : peers_)
    end = std::max(end, over(p.renewed));
  Seconds late = end;
  for (const Peer& p : peers_) {
    // What it did after its last word is not known, but it can have kept alive only what lived then.
    if (p.vouched < end)
      late = std::max(late, over(p.until));
  }
  return late;
}

}  // namespace wingtrail::custody
