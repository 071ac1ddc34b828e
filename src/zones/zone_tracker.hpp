// The life of each zone, as one state machine that every duty asks: placing, renting, returning, moving, the
// judgement of machines, what operators are told. docs/zones.md has the ways that were weighed.
//
//     sound -> quiet -> cut -> lost -> returning -> sound
//
// Workers report all the time, so of a zone with many machines something is heard many times a second. A zone
// of which nothing at all is heard for longer than that can explain is out of reach: cut off, or this node
// is. A machine that does not answer while its zone is heard is lost for itself. Both errors are weighed:
// taking a cut for losses returns machines whose work goes on unseen, and nothing brings that back; taking
// losses for a cut leaves replicas down until the zone is heard, which in a zone with any sound machine is a
// moment.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::zones {

using ports::Seconds;

enum class ZoneState : std::uint8_t {
  healthy,
  silent,       // nothing is heard for a moment: nothing new is started there
  unreachable,  // out of reach: what runs there counts as going on unseen
  lost,         // out of reach, and the first lease there is over: what ran there is started elsewhere
  recovering    // heard again: each machine is settled as it answers, nothing is moved or given back yet
};
std::string_view name(ZoneState life);

class ZoneTracker {
 public:
  // `report_s`: how often each worker reports, give or take a quarter. `lease_s`: of a worker. `whole`: with
  // the states lost and returning; without, a zone whose leases are over is sound again, as if it had no
  // machine.
  ZoneTracker(Seconds report_s, Seconds lease_s, bool whole)
      : heartbeat_interval_s_(report_s), worker_lease_s_(lease_s), whole_(whole) {}

  void begin_leadership(Seconds now);
  // A worker of the zone was heard. True: the zone had been out of reach.
  bool on_contact(std::size_t zone, Seconds now);
  // So many more workers of the zone (fewer, if negative) should report from now on.
  void set_expected(std::size_t zone, int more);
  // So many more machines of the zone (fewer, if negative) are known and not gone.
  void add_member(std::size_t zone, int more) {
    zone_at(zone).members += more;
  }
  // The lease of a worker there is certainly over.
  void on_lease_expired(std::size_t zone, Seconds now);

  ZoneState state(std::size_t zone, Seconds now) const;
  bool is_silent(std::size_t zone, Seconds now) const {
    return is_lost(zone) || silent_for(zone, now, 0.3, 12);
  }
  // Out of reach, whether its leases are over or not.
  bool is_unreachable(std::size_t zone, Seconds now) const {
    return is_lost(zone) || silent_for(zone, now, 2.0, 24);
  }
  bool is_lost(std::size_t zone) const {
    return zone < zones_.size() && zones_[zone].lost_at >= 0;
  }
  // Whether any zone is lost or on its way back: no time to put the fleet in order.
  bool any_unstable(Seconds now) const;
  // Since when the zone has been within reach; a call that was sent before says nothing of its machine.
  Seconds returned_at(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].returned_at : leadership_began_at_;
  }
  Seconds last_contact_at(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].last_contact_at : leadership_began_at_;
  }
  // How long the zone has been in its state: lost since, or returning since.
  Seconds lost_for(std::size_t zone, Seconds now) const {
    return is_lost(zone) ? now - zones_[zone].lost_at : 0;
  }
  // Whether a machine of the zone that answers nothing since `since` (when the first call that failed was
  // sent) is lost for itself: others of the zone were heard when that call had been out for a second.
  bool machine_lost_alone(std::size_t zone, Seconds since) const {
    return zone < zones_.size() && zones_[zone].last_contact_at >= since + kReplyWithin;
  }
  // A lost zone of which no machine is left: nothing there could say that it is back, so one machine at a
  // time may be rented to find out.
  bool choose_probe(std::size_t zone) const {
    return is_lost(zone) && zones_[zone].members <= 0;
  }
  int flap_count(std::size_t zone) const {
    return zone < zones_.size() ? zones_[zone].flaps : 0;
  }
  std::size_t size() const {
    return zones_.size();
  }

 private:
  struct Zone {
    Seconds last_contact_at = 0, returned_at = 0;
    Seconds lost_at = -1;    // negative: it is not lost
    Seconds stable_at = -1;  // returning until then
    int workers = 0, members = 0;
    int flaps = 0;  // times that it came back, with no rest between them
  };
  // Longer than `least`, and than `reports` reports of the zone take to come in.
  bool silent_for(std::size_t zone, Seconds now, Seconds least, double reports) const;
  Zone& zone_at(std::size_t zone);
  static constexpr Seconds kReplyWithin =
      1.05;  // a sound worker answers within a second, resent packets included

  Seconds heartbeat_interval_s_, worker_lease_s_;
  bool whole_;
  Seconds leadership_began_at_ = 0;
  std::vector<Zone> zones_;
};

// In which order the services of a lost zone go up: by what their users miss. 0: no replica is left, 1: less
// than half of them, 2: fewer than all, 3: none is missing.
int missed(std::uint32_t replicas, std::uint32_t left);

}  // namespace wingtrail::zones
