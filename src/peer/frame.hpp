/// @file
/// The messages between controllers: one frame in the request and one in the reply of POST /peer, encoded as
/// msgpack. The field names in MSGPACK_DEFINE_MAP are part of the protocol and must not change. A field that
/// the sender's version does not send has its default.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingtrail::peer {

// Protocol levels: the features that the sender supports in addition to those of the first version, whose
// frames have no level. Each level includes the lower ones.

/// Dependencies between jobs.
inline constexpr std::uint32_t kLevelDependencies = 1;
/// Delegated lease renewal by grants of the leader.
inline constexpr std::uint32_t kLevelDelegation = 2;
/// Delegated lease renewal by peer agreement while there is no leader.
inline constexpr std::uint32_t kLevelPeerAgreement = 3;
/// Job batches, and shares of the state service's request and write budgets.
inline constexpr std::uint32_t kLevelBatches = 4;
/// Offloading of jobs to other cells.
inline constexpr std::uint32_t kLevelCells = 5;
/// The level of this version.
inline constexpr std::uint32_t kProtocolLevel = kLevelCells;

/// The path at which a controller accepts frames.
inline constexpr const char* kPeerPath = "/peer";

/// A status frame, which peers send each other once a second, a forwarded user request, a message between
/// cells, or the reply to one of these. Each frame carries the sender's status.
struct Frame {
  /// The name of the sender.
  std::string node;
  /// The highest fencing token that the sender knows a leader to hold or have held, and that leader's name;
  /// empty: no leader is known.
  std::uint64_t leader_fencing_token = 0;
  std::string leader;
  /// The state service currently replies to the sender.
  bool state_service_healthy = false;
  /// The number of heartbeats that the sender has redirected to another controller in the last seconds.
  std::uint32_t rejected_heartbeats = 0;
  /// HTTP method and path of a forwarded user request; empty: there is none.
  std::string method, path;
  /// The CBOR body of the forwarded request or of its reply.
  std::string body;
  /// In a reply: the HTTP status; 0: none.
  std::int32_t status = 0;
  /// In a reply: Retry-After, in seconds.
  double retry_after_s = 0;
  /// The sender's protocol level.
  std::uint32_t level = 0;
  /// Seconds since the sender's process began.
  double process_age_s = 0;
  /// Seconds since the sender last renewed a worker lease by delegation; negative: never.
  double since_delegated_renewal_s = -1;
  /// For how many seconds all controllers have supported delegated lease renewal, as far as the sender knows;
  /// negative: not all support it.
  double all_support_delegation_s = -1;
  /// The sender answers heartbeats as the leader; without commands if its lease has expired.
  bool answers_heartbeats = false;
  /// In a reply of the leader: the receiver may renew leases by delegation, counted from its request.
  bool grants_delegation = false;
  /// The longest delegation that the sender permits and accounts for, in seconds; 0: it has switched it off.
  double max_delegation_s = 0;
  /// In a reply: the duration of the grant or agreement, in seconds.
  double delegation_s = 0;
  /// In a reply: the sender must not send commands and agrees that the receiver renews leases by delegation,
  /// which requires the agreement of all peers; the value is the newest fencing token that the sender knows
  /// of. Negative: it does not agree.
  std::int64_t agreement_token = -1;
  /// The newest fencing token that the sender has seen, even if it does not know which controller holds it.
  std::uint64_t newest_fencing_token = 0;
  /// The newest fencing token whose leader confirmed no cancellation before the job's tasks were gone, as the
  /// attempt numbers of workers prove (delegation::strict_cancellation_token).
  std::uint64_t strict_cancellation_token = 0;
  /// The sender creates jobs in batches if all controllers do, and keeps to its budget shares.
  bool supports_batches = false;
  /// The shares that the sender requests in addition to its guaranteed part of the state service's write and
  /// request budgets, as fractions of the whole budget.
  double requested_write_share = 0;
  double requested_request_share = 0;
  /// In a reply of the leader: the shares that the receiver may use in addition to its guaranteed part,
  /// counted from its request. A negative write share: the leader has set none.
  double lent_write_share = -1;
  double lent_request_share = 0;
  /// Submissions that the sender has recently deferred, as encoded by admission::FirstAttempts.
  std::string deferred_attempts;
  /// Between cells: the sender's cell. Empty: a frame between peers of one cell.
  std::string cell;
  /// Between cells: the encoded CellMessage.
  std::string cell_message;
  /// Between cells: a peer of the receiver has relayed the frame to it, as the leader of the cell.
  bool relayed = false;
  /// The sender leads, and has recorded every final state that follows from a cancellation older than this,
  /// in seconds; negative: not reported.
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

/// Returns the frame encoded as msgpack.
std::string encode(const Frame& frame);
/// Decodes a frame; returns nullopt if it is malformed, exceeds the limits of size and depth, or has a name
/// or path that is not UTF-8, a number that is NaN, or an infinite budget share.
std::optional<Frame> decode(std::string_view bytes);

}  // namespace wingtrail::peer
