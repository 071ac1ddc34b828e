/// @file
/// Code shared by completion pages and inventory pages: keys of pages, and encoding within the size limits.
#pragma once

#include <spdlog/spdlog.h>

#include <charconv>
#include <optional>
#include <string>

#include "jobs/record_pages.hpp"
#include "jobs/write_limits.hpp"
#include "wire/value.hpp"

namespace wingtrail::jobs {

/// Page numbers from this one on are treated as malformed, since a page number is an index into a table.
inline constexpr std::size_t kMaxPages = 100'000;

inline std::string page_key(const char* prefix, std::size_t page) {
  return prefix + std::to_string(page);
}

/// Returns the page number that follows the two-character prefix of a page's key; nothing if it is malformed.
inline std::optional<std::size_t> page_number(const std::string& key) {
  std::size_t number = 0;
  const char* end = key.data() + key.size();
  const auto [parsed_to, error] = std::from_chars(key.data() + 2, end, number);
  if (key.size() < 3 || error != std::errc() || parsed_to != end || number >= kMaxPages)
    return std::nullopt;
  return number;
}

/// The encoded value of a page, and how often the page was split to keep it within the limits.
struct PageValue {
  std::optional<wire::Value> value;  ///< nothing: the page must wait for other pages or for its next write
  int splits = 0;
};

/// Encodes the page. Splits it first if the estimated size of its entries exceeds `page_bytes`. Splits it
/// again if the encoded value exceeds `limits.value_bytes`, and then returns no value; a page with a single
/// entry cannot be split, and its value is returned although it is too large.
template <typename Entry, typename Encode>
PageValue encode_within_limits(RecordPages<Entry>& pages, std::size_t page, std::size_t page_bytes,
                               const WriteLimits& limits, Seconds now, Encode encode) {
  PageValue result;
  if (pages[page].bytes > page_bytes && pages.split(page, page_bytes, now)) {
    ++result.splits;
    spdlog::info("record-pages: page split page={} entries_left={}", page, pages[page].entries.size());
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
