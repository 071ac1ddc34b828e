// Every reader of messages from outside, with messages of the largest size that are nested in every way.
#include <gtest/gtest.h>

#include <initializer_list>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "nested_bodies.hpp"
#include "peer/cell_message.hpp"
#include "peer/frame.hpp"
#include "settings/settings.hpp"
#include "small_stack.hpp"
#include "wire/job_messages.hpp"
#include "wire/value.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::wire {
namespace {

using namespace std::string_literals;

constexpr std::size_t kMaxReplyBytes = 8UL << 20;  // of the state service, the cloud and workers

// Reads the message as each kind that is read as CBOR.
void read_as_cbor(const std::string& message) {
  const auto strict = decode_cbor(message);
  (void)decode_cbor(message, InvalidText::replace);
  const auto heartbeat = parse_heartbeat(message);
  const auto is_well_formed = [](RefusalReason reason) {
    return reason == RefusalReason::content;
  };
  if (strict) {
    EXPECT_TRUE(heartbeat || is_well_formed(heartbeat.error().reason)) << "the readers must agree";
  } else if (!is_well_formed(strict.error().reason)) {
    EXPECT_FALSE(heartbeat) << "the readers must agree";
  }
}

// Bytes that begin a value, with each form of its length, and others.
std::vector<std::string> initial_bytes() {
  std::vector<std::string> bytes;
  for (int major = 0; major < 8; ++major) {
    for (const int additional : {0, 1, 20, 23, 24, 25, 26, 27, 28, 31})
      bytes.emplace_back(1, static_cast<char>(major << 5 | additional));
  }
  return bytes;
}

TEST(MessageNesting, PartsOfTextsThatOpenFurtherPartsDoNotOverflowTheStack) {
  run_on_small_stack([] {
    for (const std::string& beginning : message_beginnings()) {
      for (const std::string& unit : {"\x5f"s, "\x7f"s, "\x7f\x60"s, "\x7f\x61x"s, "\x5f\x40"s}) {
        const std::string message = beginning + repeated(unit, kMaxBody - beginning.size());
        EXPECT_FALSE(decode_cbor(message));
        EXPECT_FALSE(parse_heartbeat(message));
        EXPECT_FALSE(decode_cbor(beginning + repeated(unit, kMaxReplyBytes), InvalidText::replace));
      }
    }
  });
}

TEST(MessageNesting, NoRepeatedByteOverflowsTheStackOfAReaderOfCbor) {
  run_on_small_stack([] {
    for (int byte = 0; byte < 256; ++byte) {
      for (const std::string& beginning : message_beginnings())
        read_as_cbor(beginning +
                     repeated(std::string(1, static_cast<char>(byte)), kMaxBody - beginning.size()));
    }
  });
}

TEST(MessageNesting, NoRepeatedUnitOverflowsTheStackOfAReaderOfCbor) {
  constexpr int kUnits = 3000;
  constexpr std::size_t kLongestBeginning = 10;
  run_on_small_stack([] {
    pcg32 random(7);
    const std::vector<std::string> bytes = initial_bytes();
    const auto any = [&random](const std::vector<std::string>& texts) -> const std::string& {
      return texts[random(static_cast<std::uint32_t>(texts.size()))];
    };
    for (int i = 0; i < kUnits; ++i) {
      const std::string unit = any(bytes) + any(bytes) + (i % 2 == 0 ? any(bytes) : "");
      read_as_cbor(any(message_beginnings()) + repeated(unit, kMaxBody - kLongestBeginning));
    }
  });
}

TEST(MessageNesting, NoRepeatedUnitOverflowsTheStackOfAReaderOfFrames) {
  constexpr std::size_t kMaxFrameBytes = 2 * kMaxBody;
  constexpr int kUnits = 3000;
  const auto read = [](const std::string& message) {
    (void)peer::decode(message);
    (void)peer::decode_cell_message(message);
  };
  run_on_small_stack([&read] {
    for (int byte = 0; byte < 256; ++byte)
      read(repeated(std::string(1, static_cast<char>(byte)), kMaxFrameBytes));
    pcg32 random(8);
    for (int i = 0; i < kUnits; ++i) {
      std::string unit;
      for (std::uint32_t size = random(2) + 2; size > 0; --size)
        unit += static_cast<char>(0x80 + random(128));
      read(repeated(unit, kMaxFrameBytes));
    }
  });
}

TEST(MessageNesting, NoRepeatedUnitInTheSettingsEndsTheProcess) {
  constexpr std::size_t kFileBytes = 20'000;
  for (const char* unit : {"[", "{", "- ", "? ", "a: ", "{a: ", "[[", "!a ", "&a ", "* ", "\"", "a:\n "})
    EXPECT_FALSE(settings::parse("", repeated(unit, kFileBytes)).problems.empty()) << unit;
  for (const char* unit : {"[", "{a=", "a.", "[a.", "a=[", "\""})
    EXPECT_FALSE(settings::parse("a = " + repeated(unit, kFileBytes), "").problems.empty()) << unit;
}

TEST(MessageNesting, ATextInPartsIsReadAsOneText) {
  const std::string in_parts =
      "\x7f\x62re\x60\x61"
      "f\xff";
  const auto value = decode_cbor("\xa1" + in_parts + in_parts);
  ASSERT_TRUE(value) << value.error().text();
  EXPECT_EQ(*value, Value({{"ref", "ref"}}));
  const Value fields{{"addr", "10.0.0.1:9"}, {"flavour", "g8"}, {"hall", "a"}, {"tenure", 2}, {"counter", 5}};
  std::string message = encode_cbor(fields);
  ++message[0];
  message += "\x7f\x62ho\x62st\xff\x7f\x61i\x62-1\xff";
  const auto heartbeat = parse_heartbeat(message);
  ASSERT_TRUE(heartbeat) << heartbeat.error().text();
  EXPECT_EQ(heartbeat->host, "i-1");
}

TEST(MessageNesting, TheReasonOfARefusalIsTold) {
  const auto reason = [](const std::string& message) {
    return decode_cbor(message).error().reason;
  };
  EXPECT_EQ(reason("\x7f\x7f\x60\xff\xff"), RefusalReason::nesting);
  EXPECT_EQ(reason(repeated("\x81", kMaxDepth + 1) + "\x01"), RefusalReason::nesting);
  EXPECT_TRUE(decode_cbor(repeated("\x81", kMaxDepth) + "\x01"));
  EXPECT_EQ(reason("\x5f\xff"), RefusalReason::content);
  EXPECT_EQ(reason("\x61"), RefusalReason::malformed);
  const std::string deep_field = "\xbf\x61x" + repeated("\x81", kMaxDepth) + "\x01\xff";
  EXPECT_EQ(parse_heartbeat(deep_field).error().reason, RefusalReason::nesting);
}

}  // namespace
}  // namespace wingtrail::wire
