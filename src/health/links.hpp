// Tells a zone that cannot be reached from machines that are dead or hang.
//
// Workers report all the time, so of a zone with many machines something is heard many times a second. A zone
// of which nothing at all is heard for longer than that can explain is out of reach: cut off, or this node
// is. A machine that does not answer while its zone is heard is lost for itself. Both errors are weighed:
// taking a cut for losses returns machines whose work goes on unseen, and nothing brings that back; taking
// losses for a cut leaves replicas down until the zone is heard, which in a zone with any sound machine is a
// moment.
#pragma once

#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::health {

using ports::Seconds;

class Links {
 public:
  // `report_s`: how often each worker reports, give or take a quarter.
  explicit Links(Seconds report_s) : report_s_(report_s) {}

  void begin(Seconds now);
  // A worker of the zone was heard. True: the zone had been out of reach.
  bool heard(std::size_t zone, Seconds now);
  // So many more workers of the zone (fewer, if negative) should report from now on.
  void expected(std::size_t zone, int more);

  // Nothing is heard of the zone where something should be: nothing new is started there until it is.
  // Mistaken, it costs the moment until the next report.
  bool quiet(std::size_t zone, Seconds now) const { return silent_for(zone, now, 0.3, 12); }
  // The same for longer: it counts as out of reach, and what runs there as going on unseen.
  bool cut(std::size_t zone, Seconds now) const { return silent_for(zone, now, 2.0, 24); }
  // Since when the zone has been within reach; a call that was sent before says nothing of its machine.
  Seconds back_at(std::size_t zone) const { return zone < zones_.size() ? zones_[zone].back : began_; }
  // Whether a machine of the zone that answers nothing since `since` (when the first call that failed was
  // sent) is lost for itself: others of the zone were heard when that call had been out for a second.
  bool lost_alone(std::size_t zone, Seconds since) const {
    return zone < zones_.size() && zones_[zone].heard >= since + kAnswerWithin;
  }

 private:
  struct Zone {
    Seconds heard = 0, back = 0;
    int workers = 0;
  };
  // Longer than `least`, and than `reports` reports of the zone take to come in.
  bool silent_for(std::size_t zone, Seconds now, Seconds least, double reports) const;
  Zone& at(std::size_t zone);
  static constexpr Seconds kAnswerWithin =
      1.05;  // a sound worker answers within a second, resent packets included

  Seconds report_s_, began_ = 0;
  std::vector<Zone> zones_;
};

}  // namespace wingtrail::health
