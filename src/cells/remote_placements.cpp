#include "cells/remote_placements.hpp"

#include <algorithm>
#include <charconv>

namespace wingtrail::cells {
namespace {
// How often the other cell is asked. A job's user expects to hear of its end within 3 s (PROTOCOL), of which
// a report, the question and the write here take a second and more.
constexpr Seconds kAskEvery = 1.0;
constexpr Seconds kPressing = 0.4;   // of a cancellation, whose user waits
constexpr std::size_t kAround = 60;  // bytes of a page that are no names
}  // namespace

wire::Value RemotePlacements::Page::value() const {
  return {{"cell", cell}, {"refs", refs}};
}

std::string RemotePlacements::key(const PageState& s) const {
  return kRemotePlacementPrefix + cells_[s.cell] + "/" + std::to_string(s.number);
}

void RemotePlacements::clear() {
  placements_.clear();
  for (auto& d : questions_due_)
    d.clear();
  pages_.clear();
  pages_due_.clear();
  pending_writes_.clear();
  open_page_by_cell_.clear();
  last_page_ = 0;
}

void RemotePlacements::mark_due(std::size_t page) {
  pages_due_.insert(page);
}

void RemotePlacements::stop_asking(const std::string& ref, const RemotePlacement& stay) {
  questions_due_[stay.cell].erase({stay.ask_at, ref});
}

void RemotePlacements::ask_later(const std::string& ref, RemotePlacement& stay, Seconds at) {
  stop_asking(ref, stay);
  stay.ask_at = at;
  questions_due_[stay.cell].emplace(at, ref);
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
  const auto [p, ec] = std::from_chars(key.data() + slash + 1, end, number);
  if (ec != std::errc() || p != end)
    return false;
  // A neighbour that the settings no longer name still holds what it was given.
  auto known = std::find(cells_.begin(), cells_.end(), *name);
  if (known == cells_.end()) {
    cells_.push_back(*name);
    questions_due_.emplace_back();
    known = cells_.end() - 1;
  }
  const std::size_t id = ++last_page_;
  PageState& sheet = pages_[id];
  sheet.cell = static_cast<std::size_t>(known - cells_.begin());
  sheet.number = number;
  sheet.version = version;
  for (const wire::Value& item : *refs) {
    if (!item.is_string())
      return false;
    const auto ref = item.get<std::string>();
    if (!live(ref))
      continue;
    sheet.refs.insert(ref);
    sheet.bytes += ref.size() + 3;
    RemotePlacement& stay = placements_[ref];
    stay = {};
    stay.cell = sheet.cell;
    stay.page = id;
    stay.state = State::offered;
    ask_later(ref, stay, now);
  }
  on_page_settled(id);
  return true;
}

// A page that names nobody goes.
void RemotePlacements::on_page_settled(std::size_t page) {
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
  const std::size_t size = ref.size() + 3;
  const auto open = open_page_by_cell_.find(cell);
  std::size_t page = 0;
  if (open != open_page_by_cell_.end() && pages_.contains(open->second) &&
      pages_.at(open->second).bytes + size + kAround <= page_bytes_) {
    page = open->second;
  } else {
    // Numbers of pages in use are not used again: one that is being deleted would take the new one with it.
    std::size_t number = 1;
    for (const auto& [id, p] : pages_)
      number = std::max(number, p.number + 1);
    page = ++last_page_;
    pages_[page].cell = cell;
    pages_[page].number = number;
    open_page_by_cell_[cell] = page;
  }
  PageState& sheet = pages_.at(page);
  sheet.refs.insert(ref);
  sheet.bytes += size;
  RemotePlacement& stay = placements_[ref];
  stay = {};
  stay.cell = cell;
  stay.page = page;
  mark_due(page);
}

void RemotePlacements::recall(const std::string& ref, bool cancel, Seconds now) {
  const auto it = placements_.find(ref);
  if (it == placements_.end())
    return;
  RemotePlacement& stay = it->second;
  const bool more = cancel && !stay.cancel;
  stay.cancel |= cancel;
  switch (stay.state) {
    case State::offered:
    case State::remote:
      stay.state = State::recalling;
      return ask_later(ref, stay, now);
    case State::recalling:
      if (more)
        ask_later(ref, stay, now);
      return;
    default:  // when the page is written it comes back, or is on its way back
      return;
  }
}

void RemotePlacements::on_job_over(const std::string& ref) {
  const auto it = placements_.find(ref);
  if (it == placements_.end())
    return;
  const std::size_t page = it->second.page;
  stop_asking(ref, it->second);
  placements_.erase(it);
  const auto sheet = pages_.find(page);
  if (sheet == pages_.end())
    return;
  if (sheet->second.refs.erase(ref) > 0)
    sheet->second.bytes -= ref.size() + 3;
  std::erase(sheet->second.returning, ref);
  on_page_settled(page);
}

// The other cell has recorded that it never runs there again. Here that counts once the page without it is
// written.
void RemotePlacements::return_home(const std::string& ref, RemotePlacement& stay) {
  stop_asking(ref, stay);
  stay.state = State::returning;
  PageState& sheet = pages_.at(stay.page);
  if (sheet.refs.erase(ref) > 0)
    sheet.bytes -= ref.size() + 3;
  sheet.returning.push_back(ref);
  mark_due(stay.page);
}

void RemotePlacements::abandon_cell(std::size_t cell) {
  for (auto& [ref, stay] : placements_) {
    if (stay.cell == cell && stay.state != State::leaving && stay.state != State::returning &&
        stay.state != State::ended)
      return_home(ref, stay);
  }
}

std::vector<RemotePlacements::Page> RemotePlacements::next_write(std::size_t most) {
  std::vector<Page> out;
  if (writing())
    return out;
  for (auto it = pages_due_.begin(); it != pages_due_.end() && out.size() < most;) {
    PageState& sheet = pages_.at(*it);
    if (sheet.unsure) {
      ++it;
      continue;
    }
    Page page{key(sheet), cells_[sheet.cell], {sheet.refs.begin(), sheet.refs.end()}, sheet.version};
    pending_writes_.push_back({*it, page.refs, std::exchange(sheet.returning, {})});
    it = pages_due_.erase(it);
    out.push_back(std::move(page));
  }
  return out;
}

std::vector<std::string> RemotePlacements::on_written(std::uint64_t revision) {
  std::vector<std::string> home, unwanted;
  for (PendingWrite& f : std::exchange(pending_writes_, {})) {
    const auto sheet = pages_.find(f.page);
    if (sheet != pages_.end())
      sheet->second.version = f.named.empty() ? 0 : revision;
    for (const std::string& ref : f.named) {
      const auto it = placements_.find(ref);
      if (it == placements_.end() || it->second.state != State::leaving)
        continue;
      // Cancelled while it was being written: no other cell has been told of it, so there is nothing to
      // prove.
      if (it->second.cancel) {
        unwanted.push_back(ref);
        continue;
      }
      it->second.state = State::offered;
      ask_later(ref, it->second, 0);
    }
    for (std::string& ref : f.returning) {
      if (placements_.erase(ref) > 0)
        home.push_back(std::move(ref));
    }
    on_page_settled(f.page);
  }
  for (const std::string& ref : unwanted)
    return_home(ref, placements_.at(ref));
  return home;
}

void RemotePlacements::on_write_failed(bool unsure) {
  for (PendingWrite& f : std::exchange(pending_writes_, {})) {
    const auto sheet = pages_.find(f.page);
    if (sheet == pages_.end())
      continue;
    sheet->second.unsure |= unsure;
    auto& returning = sheet->second.returning;
    for (std::string& ref : f.returning) {
      if (placements_.contains(ref))
        returning.push_back(std::move(ref));
    }
    mark_due(f.page);
  }
}

std::vector<std::string> RemotePlacements::on_write_refused() {
  std::vector<std::string> home;
  for (const PendingWrite& f : pending_writes_) {
    for (const std::string& ref : f.named) {
      const auto it = placements_.find(ref);
      if (it == placements_.end() || it->second.state != State::leaving)
        continue;
      PageState& sheet = pages_.at(f.page);
      if (sheet.refs.erase(ref) > 0)
        sheet.bytes -= ref.size() + 3;
      placements_.erase(it);
      home.push_back(ref);
    }
  }
  on_write_failed(false);
  // Nobody joins pages of that size any more.
  page_bytes_ = std::max<std::size_t>(kAround + 30, page_bytes_ / 2);
  for (const auto& [cell, page] : std::exchange(open_page_by_cell_, {}))
    on_page_settled(page);
  return home;
}

std::vector<std::string> RemotePlacements::pages_to_read() const {
  std::vector<std::string> out;
  for (const std::size_t id : pages_due_) {
    if (pages_.at(id).unsure)
      out.push_back(key(pages_.at(id)));
  }
  return out;
}

void RemotePlacements::on_page_read(const std::string& looked_at, std::uint64_t version) {
  for (auto& [id, sheet] : pages_) {
    if (!sheet.unsure || key(sheet) != looked_at)
      continue;
    sheet.unsure = false;
    sheet.version = version;
    return on_page_settled(id);
  }
}

std::vector<peer::JobMessage> RemotePlacements::next_questions(std::size_t cell, std::size_t most,
                                                               Seconds now) {
  std::vector<peer::JobMessage> out;
  auto& due = questions_due_[cell];
  while (!due.empty() && due.begin()->first <= now && out.size() < most) {
    const std::string ref = due.begin()->second;
    RemotePlacement& stay = placements_.at(ref);
    const JobVerb word = stay.state == State::offered     ? JobVerb::offer
                         : stay.state == State::recalling ? (stay.cancel ? JobVerb::cancel : JobVerb::recall)
                                                          : JobVerb::state;
    ask_later(ref, stay, now + (stay.cancel ? kPressing : kAskEvery));
    out.push_back({ref, static_cast<std::uint8_t>(word), {}, 0, 0});
  }
  return out;
}

RemotePlacements::Event RemotePlacements::on_reply(std::size_t cell, const peer::JobMessage& said,
                                                   Seconds now) {
  const auto it = placements_.find(said.ref);
  // Answers may come late: of a stay that is over, or from a cell that it left since.
  if (it == placements_.end() || it->second.cell != cell)
    return Event::none;
  RemotePlacement& stay = it->second;
  if (stay.state == State::leaving || stay.state == State::returning || stay.state == State::ended)
    return Event::none;
  switch (said.verb()) {
    case JobVerb::held:
      stay.done = said.done_tasks;
      stay.running = said.running_tasks;
      // One that has begun there stays there, unless it is to end.
      if (stay.state == State::offered || (stay.state == State::recalling && !stay.cancel))
        stay.state = State::remote;
      return Event::none;
    case JobVerb::done:
      stop_asking(said.ref, stay);
      stay.state = State::ended;
      return Event::done;
    case JobVerb::withdrawn:
      if (!stay.cancel) {
        return_home(said.ref, stay);
        return Event::none;
      }
      stop_asking(said.ref, stay);
      stay.state = State::ended;
      return Event::withdrawn;
    case JobVerb::refused:
    case JobVerb::never:
      // An offer that was sent twice may still come to be taken; only a record that it never will ends that.
      if (stay.state != State::offered)
        return Event::none;
      stay.state = State::recalling;
      ask_later(said.ref, stay, now);
      return Event::none;
    case JobVerb::unknown:
      if (stay.state == State::remote)
        stay.state = State::offered;
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

std::vector<std::string> RemotePlacements::idle_jobs(std::size_t cell, std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [ref, stay] : placements_) {
    if (out.size() >= most)
      break;
    if (stay.cell == cell && stay.state == State::remote && stay.running == 0 && stay.done == 0)
      out.push_back(ref);
  }
  return out;
}

}  // namespace wingtrail::cells
