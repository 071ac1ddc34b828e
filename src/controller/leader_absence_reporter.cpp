#include "controller/leader_absence_reporter.hpp"

#include <spdlog/spdlog.h>

#include <string>

namespace wingtrail::controller {
namespace {
constexpr Seconds kLineInterval = 10;

std::string lease_text(const std::optional<std::uint64_t>& lease) {
  return lease ? std::to_string(*lease) : "none";
}
}  // namespace

void LeaderAbsenceReporter::update(Seconds now, bool leader_known,
                                   const leadership::LeaderElection& election) {
  if (leader_known)
    return absent_since_.reset();
  if (!absent_since_) {
    absent_since_ = now;
    next_line_at_ = now + kLineInterval;
  }
  if (now < next_line_at_)
    return;
  next_line_at_ = now + kLineInterval;
  const leadership::LeaderKeyView& view = election.leader_key();
  const leadership::LeaderKey& key = view.key;
  spdlog::warn(
      "election: no active leader for_s={:.0f} key={} holder={} version={} named_lease={} attached_lease={} "
      "last_campaign={} known_leader={} known_token={} holds_leadership={}",
      absent_for(now), name(view.presence), key.holder, key.version, lease_text(key.named_lease),
      lease_text(key.attached_lease), name(election.last_campaign()), election.leader(),
      election.leader_fencing_token(), election.holds_leadership());
}

}  // namespace wingtrail::controller
