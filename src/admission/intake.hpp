// Creations of jobs at this node. One that comes alone gets a key of its own, at once. What comes while
// others are under way, or while the budget has no room, gathers and goes together: one sheet, one change.
// Nothing waits for company. In which order it goes is said by Turns; what cannot go within a second is
// refused at once, with the time of its turn.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/tries.hpp"
#include "admission/turns.hpp"
#include "jobs/sheets.hpp"
#include "store/client.hpp"

namespace wingtrail::admission {

class Intake {
 public:
  enum class Outcome : std::uint8_t {
    created,
    exists,    // live, or over: a fresh read will tell
    later,     // the budget has no room; come back when its turn is
    unserved,  // the state service does not serve this node, or it is unknown whether it did
  };
  struct Result {
    Outcome outcome = Outcome::unserved;
    std::uint64_t revision = 0;
    std::string sheet = {};  // that it is on; empty: it has a key of its own
    Seconds turn_s = 1;      // with `later`: until its turn
  };
  using Then = std::function<void(const Result&)>;

  // `life`: what no other process of this node has written under.
  Intake(ports::Outbox& out, store::Client& store, const settings::Settings& settings, std::string life);

  // Whether every node understands sheets, and says so.
  std::function<bool()> sheets_allowed;
  // Whether a peer keeps to no shares. Then each node has the part that it always had, may overdraw it for
  // some seconds as ever, and lets creations out as they come (cub-meterlink-next during its upgrade:
  // submissions in time 0.975 instead of 0.998 otherwise).
  std::function<bool()> fixed_parts;

  void offer(const wire::JobSpec& spec, const wire::Value& record, Then then);
  // Whether it waits here for its turn, so that it is not late because the state service is.
  bool waits(const std::string& ref) const;

  struct Counts {
    std::uint64_t sheets = 0, on_sheets = 0, put_off = 0, conflicts = 0;
  };
  const Counts& counts() const {
    return counts_;
  }
  // When those put off were first tried, as all nodes know it.
  Tries& tries() {
    return tries_;
  }
  const Tries& tries() const {
    return tries_;
  }
  std::size_t waiting() const {
    return turns_.size();
  }
  // Changes that what waits now needs.
  double backlog() const {
    return static_cast<double>(turns_.size()) / static_cast<double>(most_);
  }
  // Put off so far, by team and class.
  const std::map<std::pair<std::string, std::string>, std::uint64_t>& put_off() const {
    return put_off_;
  }

 private:
  struct Wish {
    std::string ref, team, job_class;
    wire::Value record;
    std::size_t bytes = 0;
    Ix team_ix = 0, class_ix = 0;
    Seconds came = 0, since = 0;  // to this node now; first tried, wherever that was
    bool sent = false;
    bool direct = false;  // as ever: sent at once, whatever else is under way
    std::vector<Then> thens;
  };
  using Batch = std::vector<Turns::Id>;
  Seconds turn(Ix team, Ix job_class, Seconds since) const;
  void pump();
  void arm(Seconds delay);
  bool send();
  void single(Turns::Id id);
  void sheet(Batch batch, const std::string& key);
  void answered(const Batch& batch, const std::string& key, const store::Reply& r);
  void again(Turns::Id id);
  void settle(Turns::Id id, const Result& result);
  void put_off(Turns::Id id);

  ports::Outbox& out_;
  store::Client& store_;
  const settings::Settings& settings_;
  const std::string life_;
  const bool on_;
  Turns turns_;
  Tries tries_;
  jobs::Names teams_, classes_;
  std::unordered_map<Turns::Id, Wish> wishes_;
  std::unordered_map<std::string, Turns::Id> by_ref_;
  Turns::Id last_id_ = 0;
  std::size_t most_;  // on a sheet; less once the state service has refused one
  std::uint64_t last_sheet_ = 0;
  int in_flight_ = 0;
  Seconds dropped_at_ = 0;
  Seconds sent_at_ = -1e9, armed_at_ = ports::kNever, refused_until_ = -1e9;
  Counts counts_;
  std::map<std::pair<std::string, std::string>, std::uint64_t> put_off_;
};

}  // namespace wingtrail::admission
