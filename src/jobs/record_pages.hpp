/// @file
/// Pages of records: many records are stored in one value, since the state service limits the number of
/// writes. This module tracks which entry is in which page, which pages are due, and in which order they may
/// be written so that a crash loses no entry.
///
/// Pages written by another version or under other limits may be larger than the current limits allow, and an
/// entry may be in two of them. A page that is too large is split when it is due; an entry that moves is
/// written to its new page before the old page is written without it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "ports/outbox.hpp"

namespace wingtrail::jobs {

using ports::Seconds;

/// How soon a page has to be written. An opportunistic write only saves a later leader some work.
enum class PageUrgency : std::uint8_t { none, opportunistic, soon, now };

/// The assignment of entries to pages. It knows only the entries and their sizes; its users encode the
/// values.
template <typename Entry>
class RecordPages {
 public:
  struct Page {
    std::vector<Entry> entries;
    std::size_t bytes = 0;  ///< estimated total size of its entries
    PageUrgency urgency = PageUrgency::none;
    Seconds due_since = 0;
    /// Pages that must be written first: entries that this page's stored value still holds moved to them.
    std::set<std::size_t> blocked_by;
    std::set<std::size_t> blocks;  ///< pages that must be written after this one
    /// Revision of the last known change of the page's key; 0: the key does not exist. Each write requires
    /// it, so a write that is applied late cannot replace a newer value with an older one.
    std::uint64_t version = 0;
    /// True while the version is being read again because a write whose reply was lost was applied. The page
    /// is not written meanwhile.
    bool version_lookup_pending = false;
  };

  void clear() {
    pages_.clear();
    page_of_.clear();
    due_pages_.clear();
    sizes_.clear();
  }
  std::size_t size() const {
    return pages_.size();
  }
  Page& operator[](std::size_t number) {
    return pages_[number];
  }
  const Page& operator[](std::size_t number) const {
    return pages_[number];
  }
  const std::set<std::size_t>& due_pages() const {
    return due_pages_;
  }
  std::optional<std::size_t> page_of(const Entry& entry) const {
    auto it = page_of_.find(entry);
    return it == page_of_.end() ? std::nullopt : std::optional<std::size_t>(it->second);
  }

  /// Returns the entry's page. An entry without a page is put into the first one that has capacity for it
  /// within `limit` bytes, or into a new one.
  std::size_t assign(const Entry& entry, std::size_t bytes, std::size_t limit) {
    if (auto number = page_of(entry))
      return *number;
    std::size_t number = 0;
    while (number < pages_.size() && !(pages_[number].bytes + bytes <= limit))
      ++number;
    insert(entry, bytes, number);
    return number;
  }

  /// Registers that a stored page holds the entry. If an earlier page holds it too, the earlier page keeps
  /// it, and this page is written again after the earlier one, whose entry may by now cover more than either
  /// stored value did.
  void add_stored(const Entry& entry, std::size_t bytes, std::size_t number, Seconds now) {
    if (pages_.size() <= number)
      pages_.resize(number + 1);
    const auto first = page_of(entry);
    if (!first)
      return insert(entry, bytes, number);
    if (*first == number)
      return;
    block_until_written(number, *first);
    mark_due(*first, PageUrgency::soon, now);
    mark_due(number, PageUrgency::soon, now);
  }

  void remove(const Entry& entry) {
    const auto it = page_of_.find(entry);
    if (it == page_of_.end())
      return;
    Page& page = pages_[it->second];
    page_of_.erase(it);
    std::erase(page.entries, entry);
    page.bytes -= std::min(page.bytes, sizes_.extract(entry).mapped());
  }

  void mark_due(std::size_t number, PageUrgency urgency, Seconds now) {
    Page& page = pages_[number];
    if (urgency <= page.urgency)
      return;
    if (page.urgency == PageUrgency::none) {
      page.due_since = now;
      due_pages_.insert(number);
    }
    page.urgency = urgency;
  }
  void clear_due(std::size_t number) {
    pages_[number].urgency = PageUrgency::none;
    due_pages_.erase(number);
  }
  /// Must be called once the page's current entries are stored; unblocks the pages that wait for it.
  void on_written(std::size_t number) {
    for (const std::size_t other : std::exchange(pages_[number].blocks, {}))
      pages_[other].blocked_by.erase(number);
  }
  bool is_writable(std::size_t number) const {
    return pages_[number].blocked_by.empty() && !pages_[number].version_lookup_pending;
  }
  /// Sets the revision at which the page's key was read or written; 0: the key does not exist.
  void set_version(std::size_t number, std::uint64_t version) {
    if (pages_.size() <= number)
      pages_.resize(number + 1);
    pages_[number].version = version;
  }

  /// Moves entries to other pages until this page is within `limit` bytes; returns true if any was moved. One
  /// entry always stays.
  bool split(std::size_t number, std::size_t limit, Seconds now) {
    bool moved = false;
    while (pages_[number].bytes > limit && pages_[number].entries.size() > 1) {
      const Entry entry = pages_[number].entries.back();
      const std::size_t bytes = sizes_.at(entry);
      remove(entry);
      std::size_t target = 0;
      while (target < pages_.size() && (pages_[target].bytes + bytes > limit || waits_for(target, number)))
        ++target;
      insert(entry, bytes, target);
      mark_due(target, PageUrgency::soon, now);
      block_until_written(number, target);
      moved = true;
    }
    return moved;
  }

 private:
  void insert(const Entry& entry, std::size_t bytes, std::size_t number) {
    if (pages_.size() <= number)
      pages_.resize(number + 1);
    pages_[number].entries.push_back(entry);
    pages_[number].bytes += bytes;
    page_of_.emplace(entry, number);
    sizes_.emplace(entry, bytes);
  }
  // Whether the page is `other`, or must be written after it, directly or because of pages in between.
  bool waits_for(std::size_t number, std::size_t other) const {
    if (number == other)
      return true;
    if (number >= pages_.size() || pages_[number].blocked_by.empty() || pages_[other].blocks.empty())
      return false;
    std::set<std::size_t> visited{number};
    std::vector<std::size_t> to_visit{number};
    while (!to_visit.empty()) {
      const std::size_t page = to_visit.back();
      to_visit.pop_back();
      for (const std::size_t first : pages_[page].blocked_by) {
        if (first == other)
          return true;
        if (visited.insert(first).second)
          to_visit.push_back(first);
      }
    }
    return false;
  }
  // Makes page `blocked` wait for page `first`, unless that would close a cycle: none of the pages of a cycle
  // could ever be written.
  void block_until_written(std::size_t blocked, std::size_t first) {
    if (waits_for(first, blocked))
      return;
    pages_[blocked].blocked_by.insert(first);
    pages_[first].blocks.insert(blocked);
  }

  std::deque<Page> pages_;
  std::map<Entry, std::size_t> page_of_;
  std::map<Entry, std::size_t> sizes_;
  std::set<std::size_t> due_pages_;
};

}  // namespace wingtrail::jobs
