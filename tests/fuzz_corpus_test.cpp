// Plays the fuzzer's corpus, and mutations of it, without the fuzzer.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fuzz/message_readers.hpp"
#include "small_stack.hpp"

namespace wingtrail::fuzz {
namespace {

std::vector<std::string> corpus_of(std::string_view reader) {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(WINGTRAIL_CORPUS "/" + std::string(reader)))
    paths.push_back(entry.path());
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> messages;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    messages.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  return messages;
}

// Replaces, repeats or removes some of the bytes.
std::string mutated(std::string message, std::size_t max_bytes, pcg32& random) {
  const auto below = [&random](std::size_t limit) {
    return static_cast<std::size_t>(random(static_cast<std::uint32_t>(limit)));
  };
  const std::size_t at = below(message.size() + 1);
  const std::string part = message.substr(at, below(8) + 1);
  switch (below(3)) {
    case 0:
      for (std::size_t changes = below(4) + 1; changes > 0 && !message.empty(); --changes)
        message[below(message.size())] = static_cast<char>(random());
      return message;
    case 1: {
      std::string middle;
      const std::size_t copies = part.empty() ? 0 : below((max_bytes - message.size()) / part.size() + 1);
      for (std::size_t i = 0; i < copies; ++i)
        middle += part;
      return message.insert(at, middle);
    }
    default:
      return message.erase(at, part.size());
  }
}

TEST(FuzzCorpus, NoMessageOfTheCorpusAndNoMutationOfOneEndsAReader) {
  constexpr int kMutations = 150;  // of each message
  constexpr std::size_t kMaxMutatedBytes = 64UL * 1024;
  for (const MessageReader& reader : message_readers()) {
    const std::vector<std::string> corpus = corpus_of(reader.name);
    ASSERT_FALSE(corpus.empty()) << reader.name;
    const auto play = [&] {
      pcg32 random(3);
      for (const std::string& message : corpus) {
        reader.read(message);
        for (int i = 0; i < kMutations; ++i)
          reader.read(mutated(message, std::min(reader.max_bytes, kMaxMutatedBytes), random));
      }
    };
    // Files are read at the start, on the main stack.
    const bool is_file = reader.name == "settings" || reader.name == "tunables";
    is_file ? play() : run_on_small_stack(play);
  }
}

}  // namespace
}  // namespace wingtrail::fuzz
