#include "peer/between.hpp"

#include "peer/codec.hpp"

namespace wingtrail::peer {

std::string encode(const Between& between) {
  return pack(between);
}

std::optional<Between> decode_between(std::string_view bytes) {
  // Lists of some hundred jobs, maps of some hundred names; nothing is nested deeper than zones by type.
  return unpack<Between>(bytes, msgpack::unpack_limit(4096, 4096, 64UL * 1024, 64UL * 1024, 0, 8));
}

}  // namespace wingtrail::peer
