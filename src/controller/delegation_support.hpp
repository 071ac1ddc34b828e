/// @file
/// Tracks whether all controllers of the cell support delegated lease renewal, and for how long they have.
#pragma once

#include <cstdint>
#include <functional>

#include "controller/peer_directory.hpp"
#include "leadership/leader_election.hpp"
#include "store/state_client.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {

/// Tracks whether the version and the settings of every controller include delegated lease renewal, and since
/// when. Such controllers confirm cancellations strictly: only when all tasks of the job are gone.
///
/// The support record in the state service states that this has held for at least the time limit of a
/// cancellation. Processes that have just started rely on it. The leader writes the record; a controller that
/// sees one without support deletes it.
class DelegationSupport {
 public:
  /// The referenced objects must outlive this object.
  /// @param on_recorded_duration called whenever the record is read, with the longest delegation in seconds
  DelegationSupport(ports::Outbox& out, store::StateClient& store, const leadership::LeaderElection& election,
                    const PeerDirectory& peers, const settings::Settings& settings,
                    std::function<void(Seconds)> on_recorded_duration);

  /// Returns the longest delegation that this controller permits; 0 if delegated renewal is switched off.
  Seconds duration_s() const {
    return duration_s_;
  }
  bool enabled() const {
    return duration_s_ > 0;
  }
  /// Whether every controller supports delegated renewal now. For a peer that has sent no frame yet, the
  /// record decides.
  bool all_support() const;
  /// Returns for how many seconds all_support() has held; negative if it does not hold.
  double all_support_for_s() const;
  /// Whether no controller without support can have led within the time limit of a cancellation, so that
  /// every cancellation was confirmed strictly.
  bool all_cancellations_strict() const;
  /// Must be called after each change of the peer directory.
  void update();

  /// Reads the record, repeatedly until the state service replies, and calls `then`, which may be empty.
  void read_record(const std::function<void()>& then);
  /// Writes the record as the active leader if it is due, or deletes it if a controller lacks support. Must
  /// be called periodically.
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

  // The support record as last read or written.
  bool recorded_ = false;
  bool write_in_progress_ = false;
  std::uint64_t record_version_ = 0;  // 0: no record exists
  Seconds recorded_duration_s_ = 0;
  // Incremented while a controller without support is known. A read of the record that began before is stale.
  std::uint64_t removals_ = 0;
};

}  // namespace wingtrail::controller
