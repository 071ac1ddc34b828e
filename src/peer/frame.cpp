#include "peer/frame.hpp"

#include "peer/codec.hpp"

namespace wingtrail::peer {

std::string encode(const Frame& frame) {
  return pack(frame);
}

std::optional<Frame> decode(std::string_view bytes) {
  // A frame is a flat map of scalars. Its longest text is the body of a forwarded request.
  constexpr std::size_t kMaxArrayItems = 16;
  constexpr std::size_t kMaxMapItems = 64;
  constexpr std::size_t kMaxTextBytes = 128UL * 1024;
  constexpr std::size_t kMaxBinaryBytes = 128UL * 1024;
  constexpr std::size_t kMaxExtensionBytes = 0;
  constexpr std::size_t kMaxDepth = 3;
  return unpack<Frame>(bytes, msgpack::unpack_limit(kMaxArrayItems, kMaxMapItems, kMaxTextBytes,
                                                    kMaxBinaryBytes, kMaxExtensionBytes, kMaxDepth));
}

}  // namespace wingtrail::peer
