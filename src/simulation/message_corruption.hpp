/// @file
/// Mutations of messages, as a faulty or malicious sender might produce them.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>

#include "peer/frame.hpp"
#include "wire/value.hpp"

namespace wingtrail::simulation {

/// Mutates messages at random. Some results are malformed, others are valid with unusual fields.
class MessageCorruption {
 public:
  explicit MessageCorruption(std::uint64_t seed) : rng_(seed) {}

  /// Returns whether the next message is to be mutated, with the given probability.
  bool chosen(double probability);
  /// Mutates a CBOR message: its bytes, or its fields.
  std::string corrupt_cbor(const std::string& bytes);
  /// Mutates a frame and returns its encoding.
  std::string corrupt_frame(peer::Frame frame);

 private:
  std::uint32_t below(std::size_t limit) {
    return rng_(static_cast<std::uint32_t>(limit));
  }
  void corrupt_bytes(std::string& bytes);
  // A beginning of the message, filled up to the limit of size with repetitions of some bytes.
  std::string repeated_unit(const std::string& bytes);
  // Replaces, removes or duplicates one part of the value.
  void corrupt_value(wire::Value& value);
  void corrupt_member(wire::Value& container, wire::Value& member);
  wire::Value unusual_value();
  // A text within many lists and maps.
  wire::Value wrapped_value();
  std::string unusual_text();
  double unusual_number();

  pcg32 rng_;
};

}  // namespace wingtrail::simulation
