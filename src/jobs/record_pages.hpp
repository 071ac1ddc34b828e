// Records kept many to a value, since the state service counts writes: which entry is in which page, which
// pages are due, and in which order they may be written so that no crash loses an entry.
//
// Values that another version wrote, or that were written under other limits, may be larger than may be
// written now, and may hold an entry twice. A page that is too large is divided when it is due; what moves is
// written in its new place before it leaves the old one.
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

enum class PageUrgency : std::uint8_t { none, opportunistic, soon, now };

template <typename Entry>
class RecordPages {
 public:
  struct Page {
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    PageUrgency urgency = PageUrgency::none;
    Seconds due_since = 0;             // when it became due
    std::set<std::size_t> blocked_by;  // pages to be written first: they now hold what its value still does
    std::set<std::size_t> blocks;      // and the other way round
    // Revision of the last change of its key that is known of; 0: there is none. Each write demands it, so
    // one that the state service carries out late cannot put an older value in the place of a newer one.
    std::uint64_t version = 0;
    bool version_lookup_pending =
        false;  // its version is being asked for: a write without an answer was carried out
  };

  void clear() {
    pages_.clear(), page_of_.clear(), due_pages_.clear(), sizes_.clear();
  }
  std::size_t size() const {
    return pages_.size();
  }
  Page& operator[](std::size_t n) {
    return pages_[n];
  }
  const Page& operator[](std::size_t n) const {
    return pages_[n];
  }
  const std::set<std::size_t>& due_pages() const {
    return due_pages_;
  }
  std::optional<std::size_t> page_of(const Entry& e) const {
    auto it = page_of_.find(e);
    return it == page_of_.end() ? std::nullopt : std::optional<std::size_t>(it->second);
  }

  // The entry's page; the first one with room if it has none yet.
  std::size_t assign(const Entry& e, std::size_t bytes, std::size_t limit) {
    if (auto n = page_of(e))
      return *n;
    std::size_t n = 0;
    while (n < pages_.size() && !(pages_[n].bytes + bytes <= limit))
      ++n;
    insert(e, bytes, n);
    return n;
  }

  // A stored page holds the entry. If another one does too, that one keeps it, and this one is written anew
  // once the other, which may by now hold more than either did, has been.
  void add_stored(const Entry& e, std::size_t bytes, std::size_t n, Seconds now) {
    if (pages_.size() <= n)
      pages_.resize(n + 1);
    const auto first = page_of(e);
    if (!first)
      return insert(e, bytes, n);
    if (*first == n)
      return;
    block_until_written(n, *first);
    mark_due(*first, PageUrgency::soon, now);
    mark_due(n, PageUrgency::soon, now);
  }

  void remove(const Entry& e) {
    const auto it = page_of_.find(e);
    if (it == page_of_.end())
      return;
    Page& page = pages_[it->second];
    page_of_.erase(it);
    std::erase(page.entries, e);
    page.bytes -= std::min(page.bytes, sizes_.extract(e).mapped());
  }

  void mark_due(std::size_t n, PageUrgency due, Seconds now) {
    Page& page = pages_[n];
    if (due <= page.urgency)
      return;
    if (page.urgency == PageUrgency::none)
      page.due_since = now, due_pages_.insert(n);
    page.urgency = due;
  }
  void clear_due(std::size_t n) {
    pages_[n].urgency = PageUrgency::none, due_pages_.erase(n);
  }
  // The page's value has been replaced by what it holds now.
  void on_written(std::size_t n) {
    for (const std::size_t other : std::exchange(pages_[n].blocks, {}))
      pages_[other].blocked_by.erase(n);
  }
  bool is_writable(std::size_t n) const {
    return pages_[n].blocked_by.empty() && !pages_[n].version_lookup_pending;
  }
  // The page's key was read, or written, at that revision; 0: it does not exist.
  void set_version(std::size_t n, std::uint64_t version) {
    if (pages_.size() <= n)
      pages_.resize(n + 1);
    pages_[n].version = version;
  }

  // Moves entries to other pages until this one keeps to the limit; true if any had to. One entry always
  // stays.
  bool split(std::size_t n, std::size_t limit, Seconds now) {
    bool moved = false;
    while (pages_[n].bytes > limit && pages_[n].entries.size() > 1) {
      const Entry e = pages_[n].entries.back();
      const std::size_t bytes = sizes_.at(e);
      remove(e);
      std::size_t to = 0;
      while (to < pages_.size() && (pages_[to].bytes + bytes > limit || waits_for(to, n)))
        ++to;
      insert(e, bytes, to);
      mark_due(to, PageUrgency::soon, now);
      block_until_written(n, to);
      moved = true;
    }
    return moved;
  }

 private:
  void insert(const Entry& e, std::size_t bytes, std::size_t n) {
    if (pages_.size() <= n)
      pages_.resize(n + 1);
    pages_[n].entries.push_back(e);
    pages_[n].bytes += bytes;
    page_of_.emplace(e, n);
    sizes_.emplace(e, bytes);
  }
  bool waits_for(std::size_t n, std::size_t other) const {
    if (n == other)
      return true;
    return n < pages_.size() && std::any_of(pages_[n].blocked_by.begin(), pages_[n].blocked_by.end(),
                                            [&](std::size_t first) { return waits_for(first, other); });
  }
  // Never in a circle, or none of its pages could ever be written.
  void block_until_written(std::size_t n, std::size_t first) {
    if (waits_for(first, n))
      return;
    pages_[n].blocked_by.insert(first);
    pages_[first].blocks.insert(n);
  }

  std::deque<Page> pages_;
  std::map<Entry, std::size_t> page_of_;
  std::map<Entry, std::size_t> sizes_;
  std::set<std::size_t> due_pages_;
};

}  // namespace wingtrail::jobs
