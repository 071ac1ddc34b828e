// What controllers say to each other: one frame each way, in msgpack, as the body of POST /peer.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingtrail::peer {

// What the sender understands beyond the first version's frames, which lack the field: 1, job chains;
// 2, custody; 3, that nodes agree on custody while nobody leads; 4, sheets and shares of the budget;
// 5, jobs that another cell holds.
inline constexpr std::uint32_t kProtocolLevel = 5;
inline constexpr std::uint32_t kLevelDependencies = 1, kLevelDelegation = 2, kLevelPeerAgreement = 3,
                               kLevelBatches = 4, kLevelCells = 5;

inline constexpr const char* kPeerPath = "/peer";

struct Frame {
  std::string node;                        // the sender
  std::uint64_t leader_fencing_token = 0;  // the newest leadership the sender knows of
  std::string leader;                      // and its holder; empty: none known
  bool state_service_healthy = false;      // the state service has answered the sender lately
  std::uint32_t rejected_heartbeats = 0;   // worker reports that the sender turned away lately
  std::string method, path;                // a user's request handed on; empty: just a greeting
  std::string body;                        // its CBOR body, or that of its answer
  std::int32_t status = 0;                 // the answer's status; 0: no answer
  double retry_after_s = 0;
  std::uint32_t level = 0;
  double process_age_s = 0;               // since the sender's process began
  double since_delegated_renewal_s = -1;  // since it last answered a report in custody; negative: never
  double all_support_delegation_s =
      -1;  // for how long it has known all its peers to be of level 2; negative: they are not
  bool answers_heartbeats =
      false;  // it answers workers' reports as the leader, with orders or, for a while, without
  bool grants_delegation =
      false;  // in an answer of the leader: its asker may answer reports, counted from its asking
  double max_delegation_s = 0;  // for how long the sender reckons with grants; 0: it has custody switched off
  double delegation_s = 0;      // how long this grant, or consent, lasts
  std::int64_t agreement_token =
      -1;  // in an answer: the sender may give no orders, and this is the newest leadership it
           // knows of, so its asker may answer reports if all others agree; negative: no
  std::uint64_t newest_fencing_token = 0;  // the newest leadership of which the sender knows at all
  std::uint64_t strict_cancellation_token =
      0;  // the newest leadership that workers have shown the sender to be an honest one
  bool supports_batches = false;  // the sender admits on sheets if all others do, and keeps to shares
  double requested_write_share =
      0;  // of the state service's changes, what it wants beside its floor, as a share
  double requested_request_share = 0;  // the same of its requests
  double lent_write_share = -1;        // in an answer of the leader: what its asker may use beside its floor,
                                       // counted from its asking; negative: nothing is said
  double lent_request_share = 0;
  std::string deferred_attempts;  // submissions that the sender has put off lately (admission/tries.hpp)
  std::string cell;  // between cells: the one that the sender belongs to; empty: between peers of one cell
  std::string cell_message;  // and what it says (peer/between.hpp)
  bool relayed = false;      // handed on to the leader of the cell that it is said to
  // The sender leads, and has recorded every end that follows from a cancellation older than this; negative:
  // it does not say.
  double final_state_lag_s = -1;
  MSGPACK_DEFINE_MAP(
      node, MSGPACK_NVP("token", leader_fencing_token), leader,
      MSGPACK_NVP("store_ok", state_service_healthy), MSGPACK_NVP("bounced", rejected_heartbeats), method,
      path, body, status, retry_after_s, level, MSGPACK_NVP("age_s", process_age_s),
      MSGPACK_NVP("held_s", since_delegated_renewal_s), MSGPACK_NVP("modern_s", all_support_delegation_s),
      MSGPACK_NVP("answers", answers_heartbeats), MSGPACK_NVP("grant", grants_delegation),
      MSGPACK_NVP("span_s", max_delegation_s), MSGPACK_NVP("grant_s", delegation_s),
      MSGPACK_NVP("consent", agreement_token), MSGPACK_NVP("newest", newest_fencing_token),
      MSGPACK_NVP("honest", strict_cancellation_token), MSGPACK_NVP("admission", supports_batches),
      MSGPACK_NVP("wants", requested_write_share), MSGPACK_NVP("wants_requests", requested_request_share),
      MSGPACK_NVP("lends", lent_write_share), MSGPACK_NVP("lends_requests", lent_request_share),
      MSGPACK_NVP("tries", deferred_attempts), cell, MSGPACK_NVP("between", cell_message), relayed,
      MSGPACK_NVP("ends_behind_s", final_state_lag_s))
};

std::string encode(const Frame& frame);
std::optional<Frame> decode(std::string_view bytes);

}  // namespace wingtrail::peer
