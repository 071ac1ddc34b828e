#include "custody/custody.hpp"

#include <algorithm>

namespace wingtrail::custody {

void Custodian::granted(std::uint64_t token, Seconds sent) {
  heard(token);
  if (token != newest_) return;  // of a leadership that is over
  if (token != token_) until_ = -1;
  token_ = token;
  until_ = std::max(until_, sent + span_s_ * (1 - kDrift));
}

void Custodian::heard(std::uint64_t token) {
  if (token <= newest_) return;
  newest_ = token;
  if (token_ != token) until_ = -1;
}

std::optional<std::uint64_t> Custodian::may_answer(Seconds now, std::uint64_t mandate) const {
  // A worker that knows a newer token would drop the answer and stay here while its lease runs out.
  if (now >= until_ || token_ != newest_ || mandate > token_) return std::nullopt;
  return token_;
}

void Grants::begin(Seconds now) {
  for (Peer& p : peers_) p = {now + span_s_, -1e9, -1e9, -1e9};
}

void Grants::granted(std::size_t peer, Seconds now) {
  peers_[peer].mine = now + span_s_;
  peers_[peer].until = std::max(peers_[peer].until, peers_[peer].mine);
}

void Grants::vouched(std::size_t peer, Seconds asked, Seconds now, const Word& word) {
  Peer& p = peers_[peer];
  // Earlier processes of the peer may have answered until they died, and this one until it says it last did.
  const Seconds born = now - (word.knows ? word.age_s * (1 - kDrift) : 0);
  if (born > p.vouched) p.renewed = std::max(p.renewed, std::min(born, p.until));
  if (word.held_s >= 0) p.renewed = std::max(p.renewed, now - word.held_s * (1 - kDrift));
  p.vouched = std::max(p.vouched, asked);
  // It knows of this leadership now, which voids what any earlier one granted.
  p.until = p.mine;
}

Seconds Grants::lease_end(Seconds own) const {
  Seconds end = own;
  for (const Peer& p : peers_) end = std::max(end, over(p.renewed));
  Seconds late = end;
  for (const Peer& p : peers_) {
    // What it did after its last word is not known, but it can have kept alive only what lived then.
    if (p.vouched < end) late = std::max(late, over(p.until));
  }
  return late;
}

}  // namespace wingtrail::custody
