// Why a question about a job, or its repeated submission, is answered "come back later".
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace wingtrail::controller {

enum class DeferralReason : std::uint8_t {
  dependency_cancelled,  // a job that it needs is cancelled, and its own end is not recorded yet
  dependency_unknown,    // whether one is has still to be read
  leader_deferred,       // it needs others, and its leader has put the question off
  leader_unreachable,    // it needs others, and no leader was heard of lately that has recorded all ends
  not_leading,           // asked by a peer as the leader that this node is not
  budget_exhausted,      // the state service, or this node's part of its budget, grants no more requests now
  no_reply,              // the state service gave none
};
inline constexpr std::size_t kDeferralReasons = 7;

inline constexpr const char* name(DeferralReason why) {
  constexpr std::array<const char*, kDeferralReasons> kNames{
      "need_cancelled", "need_unknown",     "leader_put_off", "leader_unheard",
      "not_leading",    "requests_used_up", "no_answer"};
  return kNames[static_cast<std::size_t>(why)];
}

}  // namespace wingtrail::controller
