/// @file
/// Message bodies that are nested as deeply as their size allows, for tests of whole controllers.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace wingtrail {

/// The unit, repeated up to the size. The last one may be cut off.
inline std::string repeated(const std::string& unit, std::size_t bytes) {
  std::string text;
  text.reserve(bytes + unit.size());
  while (text.size() < bytes)
    text += unit;
  text.resize(bytes);
  return text;
}

/// The beginnings of messages after which a value, a key or a part of a text can begin.
inline const std::vector<std::string>& message_beginnings() {
  static const std::vector<std::string> kBeginnings = {
      "",                        // the whole message
      "\x9f",                    // in a list
      "\xbf\x61x",               // the value of an unknown field
      "\xbf",                    // a key
      "\xbf\x64host",            // the value of a known field
      "\xbf\x66shards\x9f\xbf",  // a key of a task in a heartbeat
      "\x7f\x60",                // after an empty part of a text
      "\xbf\x7f\x60",            // after an empty part of a key
  };
  return kBeginnings;
}

/// Bodies of one size that open a list, a map, a tag or a part of a string with each of their units.
inline std::vector<std::string> nested_bodies(std::size_t bytes) {
  std::vector<std::string> bodies;
  for (const std::string& beginning : message_beginnings()) {
    for (const char* unit : {"\x5f", "\x7f", "\x7f\x60", "\x81", "\x9f", "\xa1\x61x", "\xbf\x61x", "\xc1"})
      bodies.push_back(beginning + repeated(unit, bytes - beginning.size()));
  }
  return bodies;
}

}  // namespace wingtrail
