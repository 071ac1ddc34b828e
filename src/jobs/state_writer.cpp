#include "jobs/state_writer.hpp"

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

StateWriter::StateWriter(ports::Outbox& out, store::StateClient& store, JobRegistry& registry,
                         const settings::Settings& settings, LeadershipView link)
    : out_(out),
      store_(store),
      registry_(registry),
      settings_(settings),
      leadership_(std::move(link)),
      codec_(settings.state_value_kb),
      page_bytes_(static_cast<std::size_t>(settings.state_value_kb * 1024 * kPageShare)),
      max_changes_(settings.max_transaction_changes),
      final_states_(registry, settings) {}

void StateWriter::begin_leadership() {
  end_leadership();
  active_ = true;
}

void StateWriter::end_leadership() {
  active_ = in_flight_ = flush_scheduled_ = false;
  ++term_;
  final_states_.clear();
  batches_.clear();
  deletions_.clear();
  moves_to_own_key_.clear();
  completion_pages_.clear();
  inventory_pages_.clear();
  machines_awaiting_record_.clear();
  completions_awaiting_.clear();
}

// ---------------------------------------------------------------- pages

// What a machine's images may take, as numbers in its page's list of names.
std::size_t StateWriter::images_limit_bytes() const {
  return std::clamp<std::size_t>(page_bytes_ / 70, 16, 96);
}

// A page is made for machines of this one's size; names of hosts and zones differ little in length.
std::size_t StateWriter::record_size(const wire::Value& record) const {
  return record.dump().size() + images_limit_bytes() + 1;
}

wire::Value StateWriter::completion_page_value(std::size_t page) const {
  wire::Value list = wire::Value::array();
  for (const auto& [ix, chunk] : completion_pages_[page].entries) {
    const Job* job = registry_.job_at(ix);
    if (!job || job->final_state_recorded)
      continue;
    wire::Value entry = codec_.encode(*job, chunk);
    entry["ref"] = job->spec.ref;
    list.push_back(std::move(entry));
  }
  return list;
}

wire::Value StateWriter::inventory_page_value(std::size_t page) const {
  wire::Value names = wire::Value::array(), hosts = wire::Value::array();
  std::map<std::string, std::size_t> numbers;
  std::size_t used = 0;
  for (const MachineIndex ix : inventory_pages_[page].entries) {
    wire::Value record = events_.machine_record(ix);
    wire::Value images = wire::Value::array();
    std::size_t bytes = 0;
    for (const wire::Value& name : record["images"]) {
      const auto& text = name.get_ref<const std::string&>();
      auto [it, fresh] = numbers.try_emplace(text, names.size());
      if (fresh && used + text.size() + 3 > names_limit_bytes()) {
        numbers.erase(it);
        continue;
      }
      if (fresh)
        names.push_back(name), used += text.size() + 3;
      if ((bytes += std::to_string(it->second).size() + 1) > images_limit_bytes())
        break;
      images.push_back(it->second);
    }
    record["images"] = std::move(images);
    hosts.push_back(std::move(record));
  }
  return {{"images", std::move(names)}, {"hosts", std::move(hosts)}};
}

template <typename Entry, typename Encode>
std::optional<wire::Value> StateWriter::writable_value(RecordPages<Entry>& pages, std::size_t n,
                                                       std::size_t limit, Encode encode) {
  if (pages[n].bytes > limit && pages.split(n, limit, out_.now())) {
    ++pages_split_;
    spdlog::info("a page of {} entries was too large and is divided", pages[n].entries.size());
  }
  if (!pages.is_writable(n))
    return std::nullopt;
  wire::Value value = encode(n);
  const std::size_t size = value.dump().size();
  if (size > settings_.value_bytes()) {  // the estimate was wrong
    if (pages.split(n, pages[n].bytes * settings_.value_bytes() / size * 3 / 4, out_.now())) {
      ++pages_split_;
      return std::nullopt;
    }
  }
  return value;
}

bool StateWriter::load_completion_page(const std::string& key, const wire::Value& value,
                                       std::uint64_t version) {
  const auto n = page_number(key);
  if (n)
    completion_pages_.set_version(*n, version);
  if (!n || !value.is_array())
    return false;
  bool good = true;
  for (const wire::Value& entry : value) {
    Job* job = registry_.find(wire::text(entry, "ref").value_or(""));
    if (!job)
      continue;  // over; the page is written without it the next time
    const bool read = codec_.decode(
        entry, job->spec.tasks, [&](std::uint32_t task) { registry_.complete_task(*job, task, kNoIndex); });
    good &= read;
    if (!read)
      continue;
    const auto [first, last] = codec_.chunk_range(entry, job->spec.tasks);
    for (std::uint32_t c = first; c <= last; ++c)
      completion_pages_.add_stored({job->index, c}, codec_.max_encoded_bytes(*job, c), *n, out_.now());
  }
  return good;
}

bool StateWriter::load_inventory_page(const std::string& key, const wire::Value& value, std::uint64_t version,
                                      const std::function<MachineIndex(const wire::Value&)>& learn) {
  const auto n = page_number(key);
  if (n)
    inventory_pages_.set_version(*n, version);
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
    inventory_pages_.add_stored(learn(record), size, *n, out_.now());
  }
  return good;
}

// ---------------------------------------------------------------- what is to be written

void StateWriter::record_final_state(Job& job, wire::Phase phase, std::function<void()> then) {
  if (then)
    final_states_.add_waiter(job.index, std::move(then));
  if (job.final_state_pending)
    return;  // the first final state wins; nobody has been told of any yet
  final_states_.decide(job, phase,
                       phase == wire::Phase::cancelled ? RecordKind::cancelled : RecordKind::completed,
                       out_.now());
  schedule_flush(0);
}

void StateWriter::record_orphan(Job& job) {
  if (job.final_state_pending)
    return;
  final_states_.decide(job, wire::Phase::cancelled, RecordKind::orphaned, job.orphaned_at);
  schedule_flush(0);
}

std::optional<Seconds> StateWriter::oldest_unrecorded(RecordKind kind) const {
  return final_states_.oldest_unrecorded(kind);
}

StateWriter::Backlogs StateWriter::backlogs() const {
  return final_states_.backlogs(out_.now());
}

void StateWriter::record_completion(Job& job, std::uint32_t task, MachineIndex machine,
                                    std::uint64_t attempt) {
  const ChunkKey chunk{job.index, codec_.chunk_of(task)};
  completions_awaiting_[chunk].push_back({machine, task, attempt});
  completion_pages_.mark_due(
      completion_pages_.assign(chunk, codec_.max_encoded_bytes(job, chunk.second), page_bytes_),
      PageUrgency::soon, out_.now());
  schedule_flush(settings_.tunables.progress_flush_s);
}

void StateWriter::add_machine(MachineIndex machine) {
  wire::Value record = events_.machine_record(machine);
  record["images"] = wire::Value::array();
  machines_awaiting_record_.insert(machine);
  inventory_pages_.mark_due(inventory_pages_.assign(machine, record_size(record), inventory_limit_bytes()),
                            PageUrgency::now, out_.now());
  schedule_flush(kJoin);
}

void StateWriter::refresh_machine(MachineIndex machine) {
  const auto n = inventory_pages_.page_of(machine);
  if (!n)
    return;
  inventory_pages_.mark_due(*n, PageUrgency::opportunistic, out_.now());
  schedule_flush(kInPassing);
}

void StateWriter::remove_machine(MachineIndex machine) {
  const auto n = inventory_pages_.page_of(machine);
  if (!n)
    return;
  inventory_pages_.remove(machine);
  machines_awaiting_record_.erase(machine);
  inventory_pages_.mark_due(*n, PageUrgency::soon, out_.now());
  schedule_flush(kSoon);
}

// ---------------------------------------------------------------- writing

void StateWriter::schedule_flush(Seconds delay) {
  const Seconds at = out_.now() + delay;
  if (flush_scheduled_ && flush_scheduled_at_ <= at)
    return;
  flush_scheduled_ = true;
  flush_scheduled_at_ = at;
  out_.after(delay, [this, term = term_, at] {
    if (term != term_ || !flush_scheduled_ || flush_scheduled_at_ != at)
      return;
    flush_scheduled_ = false;
    flush();
  });
}

void StateWriter::add_final_state(wire::Transaction& txn, const Job& job) {
  txn.put(kFinalStatePrefix + job.spec.ref,
          wire::final_state_record({job.final_phase, job.spec.tasks, out_.time_of_day()}));
  // Of a job on a sheet there may be a key of its own that has not been seen here: another node's, for a
  // retry. Left there it would make the job live again for the next leader, so its absence is demanded.
  job.has_own_key ? txn.erase(kLiveJobPrefix + job.spec.ref) : txn.require(kLiveJobPrefix + job.spec.ref, 0);
  if (job.has_cancellation_marker)
    txn.erase(kLiveJobPrefix + job.spec.ref + kCancellationSuffix);
}

// When the page is to be written, as far as that depends on nothing but itself.
Seconds StateWriter::inventory_page_due_at(std::size_t n) const {
  const auto& page = inventory_pages_[n];
  if (page.urgency == PageUrgency::now)
    return page.due_since;
  if (page.urgency == PageUrgency::soon)
    return page.due_since + kSoon;
  return std::max(page.due_since + kInPassing, passed_at_ + kPassingEvery);
}

Seconds StateWriter::completion_page_due_at(std::size_t n) const {
  return completion_pages_[n].due_since + settings_.tunables.progress_flush_s;
}

int StateWriter::inventory_pages_due() const {
  return static_cast<int>(std::count_if(
      inventory_pages_.due_pages().begin(), inventory_pages_.due_pages().end(), [this](std::size_t n) {
        return inventory_pages_[n].urgency >= PageUrgency::soon && inventory_pages_.is_writable(n) &&
               inventory_page_due_at(n) <= out_.now();
      }));
}

int StateWriter::completion_pages_due() const {
  return static_cast<int>(std::count_if(
      completion_pages_.due_pages().begin(), completion_pages_.due_pages().end(), [this](std::size_t n) {
        return completion_pages_.is_writable(n) && completion_page_due_at(n) <= out_.now() + kRounding;
      }));
}

void StateWriter::add_inventory_pages(wire::Transaction& txn, Commit& c, int& room, std::size_t& bytes,
                                      PageUrgency least) {
  for (const std::size_t n :
       std::vector<std::size_t>(inventory_pages_.due_pages().begin(), inventory_pages_.due_pages().end())) {
    if (room <= 0 || bytes >= kMaxBytes)
      return;
    const auto& page = inventory_pages_[n];
    const PageUrgency due = page.urgency;
    if (due < least || out_.now() < inventory_page_due_at(n))
      continue;
    auto value = writable_value(inventory_pages_, n, inventory_limit_bytes(),
                                [this](std::size_t p) { return inventory_page_value(p); });
    if (!value)
      continue;
    std::vector<MachineIndex> joins;
    for (const MachineIndex ix : page.entries) {
      if (machines_awaiting_record_.contains(ix))
        joins.push_back(ix);
    }
    c.inventory_urgency.push_back(due);
    c.inventory.emplace_back(n, std::move(joins));
    inventory_pages_.clear_due(n);
    txn.require(page_key(kInventoryPrefix, n), page.version)
        .put(page_key(kInventoryPrefix, n), std::move(*value));
    bytes += page.bytes + names_limit_bytes();
    --room;
    ++writes_.inventory;
    // One that is of use only to a later leader goes alone: what people wait for comes first.
    if (due != PageUrgency::opportunistic)
      continue;
    passed_at_ = out_.now();
    return;
  }
}

void StateWriter::add_completion_pages(wire::Transaction& txn, Commit& c, int& room, std::size_t& bytes) {
  for (const std::size_t n :
       std::vector<std::size_t>(completion_pages_.due_pages().begin(), completion_pages_.due_pages().end())) {
    if (room <= 0 || bytes >= kMaxBytes)
      return;
    const auto& page = completion_pages_[n];
    if (out_.now() + kRounding < completion_page_due_at(n))
      continue;
    auto value = writable_value(completion_pages_, n, page_bytes_,
                                [this](std::size_t p) { return completion_page_value(p); });
    if (!value)
      continue;
    completion_pages_.clear_due(n);
    std::vector<std::pair<ChunkKey, CompletedTask>> covers;
    for (const ChunkKey& chunk : page.entries) {
      auto it = completions_awaiting_.find(chunk);
      if (it == completions_awaiting_.end())
        continue;
      for (const CompletedTask& e : it->second)
        covers.emplace_back(chunk, e);
      completions_awaiting_.erase(it);
    }
    // Its jobs are over. But what another page still holds of it must be here before that is written.
    if (covers.empty() && page.blocks.empty() && page.blocked_by.empty())
      continue;
    txn.require(page_key(kCompletionPrefix, n), page.version)
        .put(page_key(kCompletionPrefix, n), std::move(*value));
    c.completions.emplace_back(n, std::move(covers));
    bytes += page.bytes;
    --room;
    ++writes_.completions;
  }
}

void StateWriter::delete_empty_batches() {
  for (std::string& key : batches_.take_empty())
    deletions_.push_back(std::move(key));
  if (!deletions_.empty())
    schedule_flush(kSoon);
}

void StateWriter::delete_later(std::string key) {
  deletions_.push_back(std::move(key));
  schedule_flush(kSoon);
}

void StateWriter::move_to_own_key(Job& job) {
  if (!batches_.contains(job.index))
    return;
  moves_to_own_key_.push_back(job.index);
  schedule_flush(kSoon);
}

void StateWriter::add_deletions(wire::Transaction& txn, Commit& c, int& room) {
  for (int n = 0; n < kSweeps && room > 0 && !deletions_.empty(); ++n, --room) {
    txn.erase(deletions_.front());
    c.deletions.push_back(std::move(deletions_.front()));
    deletions_.pop_front();
    ++writes_.deletions;
    deleted_at_ = out_.now();
  }
}

// The record is the one on the sheet, but for what no version reads.
void StateWriter::add_moves_to_own_key(wire::Transaction& txn, Commit& c, int& room, std::size_t& bytes) {
  for (int n = 0; n < kSweeps && room > 0 && bytes < kMaxBytes && !moves_to_own_key_.empty(); ++n) {
    const JobIndex ix = moves_to_own_key_.front();
    moves_to_own_key_.pop_front();
    Job* job = registry_.job_at(ix);
    if (!job || !job->is_open() || !batches_.contains(ix))
      continue;
    // From now on: whether a transaction without an answer is applied, now or late, nobody knows.
    job->has_own_key = true;
    txn.require(kFinalStatePrefix + job->spec.ref, 0);
    wire::Value record = wire::job_record(job->spec, out_.time_of_day() - (out_.now() - job->submitted_at));
    if (!job->origin_cell.empty())
      record[kOriginCellField] = job->origin_cell;
    bytes += record.dump().size();
    txn.put(kLiveJobPrefix + job->spec.ref, std::move(record));
    c.moved_to_own_key.push_back(ix);
    --room;
    deleted_at_ = out_.now();
  }
}

void StateWriter::flush() {
  if (!active_ || in_flight_)
    return;
  if (out_.now() >= leadership_.lease_expires_at())
    return schedule_flush(kRetry);
  wire::Transaction txn;
  txn.require(leadership_.leader_key, leadership_.fencing_token());
  Commit c;
  std::size_t bytes = 0;
  c.selection =
      final_states_.select({max_changes_, inventory_pages_due(), completion_pages_due()}, out_.now());
  for (const JobIndex ix : c.selection.final_states)
    add_final_state(txn, *registry_.job_at(ix));
  // What the kinds with shares leave is for whatever else is due.
  int room = c.selection.inventory_changes + c.selection.unassigned_changes;
  add_inventory_pages(txn, c, room, bytes, PageUrgency::soon);
  const bool user = !c.selection.final_states.empty() ||
                    std::find(c.inventory_urgency.begin(), c.inventory_urgency.end(), PageUrgency::now) !=
                        c.inventory_urgency.end();
  room += c.selection.completion_changes;
  add_completion_pages(txn, c, room, bytes);
  add_inventory_pages(txn, c, room, bytes, PageUrgency::opportunistic);
  if (txn.change_count() > 0 || out_.now() >= deleted_at_ + kSweepEvery) {
    add_deletions(txn, c, room);
    // In a transaction with its end, the record would be there after it.
    if (c.selection.final_states.empty())
      add_moves_to_own_key(txn, c, room, bytes);
  }
  if (txn.change_count() == 0)
    return reschedule_flush();
  in_flight_ = true;
  const int ops = txn.change_count();
  std::vector<JobIndex> first;
  for (const JobIndex ix : c.selection.final_states) {
    if (!std::exchange(registry_.job_at(ix)->final_state_sent, true))
      first.push_back(ix);
  }
  store_.transact(
      std::move(txn), user ? store::RequestPriority::user : store::RequestPriority::background,
      leadership_.lease_expires_at(),
      [this, term = term_, ops, first = std::move(first), c = std::move(c)](const store::Reply& r) mutable {
        if (term != term_)
          return;
        in_flight_ = false;
        if (r.delivered)
          final_states_.count_deferred(c.selection);
        for (const JobIndex ix : first)
          registry_.job_at(ix)->final_state_sent = r.delivered;
        if (r.status == 200)
          return on_committed(c, wire::revision(r.body).value_or(0));
        if (r.status == 409 && !conflicts_with_newer(r.body, c))
          return leadership_.on_superseded();
        on_commit_failed(c);
        if (r.status == 400)
          on_commit_malformed(c, ops);
      });
}

// When the next page is due.
void StateWriter::reschedule_flush() {
  Seconds at = ports::kNever;
  if (!final_states_.empty())
    at = out_.now();
  if (!deletions_.empty() || !moves_to_own_key_.empty())
    at = std::min(at, std::max(out_.now(), deleted_at_ + kSweepEvery));
  for (const std::size_t n : completion_pages_.due_pages()) {
    if (completion_pages_.is_writable(n))
      at = std::min(at, completion_page_due_at(n));
  }
  for (const std::size_t n : inventory_pages_.due_pages()) {
    if (inventory_pages_.is_writable(n))
      at = std::min(at, inventory_page_due_at(n));
  }
  // Never at once: a sum that is rounded down would come up again and again within the same instant.
  if (at != ports::kNever)
    schedule_flush(std::max(0.002, at - out_.now()));
}

// Whether the transaction failed for another reason than that somebody else leads: a job on a sheet has got a
// key of its own, one that was to get one is over by a transaction that had no answer, or such a one has
// written a page.
bool StateWriter::conflicts_with_newer(const wire::Value& refusal, const Commit& c) {
  const auto keys = wire::failed_keys(refusal);
  const auto has = [&keys](const std::string& key) {
    return std::find(keys.begin(), keys.end(), key) != keys.end();
  };
  if (keys.empty() || has(leadership_.leader_key))
    return false;
  for (const JobIndex ix : c.selection.final_states) {
    Job& job = *registry_.job_at(ix);
    if (has(kLiveJobPrefix + job.spec.ref))
      job.has_own_key = true;
  }
  for (const auto& [n, covers] : c.completions) {
    if (has(page_key(kCompletionPrefix, n)))
      ++page_lookups_, look_up_page(kCompletionPrefix, n);
  }
  for (const auto& [n, joined] : c.inventory) {
    if (has(page_key(kInventoryPrefix, n)))
      ++page_lookups_, look_up_page(kInventoryPrefix, n);
  }
  return true;
}

// Nobody but this leader writes its pages, so the page holds what a transaction of its own put there that had
// no answer. It is written anew, on condition that it is still that; until its version is known it is not.
void StateWriter::look_up_page(const char* prefix, std::size_t page) {
  const bool roster = prefix == kInventoryPrefix;
  (roster ? inventory_pages_[page].version_lookup_pending : completion_pages_[page].version_lookup_pending) =
      true;
  store_.get(
      page_key(prefix, page), store::RequestPriority::lease,
      [this, prefix, roster, page, term = term_](const store::Reply& r) {
        if (term != term_)
          return;
        const auto item = r.status == 200 ? wire::parse_item(r.body) : wire::Result<wire::Item>::fail("");
        if (!item && r.status != 404)
          return out_.after(kRetry, [this, prefix, page, term] {
            if (term == term_)
              look_up_page(prefix, page);
          });
        const std::uint64_t version = item ? item->version : 0;
        roster ? inventory_pages_.set_version(page, version) : completion_pages_.set_version(page, version);
        (roster ? inventory_pages_[page].version_lookup_pending
                : completion_pages_[page].version_lookup_pending) = false;
        schedule_flush(0);
      });
}

// Everything here may be applied twice without harm, so what is uncertain is simply written again.
void StateWriter::on_commit_failed(Commit& c) {
  final_states_.restore(c.selection);
  for (auto& [n, covers] : c.completions) {
    for (auto& [chunk, ended] : covers)
      completions_awaiting_[chunk].push_back(ended);
    completion_pages_.mark_due(n, PageUrgency::soon, out_.now());
  }
  for (std::size_t i = 0; i < c.inventory.size(); ++i)
    inventory_pages_.mark_due(c.inventory[i].first, c.inventory_urgency[i], out_.now());
  deletions_.insert(deletions_.begin(), c.deletions.begin(), c.deletions.end());
  for (const JobIndex ix : c.moved_to_own_key)
    moves_to_own_key_.push_back(ix);  // others first: this one may be over
  schedule_flush(kRetry);
}

// The state service calls the transaction malformed, and would do so again: its limits are lower than the
// settings say. Fewer records go together from now on; one that is refused by itself must not stop the
// others.
void StateWriter::on_commit_malformed(const Commit& c, int ops) {
  ++malformed_commits_;
  spdlog::error("the state service calls a transaction of {} changes malformed", ops);
  if (c.record_count() > 1) {
    max_changes_ = std::max(kCloseOps, ops / 2);
    if (max_changes_ < ops)
      return;
  }
  const auto smaller = [this](auto& pages, std::size_t n, auto encode) {
    const std::size_t size = encode(n).dump().size();
    page_bytes_ = std::max(kLeastPage, std::min(page_bytes_, size / 2));
    if (pages[n].entries.size() <= 1)
      pages[n].due_since = out_.now() + kRefusedPause;
  };
  for (const auto& [n, covers] : c.completions)
    smaller(completion_pages_, n, [this](auto p) { return completion_page_value(p); });
  for (const auto& [n, joined] : c.inventory)
    smaller(inventory_pages_, n, [this](auto p) { return inventory_page_value(p); });
  for (const JobIndex ix : c.selection.final_states) {
    Job& job = *registry_.job_at(ix);
    spdlog::error("{}: its end cannot be recorded", job.spec.ref);
    final_states_.move_to_back(job, out_.now());
  }
}

void StateWriter::on_committed(const Commit& c, std::uint64_t revision) {
  ++commits_;
  const std::uint64_t term = term_;
  for (const JobIndex ix : c.selection.final_states) {
    Job* job = registry_.job_at(ix);
    job->final_state_recorded = true;
    final_states_.on_recorded(*job);
    writes_.final_states += static_cast<std::uint64_t>(final_state_changes(*job));
    batches_.on_job_over(ix);
    std::vector<CompletedTask> ended;
    for (std::uint32_t n = 0; n < codec_.chunks(*job); ++n) {
      const ChunkKey chunk{ix, n};
      if (auto waiting = completions_awaiting_.extract(chunk); !waiting.empty()) {
        ended.insert(ended.end(), waiting.mapped().begin(), waiting.mapped().end());
      }
      completion_pages_.remove(chunk);
    }
    events_.on_completions_persisted(ended);
    const auto waiters = final_states_.take_waiters(ix);
    events_.on_final_state(*job);
    for (const auto& then : waiters)
      then();
    if (term != term_)
      return;  // one of the callbacks ended the leadership
  }
  delete_empty_batches();
  for (const JobIndex ix : c.moved_to_own_key) {
    if (registry_.job_at(ix))
      batches_.on_job_over(ix);
  }
  delete_empty_batches();
  for (const auto& [n, covers] : c.completions) {
    completion_pages_.set_version(n, revision);
    completion_pages_.on_written(n);
    std::vector<CompletedTask> ended;
    for (const auto& [chunk, e] : covers)
      ended.push_back(e);
    events_.on_completions_persisted(ended);
  }
  for (const auto& [n, joined] : c.inventory) {
    inventory_pages_.set_version(n, revision);
    inventory_pages_.on_written(n);
    for (const MachineIndex ix : joined) {
      if (machines_awaiting_record_.erase(ix) == 0)
        continue;  // gone meanwhile
      events_.on_machine_recorded(ix);
      if (term != term_)
        return;
    }
  }
  reschedule_flush();
}

}  // namespace wingtrail::jobs
