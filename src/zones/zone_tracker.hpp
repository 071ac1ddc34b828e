/// \file
/// The state of each zone, which placement, scaling, migration, the judgement of machines and the operators'
/// log all go by. docs/zones.md discusses the alternatives.
///
/// Workers send heartbeats all the time, so from a zone with many machines there is contact many times a
/// second. A zone without any contact for longer than that can explain is unreachable: there is a network
/// partition between it and this node. A machine that does not answer while there is contact with its zone
/// has failed by itself. Both errors are weighed: to take a partition for failed machines returns machines
/// whose tasks still run, which cannot be undone; to take failed machines for a partition leaves replicas
/// down until there is contact with the zone, which in a zone with any running machine is a moment.
///
/// The states and their transitions:
///
///     healthy      -> unresponsive  no contact for 0.3 s, or for the time of 12 of the zone's heartbeats
///     unresponsive -> unreachable   no contact for 2 s, or for the time of 24 of the zone's heartbeats
///     unreachable  -> lost          the first lease of a worker there has certainly expired
///     unresponsive -> healthy       contact (recovering, if that state has not ended yet)
///     unreachable  -> recovering    contact
///     lost         -> recovering    contact
///     recovering   -> healthy       two heartbeat intervals later; twice as long each time the zone became
///                                   unreachable again soon after the last recovery, up to a worker's lease
///     recovering   -> unresponsive  as from healthy
///
/// Of two limits on the time without contact, the longer one counts. A zone without workers that should send
/// heartbeats does not become unresponsive.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::zones {

using ports::Seconds;

enum class ZoneState : std::uint8_t {
  healthy,
  unresponsive,  ///< No contact for a moment: no new tasks are started there.
  unreachable,   ///< Partitioned: what runs there is assumed to go on.
  lost,          ///< Unreachable, and leases there have expired: what ran there is started elsewhere.
  recovering     ///< Reachable again: its machines are reconciled, nothing is moved or returned yet.
};
/// The state's name in metrics and logs.
std::string_view name(ZoneState state);

/// Tracks the states of all zones, by zone index, from the contacts with their workers. All times are those
/// of this node's clock.
class ZoneTracker {
 public:
  /// `heartbeat_interval`: between a worker's heartbeats, give or take a quarter. `worker_lease`: duration of
  /// a worker's lease. `track_loss`: whether there are the states lost and recovering; without them, a zone
  /// whose leases have expired is healthy again, as if it had no machine.
  ZoneTracker(Seconds heartbeat_interval, Seconds worker_lease, bool track_loss)
      : heartbeat_interval_s_(heartbeat_interval), worker_lease_s_(worker_lease), track_loss_(track_loss) {}

  /// Forgets all zones; each counts as contacted now.
  void begin_leadership(Seconds now);
  /// There was contact with a worker of the zone. True: the zone had been unreachable or lost.
  bool on_contact(std::size_t zone, Seconds now);
  /// Changes how many workers of the zone should send heartbeats.
  void set_expected(std::size_t zone, int change);
  /// Changes how many machines of the zone are known and not gone.
  void add_member(std::size_t zone, int change) {
    zone_at(zone).members += change;
  }
  /// The lease of a worker of the zone has certainly expired.
  void on_lease_expired(std::size_t zone, Seconds now);

  ZoneState state(std::size_t zone, Seconds now) const;
  /// Unresponsive, unreachable or lost.
  bool is_unresponsive(std::size_t zone, Seconds now) const {
    return is_lost(zone) || no_contact_for(zone, now, kUnresponsiveAfter, kUnresponsiveAfterHeartbeats);
  }
  /// Unreachable or lost.
  bool is_unreachable(std::size_t zone, Seconds now) const {
    return is_lost(zone) || no_contact_for(zone, now, kUnreachableAfter, kUnreachableAfterHeartbeats);
  }
  bool is_lost(std::size_t zone) const {
    return zone < zones_.size() && zones_[zone].lost_at >= 0;
  }
  /// Whether any zone is lost or recovering, so that machines should be neither returned nor rearranged.
  bool any_unstable(Seconds now) const;
  /// Since when the zone has been reachable. A call that was sent before says nothing of its machine.
  Seconds returned_at(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].returned_at : leadership_began_at_;
  }
  Seconds last_contact_at(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].last_contact_at : leadership_began_at_;
  }
  /// How long the zone has been lost; 0 if it is not.
  Seconds lost_for(std::size_t zone, Seconds now) const {
    return is_lost(zone) ? now - zones_[zone].lost_at : 0;
  }
  /// Whether a machine of the zone has failed by itself that has not answered since `since` (when the first
  /// call that failed was sent): there was contact with others when a reply to that call was overdue.
  bool machine_lost_alone(std::size_t zone, Seconds since) const {
    return zone < zones_.size() && zones_[zone].last_contact_at >= since + kReplyOverdueAfter;
  }
  /// Whether the zone is lost and has no machine left: there will be no contact with it, so one machine at a
  /// time may be rented there to find out whether it is back.
  bool needs_probe_machine(std::size_t zone) const {
    return is_lost(zone) && zones_[zone].members <= 0;
  }
  /// How often the zone has come back without a stable time in between.
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
    Seconds returned_at = 0;
    Seconds lost_at = -1;    // negative: it is not lost
    Seconds stable_at = -1;  // when it stops recovering
    int workers = 0;         // that should send heartbeats
    int members = 0;         // machines that are not gone
    int flaps = 0;           // see flap_count()
  };
  // Whether there was no contact for longer than `least`, and than it takes for that many heartbeats of the
  // zone to arrive.
  bool no_contact_for(std::size_t zone, Seconds now, Seconds least, double heartbeats) const;
  Zone& zone_at(std::size_t zone);

  static constexpr Seconds kUnresponsiveAfter = 0.3;
  static constexpr double kUnresponsiveAfterHeartbeats = 12;
  static constexpr Seconds kUnreachableAfter = 2.0;
  static constexpr double kUnreachableAfterHeartbeats = 24;
  // A running worker answers within a second, resent packets included.
  static constexpr Seconds kReplyOverdueAfter = 1.05;

  Seconds heartbeat_interval_s_;
  Seconds worker_lease_s_;
  bool track_loss_;
  Seconds leadership_began_at_ = 0;
  std::vector<Zone> zones_;
};

/// In which order services are restarted that have lost replicas: the lowest rank first, by what their users
/// miss. 0: no replica is left, 1: less than half of them are, 2: not all of them are, 3: none is missing.
int replica_loss_rank(std::uint32_t replicas, std::uint32_t left);

}  // namespace wingtrail::zones
