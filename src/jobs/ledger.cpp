#include "jobs/ledger.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace wingtrail::jobs {
namespace {
constexpr Seconds kRetry = 0.15;
constexpr Seconds kRefusedPause = 5;            // for what the state service refuses even by itself
constexpr Seconds kSoon = 0.5;                  // machines that are gone: the next leader would wait for them
constexpr Seconds kJoin = 0.05;                 // machines come up by the hundred: some join in one write
constexpr Seconds kInPassing = 15;              // what only saves the next leader some fetches,
constexpr Seconds kPassingEvery = 1;            // and of that one page at a time, however many there are
constexpr double kPageShare = 0.85;             // of the value limit
constexpr std::size_t kMaxBytes = 40UL * 1024;  // a transaction's values, of the protocol's 64 KiB
constexpr std::size_t kLeastPage = 256;
constexpr Seconds kSweepEvery = 1;  // beside nothing else; they only cost a later leader time
constexpr int kSweeps = 4;          // at a time
constexpr int kCloseOps = 3;        // final state, job and cancellation mark go together
constexpr std::size_t kMaxPages = 100'000;
constexpr Seconds kRounding = 1e-6;
constexpr double kPressingAfter = 0.5;  // of the time in which a cancelled job's tasks must be gone

std::string page_key(const char* prefix, std::size_t page) {
  return prefix + std::to_string(page);
}

std::optional<std::size_t> page_number(const std::string& key) {
  std::size_t n = 0;
  const char* end = key.data() + key.size();
  const auto [p, ec] = std::from_chars(key.data() + 2, end, n);
  if (key.size() < 3 || ec != std::errc() || p != end || n >= kMaxPages)
    return std::nullopt;
  return n;
}
}  // namespace

Ledger::Ledger(ports::Outbox& out, store::Client& store, Registry& registry,
               const settings::Settings& settings, Link link)
    : out_(out),
      store_(store),
      registry_(registry),
      settings_(settings),
      link_(std::move(link)),
      codec_(settings.value_kb),
      page_bytes_(static_cast<std::size_t>(settings.value_kb * 1024 * kPageShare)),
      most_ops_(settings.txn_ops) {}

void Ledger::begin() {
  end();
  active_ = true;
}

void Ledger::end() {
  active_ = in_flight_ = armed_ = false;
  ++term_;
  for (auto& queue : ends_)
    queue.clear();
  for (auto& since : unrecorded_since_)
    since.clear();
  shares_ = {};
  sheets_.clear();
  sweeps_.clear();
  unfolds_.clear();
  progress_.clear();
  roster_.clear();
  joining_.clear();
  awaiting_.clear();
  close_waiters_.clear();
}

// ---------------------------------------------------------------- pages

// What a machine's images may take, as numbers in its page's list of names.
std::size_t Ledger::images_bytes() const {
  return std::clamp<std::size_t>(page_bytes_ / 70, 16, 96);
}

// A page is made for machines of this one's size; names of hosts and zones differ little in length.
std::size_t Ledger::record_size(const wire::Value& record) const {
  return record.dump().size() + images_bytes() + 1;
}

wire::Value Ledger::progress_value(std::size_t page) const {
  wire::Value list = wire::Value::array();
  for (const auto& [ix, chunk] : progress_[page].entries) {
    const Job* job = registry_.at(ix);
    if (!job || job->closed)
      continue;
    wire::Value entry = codec_.encode(*job, chunk);
    entry["ref"] = job->spec.ref;
    list.push_back(std::move(entry));
  }
  return list;
}

wire::Value Ledger::roster_value(std::size_t page) const {
  wire::Value names = wire::Value::array(), hosts = wire::Value::array();
  std::map<std::string, std::size_t> numbers;
  std::size_t used = 0;
  for (const Ix ix : roster_[page].entries) {
    wire::Value record = events_.record(ix);
    wire::Value images = wire::Value::array();
    std::size_t bytes = 0;
    for (const wire::Value& name : record["images"]) {
      const auto& text = name.get_ref<const std::string&>();
      auto [it, fresh] = numbers.try_emplace(text, names.size());
      if (fresh && used + text.size() + 3 > names_bytes()) {
        numbers.erase(it);
        continue;
      }
      if (fresh)
        names.push_back(name), used += text.size() + 3;
      if ((bytes += std::to_string(it->second).size() + 1) > images_bytes())
        break;
      images.push_back(it->second);
    }
    record["images"] = std::move(images);
    hosts.push_back(std::move(record));
  }
  return {{"images", std::move(names)}, {"hosts", std::move(hosts)}};
}

template <typename Entry, typename Encode>
std::optional<wire::Value> Ledger::writable(Pages<Entry>& pages, std::size_t n, std::size_t limit,
                                            Encode encode) {
  if (pages[n].bytes > limit && pages.divide(n, limit, out_.now())) {
    ++divided_;
    spdlog::info("a page of {} entries was too large and is divided", pages[n].entries.size());
  }
  if (!pages.may_be_written(n))
    return std::nullopt;
  wire::Value value = encode(n);
  const std::size_t size = value.dump().size();
  if (size > settings_.value_bytes()) {  // the estimate was wrong
    if (pages.divide(n, pages[n].bytes * settings_.value_bytes() / size * 3 / 4, out_.now())) {
      ++divided_;
      return std::nullopt;
    }
  }
  return value;
}

bool Ledger::load_progress(const std::string& key, const wire::Value& value, std::uint64_t version) {
  const auto n = page_number(key);
  if (n)
    progress_.at_version(*n, version);
  if (!n || !value.is_array())
    return false;
  bool good = true;
  for (const wire::Value& entry : value) {
    Job* job = registry_.find(wire::text(entry, "ref").value_or(""));
    if (!job)
      continue;  // over; the page is written without it the next time
    const bool read = codec_.decode(entry, job->spec.tasks,
                                    [&](std::uint32_t task) { registry_.complete(*job, task, kNone); });
    good &= read;
    if (!read)
      continue;
    const auto [first, last] = codec_.covers(entry, job->spec.tasks);
    for (std::uint32_t c = first; c <= last; ++c)
      progress_.stored({job->ix, c}, codec_.size(*job, c), *n, out_.now());
  }
  return good;
}

bool Ledger::load_roster(const std::string& key, const wire::Value& value, std::uint64_t version,
                         const std::function<Ix(const wire::Value&)>& learn) {
  const auto n = page_number(key);
  if (n)
    roster_.at_version(*n, version);
  const wire::Value* names = wire::find(value, "images");
  const wire::Value* hosts = wire::find(value, "hosts");
  if (!n || !hosts || !hosts->is_array())
    return false;
  bool good = true;
  for (wire::Value record : *hosts) {
    if (!wire::text(record, "host")) {
      good = false;
      continue;
    }
    wire::Value images = wire::Value::array();
    if (const wire::Value* list = wire::find(record, "images"); list && list->is_array() && names) {
      for (const wire::Value& i : *list) {
        if (i.is_number_unsigned() && i.get<std::size_t>() < names->size())
          images.push_back((*names)[i.get<std::size_t>()]);
      }
    }
    record["images"] = wire::Value::array();
    const std::size_t size = record_size(record);
    record["images"] = std::move(images);
    roster_.stored(learn(record), size, *n, out_.now());
  }
  return good;
}

// ---------------------------------------------------------------- what is to be written

void Ledger::close(Job& job, wire::Phase phase, std::function<void()> then) {
  if (then)
    close_waiters_[job.ix].push_back(std::move(then));
  if (job.closing)
    return;  // the first final state wins; nobody has been told of any yet
  decide_end(job, phase, phase == wire::Phase::cancelled ? RecordKind::cancelled : RecordKind::completed,
             out_.now());
}

void Ledger::close_orphan(Job& job) {
  if (!job.closing)
    decide_end(job, wire::Phase::cancelled, RecordKind::orphaned, job.orphan_since);
}

void Ledger::decide_end(Job& job, wire::Phase phase, RecordKind kind, Seconds since) {
  job.closing = true;
  job.final_phase = phase;
  job.end_kind = kind;
  job.closing_since = job.record_from = since;
  unrecorded_since_[index(kind)].insert(job.closing_since);
  queue_end(job);
  arm(0);
}

void Ledger::queue_end(const Job& job) {
  ends_[index(job.end_kind)].emplace(job.record_from, job.ix);
}

std::optional<Seconds> Ledger::oldest_unrecorded(RecordKind kind) const {
  const auto& since = unrecorded_since_[index(kind)];
  return since.empty() ? std::nullopt : std::optional(*since.begin());
}

Ledger::Backlogs Ledger::backlogs() const {
  Backlogs all;
  for (std::size_t kind = 0; kind < kEndKinds; ++kind) {
    const auto oldest = oldest_unrecorded(static_cast<RecordKind>(kind));
    all[kind] = {unrecorded_since_[kind].size(), oldest ? out_.now() - *oldest : 0, recorded_[kind],
                 no_room_for_[kind]};
  }
  return all;
}

void Ledger::progress(Job& job, std::uint32_t task, Ix machine, std::uint64_t attempt) {
  const Chunk chunk{job.ix, codec_.chunk_of(task)};
  awaiting_[chunk].push_back({machine, task, attempt});
  progress_.mark(progress_.place(chunk, codec_.size(job, chunk.second), page_bytes_), Due::soon, out_.now());
  arm(settings_.tunables.progress_flush_s);
}

void Ledger::enlist(Ix machine) {
  wire::Value record = events_.record(machine);
  record["images"] = wire::Value::array();
  joining_.insert(machine);
  roster_.mark(roster_.place(machine, record_size(record), roster_bytes()), Due::now, out_.now());
  arm(kJoin);
}

void Ledger::refresh(Ix machine) {
  const auto n = roster_.page_of(machine);
  if (!n)
    return;
  roster_.mark(*n, Due::in_passing, out_.now());
  arm(kInPassing);
}

void Ledger::delist(Ix machine) {
  const auto n = roster_.page_of(machine);
  if (!n)
    return;
  roster_.remove(machine);
  joining_.erase(machine);
  roster_.mark(*n, Due::soon, out_.now());
  arm(kSoon);
}

// ---------------------------------------------------------------- writing

void Ledger::arm(Seconds delay) {
  const Seconds at = out_.now() + delay;
  if (armed_ && armed_at_ <= at)
    return;
  armed_ = true;
  armed_at_ = at;
  out_.after(delay, [this, term = term_, at] {
    if (term != term_ || !armed_ || armed_at_ != at)
      return;
    armed_ = false;
    flush();
  });
}

// Its final state, the key that it has of its own, and its cancellation mark go together.
int Ledger::ops_of_end(const Job& job) {
  return 1 + job.own_key + job.intent;
}

void Ledger::add_end(wire::Txn& txn, Commit& c, Job& job) {
  txn.put(kFinal + job.spec.ref, wire::ended_record({job.final_phase, job.spec.tasks, out_.time_of_day()}));
  // Of a job on a sheet there may be a key of its own that has not been seen here: another node's, for a
  // retry. Left there it would make the job live again for the next leader, so its absence is demanded.
  job.own_key ? txn.erase(kLive + job.spec.ref) : txn.require(kLive + job.spec.ref, 0);
  if (job.intent)
    txn.erase(kLive + job.spec.ref + kAbortMark);
  c.closes.push_back(job.ix);
}

// Each kind has its share of the changes. With ends of one kind first and the others given what is left,
// these got nothing for as long as the first kind kept coming: jobs whose need was cancelled were heard of no
// more.
Ledger::PageRoom Ledger::add_by_shares(wire::Txn& txn, Commit& c) {
  PageRoom room{0, 0, most_ops_};
  int machines = roster_pages_due(), progress = progress_pages_due();
  while (room.rest > 0) {
    WriteShares::Waiting waiting{};
    for (std::size_t kind = 0; kind < kEndKinds; ++kind)
      waiting[kind] = !ends_[kind].empty();
    waiting[index(RecordKind::machines)] = machines > room.machines;
    waiting[index(RecordKind::progress)] = progress > room.progress;
    const auto kind = shares_.next(waiting);
    if (!kind)
      break;
    int ops = 1;
    if (*kind == RecordKind::machines) {
      ++room.machines;
    } else if (*kind == RecordKind::progress) {
      ++room.progress;
    } else {
      auto& queue = ends_[index(*kind)];
      Job& job = *registry_.at(queue.begin()->second);
      ops = ops_of_end(job);
      if (ops > room.rest)
        break;  // it goes first the next time
      queue.erase(queue.begin());
      add_end(txn, c, job);
    }
    room.rest -= ops;
    shares_.charge(*kind, ops, pressing(*kind));
  }
  return room;
}

// Cancelled jobs, and those that need one, have to be told so within a limit; the others may be late.
bool Ledger::pressing(RecordKind kind) const {
  if (kind != RecordKind::cancelled && kind != RecordKind::orphaned)
    return false;
  const auto oldest = oldest_unrecorded(kind);
  return oldest && out_.now() - *oldest > kPressingAfter * settings_.cancel_s;
}

void Ledger::see_left_out(Commit& c) const {
  for (std::size_t kind = 0; kind < kEndKinds; ++kind)
    c.left_out[kind] = !ends_[kind].empty();
}

void Ledger::count_left_out(const Commit& c) {
  for (std::size_t kind = 0; kind < kEndKinds; ++kind)
    no_room_for_[kind] += c.left_out[kind];
}

// When the page is to be written, as far as that depends on nothing but itself.
Seconds Ledger::roster_page_due(std::size_t n) const {
  const auto& page = roster_[n];
  if (page.due == Due::now)
    return page.since;
  if (page.due == Due::soon)
    return page.since + kSoon;
  return std::max(page.since + kInPassing, passed_at_ + kPassingEvery);
}

Seconds Ledger::progress_page_due(std::size_t n) const {
  return progress_[n].since + settings_.tunables.progress_flush_s;
}

int Ledger::roster_pages_due() const {
  return static_cast<int>(std::count_if(roster_.due().begin(), roster_.due().end(), [this](std::size_t n) {
    return roster_[n].due >= Due::soon && roster_.may_be_written(n) && roster_page_due(n) <= out_.now();
  }));
}

int Ledger::progress_pages_due() const {
  return static_cast<int>(
      std::count_if(progress_.due().begin(), progress_.due().end(), [this](std::size_t n) {
        return progress_.may_be_written(n) && progress_page_due(n) <= out_.now() + kRounding;
      }));
}

void Ledger::add_roster(wire::Txn& txn, Commit& c, int& room, std::size_t& bytes, Due least) {
  for (const std::size_t n : std::vector<std::size_t>(roster_.due().begin(), roster_.due().end())) {
    if (room <= 0 || bytes >= kMaxBytes)
      return;
    const auto& page = roster_[n];
    const Due due = page.due;
    if (due < least || out_.now() < roster_page_due(n))
      continue;
    auto value = writable(roster_, n, roster_bytes(), [this](std::size_t p) { return roster_value(p); });
    if (!value)
      continue;
    std::vector<Ix> joins;
    for (const Ix ix : page.entries) {
      if (joining_.contains(ix))
        joins.push_back(ix);
    }
    c.was_due.push_back(due);
    c.roster.emplace_back(n, std::move(joins));
    roster_.take(n);
    txn.require(page_key(kRoster, n), page.version).put(page_key(kRoster, n), std::move(*value));
    bytes += page.bytes + names_bytes();
    --room;
    ++writes_.roster;
    // One that is of use only to a later leader goes alone: what people wait for comes first.
    if (due != Due::in_passing)
      continue;
    passed_at_ = out_.now();
    return;
  }
}

void Ledger::add_progress(wire::Txn& txn, Commit& c, int& room, std::size_t& bytes) {
  for (const std::size_t n : std::vector<std::size_t>(progress_.due().begin(), progress_.due().end())) {
    if (room <= 0 || bytes >= kMaxBytes)
      return;
    const auto& page = progress_[n];
    if (out_.now() + kRounding < progress_page_due(n))
      continue;
    auto value = writable(progress_, n, page_bytes_, [this](std::size_t p) { return progress_value(p); });
    if (!value)
      continue;
    progress_.take(n);
    std::vector<std::pair<Chunk, Ended>> covers;
    for (const Chunk& chunk : page.entries) {
      auto it = awaiting_.find(chunk);
      if (it == awaiting_.end())
        continue;
      for (const Ended& e : it->second)
        covers.emplace_back(chunk, e);
      awaiting_.erase(it);
    }
    // Its jobs are over. But what another page still holds of it must be here before that is written.
    if (covers.empty() && page.waited_for.empty() && page.behind.empty())
      continue;
    txn.require(page_key(kProgress, n), page.version).put(page_key(kProgress, n), std::move(*value));
    c.progress.emplace_back(n, std::move(covers));
    bytes += page.bytes;
    --room;
    ++writes_.progress;
  }
}

void Ledger::sweep_empty_sheets() {
  for (std::string& key : sheets_.take_empty())
    sweeps_.push_back(std::move(key));
  if (!sweeps_.empty())
    arm(kSoon);
}

void Ledger::sweep(std::string key) {
  sweeps_.push_back(std::move(key));
  arm(kSoon);
}

void Ledger::unfold(Job& job) {
  if (!sheets_.holds(job.ix))
    return;
  unfolds_.push_back(job.ix);
  arm(kSoon);
}

void Ledger::add_sweeps(wire::Txn& txn, Commit& c, int& room) {
  for (int n = 0; n < kSweeps && room > 0 && !sweeps_.empty(); ++n, --room) {
    txn.erase(sweeps_.front());
    c.swept.push_back(std::move(sweeps_.front()));
    sweeps_.pop_front();
    ++writes_.swept;
    swept_at_ = out_.now();
  }
}

// The record is the one on the sheet, but for what no version reads.
void Ledger::add_unfolded(wire::Txn& txn, Commit& c, int& room, std::size_t& bytes) {
  for (int n = 0; n < kSweeps && room > 0 && bytes < kMaxBytes && !unfolds_.empty(); ++n) {
    const Ix ix = unfolds_.front();
    unfolds_.pop_front();
    Job* job = registry_.at(ix);
    if (!job || !job->open() || !sheets_.holds(ix))
      continue;
    // From now on: whether a transaction without an answer is applied, now or late, nobody knows.
    job->own_key = true;
    txn.require(kFinal + job->spec.ref, 0);
    wire::Value record = wire::job_record(job->spec, out_.time_of_day() - (out_.now() - job->submitted));
    if (!job->guest.empty())
      record[kGuest] = job->guest;
    bytes += record.dump().size();
    txn.put(kLive + job->spec.ref, std::move(record));
    c.unfolded.push_back(ix);
    --room;
    swept_at_ = out_.now();
  }
}

void Ledger::flush() {
  if (!active_ || in_flight_)
    return;
  if (out_.now() >= link_.authority_until())
    return arm(kRetry);
  wire::Txn txn;
  txn.require(link_.leader_key, link_.token());
  Commit c;
  c.shares_before = shares_;
  std::size_t bytes = 0;
  const PageRoom shared = add_by_shares(txn, c);
  // What the kinds with shares leave is for whatever else is due.
  int room = shared.machines + shared.rest;
  add_roster(txn, c, room, bytes, Due::soon);
  const bool user =
      !c.closes.empty() || std::find(c.was_due.begin(), c.was_due.end(), Due::now) != c.was_due.end();
  room += shared.progress;
  add_progress(txn, c, room, bytes);
  add_roster(txn, c, room, bytes, Due::in_passing);
  if (txn.ops() > 0 || out_.now() >= swept_at_ + kSweepEvery) {
    add_sweeps(txn, c, room);
    // In a transaction with its end, the record would be there after it.
    if (c.closes.empty())
      add_unfolded(txn, c, room, bytes);
  }
  if (txn.ops() == 0)
    return rearm();
  in_flight_ = true;
  see_left_out(c);
  const int ops = txn.ops();
  std::vector<Ix> first;
  for (const Ix ix : c.closes) {
    if (!std::exchange(registry_.at(ix)->end_sent, true))
      first.push_back(ix);
  }
  store_.txn(
      std::move(txn), user ? store::Urgency::user : store::Urgency::background, link_.authority_until(),
      [this, term = term_, ops, first = std::move(first), c = std::move(c)](const store::Reply& r) mutable {
        if (term != term_)
          return;
        in_flight_ = false;
        if (r.delivered)
          count_left_out(c);
        for (const Ix ix : first)
          registry_.at(ix)->end_sent = r.delivered;
        if (r.status == 200)
          return committed(c, wire::revision(r.body).value_or(0));
        if (r.status == 409 && !beaten(r.body, c))
          return link_.superseded();
        failed(c);
        if (r.status == 400)
          malformed(c, ops);
      });
}

// When the next page is due.
void Ledger::rearm() {
  Seconds at = ports::kNever;
  if (std::any_of(ends_.begin(), ends_.end(), [](const auto& queue) { return !queue.empty(); }))
    at = out_.now();
  if (!sweeps_.empty() || !unfolds_.empty())
    at = std::min(at, std::max(out_.now(), swept_at_ + kSweepEvery));
  for (const std::size_t n : progress_.due()) {
    if (progress_.may_be_written(n))
      at = std::min(at, progress_page_due(n));
  }
  for (const std::size_t n : roster_.due()) {
    if (roster_.may_be_written(n))
      at = std::min(at, roster_page_due(n));
  }
  // Never at once: a sum that is rounded down would come up again and again within the same instant.
  if (at != ports::kNever)
    arm(std::max(0.002, at - out_.now()));
}

// Whether the transaction failed for another reason than that somebody else leads: a job on a sheet has got a
// key of its own, one that was to get one is over by a transaction that had no answer, or such a one has
// written a page.
bool Ledger::beaten(const wire::Value& refusal, const Commit& c) {
  const auto keys = wire::failed_keys(refusal);
  const auto has = [&keys](const std::string& key) {
    return std::find(keys.begin(), keys.end(), key) != keys.end();
  };
  if (keys.empty() || has(link_.leader_key))
    return false;
  for (const Ix ix : c.closes) {
    Job& job = *registry_.at(ix);
    if (has(kLive + job.spec.ref))
      job.own_key = true;
  }
  for (const auto& [n, covers] : c.progress) {
    if (has(page_key(kProgress, n)))
      ++looked_up_, look_up(kProgress, n);
  }
  for (const auto& [n, joined] : c.roster) {
    if (has(page_key(kRoster, n)))
      ++looked_up_, look_up(kRoster, n);
  }
  return true;
}

// Nobody but this leader writes its pages, so the page holds what a transaction of its own put there that had
// no answer. It is written anew, on condition that it is still that; until its version is known it is not.
void Ledger::look_up(const char* prefix, std::size_t page) {
  const bool roster = prefix == kRoster;
  (roster ? roster_[page].looked_up : progress_[page].looked_up) = true;
  store_.get(page_key(prefix, page), store::Urgency::lease,
             [this, prefix, roster, page, term = term_](const store::Reply& r) {
               if (term != term_)
                 return;
               const auto item =
                   r.status == 200 ? wire::parse_item(r.body) : wire::Result<wire::Item>::fail("");
               if (!item && r.status != 404)
                 return out_.after(kRetry, [this, prefix, page, term] {
                   if (term == term_)
                     look_up(prefix, page);
                 });
               const std::uint64_t version = item ? item->version : 0;
               roster ? roster_.at_version(page, version) : progress_.at_version(page, version);
               (roster ? roster_[page].looked_up : progress_[page].looked_up) = false;
               arm(0);
             });
}

// Everything here may be applied twice without harm, so what is uncertain is simply written again.
void Ledger::failed(Commit& c) {
  shares_ = c.shares_before;
  for (const Ix ix : c.closes)
    queue_end(*registry_.at(ix));
  for (auto& [n, covers] : c.progress) {
    for (auto& [chunk, ended] : covers)
      awaiting_[chunk].push_back(ended);
    progress_.mark(n, Due::soon, out_.now());
  }
  for (std::size_t i = 0; i < c.roster.size(); ++i)
    roster_.mark(c.roster[i].first, c.was_due[i], out_.now());
  sweeps_.insert(sweeps_.begin(), c.swept.begin(), c.swept.end());
  for (const Ix ix : c.unfolded)
    unfolds_.push_back(ix);  // others first: this one may be over
  arm(kRetry);
}

// The state service calls the transaction malformed, and would do so again: its limits are lower than the
// settings say. Fewer records go together from now on; one that is refused by itself must not stop the
// others.
void Ledger::malformed(const Commit& c, int ops) {
  ++refused_;
  spdlog::error("the state service calls a transaction of {} changes malformed", ops);
  if (c.records() > 1) {
    most_ops_ = std::max(kCloseOps, ops / 2);
    if (most_ops_ < ops)
      return;
  }
  const auto smaller = [this](auto& pages, std::size_t n, auto encode) {
    const std::size_t size = encode(n).dump().size();
    page_bytes_ = std::max(kLeastPage, std::min(page_bytes_, size / 2));
    if (pages[n].entries.size() <= 1)
      pages[n].since = out_.now() + kRefusedPause;
  };
  for (const auto& [n, covers] : c.progress)
    smaller(progress_, n, [this](auto p) { return progress_value(p); });
  for (const auto& [n, joined] : c.roster)
    smaller(roster_, n, [this](auto p) { return roster_value(p); });
  for (const Ix ix : c.closes) {
    Job& job = *registry_.at(ix);
    spdlog::error("{}: its end cannot be recorded", job.spec.ref);
    ends_[index(job.end_kind)].erase({job.record_from, ix});
    job.record_from = out_.now();
    queue_end(job);
  }
}

void Ledger::committed(const Commit& c, std::uint64_t revision) {
  ++commits_;
  const std::uint64_t term = term_;
  for (const Ix ix : c.closes) {
    Job* job = registry_.at(ix);
    job->closed = true;
    const std::size_t kind = index(job->end_kind);
    unrecorded_since_[kind].extract(job->closing_since);
    ++recorded_[kind];
    writes_.ends += static_cast<std::uint64_t>(ops_of_end(*job));
    sheets_.over(ix);
    std::vector<Ended> ended;
    for (std::uint32_t n = 0; n < codec_.chunks(*job); ++n) {
      const Chunk chunk{ix, n};
      if (auto waiting = awaiting_.extract(chunk); !waiting.empty()) {
        ended.insert(ended.end(), waiting.mapped().begin(), waiting.mapped().end());
      }
      progress_.remove(chunk);
    }
    events_.persisted(ended);
    auto waiters = close_waiters_.extract(ix);
    events_.closed(*job);
    if (!waiters.empty()) {
      for (auto& then : waiters.mapped())
        then();
    }
    if (term != term_)
      return;  // one of the callbacks ended the leadership
  }
  sweep_empty_sheets();
  for (const Ix ix : c.unfolded) {
    if (registry_.at(ix))
      sheets_.over(ix);
  }
  sweep_empty_sheets();
  for (const auto& [n, covers] : c.progress) {
    progress_.at_version(n, revision);
    progress_.written(n);
    std::vector<Ended> ended;
    for (const auto& [chunk, e] : covers)
      ended.push_back(e);
    events_.persisted(ended);
  }
  for (const auto& [n, joined] : c.roster) {
    roster_.at_version(n, revision);
    roster_.written(n);
    for (const Ix ix : joined) {
      if (joining_.erase(ix) == 0)
        continue;  // gone meanwhile
      events_.enlisted(ix);
      if (term != term_)
        return;
    }
  }
  rearm();
}

}  // namespace wingtrail::jobs
