#include "peer/cell_message.hpp"

#include "peer/codec.hpp"

namespace wingtrail::peer {

std::string encode(const CellMessage& between) {
  return pack(between);
}

std::optional<CellMessage> decode_cell_message(std::string_view bytes) {
  // Lists of some hundred jobs, maps of some hundred names; nothing is nested deeper than zones by type.
  return unpack<CellMessage>(bytes, msgpack::unpack_limit(4096, 4096, 64UL * 1024, 64UL * 1024, 0, 8));
}

}  // namespace wingtrail::peer
