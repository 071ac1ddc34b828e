#include "cells/stays.hpp"

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

wire::Value Stays::Page::value() const {
  return {{"cell", cell}, {"refs", refs}};
}

std::string Stays::key(const Sheet& s) const {
  return kAway + cells_[s.cell] + "/" + std::to_string(s.number);
}

void Stays::clear() {
  stays_.clear();
  for (auto& d : due_)
    d.clear();
  pages_.clear();
  pages_due_.clear();
  flight_.clear();
  open_.clear();
  last_page_ = 0;
}

void Stays::mark(std::size_t page) {
  pages_due_.insert(page);
}

void Stays::stop_asking(const std::string& ref, const Stay& stay) {
  due_[stay.cell].erase({stay.ask_at, ref});
}

void Stays::ask_later(const std::string& ref, Stay& stay, Seconds at) {
  stop_asking(ref, stay);
  stay.ask_at = at;
  due_[stay.cell].emplace(at, ref);
}

bool Stays::load(const std::string& key, const wire::Value& value, std::uint64_t version,
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
    due_.emplace_back();
    known = cells_.end() - 1;
  }
  const std::size_t id = ++last_page_;
  Sheet& sheet = pages_[id];
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
    Stay& stay = stays_[ref];
    stay = {};
    stay.cell = sheet.cell;
    stay.page = id;
    stay.state = State::offered;
    ask_later(ref, stay, now);
  }
  settle(id);
  return true;
}

// A page that names nobody goes.
void Stays::settle(std::size_t page) {
  const auto it = pages_.find(page);
  if (it == pages_.end() || !it->second.refs.empty())
    return;
  if (it->second.version > 0 || it->second.unsure)
    return mark(page);
  if (it->second.returning.empty()) {
    pages_due_.erase(page);
    std::erase_if(open_, [page](const auto& o) { return o.second == page; });
    pages_.erase(it);
  }
}

void Stays::leave(const std::string& ref, std::size_t cell) {
  const std::size_t size = ref.size() + 3;
  const auto open = open_.find(cell);
  std::size_t page = 0;
  if (open != open_.end() && pages_.contains(open->second) &&
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
    open_[cell] = page;
  }
  Sheet& sheet = pages_.at(page);
  sheet.refs.insert(ref);
  sheet.bytes += size;
  Stay& stay = stays_[ref];
  stay = {};
  stay.cell = cell;
  stay.page = page;
  mark(page);
}

void Stays::recall(const std::string& ref, bool cancel, Seconds now) {
  const auto it = stays_.find(ref);
  if (it == stays_.end())
    return;
  Stay& stay = it->second;
  const bool more = cancel && !stay.cancel;
  stay.cancel |= cancel;
  switch (stay.state) {
    case State::offered:
    case State::away:
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

void Stays::over(const std::string& ref) {
  const auto it = stays_.find(ref);
  if (it == stays_.end())
    return;
  const std::size_t page = it->second.page;
  stop_asking(ref, it->second);
  stays_.erase(it);
  const auto sheet = pages_.find(page);
  if (sheet == pages_.end())
    return;
  if (sheet->second.refs.erase(ref) > 0)
    sheet->second.bytes -= ref.size() + 3;
  std::erase(sheet->second.returning, ref);
  settle(page);
}

// The other cell has recorded that it never runs there again. Here that counts once the page without it is
// written.
void Stays::bring_back(const std::string& ref, Stay& stay) {
  stop_asking(ref, stay);
  stay.state = State::returning;
  Sheet& sheet = pages_.at(stay.page);
  if (sheet.refs.erase(ref) > 0)
    sheet.bytes -= ref.size() + 3;
  sheet.returning.push_back(ref);
  mark(stay.page);
}

void Stays::give_up(std::size_t cell) {
  for (auto& [ref, stay] : stays_) {
    if (stay.cell == cell && stay.state != State::leaving && stay.state != State::returning &&
        stay.state != State::ended)
      bring_back(ref, stay);
  }
}

std::vector<Stays::Page> Stays::next_write(std::size_t most) {
  std::vector<Page> out;
  if (writing())
    return out;
  for (auto it = pages_due_.begin(); it != pages_due_.end() && out.size() < most;) {
    Sheet& sheet = pages_.at(*it);
    if (sheet.unsure) {
      ++it;
      continue;
    }
    Page page{key(sheet), cells_[sheet.cell], {sheet.refs.begin(), sheet.refs.end()}, sheet.version};
    flight_.push_back({*it, page.refs, std::exchange(sheet.returning, {})});
    it = pages_due_.erase(it);
    out.push_back(std::move(page));
  }
  return out;
}

std::vector<std::string> Stays::written(std::uint64_t revision) {
  std::vector<std::string> home, unwanted;
  for (Flight& f : std::exchange(flight_, {})) {
    const auto sheet = pages_.find(f.page);
    if (sheet != pages_.end())
      sheet->second.version = f.named.empty() ? 0 : revision;
    for (const std::string& ref : f.named) {
      const auto it = stays_.find(ref);
      if (it == stays_.end() || it->second.state != State::leaving)
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
      if (stays_.erase(ref) > 0)
        home.push_back(std::move(ref));
    }
    settle(f.page);
  }
  for (const std::string& ref : unwanted)
    bring_back(ref, stays_.at(ref));
  return home;
}

void Stays::failed(bool unsure) {
  for (Flight& f : std::exchange(flight_, {})) {
    const auto sheet = pages_.find(f.page);
    if (sheet == pages_.end())
      continue;
    sheet->second.unsure |= unsure;
    auto& returning = sheet->second.returning;
    for (std::string& ref : f.returning) {
      if (stays_.contains(ref))
        returning.push_back(std::move(ref));
    }
    mark(f.page);
  }
}

std::vector<std::string> Stays::refused() {
  std::vector<std::string> home;
  for (const Flight& f : flight_) {
    for (const std::string& ref : f.named) {
      const auto it = stays_.find(ref);
      if (it == stays_.end() || it->second.state != State::leaving)
        continue;
      Sheet& sheet = pages_.at(f.page);
      if (sheet.refs.erase(ref) > 0)
        sheet.bytes -= ref.size() + 3;
      stays_.erase(it);
      home.push_back(ref);
    }
  }
  failed(false);
  // Nobody joins pages of that size any more.
  page_bytes_ = std::max<std::size_t>(kAround + 30, page_bytes_ / 2);
  for (const auto& [cell, page] : std::exchange(open_, {}))
    settle(page);
  return home;
}

std::vector<std::string> Stays::to_look_at() const {
  std::vector<std::string> out;
  for (const std::size_t id : pages_due_) {
    if (pages_.at(id).unsure)
      out.push_back(key(pages_.at(id)));
  }
  return out;
}

void Stays::looked(const std::string& looked_at, std::uint64_t version) {
  for (auto& [id, sheet] : pages_) {
    if (!sheet.unsure || key(sheet) != looked_at)
      continue;
    sheet.unsure = false;
    sheet.version = version;
    return settle(id);
  }
}

std::vector<peer::JobWord> Stays::ask(std::size_t cell, std::size_t most, Seconds now) {
  std::vector<peer::JobWord> out;
  auto& due = due_[cell];
  while (!due.empty() && due.begin()->first <= now && out.size() < most) {
    const std::string ref = due.begin()->second;
    Stay& stay = stays_.at(ref);
    const Word word = stay.state == State::offered     ? Word::offer
                      : stay.state == State::recalling ? (stay.cancel ? Word::cancel : Word::recall)
                                                       : Word::state;
    ask_later(ref, stay, now + (stay.cancel ? kPressing : kAskEvery));
    out.push_back({ref, static_cast<std::uint8_t>(word), {}, 0, 0});
  }
  return out;
}

Stays::Event Stays::heard(std::size_t cell, const peer::JobWord& said, Seconds now) {
  const auto it = stays_.find(said.ref);
  // Answers may come late: of a stay that is over, or from a cell that it left since.
  if (it == stays_.end() || it->second.cell != cell)
    return Event::none;
  Stay& stay = it->second;
  if (stay.state == State::leaving || stay.state == State::returning || stay.state == State::ended)
    return Event::none;
  switch (said.said()) {
    case Word::held:
      stay.done = said.done;
      stay.running = said.running;
      // One that has begun there stays there, unless it is to end.
      if (stay.state == State::offered || (stay.state == State::recalling && !stay.cancel))
        stay.state = State::away;
      return Event::none;
    case Word::done:
      stop_asking(said.ref, stay);
      stay.state = State::ended;
      return Event::done;
    case Word::withdrawn:
      if (!stay.cancel) {
        bring_back(said.ref, stay);
        return Event::none;
      }
      stop_asking(said.ref, stay);
      stay.state = State::ended;
      return Event::withdrawn;
    case Word::refused:
    case Word::never:
      // An offer that was sent twice may still come to be taken; only a record that it never will ends that.
      if (stay.state != State::offered)
        return Event::none;
      stay.state = State::recalling;
      ask_later(said.ref, stay, now);
      return Event::none;
    case Word::unknown:
      if (stay.state == State::away)
        stay.state = State::offered;
      return Event::none;
    default:
      return Event::none;
  }
}

const Stays::Stay* Stays::find(const std::string& ref) const {
  const auto it = stays_.find(ref);
  return it == stays_.end() ? nullptr : &it->second;
}

std::size_t Stays::at(std::size_t cell) const {
  return static_cast<std::size_t>(
      std::count_if(stays_.begin(), stays_.end(), [cell](const auto& s) { return s.second.cell == cell; }));
}

std::vector<std::string> Stays::idle(std::size_t cell, std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [ref, stay] : stays_) {
    if (out.size() >= most)
      break;
    if (stay.cell == cell && stay.state == State::away && stay.running == 0 && stay.done == 0)
      out.push_back(ref);
  }
  return out;
}

}  // namespace wingtrail::cells
