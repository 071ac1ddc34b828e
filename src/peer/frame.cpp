#include "peer/frame.hpp"

#include "peer/codec.hpp"

namespace wingtrail::peer {

std::string encode(const Frame& frame) {
  return pack(frame);
}

std::optional<Frame> decode(std::string_view bytes) {
  // Limits: a flat map of scalars; the largest text is a user's body.
  return unpack<Frame>(bytes, msgpack::unpack_limit(16, 64, 128UL * 1024, 128UL * 1024, 0, 3));
}

}  // namespace wingtrail::peer
