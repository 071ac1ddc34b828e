// A libFuzzer target for the reader of which WINGTRAIL_READER is the name.
#include <algorithm>
#include <cstdint>
#include <cstdlib>

#include "fuzz/message_readers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const auto kReaders = wingtrail::fuzz::message_readers();
  static const auto kReader = std::find_if(
      kReaders.begin(), kReaders.end(), [](const auto& reader) { return reader.name == WINGTRAIL_READER; });
  if (kReader == kReaders.end())
    std::abort();
  kReader->read({reinterpret_cast<const char*>(data), size});
  return 0;
}
