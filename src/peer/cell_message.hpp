// What the controllers of one cell say to those of another, inside the frames that peers exchange. All of it
// is told: it says what is better and what to ask next, and nothing starts because of it. What justifies a
// start is in the state service of the cell that starts (docs/cells.md).
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wingtrail::peer {

// What a cell could do for another now. Cores are CPUs, times seconds.
struct CapacityDigest {
  double accepts_cores = 0;      // cores of other cells' work that it takes at present
  double wait_s = 0;             // until such work would begin there
  bool draining = false;         // it is being emptied
  std::uint64_t leadership = 0;  // its newest leadership; only grows
  std::map<std::string, double>
      team_cores;  // cores within the limit of each of its teams; a team left out: none
  std::map<std::string, std::vector<std::string>>
      zones_by_type;  // machine types, and the zones that have them
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("takes", accepts_cores), wait_s, MSGPACK_NVP("drains", draining),
                     MSGPACK_NVP("life", leadership), MSGPACK_NVP("teams", team_cores),
                     MSGPACK_NVP("types", zones_by_type))
};

// What is asked, or said, about one job.
enum class JobVerb : std::uint8_t {
  none,       // nothing is known now; ask again
  offer,      // asked: hold it, from its record
  state,      // asked: what has become of it
  recall,     // asked: give it back if nothing of it has started
  cancel,     // asked: end it
  held,       // said: it is live here
  done,       // said: all its tasks are done, and that is recorded
  withdrawn,  // said: it is recorded that it never runs here (again), and nothing of it is on a machine
  refused,    // said: not taken now
  never,      // said: it can't run here
  ending,     // said: it is being ended
  unknown,    // said: neither live nor over, as of a fresh read
};
struct JobMessage {
  std::string ref;
  std::uint8_t verb_code = 0;
  std::string record;                               // with an offer: the job's record, in CBOR
  std::uint32_t done_tasks = 0, running_tasks = 0;  // tasks, with `held`
  MSGPACK_DEFINE_MAP(ref, MSGPACK_NVP("word", verb_code), record, MSGPACK_NVP("done", done_tasks),
                     MSGPACK_NVP("running", running_tasks))
  JobVerb verb() const {
    return verb_code <= static_cast<std::uint8_t>(JobVerb::unknown) ? JobVerb{verb_code} : JobVerb::none;
  }
};

struct CellMessage {
  std::vector<JobMessage> jobs;
  std::vector<CapacityDigest> digest;  // none or one: of the sender
  MSGPACK_DEFINE_MAP(jobs, digest)
};

std::string encode(const CellMessage& between);
std::optional<CellMessage> decode_cell_message(std::string_view bytes);

}  // namespace wingtrail::peer
