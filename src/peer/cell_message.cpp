#include "peer/cell_message.hpp"

#include "peer/codec.hpp"

namespace wingtrail::peer {

std::string encode(const CellMessage& message) {
  return pack(message);
}

std::optional<CellMessage> decode_cell_message(std::string_view bytes) {
  // A message has some hundred jobs and maps of some hundred names; the deepest nesting is zones_by_type.
  return unpack<CellMessage>(bytes, msgpack::unpack_limit(4096, 4096, 64UL * 1024, 64UL * 1024, 0, 8));
}

}  // namespace wingtrail::peer
