/// @file
/// Tracks the state of each zone. Placement, scaling, migration, the detection of failed machines and the
/// operators' log depend on it. docs/zone-failures.md discusses the alternatives.
///
/// Workers send heartbeats at a regular interval, so there is contact with a zone of many machines many
/// times a second. If there is no contact for much longer than the zone's heartbeats are apart, the zone is
/// unreachable: there is a network partition between the zone and this controller. A machine that does not
/// answer while there is contact with its zone has failed individually. The thresholds weigh two errors. If
/// a partition is mistaken for failed machines, machines whose tasks still run are returned, which cannot be
/// undone. If failed machines are mistaken for a partition, their replicas stay down until the next contact
/// with the zone, which is soon as long as any machine of the zone runs.
///
/// The states and their transitions:
///
///     healthy      -> unresponsive  no contact for 0.3 s, or for the time of 12 of the zone's heartbeats
///     unresponsive -> unreachable   no contact for 2 s, or for the time of 24 of the zone's heartbeats
///     unreachable  -> lost          the first lease of a worker there has certainly expired
///     unresponsive -> healthy       contact (-> recovering if the recovery time is not over yet)
///     unreachable  -> recovering    contact
///     lost         -> recovering    contact
///     recovering   -> healthy       two heartbeat intervals later; twice as long each time the zone became
///                                   unreachable again soon after the last recovery, up to a worker's lease
///     recovering   -> unresponsive  as from healthy
///
/// Where two limits on the time without contact are given, the longer one applies. A zone from which no
/// worker is expected to send heartbeats does not become unresponsive.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::zones {

using ports::Seconds;

/// A zone's state from the point of view of this controller; see the transitions above.
enum class ZoneState : std::uint8_t {
  healthy,
  unresponsive,  ///< No contact for a short time; no new tasks are started in the zone.
  unreachable,   ///< Network partition; the tasks in the zone are assumed to continue.
  lost,          ///< Unreachable and worker leases have expired; the zone's tasks are started elsewhere.
  recovering     ///< Reachable again; machines are reconciled, but none is returned and no task migrated yet.
};
/// The state's name in metrics and logs. These names differ from the enumerators and must not change.
std::string_view name(ZoneState state);

/// Determines the states of all zones, by zone index, from the contacts with their workers. All times are
/// seconds of this controller's clock.
class ZoneTracker {
 public:
  /// @param heartbeat_interval time between a worker's heartbeats, which varies by up to a quarter
  /// @param worker_lease duration of a worker's lease
  /// @param track_loss whether the states lost and recovering are used; without them, a zone whose
  ///        worker leases have all expired is healthy again, like a zone without machines
  ZoneTracker(Seconds heartbeat_interval, Seconds worker_lease, bool track_loss)
      : heartbeat_interval_s_(heartbeat_interval), worker_lease_s_(worker_lease), track_loss_(track_loss) {}

  /// Discards the state of all zones. The last contact with each zone counts as of now.
  void begin_leadership(Seconds now);
  /// Records a contact with a worker of the zone. Returns whether the zone was unreachable or lost before.
  bool on_contact(std::size_t zone, Seconds now);
  /// Adds `change` to the number of workers of the zone that are expected to send heartbeats.
  void add_expected_workers(std::size_t zone, int change);
  /// Adds `change` to the number of machines of the zone that are known and not gone.
  void add_machines(std::size_t zone, int change) {
    zone_at(zone).machines += change;
  }
  /// Called when the lease of a worker of the zone has certainly expired. If the zone is unreachable,
  /// it becomes lost.
  void on_lease_expired(std::size_t zone, Seconds now);

  ZoneState state(std::size_t zone, Seconds now) const;
  /// Whether the zone is unresponsive, unreachable or lost.
  bool is_unresponsive(std::size_t zone, Seconds now) const {
    return is_lost(zone) || no_contact_for(zone, now, kUnresponsiveAfter, kUnresponsiveAfterHeartbeats);
  }
  /// Whether the zone is unreachable or lost.
  bool is_unreachable(std::size_t zone, Seconds now) const {
    return is_lost(zone) || no_contact_for(zone, now, kUnreachableAfter, kUnreachableAfterHeartbeats);
  }
  bool is_lost(std::size_t zone) const {
    return zone < zones_.size() && zones_[zone].lost_at >= 0;
  }
  /// Whether any zone is lost or recovering. Machines should then not be returned and tasks not be migrated.
  bool any_unstable(Seconds now) const;
  /// Since when the zone has been reachable without interruption. The failure of a call that was sent before
  /// does not show that its machine has failed.
  Seconds reachable_since(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].reachable_since : leadership_began_at_;
  }
  Seconds last_contact_at(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].last_contact_at : leadership_began_at_;
  }
  /// How long the zone has been lost, in s; 0 if it is not lost.
  Seconds lost_for(std::size_t zone, Seconds now) const {
    return is_lost(zone) ? now - zones_[zone].lost_at : 0;
  }
  /// Whether a machine of the zone that has not answered since `since` (the time of its first failed call)
  /// has failed individually: there was contact with other machines of the zone after the reply was overdue.
  bool is_isolated_failure(std::size_t zone, Seconds since) const {
    return zone < zones_.size() && zones_[zone].last_contact_at >= since + kReplyOverdueAfter;
  }
  /// Whether the zone is lost and has no machines left. As there can be no contact with it, one machine at a
  /// time may be rented in the zone to find out whether it is reachable again.
  bool needs_probe_machine(std::size_t zone) const {
    return is_lost(zone) && zones_[zone].machines <= 0;
  }
  /// How many times the zone has become reachable again since it was last stable.
  int flap_count(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].flaps : 0;
  }
  /// The number of zones known.
  std::size_t size() const {
    return zones_.size();
  }

 private:
  struct Zone {
    Seconds last_contact_at = 0;
    Seconds reachable_since = 0;
    Seconds lost_at = -1;      // negative if it is not lost
    Seconds stable_at = -1;    // when the state `recovering` ends
    int expected_workers = 0;  // workers that are expected to send heartbeats
    int machines = 0;          // machines that are known and not gone
    int flaps = 0;             // see flap_count()
  };
  // Whether the time since the last contact exceeds both `min_time` and the time in which on average
  // `heartbeats` heartbeats of the zone arrive.
  bool no_contact_for(std::size_t zone, Seconds now, Seconds min_time, double heartbeats) const;
  Zone& zone_at(std::size_t zone);

  static constexpr Seconds kUnresponsiveAfter = 0.3;
  static constexpr double kUnresponsiveAfterHeartbeats = 12;
  static constexpr Seconds kUnreachableAfter = 2.0;
  static constexpr double kUnreachableAfterHeartbeats = 24;
  // A running worker answers within a second, including retransmitted packets.
  static constexpr Seconds kReplyOverdueAfter = 1.05;

  Seconds heartbeat_interval_s_;
  Seconds worker_lease_s_;
  bool track_loss_;
  Seconds leadership_began_at_ = 0;
  std::vector<Zone> zones_;
};

/// The priority with which a service that has lost replicas is restarted; the lowest rank comes first. 0: no
/// replica is left, 1: less than half of the replicas are left, 2: half or more but not all are left, 3:
/// none is missing.
int replica_loss_rank(std::uint32_t replicas, std::uint32_t left);

}  // namespace wingtrail::zones
