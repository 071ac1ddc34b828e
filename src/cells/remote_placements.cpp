#include "cells/remote_placements.hpp"

#include <algorithm>
#include <charconv>

namespace wingtrail::cells {
namespace {
// A user expects to see a job's end within 3 s (PROTOCOL). The heartbeat, the request to the holding cell and
// the write in this cell take more than one second of that.
constexpr Seconds kRequestInterval = 1.0;
constexpr Seconds kCancelRequestInterval = 0.4;  // shorter, since the user is waiting
constexpr std::size_t kPageOverheadBytes = 60;   // of a page, besides the names of its jobs
constexpr std::size_t kRefOverheadBytes = 3;     // of each name
}  // namespace

wire::Value RemotePlacements::Page::value() const {
  return {{"cell", cell}, {"refs", refs}};
}

std::string RemotePlacements::key(const PageState& page) const {
  return kRemotePlacementPrefix + cells_[page.cell] + "/" + std::to_string(page.number);
}

void RemotePlacements::clear() {
  placements_.clear();
  for (auto& due : requests_due_)
    due.clear();
  pages_.clear();
  pages_due_.clear();
  pending_writes_.clear();
  open_page_by_cell_.clear();
  last_page_ = 0;
}

void RemotePlacements::mark_due(std::size_t page) {
  pages_due_.insert(page);
}

void RemotePlacements::unschedule_request(const std::string& ref, const RemotePlacement& placement) {
  requests_due_[placement.cell].erase({placement.next_request_at, ref});
}

void RemotePlacements::schedule_request(const std::string& ref, RemotePlacement& placement, Seconds at) {
  unschedule_request(ref, placement);
  placement.next_request_at = at;
  requests_due_[placement.cell].emplace(at, ref);
}

bool RemotePlacements::load(const std::string& key, const wire::Value& value, std::uint64_t version,
                            const std::function<bool(const std::string&)>& live, Seconds now) {
  const auto name = wire::text(value, "cell");
  const wire::Value* refs = wire::find(value, "refs");
  const auto slash = key.rfind('/');
  if (!name || !refs || !refs->is_array() || slash == std::string::npos)
    return false;
  const char* end = key.data() + key.size();
  std::size_t number = 0;
  const auto [parsed_end, ec] = std::from_chars(key.data() + slash + 1, end, number);
  if (ec != std::errc() || parsed_end != end)
    return false;
  // A neighbour that the settings no longer name still holds its jobs.
  auto known = std::find(cells_.begin(), cells_.end(), *name);
  if (known == cells_.end()) {
    cells_.push_back(*name);
    requests_due_.emplace_back();
    known = cells_.end() - 1;
  }
  const std::size_t id = ++last_page_;
  PageState& page_state = pages_[id];
  page_state.cell = static_cast<std::size_t>(known - cells_.begin());
  page_state.number = number;
  page_state.version = version;
  bool well_formed = true;
  for (const wire::Value& item : *refs) {
    if (!item.is_string()) {
      well_formed = false;
      continue;
    }
    const auto ref = item.get<std::string>();
    if (!live(ref))
      continue;
    page_state.refs.insert(ref);
    page_state.bytes += ref.size() + kRefOverheadBytes;
    // Of two pages that name the job, the later one counts.
    if (const auto earlier = placements_.find(ref); earlier != placements_.end())
      unschedule_request(ref, earlier->second);
    RemotePlacement& placement = placements_[ref];
    placement = {};
    placement.cell = page_state.cell;
    placement.page = id;
    placement.state = State::offered;
    schedule_request(ref, placement, now);
  }
  delete_if_empty(id);
  return well_formed;
}

// Deletes a page that names no job: first in the state service, if it may exist there.
void RemotePlacements::delete_if_empty(std::size_t page) {
  const auto it = pages_.find(page);
  if (it == pages_.end() || !it->second.refs.empty())
    return;
  if (it->second.version > 0 || it->second.unsure)
    return mark_due(page);
  if (it->second.returning.empty()) {
    pages_due_.erase(page);
    std::erase_if(open_page_by_cell_, [page](const auto& o) { return o.second == page; });
    pages_.erase(it);
  }
}

void RemotePlacements::offload(const std::string& ref, std::size_t cell) {
  const std::size_t size = ref.size() + kRefOverheadBytes;
  const auto open = open_page_by_cell_.find(cell);
  std::size_t page = 0;
  if (open != open_page_by_cell_.end() && pages_.contains(open->second) &&
      pages_.at(open->second).bytes + size + kPageOverheadBytes <= page_bytes_) {
    page = open->second;
  } else {
    // The number of a page that still exists is not reused: a pending deletion of the old page would delete
    // the new one.
    std::size_t number = 1;
    for (const auto& [id, existing] : pages_)
      number = std::max(number, existing.number + 1);
    page = ++last_page_;
    pages_[page].cell = cell;
    pages_[page].number = number;
    open_page_by_cell_[cell] = page;
  }
  PageState& page_state = pages_.at(page);
  page_state.refs.insert(ref);
  page_state.bytes += size;
  RemotePlacement& placement = placements_[ref];
  placement = {};
  placement.cell = cell;
  placement.page = page;
  mark_due(page);
}

void RemotePlacements::recall(const std::string& ref, bool cancel, Seconds now) {
  const auto it = placements_.find(ref);
  if (it == placements_.end())
    return;
  RemotePlacement& placement = it->second;
  const bool newly_cancelled = cancel && !placement.cancel;
  placement.cancel |= cancel;
  switch (placement.state) {
    case State::offered:
    case State::remote:
      placement.state = State::recalling;
      return schedule_request(ref, placement, now);
    case State::recalling:
      if (newly_cancelled)
        schedule_request(ref, placement, now);
      return;
    // on_written() returns a job in state `recording` if it is cancelled. In the states `returning` and
    // `ended` no task of the job runs there any more.
    default:
      return;
  }
}

void RemotePlacements::on_job_over(const std::string& ref) {
  const auto it = placements_.find(ref);
  if (it == placements_.end())
    return;
  const std::size_t page = it->second.page;
  unschedule_request(ref, it->second);
  placements_.erase(it);
  const auto page_state = pages_.find(page);
  if (page_state == pages_.end())
    return;
  if (page_state->second.refs.erase(ref) > 0)
    page_state->second.bytes -= ref.size() + kRefOverheadBytes;
  std::erase(page_state->second.returning, ref);
  delete_if_empty(page);
}

// The holding cell has recorded that the job never runs there again. The job belongs to this cell again once
// the page without it is written.
void RemotePlacements::begin_return(const std::string& ref, RemotePlacement& placement) {
  unschedule_request(ref, placement);
  placement.state = State::returning;
  PageState& page_state = pages_.at(placement.page);
  if (page_state.refs.erase(ref) > 0)
    page_state.bytes -= ref.size() + kRefOverheadBytes;
  page_state.returning.push_back(ref);
  mark_due(placement.page);
}

void RemotePlacements::abandon_cell(std::size_t cell) {
  for (auto& [ref, placement] : placements_) {
    if (placement.cell == cell && placement.state != State::recording &&
        placement.state != State::returning && placement.state != State::ended)
      begin_return(ref, placement);
  }
}

std::vector<RemotePlacements::Page> RemotePlacements::next_write(std::size_t max_pages) {
  std::vector<Page> pages;
  if (writing())
    return pages;
  for (auto it = pages_due_.begin(); it != pages_due_.end() && pages.size() < max_pages;) {
    PageState& page_state = pages_.at(*it);
    if (page_state.unsure) {
      ++it;
      continue;
    }
    Page page{key(page_state),
              cells_[page_state.cell],
              {page_state.refs.begin(), page_state.refs.end()},
              page_state.version};
    pending_writes_.push_back({*it, page.refs, std::exchange(page_state.returning, {})});
    it = pages_due_.erase(it);
    pages.push_back(std::move(page));
  }
  return pages;
}

std::vector<std::string> RemotePlacements::on_written(std::uint64_t revision) {
  std::vector<std::string> returned, cancelled;
  for (PendingWrite& write : std::exchange(pending_writes_, {})) {
    const auto page_state = pages_.find(write.page);
    if (page_state != pages_.end())
      page_state->second.version = write.named.empty() ? 0 : revision;
    for (const std::string& ref : write.named) {
      const auto it = placements_.find(ref);
      if (it == placements_.end() || it->second.state != State::recording)
        continue;
      // Cancelled while the page was being written: the job was never offered, so no other cell has to
      // confirm its return.
      if (it->second.cancel) {
        cancelled.push_back(ref);
        continue;
      }
      it->second.state = State::offered;
      schedule_request(ref, it->second, 0);
    }
    for (std::string& ref : write.returning) {
      if (placements_.erase(ref) > 0)
        returned.push_back(std::move(ref));
    }
    delete_if_empty(write.page);
  }
  for (const std::string& ref : cancelled)
    begin_return(ref, placements_.at(ref));
  return returned;
}

void RemotePlacements::on_write_failed(bool unsure) {
  for (PendingWrite& write : std::exchange(pending_writes_, {})) {
    const auto page_state = pages_.find(write.page);
    if (page_state == pages_.end())
      continue;
    page_state->second.unsure |= unsure;
    auto& returning = page_state->second.returning;
    for (std::string& ref : write.returning) {
      if (placements_.contains(ref))
        returning.push_back(std::move(ref));
    }
    mark_due(write.page);
  }
}

std::vector<std::string> RemotePlacements::on_write_refused() {
  std::vector<std::string> returned;
  for (const PendingWrite& write : pending_writes_) {
    for (const std::string& ref : write.named) {
      const auto it = placements_.find(ref);
      if (it == placements_.end() || it->second.state != State::recording)
        continue;
      PageState& page_state = pages_.at(write.page);
      if (page_state.refs.erase(ref) > 0)
        page_state.bytes -= ref.size() + kRefOverheadBytes;
      placements_.erase(it);
      returned.push_back(ref);
    }
  }
  on_write_failed(false);
  // No further job joins these pages, and new pages are half as large at most.
  page_bytes_ = std::max<std::size_t>(kPageOverheadBytes + 30, page_bytes_ / 2);
  for (const auto& [cell, page] : std::exchange(open_page_by_cell_, {}))
    delete_if_empty(page);
  return returned;
}

std::vector<std::string> RemotePlacements::pages_to_read() const {
  std::vector<std::string> keys;
  for (const std::size_t id : pages_due_) {
    if (pages_.at(id).unsure)
      keys.push_back(key(pages_.at(id)));
  }
  return keys;
}

void RemotePlacements::on_page_read(const std::string& page_key, std::uint64_t version) {
  for (auto& [id, page_state] : pages_) {
    if (!page_state.unsure || key(page_state) != page_key)
      continue;
    page_state.unsure = false;
    page_state.version = version;
    return delete_if_empty(id);
  }
}

std::vector<peer::JobMessage> RemotePlacements::next_requests(std::size_t cell, std::size_t max_requests,
                                                              Seconds now) {
  std::vector<peer::JobMessage> requests;
  auto& due = requests_due_[cell];
  while (!due.empty() && due.begin()->first <= now && requests.size() < max_requests) {
    const std::string ref = due.begin()->second;
    RemotePlacement& placement = placements_.at(ref);
    const JobVerb verb = placement.state == State::offered ? JobVerb::offer
                         : placement.state == State::recalling
                             ? (placement.cancel ? JobVerb::cancel : JobVerb::recall)
                             : JobVerb::state;
    schedule_request(ref, placement, now + (placement.cancel ? kCancelRequestInterval : kRequestInterval));
    requests.push_back({ref, static_cast<std::uint8_t>(verb), {}, 0, 0});
  }
  return requests;
}

RemotePlacements::Event RemotePlacements::on_reply(std::size_t cell, const peer::JobMessage& reply,
                                                   Seconds now) {
  const auto it = placements_.find(reply.ref);
  // A late reply may be about a placement that has ended, or come from a cell that no longer holds the job.
  if (it == placements_.end() || it->second.cell != cell)
    return Event::none;
  RemotePlacement& placement = it->second;
  if (placement.state == State::recording || placement.state == State::returning ||
      placement.state == State::ended)
    return Event::none;
  switch (reply.verb()) {
    case JobVerb::held:
      placement.done = reply.done_tasks;
      placement.running = reply.running_tasks;
      // A recall ends if the job has started there; a cancellation goes on.
      if (placement.state == State::offered || (placement.state == State::recalling && !placement.cancel))
        placement.state = State::remote;
      return Event::none;
    case JobVerb::done:
      unschedule_request(reply.ref, placement);
      placement.state = State::ended;
      return Event::done;
    case JobVerb::cancelled:
      if (!placement.cancel) {
        begin_return(reply.ref, placement);
        return Event::none;
      }
      unschedule_request(reply.ref, placement);
      placement.state = State::ended;
      return Event::cancelled;
    case JobVerb::refused:
    case JobVerb::never:
      // A duplicate of the offer may still be accepted. Only a tombstone in the other cell rules that out, so
      // the job is recalled.
      if (placement.state != State::offered)
        return Event::none;
      placement.state = State::recalling;
      schedule_request(reply.ref, placement, now);
      return Event::none;
    case JobVerb::unknown:
      if (placement.state == State::remote)
        placement.state = State::offered;
      return Event::none;
    default:
      return Event::none;
  }
}

const RemotePlacements::RemotePlacement* RemotePlacements::find(const std::string& ref) const {
  const auto it = placements_.find(ref);
  return it == placements_.end() ? nullptr : &it->second;
}

std::size_t RemotePlacements::count_at(std::size_t cell) const {
  return static_cast<std::size_t>(std::count_if(placements_.begin(), placements_.end(),
                                                [cell](const auto& s) { return s.second.cell == cell; }));
}

std::vector<std::string> RemotePlacements::idle_jobs(std::size_t cell, std::size_t max_jobs) const {
  std::vector<std::string> refs;
  for (const auto& [ref, placement] : placements_) {
    if (refs.size() >= max_jobs)
      break;
    if (placement.cell == cell && placement.state == State::remote && placement.running == 0 &&
        placement.done == 0)
      refs.push_back(ref);
  }
  return refs;
}

}  // namespace wingtrail::cells
