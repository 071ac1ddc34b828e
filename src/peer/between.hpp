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
struct Digest {
  double takes = 0;                     // cores of other cells' work that it takes at present
  double wait_s = 0;                    // until such work would begin there
  bool drains = false;                  // it is being emptied
  std::uint64_t life = 0;               // its newest leadership; only grows
  std::map<std::string, double> teams;  // cores within the limit of each of its teams; a team left out: none
  std::map<std::string, std::vector<std::string>> types;  // machine types, and the zones that have them
  MSGPACK_DEFINE_MAP(takes, wait_s, drains, life, teams, types)
};

// What is asked, or said, about one job.
enum class Word : std::uint8_t {
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
struct JobWord {
  std::string ref;
  std::uint8_t word = 0;
  std::string record;                   // with an offer: the job's record, in CBOR
  std::uint32_t done = 0, running = 0;  // tasks, with `held`
  MSGPACK_DEFINE_MAP(ref, word, record, done, running)
  Word said() const {
    return word <= static_cast<std::uint8_t>(Word::unknown) ? Word{word} : Word::none;
  }
};

struct Between {
  std::vector<JobWord> jobs;
  std::vector<Digest> digest;  // none or one: of the sender
  MSGPACK_DEFINE_MAP(jobs, digest)
};

std::string encode(const Between& between);
std::optional<Between> decode_between(std::string_view bytes);

}  // namespace wingtrail::peer
