#include "peer/cell_message.hpp"

#include <algorithm>
#include <cmath>

#include "peer/codec.hpp"

namespace wingtrail::peer {
namespace {

bool has_valid_numbers(const CapacityDigest& digest) {
  return !std::isnan(digest.accepts_cores) && !std::isnan(digest.wait_s) &&
         std::none_of(digest.team_cores.begin(), digest.team_cores.end(),
                      [](const auto& team) { return std::isnan(team.second); });
}

}  // namespace

std::string encode(const CellMessage& message) {
  return pack(message);
}

std::optional<CellMessage> decode_cell_message(std::string_view bytes) {
  // A message has some hundred jobs and maps of some hundred names; the deepest nesting is zones_by_type.
  auto message =
      unpack<CellMessage>(bytes, msgpack::unpack_limit(4096, 4096, 64UL * 1024, 64UL * 1024, 0, 8));
  if (message && !std::all_of(message->digest.begin(), message->digest.end(), has_valid_numbers))
    return std::nullopt;
  return message;
}

}  // namespace wingtrail::peer
