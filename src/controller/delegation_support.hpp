/// @file
/// Whether all controllers of the deployment support delegated lease renewal, and have for long enough.
#pragma once

#include <cstdint>
#include <functional>

#include "controller/peer_directory.hpp"
#include "leadership/leader_election.hpp"
#include "store/state_client.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {

/// Knows whether every controller has a version, and settings, with delegated lease renewal, and since when.
/// Such controllers confirm a cancellation only when all tasks of the job are gone ("strict cancellation").
///
/// A record in the state service says that this has been so for as long as a cancellation may take, for
/// processes that have just started. The leader writes it; any controller that sees one without support
/// deletes it.
class DelegationSupport {
 public:
  /// The references must outlive this object.
  /// @param on_recorded_duration told the longest delegation that the record names, whenever it is read
  DelegationSupport(ports::Outbox& out, store::StateClient& store, const leadership::LeaderElection& election,
                    const PeerDirectory& peers, const settings::Settings& settings,
                    std::function<void(Seconds)> on_recorded_duration);

  /// How long this controller lets a delegation last; 0 if delegated renewal is switched off.
  Seconds duration_s() const {
    return duration_s_;
  }
  bool enabled() const {
    return duration_s_ > 0;
  }
  /// Whether every controller supports delegated renewal now. Of a peer that has not been heard of, the
  /// record says so.
  bool all_support() const;
  /// For how long that has been so; negative if it is not.
  double all_support_for_s() const;
  /// Whether no controller without support can have led within the time that a cancellation may take, so that
  /// every cancellation was confirmed strictly.
  bool all_cancellations_strict() const;
  /// To be called when something was heard of a peer.
  void update();

  /// Reads the record, again and again until the state service answers, and then calls `then`, which may be
  /// empty.
  void read_record(const std::function<void()>& then);
  /// Writes or deletes the record if that is this controller's to do. To be called periodically.
  void maintain_record(bool is_active_leader);

 private:
  void on_record_read(std::uint64_t removals_before, const std::function<void()>& then,
                      const store::Reply& reply);
  void write_record(wire::Transaction txn, Seconds not_after, Seconds duration_s);

  ports::Outbox& out_;
  store::StateClient& store_;
  const leadership::LeaderElection& election_;
  const PeerDirectory& peers_;
  const settings::Settings& settings_;
  const Seconds duration_s_;
  std::function<void(Seconds)> on_recorded_duration_;
  Seconds all_support_since_ = ports::kNever;

  // The record.
  bool recorded_ = false;
  bool write_in_progress_ = false;
  std::uint64_t record_version_ = 0;  // 0: there is none
  Seconds recorded_duration_s_ = 0;
  std::uint64_t removals_ = 0;  // a reading begun before one does not count
};

}  // namespace wingtrail::controller
