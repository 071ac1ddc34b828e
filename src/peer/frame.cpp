#include "peer/frame.hpp"

#include <algorithm>
#include <initializer_list>
#include <string_view>

#include "peer/codec.hpp"
#include "wire/utf8.hpp"

namespace wingtrail::peer {
namespace {

bool has_valid_text(const Frame& frame) {
  const std::initializer_list<std::string_view> texts = {frame.node, frame.leader, frame.method, frame.path,
                                                         frame.cell};
  return std::all_of(texts.begin(), texts.end(), wire::is_utf8);
}

}  // namespace

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
  auto frame = unpack<Frame>(bytes, msgpack::unpack_limit(kMaxArrayItems, kMaxMapItems, kMaxTextBytes,
                                                          kMaxBinaryBytes, kMaxExtensionBytes, kMaxDepth));
  if (frame && !has_valid_text(*frame))
    return std::nullopt;
  return frame;
}

}  // namespace wingtrail::peer
