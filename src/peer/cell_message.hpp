/// @file
/// Messages between the controllers of neighbouring cells, carried in the frames that peers exchange. They
/// only guide which job to offload and what to request next. A task starts only on what the state service of
/// its own cell has recorded (docs/cells.md).
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wingtrail::peer {

/// The capacity that a cell offers to a neighbour at present. Cores are CPUs; times are seconds.
struct CapacityDigest {
  double accepts_cores = 0;      ///< cores of foreign jobs that it accepts from the receiver now
  double wait_s = 0;             ///< the expected wait of a foreign job before it starts
  bool draining = false;         ///< it hands over its jobs and accepts none
  std::uint64_t leadership = 0;  ///< fencing token of the sender; only grows
  /// Cores left within the quota of each of its teams. A team that is not listed does not exist there.
  std::map<std::string, double> team_cores;
  /// For each machine type, the zones that have it.
  std::map<std::string, std::vector<std::string>> zones_by_type;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("takes", accepts_cores), wait_s, MSGPACK_NVP("drains", draining),
                     MSGPACK_NVP("life", leadership), MSGPACK_NVP("teams", team_cores),
                     MSGPACK_NVP("types", zones_by_type))
};

/// The kind of a request or a reply about one job.
enum class JobVerb : std::uint8_t {
  none,       ///< reply: not known yet; the request is to be repeated
  offer,      ///< request: accept the job whose record is enclosed
  state,      ///< request: report the job's state
  recall,     ///< request: give the job back unless a task of it has started
  cancel,     ///< request: cancel the job
  held,       ///< reply: the job is live here
  done,       ///< reply: all its tasks are done, and the final state is recorded
  cancelled,  ///< reply: a final state records that it never runs here (again); no machine has its tasks
  refused,    ///< reply: not accepted now
  never,      ///< reply: it can never run here
  ending,     ///< reply: its cancellation is in progress
  unknown,    ///< reply: a read just now found neither a live record nor a final state
};

/// A request or a reply about the job `ref`.
struct JobMessage {
  std::string ref;
  std::uint8_t verb_code = 0;
  std::string record;                               ///< with `offer`: the job's record in CBOR
  std::uint32_t done_tasks = 0, running_tasks = 0;  ///< with `held`
  MSGPACK_DEFINE_MAP(ref, MSGPACK_NVP("word", verb_code), record, MSGPACK_NVP("done", done_tasks),
                     MSGPACK_NVP("running", running_tasks))
  /// JobVerb::none for a code that this version does not know.
  JobVerb verb() const {
    return verb_code <= static_cast<std::uint8_t>(JobVerb::unknown) ? JobVerb{verb_code} : JobVerb::none;
  }
};

/// A request from a cell to a neighbour, or the reply, about any number of jobs.
struct CellMessage {
  std::vector<JobMessage> jobs;
  std::vector<CapacityDigest> digest;  ///< of the sender; at most one
  MSGPACK_DEFINE_MAP(jobs, digest)
};

std::string encode(const CellMessage& message);
/// Returns nothing if the bytes are malformed, exceed the limits on sizes and nesting, or contain NaN.
std::optional<CellMessage> decode_cell_message(std::string_view bytes);

}  // namespace wingtrail::peer
