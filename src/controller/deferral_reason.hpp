/// @file
/// Reasons for answering a query of a job, or its repeated submission, with a request to retry.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace wingtrail::controller {

/// Why a reply was deferred.
enum class DeferralReason : std::uint8_t {
  dependency_cancelled,  ///< the job is orphaned, and its final state is not recorded yet
  dependency_unknown,    ///< the leader does not know yet whether a dependency is cancelled
  leader_deferred,       ///< the job has dependencies, and the leader deferred the query
  leader_unreachable,    ///< the job has dependencies; no leader lately reported all final states recorded
  not_leading,           ///< a peer forwarded the query, but this controller does not lead
  budget_exhausted,      ///< the budget of the state service, or this controller's share of it, is used up
  no_reply,              ///< the state service did not reply
};
inline constexpr std::size_t kDeferralReasonCount = 7;

/// The reason's name in metrics and logs.
inline constexpr const char* name(DeferralReason reason) {
  constexpr std::array<const char*, kDeferralReasonCount> kNames{
      "need_cancelled", "need_unknown",     "leader_put_off", "leader_unheard",
      "not_leading",    "requests_used_up", "no_answer"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace wingtrail::controller
