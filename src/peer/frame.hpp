/// @file
/// What controllers exchange: one frame each way, in msgpack, as the body of POST /peer. Every field has a
/// name on the wire that must stay (MSGPACK_DEFINE_MAP); a field that a sender of an earlier version lacks
/// has its default.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingtrail::peer {

// The protocol levels: what a sender understands beyond the first version's frames, which lack the field.
// Each level includes the ones below.

/// Dependencies between jobs.
inline constexpr std::uint32_t kLevelDependencies = 1;
/// Delegated lease renewal.
inline constexpr std::uint32_t kLevelDelegation = 2;
/// Nodes agree on delegated lease renewal while nobody leads.
inline constexpr std::uint32_t kLevelPeerAgreement = 3;
/// Job batches, and shares of the state service's quota.
inline constexpr std::uint32_t kLevelBatches = 4;
/// Remote placement: jobs that another cell holds.
inline constexpr std::uint32_t kLevelCells = 5;
/// The level of this version.
inline constexpr std::uint32_t kProtocolLevel = kLevelCells;

/// Where a controller takes frames.
inline constexpr const char* kPeerPath = "/peer";

/// A greeting between controllers, or a user's request handed on, or the answer to either.
struct Frame {
  /// The sender.
  std::string node;
  /// The fencing token of the newest leadership that the sender knows to have begun, and its holder; an empty
  /// name: none is known.
  std::uint64_t leader_fencing_token = 0;
  std::string leader;
  /// The state service has answered the sender lately.
  bool state_service_healthy = false;
  /// Heartbeats that the sender has redirected to another node lately.
  std::uint32_t rejected_heartbeats = 0;
  /// A user's request that is handed on; both empty: this is a greeting.
  std::string method, path;
  /// The request's CBOR body, or that of its answer.
  std::string body;
  /// The answer's HTTP status; 0: no answer.
  std::int32_t status = 0;
  /// The answer's Retry-After, in seconds.
  double retry_after_s = 0;
  /// The sender's protocol level.
  std::uint32_t level = 0;
  /// Since the sender's process began, in seconds.
  double process_age_s = 0;
  /// Since the sender last renewed a worker's lease by delegation, in seconds; negative: never.
  double since_delegated_renewal_s = -1;
  /// For how long the sender has known all its peers to be of kLevelDelegation, in seconds; negative: they
  /// are not.
  double all_support_delegation_s = -1;
  /// The sender answers heartbeats as the leader, with commands or, for a while, without.
  bool answers_heartbeats = false;
  /// In an answer of the leader: the asker may renew leases by delegation, counted from when it asked.
  bool grants_delegation = false;
  /// The longest delegation that the sender allows for, in seconds; 0: it has delegation switched off.
  double max_delegation_s = 0;
  /// How long this grant or agreement lasts, in seconds.
  double delegation_s = 0;
  /// In an answer: the sender may give no commands, and this is the newest fencing token that it knows of, so
  /// the asker may renew leases by delegation if all others agree; negative: it does not agree.
  std::int64_t agreement_token = -1;
  /// The newest fencing token of which the sender knows at all.
  std::uint64_t newest_fencing_token = 0;
  /// The newest fencing token whose leadership answered no cancellation before the job's tasks were gone, as
  /// the attempts that workers report show (delegation::strict_cancellation_token).
  std::uint64_t strict_cancellation_token = 0;
  /// The sender admits jobs in batches if all others do, and keeps to its shares of the quota.
  bool supports_batches = false;
  /// What the sender asks for beside its guaranteed part of the state service's quota, of writes and of
  /// requests, as shares of the whole.
  double requested_write_share = 0;
  double requested_request_share = 0;
  /// In an answer of the leader: what the asker may use beside its guaranteed part, counted from when it
  /// asked; a negative share of writes: nothing is said.
  double lent_write_share = -1;
  double lent_request_share = 0;
  /// Submissions that the sender has deferred lately, in a coding of the admission package.
  std::string deferred_attempts;
  /// Between cells: the cell that the sender belongs to; empty: a frame between peers of one cell.
  std::string cell;
  /// Between cells: the encoded CellMessage.
  std::string cell_message;
  /// Between cells: relayed by another node to the leader of its cell.
  bool relayed = false;
  /// The sender leads, and has recorded every final state that follows from a cancellation older than this,
  /// in seconds; negative: it does not say.
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

/// The frame's msgpack form.
std::string encode(const Frame& frame);
/// Reads a frame within limits of size and depth; none if it is malformed.
std::optional<Frame> decode(std::string_view bytes);

}  // namespace wingtrail::peer
