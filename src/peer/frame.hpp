// What controllers say to each other: one frame each way, in msgpack, as the body of POST /peer.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingtrail::peer {

// What the sender understands beyond the first version's frames, which lack the field: 1, job chains;
// 2, custody; 3, that nodes agree on custody while nobody leads; 4, sheets and shares of the budget;
// 5, jobs that another cell holds.
inline constexpr std::uint32_t kLevel = 5;
inline constexpr std::uint32_t kChains = 1, kCustody = 2, kConsent = 3, kSheets = 4, kCells = 5;

inline constexpr const char* kPath = "/peer";

struct Frame {
  std::string node;           // the sender
  std::uint64_t token = 0;    // the newest leadership the sender knows of
  std::string leader;         // and its holder; empty: none known
  bool store_ok = false;      // the state service has answered the sender lately
  std::uint32_t bounced = 0;  // worker reports that the sender turned away lately
  std::string method, path;   // a user's request handed on; empty: just a greeting
  std::string body;           // its CBOR body, or that of its answer
  std::int32_t status = 0;    // the answer's status; 0: no answer
  double retry_after_s = 0;
  std::uint32_t level = 0;
  double age_s = 0;      // since the sender's process began
  double held_s = -1;    // since it last answered a report in custody; negative: never
  double modern_s = -1;  // for how long it has known all its peers to be of level 2; negative: they are not
  bool answers = false;  // it answers workers' reports as the leader, with orders or, for a while, without
  bool grant = false;    // in an answer of the leader: its asker may answer reports, counted from its asking
  double span_s = 0;     // for how long the sender reckons with grants; 0: it has custody switched off
  double grant_s = 0;    // how long this grant, or consent, lasts
  std::int64_t consent =
      -1;  // in an answer: the sender may give no orders, and this is the newest leadership it
           // knows of, so its asker may answer reports if all others agree; negative: no
  std::uint64_t newest = 0;   // the newest leadership of which the sender knows at all
  std::uint64_t honest = 0;   // the newest leadership that workers have shown the sender to be an honest one
  bool admission = false;     // the sender admits on sheets if all others do, and keeps to shares
  double wants = 0;           // of the state service's changes, what it wants beside its floor, as a share
  double wants_requests = 0;  // the same of its requests
  double lends = -1;  // in an answer of the leader: what its asker may use beside its floor, counted from
                      // its asking; negative: nothing is said
  double lends_requests = 0;
  std::string tries;    // submissions that the sender has put off lately (admission/tries.hpp)
  std::string cell;     // between cells: the one that the sender belongs to; empty: between peers of one cell
  std::string between;  // and what it says (peer/between.hpp)
  bool relayed = false;  // handed on to the leader of the cell that it is said to
  // The sender leads, and has recorded every end that follows from a cancellation older than this; negative:
  // it does not say.
  double ends_behind_s = -1;
  MSGPACK_DEFINE_MAP(node, token, leader, store_ok, bounced, method, path, body, status, retry_after_s, level,
                     age_s, held_s, modern_s, answers, grant, span_s, grant_s, consent, newest, honest,
                     admission, wants, wants_requests, lends, lends_requests, tries, cell, between, relayed,
                     ends_behind_s)
};

std::string encode(const Frame& frame);
std::optional<Frame> decode(std::string_view bytes);

}  // namespace wingtrail::peer
