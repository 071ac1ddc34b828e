#include "jobs/state_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::jobs {
namespace {
constexpr Seconds kRetry = 0.15;
constexpr Seconds kRefusedPause = 5;  // for what the state service refuses even by itself
constexpr Seconds kCleanupDelay = 0.5;
constexpr double kPageShare = 0.85;  // of the value limit
constexpr std::size_t kLeastPage = 256;
constexpr Seconds kSweepEvery = 1;  // beside nothing else; they only cost a later leader time
constexpr int kSweeps = 4;          // at a time
constexpr int kCloseOps = 3;        // final state, job and cancellation mark go together
}  // namespace

StateWriter::StateWriter(ports::Outbox& out, store::StateClient& store, JobRegistry& registry,
                         const settings::Settings& settings, LeadershipView link)
    : out_(out),
      store_(store),
      registry_(registry),
      settings_(settings),
      leadership_(std::move(link)),
      limits_{static_cast<std::size_t>(settings.state_value_kb * 1024 * kPageShare), settings.value_bytes(),
              settings.max_transaction_changes},
      final_states_(registry, settings),
      completion_pages_(registry, settings, limits_),
      inventory_pages_(limits_) {}

void StateWriter::set_events(Events events) {
  events_ = std::move(events);
  inventory_pages_.set_record_source(events_.machine_record);
}

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
}

bool StateWriter::load_completion_page(const std::string& key, const wire::Value& value,
                                       std::uint64_t version) {
  return completion_pages_.load(key, value, version, out_.now());
}

bool StateWriter::load_inventory_page(const std::string& key, const wire::Value& value, std::uint64_t version,
                                      const InventoryPages::AddMachine& add_machine) {
  return inventory_pages_.load(key, value, version, out_.now(), add_machine);
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
  completion_pages_.add(job, {machine, task, attempt}, out_.now());
  schedule_flush(settings_.tunables.progress_flush_s);
}

void StateWriter::add_machine(MachineIndex machine) {
  inventory_pages_.add(machine, out_.now());
  schedule_flush(InventoryPages::kJoinDelay);
}

void StateWriter::refresh_machine(MachineIndex machine) {
  if (inventory_pages_.refresh(machine, out_.now()))
    schedule_flush(InventoryPages::kRefreshDelay);
}

void StateWriter::remove_machine(MachineIndex machine) {
  if (inventory_pages_.remove(machine, out_.now()))
    schedule_flush(InventoryPages::kRemovalDelay);
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

void StateWriter::add_inventory_pages(wire::Transaction& txn, Commit& c, TransactionSpace& space,
                                      PageUrgency least) {
  for (InventoryPages::Write& write : inventory_pages_.add_due(txn, space, least, out_.now())) {
    c.inventory.push_back(std::move(write));
    ++writes_.inventory;
  }
}

void StateWriter::delete_empty_batches() {
  for (std::string& key : batches_.take_empty())
    deletions_.push_back(std::move(key));
  if (!deletions_.empty())
    schedule_flush(kCleanupDelay);
}

void StateWriter::delete_later(std::string key) {
  deletions_.push_back(std::move(key));
  schedule_flush(kCleanupDelay);
}

void StateWriter::move_to_own_key(Job& job) {
  if (!batches_.contains(job.index))
    return;
  moves_to_own_key_.push_back(job.index);
  schedule_flush(kCleanupDelay);
}

void StateWriter::add_deletions(wire::Transaction& txn, Commit& c, TransactionSpace& space) {
  for (int n = 0; n < kSweeps && space.changes > 0 && !deletions_.empty(); ++n, --space.changes) {
    txn.erase(deletions_.front());
    c.deletions.push_back(std::move(deletions_.front()));
    deletions_.pop_front();
    ++writes_.deletions;
    deleted_at_ = out_.now();
  }
}

// The record is the one on the sheet, but for what no version reads.
void StateWriter::add_moves_to_own_key(wire::Transaction& txn, Commit& c, TransactionSpace& space) {
  for (int n = 0; n < kSweeps && !space.exhausted() && !moves_to_own_key_.empty(); ++n) {
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
    space.take(record.dump().size());
    txn.put(kLiveJobPrefix + job->spec.ref, std::move(record));
    c.moved_to_own_key.push_back(ix);
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
  c.selection = final_states_.select(
      {limits_.changes, inventory_pages_.due_count(out_.now()), completion_pages_.due_count(out_.now())},
      out_.now());
  for (const JobIndex ix : c.selection.final_states)
    add_final_state(txn, *registry_.job_at(ix));
  // What the kinds with shares leave is for whatever else is due.
  TransactionSpace space;
  space.changes = c.selection.inventory_changes + c.selection.unassigned_changes;
  add_inventory_pages(txn, c, space, PageUrgency::soon);
  const bool user =
      !c.selection.final_states.empty() ||
      std::any_of(c.inventory.begin(), c.inventory.end(),
                  [](const InventoryPages::Write& write) { return write.urgency == PageUrgency::now; });
  space.changes += c.selection.completion_changes;
  c.completions = completion_pages_.add_due(txn, space, out_.now());
  writes_.completions += c.completions.size();
  add_inventory_pages(txn, c, space, PageUrgency::opportunistic);
  if (txn.change_count() > 0 || out_.now() >= deleted_at_ + kSweepEvery) {
    add_deletions(txn, c, space);
    // In a transaction with its end, the record would be there after it.
    if (c.selection.final_states.empty())
      add_moves_to_own_key(txn, c, space);
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
  at = std::min({at, completion_pages_.next_due_at(), inventory_pages_.next_due_at()});
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
  for (const CompletionPages::Write& write : c.completions) {
    if (!has(CompletionPages::key(write.page)))
      continue;
    ++page_lookups_;
    look_up_version(completion_pages_, write.page);
  }
  for (const InventoryPages::Write& write : c.inventory) {
    if (!has(InventoryPages::key(write.page)))
      continue;
    ++page_lookups_;
    look_up_version(inventory_pages_, write.page);
  }
  return true;
}

// Nobody but this leader writes its pages, so the page holds what a transaction of its own put there that had
// no answer. It is written anew, on condition that it is still that; until its version is known it is not.
template <typename Pages>
void StateWriter::look_up_version(Pages& pages, std::size_t page) {
  pages.begin_version_lookup(page);
  store_.get(Pages::key(page), store::RequestPriority::lease,
             [this, &pages, page, term = term_](const store::Reply& reply) {
               if (term != term_)
                 return;
               const auto item =
                   reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("");
               if (!item && reply.status != 404)
                 return out_.after(kRetry, [this, &pages, page, term] {
                   if (term == term_)
                     look_up_version(pages, page);
                 });
               pages.end_version_lookup(page, item ? item->version : 0);
               schedule_flush(0);
             });
}

// Everything here may be applied twice without harm, so what is uncertain is simply written again.
void StateWriter::on_commit_failed(Commit& c) {
  final_states_.restore(c.selection);
  for (const CompletionPages::Write& write : c.completions)
    completion_pages_.restore(write, out_.now());
  for (const InventoryPages::Write& write : c.inventory)
    inventory_pages_.restore(write, out_.now());
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
    limits_.changes = std::max(kCloseOps, ops / 2);
    if (limits_.changes < ops)
      return;
  }
  const auto lower_page_limit = [this](std::size_t refused_bytes) {
    limits_.page_bytes = std::max(kLeastPage, std::min(limits_.page_bytes, refused_bytes / 2));
  };
  const Seconds retry_at = out_.now() + kRefusedPause;
  for (const CompletionPages::Write& write : c.completions)
    lower_page_limit(completion_pages_.on_refused(write, retry_at));
  for (const InventoryPages::Write& write : c.inventory)
    lower_page_limit(inventory_pages_.on_refused(write, retry_at));
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
    events_.on_completions_persisted(completion_pages_.remove_job(*job));
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
  for (const CompletionPages::Write& write : c.completions)
    events_.on_completions_persisted(completion_pages_.on_written(write, revision));
  for (const InventoryPages::Write& write : c.inventory) {
    inventory_pages_.on_written(write, revision);
    for (const MachineIndex machine : write.joining) {
      if (!inventory_pages_.take_joined(machine))
        continue;  // gone meanwhile
      events_.on_machine_recorded(machine);
      if (term != term_)
        return;
    }
  }
  reschedule_flush();
}

}  // namespace wingtrail::jobs
