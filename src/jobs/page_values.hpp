/// What the stores of record pages have in common: the names of pages' keys, and values that keep to limits.
#pragma once

#include <spdlog/spdlog.h>

#include <charconv>
#include <optional>
#include <string>

#include "jobs/record_pages.hpp"
#include "jobs/write_limits.hpp"
#include "wire/value.hpp"

namespace wingtrail::jobs {

/// Pages with higher numbers are not believed: a number is an index into a table.
inline constexpr std::size_t kMaxPages = 100'000;

inline std::string page_key(const char* prefix, std::size_t page) {
  return prefix + std::to_string(page);
}

/// The number in a page's key, which follows a prefix of two characters; nothing if it is not a page's key.
inline std::optional<std::size_t> page_number(const std::string& key) {
  std::size_t number = 0;
  const char* end = key.data() + key.size();
  const auto [parsed_to, error] = std::from_chars(key.data() + 2, end, number);
  if (key.size() < 3 || error != std::errc() || parsed_to != end || number >= kMaxPages)
    return std::nullopt;
  return number;
}

/// The value of a page that is about to be written, and whether the page had to be split for it.
struct PageValue {
  std::optional<wire::Value> value;  ///< nothing: the page has to wait, for other pages or for its next turn
  int splits = 0;
};

/// Encodes the page and splits it as long as it is larger than `page_bytes`, by the entries' estimated sizes,
/// or than `limits.value_bytes` when it is encoded.
template <typename Entry, typename Encode>
PageValue encode_within_limits(RecordPages<Entry>& pages, std::size_t page, std::size_t page_bytes,
                               const WriteLimits& limits, Seconds now, Encode encode) {
  PageValue result;
  if (pages[page].bytes > page_bytes && pages.split(page, page_bytes, now)) {
    ++result.splits;
    spdlog::info("record-pages: page split entries_left={}", pages[page].entries.size());
  }
  if (!pages.is_writable(page))
    return result;
  wire::Value value = encode(page);
  const std::size_t size = value.dump().size();
  const bool estimate_too_low = size > limits.value_bytes;
  if (estimate_too_low && pages.split(page, pages[page].bytes * limits.value_bytes / size * 3 / 4, now)) {
    ++result.splits;
    return result;
  }
  result.value = std::move(value);
  return result;
}

}  // namespace wingtrail::jobs
